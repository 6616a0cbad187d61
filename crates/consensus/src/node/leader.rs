//! The leader's side: proposals, heartbeats, the lease, commitment and membership changes.

use primrose_base::clock::Time;

use super::{Barrier, Error, Node, Role, Transfer};
use crate::entry::{Payload, Position};
use crate::membership::{Change, Id, Membership};
use crate::message::{Body, Outcome, Stamp};
use crate::progress::{Flow, Progress};

impl Node {
    /// Appends `data` to the log. The proposal is accepted if an entry with the returned position is committed, and lost
    /// if another entry is committed at that index.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`], [`Error::Full`] or [`Error::TooLarge`]; nothing was appended.
    pub fn propose(&mut self, now: Time, data: Vec<u8>) -> Result<Position, Error> {
        self.observe(now);
        self.check_leader()?;
        let (bytes, limit) = (data.len(), self.options.max_entry_bytes);
        if bytes > limit {
            return Err(Error::TooLarge { bytes, limit });
        }
        let (bytes, limit) = (self.uncommitted_bytes, self.options.max_uncommitted_bytes);
        if bytes >= limit {
            return Err(Error::Full { bytes, limit });
        }
        Ok(self.propose_payload(Payload::Data(data)))
    }

    /// Appends a membership change. It is in force at once on replicas that have it in their log, and certain once it is
    /// committed.
    ///
    /// # Errors
    ///
    /// Besides the errors of [`Node::propose`]: [`Error::Pending`] until the previous change and an entry of this term
    /// are committed, [`Error::Refused`], [`Error::Behind`], [`Error::Quorum`] and [`Error::RemovesLeader`].
    pub fn change_membership(&mut self, now: Time, change: &Change) -> Result<Position, Error> {
        self.observe(now);
        self.check_leader()?;
        // Two changes in progress, or one on top of a change of an earlier leader that may still be replaced, could
        // produce two majorities without a common voter.
        let latest = self.memberships[self.memberships.len() - 1].index;
        if latest > self.hard.commit || !self.term_is_committed() {
            return Err(Error::Pending);
        }
        let next = self.membership().after(change)?;
        match change {
            Change::Promote { id } => self.check_learner(*id)?,
            Change::Remove { id } if *id == self.id => return Err(Error::RemovesLeader(*id)),
            Change::AddLearner { .. } | Change::Remove { .. } => {}
        }
        if !matches!(change, Change::AddLearner { .. }) {
            self.check_connected(&next)?;
        }
        let position = self.propose_payload(Payload::Members(next));
        self.add_peers();
        Ok(position)
    }

    /// Asks for a linearizable read. `context` appears in [`super::Ready::reads`] when the applied state includes
    /// everything that was committed before this call, or in [`super::Ready::aborted_reads`] if the leadership ends first.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`].
    pub fn read_barrier(&mut self, now: Time, context: u64) -> Result<(), Error> {
        self.observe(now);
        if self.role != Role::Leader {
            let leader = self.leader;
            return Err(Error::NotLeader { leader });
        }
        self.round += 1;
        if !self.may_read_by_lease() {
            self.heartbeat_due = true;
        }
        self.barriers.push_back(Barrier {
            context,
            // Entries that an earlier leader committed may lie anywhere before the first entry of this term.
            index: self.hard.commit.max(self.term_start),
            round: self.round,
        });
        Ok(())
    }

    /// Passes the leadership to the voter `to`, or to the most complete connected one, for a graceful shutdown. Proposals
    /// are refused from now on. The leader steps down once the receiver has the whole log; if that takes longer than the
    /// election timeout, it goes on leading. Returns the receiver.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`], or [`Error::NotVoter`] if the receiver is not another voter.
    pub fn transfer_leadership(&mut self, now: Time, to: Option<Id>) -> Result<Id, Error> {
        self.observe(now);
        self.check_leader()?;
        let candidates = self.peers.iter().filter(|p| self.is_other_voter(p.id));
        let best = candidates.max_by_key(|p| (p.matched, p.acked));
        let to = match (to, best) {
            (Some(id), _) if !self.is_other_voter(id) => return Err(Error::NotVoter(id)),
            (Some(id), _) => id,
            (None, Some(best)) => best.id,
            (None, None) => return Err(Error::NotVoter(self.id)),
        };
        let since = self.now;
        self.transfer = Some(Transfer { to, since });
        self.finish_transfer();
        Ok(to)
    }

