//! Which host is followed as the owner of each failure domain.
//!
//! The owner of the own domain comes from the support leases. Owners of other domains are not announced, since that
//! would cost traffic all the time: a host tries a live host of the domain and is redirected.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;

/// An owner that does not answer for this long is replaced by the next candidate; three regular exchanges.
const SILENCE_LIMIT_MS: u64 = 1_500;

/// The followed owners of the other failure domains.
#[derive(Debug, Default)]
pub(super) struct Owners {
    /// Sorted by domain.
    domains: Vec<Followed>,
}

#[derive(Debug)]
struct Followed {
    domain: Name,
    owner: Option<id::Host>,
    /// When the owner was chosen or answered last.
    heard_at: Time,
}

impl Owners {
    /// Keeps or replaces the owner of `domain` and returns it. `candidates` are the live hosts of the domain, the likely
    /// owner first.
    pub(super) fn update(
        &mut self,
        domain: &Name,
        candidates: &[id::Host],
        now: Time,
    ) -> Option<id::Host> {
        let followed = self.followed(domain, now);
        let position = candidates
            .iter()
            .position(|host| Some(*host) == followed.owner);
        let is_silent = now.since(followed.heard_at) >= SILENCE_LIMIT_MS;
        let next = match position {
            Some(position) if is_silent => (position + 1) % candidates.len(),
            Some(_) => return followed.owner,
            None => 0,
        };
        followed.owner = candidates.get(next).copied();
        followed.heard_at = now;
        followed.owner
    }

    /// The owner of a domain answered.
    pub(super) fn heard(&mut self, owner: id::Host, now: Time) {
        for followed in &mut self.domains {
            if followed.owner == Some(owner) {
                followed.heard_at = now;
            }
        }
    }

    /// `from` is not the owner of its domain and named another host.
    pub(super) fn redirect(&mut self, from: id::Host, owner: id::Host, now: Time) {
        for followed in &mut self.domains {
            if followed.owner == Some(from) {
                followed.owner = Some(owner);
                followed.heard_at = now;
            }
        }
    }

    fn followed(&mut self, domain: &Name, now: Time) -> &mut Followed {
        let at = self
            .domains
            .binary_search_by(|followed| followed.domain.cmp(domain))
            .unwrap_or_else(|at| {
                let followed = Followed {
                    domain: domain.clone(),
                    owner: None,
                    heard_at: now,
                };
                self.domains.insert(at, followed);
                at
            });
        &mut self.domains[at]
    }
}
