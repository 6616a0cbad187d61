//! The consensus protocol as a state machine without I/O.
//!
//! Every input takes the current [`Time`]. [`Node::ready`] returns the outputs collected so far. The caller carries
//! out these outputs in the order that [`Ready`] describes, and calls [`Node::persisted`] in between.

mod election;
mod leader;
mod options;
mod ready;
mod replication;

use std::collections::VecDeque;
use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::disk::Recovered;
use crate::entry::{Entry, Hard, Payload, Position, Snapshot};
use crate::log::Log;
use crate::membership::{Id, Membership, Refusal};
use crate::message::{Body, Message};
use crate::progress::Progress;

pub use options::Options;
pub use ready::Ready;

/// The role of a node in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits until one is elected. Learners are always followers.
    Follower,
    /// Runs a pre-vote: asks whether it could win an election, without starting a new term.
    PreCandidate,
    /// Requests votes in a term that it started.
    Candidate,
    /// Appends entries to the log and replicates them.
    Leader,
}

/// Role, term and leader, as reported in [`Ready::status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// The role of the node in `term`.
    pub role: Role,
    /// The highest term that the node has seen.
    pub term: u64,
    /// The leader of `term`, if known.
    pub leader: Option<Id>,
}

/// Why an input was refused. A refused proposal was not appended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Only the leader accepts this input. While it transfers its leadership, it accepts nothing but read barriers.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<Id>,
    },
    /// The disk of this replica is full; see [`crate::Replica::full_since`].
    #[error("the disk of this replica is full")]
    DiskFull,
    /// The uncommitted entries have reached their size limit.
    #[error("{bytes} bytes of entries are waiting to be committed, the limit is {limit}")]
    Full {
        /// The size of the uncommitted entries.
        bytes: usize,
        /// [`Options::max_uncommitted_bytes`].
        limit: usize,
    },
    /// The proposal or snapshot exceeds its size limit.
    #[error("{bytes} bytes exceed the limit of {limit}")]
    TooLarge {
        /// The size of the proposal or snapshot.
        bytes: usize,
        /// [`Options::max_entry_bytes`] or [`Options::max_snapshot_bytes`].
        limit: usize,
    },
    /// An earlier membership change is not committed yet, or the leader has not committed an entry of its term yet.
    #[error(
        "an earlier membership change, or the first entry of this leader's term, is not committed yet"
    )]
    Pending,
    /// The membership change is not valid for the current membership.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The learner lacks too many entries to be promoted; see [`Options::promotion_lag`].
    #[error("learner {id} cannot be promoted yet: it has the log up to index {matched} of {last}")]
    Behind {
        /// The replica id of the learner.
        id: Id,
        /// The last index that the learner is known to hold.
        matched: u64,
        /// The leader's last index.
        last: u64,
    },
    /// The leader would not be connected to a majority of the voters of the new membership.
    #[error("only {connected} of {voters} voters would be connected after the change")]
    Quorum {
        /// The number of voters of the new membership that answered within the election timeout, with the leader
        /// itself.
        connected: usize,
        /// The number of voters of the new membership.
        voters: usize,
    },
    /// The leader cannot remove itself. It must transfer its leadership first.
    #[error("replica {0} is the leader and must transfer the leadership before it is removed")]
    RemovesLeader(Id),
    /// The leadership can be transferred only to another voter.
    #[error("replica {0} cannot take over the leadership: it is the leader itself or not a voter")]
    NotVoter(Id),
    /// No snapshot can be taken at this index.
    #[error(
        "cannot take a snapshot at index {index}: the latest is at {snapshot} and entries are applied up to {applied}"
    )]
    SnapshotIndex {
        /// The index requested for the snapshot.
        index: u64,
        /// The index of the latest snapshot.
        snapshot: u64,
        /// The index of the last applied entry.
        applied: u64,
    },
    /// The replica has a term, a vote or a log entry, so it may belong to a fleet already.
    #[error("this replica has a log, a vote or a term already, so it cannot bootstrap a fleet")]
    NotEmpty,
}

impl Error {
    /// Always [`Verdict::NotRun`]: a refused proposal never takes effect.
    pub const fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

/// A leadership transfer that waits until the new leader has the whole log.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    to: Id,
    since: Time,
}

/// A read barrier that has not been released yet.
#[derive(Clone, Copy, Debug)]
struct Barrier {
    context: u64,
    /// The index up to which entries must be applied before the read.
    index: u64,
    /// A majority must have answered a message of this or a later round, unless the leader holds its lease.
    round: u64,
}

