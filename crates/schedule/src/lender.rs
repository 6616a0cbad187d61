//! The owner side: lends the slots of the servers of one failure domain to hosts.
//!
//! Reports only record what happened; [`Lender::poll`] makes the decisions and returns the answers to send. A daemon
//! calls `poll` after each report, whose reply is among the answers, and no later than [`Lender::next_wake`].

use primrose_base::clock::Time;
use primrose_base::id;

use crate::ledger::{Entry, Ledger, Origin, Share};
use crate::message::{Answer, Grant, Lease, Level, Offset, Report, Retired, Row, Slots, Sum};
use crate::settings::Settings;
use crate::snapshot;

/// An answer that the daemon must send. May be lost, duplicated or overtaken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    /// The host that it is for.
    pub to: id::Host,
    /// Whether it replies to a report; otherwise it goes out unasked.
    pub is_reply: bool,
    /// The answer.
    pub answer: Answer,
}

/// A backend server of the owner's failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// The server.
    pub server: id::Server,
    /// Its pool.
    pub pool: id::Pool,
    /// Requests that it may have in flight, from all hosts together.
    pub limit: u32,
    /// Whether it is leaving: its slots are recalled and not lent again.
    pub leaving: bool,
}

/// How many of the configured hosts of the failure domain support this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Support {
    /// Hosts that support it, itself included.
    pub supporters: u32,
    /// Hosts configured in the failure domain.
    pub hosts: u32,
}

impl Support {
    /// The part of `limit` slots that may be lent: all with a majority, else `supporters / hosts` of them.
    pub fn capacity(self, limit: u32) -> u32 {
        if 2 * self.supporters > self.hosts {
            return limit;
        }
        let part = u64::from(limit) * u64::from(self.supporters);
        (part / u64::from(self.hosts.max(1))) as u32
    }
}

/// Requests of one account that wait at one host.
#[derive(Clone, Copy, Debug)]
struct Demand {
    account: id::Account,
    host: id::Host,
    waiting: u32,
    /// Grants that were made for the account and are not confirmed by the host.
    granted: u32,
    /// Weighted tokens.
    estimate: u64,
    age_s: u32,
}

#[derive(Clone, Debug)]
struct Pool {
    pool: id::Pool,
    ledger: Ledger,
    /// Sorted by account and host.
    demands: Vec<Demand>,
}

/// The slots of one server that are lent to one host, in the current epoch of the lease.
///
/// Invariant: `granted >= returned`.
#[derive(Clone, Copy, Debug)]
struct Loan {
    server: id::Server,
    granted: u32,
    returned: u32,
    /// Grants that the host has confirmed.
    confirmed: u32,
    /// Requests in flight from the host, by its last report.
    running: u32,
    keep: Option<u32>,
    leaving: bool,
    /// Number of the answer that first contains the last change.
    changed: u64,
}

/// A grant that the host has not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    server: id::Server,
    /// `granted` of the server after this grant.
    total: u32,
    pool: id::Pool,
    account: id::Account,
    /// Weighted tokens.
    estimate: u64,
}

/// What the owner knows of one host.
#[derive(Clone, Debug)]
struct Host {
    host: id::Host,
    incarnation: u64,
    /// Number of the last report.
    number: u64,
    /// Number of the last report to confirm; 0 until the host has reported everything in this epoch.
    complete: u64,
    epoch: u32,
    /// The host has heard of the current epoch.
    knows_epoch: bool,
    /// End of the lease on the clock of the owner; `None` once it has ended.
    lease_end: Option<Time>,
    /// `sent` of the newest report.
    sent: Time,
    /// Number of the last answer that the host has.
    seen: u64,
    /// Number of the last answer with sums that the host has, if it wants sums from this owner.
    sums: Option<u64>,
    /// Sorted by server.
    loans: Vec<Loan>,
    pending: Vec<Pending>,
    paced_until: Time,
    granted_at: Option<Time>,
    answered_at: Option<Time>,
    reply_due: bool,
    /// Something changed that the host must hear at once.
    urgent: bool,
}

