//! The host side: requests arrive, are dispatched to slots that the host holds, flow and end.
//!
//! Events only record what happened; [`Borrower::poll`] makes the decisions. A daemon calls `poll` after each batch of
//! events and no later than [`Borrower::next_wake`].

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;

use crate::ledger::{Ledger, Origin, Share};
use crate::message::{Answer, Lease, Offset, Report, Retired, Row, Slots, Usage};
use crate::queue::{Queue, Request};
use crate::settings::Settings;
use crate::snapshot;

/// Something the daemon must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the request on the server. Its slot is busy until [`Borrower::finish`] or [`Borrower::cancel`].
    Dispatch {
        /// The request.
        request: u64,
        /// The server to which it must be sent.
        server: id::Server,
    },
    /// Refuse the request as not run.
    Refuse {
        /// The request.
        request: u64,
        /// Why.
        reason: Reason,
    },
    /// Send the report to an owner. May be lost, duplicated or overtaken.
    Send {
        /// The owner.
        to: id::Host,
        /// The report.
        report: Report,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline passed while it waited.
    Expired,
    /// No server is configured for its pool.
    NoServer,
}

/// A backend server as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The server.
    pub server: id::Server,
    /// Its pool.
    pub pool: id::Pool,
    /// Its failure domain.
    pub domain: Name,
}

/// A server with an idle slot, offered to the choice of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: id::Server,
    /// Idle slots that this host holds; at least 1.
    pub idle: u32,
    /// Requests in flight from this host.
    pub running: u32,
}

/// What the host knows about one account in one pool beside the ledger.
#[derive(Clone, Debug)]
struct Account {
    account: id::Account,
    /// Number of the report that first contains the last change.
    changed: u64,
    /// Tokens have flowed since the last regular report.
    has_flowed: bool,
    /// Requests that the owners know to wait, less those dispatched since.
    reported: usize,
    /// When a request of the account waited last.
    last_waiting: Option<Time>,
    /// Requests of the account wait at other hosts.
    waits_elsewhere: bool,
}

#[derive(Clone, Debug)]
struct Pool {
    pool: id::Pool,
    ledger: Ledger,
    queue: Queue,
    /// Sorted by account.
    accounts: Vec<Account>,
    /// When sums arrived last.
    sums_at: Time,
}

/// The slots of one server at this host.
///
/// Invariant: `granted >= returned`. The slots held are the difference; they may be used only while the lease of the
/// domain is valid. `running` also counts requests whose slot is no longer held.
#[derive(Clone, Debug)]
struct Slot {
    server: id::Server,
    /// `None` if the configuration of this host does not contain the server.
    pool: Option<id::Pool>,
    domain: Name,
    granted: u32,
    returned: u32,
    running: u32,
    /// Slots granted and not used yet. They are exempt from the floor: the owner chose this host knowing its floor, and
    /// giving them back on a different view would repeat without end.
    fresh: u32,
    keep: Option<u32>,
    leaving: bool,
    idle_since: Time,
    /// Idle slots by the last report.
    reported_idle: u32,
    changed: u64,
}

/// The connection to the owner of one failure domain.
#[derive(Clone, Debug)]
struct Link {
    domain: Name,
    owner: Option<id::Host>,
    /// Incarnation of the owner's daemon; 0 until its first answer.
    lender: u64,
    epoch: u32,
    /// The lease of `epoch` ended; nothing but a later epoch revives it.
    void: bool,
    /// End of the lease on the clock of this host; slots may be used strictly before it.
    lease_end: Time,
    /// Number of the last answer.
    seen: u64,
    /// Number of the last answer with sums.
    sums_seen: u64,
    /// Number of the last report that the owner has.
    confirmed: u64,
    heard_at: Option<Time>,
    sent_at: Option<Time>,
    next_exchange: Time,
    urgent: bool,
    /// Least `v` waiting at other hosts, sorted by pool.
    floors: Vec<Floor>,
    /// Owners that were followed before.
    past: Vec<Past>,
}

/// What is remembered of an owner that is no longer followed, in case it is followed again.
#[derive(Clone, Copy, Debug)]
struct Past {
    owner: id::Host,
    lender: u64,
    epoch: u32,
    seen: u64,
}

