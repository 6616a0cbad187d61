//! Election of the owner of a failure domain: the host that allocates the slots of the domain's backend servers.
//!
//! A host supports an owner by granting it a lease. Every host supports at most one owner at a time. On the clock of
//! the supporting host the lease lasts [`LEASE_MS`] and is renewed by each granted request. The owner counts it from
//! the time of its request, which is before the supporter granted it, and for 1% less ([`COUNTED_LEASE_MS`]), which
//! allows for clocks that run at different rates. So at any moment at most one owner counts a given host as its
//! supporter, and at most one owner has a majority.
//!
//! - A host that supports nobody grants the request of the live host with the lowest name, or of an owner that
//!   already has a majority. If the host with the lowest name sends no request within [`CANDIDATE_TIMEOUT_MS`], it is
//!   skipped until it sends one.
//! - An owner keeps its supporters as long as it renews their leases, so that a host with a low name that keeps
//!   restarting does not cause changes of owner.
//! - When two owners hear of each other, the one with fewer supporters resigns, and with equally many the one with
//!   the higher name.
//! - A process that has just started supports nobody for the length of one lease, because it does not know which
//!   owner the previous process on its host supported.
//!
//! Takeover after a crash of the owner: the last lease it was granted ends within `LEASE_MS`, and the next host sends
//! its request within `REQUEST_INTERVAL_MS` and has the answers one round trip later, together 2.5 s and a round
//! trip. Each further dead host with a lower name that is still alive in the membership view adds
//! `CANDIDATE_TIMEOUT_MS`.
//!
//! Cost: a request has 12 and an answer 10 bytes of postcard. In a domain of 3 hosts they may be sent as datagrams of
//! their own. In a domain of 61 hosts (the target size) 120 datagrams/s would cost the owner about 8 KB/s with
//! headers, so there they have to be carried in the messages that the owner and its hosts exchange anyway.
//!
//! Limit: two hosts whose configurations differ by at most one host of the domain can't both have a majority, because
//! majorities of `n` and `n + 1` hosts overlap. A partitioned host whose configuration is older by several such
//! changes can. Claims and orders do not depend on ownership, so the effect is that the same slots are allocated
//! twice.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

/// Duration of a lease on the clock of the supporting host.
pub const LEASE_MS: u64 = 2_000;

/// How long an owner counts a lease, from the time at which it sent the request.
pub const COUNTED_LEASE_MS: u64 = 1_980;

/// Interval at which the caller calls [`Ownership::request`] and sends the result to the other hosts of the domain.
pub const REQUEST_INTERVAL_MS: u64 = 500;

/// How long a host that supports nobody waits for the request of the preferred candidate: two request intervals.
pub const CANDIDATE_TIMEOUT_MS: u64 = 2 * REQUEST_INTERVAL_MS;

/// Number of latest requests whose answers still count; at two per second they cover more than `COUNTED_LEASE_MS`.
const MAX_OPEN_REQUESTS: usize = 16;

/// A configured host of the failure domain, which may become its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Id, unique in the fleet.
    pub host: id::Host,
    /// Name; the live candidate with the lowest name is preferred as owner.
    pub name: Name,
}

/// Asks a host to support the sender as owner. May be sent as a message of its own or within another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The host that is or wants to become owner.
    pub owner: id::Host,
    /// Start time of its process, which distinguishes the requests of two processes on the same host.
    pub incarnation: u64,
    /// Sequence number of the request within the process.
    pub round: u32,
    /// Number of supporters that the sender counts, including itself.
    pub supporters: u32,
}

/// Answers a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The incarnation in the request.
    pub incarnation: u64,
    /// The round of the request.
    pub round: u32,
    /// Whether the answering host supports the requesting one for [`LEASE_MS`] from the time of the answer.
    pub granted: bool,
}

/// Ends the support of the receiver: the sender has resigned and no longer allocates slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The host that resigned.
    pub owner: id::Host,
    /// Start time of its process.
    pub incarnation: u64,
    /// Round of its last request. Support that was granted in a later round stays.
    pub round: u32,
    /// Whether the host leaves the fleet, so that the receiver skips it as a candidate.
    pub leaving: bool,
}

/// The share of each server's slots that an owner may allocate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Hosts that support the owner, including itself; at least 1.
    pub supporters: u32,
    /// Configured hosts of the domain, at least `supporters`.
    pub hosts: u32,
}