/// What is taken of one server over all hosts, in slots.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    lent: u32,
    /// Lent, or taken by requests in flight without a slot.
    taken: u32,
    /// Some slots are being recalled.
    is_recalled: bool,
}

/// The least `v` that waits in a pool, and the least at any other host than that one.
#[derive(Clone, Copy, Debug, Default)]
struct Front {
    /// Where the least `v` waits; `None` if nothing waits.
    host: Option<id::Host>,
    v: u64,
    other: Option<u64>,
}

impl Front {
    /// The least `v` that waits elsewhere than at `host`.
    fn floor(&self, host: id::Host) -> Option<u64> {
        match self.host {
            Some(first) if first != host => Some(self.v),
            _ => self.other,
        }
    }
}

/// An origin that no longer reports.
#[derive(Clone, Copy, Debug)]
struct Silent {
    origin: Origin,
    changed: u64,
}

/// The decisions of one owner, for all pools of its failure domain.
#[derive(Clone, Debug)]
pub struct Lender {
    incarnation: u64,
    settings: Settings,
    shares: Vec<Share>,
    started: Time,
    support: Support,
    /// Sorted by pool.
    pools: Vec<Pool>,
    /// Sorted by server.
    servers: Vec<Server>,
    /// Sorted by host.
    hosts: Vec<Host>,
    silent: Vec<Silent>,
    /// Number of the last answer.
    number: u64,
}

impl Lender {
    /// An owner that starts at `now`, without servers, and without support until [`Lender::set_support`].
    ///
    /// `incarnation` must be greater than that of any earlier lender on this host.
    pub fn new(now: Time, incarnation: u64, settings: Settings) -> Lender {
        Lender {
            incarnation,
            settings,
            shares: Vec::new(),
            started: now,
            support: Support {
                supporters: 0,
                hosts: 1,
            },
            pools: Vec::new(),
            servers: Vec::new(),
            hosts: Vec::new(),
            silent: Vec::new(),
            number: 0,
        }
    }

    /// Replaces the shares of the accounts; accounts that are not listed have share 1.
    pub fn set_shares(&mut self, shares: &[Share]) {
        self.shares = shares.to_vec();
        for pool in &mut self.pools {
            pool.ledger.set_shares(shares);
        }
    }

    /// Replaces the servers with their limits (in slots) and leaving flags. A server that is no longer listed counts
    /// as leaving until its slots have come back.
    pub fn set_servers(&mut self, servers: &[Server]) {
        for server in &mut self.servers {
            server.leaving = true;
        }
        for server in servers {
            self.pool_at(server.pool);
            match self
                .servers
                .binary_search_by_key(&server.server, |s| s.server)
            {
                Ok(at) => self.servers[at] = *server,
                Err(at) => self.servers.insert(at, *server),
            }
        }
    }

    /// Changes the limit of one server, in slots. Slots above a lower limit are recalled as they become free.
    pub fn set_limit(&mut self, server: id::Server, limit: u32) {
        if let Ok(at) = self.servers.binary_search_by_key(&server, |s| s.server) {
            self.servers[at].limit = limit;
        }
    }

    /// Marks one server as leaving or as back.
    pub fn set_leaving(&mut self, server: id::Server, leaving: bool) {
        if let Ok(at) = self.servers.binary_search_by_key(&server, |s| s.server) {
            self.servers[at].leaving = leaving;
        }
    }

    /// Sets the support of this owner. Without any support no lease is renewed and no slot is lent.
    pub fn set_support(&mut self, support: Support) {
        self.support = support;
    }