#[derive(Clone, Copy, Debug)]
struct Floor {
    pool: id::Pool,
    v: u64,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct Flight {
    id: u64,
    pool: id::Pool,
    account: id::Account,
    server: id::Server,
    estimate: u64,
    flowed: u64,
}

/// Where a waiting request is queued.
#[derive(Clone, Copy, Debug)]
struct Place {
    id: u64,
    pool: id::Pool,
    account: id::Account,
}

/// The decisions of one host, for all pools.
#[derive(Clone, Debug)]
pub struct Borrower {
    origin: Origin,
    home: Name,
    settings: Settings,
    shares: Vec<Share>,
    /// Sorted by pool.
    pools: Vec<Pool>,
    /// Sorted by server.
    slots: Vec<Slot>,
    /// Sorted by domain.
    links: Vec<Link>,
    /// Sorted by request.
    flights: Vec<Flight>,
    /// Sorted by request.
    places: Vec<Place>,
    /// Counters of origins that no longer report, kept for owners that restart empty. Sorted.
    retired: Vec<Retired>,
    /// Number of the last report.
    number: u64,
    is_leaving: bool,
}

impl Borrower {
    /// A host without requests, servers or slots.
    ///
    /// `origin.incarnation` must be greater than that of any earlier process of the host; `home` is the failure domain
    /// of the host.
    pub fn new(origin: Origin, home: Name, settings: Settings) -> Borrower {
        Borrower {
            origin,
            home,
            settings,
            shares: Vec::new(),
            pools: Vec::new(),
            slots: Vec::new(),
            links: Vec::new(),
            flights: Vec::new(),
            places: Vec::new(),
            retired: Vec::new(),
            number: 0,
            is_leaving: false,
        }
    }

    /// Replaces the shares of the accounts; accounts that are not listed have share 1.
    pub fn set_shares(&mut self, shares: &[Share]) {
        self.shares = shares.to_vec();
        for pool in &mut self.pools {
            pool.ledger.set_shares(shares);
        }
    }

    /// Replaces the servers. Requests that run on a server that is no longer listed go on; its slots are returned.
    pub fn set_servers(&mut self, now: Time, servers: &[Server]) {
        for slot in &mut self.slots {
            slot.pool = None;
        }
        for server in servers {
            let slot = self.slot(now, server.server, &server.domain);
            slot.pool = Some(server.pool);
            slot.domain = server.domain.clone();
            self.pool_at(server.pool);
            self.link(now, &server.domain);
        }
    }

    /// Sets the owner that this host follows in `domain`.
    ///
    /// Slots lent by the previous owner may be used until their lease ends or the new owner has answered.
    pub fn set_owner(&mut self, now: Time, domain: &Name, owner: Option<id::Host>) {
        let at = self.link(now, domain);
        let link = &mut self.links[at];
        if link.owner == owner {
            return;
        }
        if let Some(owner) = link.owner {
            let past = Past {
                owner,
                lender: link.lender,
                epoch: link.epoch,
                seen: link.seen,
            };
            link.past.retain(|p| p.owner != owner);
            link.past.push(past);
        }
        link.owner = owner;
        link.lender = 0;
        link.seen = 0;
        link.sums_seen = 0;
        link.confirmed = 0;
        link.heard_at = None;
        link.urgent = true;
        let past = link.past.iter().find(|p| Some(p.owner) == owner);
        let Some(&past) = past.filter(|p| p.lender != 0) else {
            return;
        };
        // The returns of that epoch are forgotten, so its totals must not be used again.
        link.lender = past.lender;
        link.epoch = past.epoch;
        link.seen = past.seen;
        link.void = true;
        self.drop_slots(now, domain);
    }

    /// Returns idle slots at once from now on, as a host that shuts down must.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// A request arrives and waits.
    pub fn arrive(&mut self, now: Time, request: Request) {
        let number = self.number + 1;
        let quantum = self.settings.quantum;
        let grace = self.settings.grace_ms;
        let at = self.pool_at(request.pool);
        let pool = &mut self.pools[at];
        let starts = pool.queue.count(request.account) == 0;
        let account = pool.account(request.account);
        if starts && !account.waits_elsewhere {
            let idle = account
                .last_waiting
                .is_none_or(|last| now.since(last) >= grace);
            let mut floor = pool.ledger.virtual_time();
            if !idle {
                // An account that is served before its requests pile up must not save up credit between them.
                floor = floor.saturating_sub(quantum);
            }
            pool.ledger.lift(request.account, floor, number);
        }
        pool.queue.push(now, request);
        pool.touch(now, request.account, number);
        let place = Place {
            id: request.id,
            pool: request.pool,
            account: request.account,
        };
        if let Err(at) = self.places.binary_search_by_key(&place.id, |p| p.id) {
            self.places.insert(at, place);
        }
    }

