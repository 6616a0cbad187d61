//! The host side: requests arrive, are dispatched to slots that the host holds, flow and end.
//!
//! Events only record what happened; [`Borrower::poll`] makes the decisions. A daemon calls `poll` after each batch of
//! events and no later than [`Borrower::next_wake`].
//!
//! This module has the types and records events; `decision` decides, `exchange` speaks with owners, and `book` keeps
//! accounts, slots and links.

mod book;
mod decision;
mod exchange;

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
    waits_remotely: bool,
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
        if starts && !account.waits_remotely {
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
        if answer.host_incarnation != self.origin.incarnation || is_stale {
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
        link.confirmed = link.confirmed.max(answer.acknowledged_report);
        link.heard_at = Some(now);
        if answer.has_sums {
            link.sums_seen = answer.number;
        }
        if let Some(sent) = answer.renewed_from {
            let end = sent.plus_ms(self.settings.holder_lease_ms);
            link.lease_end = link.lease_end.max(end);
        }
        self.learn(now, at, answer);
        if !self.links[at].void {
            self.take(now, at, answer);
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