    /// A report arrived. A report that is not newer than the last one of its host changes nothing and gets no reply.
    pub fn report(&mut self, now: Time, report: &Report) {
        let at = self.host_at(now, report);
        let host = &self.hosts[at];
        if report.incarnation < host.incarnation {
            return;
        }
        if report.incarnation > host.incarnation {
            self.restarted(now, at, report.incarnation);
        }
        if report.number <= self.hosts[at].number {
            return;
        }
        self.renew(now, at, report);
        for usage in &report.pools {
            let pool = self.pool_at(usage.pool);
            if now >= self.settled_at() {
                self.pools[pool].ledger.advance(usage.virtual_time);
            }
            for row in &usage.accounts {
                self.learn(pool, at, row);
            }
            let number = self.number + 1;
            for offset in &usage.offsets {
                let entry = self.pools[pool].ledger.entry(offset.account);
                entry.merge_offset(offset.offset, number);
            }
        }
        for slots in &report.slots {
            self.settle(at, slots);
        }
        for retired in &report.retired {
            self.retire(retired);
        }
    }

    /// Renews the lease, or begins a new epoch if the host's ended.
    fn renew(&mut self, now: Time, at: usize, report: &Report) {
        let is_known = report.lender == self.incarnation;
        let host = &self.hosts[at];
        let is_rejoin = host.lease_end.is_none();
        match report.lease {
            Lease::Void(epoch) if is_known && epoch == host.epoch => self.end_epoch(at),
            Lease::Held(epoch) if is_known && epoch == host.epoch => {
                self.hosts[at].knows_epoch = true;
            }
            _ => {}
        }
        let host = &mut self.hosts[at];
        host.number = report.number;
        host.sent = report.sent;
        host.lease_end = Some(now.plus_ms(self.settings.owner_lease_ms));
        host.seen = if is_known { report.seen } else { 0 };
        host.sums = report.sums.map(|sums| if is_known { sums } else { 0 });
        host.complete = if host.knows_epoch { report.number } else { 0 };
        host.reply_due = true;
        if !is_rejoin {
            return;
        }
        host.paced_until = now.plus_ms(self.settings.pacing_duration_ms);
        let origin = host.origin();
        self.silent.retain(|s| s.origin != origin);
    }

    /// Merges the figures of one account at one host.
    fn learn(&mut self, pool: usize, host: usize, row: &Row) {
        let number = self.number + 1;
        let origin = self.hosts[host].origin();
        let pool = &mut self.pools[pool];
        let demand = pool.demand(row.account, origin.host);
        let flips = (demand.waiting == 0) != (row.waiting == 0);
        demand.waiting = row.waiting;
        demand.estimate = row.estimate;
        demand.age_s = row.age_s;
        let counter = pool.ledger.entry(row.account).counter(origin);
        let is_same = row.charge <= counter.charge && row.in_flight == counter.in_flight;
        counter.charge = counter.charge.max(row.charge);
        counter.in_flight = row.in_flight;
        if flips || !is_same {
            counter.changed = number;
        }
    }

    /// Merges the slot counts of one server at one host. Counts of other epochs only tell the requests in flight.
    fn settle(&mut self, at: usize, slots: &Slots) {
        let host = &mut self.hosts[at];
        let knows_epoch = host.knows_epoch;
        let loan = host.loan(slots.server);
        loan.running = slots.running;
        if !knows_epoch {
            return;
        }
        loan.confirmed = loan.confirmed.max(slots.granted.min(loan.granted));
        loan.returned = loan.returned.max(slots.returned.min(loan.granted));
        let confirmed = loan.confirmed;
        let is_confirmed = |p: &Pending| p.server == slots.server && p.total <= confirmed;
        let arrived: Vec<Pending> = host.pending.extract_if(.., |p| is_confirmed(p)).collect();
        for pending in arrived {
            self.forget(at, &pending);
        }
    }

    /// Takes back what a grant advanced.
    fn forget(&mut self, host: usize, pending: &Pending) {
        let host = self.hosts[host].host;
        let pool = self.pool_at(pending.pool);
        let pool = &mut self.pools[pool];
        pool.ledger.entry(pending.account).pending -= pending.estimate;
        pool.demand(pending.account, host).granted -= 1;
    }