    /// `total` weighted tokens of the request have flowed so far, input included.
    ///
    /// Unknown requests and totals that are not greater than the last one change nothing.
    pub fn flow(&mut self, request: u64, total: u64) {
        let Ok(at) = self.flights.binary_search_by_key(&request, |f| f.id) else {
            return;
        };
        let origin = self.origin;
        let flight = &mut self.flights[at];
        if total <= flight.flowed {
            return;
        }
        let rest_before = flight.estimate.saturating_sub(flight.flowed);
        let rest_after = flight.estimate.saturating_sub(total);
        let grown = total - flight.flowed;
        flight.flowed = total;
        let flight = *flight;
        let at = self.pool_at(flight.pool);
        let pool = &mut self.pools[at];
        let counter = pool.ledger.entry(flight.account).counter(origin);
        counter.charge += grown;
        counter.in_flight -= rest_before - rest_after;
        pool.account(flight.account).has_flowed = true;
    }

    /// The request in flight ended; `charge` is its true charge in weighted tokens.
    pub fn finish(&mut self, now: Time, request: u64, charge: u64) {
        self.flow(request, charge);
        let Ok(at) = self.flights.binary_search_by_key(&request, |f| f.id) else {
            return;
        };
        let flight = self.flights.remove(at);
        let number = self.number + 1;
        let origin = self.origin;
        let at = self.pool_at(flight.pool);
        let pool = &mut self.pools[at];
        let counter = pool.ledger.entry(flight.account).counter(origin);
        counter.in_flight -= flight.estimate.saturating_sub(flight.flowed);
        pool.account(flight.account).changed = number;
        if let Ok(at) = self
            .slots
            .binary_search_by_key(&flight.server, |s| s.server)
        {
            let slot = &mut self.slots[at];
            let stray = slot.running > slot.held();
            slot.running -= 1;
            slot.idle_since = now;
            slot.changed = number;
            let domain = slot.domain.clone();
            if stray {
                // The owner counts the request against the server until it hears that it ended.
                let link = self.link(now, &domain);
                self.links[link].urgent = true;
            }
        }
    }

    /// The caller gave up: removes a waiting request, or ends one in flight with what has flowed as its charge.
    ///
    /// Returns whether the request was known.
    pub fn cancel(&mut self, now: Time, request: u64) -> bool {
        let Ok(at) = self.places.binary_search_by_key(&request, |p| p.id) else {
            let known = self
                .flights
                .binary_search_by_key(&request, |f| f.id)
                .is_ok();
            self.finish(now, request, 0);
            return known;
        };
        let place = self.places.remove(at);
        let number = self.number + 1;
        let at = self.pool_at(place.pool);
        let pool = &mut self.pools[at];
        let removed = pool.queue.remove(place.account, request).is_some();
        pool.touch(now, place.account, number);
        removed
    }

    /// An answer arrived from `from`, as a reply or unasked.
    pub fn answer(&mut self, now: Time, from: id::Host, answer: &Answer) {
        let Some(at) = self.links.iter().position(|l| l.owner == Some(from)) else {
            return;
        };
        let link = &self.links[at];
        let is_stale = answer.incarnation < link.lender
            || (answer.incarnation == link.lender && answer.number <= link.seen);
        if answer.to != self.origin.incarnation || is_stale {
            return;
        }
        if answer.incarnation != link.lender {
            let link = &mut self.links[at];
            link.lender = answer.incarnation;
            link.sums_seen = 0;
            link.epoch = 0;
        }
        if answer.epoch != self.links[at].epoch {
            self.begin_epoch(now, at, answer.epoch);
        }
        let link = &mut self.links[at];
        link.seen = answer.number;
        link.confirmed = link.confirmed.max(answer.seen);
        link.heard_at = Some(now);
        if answer.has_sums {
            link.sums_seen = answer.number;
        }
        if let Some(sent) = answer.renewed {
            let end = sent.plus_ms(self.settings.holder_lease_ms);
            link.lease_end = link.lease_end.max(end);
        }
        self.learn(now, at, answer);
        if !self.links[at].void {
            self.take(now, at, answer);
        }
    }

    /// All slots of earlier epochs are void; the owner wants all rows again.
    fn begin_epoch(&mut self, now: Time, link: usize, epoch: u32) {
        let link = &mut self.links[link];
        link.epoch = epoch;
        link.void = false;
        link.lease_end = Time::ZERO;
        link.confirmed = 0;
        link.urgent = true;
        let domain = link.domain.clone();
        self.drop_slots(now, &domain);
    }

