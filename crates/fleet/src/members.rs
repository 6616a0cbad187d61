//! Decides which replicas are members of the log.
//!
//! The number of core hosts is not configured: hosts are replaced by others with other addresses, come back with
//! empty disks, or never return. The leader decides by what it observes. A new replica becomes a learner and takes the
//! place of a voter that is lost or whose host shuts down.

use std::sync::Arc;

use primrose_base::name::Name;
use primrose_consensus::membership::{Change, Id, Member};

use crate::message::Introduction;

/// Silence after which a voter is replaced by a learner that is up, in ms. This is longer than an election, so that a
/// restart does not count as a loss, and shorter than the time in which a second loss has to be survived.
pub const VOTER_LOST_MS: u64 = 3_000;

/// Silence after which a learner is removed, in ms.
pub const LEARNER_LOST_MS: u64 = 10_000;

/// The data from which the leader derives the next change of the members.
pub struct View<'a> {
    /// The current members of the log.
    pub members: &'a [Member],
    /// Id of the leader's own replica.
    pub own: Id,
    /// Replicas with empty disks that asked to be added, one per host.
    pub newcomers: &'a [Introduction],
    /// Replicas whose hosts shut down, sorted.
    pub leaving: &'a [Id],
    /// Returns the time since the last message from a host, in ms.
    pub silence_ms: &'a dyn Fn(&Name) -> u64,
    /// Returns the failure domain of a host, if known.
    pub domain: &'a dyn Fn(&Name) -> Option<Arc<str>>,
    /// Number of disks that may be lost at the same time without losing the log. Counts as at least 1.
    pub tolerated_losses: u32,
}

impl View<'_> {
    /// Returns the next change of the members, if one is due.
    ///
    /// Once a learner has been added, all further changes follow from the members alone, so that a new leader
    /// continues where the last one stopped.
    pub fn next_change(&self) -> Option<Change> {
        self.replacement()
            .or_else(|| self.addition())
            .or_else(|| self.lost_learner_removal())
    }

    fn replacement(&self) -> Option<Change> {
        let is_present = |member: &&Member| !self.is_lost(member) && !self.is_leaving(member);
        let mut present: Vec<&Member> = self.learners().filter(is_present).collect();
        // A voter that shuts down still votes, so its successor is added first: with one voter less, the loss of
        // another disk could end the majority.
        if self.voters().count() > self.wanted_voters() {
            let lost = self.voters().find(|voter| self.is_lost(voter));
            let gone = lost.or_else(|| self.voters().find(|voter| self.is_leaving(voter)));
            if let Some(gone) = gone {
                return Some(Change::Remove { id: gone.id });
            }
        }
        // The learner in the failure domain with the fewest voters comes first, so that the loss of one domain costs
        // few voters.
        present.sort_by_key(|learner| (self.present_voters_in_domain(learner), learner.id));
        for learner in present {
            let is_superseded = self
                .newcomers
                .iter()
                .any(|newcomer| newcomer.host == learner.host && newcomer.replica != learner.id);
            if is_superseded {
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
            if self.voters().any(|voter| self.is_leaving(voter)) {
                return Some(Change::Promote { id: learner.id });
            }
        }
        None
    }

    fn addition(&self) -> Option<Change> {
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

    fn lost_learner_removal(&self) -> Option<Change> {
        let lost = self
            .learners()
            .find(|learner| (self.silence_ms)(&learner.host) >= LEARNER_LOST_MS)?;
        Some(Change::Remove { id: lost.id })
    }

    fn wanted_voters(&self) -> usize {
        wanted_voters(self.tolerated_losses)
    }

    fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.voter)
    }

    fn learners(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| !member.voter)
    }

    fn present_voters_in_domain(&self, learner: &Member) -> usize {
        let domain = (self.domain)(&learner.host);
        let voters = self
            .voters()
            .filter(|voter| !self.is_lost(voter) && !self.is_leaving(voter))
            .filter(|voter| (self.domain)(&voter.host) == domain);
        voters.count()
    }

    fn is_lost(&self, member: &Member) -> bool {
        member.id != self.own && (self.silence_ms)(&member.host) >= VOTER_LOST_MS
    }

    fn is_leaving(&self, member: &Member) -> bool {
        self.leaving.binary_search(&member.id).is_ok()
    }
}

/// Number of voters with which a majority remains after `tolerated_losses` disks were lost. At least one loss is
/// tolerated.
pub fn wanted_voters(tolerated_losses: u32) -> usize {
    2 * tolerated_losses.max(1) as usize + 1
}
