//! The follower: appending entries of the leader and installing snapshots.

use std::sync::Arc;

use super::{Incoming, Node, Role};
use crate::entry::{Entry, Position, Snapshot};
use crate::membership::{Id, Membership};
use crate::message::{Body, Outcome, Stamp};

impl Node {
    /// Handles an append or a snapshot chunk from the leader of the current term.
    pub(super) fn handle_leader_message(&mut self, from: Id, body: Body) {
        assert!(
            self.role != Role::Leader,
            "replica {from} also claims to lead term {}",
            self.hard.term
        );
        self.become_follower(self.hard.term, Some(from));
        self.last_contact = self.now;
        self.has_had_leader = true;
        self.restart_election_timer();
        match body {
            Body::Append {
                stamp,
                previous,
                entries,
                commit,
            } => {
                let outcome = self.append_from_leader(previous, entries, commit);
                self.send(from, Body::AppendReply { stamp, outcome });
            }
            Body::Chunk {
                stamp,
                position,
                membership,
                total,
                offset,
                data,
            } => {
                let chunk = Chunk {
                    membership,
                    total,
                    offset,
                    data,
                };
                self.receive_chunk(from, stamp, position, chunk);
            }
            _ => {}
        }
    }

    fn append_from_leader(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
    ) -> Outcome {
        // Committed entries are the same on all replicas, and this replica may have compacted them.
        let committed = previous.index < self.hard.commit;
        if !committed && !self.log.holds(previous) {
            return Outcome::Mismatch {
                previous: previous.index,
                hint: self.log.hint(previous.index, previous.term),
            };
        }
        let last = previous.index + entries.len() as u64;
        for entry in entries {
            self.append_if_new(entry);
        }
        self.advance_commit(commit.min(last));
        Outcome::Matched(last)
    }

    fn append_if_new(&mut self, entry: Entry) {
        let position = entry.position;
        if position.index <= self.hard.commit || self.log.holds(position) {
            return;
        }
        if position.index <= self.log.last().index {
            self.truncate(position.index);
        }
        self.push(entry);
    }

    pub(super) fn advance_commit(&mut self, commit: u64) {
        self.hard.commit = self.hard.commit.max(commit);
    }

    fn receive_chunk(&mut self, from: Id, stamp: Stamp, position: Position, chunk: Chunk) {
        if position.index <= self.hard.commit {
            self.incoming = None;
            let outcome = Outcome::Matched(position.index);
            self.send(from, Body::AppendReply { stamp, outcome });
            return;
        }
        if chunk.total > self.options.max_snapshot_bytes as u64 {
            return;
        }
        let incoming = self.incoming_from(from, position);
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received < chunk.total {
            let body = Body::ChunkReply {
                stamp,
                position,
                received,
            };
            self.send(from, body);
            return;
        }
        let data = self.incoming.take().map_or(Vec::new(), |i| i.data);
        self.install_snapshot(Snapshot {
            position,
            membership: chunk.membership,
            data,
        });
        let outcome = Outcome::Matched(position.index);
        self.send(from, Body::AppendReply { stamp, outcome });
    }

    /// The received part of the snapshot at `position`. Chunks of different senders or terms are not combined,
    /// because another leader may encode the same state differently.
    fn incoming_from(&mut self, from: Id, position: Position) -> &mut Incoming {
        let term = self.hard.term;
        let same = |i: &Incoming| i.from == from && i.term == term && i.position == position;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = None;
        }
        self.incoming.get_or_insert_with(|| Incoming {
            from,
            term,
            position,
            data: Vec::new(),
        })
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        if self.log.holds(position) {
            self.compact(position.index);
            self.submitted_index = self.submitted_index.max(position.index);
        } else {
            self.log.reset(position);
            self.memberships.clear();
            self.memberships.push(super::MembershipAt {
                index: position.index,
                membership: snapshot.membership.clone(),
            });
            self.submitted_index = position.index;
            self.durable_index = position.index;
            self.truncate_from = Some(position.index + 1);
            self.forget_outstanding_entries();
        }
        self.hard.commit = position.index;
        self.submitted_applied = position.index;
        let snapshot = Arc::new(snapshot);
        self.snapshot = Some(Arc::clone(&snapshot));
        self.persist_snapshot = Some(Arc::clone(&snapshot));
        self.restore = Some(snapshot);
    }
}

/// A part of a snapshot, as in [`Body::Chunk`].
struct Chunk {
    membership: Membership,
    total: u64,
    offset: u64,
    data: Vec<u8>,
}
