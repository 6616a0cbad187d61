//! The leader: proposals, heartbeats, the lease, commitment, read barriers and membership changes.

use primrose_base::clock::Time;

use super::{Barrier, Error, Node, Role, Transfer};
use crate::entry::{Payload, Position};
use crate::membership::{Change, Id, Membership};
use crate::message::{Body, Message, Outcome, Stamp};
use crate::progress::{Flow, Progress};

impl Node {
    /// Appends `data` to the log. The proposal takes effect if the entry at the returned position is committed, and
    /// never does if an entry of another term is committed at that index.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`], [`Error::Full`] or [`Error::TooLarge`]. After an error, nothing has been appended.
    pub fn propose(&mut self, now: Time, data: Vec<u8>) -> Result<Position, Error> {
        self.observe_time(now);
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

    /// Appends a membership change. A replica uses the new membership as soon as the entry is in its log; the change
    /// is final once the entry is committed.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`], [`Error::Pending`] until the previous change and an entry of this term are committed,
    /// [`Error::Refused`], [`Error::Behind`], [`Error::Quorum`] and [`Error::RemovesLeader`].
    pub fn change_membership(&mut self, now: Time, change: &Change) -> Result<Position, Error> {
        self.observe_time(now);
        self.check_leader()?;
        // Two changes in progress, or a change on top of an uncommitted change of an earlier leader, which may still
        // be replaced, could produce two majorities without a common voter.
        let latest = self.memberships[self.memberships.len() - 1].index;
        if latest > self.hard.commit || !self.term_is_committed() {
            return Err(Error::Pending);
        }
        let next = self.membership().after(change)?;
        match change {
            Change::Promote { id } => self.check_learner_caught_up(*id)?,
            Change::Remove { id } if *id == self.id => return Err(Error::RemovesLeader(*id)),
            Change::AddLearner { .. } | Change::Remove { .. } => {}
        }
        if !matches!(change, Change::AddLearner { .. }) {
            self.check_majority_connected(&next)?;
        }
        let position = self.propose_payload(Payload::Members(next));
        self.update_peers();
        Ok(position)
    }

    /// Requests a read barrier for a linearizable read. `context` appears in [`super::Ready::reads`] when the applied
    /// state includes everything that was committed before this call, or in [`super::Ready::aborted_reads`] if the
    /// leadership ends first.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`] if this node is not the leader.
    pub fn read_barrier(&mut self, now: Time, context: u64) -> Result<(), Error> {
        self.observe_time(now);
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
            // The last entry that an earlier leader committed may be any entry before the first one of this term.
            index: self.hard.commit.max(self.term_start_index),
            round: self.round,
        });
        Ok(())
    }

    /// Transfers the leadership to the voter `to`, for a graceful shutdown. Without `to` it chooses the voter with
    /// the highest match index, and among equals the one with the latest answer. Returns the chosen voter.
    ///
    /// From now on the leader refuses proposals. It steps down once the chosen voter has the whole log. If that takes
    /// longer than the shortest election timeout, it cancels the transfer and continues to lead.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`], or [`Error::NotVoter`] if `to` is not another voter or there is no other voter.
    pub fn transfer_leadership(&mut self, now: Time, to: Option<Id>) -> Result<Id, Error> {
        self.observe_time(now);
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

    /// Ends the leadership at once, because the outstanding [`super::Ready`] cannot be written. `unwritten` is the
    /// index of its first entry; this entry and all later ones are dropped, and its messages must not be sent, so that
    /// the dropped entries can never be committed. Returns the first dropped index.
    ///
    /// Also returns the message with which the voter with the highest match index takes over, if there is another
    /// voter. It can be sent before the outstanding [`super::Ready`] is written: it states only the term, which is on
    /// the disk, because other voters have elected this leader in it.
    pub fn resign(&mut self, now: Time, unwritten: Option<u64>) -> (Option<u64>, Option<Message>) {
        self.observe_time(now);
        if self.role != Role::Leader {
            return (None, None);
        }
        let voters = self.peers.iter().filter(|p| self.is_other_voter(p.id));
        let successor = voters.max_by_key(|p| (p.matched, p.acked)).map(|p| p.id);
        let dropped = unwritten.filter(|&index| index > self.hard.commit);
        if let Some(index) = dropped {
            self.truncate(index);
        }
        let term = self.hard.term;
        self.become_follower(term, None);
        let message = successor.map(|to| Message {
            from: self.id,
            to,
            term,
            body: Body::Transfer,
        });
        (dropped, message)
    }

    /// The end of the leader lease on this node's clock; `None` if this node is not the leader, if no majority has
    /// answered yet in this term, or without [`super::Options::keeps_lease_over_restart`].
    pub fn lease_until(&self) -> Option<Time> {
        if self.role != Role::Leader || !self.options.keeps_lease_over_restart {
            return None;
        }
        let acked = self.majority_value(|peer| peer.acked.map(|stamp| stamp.sent), self.now)?;
        Some(acked.plus_ms(self.options.lease_ms))
    }

    /// Whether the lease guarantees that no other replica has become leader before `now`.
    pub fn has_lease(&self, now: Time) -> bool {
        let ticked_recently = now.since(self.last_tick) <= self.options.lease_ms;
        ticked_recently && self.lease_until().is_some_and(|until| now < until)
    }

    fn may_read_by_lease(&self) -> bool {
        self.options.lease_reads && self.has_lease(self.now)
    }

    /// The time at which this node became leader, on its own clock; `None` if it is not the leader. If the leader
    /// sends commands to receivers that do not check terms, it must first wait until the lease of its predecessor has
    /// certainly ended.
    pub fn leader_since(&self) -> Option<Time> {
        (self.role == Role::Leader).then_some(self.leader_since)
    }

    /// The last index that the replica `id` is known to hold on its disk; `None` if this node is not the leader or
    /// `id` is not another member.
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

    fn check_learner_caught_up(&self, id: Id) -> Result<(), Error> {
        let matched = self.match_index(id).unwrap_or(0);
        let last = self.log.last().index;
        if matched + self.options.promotion_lag < last {
            return Err(Error::Behind { id, matched, last });
        }
        Ok(())
    }

    fn check_majority_connected(&self, next: &Membership) -> Result<(), Error> {
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
        self.hard.commit >= self.term_start_index
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

    /// Whether a majority has answered a message that was sent within the shortest election timeout. A new leader
    /// counts as connected until this time has passed since its election.
    pub(super) fn quorum_is_connected(&self) -> bool {
        let since = self.leader_since;
        let sent = |peer: &Progress| Some(peer.acked.map_or(since, |a| a.sent.max(since)));
        self.majority_value(sent, self.now)
            .is_some_and(|sent| self.is_recent(sent))
    }

    /// The highest value that a majority of the voters has reached, where `own` is the value of this node; `None` if
    /// fewer voters than a majority have a value.
    fn majority_value<T: Ord>(&self, value: impl Fn(&Progress) -> Option<T>, own: T) -> Option<T> {
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
        let commit = self.majority_value(|peer| Some(peer.matched), self.durable_index);
        let commit = commit.unwrap_or(0);
        // Only entries of the current term are committed by counting replicas. An entry of an earlier term can still
        // be replaced even if a majority holds it (Ongaro and Ousterhout, 2014, section 5.4.2).
        if commit <= self.hard.commit || self.log.term(commit) != Some(self.hard.term) {
            return;
        }
        for index in self.hard.commit + 1..=commit {
            let bytes = self.log.get(index).map_or(0, |e| e.bytes());
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(bytes);
        }
        self.advance_commit(commit);
    }

    pub(super) fn handle_append_reply(&mut self, from: Id, stamp: Stamp, outcome: Outcome) {
        let last = self.log.last().index;
        let Some(at) = self.peer(from) else { return };
        let peer = &mut self.peers[at];
        peer.record_answer(stamp);
        match outcome {
            Outcome::Matched(index) if index <= last => {
                peer.record_match(index);
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
                    peer.start_probe((agreed + 1).min(previous));
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
        let resend_after_ms = 2 * self.options.heartbeat_ms;
        let Some(at) = self.peer(from) else { return };
        let peer = &mut self.peers[at];
        peer.record_answer(stamp);
        let Flow::Snapshot {
            index,
            offset,
            sent,
        } = peer.flow
        else {
            return;
        };
        let resend = received != offset || now.since(sent) >= resend_after_ms;
        if index == position.index && resend {
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
            // The lease must end before the new leader asks the other voters to ignore it.
            self.send(to, Body::Transfer);
            self.become_follower(self.hard.term, None);
        }
    }

    /// Queues all messages that are due: entries, snapshot chunks, heartbeats and new commit indices.
    pub(super) fn queue_messages(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let heartbeat = std::mem::take(&mut self.heartbeat_due);
        if heartbeat {
            self.last_heartbeat = self.now;
        }
        for at in 0..self.peers.len() {
            self.queue_messages_to(at, heartbeat);
        }
    }

    fn queue_messages_to(&mut self, at: usize, heartbeat: bool) {
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
        let commit_advanced =
            self.peers[at].flow == Flow::Pipeline && self.peers[at].commit_sent < self.hard.commit;
        if !sent && (heartbeat || commit_advanced) {
            self.send_append(at, 0);
        }
    }

    fn may_send_entries(&self, at: usize) -> bool {
        let peer = &self.peers[at];
        match peer.flow {
            Flow::Probe { waiting } => !waiting,
            Flow::Pipeline => {
                let has_room = peer.in_flight.len() < self.options.max_in_flight;
                has_room && peer.next <= self.log.last().index
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

    /// Queues an append message with entries of at most `max_bytes` in total. It contains at least one entry if there
    /// is one to send, but none if `max_bytes` is 0.
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

    /// Starts to send the latest snapshot to a replica whose next entry has been compacted.
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

    /// Queues a chunk of at most `max_bytes` of the snapshot from `offset` on. A chunk of 0 bytes only asks how much
    /// has arrived.
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

    /// Moves the read barriers that are satisfied to the next `Ready`.
    pub(super) fn release_barriers(&mut self) {
        if self.barriers.is_empty() {
            return;
        }
        let confirmed = match self.may_read_by_lease() {
            true => Some(u64::MAX),
            false => self.majority_value(|peer| peer.acked.map(|stamp| stamp.round), self.round),
        };
        let confirmed = confirmed.unwrap_or(0);
        while let Some(barrier) = self.barriers.front() {
            if barrier.round > confirmed || barrier.index > self.submitted_applied {
                break;
            }
            self.released_reads.push(barrier.context);
            self.barriers.pop_front();
        }
    }
}
