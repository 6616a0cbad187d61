//! The requests of this host that wait for a slot or are in flight.

use primrose_base::id;
use primrose_proxy::dispatch::{Call, Slot};
use primrose_proxy::failure::Failure;
use tokio::sync::oneshot;

/// Receives the slot or the refusal of one request.
pub(super) type Reply = oneshot::Sender<Result<Slot, Failure>>;

/// A request of this host, with its stage.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) call: Call,
    pub(super) stage: Stage,
}

/// The stage of a request between its arrival and its end.
#[derive(Debug)]
pub(super) enum Stage {
    /// Waits for a slot.
    Waiting {
        /// Sends the slot or the refusal to the request task.
        reply: Reply,
    },
    /// Has a slot and is in flight.
    Running {
        /// The server of the slot.
        server: id::Server,
    },
}

/// All requests of this host that have not ended.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// Sorted by id. A new request has a higher id than earlier ones, so most insertions are at the end.
    entries: Vec<Entry>,
}

impl Calls {
    pub(super) fn insert(&mut self, call: Call, reply: Reply) {
        let entry = Entry {
            call,
            stage: Stage::Waiting { reply },
        };
        let at = self
            .entries
            .partition_point(|other| other.call.id < entry.call.id);
        self.entries.insert(at, entry);
    }

    pub(super) fn get(&self, id: u64) -> Option<&Entry> {
        let at = self.position(id)?;
        Some(&self.entries[at])
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Entry> {
        let at = self.position(id)?;
        Some(self.entries.remove(at))
    }

    /// Marks a waiting request as in flight on `server` and returns its reply channel; `None` if it was not waiting.
    pub(super) fn start(&mut self, id: u64, server: id::Server) -> Option<Reply> {
        let at = self.position(id)?;
        let running = Stage::Running { server };
        match std::mem::replace(&mut self.entries[at].stage, running) {
            Stage::Waiting { reply } => Some(reply),
            Stage::Running { .. } => None,
        }
    }

    /// Returns the ids of all requests that wait for a slot.
    pub(super) fn waiting(&self) -> Vec<u64> {
        let waiting = self
            .entries
            .iter()
            .filter(|entry| matches!(entry.stage, Stage::Waiting { .. }));
        waiting.map(|entry| entry.call.id).collect()
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.entries
            .binary_search_by_key(&id, |entry| entry.call.id)
            .ok()
    }
}
