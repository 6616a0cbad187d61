//! Changes of term, votes and elections.

use rand::RngExt;

use super::{Node, Role};
use crate::entry::Payload;
use crate::membership::Id;
use crate::message::{Body, Message, Outcome};
use crate::progress::Progress;

/// The shortest time in ms after which a voter that has had no leader since its start stands for election again: a few
/// round trips between failure domains and writes to the disk, so that a vote in progress is not disturbed.
const RESTART_TIMEOUT_MS: u64 = 40;

impl Node {
    /// Becomes a follower in `term`, which must be at least the current term. Cancels the read barriers of a leader.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<Id>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
        }
        if self.role != Role::Follower {
            self.restart_election_timer();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.by_transfer = false;
        self.votes.clear();
        self.peers.clear();
        self.transfer = None;
        self.aborted_reads
            .extend(self.barriers.drain(..).map(|b| b.context));
    }

    /// Starts the election timer now, with a new random timeout.
    pub(super) fn restart_election_timer(&mut self) {
        let (min, max) = (self.options.election_min_ms, self.options.election_max_ms);
        let range = if self.is_leaderless_since_start() {
            // Each candidacy that finds no majority doubles the timeout: the voters that are missing stand themselves
            // when they start, so that frequent repetitions serve only against lost messages.
            let doublings = self.restart_candidacies.saturating_sub(1).min(16);
            let min = (RESTART_TIMEOUT_MS << doublings).min(min);
            min..(2 * min).min(max)
        } else {
            min..max
        };
        self.election_timeout_ms = self.rng.random_range(range);
        self.election_timer_start = self.now;
    }

    /// Whether this voter may vote and stand for election without waiting for the end of a lease, because it has
    /// heard from no leader since its start and leaders have no lease.
    fn is_leaderless_since_start(&self) -> bool {
        !self.has_had_leader && !self.options.keeps_lease_over_restart
    }

    /// Whether a leader may be alive that this replica has acknowledged, so that no vote is granted.
    fn leader_may_hold_lease(&self) -> bool {
        self.role == Role::Leader
            || (self.now.since(self.last_contact) < self.options.election_min_ms
                && !self.is_leaderless_since_start())
    }

    pub(super) fn tick_election(&mut self) {
        if self.now.since(self.election_timer_start) < self.election_timeout_ms {
            return;
        }
        if self.membership().is_voter(self.id) {
            self.start_pre_vote();
        }
        self.restart_election_timer();
    }

    fn start_pre_vote(&mut self) {
        self.restart_candidacies = self.restart_candidacies.saturating_add(1);
        self.role = Role::PreCandidate;
        self.leader = None;
        self.by_transfer = false;
        self.votes = vec![self.id];
        self.request_votes(self.hard.term + 1, true);
        self.count_votes();
    }

    /// Stands for election at once if another voter stands that cannot win, because this one has the longer log or a
    /// higher term, and if no leader is known to be alive.
    fn stand_if_leaderless(&mut self) {
        let is_idle = self.role != Role::Candidate;
        if self.is_leaderless_since_start() && is_idle && self.membership().is_voter(self.id) {
            self.start_pre_vote();
            self.restart_election_timer();
        }
    }

    fn start_election(&mut self) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard.term += 1;
        self.hard.voted_for = Some(self.id);
        self.votes = vec![self.id];
        self.restart_election_timer();
        self.request_votes(self.hard.term, false);
        self.count_votes();
    }

    fn request_votes(&mut self, term: u64, pre: bool) {
        let last = self.log.last();
        let transfer = self.by_transfer;
        let voters = self.membership().voters();
        let others: Vec<Id> = voters.filter(|&to| to != self.id).collect();
        for to in others {
            let body = Body::Vote {
                last,
                pre,
                transfer,
            };
            self.send_in_term(to, term, body);
        }
    }

    fn count_votes(&mut self) {
        let membership = self.membership();
        let granted = self.votes.iter().filter(|&&id| membership.is_voter(id));
        if granted.count() < membership.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.has_had_leader = true;
        self.leader = Some(self.id);
        self.by_transfer = false;
        self.votes.clear();
        self.round = 0;
        self.leader_since = self.now;
        self.heartbeat_due = true;
        self.peers.clear();
        self.update_peers();
        let commit = self.hard.commit;
        let waiting = self.log.iter().filter(|e| e.position.index > commit);
        self.uncommitted_bytes = waiting.map(|e| e.bytes()).sum();
        self.term_start_index = self.propose_payload(Payload::Empty).index;
    }

    /// Starts replication to new members and stops it for removed ones.
    pub(super) fn update_peers(&mut self) {
        let membership = &self.memberships[self.memberships.len() - 1].membership;
        self.peers
            .retain(|peer| membership.member(peer.id).is_some());
        let next = self.log.last().index + 1;
        for member in membership.members() {
            let known = self.peers.iter().any(|peer| peer.id == member.id);
            if member.id != self.id && !known {
                self.peers.push(Progress::new(member.id, next));
            }
        }
    }

    /// Handles a message with a higher term than the current one. Returns whether the message itself still has to be
    /// handled.
    pub(super) fn handle_higher_term(&mut self, message: &Message) -> bool {
        match &message.body {
            Body::Vote { pre: true, .. } => {
                self.reply_to_pre_vote(message);
                false
            }
            // The reply that grants a pre-vote contains the term that this node would start.
            Body::VoteReply {
                granted: true,
                pre: true,
            } => {
                if self.role == Role::PreCandidate && message.term == self.hard.term + 1 {
                    self.record_vote(message.from);
                }
                false
            }
            Body::Vote { transfer, .. } => {
                if self.leader_may_hold_lease() && !transfer {
                    return false;
                }
                self.become_follower(message.term, None);
                true
            }
            Body::Append { .. } | Body::Chunk { .. } => {
                self.become_follower(message.term, Some(message.from));
                true
            }
            Body::VoteReply { .. }
            | Body::AppendReply { .. }
            | Body::ChunkReply { .. }
            | Body::Transfer => {
                self.become_follower(message.term, None);
                true
            }
        }
    }

    /// Replies to a message of an earlier term, so that its sender learns the current term.
    pub(super) fn reply_stale(&mut self, message: &Message) {
        match message.body {
            Body::Append { stamp, .. } | Body::Chunk { stamp, .. } => {
                let outcome = Outcome::Stale;
                self.send(message.from, Body::AppendReply { stamp, outcome });
            }
            Body::Vote { pre, .. } => {
                let granted = false;
                self.send(message.from, Body::VoteReply { granted, pre });
                self.stand_if_leaderless();
            }
            Body::VoteReply { .. }
            | Body::AppendReply { .. }
            | Body::ChunkReply { .. }
            | Body::Transfer => {}
        }
    }

    fn reply_to_pre_vote(&mut self, message: &Message) {
        let Body::Vote { last, .. } = message.body else {
            return;
        };
        let pre = true;
        if self.leader_may_hold_lease() || last < self.log.last() {
            let granted = false;
            self.send(message.from, Body::VoteReply { granted, pre });
            self.stand_if_leaderless();
        } else {
            let granted = true;
            self.send_in_term(message.from, message.term, Body::VoteReply { granted, pre });
        }
    }

    /// Handles a message of the current term.
    pub(super) fn handle_current_term(&mut self, message: Message) {
        let from = message.from;
        match message.body {
            Body::Vote {
                last,
                pre,
                transfer,
            } => {
                let vote_available =
                    self.hard.voted_for.is_none() || self.hard.voted_for == Some(from);
                let lease_allows_vote = transfer || !self.leader_may_hold_lease();
                let may_vote = self.role == Role::Follower || self.role == Role::PreCandidate;
                let up_to_date = last >= self.log.last();
                let granted = !pre
                    && vote_available
                    && lease_allows_vote
                    && may_vote
                    && up_to_date
                    && self.leader.is_none();
                if granted {
                    self.role = Role::Follower;
                    self.hard.voted_for = Some(from);
                    self.restart_election_timer();
                }
                self.send(from, Body::VoteReply { granted, pre });
                if pre {
                    self.stand_if_leaderless();
                }
            }
            Body::VoteReply { granted, pre } => {
                if granted && !pre && self.role == Role::Candidate {
                    self.record_vote(from);
                }
            }
            Body::Transfer => {
                if self.membership().is_voter(self.id) && self.role != Role::Leader {
                    self.by_transfer = true;
                    self.start_election();
                }
            }
            Body::Append { .. } | Body::Chunk { .. } => {
                self.handle_leader_message(from, message.body)
            }
            Body::AppendReply { stamp, outcome } => self.handle_append_reply(from, stamp, outcome),
            Body::ChunkReply {
                stamp,
                position,
                received,
            } => self.handle_chunk_reply(from, stamp, position, received),
        }
    }

    fn record_vote(&mut self, from: Id) {
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
        self.count_votes();
    }
}
