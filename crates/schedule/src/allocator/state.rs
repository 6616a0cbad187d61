//! Look-up methods for the demand, leased slots, pools and hosts of an owner.

use super::*;

impl Allocator {
    /// Returns the index of the pool of a server.
    pub(super) fn pool_index_of(&self, server: id::Server) -> Option<usize> {
        let at = self.servers.binary_search_by_key(&server, |s| s.server);
        let pool = self.servers[at.ok()?].pool;
        self.pools.binary_search_by_key(&pool, |p| p.pool).ok()
    }

    /// Returns the index of the pool, which is added if it is missing.
    pub(super) fn pool_index(&mut self, pool: id::Pool) -> usize {
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

    /// Returns the index of the host that sent the report. The host is added if it is missing.
    pub(super) fn host_index(&mut self, now: Time, report: &Report) -> usize {
        let at = self.hosts.binary_search_by_key(&report.host, |h| h.host);
        at.unwrap_or_else(|at| {
            let host = Host {
                host: report.host,
                incarnation: report.incarnation,
                last_report: 0,
                acknowledged: 0,
                epoch: 1,
                has_confirmed_epoch: false,
                lease_end: None,
                sent: Time::ZERO,
                last_answer: 0,
                last_sums: None,
                leased_slots: Vec::new(),
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

    pub(super) fn server_snapshot(&self, server: &Server) -> snapshot::Server {
        let slots = self.hosts.iter().flat_map(|host| &host.leased_slots);
        let slots = slots.filter(|leased| leased.server == server.server);
        snapshot::Server {
            server: server.server,
            slots: self.capacity(server),
            leased: self.leased(server.server),
            idle: slots.map(LeasedSlots::idle).sum(),
            leaving: server.leaving,
        }
    }
}

impl Pool {
    pub(super) fn demand(&mut self, account: id::Account, host: id::Host) -> &mut Demand {
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

    /// Sort key of the order in which demands are served: least normalised service, then greatest age.
    pub(super) fn rank(
        &self,
        demand: &Demand,
    ) -> (u64, std::cmp::Reverse<u32>, id::Account, id::Host) {
        (
            self.ledger.normalised_service(demand.account),
            std::cmp::Reverse(demand.age_s),
            demand.account,
            demand.host,
        )
    }

    /// Returns the demand to serve first among those that have requests without an unconfirmed grant.
    pub(super) fn first_demand(&self) -> Option<&Demand> {
        let open = self.demands.iter().filter(|d| d.unmet() > 0);
        open.min_by_key(|d| self.rank(d))
    }

    /// Returns the least normalised service among the accounts with unmet demand.
    pub(super) fn minimum(&self) -> Minimum {
        let Some(first) = self.first_demand() else {
            return Minimum::default();
        };
        let others = self.demands.iter().filter(|d| d.unmet() > 0);
        let others = others.filter(|d| d.host != first.host);
        Minimum {
            host: Some(first.host),
            normalised_service: self.ledger.normalised_service(first.account),
            other: others
                .map(|d| self.ledger.normalised_service(d.account))
                .min(),
        }
    }

    /// Returns the sums that changed after answer `acknowledged`, over all origins except the receiver.
    pub(super) fn sums(&self, receiver: Origin, acknowledged: u64) -> Vec<Sum> {
        let entries = self.ledger.entries().iter();
        let changed = entries.filter(|entry| {
            let mut others = entry.counters.iter().filter(|c| c.origin != receiver);
            others.any(|c| c.changed > acknowledged)
        });
        changed.map(|entry| self.sum(entry, receiver)).collect()
    }

    pub(super) fn sum(&self, entry: &Entry, receiver: Origin) -> Sum {
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

    /// Adds the counters of `origin` to `retired`.
    pub(super) fn retired(&self, origin: Origin, retired: &mut Vec<Retired>) {
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

    pub(super) fn snapshot(&self) -> Vec<snapshot::Account> {
        let entries = self.ledger.entries().iter();
        let accounts = entries.map(|entry| {
            let demands = self.demands.iter().filter(|d| d.account == entry.account);
            snapshot::Account {
                account: entry.account,
                share: entry.share,
                normalised_service: self.ledger.normalised_service(entry.account),
                waiting: demands.map(|d| u64::from(d.waiting)).sum(),
                in_flight: entry.in_flight(),
                service: entry.service(),
            }
        });
        accounts.collect()
    }
}

impl Demand {
    /// Returns the number of requests for which there is no unconfirmed grant.
    pub(super) fn unmet(&self) -> u32 {
        self.waiting.saturating_sub(self.granted)
    }
}

impl LeasedSlots {
    pub(super) fn new(server: id::Server) -> LeasedSlots {
        LeasedSlots {
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

    /// Returns the number of slots that the host holds, as far as the owner knows.
    pub(super) fn count(&self) -> u32 {
        self.granted - self.returned
    }

    /// Returns the slots of the server that the host occupies: those leased to it, or its requests in flight if these
    /// are more.
    pub(super) fn occupied(&self) -> u32 {
        self.count().max(self.running)
    }

    /// Returns the number of slots that are idle according to the last report.
    pub(super) fn idle(&self) -> u32 {
        self.confirmed.saturating_sub(self.returned + self.running)
    }
}

impl Host {
    pub(super) fn origin(&self) -> Origin {
        Origin {
            host: self.host,
            incarnation: self.incarnation,
        }
    }

    pub(super) fn leased_slots(&mut self, server: id::Server) -> &mut LeasedSlots {
        let at = self
            .leased_slots
            .binary_search_by_key(&server, |l| l.server);
        let at = at.unwrap_or_else(|at| {
            self.leased_slots.insert(at, LeasedSlots::new(server));
            at
        });
        &mut self.leased_slots[at]
    }

    pub(super) fn existing_leased_slots(&mut self, server: id::Server) -> Option<&mut LeasedSlots> {
        let at = self
            .leased_slots
            .binary_search_by_key(&server, |l| l.server);
        at.ok().map(|at| &mut self.leased_slots[at])
    }

    pub(super) fn leased(&self, server: id::Server) -> u32 {
        let at = self
            .leased_slots
            .binary_search_by_key(&server, |l| l.server);
        at.map_or(0, |at| self.leased_slots[at].count())
    }

    pub(super) fn has_idle(&self) -> bool {
        self.leased_slots.iter().any(|leased| leased.idle() > 0)
    }
}