impl Share {
    /// Whether a majority supports the owner, which then may allocate all slots.
    pub const fn has_majority(self) -> bool {
        2 * self.supporters > self.hosts
    }

    /// How many of the `slots` slots of one server the owner may allocate: all with a majority, otherwise
    /// `slots * supporters / hosts`, rounded down.
    pub const fn slots(self, slots: u32) -> u32 {
        if self.has_majority() {
            return slots;
        }
        (slots as u64 * self.supporters as u64 / self.hosts as u64) as u32
    }
}

/// The lease that this host has granted, to another host or to itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Support {
    owner: id::Host,
    incarnation: u64,
    /// Round of the latest request that was granted.
    round: u32,
    expires_at: Time,
}

/// A host that has granted this one a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Supporter {
    host: id::Host,
    /// When this host stops counting the lease.
    counted_until: Time,
}

/// A request of this host whose answers still count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenRequest {
    round: u32,
    sent_at: Time,
}

/// The state of one host in the election of the owner of its failure domain.
///
/// The caller passes in the configuration and the membership view, calls [`Ownership::request`] every
/// [`REQUEST_INTERVAL_MS`], delivers requests, answers and releases, and checks [`Ownership::share`] before it
/// allocates a slot.
#[derive(Clone, Debug)]
pub struct Ownership {
    local: id::Host,
    incarnation: u64,
    /// Configured hosts of the domain, sorted by name.
    candidates: Vec<Candidate>,
    /// Hosts that are alive in this host's membership view, sorted.
    live: Vec<id::Host>,
    /// Hosts that were preferred but sent no request in time, sorted. A request removes its sender from this list.
    skipped: Vec<id::Host>,
    /// The lease that this host granted last; it may have expired.
    support: Option<Support>,
    /// Since when this host has supported no owner.
    no_owner_since: Time,
    /// Earliest time at which this host may support an owner: the previous process may have granted a lease.
    may_support_from: Time,
    /// Earliest time at which this host may request support.
    may_request_from: Time,
    /// Time of the latest request from an owner with a majority.
    majority_seen_at: Option<Time>,
    /// The supporters of this host, sorted by host; their leases may have expired.
    supporters: Vec<Supporter>,
    /// The latest requests of this host, oldest first.
    open_requests: Vec<OpenRequest>,
    last_round: u32,
    leaving: bool,
}

impl Ownership {
    /// Creates the state of host `local`, whose process started at `now` with the given incarnation.
    pub fn new(local: id::Host, incarnation: u64, now: Time) -> Ownership {
        let may_support_from = now.plus_ms(LEASE_MS);
        Ownership {
            local,
            incarnation,
            candidates: Vec::new(),
            live: Vec::new(),
            skipped: Vec::new(),
            support: None,
            no_owner_since: may_support_from,
            may_support_from,
            may_request_from: now,
            majority_seen_at: None,
            supporters: Vec::new(),
            open_requests: Vec::new(),
            last_round: 0,
            leaving: false,
        }
    }

    /// Replaces the configured hosts of the domain. Retired hosts no longer count towards the majority or as
    /// supporters.
    pub fn set_candidates(&mut self, mut candidates: Vec<Candidate>) {
        candidates.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        self.candidates = candidates;
        let is_configured = |host| {
            self.candidates
                .iter()
                .any(|candidate| candidate.host == host)
        };
        self.supporters
            .retain(|supporter| is_configured(supporter.host));
    }

    /// Replaces the list of the hosts of the domain that are alive; this host may be missing. A skipped host that is
    /// not in `live` becomes a candidate again when it returns.
    pub fn set_live(&mut self, mut live: Vec<id::Host>) {
        live.sort_unstable();
        self.skipped.retain(|host| live.binary_search(host).is_ok());
        self.live = live;
    }

    /// The host that this one supports and reports to; `None` while it supports nobody.
    pub fn owner(&self, now: Time) -> Option<id::Host> {
        self.current_support(now).map(|support| support.owner)
    }

    /// The share of the slots that this host may allocate; `None` if it counts no supporter or is leaving.
    pub fn share(&self, now: Time) -> Option<Share> {
        let counted = self
            .supporters
            .iter()
            .filter(|supporter| supporter.counted_until > now);
        let supporters = counted.count() as u32;
        if self.leaving || supporters == 0 {
            return None;
        }
        let hosts = (self.candidates.len() as u32).max(supporters);
        Some(Share { supporters, hosts })
    }

