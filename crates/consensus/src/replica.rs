//! A replica: a node connected to its disk and to the caller's state machine.

use primrose_base::clock::Time;

use crate::disk::{Disk, Error, Recovered};
use crate::entry::{Entry, Payload, Position};
use crate::membership::{Change, Id, Membership};
use crate::message::Message;
use crate::node::{self, Node, Status};

/// An operation on the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action<'a> {
    /// Replace the state by that of a snapshot.
    Restore {
        /// The last entry that the snapshot covers.
        position: Position,
        /// The bytes that were passed to [`Replica::take_snapshot`] on this or another replica.
        data: &'a [u8],
    },
    /// Apply a committed proposal.
    Apply {
        /// The position of the proposal in the log.
        position: Position,
        /// The bytes that were passed to [`Replica::propose`] on this or another replica.
        data: &'a [u8],
    },
}

/// The result of one [`Replica::flush`].
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other replicas. The protocol tolerates that some are lost.
    pub messages: Vec<Message>,
    /// Contexts of the read barriers that are now satisfied.
    pub reads: Vec<u64>,
    /// Contexts of the read barriers that were cancelled because the leadership ended.
    pub aborted_reads: Vec<u64>,
    /// The new role, term and leader, if one of them has changed.
    pub status: Option<Status>,
    /// The index up to which all entries have been applied. A proposal at or below this index that was not applied at
    /// its position will never take effect, unless an [`Action::Restore`] skipped its index. In that case, only the
    /// restored state shows whether it did.
    pub applied: u64,
}

/// Executes an [`Action`] on the state machine.
pub type Apply = Box<dyn FnMut(Action<'_>) + Send>;

/// A replica of the log. The crate documentation describes how a daemon runs it.
pub struct Replica {
    node: Node,
    disk: Disk,
    apply: Apply,
}

impl Replica {
    /// Creates a replica from an open data folder and its recovered content. `apply` executes the actions on the
    /// caller's state machine; the other arguments are those of [`Node::new`].
    pub fn new(
        (disk, recovered): (Disk, Recovered),
        options: node::Options,
        now: Time,
        seed: u64,
        apply: impl FnMut(Action<'_>) + Send + 'static,
    ) -> Replica {
        Replica {
            node: Node::new(recovered, options, now, seed),
            disk,
            apply: Box::new(apply),
        }
    }

    /// The node, which gives access to role, lease, membership and indices.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The disk, which gives access to its counters.
    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// Starts a new fleet; see [`Node::bootstrap`].
    ///
    /// # Errors
    ///
    /// See [`Node::bootstrap`].
    pub fn bootstrap(&mut self, now: Time, membership: Membership) -> Result<(), node::Error> {
        self.node.bootstrap(now, membership)
    }

    /// Handles timeouts and heartbeats; see [`Node::tick`].
    pub fn tick(&mut self, now: Time) {
        self.node.tick(now);
    }

    /// Handles a message from another replica; see [`Node::step`].
    pub fn receive(&mut self, now: Time, message: Message) {
        self.node.step(now, message);
    }

    /// Appends a proposal to the log; see [`Node::propose`].
    ///
    /// # Errors
    ///
    /// See [`Node::propose`].
    pub fn propose(&mut self, now: Time, data: Vec<u8>) -> Result<Position, node::Error> {
        self.node.propose(now, data)
    }

    /// Appends a membership change to the log; see [`Node::change_membership`].
    ///
    /// # Errors
    ///
    /// See [`Node::change_membership`].
    pub fn change_membership(
        &mut self,
        now: Time,
        change: &Change,
    ) -> Result<Position, node::Error> {
        self.node.change_membership(now, change)
    }

    /// Requests a read barrier; see [`Node::read_barrier`].
    ///
    /// # Errors
    ///
    /// See [`Node::read_barrier`].
    pub fn read_barrier(&mut self, now: Time, context: u64) -> Result<(), node::Error> {
        self.node.read_barrier(now, context)
    }

    /// Transfers the leadership to another voter; see [`Node::transfer_leadership`].
    ///
    /// # Errors
    ///
    /// See [`Node::transfer_leadership`].
    pub fn transfer_leadership(&mut self, now: Time, to: Option<Id>) -> Result<Id, node::Error> {
        self.node.transfer_leadership(now, to)
    }

    /// The number of entries that were applied since the latest snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.node.applied() - self.node.snapshot_position().index
    }

    /// Stores `data` as the snapshot of the state after all entries that were applied so far. The next
    /// [`Replica::flush`] writes it to the disk.
    ///
    /// # Errors
    ///
    /// See [`Node::take_snapshot`].
    pub fn take_snapshot(&mut self, data: Vec<u8>) -> Result<(), node::Error> {
        let index = self.node.applied();
        self.node.take_snapshot(index, data)
    }

    /// Processes all inputs since the last call: persists the changes, applies committed entries and returns the
    /// other outputs. Blocks until the disk has synced.
    ///
    /// # Errors
    ///
    /// A disk error is fatal: no message of this batch may be sent, and the process must exit.
    pub fn flush(&mut self) -> Result<Output, Error> {
        let mut output = Output::default();
        while let Some(ready) = self.node.ready() {
            self.disk.write(&ready)?;
            self.node.persisted();
            output.messages.extend(ready.messages);
            if let Some(snapshot) = &ready.restore {
                let position = snapshot.position;
                let data = &snapshot.data;
                (self.apply)(Action::Restore { position, data });
            }
            for entry in &ready.committed {
                self.apply(entry);
            }
            output.reads.extend(ready.reads);
            output.aborted_reads.extend(ready.aborted_reads);
            output.status = ready.status.or(output.status);
        }
        output.applied = self.node.applied();
        Ok(output)
    }

    fn apply(&mut self, entry: &Entry) {
        let position = entry.position;
        if let Payload::Data(data) = &entry.payload {
            (self.apply)(Action::Apply { position, data });
        }
    }
}