    /// When the leader lease ends, on this node's clock; `None` if it is not the leader or no majority has answered yet.
    pub fn lease_until(&self) -> Option<Time> {
        if self.role != Role::Leader {
            return None;
        }
        let acked = self.majority(|peer| peer.acked.map(|stamp| stamp.sent), self.now)?;
        Some(acked.plus_ms(self.options.lease_ms))
    }

    /// Whether no other replica can have become leader before `now`.
    pub fn has_lease(&self, now: Time) -> bool {
        let awake = now.since(self.last_tick) <= self.options.lease_ms;
        awake && self.lease_until().is_some_and(|until| now < until)
    }

    fn may_read_by_lease(&self) -> bool {
        self.options.lease_reads && self.has_lease(self.now)
    }

    /// Since when it leads, on its own clock. A leader that sends orders to receivers that do not check terms waits until
    /// the lease of its predecessor has ended for certain.
    pub fn leader_since(&self) -> Option<Time> {
        (self.role == Role::Leader).then_some(self.leader_since)
    }

    /// The last index that the given replica is known to hold, if this node is the leader.
    pub fn match_index(&self, id: Id) -> Option<u64> {
        let peer = self.peers.iter().find(|peer| peer.id == id);
        peer.map(|peer| peer.matched)
    }

    fn check_leader(&self) -> Result<(), Error> {
        if self.role != Role::Leader || self.transfer.is_some() {
            let leader = self.leader.filter(|&leader| leader != self.id);
            return Err(Error::NotLeader { leader });
        }
        Ok(())
    }

    fn check_learner(&self, id: Id) -> Result<(), Error> {
        let matched = self.match_index(id).unwrap_or(0);
        let last = self.log.last().index;
        if matched + self.options.promotion_lag < last {
            return Err(Error::Behind { id, matched, last });
        }
        Ok(())
    }

    fn check_connected(&self, next: &Membership) -> Result<(), Error> {
        let recent = |id: Id| {
            let acked = self.peers.iter().find(|p| p.id == id).and_then(|p| p.acked);
            id == self.id || acked.is_some_and(|a| self.is_recent(a.sent))
        };
        let connected = next.voters().filter(|&id| recent(id)).count();
        if connected < next.majority() {
            let voters = next.voters().count();
            return Err(Error::Quorum { connected, voters });
        }
        Ok(())
    }

    fn is_recent(&self, sent: Time) -> bool {
        self.now.since(sent) < self.options.election_min_ms
    }

    fn is_other_voter(&self, id: Id) -> bool {
        id != self.id && self.membership().is_voter(id)
    }

    fn term_is_committed(&self) -> bool {
        self.hard.commit >= self.term_start
    }

    pub(super) fn propose_payload(&mut self, payload: Payload) -> Position {
        let position = self.append(payload);
        let bytes = self.log.get(position.index).map_or(0, |e| e.bytes());
        self.uncommitted_bytes += bytes;
        position
    }

    pub(super) fn tick_leader(&mut self) {
        if self.now.since(self.last_heartbeat) >= self.options.heartbeat_ms {
            self.round += 1;
            self.heartbeat_due = true;
        }
        let timeout = self.options.election_min_ms;
        if self
            .transfer
            .is_some_and(|t| self.now.since(t.since) >= timeout)
        {
            self.transfer = None;
        }
    }

    /// Whether a majority answered a message that was sent within the election timeout. A new leader has until the end of
    /// its first timeout.
    pub(super) fn quorum_is_connected(&self) -> bool {
        let since = self.leader_since;
        let sent = |peer: &Progress| Some(peer.acked.map_or(since, |a| a.sent.max(since)));
        self.majority(sent, self.now)
            .is_some_and(|sent| self.is_recent(sent))
    }