    fn retire(&mut self, retired: &Retired) {
        let origin = Origin {
            host: retired.host,
            incarnation: retired.incarnation,
        };
        let number = self.number + 1;
        let pool = self.pool_at(retired.pool);
        let entry = self.pools[pool].ledger.entry(retired.account);
        let counter = entry.counter(origin);
        if retired.charge > counter.charge {
            counter.charge = retired.charge;
            counter.changed = number;
        }
        let is_live = self.hosts.iter().any(|h| h.origin() == origin);
        let is_listed = self.silent.iter().any(|s| s.origin == origin);
        if !is_live && !is_listed {
            self.silence(origin);
        }
    }

    fn silence(&mut self, origin: Origin) {
        let changed = self.number + 1;
        self.silent.retain(|s| s.origin != origin);
        self.silent.push(Silent { origin, changed });
    }

    /// A new process of the host reports: what the old one held and queued is gone, what it charged remains.
    fn restarted(&mut self, now: Time, at: usize, incarnation: u64) {
        self.end_lease(at);
        let host = &mut self.hosts[at];
        host.incarnation = incarnation;
        host.number = 0;
        host.paced_until = now.plus_ms(self.settings.pacing_duration_ms);
    }

    /// The host no longer holds anything: its slots, requests and demands are forgotten, its counters remain.
    fn end_lease(&mut self, at: usize) {
        let number = self.number + 1;
        self.end_epoch(at);
        let host = &mut self.hosts[at];
        host.lease_end = None;
        host.loans.clear();
        let origin = host.origin();
        for pool in &mut self.pools {
            pool.demands.retain(|d| d.host != origin.host);
            for entry in pool.ledger.entries_mut() {
                let counters = entry.counters.iter_mut();
                for counter in counters.filter(|c| c.origin == origin) {
                    counter.in_flight = 0;
                    counter.changed = number;
                }
            }
        }
        self.silence(origin);
    }

    /// Begins a new epoch, in which the host holds no slots. Its requests in flight still count.
    fn end_epoch(&mut self, at: usize) {
        let number = self.number + 1;
        let host = &mut self.hosts[at];
        host.epoch += 1;
        host.knows_epoch = false;
        host.complete = 0;
        for loan in &mut host.loans {
            *loan = Loan {
                running: loan.running,
                changed: number,
                ..Loan::new(loan.server)
            };
        }
        for pending in std::mem::take(&mut host.pending) {
            self.forget(at, &pending);
        }
    }

    /// Makes all decisions that are due and returns the answers to send.
    pub fn poll(&mut self, now: Time) -> Vec<Push> {
        self.expire(now);
        let mut uses = self.uses();
        self.recall(&uses);
        for pool in 0..self.pools.len() {
            self.grant(now, pool, &mut uses);
        }
        self.answer(now)
    }

    /// The time at which [`Lender::poll`] has something to do if no report comes first.
    pub fn next_wake(&self, now: Time) -> Time {
        let mut wake = now.plus_ms(self.settings.exchange_ms);
        let waits = self.pools.iter().any(|pool| pool.least().is_some());
        for host in &self.hosts {
            if let Some(end) = host.lease_end {
                wake = wake.min(end);
            }
            if waits && now < self.pacing_end(host) {
                let granted_at = host.granted_at.unwrap_or(now);
                wake = wake.min(granted_at.plus_ms(self.settings.pacing_ms));
            }
            if waits && host.has_idle() {
                let answered_at = host.answered_at.unwrap_or(now);
                wake = wake.min(answered_at.plus_ms(self.settings.urgent_ms));
            }
        }
        wake.max(now.plus_ms(1))
    }

