//! What a leader knows about one other replica.

use std::collections::VecDeque;
use std::sync::Arc;

use primrose_base::clock::Time;

use crate::entry::Snapshot;
use crate::membership::Id;
use crate::message::Stamp;

/// How the leader sends entries to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// One message at a time, until the place where the logs agree is found.
    Probe {
        /// Whether a message has been sent since the last answer or heartbeat.
        waiting: bool,
    },
    /// Several messages in flight.
    Pipeline,
    /// The entries it lacks are compacted away.
    Snapshot {
        /// The index of `Progress::sending`.
        index: u64,
        /// Bytes that it has acknowledged.
        offset: u64,
        /// When the chunk at `offset` was sent.
        sent: Time,
    },
}

#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) id: Id,
    /// The highest index known to be on its disk and equal to the leader's log.
    pub(crate) matched: u64,
    /// The next index to send. Invariant: greater than `matched`.
    pub(crate) next: u64,
    pub(crate) flow: Flow,
    /// The last index of each message in flight, oldest first; only used in `Flow::Pipeline`.
    pub(crate) in_flight: VecDeque<u64>,
    /// The snapshot that is being sent, in `Flow::Snapshot`. It stays the same until it has arrived, or a replica on a
    /// slow link would start again with each new snapshot and never finish.
    pub(crate) sending: Option<Arc<Snapshot>>,
    /// The highest commit index sent to it.
    pub(crate) commit_sent: u64,
    /// The latest message that it has answered in this term.
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

    pub(crate) fn probe(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.flow = Flow::Probe { waiting: false };
        self.in_flight.clear();
    }

    /// Records that the replica holds the log up to `index`.
    pub(crate) fn accept(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        while self.in_flight.front().is_some_and(|&last| last <= index) {
            self.in_flight.pop_front();
        }
        let start = match self.flow {
            Flow::Probe { .. } => true,
            Flow::Pipeline => false,
            Flow::Snapshot { index, .. } => self.matched >= index,
        };
        if start {
            self.flow = Flow::Pipeline;
            self.in_flight.clear();
            self.sending = None;
            self.next = self.matched + 1;
        }
        self.next = self.next.max(self.matched + 1);
    }

    pub(crate) fn stamp(&mut self, stamp: Stamp) {
        self.acked = self.acked.max(Some(stamp));
    }
}
