//! The outputs of a node that its caller must carry out.

use std::mem;
use std::sync::Arc;

use super::{Node, Outstanding, Role, Status};
use crate::entry::{Entry, Hard, Position, Snapshot};
use crate::message::Message;

/// A batch of outputs. The caller must carry out these steps in order:
///
/// 1. Persist `snapshot`, `hard`, `truncate` and `entries`, as [`crate::Disk::write`] does. If `sync` is set, they
///    must be on the disk before the next step.
/// 2. Call [`Node::persisted`].
/// 3. Send `messages`.
/// 4. Load the snapshot `restore` into the state machine, if there is one, then apply `committed`.
/// 5. Answer the reads listed in `reads` from the state machine.
#[derive(Debug, Default)]
pub struct Ready {
    /// The new hard state, if it changed.
    pub hard: Option<Hard>,
    /// A snapshot that replaces all entries up to its position.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries from this index on must be removed from the log, before `entries` are appended.
    pub truncate: Option<u64>,
    /// New entries with consecutive indices.
    pub entries: Vec<Entry>,
    /// Whether the fields above must be on the disk before messages are sent. False if only the commit index has
    /// changed.
    pub sync: bool,
    /// Messages to other replicas.
    pub messages: Vec<Message>,
    /// A snapshot that replaces the content of the state machine.
    pub restore: Option<Arc<Snapshot>>,
    /// Committed entries to apply, with consecutive indices. Their size is limited by
    /// [`super::Options::max_apply_bytes`].
    pub committed: Vec<Entry>,
    /// Contexts of the read barriers that are satisfied once `committed` is applied.
    pub reads: Vec<u64>,
    /// Contexts of the read barriers that were cancelled because the leadership ended.
    pub aborted_reads: Vec<u64>,
    /// The new role, term and leader, if one of them has changed.
    pub status: Option<Status>,
}

impl Ready {
    fn is_empty(&self) -> bool {
        self.hard.is_none()
            && self.snapshot.is_none()
            && self.truncate.is_none()
            && self.entries.is_empty()
            && self.messages.is_empty()
            && self.restore.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.aborted_reads.is_empty()
            && self.status.is_none()
    }
}

impl Node {
    /// Returns the collected outputs, or `None` if there are none. After it has returned a batch, it returns `None`
    /// until [`Node::persisted`] is called.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.outstanding.is_some() {
            return None;
        }
        self.queue_messages();
        let last = self.log.last();
        let entries = self
            .log
            .slice(self.submitted_index + 1, last.index, usize::MAX);
        let committed = self.take_committed();
        self.release_barriers();
        let hard = (self.hard != self.submitted_hard).then_some(self.hard);
        let status = Some(self.status()).filter(|status| *status != self.reported_status);
        let mut ready = Ready {
            hard,
            snapshot: self.persist_snapshot.take(),
            truncate: self.truncate_from.take(),
            entries,
            sync: false,
            messages: mem::take(&mut self.outbox),
            restore: self.restore.take(),
            committed,
            reads: mem::take(&mut self.released_reads),
            aborted_reads: mem::take(&mut self.aborted_reads),
            status,
        };
        if ready.is_empty() {
            return None;
        }
        ready.sync = self.needs_sync(&ready);
        self.submitted_hard = self.hard;
        self.submitted_index = last.index;
        self.reported_status = self.status();
        let applied = self.submitted_applied;
        self.outstanding = Some(Outstanding { last, applied });
        Some(ready)
    }

    /// Reports that the latest [`Ready`] has been persisted. A leader then counts its own entries towards the
    /// majority.
    pub fn persisted(&mut self) {
        let Some(Outstanding { last, applied }) = self.outstanding.take() else {
            return;
        };
        self.applied = self.applied.max(applied);
        if last != Position::default() && self.log.holds(last) {
            self.durable_index = self.durable_index.max(last.index);
        }
        if self.role == Role::Leader {
            self.commit_by_majority();
        }
    }

    /// Drops the messages that are to be sent but not in a [`Ready`] yet. The protocol tolerates their loss.
    pub fn drop_messages(&mut self) {
        self.outbox.clear();
    }

    fn needs_sync(&self, ready: &Ready) -> bool {
        let Hard {
            term, voted_for, ..
        } = self.submitted_hard;
        let term_or_vote_changed = self.hard.term != term || self.hard.voted_for != voted_for;
        term_or_vote_changed
            || ready.snapshot.is_some()
            || ready.truncate.is_some()
            || !ready.entries.is_empty()
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let limit = self.options.max_apply_bytes;
        let commit = self.hard.commit;
        let committed = self.log.slice(self.submitted_applied + 1, commit, limit);
        if let Some(last) = committed.last() {
            self.submitted_applied = last.position.index;
        }
        committed
    }
}