    fn expire(&mut self, now: Time) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].lease_end.is_some_and(|end| end <= now) {
                self.end_lease(at);
            }
        }
    }

    /// Slots that may be lent of a server now.
    fn capacity(&self, server: &Server) -> u32 {
        match server.leaving {
            true => 0,
            false => self.support.capacity(server.limit),
        }
    }

    /// What is taken of each server, in the order of `servers`. One pass over the loans, because there are many more
    /// pairs of hosts and servers than loans.
    fn uses(&self) -> Vec<Use> {
        let mut uses = vec![Use::default(); self.servers.len()];
        for loan in self.hosts.iter().flat_map(|host| &host.loans) {
            let at = self
                .servers
                .binary_search_by_key(&loan.server, |s| s.server);
            if let Ok(at) = at {
                uses[at].lent += loan.lent();
                uses[at].taken += loan.taken();
                uses[at].is_recalled |= loan.keep.is_some();
            }
        }
        uses
    }

    /// Recalls slots above the capacity of their server.
    fn recall(&mut self, uses: &[Use]) {
        for (at, taken) in uses.iter().enumerate() {
            let server = self.servers[at];
            let excess = taken.lent.saturating_sub(self.capacity(&server));
            if excess == 0 && !server.leaving && !taken.is_recalled {
                continue;
            }
            let mut kept: Vec<u32> = self
                .hosts
                .iter()
                .map(|host| host.lent(server.server))
                .collect();
            let is_recalled = excess > 0 || server.leaving;
            for _ in 0..excess {
                if let Some(most) = kept.iter_mut().max() {
                    *most = most.saturating_sub(1);
                }
            }
            let number = self.number + 1;
            for (host, kept) in self.hosts.iter_mut().zip(kept) {
                let Some(loan) = host.existing_loan(server.server) else {
                    continue;
                };
                let keep = is_recalled.then_some(kept);
                if loan.keep == keep && loan.leaving == server.leaving {
                    continue;
                }
                loan.keep = keep;
                loan.leaving = server.leaving;
                loan.changed = number;
                host.urgent = true;
            }
        }
    }

    fn lent(&self, server: id::Server) -> u32 {
        self.hosts.iter().map(|host| host.lent(server)).sum()
    }

    /// Grants free slots in the order of least `v`.
    ///
    /// Every grant advances `v` of the account by the estimate, for its requests at all hosts; otherwise one light
    /// request would draw every free slot until the next exchange.
    fn grant(&mut self, now: Time, at: usize, uses: &mut [Use]) {
        loop {
            let pool = &self.pools[at];
            if now >= self.settled_at()
                && let Some(least) = pool.least()
            {
                let v = pool.ledger.v(least.account);
                self.pools[at].ledger.advance(v);
            }
            let pool = &self.pools[at];
            let Some(server) = self.freest(pool.pool, uses) else {
                return;
            };
            let open = pool.demands.iter().filter(|d| d.rest() > 0);
            let open = open.filter(|demand| self.may_receive(now, demand.host));
            let Some(demand) = open.min_by_key(|d| pool.rank(d)).copied() else {
                return;
            };
            uses[server].lent += 1;
            uses[server].taken += 1;
            self.lend(now, at, &demand, self.servers[server].server);
        }
    }

    /// The position of the server of `pool` with most free slots.
    fn freest(&self, pool: id::Pool, uses: &[Use]) -> Option<usize> {
        let servers = self.servers.iter().zip(uses).enumerate();
        let servers = servers.filter(|(_, (server, _))| server.pool == pool);
        let free = servers.map(|(at, (server, taken))| {
            let free = self.capacity(server).saturating_sub(taken.taken);
            (free, at)
        });
        let (free, at) = free.max()?;
        (free > 0).then_some(at)
    }

    fn may_receive(&self, now: Time, host: id::Host) -> bool {
        let Ok(at) = self.hosts.binary_search_by_key(&host, |h| h.host) else {
            return false;
        };
        let host = &self.hosts[at];
        let is_due = host
            .granted_at
            .is_none_or(|last| now.since(last) >= self.settings.pacing_ms);
        host.lease_end.is_some() && (is_due || now >= self.pacing_end(host))
    }

    fn pacing_end(&self, host: &Host) -> Time {
        host.paced_until.max(self.settled_at())
    }

    /// When every live host has had the time to report since the start.
    fn settled_at(&self) -> Time {
        self.started.plus_ms(self.settings.pacing_duration_ms)
    }

    fn lend(&mut self, now: Time, at: usize, demand: &Demand, server: id::Server) {
        let number = self.number + 1;
        let pool = &mut self.pools[at];
        pool.ledger.entry(demand.account).pending += demand.estimate;
        pool.demand(demand.account, demand.host).granted += 1;
        let pool = pool.pool;
        let Ok(host) = self.hosts.binary_search_by_key(&demand.host, |h| h.host) else {
            return;
        };
        let host = &mut self.hosts[host];
        host.granted_at = Some(now);
        host.urgent = true;
        let loan = host.loan(server);
        loan.granted += 1;
        loan.changed = number;
        let total = loan.granted;
        host.pending.push(Pending {
            server,
            total,
            pool,
            account: demand.account,
            estimate: demand.estimate,
        });
    }

    fn answer(&mut self, now: Time) -> Vec<Push> {
        let mut pushes = Vec::new();
        let fronts: Vec<Front> = self.pools.iter().map(Pool::front).collect();
        for at in 0..self.hosts.len() {
            let host = &self.hosts[at];
            let is_paced = host
                .answered_at
                .is_some_and(|last| now.since(last) < self.settings.urgent_ms);
            let is_wanted = !is_paced && self.wants_idle(host, &fronts);
            let is_due = host.reply_due || host.urgent || is_wanted;
            if !is_due || host.lease_end.is_none() {
                continue;
            }
            self.number += 1;
            let push = Push {
                to: host.host,
                is_reply: host.reply_due,
                answer: self.compose(&self.hosts[at], &fronts),
            };
            pushes.push(push);
            let host = &mut self.hosts[at];
            host.reply_due = false;
            host.urgent = false;
            host.answered_at = Some(now);
        }
        pushes
    }

    /// Whether the host has idle slots that an account waits for elsewhere.
    fn wants_idle(&self, host: &Host, fronts: &[Front]) -> bool {
        let idle = host.loans.iter().filter(|loan| loan.idle() > 0);
        let mut pools = idle.filter_map(|loan| self.pool_of(loan.server));
        pools.any(|pool| fronts[pool].floor(host.host).is_some())
    }

    /// The position of the pool of a server.
    fn pool_of(&self, server: id::Server) -> Option<usize> {
        let at = self.servers.binary_search_by_key(&server, |s| s.server);
        let pool = self.servers[at.ok()?].pool;
        self.pools.binary_search_by_key(&pool, |p| p.pool).ok()
    }

    fn compose(&self, host: &Host, fronts: &[Front]) -> Answer {
        let levels = self.pools.iter().zip(fronts);
        let levels = levels.filter_map(|(pool, front)| level(host, pool, front.floor(host.host)));
        let changed = host.loans.iter().filter(|loan| loan.changed > host.seen);
        let grants = changed.map(|loan| Grant {
            server: loan.server,
            granted: loan.granted,
            keep: loan.keep,
            leaving: loan.leaving,
        });
        Answer {
            to: host.incarnation,
            incarnation: self.incarnation,
            number: self.number,
            epoch: host.epoch,
            renewed: (self.support.supporters > 0).then_some(host.sent),
            seen: host.complete,
            has_sums: host.sums.is_some(),
            pools: levels.collect(),
            grants: grants.collect(),
            retired: host.sums.map_or(Vec::new(), |seen| self.retired(seen)),
        }
    }

    fn retired(&self, seen: u64) -> Vec<Retired> {
        let mut retired = Vec::new();
        for silent in self.silent.iter().filter(|s| s.changed > seen) {
            for pool in &self.pools {
                pool.retired(silent.origin, &mut retired);
            }
        }
        retired
    }

    fn pool_at(&mut self, pool: id::Pool) -> usize {
        let at = self.pools.binary_search_by_key(&pool, |p| p.pool);
        at.unwrap_or_else(|at| {
            let pool = Pool {
                pool,
                ledger: Ledger::new(self.settings.cap, &self.shares),
                demands: Vec::new(),
            };
            self.pools.insert(at, pool);
            at
        })
    }

    fn host_at(&mut self, now: Time, report: &Report) -> usize {
        let at = self.hosts.binary_search_by_key(&report.host, |h| h.host);
        at.unwrap_or_else(|at| {
            let host = Host {
                host: report.host,
                incarnation: report.incarnation,
                number: 0,
                complete: 0,
                epoch: 1,
                knows_epoch: false,
                lease_end: None,
                sent: Time::ZERO,
                seen: 0,
                sums: None,
                loans: Vec::new(),
                pending: Vec::new(),
                paced_until: now.plus_ms(self.settings.pacing_duration_ms),
                granted_at: None,
                answered_at: None,
                reply_due: false,
                urgent: false,
            };
            self.hosts.insert(at, host);
            at
        })
    }

    /// Slots of a server that are lent, in the books of this owner, over all hosts.
    pub fn lent_total(&self, server: id::Server) -> u32 {
        self.lent(server)
    }

    /// What operators can read.
    pub fn snapshot(&self) -> snapshot::Snapshot {
        let pools = self.pools.iter().map(|pool| {
            let servers = self.servers.iter().filter(|s| s.pool == pool.pool);
            snapshot::Pool {
                pool: pool.pool,
                virtual_time: pool.ledger.virtual_time(),
                accounts: pool.snapshot(),
                servers: servers.map(|s| self.server_snapshot(s)).collect(),
            }
        });
        snapshot::Snapshot {
            pools: pools.collect(),
        }
    }

    fn server_snapshot(&self, server: &Server) -> snapshot::Server {
        let loans = self.hosts.iter().flat_map(|host| &host.loans);
        let loans = loans.filter(|loan| loan.server == server.server);
        snapshot::Server {
            server: server.server,
            slots: self.capacity(server),
            lent: self.lent(server.server),
            idle: loans.map(Loan::idle).sum(),
            leaving: server.leaving,
        }
    }
}

