//! To which hosts an owner lends slots, and which it asks back.

use super::*;

impl Lender {
    pub(super) fn expire(&mut self, now: Time) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].lease_end.is_some_and(|end| end <= now) {
                self.end_lease(at);
            }
        }
    }

    /// Slots that may be lent of a server now.
    pub(super) fn capacity(&self, server: &Server) -> u32 {
        match server.leaving {
            true => 0,
            false => self.support.capacity(server.limit),
        }
    }

    /// What is taken of each server, in the order of `servers`. One pass over the loans, because there are many more
    /// pairs of hosts and servers than loans.
    pub(super) fn uses(&self) -> Vec<Use> {
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
    pub(super) fn recall(&mut self, uses: &[Use]) {
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

    pub(super) fn lent(&self, server: id::Server) -> u32 {
        self.hosts.iter().map(|host| host.lent(server)).sum()
    }

    /// Grants free slots in the order of least `v`.
    ///
    /// Every grant advances `v` of the account by the estimate, for its requests at all hosts; otherwise one light
    /// request would draw every free slot until the next exchange.
    pub(super) fn grant(&mut self, now: Time, at: usize, uses: &mut [Use]) {
        loop {
            let pool = &self.pools[at];
            if now >= self.settled_at()
                && let Some(least) = pool.least()
            {
                let v = pool.ledger.normalised_service(least.account);
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
    pub(super) fn freest(&self, pool: id::Pool, uses: &[Use]) -> Option<usize> {
        let servers = self.servers.iter().zip(uses).enumerate();
        let servers = servers.filter(|(_, (server, _))| server.pool == pool);
        let free = servers.map(|(at, (server, taken))| {
            let free = self.capacity(server).saturating_sub(taken.taken);
            (free, at)
        });
        let (free, at) = free.max()?;
        (free > 0).then_some(at)
    }

    pub(super) fn may_receive(&self, now: Time, host: id::Host) -> bool {
        let Ok(at) = self.hosts.binary_search_by_key(&host, |h| h.host) else {
            return false;
        };
        let host = &self.hosts[at];
        let is_due = host
            .granted_at
            .is_none_or(|last| now.since(last) >= self.settings.pacing_ms);
        host.lease_end.is_some() && (is_due || now >= self.pacing_end(host))
    }

    pub(super) fn pacing_end(&self, host: &Host) -> Time {
        host.paced_until.max(self.settled_at())
    }

    /// When every live host has had the time to report since the start.
    pub(super) fn settled_at(&self) -> Time {
        self.started.plus_ms(self.settings.pacing_duration_ms)
    }

    pub(super) fn lend(&mut self, now: Time, at: usize, demand: &Demand, server: id::Server) {
        let number = self.number + 1;
        let pool = &mut self.pools[at];
        pool.ledger.entry(demand.account).unconfirmed += demand.estimate;
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
}