    fn drop_slots(&mut self, now: Time, domain: &Name) {
        let number = self.number + 1;
        for slot in self.slots.iter_mut().filter(|s| s.domain == *domain) {
            slot.granted = 0;
            slot.returned = 0;
            slot.fresh = 0;
            slot.keep = None;
            slot.leaving = false;
            slot.idle_since = now;
            slot.changed = number;
        }
    }

    /// Merges the figures of an answer into the ledgers.
    fn learn(&mut self, now: Time, link: usize, answer: &Answer) {
        let number = self.number + 1;
        self.links[link].floors.clear();
        for level in &answer.pools {
            if let Some(v) = level.floor {
                let floor = Floor {
                    pool: level.pool,
                    v,
                };
                self.links[link].floors.push(floor);
            }
            let at = self.pool_at(level.pool);
            let pool = &mut self.pools[at];
            pool.ledger.advance(level.virtual_time);
            for sum in &level.sums {
                let entry = pool.ledger.entry(sum.account);
                entry.elsewhere = entry.elsewhere.max(sum.charge);
                entry.elsewhere_in_flight = sum.in_flight();
                pool.account(sum.account).waits_elsewhere = sum.is_waiting();
            }
            for offset in &level.offsets {
                let entry = pool.ledger.entry(offset.account);
                entry.merge_offset(offset.offset, number);
            }
        }
        if answer.has_sums {
            let domain = self.links[link].domain.clone();
            for at in 0..self.pools.len() {
                if self.serves(&domain, self.pools[at].pool) {
                    self.pools[at].sums_at = now;
                }
            }
        }
        for retired in &answer.retired {
            self.retire(*retired);
        }
    }

    fn retire(&mut self, retired: Retired) {
        let key = |r: &Retired| (r.pool, r.account, r.host, r.incarnation);
        match self.retired.binary_search_by_key(&key(&retired), key) {
            Ok(at) => {
                let charge = &mut self.retired[at].charge;
                *charge = (*charge).max(retired.charge);
            }
            Err(at) => self.retired.insert(at, retired),
        }
    }

    /// Takes over the grants and recalls of an answer.
    fn take(&mut self, now: Time, link: usize, answer: &Answer) {
        let number = self.number + 1;
        let domain = self.links[link].domain.clone();
        for grant in &answer.grants {
            let slot = self.slot(now, grant.server, &domain);
            if grant.granted > slot.granted {
                slot.fresh += grant.granted - slot.granted;
                slot.granted = grant.granted;
                slot.idle_since = now;
            }
            slot.keep = grant.keep;
            slot.leaving = grant.leaving;
            slot.changed = number;
        }
    }

    /// Makes all decisions that are due. `choose` picks the server of a request among those with an idle slot, after
    /// the account was chosen; a server that was not offered counts as the first one.
    ///
    /// `Dispatch` is only returned for slots whose lease is valid at `now`.
    pub fn poll<F>(&mut self, now: Time, mut choose: F) -> Vec<Action>
    where
        F: FnMut(&Request, &[Candidate]) -> id::Server,
    {
        let mut actions = Vec::new();
        self.expire_leases(now);
        self.expire_sums(now);
        self.refuse(now, &mut actions);
        for pool in 0..self.pools.len() {
            self.dispatch(now, pool, &mut choose, &mut actions);
        }
        self.return_slots(now);
        self.mark_idle();
        self.mark_demand();
        self.send(now, &mut actions);
        actions
    }

    /// The time at which [`Borrower::poll`] has something to do if no event comes first.
    pub fn next_wake(&self, now: Time) -> Time {
        let mut wake = now.plus_ms(self.settings.exchange_ms);
        for link in self.links.iter().filter(|link| link.owner.is_some()) {
            wake = wake.min(self.send_time(link));
            if link.epoch > 0 && !link.void {
                wake = wake.min(link.lease_end);
            }
        }
        for deadline in self.pools.iter().filter_map(|p| p.queue.next_deadline()) {
            wake = wake.min(deadline);
        }
        for slot in self.slots.iter().filter(|slot| slot.idle() > 0) {
            wake = wake.min(slot.idle_since.plus_ms(self.settings.hold_ms));
        }
        wake.max(now)
    }

