//! The owner side of slot leases: leases the slots of the servers of one failure domain to hosts.
//!
//! [`Allocator::report`] only records what a host reports; [`Allocator::poll`] makes the decisions and returns the
//! answers to send. A daemon calls `poll` after each report, to which one of the returned answers replies, and no
//! later than [`Allocator::next_wake`].
//!
//! This module defines the types. `report` processes reports and ends leases, `grant` grants and recalls slots,
//! `answer` composes answers, and `state` has the look-up methods of pools, hosts and leased slots.

mod answer;
mod grant;
mod report;
mod state;

use primrose_base::clock::Time;
use primrose_base::id;

use crate::ledger::{Entry, Ledger, Origin, Share};
use crate::message::{Answer, Grant, Lease, Offset, Report, Retired, Row, Slots, Sum, Summary};
use crate::settings::Settings;
use crate::snapshot;

/// An answer that the daemon must send. The network may lose, duplicate or reorder answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The host to which the answer must be sent.
    pub to: id::Host,
    /// Whether the answer replies to a report; otherwise the owner sends it on its own initiative.
    pub is_reply: bool,
    /// The message to send.
    pub answer: Answer,
}

/// A backend server of the owner's failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// Unique identifier of the server.
    pub server: id::Server,
    /// The pool whose requests the server can serve.
    pub pool: id::Pool,
    /// Slots of the server: requests that it may have in flight from all hosts together.
    pub limit: u32,
    /// Whether the server is leaving: its slots are recalled and not leased again.
    pub leaving: bool,
}

/// How many of the configured hosts of the failure domain support this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Support {
    /// Hosts that support the owner, including itself.
    pub supporters: u32,
    /// Hosts configured in the failure domain.
    pub hosts: u32,
}

impl Support {
    /// Returns how many of `limit` slots the owner may lease: all if a majority supports it, else the fraction
    /// `supporters / hosts`, rounded down.
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
    /// Grants that were made for these requests and that the host has not confirmed yet.
    granted: u32,
    /// Estimate of the request that the host dispatches next, in weighted tokens.
    estimate: u64,
    /// Age of the oldest request, in s.
    age_s: u32,
}

#[derive(Clone, Debug)]
struct Pool {
    pool: id::Pool,
    ledger: Ledger,
    /// Sorted by account and host.
    demands: Vec<Demand>,
}

/// The slots of one server that are leased to one host, in the current epoch of the lease.
///
/// Invariant: `granted >= returned`.
#[derive(Clone, Copy, Debug)]
struct LeasedSlots {
    server: id::Server,
    granted: u32,
    returned: u32,
    /// The part of `granted` that the host has confirmed.
    confirmed: u32,
    /// Requests in flight from the host according to its last report.
    running: u32,
    /// See [`Grant::keep`].
    keep: Option<u32>,
    leaving: bool,
    /// Number of the answer that first contains the last change.
    changed: u64,
}

/// A grant that the host has not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    server: id::Server,
    /// [`LeasedSlots::granted`] after this grant.
    total: u32,
    pool: id::Pool,
    account: id::Account,
    /// Estimate that was charged for the grant, in weighted tokens.
    estimate: u64,
}

/// The lease of one host and the state of the message exchange with it.
#[derive(Clone, Debug)]
struct Host {
    host: id::Host,
    incarnation: u64,
    /// Number of the last report that the owner received.
    last_report: u64,
    /// Number of the last report to acknowledge; 0 until the host has confirmed the epoch, so that it sends all rows.
    acknowledged: u64,
    epoch: u32,
    /// Whether the host has reported that it holds slots in the current epoch.
    has_confirmed_epoch: bool,
    /// End of the lease on the clock of the owner; `None` if there is no lease.
    lease_end: Option<Time>,
    /// [`Report::sent`] of the newest report.
    sent: Time,
    /// Number of the last answer that the host has acknowledged.
    last_answer: u64,
    /// Number of the last answer with sums that the host has acknowledged; `None` if it does not want sums.
    last_sums: Option<u64>,
    /// Sorted by server.
    leased_slots: Vec<LeasedSlots>,
    pending: Vec<Pending>,
    /// Grants to the host are rate-limited before this time.
    paced_until: Time,
    /// When the last slot was granted to the host.
    granted_at: Option<Time>,
    /// When the last answer to the host was composed.
    answered_at: Option<Time>,
    /// A report has arrived and has not been answered.
    reply_due: bool,
    /// Something changed that the host must be told at once.
    urgent: bool,
}

/// Slots of one server that are in use, over all hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Allocation {
    leased: u32,
    /// Slots that are leased, and requests in flight beyond the slots leased to their host.
    occupied: u32,
    /// Some slots are being recalled.
    is_recalled: bool,
}