/// A membership and the index of the log entry that contains it.
#[derive(Debug)]
struct MembershipAt {
    index: u64,
    membership: Membership,
}

/// A snapshot that has been received in part.
#[derive(Debug)]
struct Incoming {
    from: Id,
    term: u64,
    position: Position,
    data: Vec<u8>,
}

/// A [`Ready`] that has been returned but not yet persisted.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    /// The last entry of the log when the [`Ready`] was returned; the default if that entry has been truncated since.
    last: Position,
    /// [`Node::submitted_applied`] when the [`Ready`] was returned.
    applied: u64,
}

/// The protocol state of one replica of the log.
#[derive(Debug)]
pub struct Node {
    id: Id,
    options: Options,
    rng: SmallRng,
    /// The time of the latest input. Never decreases.
    now: Time,
    last_tick: Time,

    hard: Hard,
    log: Log,
    /// Memberships in the order of their entries. The first one is in force at the base of the log and the last one
    /// is in force now. Never empty.
    memberships: Vec<MembershipAt>,
    snapshot: Option<Arc<Snapshot>>,

    role: Role,
    leader: Option<Id>,
    /// The time of the last message from a leader, or the start of this process if there was none. A restarted voter
    /// may have acknowledged a heartbeat just before the restart, so it must respect the lease based on that
    /// heartbeat.
    last_contact: Time,
    /// Whether this process has led or has heard from a leader since its start.
    has_had_leader: bool,
    /// Number of candidacies in a row that this process started before it had a leader.
    restart_candidacies: u32,
    /// The time at which the election timer was last restarted.
    election_timer_start: Time,
    election_timeout_ms: u64,
    /// The replicas that granted their vote, or their pre-vote, in the current candidacy.
    votes: Vec<Id>,
    /// Whether this candidacy was started by a leadership transfer from the previous leader.
    by_transfer: bool,
    incoming: Option<Incoming>,

    /// One for each other member. This field and those down to `barriers` are used by a leader only.
    peers: Vec<Progress>,
    round: u64,
    leader_since: Time,
    last_heartbeat: Time,
    heartbeat_due: bool,
    /// The index of the first entry of this leader's term.
    term_start_index: u64,
    uncommitted_bytes: usize,
    transfer: Option<Transfer>,
    barriers: VecDeque<Barrier>,

    outbox: Vec<Message>,
    released_reads: Vec<u64>,
    aborted_reads: Vec<u64>,
    /// The last index in [`Ready::committed`] of a persisted [`Ready`], or covered by its snapshot to restore.
    applied: u64,
    /// Like `applied`, but of the latest [`Ready`]. Never lower than `applied`.
    submitted_applied: u64,
    /// The last index in the log that was recovered from the disk at the start.
    recovered_index: u64,
    /// The last index returned in [`Ready::entries`] to be persisted.
    submitted_index: u64,
    /// The last index that is known to be on this replica's disk.
    durable_index: u64,
    truncate_from: Option<u64>,
    persist_snapshot: Option<Arc<Snapshot>>,
    restore: Option<Arc<Snapshot>>,
    /// The hard state as of the latest [`Ready`].
    submitted_hard: Hard,
    /// The status as of the latest [`Ready`].
    reported_status: Status,
    outstanding: Option<Outstanding>,
}

