//! Writes that a full disk refuses: undoing what was written in part, and deferring what is not needed at once.

use std::sync::Arc;

use super::{Disk, Error, Item, failure, remove, segment_name};
use crate::entry::Snapshot;
use crate::files::Operation;
use crate::node::Ready;

impl Disk {
    /// Whether a full disk has refused a write that is not needed for the log to be complete: a snapshot of this
    /// replica, or a commit index. [`Disk::write_deferred`] writes it.
    pub fn is_deferring(&self) -> bool {
        self.deferred.snapshot.is_some() || self.deferred.commit
    }

    /// Whether the commit index is deferred, so that even a small record did not fit.
    pub fn is_deferring_commit(&self) -> bool {
        self.deferred.commit
    }

    /// Writes what was deferred. Must not be called while [`Disk::write`] has to be repeated.
    ///
    /// # Errors
    ///
    /// [`Error::Full`] if the disk is still full. Every other error is fatal, as for [`Disk::write`].
    pub fn write_deferred(&mut self) -> Result<(), Error> {
        let snapshot = self.deferred.snapshot.clone();
        let ready = Ready {
            sync: snapshot.is_some(),
            snapshot,
            ..Ready::default()
        };
        self.guard(|disk| disk.write_whole(&ready))
    }

    /// Writes `ready`, or defers the part of it that a full disk refuses and that is not needed.
    pub(super) fn write_or_defer(&mut self, ready: &Ready) -> Result<(), Error> {
        if let Some(snapshot) = &ready.snapshot {
            match self.save_snapshot(snapshot) {
                Err(Error::Full { .. }) if may_defer(snapshot, ready) => {
                    self.deferred.snapshot = Some(Arc::clone(snapshot));
                    return self.write_batch_without_snapshot(ready);
                }
                result => result?,
            }
        }
        match self.write_whole(ready) {
            // Only the commit index is written without a sync, and a restart may find a lower one.
            Err(Error::Full { .. }) if !ready.sync => {
                self.hard = ready.hard.unwrap_or(self.hard);
                self.deferred.commit = true;
                Ok(())
            }
            result => result,
        }
    }

    fn write_batch_without_snapshot(&mut self, ready: &Ready) -> Result<(), Error> {
        self.write_batch(&Ready {
            hard: ready.hard,
            truncate: ready.truncate,
            entries: ready.entries.clone(),
            sync: ready.sync,
            ..Ready::default()
        })
    }

    fn write_whole(&mut self, ready: &Ready) -> Result<(), Error> {
        if let Some(snapshot) = &ready.snapshot {
            self.save_snapshot(snapshot)?;
        }
        self.write_batch(ready)?;
        if ready.snapshot.is_some() {
            self.deferred.snapshot = None;
            self.remove_segments()?;
        }
        Ok(())
    }

    /// Appends a record to the last segment. If that is refused, cuts the segment back.
    pub(super) fn write_in_segment(&mut self, items: Vec<Item<'_>>) -> Result<(), Error> {
        let result = self.write_record(items);
        if matches!(result, Err(Error::Full { .. })) {
            self.cut_back()?;
        }
        result
    }

    /// Starts a segment and appends a record to it. If that is refused, discards the segment, so that the same record
    /// starts it again.
    pub(super) fn write_in_new_segment(&mut self, items: Vec<Item<'_>>) -> Result<(), Error> {
        let (length, synced) = (self.length, self.synced);
        let next = self.segments.last().map_or(1, |s| s.sequence + 1);
        self.discard(&segment_name(next))?;
        let result = self.start_segment().and_then(|()| self.write_record(items));
        if matches!(result, Err(Error::Full { .. })) {
            self.segments.pop();
            (self.length, self.synced) = (length, synced);
        }
        self.discard_refused(&segment_name(next), result)
    }

    /// Cuts the last segment back to its length before the refused append.
    fn cut_back(&mut self) -> Result<(), Error> {
        let name = self.current_segment();
        let length = self.length;
        let cut = (self.files.change)(Operation::Truncate {
            name: &name,
            length,
        });
        let Err(source) = cut else { return Ok(()) };
        // Nothing is to be cut off if the append was refused as a whole.
        let bytes = (self.files.read)(&name).map_err(failure("reading", &name))?;
        match bytes.len() as u64 == length {
            true => Ok(()),
            false => Err(failure("truncation", &name)(source)),
        }
    }

    /// Removes a file if it exists.
    pub(super) fn discard(&mut self, name: &str) -> Result<(), Error> {
        let names = (self.files.list)().map_err(failure("listing", "."))?;
        match names.iter().any(|other| other == name) {
            true => remove(&mut self.files, name),
            false => Ok(()),
        }
    }

    /// Removes a file that is of no use because `result` is a refusal, to free its space. Returns `result`, or the error
    /// of the removal. If the removal is refused as well, [`Disk::discard`] removes the file before it is written again.
    pub(super) fn discard_refused(
        &mut self,
        name: &str,
        result: Result<(), Error>,
    ) -> Result<(), Error> {
        if matches!(result, Err(Error::Full { .. })) {
            match self.discard(name) {
                Ok(()) | Err(Error::Full { .. }) => {}
                failed => return failed,
            }
        }
        result
    }
}

/// Whether the log on the disk holds all entries that `snapshot` covers, so that the snapshot is not needed at once.
/// That is so for a snapshot of this replica's own state, but not for one that the leader sent in place of entries.
fn may_defer(snapshot: &Snapshot, ready: &Ready) -> bool {
    ready.restore.is_none() && ready.truncate != Some(snapshot.position.index + 1)
}
