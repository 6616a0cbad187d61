//! The members of the replicated log (voters and learners) and the replica ids that were removed.

use std::fmt;

use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

/// A replica id, which identifies one data folder of one host.
///
/// The id is chosen at random when the data folder is created. A host that lost its disk therefore gets a new id, and
/// cannot vote under the old id a second time in the same term.
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

/// A voter or learner of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The replica id of the member.
    pub id: Id,
    /// The host on which the replica runs.
    pub host: Name,
    /// Whether the member votes and counts for majorities. A learner receives the log but does neither.
    pub voter: bool,
}

/// The members of the log, and the retired replica ids, at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Sorted by id, without duplicates.
    members: Vec<Member>,
    /// Replica ids that were removed and can never be added again, sorted. Grows by 8 bytes with each removal for as
    /// long as the fleet exists.
    retired: Vec<Id>,
}

/// A change of one member.
///
/// Each change adds or removes at most one voter, so that any majority before it and any majority after it share a
/// voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a replica as a learner, which receives the log.
    AddLearner {
        /// The replica id, which must be neither a member nor retired.
        id: Id,
        /// The host on which the replica runs.
        host: Name,
    },
    /// Makes a learner a voter.
    Promote {
        /// The replica id of the learner.
        id: Id,
    },
    /// Removes a voter or learner and retires its replica id.
    Remove {
        /// The replica id of the member.
        id: Id,
    },
}

/// Why a [`Change`] is not valid for a [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The replica to add is already a member.
    #[error("replica {0} is already a member")]
    Present(Id),
    /// The replica to add has been removed earlier.
    #[error("replica {0} was removed earlier and cannot be added again under the same id")]
    Retired(Id),
    /// The replica to promote or remove is not a member.
    #[error("replica {0} is not a member")]
    Absent(Id),
    /// The replica to promote is already a voter.
    #[error("replica {0} is already a voter")]
    Voter(Id),
    /// The replica to remove is the only voter.
    #[error("replica {0} is the only voter and cannot be removed")]
    LastVoter(Id),
}

impl Membership {
    /// Creates a membership without retired ids. Of several members with the same id, the first one is kept.
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

    /// The replica ids that were removed, sorted.
    pub fn retired(&self) -> &[Id] {
        &self.retired
    }

    /// The member with the given id, or `None` if the id is not a member.
    pub fn member(&self, id: Id) -> Option<&Member> {
        self.position(id).ok().map(|at| &self.members[at])
    }

    /// Whether the id is a voter, which counts for majorities.
    pub fn is_voter(&self, id: Id) -> bool {
        self.member(id).is_some_and(|member| member.voter)
    }

    /// The ids of the voters, sorted.
    pub fn voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.members
            .iter()
            .filter(|member| member.voter)
            .map(|member| member.id)
    }

    /// The smallest number of voters that is a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the membership after `change`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the change is not valid for this membership.
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
