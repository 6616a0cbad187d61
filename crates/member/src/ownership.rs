//! Which host of a failure domain lends out the slots of the domain's backend servers.
//!
//! Every host supports at most one owner at a time, with a lease on its own clock ([`SUPPORT_MS`], renewed by each
//! answer). An owner counts a support from the time at which it asked for it, which is before the supporter granted
//! it, and for 1% less than the lease ([`COUNTED_MS`]), which allows for clocks that run at different rates. So at any
//! moment a host is counted by one owner at most, and of two owners at most one has a majority.
//!
//! - A host without a support to keep supports the live host with the lowest name, or one that already has a majority.
//!   If the former does not ask, it is passed over until it does ([`SILENT_MS`]).
//! - An owner keeps its supporters while it renews them, so that a flapping host with a low name disturbs nobody.
//! - Of two owners that hear of each other the one with fewer supporters gives up, and with equally many the one with
//!   the higher name.
//! - A process that has just started supports nobody for one lease, because it does not know whom its predecessor
//!   supported.
//!
//! Takeover after a crash of the owner: the last support it was given ends within `SUPPORT_MS`, the next host asks
//! within `ASK_INTERVAL_MS` and one round trip, together 2.5 s and a round trip; each further dead host with a lower
//! name that the view still holds for live adds `SILENT_MS`.
//!
//! Cost: an ask has 12 and an answer 10 bytes of postcard. In a domain of 3 they may be datagrams of their own. In one
//! of 61 hosts (the target size) 120 datagrams/s would cost the owner about 8 KB/s with headers, so that there they have
//! to travel in the exchanges between the owner and its hosts.
//!
//! Limit: two hosts whose configurations differ by at most one host of the domain can't both have a majority, as
//! majorities of `n` and `n + 1` hosts overlap. A cut-off host whose configuration is older by several such changes
//! can. Claims and orders do not depend on ownership, so the effect is that slots are lent twice.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

/// Lease of a support, on the supporter's clock.
pub const SUPPORT_MS: u64 = 2_000;

/// How long an owner counts a support, from the time at which it asked.
pub const COUNTED_MS: u64 = 1_980;

/// Interval at which [`Ownership::ask`] should be called and its result be sent to the hosts of the domain.
pub const ASK_INTERVAL_MS: u64 = 500;

/// How long a host without an owner waits for a live host with a lower name to ask: two intervals of asking.
pub const SILENT_MS: u64 = 2 * ASK_INTERVAL_MS;

/// Asks of one owner whose answers still count; at two a second they cover more than `COUNTED_MS`.
const MAX_ROUNDS: usize = 16;

/// A configured host of the failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its id.
    pub host: id::Host,
    /// Its name, which decides who is preferred.
    pub name: Name,
}

/// Asks a host for its support. May be sent as a message of its own or within another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Who wants to be owner.
    pub owner: id::Host,
    /// Start time of its process, which tells the asks of two processes apart.
    pub incarnation: u64,
    /// Number of this ask; grows with every ask of a process.
    pub round: u32,
    /// Supporters that the owner counts now.
    pub supporters: u32,
}

/// Answers an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The incarnation of the ask.
    pub incarnation: u64,
    /// The round of the ask.
    pub round: u32,
    /// Whether the asking host is supported from now on for [`SUPPORT_MS`].
    pub granted: bool,
}

/// Tells a host that the sender needs its support no longer and has stopped lending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Who gives up.
    pub owner: id::Host,
    /// Its incarnation.
    pub incarnation: u64,
    /// The last round that it asked in. Support granted in a later round stays.
    pub round: u32,
    /// Whether the host leaves, so that it does not count as a candidate any more.
    pub leaving: bool,
}

/// The share of each server's slots that an owner may lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Hosts that support the owner, with itself; at least 1.
    pub supporters: u32,
    /// Configured hosts of the domain, at least `supporters`.
    pub hosts: u32,
}

impl Share {
    /// Whether a majority supports the owner, which then lends all slots.
    pub const fn is_full(self) -> bool {
        2 * self.supporters > self.hosts
    }

