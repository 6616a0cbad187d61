//! Who belongs to the replicated log: voters, learners and retired replica ids.

use std::fmt;

use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

/// A replica id: one life of the disk of one host.
///
/// Chosen at random when a data folder is created, so a host that lost its disk comes back under a new id and cannot
/// vote a second time in a term in which it has voted already.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A replica that receives the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its replica id.
    pub id: Id,
    /// The host it runs on.
    pub host: Name,
    /// Whether it counts for majorities. A learner receives the log but does not count.
    pub voter: bool,
}

/// The members of the log at one index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Sorted by id, no id twice.
    members: Vec<Member>,
    /// Ids that were removed and never come back. Sorted; 8 bytes for each removal in the life of the fleet.
    retired: Vec<Id>,
}

/// One step from a membership to the next.
///
/// Each step changes at most one voter, so that any majority before it and any majority after it share a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A new replica receives the log.
    AddLearner {
        /// Its replica id; never used before.
        id: Id,
        /// The host it runs on.
        host: Name,
    },
    /// A learner becomes a voter.
    Promote {
        /// The learner.
        id: Id,
    },
    /// A voter or learner leaves for good.
    Remove {
        /// The member.
        id: Id,
    },
}

/// Why a [`Change`] does not fit a [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The id is a member already.
    #[error("replica {0} is a member already")]
    Present(Id),
    /// The id was removed earlier.
    #[error("replica {0} was removed earlier and its id is never used again")]
    Retired(Id),
    /// The id is not a member.
    #[error("replica {0} is not a member")]
    Absent(Id),
    /// The id is a voter already.
    #[error("replica {0} is a voter already")]
    Voter(Id),
    /// The last voter cannot be removed.
    #[error("replica {0} is the only voter")]
    LastVoter(Id),
}

impl Membership {
    /// A membership of the given members; later entries with an id that occurred before are dropped.
    pub fn new(mut members: Vec<Member>) -> Membership {
        members.sort_by_key(|member| member.id);
        members.dedup_by_key(|member| member.id);
        Membership {
            members,
            retired: Vec::new(),
        }
    }

    /// All members, sorted by id.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Ids that were removed, sorted.
    pub fn retired(&self) -> &[Id] {
        &self.retired
    }

    /// The member with this id.
    pub fn member(&self, id: Id) -> Option<&Member> {
        self.position(id).ok().map(|at| &self.members[at])
    }

    /// Whether the id counts for majorities.
    pub fn is_voter(&self, id: Id) -> bool {
        self.member(id).is_some_and(|member| member.voter)
    }

    /// The ids that count for majorities, sorted.
    pub fn voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.members
            .iter()
            .filter(|member| member.voter)
            .map(|member| member.id)
    }

    /// The number of voters that is a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The membership after `change`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the change does not fit.
    pub fn after(&self, change: &Change) -> Result<Membership, Refusal> {
        let mut next = self.clone();
        match change {
            Change::AddLearner { id, host } => next.add(*id, host)?,
            Change::Promote { id } => next.promote(*id)?,
            Change::Remove { id } => next.remove(*id)?,
        }
        Ok(next)
    }

    fn add(&mut self, id: Id, host: &Name) -> Result<(), Refusal> {
        if self.retired.binary_search(&id).is_ok() {
            return Err(Refusal::Retired(id));
        }
        let at = match self.position(id) {
            Ok(_) => return Err(Refusal::Present(id)),
            Err(at) => at,
        };
        let host = host.clone();
        let voter = false;
        self.members.insert(at, Member { id, host, voter });
        Ok(())
    }

    fn promote(&mut self, id: Id) -> Result<(), Refusal> {
        let at = self.position(id).map_err(|_| Refusal::Absent(id))?;
        if self.members[at].voter {
            return Err(Refusal::Voter(id));
        }
        self.members[at].voter = true;
        Ok(())
    }

    fn remove(&mut self, id: Id) -> Result<(), Refusal> {
        let at = self.position(id).map_err(|_| Refusal::Absent(id))?;
        if self.members[at].voter && self.voters().count() == 1 {
            return Err(Refusal::LastVoter(id));
        }
        self.members.remove(at);
        if let Err(at) = self.retired.binary_search(&id) {
            self.retired.insert(at, id);
        }
        Ok(())
    }

    fn position(&self, id: Id) -> Result<usize, usize> {
        self.members.binary_search_by_key(&id, |member| member.id)
    }
}
