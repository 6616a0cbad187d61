//! A replica: a node connected to its disk and to the caller's state machine.
//!
//! While the disk is full, the replica keeps the batch that could not be written, sends no messages and accepts no
//! proposals. A leader gives up the leadership. The replica still handles messages, so that it knows the leader, and
//! continues by itself when the batch can be written.

use primrose_base::clock::Time;

use crate::disk::{Disk, Error, Recovered};
use crate::entry::{Entry, Payload, Position};
use crate::membership::{Change, Id, Membership};
use crate::message::Message;
use crate::node::{self, Node, Ready, Status};

/// The shortest interval between two attempts to write to a full disk, in ms.
const RETRY_INTERVAL_MS: u64 = 100;

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
    /// Proposals of this replica at or above this index will never take effect: they were dropped before they were
    /// written or sent, because the disk is full.
    pub dropped: Option<u64>,
}

/// Executes an [`Action`] on the state machine.
pub type Apply = Box<dyn FnMut(Action<'_>) + Send>;

/// A replica of the log. The crate documentation describes how a daemon runs it.
pub struct Replica {
    node: Node,
    disk: Disk,
    apply: Apply,
    /// The time of the latest input. Never decreases.
    now: Time,
    /// The batch that a full disk has refused. The node returns no other one until it is written.
    refused: Option<Ready>,
    /// Since when the disk refuses writes; `None` if the latest write succeeded and nothing is deferred.
    full_since: Option<Time>,
    last_try: Time,
    /// The status as of the latest [`Output`].
    reported_status: Status,
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
        let node = Node::new(recovered, options, now, seed);
        Replica {
            reported_status: node.status(),
            node,
            disk,
            apply: Box::new(apply),
            now,
            refused: None,
            full_since: None,
            last_try: now,
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

    /// Since when the disk refuses writes because it is full; `None` if it does not, as far as is known.
    pub fn full_since(&self) -> Option<Time> {
        self.full_since
    }

    /// Starts a new fleet; see [`Node::bootstrap`].
    ///
    /// # Errors
    ///
    /// See [`Node::bootstrap`].
    pub fn bootstrap(&mut self, now: Time, membership: Membership) -> Result<(), node::Error> {
        self.observe_time(now);
        self.node.bootstrap(now, membership)
    }

    /// Handles timeouts and heartbeats; see [`Node::tick`].
    pub fn tick(&mut self, now: Time) {
        self.observe_time(now);
        self.node.tick(now);
    }

    /// Handles a message from another replica; see [`Node::step`].
    pub fn receive(&mut self, now: Time, message: Message) {
        self.observe_time(now);
        self.node.step(now, message);
    }

    /// Appends a proposal to the log; see [`Node::propose`].
    ///
    /// # Errors
    ///
    /// [`node::Error::DiskFull`], and see [`Node::propose`].
    pub fn propose(&mut self, now: Time, data: Vec<u8>) -> Result<Position, node::Error> {
        self.check_written(now)?;
        self.node.propose(now, data)
    }

    /// Appends a membership change to the log; see [`Node::change_membership`].
    ///
    /// # Errors
    ///
    /// [`node::Error::DiskFull`], and see [`Node::change_membership`].
    pub fn change_membership(
        &mut self,
        now: Time,
        change: &Change,
    ) -> Result<Position, node::Error> {
        self.check_written(now)?;
        self.node.change_membership(now, change)
    }

    /// Requests a read barrier; see [`Node::read_barrier`].
    ///
    /// # Errors
    ///
    /// [`node::Error::DiskFull`], and see [`Node::read_barrier`].
    pub fn read_barrier(&mut self, now: Time, context: u64) -> Result<(), node::Error> {
        self.check_written(now)?;
        self.node.read_barrier(now, context)
    }

    /// Transfers the leadership to another voter; see [`Node::transfer_leadership`].
    ///
    /// # Errors
    ///
    /// [`node::Error::DiskFull`], and see [`Node::transfer_leadership`].
    pub fn transfer_leadership(&mut self, now: Time, to: Option<Id>) -> Result<Id, node::Error> {
        self.check_written(now)?;
        self.node.transfer_leadership(now, to)
    }

    /// The number of entries that were applied since the latest snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        let snapshot = self.node.snapshot_position().index;
        // A snapshot from the leader is ahead until the batch with it is written.
        self.node.applied().saturating_sub(snapshot)
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
    /// If the disk is full, the batch is kept and written by a later call, with a pause of `RETRY_INTERVAL_MS` between
    /// two attempts; [`Replica::full_since`] then returns a time.
    ///
    /// # Errors
    ///
    /// A disk error is fatal: no message of this batch may be sent, and the process must exit.
    pub fn flush(&mut self) -> Result<Output, Error> {
        let mut output = Output::default();
        while let Some(ready) = self.next_batch() {
            match self.disk.write(&ready) {
                Ok(()) => self.finish(ready, &mut output),
                Err(Error::Full { .. }) => self.refuse(ready, &mut output),
                Err(error) => return Err(error),
            }
            // The next proposal would be refused as well. A deferred snapshot alone does not show that.
            if self.disk.is_deferring_commit() && self.refused.is_none() {
                self.resign(None, &mut output);
            }
        }
        self.write_deferred()?;
        self.full_since = match self.refused.is_some() || self.disk.is_deferring() {
            true => self.full_since.or(Some(self.now)),
            false => None,
        };
        if self.refused.is_some() {
            // Messages are sent only after the state that they report is on the disk.
            self.node.drop_messages();
        }
        let status = self.node.status();
        output.status = (status != self.reported_status).then_some(status);
        self.reported_status = status;
        output.applied = self.node.applied();
        Ok(output)
    }

    fn observe_time(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Refuses an input of a caller that could be answered only after the refused batch.
    fn check_written(&mut self, now: Time) -> Result<(), node::Error> {
        self.observe_time(now);
        match self.refused {
            Some(_) => Err(node::Error::DiskFull),
            None => Ok(()),
        }
    }

    /// The batch to write now: the refused one, if the next attempt is due, or a new one.
    fn next_batch(&mut self) -> Option<Ready> {
        if self.refused.is_none() {
            return self.node.ready();
        }
        self.refused.take_if(|_| is_due(self.last_try, self.now))
    }

    /// Carries out the remaining steps of a batch that has been written.
    fn finish(&mut self, ready: Ready, output: &mut Output) {
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
    }

    /// Keeps a batch that a full disk has refused. Ends the leadership, because others can write.
    fn refuse(&mut self, mut ready: Ready, output: &mut Output) {
        self.last_try = self.now;
        // The reads must not wait until there is room.
        output.aborted_reads.append(&mut ready.reads);
        output.aborted_reads.append(&mut ready.aborted_reads);
        let unwritten = ready.entries.first().map(|entry| entry.position.index);
        if self.resign(unwritten, output) {
            ready.entries.clear();
        }
        // They would arrive too late to be of use, and those of a leader may contain dropped entries.
        ready.messages.clear();
        self.refused = Some(ready);
    }

    /// Ends the leadership and drops the entries from `unwritten` on. Returns whether entries were dropped.
    fn resign(&mut self, unwritten: Option<u64>, output: &mut Output) -> bool {
        let (dropped, message) = self.node.resign(self.now, unwritten);
        output.messages.extend(message);
        output.dropped = dropped.or(output.dropped);
        dropped.is_some()
    }

    fn write_deferred(&mut self) -> Result<(), Error> {
        let is_due = is_due(self.last_try, self.now);
        if !is_due || self.refused.is_some() || !self.disk.is_deferring() {
            return Ok(());
        }
        self.last_try = self.now;
        match self.disk.write_deferred() {
            Err(Error::Full { .. }) => Ok(()),
            result => result,
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let position = entry.position;
        if let Payload::Data(data) = &entry.payload {
            (self.apply)(Action::Apply { position, data });
        }
    }
}

fn is_due(last_try: Time, now: Time) -> bool {
    now.since(last_try) >= RETRY_INTERVAL_MS
}