impl Node {
    /// Creates a node from the state recovered from its disk. `seed` initialises the random choice of election
    /// timeouts and should differ between replicas.
    ///
    /// # Panics
    ///
    /// Panics if [`Options::check`] fails, because a lease that is too long allows two leaders at the same time.
    pub fn new(recovered: Recovered, options: Options, now: Time, seed: u64) -> Node {
        if let Err(error) = options.check() {
            panic!("{error}");
        }
        let snapshot = recovered.snapshot;
        let base = snapshot
            .as_ref()
            .map_or(Position::default(), |s| s.position);
        let membership = snapshot
            .as_ref()
            .map_or(Membership::default(), |s| s.membership.clone());
        let memberships = memberships(base.index, membership, &recovered.entries);
        let log = Log::new(base, recovered.entries);
        let last = log.last();
        let mut hard = recovered.hard;
        hard.commit = hard.commit.clamp(base.index, last.index);
        let status = Status {
            role: Role::Follower,
            term: hard.term,
            leader: None,
        };
        let mut node = Node {
            id: recovered.id,
            rng: SmallRng::seed_from_u64(seed),
            now,
            last_tick: now,
            submitted_hard: hard,
            hard,
            log,
            memberships,
            restore: snapshot.clone(),
            snapshot,
            role: Role::Follower,
            leader: None,
            last_contact: now,
            has_had_leader: false,
            restart_candidacies: 0,
            election_timer_start: now,
            election_timeout_ms: 0,
            options,
            votes: Vec::new(),
            by_transfer: false,
            incoming: None,
            peers: Vec::new(),
            round: 0,
            leader_since: now,
            last_heartbeat: now,
            heartbeat_due: false,
            term_start_index: 0,
            uncommitted_bytes: 0,
            transfer: None,
            barriers: VecDeque::new(),
            outbox: Vec::new(),
            released_reads: Vec::new(),
            aborted_reads: Vec::new(),
            applied: base.index,
            submitted_applied: base.index,
            recovered_index: last.index,
            submitted_index: last.index,
            durable_index: last.index,
            truncate_from: None,
            persist_snapshot: None,
            reported_status: status,
            outstanding: None,
        };
        // Without a lease to wait for, a voter stands at its first tick.
        if node.options.keeps_lease_over_restart {
            node.restart_election_timer();
        }
        node
    }

    /// Starts a new fleet whose log begins with `membership`. The crate documentation says when this is safe.
    ///
    /// # Errors
    ///
    /// [`Error::NotEmpty`] if this replica has a term, a vote, a commit index or a log entry.
    pub fn bootstrap(&mut self, now: Time, membership: Membership) -> Result<(), Error> {
        self.observe_time(now);
        if self.hard != Hard::default() || self.log.last() != Position::default() {
            return Err(Error::NotEmpty);
        }
        self.hard.term = 1;
        self.append(Payload::Members(membership));
        Ok(())
    }

    /// The replica id of this node.
    pub fn id(&self) -> Id {
        self.id
    }

