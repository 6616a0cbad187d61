//! Writes that a full disk refuses: undoing what was written in part, and deferring what is not needed at once.

use std::sync::Arc;

use super::{Disk, Error, Item, failure, segment_name};
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

    /// Starts a segment and appends a record to it. If that is refused, removes the segment, so that the same record
    /// starts it again.
    pub(super) fn write_in_new_segment(&mut self, items: Vec<Item<'_>>) -> Result<(), Error> {
        let (length, synced) = (self.length, self.synced);
        let result = self.start_segment().and_then(|()| self.write_record(items));
        let Err(error @ Error::Full { .. }) = result else {
            return result;
        };
        let started = self.segments.pop().map_or(0, |segment| segment.sequence);
        (self.length, self.synced) = (length, synced);
        Err(self.remove_refused(&segment_name(started), error))
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

    /// Removes a file whose first append was refused with `error`, if that has created it. Returns `error`, or the
    /// error of the removal.
    pub(super) fn remove_refused(&mut self, name: &str, error: Error) -> Error {
        if !matches!(error, Error::Full { .. }) {
            return error;
        }
        let names = match (self.files.list)() {
            Ok(names) => names,
            Err(source) => return failure("listing", ".")(source),
        };
        if !names.iter().any(|other| other == name) {
            return error;
        }
        match (self.files.change)(Operation::Remove { name }) {
            Ok(()) => error,
            Err(source) => failure("removal", name)(source),
        }
    }
}

/// Whether the log on the disk holds all entries that `snapshot` covers, so that the snapshot is not needed at once.
/// That is so for a snapshot of this replica's own state, but not for one that the leader sent in place of entries.
fn may_defer(snapshot: &Snapshot, ready: &Ready) -> bool {
    ready.restore.is_none() && ready.truncate != Some(snapshot.position.index + 1)
}