    /// How many of `slots` slots of one server may be lent: all with a majority, otherwise `k / n`, rounded down.
    pub const fn slots(self, slots: u32) -> u32 {
        if self.is_full() {
            return slots;
        }
        (slots as u64 * self.supporters as u64 / self.hosts as u64) as u32
    }
}

/// The support that this host gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Support {
    owner: id::Host,
    incarnation: u64,
    /// Round of the latest ask that was granted.
    round: u32,
    until: Time,
}

/// A support that this host was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Supporter {
    host: id::Host,
    /// When the owner stops counting it.
    until: Time,
}

/// An ask that may still be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Round {
    round: u32,
    asked: Time,
}

/// One host's part in deciding on the owner of its failure domain.
///
/// The caller passes in the configuration and the view, calls [`Ownership::ask`] every [`ASK_INTERVAL_MS`], delivers
/// asks, answers and releases, and looks at [`Ownership::share`] before each grant.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: id::Host,
    incarnation: u64,
    /// Configured hosts of the domain, sorted by name.
    candidates: Vec<Candidate>,
    /// Hosts that are alive in this host's view, sorted.
    live: Vec<id::Host>,
    /// Hosts that did not ask although they were preferred, sorted. An ask takes a host off this list.
    silent: Vec<id::Host>,
    /// Whom this host supports; the lease may be over.
    support: Option<Support>,
    /// Since when this host has supported nobody.
    free_since: Time,
    /// No support is given before: a predecessor of this process may have given one.
    supports_from: Time,
    /// This host does not ask before.
    asks_from: Time,
    /// When an owner with a majority asked last.
    majority_heard: Option<Time>,
    /// The supporters of this host, sorted by host; leases may be over.
    supporters: Vec<Supporter>,
    /// The latest asks, oldest first.
    rounds: Vec<Round>,
    last_round: u32,
    leaving: bool,
}

impl Ownership {
    /// Makes the state of host `me`, whose process started at `now` with the given incarnation.
    pub fn new(me: id::Host, incarnation: u64, now: Time) -> Ownership {
        let supports_from = now.plus_ms(SUPPORT_MS);
        Ownership {
            me,
            incarnation,
            candidates: Vec::new(),
            live: Vec::new(),
            silent: Vec::new(),
            support: None,
            free_since: supports_from,
            supports_from,
            asks_from: now,
            majority_heard: None,
            supporters: Vec::new(),
            rounds: Vec::new(),
            last_round: 0,
            leaving: false,
        }
    }

    /// Replaces the configured hosts of the domain. Hosts that were retired neither count nor support any more.
    pub fn configure(&mut self, mut candidates: Vec<Candidate>) {
        candidates.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        self.candidates = candidates;
        let is_configured = |host| self.candidates.iter().any(|one| one.host == host);
        self.supporters
            .retain(|supporter| is_configured(supporter.host));
    }

    /// Replaces the view: the hosts of the domain that are alive, with or without this one. A host that comes back to
    /// life is no longer passed over.
    pub fn observe(&mut self, mut live: Vec<id::Host>) {
        live.sort_unstable();
        self.silent.retain(|host| live.binary_search(host).is_ok());
        self.live = live;
    }

    /// The host that this one supports, to which it sends its exchanges; `None` while there is none.
    pub fn owner(&self, now: Time) -> Option<id::Host> {
        self.current_support(now).map(|support| support.owner)
    }

    /// What this host may lend; `None` if it is not the owner in its own view.
    pub fn share(&self, now: Time) -> Option<Share> {
        let counted = self.supporters.iter().filter(|one| one.until > now);
        let supporters = counted.count() as u32;
        if self.leaving || supporters == 0 {
            return None;
        }
        let hosts = (self.candidates.len() as u32).max(supporters);
        Some(Share { supporters, hosts })
    }