    /// The request to send to all other hosts of the domain; `None` if this host is not the owner and should not
    /// become owner. Each request starts a new round, whose leases count from `now`.
    pub fn request(&mut self, now: Time) -> Option<Request> {
        self.skip_silent_candidate(now);
        if self.leaving || !self.is_configured(self.local) {
            return None;
        }
        let supports = self.owner(now);
        let wanted = match supports {
            Some(owner) => owner == self.local,
            None => self.may_request(now) && self.preferred() == Some(self.local),
        };
        if !wanted {
            return None;
        }
        self.last_round = self.last_round.wrapping_add(1);
        let round = self.last_round;
        if self.open_requests.len() == MAX_OPEN_REQUESTS {
            self.open_requests.remove(0);
        }
        self.open_requests.push(OpenRequest {
            round,
            sent_at: now,
        });
        self.support = Some(Support {
            owner: self.local,
            incarnation: self.incarnation,
            round,
            expires_at: now.plus_ms(LEASE_MS),
        });
        self.count_supporter(self.local, now);
        let supporters = self.share(now).map_or(0, |share| share.supporters);
        Some(Request {
            owner: self.local,
            incarnation: self.incarnation,
            round,
            supporters,
        })
    }

    /// Grants or refuses the request of another host. If this host resigns as owner in favour of that host, the
    /// caller has to send the returned release to all other hosts of the domain.
    pub fn on_request(&mut self, now: Time, request: &Request) -> Output {
        self.skip_silent_candidate(now);
        self.skipped.retain(|host| *host != request.owner);
        if self.is_majority(request) {
            self.majority_seen_at = Some(now);
        }
        let yields = self.yields_to(now, request);
        let release = if yields { self.resign() } else { None };
        let granted = yields || self.should_grant(now, request);
        if granted {
            self.grant(now, request);
        }
        let answer = Answer {
            incarnation: request.incarnation,
            round: request.round,
            granted,
        };
        Output { answer, release }
    }

    /// Counts `from` as a supporter if it granted the request, and stops counting it if it refused.
    pub fn on_answer(&mut self, now: Time, from: id::Host, answer: &Answer) {
        if answer.incarnation != self.incarnation || !self.is_configured(from) {
            return;
        }
        let mut open = self.open_requests.iter();
        let Some(request) = open.find(|request| request.round == answer.round) else {
            return;
        };
        let sent_at = request.sent_at;
        if answer.granted {
            self.count_supporter(from, sent_at);
        } else {
            self.supporters.retain(|supporter| {
                supporter.host != from
                    || supporter.counted_until > sent_at.plus_ms(COUNTED_LEASE_MS)
            });
        }
        self.supporters
            .retain(|supporter| supporter.counted_until > now);
    }

    /// Ends this host's support of an owner that has resigned.
    pub fn on_release(&mut self, now: Time, release: &Release) {
        self.majority_seen_at = None;
        if release.leaving {
            self.skip(release.owner);
        }
        let Some(support) = self.current_support(now) else {
            return;
        };
        let is_same = (support.owner, support.incarnation) == (release.owner, release.incarnation);
        if is_same && support.round <= release.round {
            self.end_support(now);
        }
    }

    /// Resigns for good because this host leaves the fleet. The caller has to stop allocating slots before it sends
    /// the returned release to all other hosts of the domain. The host still supports other owners.
    pub fn leave(&mut self, now: Time) -> Option<Release> {
        self.leaving = true;
        let is_own = self.owner(now) == Some(self.local);
        let release = self.resign();
        if is_own {
            self.end_support(now);
        }
        release
    }

    fn may_request(&self, now: Time) -> bool {
        now >= self.may_support_from && now >= self.may_request_from && !self.has_seen_majority(now)
    }