    /// The highest value that a majority of the voters has reached; `None` if a majority has no value.
    fn majority<T: Ord>(&self, value: impl Fn(&Progress) -> Option<T>, own: T) -> Option<T> {
        let membership = self.membership();
        let peers = self.peers.iter().filter(|p| membership.is_voter(p.id));
        let mut values: Vec<T> = peers.filter_map(value).collect();
        if membership.is_voter(self.id) {
            values.push(own);
        }
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(membership.majority() - 1)
    }

    pub(super) fn commit_by_majority(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let commit = self.majority(|peer| Some(peer.matched), self.durable);
        let commit = commit.unwrap_or(0);
        // Only entries of the current term are committed by counting replicas: an entry of an earlier term on a majority
        // can still be replaced (Ongaro and Ousterhout, 2014, section 5.4.2).
        if commit <= self.hard.commit || self.log.term(commit) != Some(self.hard.term) {
            return;
        }
        for index in self.hard.commit + 1..=commit {
            let bytes = self.log.get(index).map_or(0, |e| e.bytes());
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(bytes);
        }
        self.advance_commit(commit);
    }

    pub(super) fn handle_reply(&mut self, from: Id, stamp: Stamp, outcome: Outcome) {
        let last = self.log.last().index;
        let Some(at) = self.peer(from) else { return };
        let peer = &mut self.peers[at];
        peer.stamp(stamp);
        match outcome {
            Outcome::Matched(index) if index <= last => {
                peer.accept(index);
                self.commit_by_majority();
                self.finish_transfer();
            }
            Outcome::Mismatch { previous, hint } => {
                let current = match peer.flow {
                    Flow::Probe { .. } => previous + 1 == peer.next,
                    Flow::Pipeline => previous > peer.matched && previous < peer.next,
                    Flow::Snapshot { .. } => false,
                };
                if current {
                    let agreed = self.log.hint(hint.index, hint.term).index;
                    peer.probe((agreed + 1).min(previous));
                }
            }
            Outcome::Matched(_) | Outcome::Stale => {}
        }
    }

    pub(super) fn handle_chunk_reply(
        &mut self,
        from: Id,
        stamp: Stamp,
        position: Position,
        received: u64,
    ) {
        let now = self.now;
        let patience_ms = 2 * self.options.heartbeat_ms;
        let Some(at) = self.peer(from) else { return };
        let peer = &mut self.peers[at];
        peer.stamp(stamp);
        let Flow::Snapshot {
            index,
            offset,
            sent,
        } = peer.flow
        else {
            return;
        };
        let repeat = received != offset || now.since(sent) >= patience_ms;
        if index == position.index && repeat {
            peer.flow = Flow::Snapshot {
                index,
                offset: received,
                sent: now,
            };
            self.send_chunk(at, received, self.options.max_message_bytes);
        }
    }

    fn peer(&self, id: Id) -> Option<usize> {
        self.peers.iter().position(|peer| peer.id == id)
    }

    fn finish_transfer(&mut self) {
        let Some(Transfer { to, .. }) = self.transfer else {
            return;
        };
        if self.match_index(to) == Some(self.log.last().index) {
            // The lease ends here, before the receiver asks others not to respect it.
            self.send(to, Body::Transfer);
            self.become_follower(self.hard.term, None);
        }
    }

    /// Queues the messages that are due for all other members.
    pub(super) fn flush(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let heartbeat = std::mem::take(&mut self.heartbeat_due);
        if heartbeat {
            self.last_heartbeat = self.now;
        }
        for at in 0..self.peers.len() {
            self.flush_peer(at, heartbeat);
        }
    }

