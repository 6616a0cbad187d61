//! Which replicas belong to the log.
//!
//! Nobody tells how many core hosts there are: hosts are replaced at other addresses, lose their disks and come back, or
//! never return. The leader decides with what it sees: a new replica becomes a learner, takes the place of a voter that
//! is lost, and counts from then on.

use std::sync::Arc;

use primrose_base::name::Name;
use primrose_consensus::membership::{Change, Id, Member};

use crate::message::Introduction;

/// A voter that was silent for so long, in ms, gives way to a learner that is there. Longer than an election, so that a
/// restart does not count; shorter than the time in which a second loss has to be survived.
pub const LOST_MS: u64 = 3_000;

/// A learner that was silent for so long, in ms, is removed.
pub const LEARNER_LOST_MS: u64 = 10_000;

/// What the leader knows.
pub struct View<'a> {
    /// The members of the log.
    pub members: &'a [Member],
    /// The leader itself.
    pub own: Id,
    /// Replicas with empty disks that asked to be added, one per host.
    pub newcomers: &'a [Introduction],
    /// How long ago each host was heard from, in ms.
    pub silence_ms: &'a dyn Fn(&Name) -> u64,
    /// The failure domain of a host, if known.
    pub domain: &'a dyn Fn(&Name) -> Option<Arc<str>>,
    /// Disks that may be lost at the same time.
    pub tolerated_losses: u32,
}

impl View<'_> {
    /// The next change of the members, if one is due.
    ///
    /// Everything after the addition of a learner follows from the members alone, so that the next leader goes on where
    /// the last one stopped.
    pub fn next_step(&self) -> Option<Change> {
        self.learner_step()
            .or_else(|| self.newcomer_step())
            .or_else(|| self.lost_learner_step())
    }

    fn learner_step(&self) -> Option<Change> {
        let present = self.learners().filter(|learner| !self.is_lost(learner));
        let mut present: Vec<&Member> = present.collect();
        // A failure domain with few voters gets the next one, so that the loss of one domain costs few.
        present.sort_by_key(|learner| (self.voters_beside(learner), learner.id));
        for learner in present {
            let is_renewed = self
                .newcomers
                .iter()
                .any(|newcomer| newcomer.host == learner.host && newcomer.replica != learner.id);
            if is_renewed {
                return Some(Change::Remove { id: learner.id });
            }
            let mut former = self.members.iter();
            let former = former.find(|other| other.host == learner.host && other.id != learner.id);
            if let Some(former) = former {
                return Some(Change::Remove { id: former.id });
            }
            if self.voters().count() < self.wanted_voters() {
                return Some(Change::Promote { id: learner.id });
            }
            if let Some(lost) = self.voters().find(|voter| self.is_lost(voter)) {
                return Some(Change::Remove { id: lost.id });
            }
        }
        None
    }

    fn newcomer_step(&self) -> Option<Change> {
        let is_member = |newcomer: &&Introduction| {
            self.members
                .iter()
                .any(|member| member.id == newcomer.replica)
        };
        let newcomer = self
            .newcomers
            .iter()
            .find(|newcomer| !is_member(newcomer))?;
        Some(Change::AddLearner {
            id: newcomer.replica,
            host: newcomer.host.clone(),
        })
    }

    fn lost_learner_step(&self) -> Option<Change> {
        let lost = self
            .learners()
            .find(|learner| (self.silence_ms)(&learner.host) >= LEARNER_LOST_MS)?;
        Some(Change::Remove { id: lost.id })
    }

    /// Enough voters that a majority remains after the tolerated losses.
    fn wanted_voters(&self) -> usize {
        2 * self.tolerated_losses.max(1) as usize + 1
    }

    fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.voter)
    }

    fn learners(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| !member.voter)
    }

    fn voters_beside(&self, learner: &Member) -> usize {
        let domain = (self.domain)(&learner.host);
        let beside = self
            .voters()
            .filter(|voter| !self.is_lost(voter) && (self.domain)(&voter.host) == domain);
        beside.count()
    }

    fn is_lost(&self, member: &Member) -> bool {
        member.id != self.own && (self.silence_ms)(&member.host) >= LOST_MS
    }
}
