//! The owner side: lends the slots of the servers of one failure domain to hosts.
//!
//! Reports only record what happened; [`Lender::poll`] makes the decisions and returns the answers to send. A daemon
//! calls `poll` after each report, whose reply is among the answers, and no later than [`Lender::next_wake`].
//!
//! This module has the types; `report` reads what hosts say, `grant` lends and asks back, `answer` composes answers, and
//! `book` keeps demand and loans.

mod answer;
mod book;
mod grant;
mod report;

use primrose_base::clock::Time;
use primrose_base::id;

use crate::ledger::{Entry, Ledger, Origin, Share};
use crate::message::{Answer, Grant, Lease, Offset, Report, Retired, Row, Slots, Sum, Summary};
use crate::settings::Settings;
use crate::snapshot;

/// An answer that the daemon must send. May be lost, duplicated or overtaken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
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

    /// Makes all decisions that are due and returns the answers to send.
    pub fn poll(&mut self, now: Time) -> Vec<Envelope> {
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
}
