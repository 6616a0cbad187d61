//! The host side of slot leases: queues requests and dispatches them to slots that the host holds.
//!
//! The methods for events only record what happened; [`Dispatcher::poll`] makes the decisions. A daemon calls `poll`
//! after each batch of events and no later than [`Dispatcher::next_wake`].
//!
//! This module defines the types and records events. `decision` makes the decisions, `exchange` composes reports and
//! processes answers, and `state` has the look-up methods of pools, accounts, slots and links.

mod decision;
mod exchange;
mod state;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;

use crate::ledger::{Ledger, Origin, Share};
use crate::message::{Answer, Lease, Offset, Report, Retired, Row, Slots, Usage};
use crate::queue::{Queue, Request};
use crate::settings::Settings;
use crate::snapshot;

/// A decision of [`Dispatcher::poll`] that the daemon must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the request on the server. Its slot is busy until [`Dispatcher::finish`] or [`Dispatcher::cancel`].
    Dispatch {
        /// [`Request::id`] of the request.
        request: u64,
        /// The server to which the request must be sent.
        server: id::Server,
    },
    /// Refuse the request, which has not run.
    Refuse {
        /// [`Request::id`] of the request.
        request: u64,
        /// Why the request is refused.
        reason: Reason,
    },
    /// Send the report to an owner. The network may lose, duplicate or reorder reports.
    Send {
        /// The host that is the owner.
        to: id::Host,
        /// The message to send.
        report: Report,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The deadline of the request passed while it waited.
    Expired,
    /// No server is configured for the pool of the request.
    NoServer,
}

/// A backend server as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Unique identifier of the server.
    pub server: id::Server,
    /// The pool whose requests the server can serve.
    pub pool: id::Pool,
    /// The failure domain whose owner leases the slots of the server.
    pub domain: Name,
}

/// A server with an idle slot, among which the caller of [`Dispatcher::poll`] chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// A server of the pool of the request.
    pub server: id::Server,
    /// Idle slots that this host holds; at least 1.
    pub idle: u32,
    /// Requests in flight from this host.
    pub running: u32,
}

/// What the host knows about one account in one pool in addition to the ledger entry.
#[derive(Clone, Debug)]
struct Account {
    account: id::Account,
    /// Number of the report that first contains the last change.
    changed: u64,
    /// Whether tokens were processed since the last regular report.
    has_progress: bool,
    /// Waiting requests in the last report, minus those dispatched since.
    reported_waiting: usize,
    /// The last time at which a request of the account was queued, dispatched or removed from the queue.
    last_waiting: Option<Time>,
    /// Whether requests of the account wait at other hosts.
    waits_remotely: bool,
}

#[derive(Clone, Debug)]
struct Pool {
    pool: id::Pool,
    ledger: Ledger,
    queue: Queue,
    /// Sorted by account.
    accounts: Vec<Account>,
    /// When an answer with sums last arrived.
    sums_received_at: Time,
}

/// The slots of one server at this host.
///
/// Invariant: `granted >= returned`. The host holds the difference, which it may use only while the lease of the
/// domain is valid. `running` includes requests whose slot the host no longer holds.
#[derive(Clone, Debug)]
struct HeldSlots {
    server: id::Server,
    /// `None` if the configuration of this host does not contain the server.
    pool: Option<id::Pool>,
    domain: Name,
    granted: u32,
    returned: u32,
    running: u32,
    /// Slots that were granted and not used since. The host may use these even if an account at another host has a
    /// lower normalised service: the owner knew of that account when it chose this host. If the host returned the
    /// slots because its own view differs, the owner would grant them again, and this would repeat without end.
    unused_grants: u32,
    /// See [`crate::message::Grant::keep`].
    keep: Option<u32>,
    leaving: bool,
    idle_since: Time,
    /// Idle slots according to the last report.
    reported_idle: u32,
    /// Number of the report that first contains the last change.
    changed: u64,
}