/// The least normalised service among the accounts with unmet demand in one pool, in weighted tokens per share.
#[derive(Clone, Copy, Debug, Default)]
struct Minimum {
    /// Host at which the account with the least normalised service waits; `None` if nothing waits.
    host: Option<id::Host>,
    normalised_service: u64,
    /// Least normalised service among the accounts that wait at hosts other than `host`.
    other: Option<u64>,
}

impl Minimum {
    /// Returns the least normalised service among the accounts that wait at hosts other than `host`.
    fn remote(&self, host: id::Host) -> Option<u64> {
        match self.host {
            Some(first) if first != host => Some(self.normalised_service),
            _ => self.other,
        }
    }
}

/// An origin that no longer reports, because its process or its lease ended.
#[derive(Clone, Copy, Debug)]
struct Inactive {
    origin: Origin,
    /// Number of the answer that first contains the last change.
    changed: u64,
}

/// The allocator of the slots of one failure domain, which runs on the owner.
#[derive(Clone, Debug)]
pub struct Allocator {
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
    inactive: Vec<Inactive>,
    /// Number of the last answer to any host.
    number: u64,
}

impl Allocator {
    /// Creates the allocator of an owner that starts at `now`. It has no servers, and no supporters until
    /// [`Allocator::set_support`] is called.
    ///
    /// `incarnation` must be greater than that of any earlier allocator on this host.
    pub fn new(now: Time, incarnation: u64, settings: Settings) -> Allocator {
        Allocator {
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
            inactive: Vec::new(),
            number: 0,
        }
    }

    /// Replaces the shares of all accounts. Accounts that are not listed have share 1.
    pub fn set_shares(&mut self, shares: &[Share]) {
        self.shares = shares.to_vec();
        for pool in &mut self.pools {
            pool.ledger.set_shares(shares);
        }
    }

    /// Replaces the servers with their limits (in slots) and leaving flags. A server that is no longer listed is
    /// treated as leaving, so its slots are recalled.
    pub fn set_servers(&mut self, servers: &[Server]) {
        for server in &mut self.servers {
            server.leaving = true;
        }
        for server in servers {
            self.pool_index(server.pool);
            match self
                .servers
                .binary_search_by_key(&server.server, |s| s.server)
            {
                Ok(at) => self.servers[at] = *server,
                Err(at) => self.servers.insert(at, *server),
            }
        }
    }

    /// Sets the limit of one server, in slots. If more slots are leased, the hosts return the excess as slots become
    /// free.
    pub fn set_limit(&mut self, server: id::Server, limit: u32) {
        if let Ok(at) = self.servers.binary_search_by_key(&server, |s| s.server) {
            self.servers[at].limit = limit;
        }
    }

    /// Sets whether one server is leaving.
    pub fn set_leaving(&mut self, server: id::Server, leaving: bool) {
        if let Ok(at) = self.servers.binary_search_by_key(&server, |s| s.server) {
            self.servers[at].leaving = leaving;
        }
    }

    /// Sets the support of this owner. Without supporters it neither renews leases nor grants slots.
    pub fn set_support(&mut self, support: Support) {
        self.support = support;
    }

    /// Processes a report. A report that is not newer than the last one of its host is ignored and gets no reply.
    pub fn report(&mut self, now: Time, report: &Report) {
        let at = self.host_index(now, report);
        let host = &self.hosts[at];
        if report.incarnation < host.incarnation {
            return;
        }
        if report.incarnation > host.incarnation {
            self.on_restart(now, at, report.incarnation);
        }
        if report.number <= self.hosts[at].last_report {
            return;
        }
        self.renew(now, at, report);
        for usage in &report.pools {
            let pool = self.pool_index(usage.pool);
            if now >= self.settled_at() {
                self.pools[pool].ledger.advance(usage.virtual_time);
            }
            for row in &usage.accounts {
                self.merge_row(pool, at, row);
            }
            let number = self.number + 1;
            for offset in &usage.offsets {
                let entry = self.pools[pool].ledger.entry(offset.account);
                entry.merge_offset(offset.offset, number);
            }
        }
        for slots in &report.slots {
            self.merge_slots(at, slots);
        }
        for retired in &report.retired {
            self.merge_retired(retired);
        }
    }

    /// Makes all decisions that are due and returns the answers to send.
    pub fn poll(&mut self, now: Time) -> Vec<Envelope> {
        self.expire(now);
        let mut allocations = self.allocations();
        self.recall(&allocations);
        for pool in 0..self.pools.len() {
            self.grant(now, pool, &mut allocations);
        }
        self.answer(now)
    }

    /// Returns the time at which [`Allocator::poll`] must be called next if no report arrives before.
    pub fn next_wake(&self, now: Time) -> Time {
        let mut wake = now.plus_ms(self.settings.exchange_ms);
        let waits = self.pools.iter().any(|pool| pool.first_demand().is_some());
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

    /// Returns the number of slots of a server that this owner has leased to all hosts together.
    pub fn leased_total(&self, server: id::Server) -> u32 {
        self.leased(server)
    }

    /// Returns the state to show to operators.
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