    /// The current role, term and leader.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            term: self.hard.term,
            leader: self.leader,
        }
    }

    /// The role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The highest term that this node has seen; 0 before the first one.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].membership
    }

    /// The latest membership that is known to be committed. Unlike [`Node::membership`], it never turns out not to be in
    /// force.
    pub fn committed_membership(&self) -> &Membership {
        self.membership_at(self.hard.commit)
    }

    /// The position of the last entry in the log, or of the snapshot if no entry follows it.
    pub fn last_position(&self) -> Position {
        self.log.last()
    }

    /// The index up to which entries are known to be committed.
    pub fn commit(&self) -> u64 {
        self.hard.commit
    }

    /// The index of the last entry that was returned in [`Ready::committed`], or is covered by a restored snapshot, in
    /// a [`Ready`] that has been persisted.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether all entries that were applied before the last restart have been applied again. Until then, the state
    /// may be older than a state that this replica exposed before the restart, because the commit index on the disk
    /// may lag behind.
    pub fn has_caught_up(&self) -> bool {
        self.applied >= self.recovered_index
    }

    /// The last entry that the latest snapshot covers.
    pub fn snapshot_position(&self) -> Position {
        self.snapshot
            .as_ref()
            .map_or(Position::default(), |s| s.position)
    }

    /// The entries held in memory, in log order.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.log.iter()
    }

    /// The options given to [`Node::new`].
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Advances the clock and handles timeouts and heartbeats. To be called about every [`Options::tick_ms`].
    pub fn tick(&mut self, now: Time) {
        self.observe_time(now);
        self.last_tick = self.now;
        match self.role {
            Role::Leader => self.tick_leader(),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.tick_election(),
        }
    }

    /// Handles a message from another replica. Drops messages that are addressed to another replica id.
    pub fn step(&mut self, now: Time, message: Message) {
        self.observe_time(now);
        if message.to != self.id || message.from == self.id {
            return;
        }
        if message.term > self.hard.term && !self.handle_higher_term(&message) {
            return;
        }
        if message.term < self.hard.term {
            self.reply_stale(&message);
            return;
        }
        self.handle_current_term(message);
    }

    /// Stores `data` as the snapshot of the state after the entry at `index`, which must be applied. Entries up to
    /// `index` are dropped from memory, except the latest [`Options::keep_entries`]: slow followers can still receive
    /// these instead of the whole snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::SnapshotIndex`] if the index is not applied or not newer than the latest snapshot, and
    /// [`Error::TooLarge`] if `data` exceeds [`Options::max_snapshot_bytes`].
    pub fn take_snapshot(&mut self, index: u64, data: Vec<u8>) -> Result<(), Error> {
        let limit = self.options.max_snapshot_bytes;
        if data.len() > limit {
            let bytes = data.len();
            return Err(Error::TooLarge { bytes, limit });
        }
        let latest = self.snapshot_position().index;
        let term = self.log.term(index);
        let (true, Some(term)) = (index > latest && index <= self.applied, term) else {
            return Err(Error::SnapshotIndex {
                index,
                snapshot: latest,
                applied: self.applied,
            });
        };
        let snapshot = Arc::new(Snapshot {
            position: Position { term, index },
            membership: self.membership_at(index).clone(),
            data,
        });
        self.snapshot = Some(Arc::clone(&snapshot));
        self.persist_snapshot = Some(snapshot);
        self.compact(index.saturating_sub(self.options.keep_entries));
        Ok(())
    }

    /// Advances the clock of the node. If the last tick was longer ago than the lease, the process may have been
    /// stopped. A leader without a connected majority steps down.
    fn observe_time(&mut self, now: Time) {
        self.now = self.now.max(now);
        if self.now.since(self.last_tick) > self.options.lease_ms {
            self.last_tick = self.now;
            self.resume_after_freeze();
        }
        if self.role == Role::Leader && !self.quorum_is_connected() {
            self.become_follower(self.hard.term, None);
        }
    }

    /// Steps down, and waits for a full election timeout. Other replicas may have elected a leader while this process
    /// was stopped, and its messages may still be in the socket buffers.
    fn resume_after_freeze(&mut self) {
        if self.role == Role::Leader {
            self.become_follower(self.hard.term, None);
        }
        self.restart_election_timer();
    }

    fn send(&mut self, to: Id, body: Body) {
        let term = self.hard.term;
        self.send_in_term(to, term, body);
    }

    fn send_in_term(&mut self, to: Id, term: u64, body: Body) {
        let from = self.id;
        self.outbox.push(Message {
            from,
            to,
            term,
            body,
        });
    }

    /// Appends an entry of the current term and returns its position.
    fn append(&mut self, payload: Payload) -> Position {
        let position = Position {
            term: self.hard.term,
            index: self.log.last().index + 1,
        };
        self.push(Entry { position, payload });
        position
    }

    fn push(&mut self, entry: Entry) {
        if let Payload::Members(membership) = &entry.payload {
            let index = entry.position.index;
            let membership = membership.clone();
            self.memberships.push(MembershipAt { index, membership });
        }
        self.log.push(entry);
    }

    /// Drops the entry at `index` and all after it.
    fn truncate(&mut self, index: u64) {
        assert!(
            index > self.hard.commit,
            "entry {index} conflicts with the leader's log although entries up to {} are committed",
            self.hard.commit
        );
        self.log.truncate(index);
        self.memberships.retain(|entry| entry.index < index);
        if index <= self.submitted_index {
            self.truncate_from = Some(self.truncate_from.map_or(index, |t| t.min(index)));
            self.submitted_index = index - 1;
        }
        self.durable_index = self.durable_index.min(index - 1);
        if self.outstanding.is_some_and(|o| o.last.index >= index) {
            self.forget_outstanding_entries();
        }
    }

    /// Prevents that the entries of the outstanding [`Ready`] count as durable once it is persisted.
    fn forget_outstanding_entries(&mut self) {
        if let Some(outstanding) = &mut self.outstanding {
            outstanding.last = Position::default();
        }
    }

    fn compact(&mut self, index: u64) {
        if index <= self.log.base().index {
            return;
        }
        self.log.compact(index);
        let before = self
            .memberships
            .iter()
            .filter(|entry| entry.index <= index)
            .count();
        self.memberships.drain(..before.saturating_sub(1));
    }

    fn membership_at(&self, index: u64) -> &Membership {
        let after = self
            .memberships
            .iter()
            .position(|entry| entry.index > index);
        let at = after.unwrap_or(self.memberships.len()).saturating_sub(1);
        &self.memberships[at].membership
    }
}

fn memberships(base: u64, membership: Membership, entries: &[Entry]) -> Vec<MembershipAt> {
    let mut memberships = vec![MembershipAt {
        index: base,
        membership,
    }];
    for entry in entries {
        if let Payload::Members(membership) = &entry.payload {
            memberships.push(MembershipAt {
                index: entry.position.index,
                membership: membership.clone(),
            });
        }
    }
    memberships
}
