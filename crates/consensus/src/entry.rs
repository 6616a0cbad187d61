//! Entries, positions, hard state and snapshots.

use std::mem;

use serde::{Deserialize, Serialize};

use crate::membership::{Id, Membership};

/// A place in the log. Two logs that hold the same position hold the same entries up to it.
///
/// The term is compared first: the log whose last position is greater is the more up-to-date one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// The term of the leader that appended the entry; 0 before the first entry.
    pub term: u64,
    /// The index of the entry, counted from 1; 0 before the first entry.
    pub index: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Where it is.
    pub position: Position,
    /// What it says.
    pub payload: Payload,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by a new leader, which can commit earlier entries only together with one of its own term.
    Empty,
    /// Opaque bytes for the state machine of the caller.
    Data(Vec<u8>),
    /// The membership from this entry on. It is in force as soon as it is in the log, committed or not.
    Members(Membership),
}

impl Entry {
    /// Approximate memory and message size in bytes; used for limits.
    pub fn bytes(&self) -> usize {
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Data(data) => data.len(),
            Payload::Members(membership) => {
                membership.members().len() * 64 + membership.retired().len() * 8
            }
        };
        mem::size_of::<Entry>() + payload
    }
}

/// What a replica must not forget besides its entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hard {
    /// The highest term seen. It never decreases.
    pub term: u64,
    /// The candidate that got this replica's vote in `term`.
    pub voted_for: Option<Id>,
    /// An index up to which entries are known to be committed. It may lag behind: a change of this field alone is
    /// written without fsync, because a restarted replica learns the rest from the leader.
    pub commit: u64,
}

/// The state of the caller's state machine after the entry at `position`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub position: Position,
    /// The membership in force at that entry.
    pub membership: Membership,
    /// Opaque bytes of the caller.
    pub data: Vec<u8>,
}
