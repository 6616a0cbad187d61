//! A leader's view of the replication to one other replica.

use std::collections::VecDeque;
use std::sync::Arc;

use primrose_base::clock::Time;

use crate::entry::Snapshot;
use crate::membership::Id;
use crate::message::Stamp;

/// How the leader sends entries to another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// One message at a time, until the last entry on which the two logs agree is found.
    Probe {
        /// Whether a message has been sent since the last answer or heartbeat, so that no further one may be sent.
        waiting: bool,
    },
    /// Several messages in flight, each with the entries that follow the previous message.
    Pipeline,
    /// A snapshot, because the leader has compacted the entries that the replica needs next.
    Snapshot {
        /// The last index that the snapshot in `Progress::sending` covers.
        index: u64,
        /// The number of bytes of the snapshot that the replica has acknowledged.
        offset: u64,
        /// The time at which the chunk at `offset` was sent.
        sent: Time,
    },
}

/// The state of the replication to one other replica.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) id: Id,
    /// The highest index up to which the replica is known to hold the leader's log on its disk.
    pub(crate) matched: u64,
    /// The index of the next entry to send. Invariant: greater than `matched`.
    pub(crate) next: u64,
    pub(crate) flow: Flow,
    /// The last index of each append message in flight, oldest first. Used only in `Flow::Pipeline`.
    pub(crate) in_flight: VecDeque<u64>,
    /// The snapshot that is being sent in `Flow::Snapshot`. It is not replaced by a newer one before it has arrived.
    /// Otherwise, a replica on a slow link would start again with each new snapshot and never finish.
    pub(crate) sending: Option<Arc<Snapshot>>,
    /// The latest commit index sent to the replica.
    pub(crate) commit_sent: u64,
    /// The stamp of the latest message that the replica has answered in this term.
    pub(crate) acked: Option<Stamp>,
}

impl Progress {
    pub(crate) fn new(id: Id, next: u64) -> Progress {
        Progress {
            id,
            matched: 0,
            next,
            flow: Flow::Probe { waiting: false },
            in_flight: VecDeque::new(),
            sending: None,
            commit_sent: 0,
            acked: None,
        }
    }

    /// Sends one message at a time from `next` on, or from the entry after `matched` if that is later.
    pub(crate) fn start_probe(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.flow = Flow::Probe { waiting: false };
        self.in_flight.clear();
    }

    /// Records that the replica holds the log up to `index`.
    pub(crate) fn record_match(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        while self.in_flight.front().is_some_and(|&last| last <= index) {
            self.in_flight.pop_front();
        }
        let start_pipeline = match self.flow {
            Flow::Probe { .. } => true,
            Flow::Pipeline => false,
            Flow::Snapshot { index, .. } => self.matched >= index,
        };
        if start_pipeline {
            self.flow = Flow::Pipeline;
            self.in_flight.clear();
            self.sending = None;
            self.next = self.matched + 1;
        }
        self.next = self.next.max(self.matched + 1);
    }

    /// Records that the replica has answered the message with `stamp`.
    pub(crate) fn record_answer(&mut self, stamp: Stamp) {
        self.acked = self.acked.max(Some(stamp));
    }
}