    fn expire_leases(&mut self, now: Time) {
        for at in 0..self.links.len() {
            let link = &mut self.links[at];
            if link.epoch == 0 || link.void || now < link.lease_end {
                continue;
            }
            link.void = true;
            link.urgent = true;
            link.floors.clear();
            let domain = link.domain.clone();
            self.drop_slots(now, &domain);
        }
    }

    /// Forgets what other hosts had in flight and waiting once no owner has confirmed it for the length of a lease.
    fn expire_sums(&mut self, now: Time) {
        let limit = self.settings.owner_lease_ms;
        for pool in &mut self.pools {
            if now.since(pool.sums_at) <= limit {
                continue;
            }
            for entry in pool.ledger.entries_mut() {
                entry.elsewhere_in_flight = 0;
            }
            for account in &mut pool.accounts {
                account.waits_elsewhere = false;
            }
        }
    }

    fn refuse(&mut self, now: Time, actions: &mut Vec<Action>) {
        let number = self.number + 1;
        for at in 0..self.pools.len() {
            let mut refused = self.pools[at].queue.expire(now);
            let mut reason = Reason::Expired;
            if refused.is_empty() && !self.has_server(self.pools[at].pool) {
                refused = self.pools[at].queue.clear();
                reason = Reason::NoServer;
            }
            for request in refused {
                self.forget(request.id);
                self.pools[at].touch(now, request.account, number);
                let request = request.id;
                actions.push(Action::Refuse { request, reason });
            }
        }
    }

    fn forget(&mut self, request: u64) {
        if let Ok(at) = self.places.binary_search_by_key(&request, |p| p.id) {
            self.places.remove(at);
        }
    }

    fn dispatch<F>(&mut self, now: Time, at: usize, choose: &mut F, actions: &mut Vec<Action>)
    where
        F: FnMut(&Request, &[Candidate]) -> id::Server,
    {
        loop {
            let pool = &self.pools[at];
            let Some(account) = pool.least() else {
                return;
            };
            let candidates = self.candidates(pool.pool, pool.ledger.v(account));
            let Some(first) = candidates.first() else {
                return;
            };
            let Some(request) = pool.queue.first(account) else {
                return;
            };
            let chosen = choose(request, &candidates);
            let is_offered = candidates.iter().any(|c| c.server == chosen);
            let server = if is_offered { chosen } else { first.server };
            let request = *request;
            self.start(now, at, &request, server);
            let request = request.id;
            actions.push(Action::Dispatch { request, server });
        }
    }

    /// The servers whose idle slots an account with `v` may use.
    fn candidates(&self, pool: id::Pool, v: u64) -> Vec<Candidate> {
        let slots = self.slots.iter().filter(|s| s.pool == Some(pool));
        let usable = slots.filter(|slot| {
            slot.is_usable() && (slot.fresh > 0 || !self.must_yield(&slot.domain, pool, v))
        });
        let candidates = usable.map(|slot| Candidate {
            server: slot.server,
            idle: slot.idle(),
            running: slot.running,
        });
        candidates.collect()
    }

    /// Whether an account that waits elsewhere has a claim on the next free slot of the domain.
    fn must_yield(&self, domain: &Name, pool: id::Pool, v: u64) -> bool {
        let floor = self.floor(domain, pool);
        floor.is_some_and(|floor| floor + self.settings.quantum < v)
    }

    fn floor(&self, domain: &Name, pool: id::Pool) -> Option<u64> {
        let at = self.links.binary_search_by(|l| l.domain.cmp(domain)).ok()?;
        let floors = &self.links[at].floors;
        let at = floors.binary_search_by_key(&pool, |f| f.pool).ok()?;
        Some(floors[at].v)
    }

    /// Takes the request from the queue, charges the estimate and marks the slot as busy.
    fn start(&mut self, now: Time, at: usize, request: &Request, server: id::Server) {
        let account = request.account;
        let number = self.number + 1;
        let origin = self.origin;
        let is_contended = self.links.iter().any(|link| {
            let pool = self.pools[at].pool;
            link.floors.iter().any(|floor| floor.pool == pool)
        });
        let pool = &mut self.pools[at];
        pool.queue.pop(account);
        if !is_contended && pool.queue.is_empty() {
            let v = pool.ledger.v(account);
            pool.ledger.advance(v);
        }
        pool.ledger.entry(account).counter(origin).in_flight += request.estimate;
        let state = pool.account(account);
        state.reported = state.reported.saturating_sub(1);
        pool.touch(now, account, number);
        self.forget(request.id);
        let flight = Flight {
            id: request.id,
            pool: request.pool,
            account,
            server,
            estimate: request.estimate,
            flowed: 0,
        };
        if let Err(at) = self.flights.binary_search_by_key(&flight.id, |f| f.id) {
            self.flights.insert(at, flight);
        }
        if let Ok(at) = self.slots.binary_search_by_key(&server, |s| s.server) {
            let slot = &mut self.slots[at];
            slot.running += 1;
            slot.fresh = slot.fresh.saturating_sub(1);
            slot.changed = number;
        }
    }

