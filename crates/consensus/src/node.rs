//! The protocol as a plain state machine.
//!
//! Every input takes the current [`Time`]. Outputs are collected and handed out by [`Node::ready`]; the caller carries
//! them out in the order that [`Ready`] describes and then calls [`Node::persisted`].

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

/// What a node is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one. Learners are always followers.
    Follower,
    /// Asks whether an election could be won, without starting a term.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Appends entries.
    Leader,
}

/// Role, term and leader, as reported in [`Ready::status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// What the node is doing.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader of that term, if known.
    pub leader: Option<Id>,
}

/// Why an input was refused. A refused proposal was not appended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Only the leader accepts this.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<Id>,
    },
    /// Too many bytes wait to be committed.
    #[error("{bytes} bytes of entries are waiting to be committed, the limit is {limit}")]
    Full {
        /// Bytes waiting.
        bytes: usize,
        /// [`Options::max_uncommitted_bytes`].
        limit: usize,
    },
    /// The proposal or snapshot exceeds its limit.
    #[error("{bytes} bytes exceed the limit of {limit}")]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// [`Options::max_entry_bytes`] or [`Options::max_snapshot_bytes`].
        limit: usize,
    },
    /// An earlier membership change is not committed yet, or the leader has not committed an entry of its term yet.
    #[error("an earlier membership change is still in progress")]
    Pending,
    /// The membership change does not fit the membership.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The learner lacks too many entries to be promoted.
    #[error("replica {id} has the log up to index {matched} of {last}")]
    Behind {
        /// The learner.
        id: Id,
        /// The last index that it is known to hold.
        matched: u64,
        /// The leader's last index.
        last: u64,
    },
    /// After the membership change no majority of the voters would be connected.
    #[error("only {connected} of {voters} voters would be connected after the change")]
    Quorum {
        /// Voters of the new membership that answered within the election timeout.
        connected: usize,
        /// Voters of the new membership.
        voters: usize,
    },
    /// The leader cannot remove itself; it transfers the leadership first.
    #[error("replica {0} is the leader and must transfer the leadership before it is removed")]
    RemovesLeader(Id),
    /// The receiver of the leadership is not another voter.
    #[error("replica {0} is not another voter")]
    NotVoter(Id),
    /// No snapshot can be taken at this index.
    #[error(
        "no snapshot at index {index}: the latest is at {snapshot} and entries are applied up to {applied}"
    )]
    SnapshotIndex {
        /// The index asked for.
        index: u64,
        /// The index of the latest snapshot.
        snapshot: u64,
        /// The last applied index.
        applied: u64,
    },
    /// The log already holds something.
    #[error("the log is not empty, so the fleet cannot be founded here")]
    NotEmpty,
}

impl Error {
    /// Whether the refused proposal may take effect: it never does.
    pub const fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

/// A leadership transfer that waits until the receiver has the whole log.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    to: Id,
    since: Time,
}

/// A read barrier that is not released yet.
#[derive(Clone, Copy, Debug)]
struct Barrier {
    context: u64,
    /// The read must see the entries up to here.
    index: u64,
    /// A majority must have answered a message of this or a later round, unless the lease holds.
    round: u64,
}

/// A membership and the index of the entry that set it.
#[derive(Debug)]
struct MembershipAt {
    index: u64,
    membership: Membership,
}

/// A snapshot that is being received.
#[derive(Debug)]
struct Incoming {
    from: Id,
    term: u64,
    position: Position,
    data: Vec<u8>,
}

/// What a [`Ready`] that is not yet persisted contains.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    last: Position,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Node {
    id: Id,
    options: Options,
    rng: SmallRng,
    /// The time of the latest input. It never decreases.
    now: Time,
    last_tick: Time,

    hard: Hard,
    log: Log,
    /// Memberships in the order of their entries; the first one is in force at the base of the log, the last one now.
    /// Never empty.
    memberships: Vec<MembershipAt>,
    snapshot: Option<Arc<Snapshot>>,

    role: Role,
    leader: Option<Id>,
    /// The last contact with a leader, or the start of this process: a restarted voter may have acknowledged a
    /// heartbeat just before, so it respects a lease that it no longer knows of.
    last_contact: Time,
    /// Since when the election timeout runs.
    waiting_since: Time,
    election_timeout_ms: u64,
    granted: Vec<Id>,
    /// Whether this candidacy was asked for by the last leader.
    by_transfer: bool,
    incoming: Option<Incoming>,

    /// Only used by a leader, like all fields down to `barriers`. One for each other member.
    peers: Vec<Progress>,
    round: u64,
    leader_since: Time,
    last_heartbeat: Time,
    heartbeat_due: bool,
    /// The index of the first entry of this leader's term.
    term_start: u64,
    uncommitted_bytes: usize,
    transfer: Option<Transfer>,
    barriers: VecDeque<Barrier>,

    outbox: Vec<Message>,
    released_reads: Vec<u64>,
    aborted_reads: Vec<u64>,
    /// Entries up to here were handed out to be applied.
    applied: u64,
    /// The last index that the disk held at the start.
    recovered_index: u64,
    /// Entries up to here were handed out to be persisted.
    handed: u64,
    /// Entries up to here are on this replica's disk.
    durable: u64,
    truncate: Option<u64>,
    persist_snapshot: Option<Arc<Snapshot>>,
    restore: Option<Arc<Snapshot>>,
    saved: Hard,
    reported: Status,
    outstanding: Option<Outstanding>,
}