    /// The ask to send to all other hosts of the domain; `None` if this host should not be owner. Each call starts a
    /// new round that counts from `now`.
    pub fn ask(&mut self, now: Time) -> Option<Ask> {
        self.pass_over_silent(now);
        if self.leaving || !self.is_configured(self.me) {
            return None;
        }
        let supports = self.owner(now);
        let wanted = match supports {
            Some(owner) => owner == self.me,
            None => self.may_ask(now) && self.preferred() == Some(self.me),
        };
        if !wanted {
            return None;
        }
        self.last_round = self.last_round.wrapping_add(1);
        let round = self.last_round;
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.remove(0);
        }
        self.rounds.push(Round { round, asked: now });
        self.support = Some(Support {
            owner: self.me,
            incarnation: self.incarnation,
            round,
            until: now.plus_ms(SUPPORT_MS),
        });
        self.count(self.me, now);
        let supporters = self.share(now).map_or(0, |share| share.supporters);
        Some(Ask {
            owner: self.me,
            incarnation: self.incarnation,
            round,
            supporters,
        })
    }

    /// Decides on the ask of another host. If this host gives up its own ownership for it, the returned release has to
    /// be sent to all other hosts of the domain.
    pub fn on_ask(&mut self, now: Time, ask: &Ask) -> Response {
        self.pass_over_silent(now);
        self.silent.retain(|host| *host != ask.owner);
        if self.is_majority(ask) {
            self.majority_heard = Some(now);
        }
        let gives_way = self.gives_way_to(now, ask);
        let release = if gives_way { self.give_up() } else { None };
        let granted = gives_way || self.grants(now, ask);
        if granted {
            self.grant(now, ask);
        }
        let answer = Answer {
            incarnation: ask.incarnation,
            round: ask.round,
            granted,
        };
        Response { answer, release }
    }

    /// Counts the answer of `from`, or stops counting its support if it refuses.
    pub fn on_answer(&mut self, now: Time, from: id::Host, answer: &Answer) {
        if answer.incarnation != self.incarnation || !self.is_configured(from) {
            return;
        }
        let mut rounds = self.rounds.iter();
        let Some(round) = rounds.find(|round| round.round == answer.round) else {
            return;
        };
        let asked = round.asked;
        if answer.granted {
            self.count(from, asked);
        } else {
            self.supporters.retain(|supporter| {
                supporter.host != from || supporter.until > asked.plus_ms(COUNTED_MS)
            });
        }
        self.supporters.retain(|supporter| supporter.until > now);
    }

    /// Ends the support of a host that gives up.
    pub fn on_release(&mut self, now: Time, release: &Release) {
        self.majority_heard = None;
        if release.leaving {
            self.pass_over(release.owner);
        }
        let Some(support) = self.current_support(now) else {
            return;
        };
        let is_same = (support.owner, support.incarnation) == (release.owner, release.incarnation);
        if is_same && support.round <= release.round {
            self.free(now);
        }
    }

    /// Gives up for good because this host leaves. The caller stops lending before it sends the returned release to
    /// all other hosts of the domain. The host still supports others.
    pub fn leave(&mut self, now: Time) -> Option<Release> {
        self.leaving = true;
        let is_own = self.owner(now) == Some(self.me);
        let release = self.give_up();
        if is_own {
            self.free(now);
        }
        release
    }

    fn may_ask(&self, now: Time) -> bool {
        now >= self.supports_from && now >= self.asks_from && !self.heard_majority(now)
    }

    fn is_configured(&self, host: id::Host) -> bool {
        self.candidates.iter().any(|one| one.host == host)
    }

    fn current_support(&self, now: Time) -> Option<Support> {
        self.support.filter(|support| support.until > now)
    }

    /// The live host with the lowest name that is not passed over. A host that does not leave counts as live for itself.
    fn preferred(&self) -> Option<id::Host> {
        let is_live = |host: id::Host| {
            if host == self.me {
                !self.leaving
            } else {
                self.live.binary_search(&host).is_ok()
            }
        };
        let mut hosts = self.candidates.iter().map(|one| one.host);
        hosts.find(|&host| is_live(host) && self.silent.binary_search(&host).is_err())
    }

    /// Position of the host by name; the lower one is preferred.
    fn position(&self, host: id::Host) -> usize {
        let mut hosts = self.candidates.iter();
        let at = hosts.position(|one| one.host == host);
        at.unwrap_or(usize::MAX)
    }

    fn pass_over(&mut self, host: id::Host) {
        if let Err(at) = self.silent.binary_search(&host) {
            self.silent.insert(at, host);
        }
    }

    fn pass_over_silent(&mut self, now: Time) {
        if self.current_support(now).is_some() {
            return;
        }
        if let Some(support) = self.support.take() {
            // The lease ran out without a renewal.
            self.free_since = support.until;
            if support.owner == self.me {
                // This host was frozen; another one may have taken over and will ask within this time.
                self.asks_from = now.plus_ms(SILENT_MS);
            } else {
                self.pass_over(support.owner);
            }
        }
        if now.since(self.free_since) < SILENT_MS {
            return;
        }
        if let Some(host) = self.preferred().filter(|&host| host != self.me) {
            self.pass_over(host);
            self.free_since = now;
        }
    }

    fn free(&mut self, now: Time) {
        self.support = None;
        self.free_since = now;
    }

    fn gives_way_to(&self, now: Time, ask: &Ask) -> bool {
        let Some(share) = self.share(now) else {
            return false;
        };
        let theirs = (ask.supporters, std::cmp::Reverse(self.position(ask.owner)));
        let mine = (share.supporters, std::cmp::Reverse(self.position(self.me)));
        ask.owner != self.me && self.is_configured(ask.owner) && theirs > mine
    }

    /// Stops counting all supporters, so that nothing may be lent any more.
    fn give_up(&mut self) -> Option<Release> {
        self.supporters.clear();
        self.rounds.clear();
        (self.last_round > 0).then_some(Release {
            owner: self.me,
            incarnation: self.incarnation,
            round: self.last_round,
            leaving: self.leaving,
        })
    }

    fn grants(&self, now: Time, ask: &Ask) -> bool {
        if now < self.supports_from || !self.is_configured(ask.owner) {
            return false;
        }
        let Some(support) = self.current_support(now) else {
            let position = self.position(ask.owner);
            let preferred = self.preferred().map(|host| self.position(host));
            return self.is_majority(ask) || preferred.is_none_or(|lowest| position <= lowest);
        };
        // A new process of the same host has replaced the one that was supported.
        support.owner == ask.owner && support.incarnation <= ask.incarnation
    }

    fn grant(&mut self, now: Time, ask: &Ask) {
        let same = self
            .support
            .filter(|support| support.owner == ask.owner)
            .filter(|support| support.incarnation == ask.incarnation);
        // An ask that was overtaken must not let an old release end the support of the later round.
        let latest = same.map_or(0, |support| support.round);
        self.support = Some(Support {
            owner: ask.owner,
            incarnation: ask.incarnation,
            round: ask.round.max(latest),
            until: now.plus_ms(SUPPORT_MS),
        });
    }

    fn is_majority(&self, ask: &Ask) -> bool {
        2 * ask.supporters as usize > self.candidates.len() && self.is_configured(ask.owner)
    }

    fn heard_majority(&self, now: Time) -> bool {
        self.majority_heard
            .is_some_and(|heard| now.since(heard) < SILENT_MS)
    }

    fn count(&mut self, host: id::Host, asked: Time) {
        let until = asked.plus_ms(COUNTED_MS);
        match self
            .supporters
            .binary_search_by_key(&host, |supporter| supporter.host)
        {
            Ok(at) => self.supporters[at].until = self.supporters[at].until.max(until),
            Err(at) => self.supporters.insert(at, Supporter { host, until }),
        }
    }
}

/// What has to be sent after an [`Ask`] was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The answer to the asking host.
    pub answer: Answer,
    /// For all other hosts of the domain, if this host gave up its own ownership.
    pub release: Option<Release>,
}