/// The message exchange with the owner of one failure domain, and the lease from it.
#[derive(Clone, Debug)]
struct Link {
    domain: Name,
    owner: Option<id::Host>,
    /// Incarnation of the owner's daemon; 0 until the host receives its first answer.
    owner_incarnation: u64,
    epoch: u32,
    /// The lease of `epoch` ended. It cannot be renewed; the host can hold slots again only in a later epoch.
    is_expired: bool,
    /// End of the lease on the clock of this host, exclusive: at this time slots may no longer be used.
    lease_end: Time,
    /// Number of the last answer that the host received.
    last_answer: u64,
    /// Number of the last answer with sums that the host received.
    last_sums: u64,
    /// Number of the last report that the owner has acknowledged.
    acknowledged: u64,
    /// When the last answer arrived.
    last_answer_at: Option<Time>,
    /// When the last report was sent.
    sent_at: Option<Time>,
    /// When the next regular report is due.
    next_exchange: Time,
    /// There is something to report before the next regular report.
    urgent: bool,
    /// Least normalised service among the accounts that wait at other hosts, sorted by pool.
    minima: Vec<Minimum>,
    /// Hosts that were the owner before, according to this host.
    previous: Vec<Previous>,
}

/// The state of the exchange with a host that is no longer the owner, kept in case it becomes the owner again.
#[derive(Clone, Copy, Debug)]
struct Previous {
    owner: id::Host,
    owner_incarnation: u64,
    epoch: u32,
    last_answer: u64,
}

/// The least normalised service among the accounts that wait for a pool at other hosts.
#[derive(Clone, Copy, Debug)]
struct Minimum {
    pool: id::Pool,
    /// Weighted tokens per share.
    normalised_service: u64,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    pool: id::Pool,
    account: id::Account,
    server: id::Server,
    /// Expected charge, in weighted tokens.
    estimate: u64,
    /// Weighted tokens processed so far.
    processed: u64,
}

/// The queue in which a waiting request is.
#[derive(Clone, Copy, Debug)]
struct Queued {
    id: u64,
    pool: id::Pool,
    account: id::Account,
}