    fn is_configured(&self, host: id::Host) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.host == host)
    }

    fn current_support(&self, now: Time) -> Option<Support> {
        self.support.filter(|support| support.expires_at > now)
    }

    /// The live host with the lowest name that is not skipped. This host counts as live unless it is leaving.
    fn preferred(&self) -> Option<id::Host> {
        let is_live = |host: id::Host| {
            if host == self.local {
                !self.leaving
            } else {
                self.live.binary_search(&host).is_ok()
            }
        };
        let mut hosts = self.candidates.iter().map(|candidate| candidate.host);
        hosts.find(|&host| is_live(host) && self.skipped.binary_search(&host).is_err())
    }

    /// Index of the host in the order of names; `usize::MAX` if it is not configured. Of two hosts, the one with the
    /// lower index is preferred.
    fn position(&self, host: id::Host) -> usize {
        let mut hosts = self.candidates.iter();
        let at = hosts.position(|candidate| candidate.host == host);
        at.unwrap_or(usize::MAX)
    }

    fn skip(&mut self, host: id::Host) {
        if let Err(at) = self.skipped.binary_search(&host) {
            self.skipped.insert(at, host);
        }
    }

    /// Skips the preferred candidate if it has sent no request in time, and an owner whose lease has expired.
    fn skip_silent_candidate(&mut self, now: Time) {
        if self.current_support(now).is_some() {
            return;
        }
        if let Some(support) = self.support.take() {
            // The lease expired without a renewal.
            self.no_owner_since = support.expires_at;
            if support.owner == self.local {
                // This host was suspended as owner. Another owner may have taken over and sends its request within
                // this time.
                self.may_request_from = now.plus_ms(CANDIDATE_TIMEOUT_MS);
            } else {
                self.skip(support.owner);
            }
        }
        if now.since(self.no_owner_since) < CANDIDATE_TIMEOUT_MS {
            return;
        }
        if let Some(host) = self.preferred().filter(|&host| host != self.local) {
            self.skip(host);
            self.no_owner_since = now;
        }
    }

    fn end_support(&mut self, now: Time) {
        self.support = None;
        self.no_owner_since = now;
    }

    /// Whether this host is owner and has to resign in favour of the sender of the request, which has more
    /// supporters, or equally many and the lower name.
    fn yields_to(&self, now: Time, request: &Request) -> bool {
        let Some(share) = self.share(now) else {
            return false;
        };
        let theirs = (
            request.supporters,
            std::cmp::Reverse(self.position(request.owner)),
        );
        let mine = (
            share.supporters,
            std::cmp::Reverse(self.position(self.local)),
        );
        request.owner != self.local && self.is_configured(request.owner) && theirs > mine
    }

    /// Stops counting all supporters, so that this host may not allocate slots any more.
    fn resign(&mut self) -> Option<Release> {
        self.supporters.clear();
        self.open_requests.clear();
        (self.last_round > 0).then_some(Release {
            owner: self.local,
            incarnation: self.incarnation,
            round: self.last_round,
            leaving: self.leaving,
        })
    }

    fn should_grant(&self, now: Time, request: &Request) -> bool {
        if now < self.may_support_from || !self.is_configured(request.owner) {
            return false;
        }
        let Some(support) = self.current_support(now) else {
            let position = self.position(request.owner);
            let preferred = self.preferred().map(|host| self.position(host));
            return self.is_majority(request) || preferred.is_none_or(|lowest| position <= lowest);
        };
        // With a greater incarnation a new process on the same host has replaced the one that was supported.
        support.owner == request.owner && support.incarnation <= request.incarnation
    }

    fn grant(&mut self, now: Time, request: &Request) {
        let same = self
            .support
            .filter(|support| support.owner == request.owner)
            .filter(|support| support.incarnation == request.incarnation);
        // A request that arrives out of order must not lower the round, or an old release would end the support.
        let latest = same.map_or(0, |support| support.round);
        self.support = Some(Support {
            owner: request.owner,
            incarnation: request.incarnation,
            round: request.round.max(latest),
            expires_at: now.plus_ms(LEASE_MS),
        });
    }

    fn is_majority(&self, request: &Request) -> bool {
        2 * request.supporters as usize > self.candidates.len() && self.is_configured(request.owner)
    }

    fn has_seen_majority(&self, now: Time) -> bool {
        self.majority_seen_at
            .is_some_and(|heard| now.since(heard) < CANDIDATE_TIMEOUT_MS)
    }

    fn count_supporter(&mut self, host: id::Host, requested_at: Time) {
        let counted_until = requested_at.plus_ms(COUNTED_LEASE_MS);
        match self
            .supporters
            .binary_search_by_key(&host, |supporter| supporter.host)
        {
            Ok(at) => {
                let supporter = &mut self.supporters[at];
                supporter.counted_until = supporter.counted_until.max(counted_until);
            }
            Err(at) => self.supporters.insert(
                at,
                Supporter {
                    host,
                    counted_until,
                },
            ),
        }
    }
}

/// The messages that the caller has to send after it passed in a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Output {
    /// To the requesting host.
    pub answer: Answer,
    /// To all other hosts of the domain, if this host resigned as owner.
    pub release: Option<Release>,
}
