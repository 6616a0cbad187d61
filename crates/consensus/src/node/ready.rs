//! What the caller has to do on behalf of a node.

use std::mem;
use std::sync::Arc;

use super::{Node, Outstanding, Role, Status};
use crate::entry::{Entry, Hard, Position, Snapshot};
use crate::message::Message;

/// Work for the caller, in this order:
///
/// 1. Persist `snapshot`, `hard`, `truncate` and `entries` ([`crate::Disk::write`] does). With `sync` set they must be on
///    the disk before the next step.
/// 2. Call [`Node::persisted`].
/// 3. Send `messages`.
/// 4. Load `restore` into the state machine, if any, then apply `committed`.
/// 5. Answer `reads` from the state machine.
#[derive(Debug, Default)]
pub struct Ready {
    /// The new hard state, if it changed.
    pub hard: Option<Hard>,
    /// A snapshot to keep instead of all entries up to it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries from this index on are no longer part of the log. Applies before `entries`.
    pub truncate: Option<u64>,
    /// New entries, consecutive.
    pub entries: Vec<Entry>,
    /// Whether the above must be on the disk before messages are sent. Not so if only the commit index changed.
    pub sync: bool,
    /// Messages to other replicas.
    pub messages: Vec<Message>,
    /// Replaces the state of the state machine.
    pub restore: Option<Arc<Snapshot>>,
    /// Committed entries to apply, consecutive; at most [`super::Options::max_apply_bytes`] of them at a time.
    pub committed: Vec<Entry>,
    /// Contexts of read barriers that hold once `committed` is applied.
    pub reads: Vec<u64>,
    /// Contexts of read barriers that were given up because the leadership ended.
    pub aborted_reads: Vec<u64>,
    /// The role, term and leader, if one of them changed.
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
    /// What is to be done, or `None` if nothing is. Until [`Node::persisted`] is called, there is nothing new.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.outstanding.is_some() {
            return None;
        }
        self.flush();
        let last = self.log.last();
        let entries = self.log.slice(self.handed + 1, last.index, usize::MAX);
        let committed = self.take_committed();
        self.release_barriers();
        let hard = (self.hard != self.saved).then_some(self.hard);
        let status = Some(self.status()).filter(|status| *status != self.reported);
        let mut ready = Ready {
            hard,
            snapshot: self.persist_snapshot.take(),
            truncate: self.truncate.take(),
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
        self.saved = self.hard;
        self.handed = last.index;
        self.reported = self.status();
        self.outstanding = Some(Outstanding { last });
        Some(ready)
    }

    /// Everything in the last [`Ready`] is on the disk.
    pub fn persisted(&mut self) {
        let Some(Outstanding { last }) = self.outstanding.take() else {
            return;
        };
        if last != Position::default() && self.log.holds(last) {
            self.durable = self.durable.max(last.index);
        }
        if self.role == Role::Leader {
            self.commit_by_majority();
        }
    }

    fn needs_sync(&self, ready: &Ready) -> bool {
        let Hard {
            term, voted_for, ..
        } = self.saved;
        let voted = self.hard.term != term || self.hard.voted_for != voted_for;
        voted || ready.snapshot.is_some() || ready.truncate.is_some() || !ready.entries.is_empty()
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let limit = self.options.max_apply_bytes;
        let commit = self.hard.commit;
        let committed = self.log.slice(self.applied + 1, commit, limit);
        if let Some(last) = committed.last() {
            self.applied = last.position.index;
        }
        committed
    }
}