/// The dispatcher of one host, for all pools.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    origin: Origin,
    home: Name,
    settings: Settings,
    shares: Vec<Share>,
    /// Sorted by pool.
    pools: Vec<Pool>,
    /// Sorted by server.
    held_slots: Vec<HeldSlots>,
    /// Sorted by domain.
    links: Vec<Link>,
    /// Sorted by request id.
    in_flight: Vec<Running>,
    /// Sorted by request id.
    queued: Vec<Queued>,
    /// Counters of origins that no longer report, kept for owners that restart without state. Sorted by pool,
    /// account, host and incarnation.
    retired: Vec<Retired>,
    /// Number of the last report.
    number: u64,
    is_leaving: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of a host without requests, servers or slots.
    ///
    /// `origin.incarnation` must be greater than that of any earlier process of the host; `home` is the failure
    /// domain of the host.
    pub fn new(origin: Origin, home: Name, settings: Settings) -> Dispatcher {
        Dispatcher {
            origin,
            home,
            settings,
            shares: Vec::new(),
            pools: Vec::new(),
            held_slots: Vec::new(),
            links: Vec::new(),
            in_flight: Vec::new(),
            queued: Vec::new(),
            retired: Vec::new(),
            number: 0,
            is_leaving: false,
        }
    }

    /// Replaces the shares of all accounts. Accounts that are not listed have share 1.
    pub fn set_shares(&mut self, shares: &[Share]) {
        self.shares = shares.to_vec();
        for pool in &mut self.pools {
            pool.ledger.set_shares(shares);
        }
    }

    /// Replaces the servers. Requests that run on a server that is no longer listed continue; the slots of the server
    /// are returned when they are idle.
    pub fn set_servers(&mut self, now: Time, servers: &[Server]) {
        for held in &mut self.held_slots {
            held.pool = None;
        }
        for server in servers {
            let held = self.held_slots(now, server.server, &server.domain);
            held.pool = Some(server.pool);
            held.domain = server.domain.clone();
            self.pool_index(server.pool);
            self.link_index(now, &server.domain);
        }
    }

    /// Sets the host that is the owner of the slots of `domain`.
    ///
    /// Slots leased by the previous owner may be used until their lease ends or the new owner has answered.
    pub fn set_owner(&mut self, now: Time, domain: &Name, owner: Option<id::Host>) {
        let at = self.link_index(now, domain);
        let link = &mut self.links[at];
        if link.owner == owner {
            return;
        }
        if let Some(owner) = link.owner {
            let previous = Previous {
                owner,
                owner_incarnation: link.owner_incarnation,
                epoch: link.epoch,
                last_answer: link.last_answer,
            };
            link.previous.retain(|p| p.owner != owner);
            link.previous.push(previous);
        }
        link.owner = owner;
        link.owner_incarnation = 0;
        link.last_answer = 0;
        link.last_sums = 0;
        link.acknowledged = 0;
        link.last_answer_at = None;
        link.urgent = true;
        let previous = link.previous.iter().find(|p| Some(p.owner) == owner);
        let Some(&previous) = previous.filter(|p| p.owner_incarnation != 0) else {
            return;
        };
        // The totals of returned slots of that epoch are no longer known, so the epoch must not be continued.
        link.owner_incarnation = previous.owner_incarnation;
        link.epoch = previous.epoch;
        link.last_answer = previous.last_answer;
        link.is_expired = true;
        self.clear_slots(now, domain);
    }

    /// Makes the host return idle slots at once from now on. Called when the host shuts down.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Adds a request to the queue of its pool.
    pub fn enqueue(&mut self, now: Time, request: Request) {
        let number = self.number + 1;
        let quantum = self.settings.quantum;
        let grace = self.settings.grace_ms;
        let at = self.pool_index(request.pool);
        let pool = &mut self.pools[at];
        let starts = pool.queue.count(request.account) == 0;
        let account = pool.account(request.account);
        if starts && !account.waits_remotely {
            let idle = account
                .last_waiting
                .is_none_or(|last| now.since(last) >= grace);
            let mut floor = pool.ledger.virtual_time();
            if !idle {
                // An account whose requests are dispatched before the next one arrives must not accumulate credit in
                // the short times without waiting requests.
                floor = floor.saturating_sub(quantum);
            }
            pool.ledger.lift(request.account, floor, number);
        }
        pool.queue.push(now, request);
        pool.mark_changed(now, request.account, number);
        let queued = Queued {
            id: request.id,
            pool: request.pool,
            account: request.account,
        };
        if let Err(at) = self.queued.binary_search_by_key(&queued.id, |q| q.id) {
            self.queued.insert(at, queued);
        }
    }

    /// Records that `total` weighted tokens of the request, including input tokens, have been processed so far.
    ///
    /// Does nothing if the request is not in flight or if `total` is not greater than the last one.
    pub fn record_progress(&mut self, request: u64, total: u64) {
        let Ok(at) = self.in_flight.binary_search_by_key(&request, |r| r.id) else {
            return;
        };
        let origin = self.origin;
        let running = &mut self.in_flight[at];
        if total <= running.processed {
            return;
        }
        let rest_before = running.estimate.saturating_sub(running.processed);
        let rest_after = running.estimate.saturating_sub(total);
        let grown = total - running.processed;
        running.processed = total;
        let running = *running;
        let at = self.pool_index(running.pool);
        let pool = &mut self.pools[at];
        let counter = pool.ledger.entry(running.account).counter(origin);
        counter.charge += grown;
        counter.in_flight -= rest_before - rest_after;
        pool.account(running.account).has_progress = true;
    }

    /// Records that a request in flight ended; `charge` is the actual charge in weighted tokens.
    pub fn finish(&mut self, now: Time, request: u64, charge: u64) {
        self.record_progress(request, charge);
        let Ok(at) = self.in_flight.binary_search_by_key(&request, |r| r.id) else {
            return;
        };
        let running = self.in_flight.remove(at);
        let number = self.number + 1;
        let origin = self.origin;
        let at = self.pool_index(running.pool);
        let pool = &mut self.pools[at];
        let counter = pool.ledger.entry(running.account).counter(origin);
        counter.in_flight -= running.estimate.saturating_sub(running.processed);
        pool.account(running.account).changed = number;
        if let Ok(at) = self
            .held_slots
            .binary_search_by_key(&running.server, |s| s.server)
        {
            let held = &mut self.held_slots[at];
            let lacks_slot = held.running > held.count();
            held.running -= 1;
            held.idle_since = now;
            held.changed = number;
            let domain = held.domain.clone();
            if lacks_slot {
                // The owner counts the request as using a slot until a report says that the request ended.
                let link = self.link_index(now, &domain);
                self.links[link].urgent = true;
            }
        }
    }

    /// Cancels a request for its caller: removes a waiting request, or ends one in flight with the tokens processed
    /// so far as its charge.
    ///
    /// Returns whether the request was waiting or in flight.
    pub fn cancel(&mut self, now: Time, request: u64) -> bool {
        let Ok(at) = self.queued.binary_search_by_key(&request, |q| q.id) else {
            let known = self
                .in_flight
                .binary_search_by_key(&request, |r| r.id)
                .is_ok();
            self.finish(now, request, 0);
            return known;
        };
        let queued = self.queued.remove(at);
        let number = self.number + 1;
        let at = self.pool_index(queued.pool);
        let pool = &mut self.pools[at];
        let removed = pool.queue.remove(queued.account, request).is_some();
        pool.mark_changed(now, queued.account, number);
        removed
    }

    /// Processes an answer that arrived from host `from`. Ignores it if `from` is not an owner or the answer is not
    /// newer than the last one.
    pub fn answer(&mut self, now: Time, from: id::Host, answer: &Answer) {
        let Some(at) = self.links.iter().position(|l| l.owner == Some(from)) else {
            return;
        };
        let link = &self.links[at];
        let is_stale = answer.incarnation < link.owner_incarnation
            || (answer.incarnation == link.owner_incarnation && answer.number <= link.last_answer);
        if answer.host_incarnation != self.origin.incarnation || is_stale {
            return;
        }
        if answer.incarnation != link.owner_incarnation {
            let link = &mut self.links[at];
            link.owner_incarnation = answer.incarnation;
            link.last_sums = 0;
            link.epoch = 0;
        }
        if answer.epoch != self.links[at].epoch {
            self.begin_epoch(now, at, answer.epoch);
        }
        let link = &mut self.links[at];
        link.last_answer = answer.number;
        link.acknowledged = link.acknowledged.max(answer.acknowledged_report);
        link.last_answer_at = Some(now);
        if answer.has_sums {
            link.last_sums = answer.number;
        }
        if let Some(sent) = answer.renewed_from {
            let end = sent.plus_ms(self.settings.holder_lease_ms);
            link.lease_end = link.lease_end.max(end);
        }
        self.merge_summaries(now, at, answer);
        if !self.links[at].is_expired {
            self.apply_grants(now, at, answer);
        }
    }

    /// Makes all decisions that are due. After the account has been selected, `choose` selects the server of the
    /// request among the candidates, which have an idle slot. If it returns another server, the first candidate is
    /// used.
    ///
    /// Returns [`Action::Dispatch`] only for slots whose lease is valid at `now`.
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
        self.expedite_idle_report();
        self.expedite_demand_report();
        self.send(now, &mut actions);
        actions
    }

    /// Returns the time at which [`Dispatcher::poll`] must be called next if no event occurs before.
    pub fn next_wake(&self, now: Time) -> Time {
        let mut wake = now.plus_ms(self.settings.exchange_ms);
        for link in self.links.iter().filter(|link| link.owner.is_some()) {
            wake = wake.min(self.send_time(link));
            if link.epoch > 0 && !link.is_expired {
                wake = wake.min(link.lease_end);
            }
        }
        for deadline in self.pools.iter().filter_map(|p| p.queue.next_deadline()) {
            wake = wake.min(deadline);
        }
        for held in self.held_slots.iter().filter(|held| held.idle() > 0) {
            wake = wake.min(held.idle_since.plus_ms(self.settings.hold_ms));
        }
        wake.max(now)
    }

    /// Returns the number of requests of `account` that wait for `pool` at this host.
    pub fn waiting(&self, pool: id::Pool, account: id::Account) -> usize {
        let at = self.pools.binary_search_by_key(&pool, |p| p.pool);
        at.map_or(0, |at| self.pools[at].queue.count(account))
    }

    /// Returns the number of requests that wait at this host, for all pools.
    pub fn waiting_total(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of requests in flight from this host, in all pools.
    pub fn in_flight_total(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the account of a request, or `None` if the request is not in flight.
    pub fn account_in_flight(&self, request: u64) -> Option<id::Account> {
        let at = self.in_flight.binary_search_by_key(&request, |r| r.id);
        at.ok().map(|at| self.in_flight[at].account)
    }

    /// Returns the state to show to operators.
    pub fn snapshot(&self) -> snapshot::Snapshot {
        let pools = self.pools.iter().map(|pool| {
            let slots = self.held_slots.iter().filter(|s| s.pool == Some(pool.pool));
            snapshot::Pool {
                pool: pool.pool,
                virtual_time: pool.ledger.virtual_time(),
                accounts: pool.snapshot(),
                servers: slots.map(HeldSlots::snapshot).collect(),
            }
        });
        snapshot::Snapshot {
            pools: pools.collect(),
        }
    }
}
