//! Terms, votes and elections.

use rand::RngExt;

use super::{Node, Role};
use crate::entry::Payload;
use crate::membership::Id;
use crate::message::{Body, Message, Outcome};
use crate::progress::Progress;

impl Node {
    /// Becomes a follower in `term`, which is at least the current one.
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
        self.granted.clear();
        self.peers.clear();
        self.transfer = None;
        self.aborted_reads
            .extend(self.barriers.drain(..).map(|b| b.context));
    }

    /// Draws a new timeout that starts now.
    pub(super) fn restart_election_timer(&mut self) {
        let range = self.options.election_min_ms..self.options.election_max_ms;
        self.election_timeout_ms = self.rng.random_range(range);
        self.waiting_since = self.now;
    }

    /// Whether a leader may hold a lease to which this replica contributed.
    fn leader_is_alive(&self) -> bool {
        self.role == Role::Leader
            || self.now.since(self.last_contact) < self.options.election_min_ms
    }

    pub(super) fn tick_election(&mut self) {
        if self.now.since(self.waiting_since) < self.election_timeout_ms {
            return;
        }
        self.restart_election_timer();
        if self.membership().is_voter(self.id) {
            self.start_pre_vote();
        }
    }

    fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.by_transfer = false;
        self.granted = vec![self.id];
        self.ask_for_votes(self.hard.term + 1, true);
        self.count_votes();
    }

    fn start_election(&mut self) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard.term += 1;
        self.hard.voted_for = Some(self.id);
        self.granted = vec![self.id];
        self.restart_election_timer();
        self.ask_for_votes(self.hard.term, false);
        self.count_votes();
    }

    fn ask_for_votes(&mut self, term: u64, pre: bool) {
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
        let granted = self.granted.iter().filter(|&&id| membership.is_voter(id));
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
        self.leader = Some(self.id);
        self.by_transfer = false;
        self.granted.clear();
        self.round = 0;
        self.leader_since = self.now;
        self.heartbeat_due = true;
        self.peers.clear();
        self.add_peers();
        let commit = self.hard.commit;
        let waiting = self.log.iter().filter(|e| e.position.index > commit);
        self.uncommitted_bytes = waiting.map(|e| e.bytes()).sum();
        self.term_start = self.propose_payload(Payload::Empty).index;
    }

    /// Starts to replicate to members that are new, and stops for those that left.
    pub(super) fn add_peers(&mut self) {
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

    /// Handles a higher term. Returns whether the message is to be handled further.
    pub(super) fn enter_term(&mut self, message: &Message) -> bool {
        match &message.body {
            Body::Vote { pre: true, .. } => {
                self.answer_pre_vote(message);
                false
            }
            // The reply that grants a pre-vote carries the term that this node would start.
            Body::VoteReply {
                granted: true,
                pre: true,
            } => {
                if self.role == Role::PreCandidate && message.term == self.hard.term + 1 {
                    self.grant(message.from);
                }
                false
            }
            Body::Vote { transfer, .. } => {
                if self.leader_is_alive() && !transfer {
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

    /// Tells the sender of a message of an old term about the current one.
    pub(super) fn answer_stale(&mut self, message: &Message) {
        match message.body {
            Body::Append { stamp, .. } | Body::Chunk { stamp, .. } => {
                let outcome = Outcome::Stale;
                self.send(message.from, Body::AppendReply { stamp, outcome });
            }
            Body::Vote { pre, .. } => {
                let granted = false;
                self.send(message.from, Body::VoteReply { granted, pre });
            }
            Body::VoteReply { .. }
            | Body::AppendReply { .. }
            | Body::ChunkReply { .. }
            | Body::Transfer => {}
        }
    }

    fn answer_pre_vote(&mut self, message: &Message) {
        let Body::Vote { last, .. } = message.body else {
            return;
        };
        let pre = true;
        if self.leader_is_alive() || last < self.log.last() {
            let granted = false;
            self.send(message.from, Body::VoteReply { granted, pre });
        } else {
            let granted = true;
            self.send_in_term(message.from, message.term, Body::VoteReply { granted, pre });
        }
    }

    pub(super) fn dispatch(&mut self, message: Message) {
        let from = message.from;
        match message.body {
            Body::Vote {
                last,
                pre,
                transfer,
            } => {
                let free = self.hard.voted_for.is_none() || self.hard.voted_for == Some(from);
                let safe = transfer || !self.leader_is_alive();
                let follower = self.role == Role::Follower || self.role == Role::PreCandidate;
                let complete = last >= self.log.last();
                let granted = !pre && free && safe && follower && complete && self.leader.is_none();
                if granted {
                    self.role = Role::Follower;
                    self.hard.voted_for = Some(from);
                    self.restart_election_timer();
                }
                self.send(from, Body::VoteReply { granted, pre });
            }
            Body::VoteReply { granted, pre } => {
                if granted && !pre && self.role == Role::Candidate {
                    self.grant(from);
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
            Body::AppendReply { stamp, outcome } => self.handle_reply(from, stamp, outcome),
            Body::ChunkReply {
                stamp,
                position,
                received,
            } => self.handle_chunk_reply(from, stamp, position, received),
        }
    }

    fn grant(&mut self, from: Id) {
        if !self.granted.contains(&from) {
            self.granted.push(from);
        }
        self.count_votes();
    }
}
