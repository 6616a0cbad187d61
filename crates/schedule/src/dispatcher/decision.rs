//! The decisions of [`Dispatcher::poll`]: which requests to refuse, which to dispatch, and which slots to return.

use super::*;

impl Dispatcher {
    /// Ends the leases that are not valid any more at `now`.
    pub(super) fn expire_leases(&mut self, now: Time) {
        for at in 0..self.links.len() {
            let link = &mut self.links[at];
            if link.epoch == 0 || link.is_expired || now < link.lease_end {
                continue;
            }
            link.is_expired = true;
            link.urgent = true;
            link.minima.clear();
            let domain = link.domain.clone();
            self.clear_slots(now, &domain);
        }
    }

    /// Clears the amounts in flight and waiting flags of other hosts if no answer with sums has arrived for the
    /// duration of a lease.
    pub(super) fn expire_sums(&mut self, now: Time) {
        let limit = self.settings.owner_lease_ms;
        for pool in &mut self.pools {
            if now.since(pool.sums_received_at) <= limit {
                continue;
            }
            for entry in pool.ledger.entries_mut() {
                entry.remote_in_flight = 0;
            }
            for account in &mut pool.accounts {
                account.waits_remotely = false;
            }
        }
    }

    /// Refuses the waiting requests whose deadline has passed or whose pool has no server.
    pub(super) fn refuse(&mut self, now: Time, actions: &mut Vec<Action>) {
        let number = self.number + 1;
        for at in 0..self.pools.len() {
            let mut refused = self.pools[at].queue.expire(now);
            let mut reason = Reason::Expired;
            if refused.is_empty() && !self.has_server(self.pools[at].pool) {
                refused = self.pools[at].queue.clear();
                reason = Reason::NoServer;
            }
            for request in refused {
                self.remove_queued(request.id);
                self.pools[at].mark_changed(now, request.account, number);
                let request = request.id;
                actions.push(Action::Refuse { request, reason });
            }
        }
    }

    pub(super) fn remove_queued(&mut self, request: u64) {
        if let Ok(at) = self.queued.binary_search_by_key(&request, |q| q.id) {
            self.queued.remove(at);
        }
    }