    /// Returns the idle slots that are recalled, wanted elsewhere, or were idle for the hold time.
    fn return_slots(&mut self, now: Time) {
        let number = self.number + 1;
        for at in 0..self.slots.len() {
            let slot = &self.slots[at];
            let idle = slot.idle();
            if idle == 0 {
                continue;
            }
            let recalled = slot.held().saturating_sub(slot.keep.unwrap_or(u32::MAX));
            let is_unused = self.is_leaving
                || slot.leaving
                || now.since(slot.idle_since) >= self.settings.hold_ms;
            let returned = match slot.pool {
                None => idle,
                Some(_) if is_unused => idle,
                // Whatever is idle after the dispatch has no use here or must yield.
                Some(pool) if self.floor(&slot.domain, pool).is_some() => idle,
                Some(_) => recalled.min(idle),
            };
            if returned == 0 {
                continue;
            }
            let slot = &mut self.slots[at];
            slot.returned += returned;
            slot.fresh = slot.fresh.min(slot.idle());
            slot.changed = number;
            let domain = slot.domain.clone();
            let link = self.link(now, &domain);
            self.links[link].urgent = true;
        }
        self.slots
            .retain(|s| s.pool.is_some() || s.held() > 0 || s.running > 0 || s.granted > 0);
    }

    /// Reports at once if the owner believes that nothing is idle here; it recalls idle slots only if it knows of them.
    fn mark_idle(&mut self) {
        for slot in self.slots.iter().filter(|slot| slot.idle() > 0) {
            let mut same = self.slots.iter();
            let is_known = same.any(|other| {
                other.reported_idle > 0 && other.pool == slot.pool && other.domain == slot.domain
            });
            if is_known {
                continue;
            }
            let link = self.links.binary_search_by(|l| l.domain.cmp(&slot.domain));
            if let Ok(link) = link {
                self.links[link].urgent = true;
            }
        }
    }

    /// Asks for slots at once if the owners know of less than half of the requests that wait.
    fn mark_demand(&mut self) {
        for at in 0..self.pools.len() {
            let pool = &mut self.pools[at];
            let mut is_urgent = false;
            for account in pool.queue.accounts() {
                let waiting = pool.queue.count(account);
                let known = pool.accounts.binary_search_by_key(&account, |a| a.account);
                let reported = known.map_or(0, |at| pool.accounts[at].reported);
                is_urgent |= waiting > 2 * reported;
            }
            if !is_urgent {
                continue;
            }
            let pool = self.pools[at].pool;
            for link in 0..self.links.len() {
                if self.serves(&self.links[link].domain, pool) {
                    self.links[link].urgent = true;
                }
            }
        }
    }

    fn send_time(&self, link: &Link) -> Time {
        let Some(sent_at) = link.sent_at else {
            return Time::ZERO;
        };
        let urgent = sent_at.plus_ms(self.settings.urgent_ms);
        if link.urgent {
            urgent.min(link.next_exchange)
        } else {
            link.next_exchange
        }
    }

    fn send(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut has_sent = false;
        for at in 0..self.links.len() {
            let link = &self.links[at];
            let Some(to) = link.owner else {
                continue;
            };
            if now < self.send_time(link) {
                continue;
            }
            let report = self.report(now, at);
            actions.push(Action::Send { to, report });
            has_sent = true;
        }
        if has_sent {
            for pool in &mut self.pools {
                for account in &mut pool.accounts {
                    account.reported = pool.queue.count(account.account);
                }
            }
        }
    }