/// What a host must hear of a pool, if anything.
fn level(host: &Host, pool: &Pool, floor: Option<u64>) -> Option<Level> {
    let sums = host
        .sums
        .map_or(Vec::new(), |seen| pool.sums(host.origin(), seen));
    let lifted = pool.ledger.entries().iter();
    let lifted = lifted.filter(|e| e.offset_changed > host.seen);
    let offsets = lifted.map(|entry| Offset {
        account: entry.account,
        offset: entry.offset,
    });
    let offsets: Vec<Offset> = offsets.collect();
    let is_needed = floor.is_some() || !sums.is_empty() || !offsets.is_empty();
    is_needed.then(|| Level {
        pool: pool.pool,
        virtual_time: pool.ledger.virtual_time(),
        floor,
        sums,
        offsets,
    })
}

impl Pool {
    fn demand(&mut self, account: id::Account, host: id::Host) -> &mut Demand {
        let key = (account, host);
        let at = self
            .demands
            .binary_search_by_key(&key, |d| (d.account, d.host));
        let at = at.unwrap_or_else(|at| {
            let demand = Demand {
                account,
                host,
                waiting: 0,
                granted: 0,
                estimate: 0,
                age_s: 0,
            };
            self.demands.insert(at, demand);
            at
        });
        &mut self.demands[at]
    }

