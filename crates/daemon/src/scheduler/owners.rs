//! The host that this host considers the owner of each other failure domain.
//!
//! The owner of this host's own domain is known from the support leases. Owners of other domains are not announced,
//! because that would cause constant traffic: a host sends its report to a live host of the domain, which redirects
//! it to the owner.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;

/// An owner that has not answered for this long, three regular exchange intervals, is replaced by the next candidate.
const OWNER_TIMEOUT_MS: u64 = 1_500;

/// The assumed owners of the other failure domains.
#[derive(Debug, Default)]
pub(super) struct Owners {
    /// Sorted by domain.
    domains: Vec<DomainOwner>,
}

#[derive(Debug)]
struct DomainOwner {
    domain: Name,
    owner: Option<id::Host>,
    /// When the owner last answered, or was chosen if it has not answered since.
    last_answer_at: Time,
}

impl Owners {
    /// Returns the assumed owner of `domain`, after choosing another one if it is no longer live or has timed out.
    /// `candidates` are the live hosts of the domain, sorted by preference as owner.
    pub(super) fn update(
        &mut self,
        domain: &Name,
        candidates: &[id::Host],
        now: Time,
    ) -> Option<id::Host> {
        let entry = self.entry(domain, now);
        let position = candidates
            .iter()
            .position(|host| Some(*host) == entry.owner);
        let has_timed_out = now.since(entry.last_answer_at) >= OWNER_TIMEOUT_MS;
        let next = match position {
            Some(position) if has_timed_out => (position + 1) % candidates.len(),
            Some(_) => return entry.owner,
            None => 0,
        };
        entry.owner = candidates.get(next).copied();
        entry.last_answer_at = now;
        entry.owner
    }

    /// Records that `owner` answered at `now`.
    pub(super) fn record_answer(&mut self, owner: id::Host, now: Time) {
        for entry in &mut self.domains {
            if entry.owner == Some(owner) {
                entry.last_answer_at = now;
            }
        }
    }

    /// Replaces `from`, which is not the owner of its domain, by the `owner` that it named.
    pub(super) fn redirect(&mut self, from: id::Host, owner: id::Host, now: Time) {
        for entry in &mut self.domains {
            if entry.owner == Some(from) {
                entry.owner = Some(owner);
                entry.last_answer_at = now;
            }
        }
    }

    fn entry(&mut self, domain: &Name, now: Time) -> &mut DomainOwner {
        let at = self
            .domains
            .binary_search_by(|entry| entry.domain.cmp(domain))
            .unwrap_or_else(|at| {
                let entry = DomainOwner {
                    domain: domain.clone(),
                    owner: None,
                    last_answer_at: now,
                };
                self.domains.insert(at, entry);
                at
            });
        &mut self.domains[at]
    }
}