    fn report(&mut self, now: Time, at: usize) -> Report {
        self.number += 1;
        let link = &mut self.links[at];
        if now >= link.next_exchange {
            link.next_exchange = now.plus_ms(self.settings.exchange_ms);
            for account in self.pools.iter_mut().flat_map(|p| &mut p.accounts) {
                if account.has_flowed {
                    account.changed = self.number;
                    account.has_flowed = false;
                }
            }
        }
        let link = &mut self.links[at];
        link.sent_at = Some(now);
        link.urgent = false;
        for slot in self.slots.iter_mut().filter(|s| s.domain == link.domain) {
            slot.reported_idle = slot.idle();
        }
        let link = &self.links[at];
        let pools = self.pools.iter().filter_map(|pool| {
            let usage = pool.usage(now, self.origin, link.confirmed);
            let is_needed = !usage.accounts.is_empty() || !usage.offsets.is_empty();
            (is_needed && self.serves(&link.domain, pool.pool)).then_some(usage)
        });
        let slots = self.slots.iter();
        let slots = slots.filter(|s| s.domain == link.domain && s.changed > link.confirmed);
        let lease = match link {
            Link { lender: 0, .. } => Lease::None,
            Link { void: true, .. } => Lease::Void(link.epoch),
            Link { .. } => Lease::Held(link.epoch),
        };
        let retired = match link.confirmed {
            0 => self.retired.clone(),
            _ => Vec::new(),
        };
        Report {
            host: self.origin.host,
            incarnation: self.origin.incarnation,
            number: self.number,
            lender: link.lender,
            lease,
            sent: now,
            seen: link.seen,
            sums: self.wants_sums(now, at).then_some(link.sums_seen),
            pools: pools.collect(),
            slots: slots.map(Slot::row).collect(),
            retired,
        }
    }

    /// Whether the owner is the source of the sums of a pool: the home domain's if it answers, else the first that does.
    ///
    /// All owners know the same sums, and sending them is the greatest part of the control traffic.
    fn wants_sums(&self, now: Time, at: usize) -> bool {
        let domain = &self.links[at].domain;
        self.pools.iter().any(|pool| {
            let source = self.source(now, pool.pool);
            self.serves(domain, pool.pool) && source.is_none_or(|source| source == at)
        })
    }

    fn source(&self, now: Time, pool: id::Pool) -> Option<usize> {
        let limit = 2 * self.settings.exchange_ms;
        let is_source = |link: &Link| {
            let is_fresh = link.heard_at.is_some_and(|at| now.since(at) <= limit);
            is_fresh && self.serves(&link.domain, pool)
        };
        let home = self.links.iter().position(|l| l.domain == self.home);
        let home = home.filter(|&at| is_source(&self.links[at]));
        home.or_else(|| self.links.iter().position(is_source))
    }

    fn serves(&self, domain: &Name, pool: id::Pool) -> bool {
        let mut slots = self.slots.iter();
        slots.any(|s| s.pool == Some(pool) && s.domain == *domain)
    }

    fn has_server(&self, pool: id::Pool) -> bool {
        self.slots.iter().any(|s| s.pool == Some(pool))
    }

    fn pool_at(&mut self, pool: id::Pool) -> usize {
        let at = self.pools.binary_search_by_key(&pool, |p| p.pool);
        at.unwrap_or_else(|at| {
            let pool = Pool {
                pool,
                ledger: Ledger::new(self.settings.cap, &self.shares),
                queue: Queue::default(),
                accounts: Vec::new(),
                sums_at: Time::ZERO,
            };
            self.pools.insert(at, pool);
            at
        })
    }

    fn slot(&mut self, now: Time, server: id::Server, domain: &Name) -> &mut Slot {
        let at = self.slots.binary_search_by_key(&server, |s| s.server);
        let at = at.unwrap_or_else(|at| {
            let slot = Slot {
                server,
                pool: None,
                domain: domain.clone(),
                granted: 0,
                returned: 0,
                running: 0,
                fresh: 0,
                keep: None,
                leaving: false,
                idle_since: now,
                reported_idle: 0,
                changed: 0,
            };
            self.slots.insert(at, slot);
            at
        });
        &mut self.slots[at]
    }

    fn link(&mut self, now: Time, domain: &Name) -> usize {
        let at = self.links.binary_search_by(|l| l.domain.cmp(domain));
        at.unwrap_or_else(|at| {
            let link = Link {
                domain: domain.clone(),
                owner: None,
                lender: 0,
                epoch: 0,
                void: false,
                lease_end: Time::ZERO,
                seen: 0,
                sums_seen: 0,
                confirmed: 0,
                heard_at: None,
                sent_at: None,
                next_exchange: now,
                urgent: true,
                floors: Vec::new(),
                past: Vec::new(),
            };
            self.links.insert(at, link);
            at
        })
    }