    fn flush_peer(&mut self, at: usize, heartbeat: bool) {
        if heartbeat && matches!(self.peers[at].flow, Flow::Probe { .. }) {
            self.peers[at].flow = Flow::Probe { waiting: false };
        }
        let mut sent = false;
        while self.may_send_entries(at) {
            self.send_append(at, self.options.max_message_bytes);
            sent = true;
        }
        if let Flow::Snapshot { offset, .. } = self.peers[at].flow {
            if heartbeat && !sent {
                self.send_chunk(at, offset, 0);
            }
            return;
        }
        let news =
            self.peers[at].flow == Flow::Pipeline && self.peers[at].commit_sent < self.hard.commit;
        if !sent && (heartbeat || news) {
            self.send_append(at, 0);
        }
    }

    fn may_send_entries(&self, at: usize) -> bool {
        let peer = &self.peers[at];
        match peer.flow {
            Flow::Probe { waiting } => !waiting,
            Flow::Pipeline => {
                let room = peer.in_flight.len() < self.options.max_in_flight;
                room && peer.next <= self.log.last().index
            }
            Flow::Snapshot { .. } => false,
        }
    }

    fn stamp(&self) -> Stamp {
        Stamp {
            round: self.round,
            sent: self.now,
        }
    }

    /// Sends entries of at most `max_bytes` in total, but at least one; none if `max_bytes` is 0.
    fn send_append(&mut self, at: usize, max_bytes: usize) {
        let (id, next) = (self.peers[at].id, self.peers[at].next);
        let Some(term) = self.log.term(next - 1) else {
            self.start_snapshot(at);
            return;
        };
        let previous = Position {
            term,
            index: next - 1,
        };
        let entries = match max_bytes {
            0 => Vec::new(),
            limit => self.log.slice(next, self.log.last().index, limit),
        };
        let commit = self.hard.commit;
        let peer = &mut self.peers[at];
        let last = previous.index + entries.len() as u64;
        peer.commit_sent = commit;
        match &mut peer.flow {
            Flow::Probe { waiting } => *waiting = true,
            Flow::Pipeline if !entries.is_empty() => {
                peer.in_flight.push_back(last);
                peer.next = last + 1;
            }
            Flow::Pipeline | Flow::Snapshot { .. } => {}
        }
        let body = Body::Append {
            stamp: self.stamp(),
            previous,
            entries,
            commit,
        };
        self.send(id, body);
    }

    /// Starts to send the latest snapshot.
    fn start_snapshot(&mut self, at: usize) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let peer = &mut self.peers[at];
        peer.flow = Flow::Snapshot {
            index: snapshot.position.index,
            offset: 0,
            sent: self.now,
        };
        peer.in_flight.clear();
        peer.sending = Some(snapshot);
        self.send_chunk(at, 0, self.options.max_message_bytes);
    }

    /// Sends at most `max_bytes` of the snapshot from `offset` on. With 0 bytes it only asks how much has arrived.
    fn send_chunk(&mut self, at: usize, offset: u64, max_bytes: usize) {
        let peer = &self.peers[at];
        let Some(snapshot) = peer.sending.clone() else {
            return;
        };
        let total = snapshot.data.len();
        let start = (offset as usize).min(total);
        let end = (start + max_bytes).min(total);
        let body = Body::Chunk {
            stamp: self.stamp(),
            position: snapshot.position,
            membership: snapshot.membership.clone(),
            total: total as u64,
            offset,
            data: snapshot.data[start..end].to_vec(),
        };
        self.send(peer.id, body);
    }

    /// Moves the read barriers that hold to the next `Ready`.
    pub(super) fn release_barriers(&mut self) {
        if self.barriers.is_empty() {
            return;
        }
        let confirmed = match self.may_read_by_lease() {
            true => Some(u64::MAX),
            false => self.majority(|peer| peer.acked.map(|stamp| stamp.round), self.round),
        };
        let confirmed = confirmed.unwrap_or(0);
        while let Some(barrier) = self.barriers.front() {
            if barrier.round > confirmed || barrier.index > self.applied {
                break;
            }
            self.released_reads.push(barrier.context);
            self.barriers.pop_front();
        }
    }
}