    /// Order in which demands are served: least `v`, then the oldest.
    fn rank(&self, demand: &Demand) -> (u64, std::cmp::Reverse<u32>, id::Account, id::Host) {
        (
            self.ledger.v(demand.account),
            std::cmp::Reverse(demand.age_s),
            demand.account,
            demand.host,
        )
    }

    /// The first of the demands that are not met by grants on their way.
    fn least(&self) -> Option<&Demand> {
        let open = self.demands.iter().filter(|d| d.rest() > 0);
        open.min_by_key(|d| self.rank(d))
    }

    fn front(&self) -> Front {
        let Some(first) = self.least() else {
            return Front::default();
        };
        let others = self.demands.iter().filter(|d| d.rest() > 0);
        let others = others.filter(|d| d.host != first.host);
        Front {
            host: Some(first.host),
            v: self.ledger.v(first.account),
            other: others.map(|d| self.ledger.v(d.account)).min(),
        }
    }

    /// The sums that changed since the answer `seen`, over all origins but the receiver.
    fn sums(&self, receiver: Origin, seen: u64) -> Vec<Sum> {
        let entries = self.ledger.entries().iter();
        let changed = entries.filter(|entry| {
            let mut others = entry.counters.iter().filter(|c| c.origin != receiver);
            others.any(|c| c.changed > seen)
        });
        changed.map(|entry| self.sum(entry, receiver)).collect()
    }