    /// Requests of `account` that wait in `pool` at this host.
    pub fn waiting(&self, pool: id::Pool, account: id::Account) -> usize {
        let at = self.pools.binary_search_by_key(&pool, |p| p.pool);
        at.map_or(0, |at| self.pools[at].queue.count(account))
    }

    /// Requests that wait at this host, in all pools.
    pub fn waiting_total(&self) -> usize {
        self.places.len()
    }

    /// Requests in flight from this host, in all pools.
    pub fn in_flight_total(&self) -> usize {
        self.flights.len()
    }

    /// The account of a request in flight.
    pub fn account_in_flight(&self, request: u64) -> Option<id::Account> {
        let at = self.flights.binary_search_by_key(&request, |f| f.id);
        at.ok().map(|at| self.flights[at].account)
    }

    /// What operators can read.
    pub fn snapshot(&self) -> snapshot::Snapshot {
        let pools = self.pools.iter().map(|pool| {
            let slots = self.slots.iter().filter(|s| s.pool == Some(pool.pool));
            snapshot::Pool {
                pool: pool.pool,
                virtual_time: pool.ledger.virtual_time(),
                accounts: pool.snapshot(),
                servers: slots.map(Slot::snapshot).collect(),
            }
        });
        snapshot::Snapshot {
            pools: pools.collect(),
        }
    }
}

impl Pool {
    fn account(&mut self, account: id::Account) -> &mut Account {
        let at = self.accounts.binary_search_by_key(&account, |a| a.account);
        let at = at.unwrap_or_else(|at| {
            let account = Account {
                account,
                changed: 0,
                has_flowed: false,
                reported: 0,
                last_waiting: None,
                waits_elsewhere: false,
            };
            self.accounts.insert(at, account);
            at
        });
        &mut self.accounts[at]
    }

    /// Records that the line of `account` changed.
    fn touch(&mut self, now: Time, account: id::Account, number: u64) {
        let state = self.account(account);
        state.last_waiting = Some(now);
        state.changed = number;
    }

    /// The waiting account of least `v`.
    fn least(&self) -> Option<id::Account> {
        let accounts = self.queue.accounts();
        accounts.min_by_key(|&account| (self.ledger.v(account), account))
    }

    fn usage(&self, now: Time, origin: Origin, confirmed: u64) -> Usage {
        let accounts = self.accounts.iter().filter(|a| a.changed > confirmed);
        let entries = self.ledger.entries().iter();
        let lifted = entries.filter(|e| e.offset_changed > confirmed);
        let offsets = lifted.map(|entry| Offset {
            account: entry.account,
            offset: entry.offset,
        });
        Usage {
            pool: self.pool,
            virtual_time: self.ledger.virtual_time(),
            accounts: accounts.map(|a| self.row(now, origin, a.account)).collect(),
            offsets: offsets.collect(),
        }
    }

    fn row(&self, now: Time, origin: Origin, account: id::Account) -> Row {
        let entry = self.ledger.get(account);
        let counter = entry.and_then(|e| e.counters.iter().find(|c| c.origin == origin));
        let first = self.queue.first(account);
        Row {
            account,
            charge: counter.map_or(0, |c| c.charge),
            in_flight: counter.map_or(0, |c| c.in_flight),
            waiting: self.queue.count(account) as u32,
            estimate: first.map_or(0, |request| request.estimate),
            age_s: (self.queue.age_ms(account, now) / 1_000) as u32,
        }
    }

    fn snapshot(&self) -> Vec<snapshot::Account> {
        let entries = self.ledger.entries().iter();
        let accounts = entries.map(|entry| snapshot::Account {
            account: entry.account,
            share: entry.share,
            v: self.ledger.v(entry.account),
            waiting: self.queue.count(entry.account) as u64,
            in_flight: entry.in_flight(),
            service: entry.service(),
        });
        accounts.collect()
    }
}

impl Slot {
    fn held(&self) -> u32 {
        self.granted - self.returned
    }

    fn idle(&self) -> u32 {
        self.held().saturating_sub(self.running)
    }

    fn is_usable(&self) -> bool {
        let is_kept = self.keep.is_none_or(|keep| self.held() <= keep);
        self.idle() > 0 && !self.leaving && is_kept
    }

    fn row(&self) -> Slots {
        Slots {
            server: self.server,
            granted: self.granted,
            returned: self.returned,
            running: self.running,
        }
    }

    fn snapshot(&self) -> snapshot::Server {
        snapshot::Server {
            server: self.server,
            slots: self.held(),
            lent: self.held(),
            idle: self.idle(),
            leaving: self.leaving,
        }
    }
}