    /// Dispatches waiting requests of the pool at index `at` as long as there are usable slots.
    pub(super) fn dispatch<F>(
        &mut self,
        now: Time,
        at: usize,
        choose: &mut F,
        actions: &mut Vec<Action>,
    ) where
        F: FnMut(&Request, &[Candidate]) -> id::Server,
    {
        loop {
            let pool = &self.pools[at];
            let Some(account) = pool.next_account() else {
                return;
            };
            let candidates = self.candidates(pool.pool, pool.ledger.normalised_service(account));
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

    /// Returns the servers whose idle slots an account with this normalised service may use.
    pub(super) fn candidates(&self, pool: id::Pool, normalised_service: u64) -> Vec<Candidate> {
        let slots = self.held_slots.iter().filter(|s| s.pool == Some(pool));
        let usable = slots.filter(|held| {
            held.is_usable()
                && (held.unused_grants > 0
                    || !self.must_yield(&held.domain, pool, normalised_service))
        });
        let candidates = usable.map(|held| Candidate {
            server: held.server,
            idle: held.idle(),
            running: held.running,
        });
        candidates.collect()
    }

    /// Whether an account that waits at another host must get the next free slot of the domain before an account with
    /// this normalised service at this host.
    pub(super) fn must_yield(
        &self,
        domain: &Name,
        pool: id::Pool,
        normalised_service: u64,
    ) -> bool {
        let minimum = self.remote_minimum(domain, pool);
        minimum.is_some_and(|minimum| minimum + self.settings.quantum < normalised_service)
    }

    /// The least normalised service among the accounts that wait at other hosts, according to the owner of `domain`.
    pub(super) fn remote_minimum(&self, domain: &Name, pool: id::Pool) -> Option<u64> {
        let at = self.links.binary_search_by(|l| l.domain.cmp(domain)).ok()?;
        let minima = &self.links[at].minima;
        let at = minima.binary_search_by_key(&pool, |m| m.pool).ok()?;
        Some(minima[at].normalised_service)
    }

    /// Removes the request from the queue, charges the estimate and marks the slot as busy.
    pub(super) fn start(&mut self, now: Time, at: usize, request: &Request, server: id::Server) {
        let account = request.account;
        let number = self.number + 1;
        let origin = self.origin;
        let is_contended = self.links.iter().any(|link| {
            let pool = self.pools[at].pool;
            link.minima.iter().any(|minimum| minimum.pool == pool)
        });
        let pool = &mut self.pools[at];
        pool.queue.pop(account);
        if !is_contended && pool.queue.is_empty() {
            let normalised_service = pool.ledger.normalised_service(account);
            pool.ledger.advance(normalised_service);
        }
        pool.ledger.entry(account).counter(origin).in_flight += request.estimate;
        let state = pool.account(account);
        state.reported_waiting = state.reported_waiting.saturating_sub(1);
        pool.mark_changed(now, account, number);
        self.remove_queued(request.id);
        let running = Running {
            id: request.id,
            pool: request.pool,
            account,
            server,
            estimate: request.estimate,
            processed: 0,
        };
        if let Err(at) = self.in_flight.binary_search_by_key(&running.id, |r| r.id) {
            self.in_flight.insert(at, running);
        }
        if let Ok(at) = self.held_slots.binary_search_by_key(&server, |s| s.server) {
            let held = &mut self.held_slots[at];
            held.running += 1;
            held.unused_grants = held.unused_grants.saturating_sub(1);
            held.changed = number;
        }
    }

    /// Returns idle slots that the owner recalls, that other hosts need, or that were idle for the hold time.
    pub(super) fn return_slots(&mut self, now: Time) {
        let number = self.number + 1;
        for at in 0..self.held_slots.len() {
            let held = &self.held_slots[at];
            let idle = held.idle();
            if idle == 0 {
                continue;
            }
            let recalled = held.count().saturating_sub(held.keep.unwrap_or(u32::MAX));
            let is_unused = self.is_leaving
                || held.leaving
                || now.since(held.idle_since) >= self.settings.hold_ms;
            let returned = match held.pool {
                None => idle,
                Some(_) if is_unused => idle,
                // Slots that are idle after the dispatch are not needed here or must go to another host.
                Some(pool) if self.remote_minimum(&held.domain, pool).is_some() => idle,
                Some(_) => recalled.min(idle),
            };
            if returned == 0 {
                continue;
            }
            let held = &mut self.held_slots[at];
            held.returned += returned;
            held.unused_grants = held.unused_grants.min(held.idle());
            held.changed = number;
            let domain = held.domain.clone();
            let link = self.link_index(now, &domain);
            self.links[link].urgent = true;
        }
        self.held_slots
            .retain(|s| s.pool.is_some() || s.count() > 0 || s.running > 0 || s.granted > 0);
    }

    /// Makes the next report urgent if this host has idle slots but has reported none for that pool and domain: the
    /// owner recalls idle slots only if it knows of them.
    pub(super) fn expedite_idle_report(&mut self) {
        for held in self.held_slots.iter().filter(|held| held.idle() > 0) {
            let mut same = self.held_slots.iter();
            let is_known = same.any(|other| {
                other.reported_idle > 0 && other.pool == held.pool && other.domain == held.domain
            });
            if is_known {
                continue;
            }
            let link = self.links.binary_search_by(|l| l.domain.cmp(&held.domain));
            if let Ok(link) = link {
                self.links[link].urgent = true;
            }
        }
    }

    /// Makes the next report urgent if the last report contained less than half of the waiting requests of an
    /// account.
    pub(super) fn expedite_demand_report(&mut self) {
        for at in 0..self.pools.len() {
            let pool = &mut self.pools[at];
            let mut is_urgent = false;
            for account in pool.queue.accounts() {
                let waiting = pool.queue.count(account);
                let known = pool.accounts.binary_search_by_key(&account, |a| a.account);
                let reported = known.map_or(0, |at| pool.accounts[at].reported_waiting);
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
}