    fn sum(&self, entry: &Entry, receiver: Origin) -> Sum {
        let others = entry.counters.iter().filter(|c| c.origin != receiver);
        let in_flight: u64 = others.clone().map(|c| c.in_flight).sum();
        let mut demands = self.demands.iter();
        let is_waiting =
            demands.any(|d| d.account == entry.account && d.host != receiver.host && d.waiting > 0);
        Sum {
            account: entry.account,
            charge: others.map(|c| c.charge).sum(),
            in_flight_and_waiting: in_flight << 1 | u64::from(is_waiting),
        }
    }

    fn retired(&self, origin: Origin, retired: &mut Vec<Retired>) {
        for entry in self.ledger.entries() {
            let counter = entry.counters.iter().find(|c| c.origin == origin);
            if let Some(counter) = counter.filter(|c| c.charge > 0) {
                retired.push(Retired {
                    pool: self.pool,
                    account: entry.account,
                    host: origin.host,
                    incarnation: origin.incarnation,
                    charge: counter.charge,
                });
            }
        }
    }

    fn snapshot(&self) -> Vec<snapshot::Account> {
        let entries = self.ledger.entries().iter();
        let accounts = entries.map(|entry| {
            let demands = self.demands.iter().filter(|d| d.account == entry.account);
            snapshot::Account {
                account: entry.account,
                share: entry.share,
                v: self.ledger.v(entry.account),
                waiting: demands.map(|d| u64::from(d.waiting)).sum(),
                in_flight: entry.in_flight(),
                service: entry.service(),
            }
        });
        accounts.collect()
    }
}

impl Demand {
    /// Requests for which no grant is on its way.
    fn rest(&self) -> u32 {
        self.waiting.saturating_sub(self.granted)
    }
}

impl Loan {
    fn new(server: id::Server) -> Loan {
        Loan {
            server,
            granted: 0,
            returned: 0,
            confirmed: 0,
            running: 0,
            keep: None,
            leaving: false,
            changed: 0,
        }
    }

    fn lent(&self) -> u32 {
        self.granted - self.returned
    }

    /// Slots of the server that the host takes: lent, or running without a slot.
    fn taken(&self) -> u32 {
        self.lent().max(self.running)
    }

    /// Slots that the host has reported as idle.
    fn idle(&self) -> u32 {
        self.confirmed.saturating_sub(self.returned + self.running)
    }
}

impl Host {
    fn origin(&self) -> Origin {
        Origin {
            host: self.host,
            incarnation: self.incarnation,
        }
    }

    fn loan(&mut self, server: id::Server) -> &mut Loan {
        let at = self.loans.binary_search_by_key(&server, |l| l.server);
        let at = at.unwrap_or_else(|at| {
            self.loans.insert(at, Loan::new(server));
            at
        });
        &mut self.loans[at]
    }

    fn existing_loan(&mut self, server: id::Server) -> Option<&mut Loan> {
        let at = self.loans.binary_search_by_key(&server, |l| l.server);
        at.ok().map(|at| &mut self.loans[at])
    }

    fn lent(&self, server: id::Server) -> u32 {
        let at = self.loans.binary_search_by_key(&server, |l| l.server);
        at.map_or(0, |at| self.loans[at].lent())
    }

    fn has_idle(&self) -> bool {
        self.loans.iter().any(|loan| loan.idle() > 0)
    }
}
