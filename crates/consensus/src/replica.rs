//! A node, its disk and the state machine of the caller, connected.

use primrose_base::clock::Time;

use crate::disk::{Disk, Error, Recovered};
use crate::entry::{Entry, Payload, Position};
use crate::membership::{Change, Id, Membership};
use crate::message::Message;
use crate::node::{self, Node, Status};

/// What the state machine has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action<'a> {
    /// Replace the state by that of a snapshot.
    Restore {
        /// The last entry that it covers.
        position: Position,
        /// The bytes that were given to [`Replica::take_snapshot`], here or on another replica.
        data: &'a [u8],
    },
    /// Apply a committed proposal.
    Apply {
        /// Where it is.
        position: Position,
        /// The bytes that were proposed.
        data: &'a [u8],
    },
}

/// The result of one [`Replica::flush`].
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other replicas. Losing some is harmless.
    pub messages: Vec<Message>,
    /// Contexts of read barriers that hold now.
    pub reads: Vec<u64>,
    /// Contexts of read barriers that were given up because the leadership ended.
    pub aborted_reads: Vec<u64>,
    /// Role, term and leader, if one of them changed.
    pub status: Option<Status>,
    /// All entries up to this index are applied. A proposal whose index is not greater and which was not applied at its
    /// position is lost for good, unless an [`Action::Restore`] skipped its index: then the restored state must tell.
    pub applied: u64,
}

/// Carries out an [`Action`].
pub type Apply = Box<dyn FnMut(Action<'_>) + Send>;

/// A replica of the log. See the crate documentation for how a daemon drives it.
pub struct Replica {
    node: Node,
    disk: Disk,
    apply: Apply,
}

impl Replica {
    /// Connects a node that continues from `recovered` with its disk and with the closure that applies entries.
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

    /// The node, for questions about role, lease, membership and indices.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The disk, for its counters.
    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// See [`Node::bootstrap`].
    ///
    /// # Errors
    ///
    /// See [`Node::bootstrap`].
    pub fn bootstrap(&mut self, now: Time, membership: Membership) -> Result<(), node::Error> {
        self.node.bootstrap(now, membership)
    }

    /// See [`Node::tick`].
    pub fn tick(&mut self, now: Time) {
        self.node.tick(now);
    }

    /// See [`Node::step`].
    pub fn receive(&mut self, now: Time, message: Message) {
        self.node.step(now, message);
    }

    /// See [`Node::propose`].
    ///
    /// # Errors
    ///
    /// See [`Node::propose`].
    pub fn propose(&mut self, now: Time, data: Vec<u8>) -> Result<Position, node::Error> {
        self.node.propose(now, data)
    }

    /// See [`Node::change_membership`].
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

    /// See [`Node::read_barrier`].
    ///
    /// # Errors
    ///
    /// See [`Node::read_barrier`].
    pub fn read_barrier(&mut self, now: Time, context: u64) -> Result<(), node::Error> {
        self.node.read_barrier(now, context)
    }

    /// See [`Node::transfer_leadership`].
    ///
    /// # Errors
    ///
    /// See [`Node::transfer_leadership`].
    pub fn transfer_leadership(&mut self, now: Time, to: Option<Id>) -> Result<Id, node::Error> {
        self.node.transfer_leadership(now, to)
    }

    /// How many entries were applied since the latest snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.node.applied() - self.node.snapshot_position().index
    }

    /// Takes a snapshot: `data` is the state after everything that was applied so far. It is written by the next
    /// [`Replica::flush`].
    ///
    /// # Errors
    ///
    /// See [`Node::take_snapshot`].
    pub fn take_snapshot(&mut self, data: Vec<u8>) -> Result<(), node::Error> {
        let index = self.node.applied();
        self.node.take_snapshot(index, data)
    }

    /// Persists, applies and collects everything that follows from the inputs so far. Blocks while the disk syncs.
    ///
    /// # Errors
    ///
    /// A disk error is fatal: no message of this batch may be sent, and the process must end.
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
