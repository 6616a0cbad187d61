//! Grants slots to hosts and recalls them.

use super::*;

impl Allocator {
    /// Ends the leases that are not valid any more at `now`.
    pub(super) fn expire(&mut self, now: Time) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].lease_end.is_some_and(|end| end <= now) {
                self.end_lease(at);
            }
        }
    }

    /// Returns how many slots of a server may be leased now.
    pub(super) fn capacity(&self, server: &Server) -> u32 {
        match server.leaving {
            true => 0,
            false => self.support.capacity(server.limit),
        }
    }

    /// Returns the slots in use of each server, in the order of `servers`. Makes one pass over the leased slots of
    /// all hosts instead of a look-up for each pair of host and server, because most pairs have none.
    pub(super) fn allocations(&self) -> Vec<Allocation> {
        let mut allocations = vec![Allocation::default(); self.servers.len()];
        for leased in self.hosts.iter().flat_map(|host| &host.leased_slots) {
            let at = self
                .servers
                .binary_search_by_key(&leased.server, |s| s.server);
            if let Ok(at) = at {
                allocations[at].leased += leased.count();
                allocations[at].occupied += leased.occupied();
                allocations[at].is_recalled |= leased.keep.is_some();
            }
        }
        allocations
    }

    /// Recalls slots above the capacity of their server.
    pub(super) fn recall(&mut self, allocations: &[Allocation]) {
        for (at, allocation) in allocations.iter().enumerate() {
            let server = self.servers[at];
            let excess = allocation.leased.saturating_sub(self.capacity(&server));
            if excess == 0 && !server.leaving && !allocation.is_recalled {
                continue;
            }
            let mut kept: Vec<u32> = self
                .hosts
                .iter()
                .map(|host| host.leased(server.server))
                .collect();
            let is_recalled = excess > 0 || server.leaving;
            for _ in 0..excess {
                if let Some(most) = kept.iter_mut().max() {
                    *most = most.saturating_sub(1);
                }
            }
            let number = self.number + 1;
            for (host, kept) in self.hosts.iter_mut().zip(kept) {
                let Some(leased) = host.existing_leased_slots(server.server) else {
                    continue;
                };
                let keep = is_recalled.then_some(kept);
                if leased.keep == keep && leased.leaving == server.leaving {
                    continue;
                }
                leased.keep = keep;
                leased.leaving = server.leaving;
                leased.changed = number;
                host.urgent = true;
            }
        }
    }

    pub(super) fn leased(&self, server: id::Server) -> u32 {
        self.hosts.iter().map(|host| host.leased(server)).sum()
    }

    /// Grants free slots of one pool, each to the account with the least normalised service.
    ///
    /// Every grant raises the normalised service of the account by the estimate, which affects its requests at all
    /// hosts. Otherwise an account with little service would receive every free slot until the next report.
    pub(super) fn grant(&mut self, now: Time, at: usize, allocations: &mut [Allocation]) {
        loop {
            let pool = &self.pools[at];
            if now >= self.settled_at()
                && let Some(least) = pool.first_demand()
            {
                let normalised_service = pool.ledger.normalised_service(least.account);
                self.pools[at].ledger.advance(normalised_service);
            }
            let pool = &self.pools[at];
            let Some(server) = self.most_free(pool.pool, allocations) else {
                return;
            };
            let open = pool.demands.iter().filter(|d| d.unmet() > 0);
            let open = open.filter(|demand| self.may_receive(now, demand.host));
            let Some(demand) = open.min_by_key(|d| pool.rank(d)).copied() else {
                return;
            };
            allocations[server].leased += 1;
            allocations[server].occupied += 1;
            self.grant_slot(now, at, &demand, self.servers[server].server);
        }
    }

    /// Returns the index of the server of `pool` with the most free slots, or `None` if no slot is free.
    pub(super) fn most_free(&self, pool: id::Pool, allocations: &[Allocation]) -> Option<usize> {
        let servers = self.servers.iter().zip(allocations).enumerate();
        let servers = servers.filter(|(_, (server, _))| server.pool == pool);
        let free = servers.map(|(at, (server, allocation))| {
            let free = self.capacity(server).saturating_sub(allocation.occupied);
            (free, at)
        });
        let (free, at) = free.max()?;
        (free > 0).then_some(at)
    }

    /// Whether a slot may be granted to the host now: it has a lease, and its grants are not rate-limited.
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

    /// Returns when the grants to the host stop being rate-limited.
    pub(super) fn pacing_end(&self, host: &Host) -> Time {
        host.paced_until.max(self.settled_at())
    }

    /// Returns when every live host has had the time to report since the owner started.
    pub(super) fn settled_at(&self) -> Time {
        self.started.plus_ms(self.settings.pacing_duration_ms)
    }

    /// Grants one slot of `server` for `demand` and charges the estimate until the host confirms the grant.
    pub(super) fn grant_slot(&mut self, now: Time, at: usize, demand: &Demand, server: id::Server) {
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
        let leased = host.leased_slots(server);
        leased.granted += 1;
        leased.changed = number;
        let total = leased.granted;
        host.pending.push(Pending {
            server,
            total,
            pool,
            account: demand.account,
            estimate: demand.estimate,
        });
    }
}