impl Node {
    /// A node that continues from what its disk holds. `seed` spreads the election timeouts.
    ///
    /// # Panics
    ///
    /// Panics if [`Options::check`] fails, because a lease that is too long allows two leaders at a time.
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
            saved: hard,
            hard,
            log,
            memberships,
            restore: snapshot.clone(),
            snapshot,
            role: Role::Follower,
            leader: None,
            last_contact: now,
            waiting_since: now,
            election_timeout_ms: options.election_min_ms,
            options,
            granted: Vec::new(),
            by_transfer: false,
            incoming: None,
            peers: Vec::new(),
            round: 0,
            leader_since: now,
            last_heartbeat: now,
            heartbeat_due: false,
            term_start: 0,
            uncommitted_bytes: 0,
            transfer: None,
            barriers: VecDeque::new(),
            outbox: Vec::new(),
            released_reads: Vec::new(),
            aborted_reads: Vec::new(),
            applied: base.index,
            recovered_index: last.index,
            handed: last.index,
            durable: last.index,
            truncate: None,
            persist_snapshot: None,
            reported: status,
            outstanding: None,
        };
        node.restart_election_timer();
        node
    }

    /// Founds a fleet whose log starts with `membership`. See the crate documentation for when this is safe.
    ///
    /// # Errors
    ///
    /// [`Error::NotEmpty`] if this replica has ever voted or holds anything.
    pub fn bootstrap(&mut self, now: Time, membership: Membership) -> Result<(), Error> {
        self.observe(now);
        if self.hard != Hard::default() || self.log.last() != Position::default() {
            return Err(Error::NotEmpty);
        }
        self.hard.term = 1;
        self.append(Payload::Members(membership));
        Ok(())
    }

    /// Its replica id.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Its role, term and leader.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            term: self.hard.term,
            leader: self.leader,
        }
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The latest membership in its log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].membership
    }

    /// The last entry in its log.
    pub fn last_position(&self) -> Position {
        self.log.last()
    }

    /// The index up to which entries are known to be committed.
    pub fn commit(&self) -> u64 {
        self.hard.commit
    }

    /// The index up to which entries were handed out to be applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether everything that was applied before the last restart is applied again. Until then the state may be older than
    /// one that this replica has shown before, because the commit index on the disk may lag behind.
    pub fn has_caught_up(&self) -> bool {
        self.applied >= self.recovered_index
    }

    /// The last entry that the latest snapshot covers.
    pub fn snapshot_position(&self) -> Position {
        self.snapshot
            .as_ref()
            .map_or(Position::default(), |s| s.position)
    }

    /// Entries held in memory.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.log.iter()
    }

    /// The options it was made with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Time passes. Call it about every [`Options::tick_ms`].
    pub fn tick(&mut self, now: Time) {
        self.observe(now);
        self.last_tick = self.now;
        match self.role {
            Role::Leader => self.tick_leader(),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.tick_election(),
        }
    }

    /// A message has arrived. Messages to other replica ids are dropped.
    pub fn step(&mut self, now: Time, message: Message) {
        self.observe(now);
        if message.to != self.id || message.from == self.id {
            return;
        }
        if message.term > self.hard.term && !self.enter_term(&message) {
            return;
        }
        if message.term < self.hard.term {
            self.answer_stale(&message);
            return;
        }
        self.dispatch(message);
    }

    /// Takes a snapshot: `data` is the state after the entry at `index`, which must be applied. Entries up to there are
    /// dropped, except the latest [`Options::keep_entries`], which spare slow followers the whole snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::SnapshotIndex`] if the index is not applied or not newer than the latest snapshot, and
    /// [`Error::TooLarge`].
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

    /// Notes the time, and that this process may have been stopped since the last tick.
    fn observe(&mut self, now: Time) {
        self.now = self.now.max(now);
        if self.now.since(self.last_tick) > self.options.lease_ms {
            self.last_tick = self.now;
            self.resume_after_freeze();
        }
        if self.role == Role::Leader && !self.quorum_is_connected() {
            self.become_follower(self.hard.term, None);
        }
    }

    /// Others may have elected a leader during the gap, and its messages may be waiting in the sockets.
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

    /// Appends an entry of the own term and returns its position.
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
        if index <= self.handed {
            self.truncate = Some(self.truncate.map_or(index, |t| t.min(index)));
            self.handed = index - 1;
        }
        self.durable = self.durable.min(index - 1);
        if self.outstanding.is_some_and(|o| o.last.index >= index) {
            self.outstanding = Some(Outstanding {
                last: Position::default(),
            });
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
