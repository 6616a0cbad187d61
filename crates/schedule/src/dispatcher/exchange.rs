//! Reports to the owners of slots, and the processing of their answers.

use super::*;

impl Dispatcher {
    /// Begins a new epoch: the host no longer holds any slots of the owner and must send all rows again.
    pub(super) fn begin_epoch(&mut self, now: Time, link: usize, epoch: u32) {
        let link = &mut self.links[link];
        link.epoch = epoch;
        link.is_expired = false;
        link.lease_end = Time::ZERO;
        link.acknowledged = 0;
        link.urgent = true;
        let domain = link.domain.clone();
        self.clear_slots(now, &domain);
    }

    /// Resets the slot counts of all servers of `domain`, so that the host holds none of their slots.
    pub(super) fn clear_slots(&mut self, now: Time, domain: &Name) {
        let number = self.number + 1;
        for held in self.held_slots.iter_mut().filter(|s| s.domain == *domain) {
            held.granted = 0;
            held.returned = 0;
            held.unused_grants = 0;
            held.keep = None;
            held.leaving = false;
            held.idle_since = now;
            held.changed = number;
        }
    }

    /// Merges the summaries and retired counters of an answer into the ledgers.
    pub(super) fn merge_summaries(&mut self, now: Time, link: usize, answer: &Answer) {
        let number = self.number + 1;
        self.links[link].minima.clear();
        for summary in &answer.pools {
            if let Some(normalised_service) = summary.remote_minimum {
                let minimum = Minimum {
                    pool: summary.pool,
                    normalised_service,
                };
                self.links[link].minima.push(minimum);
            }
            let at = self.pool_index(summary.pool);
            let pool = &mut self.pools[at];
            pool.ledger.advance(summary.virtual_time);
            for sum in &summary.sums {
                let entry = pool.ledger.entry(sum.account);
                entry.remote_charge = entry.remote_charge.max(sum.charge);
                entry.remote_in_flight = sum.in_flight();
                pool.account(sum.account).waits_remotely = sum.is_waiting();
            }
            for offset in &summary.offsets {
                let entry = pool.ledger.entry(offset.account);
                entry.merge_offset(offset.offset, number);
            }
        }
        if answer.has_sums {
            let domain = self.links[link].domain.clone();
            for at in 0..self.pools.len() {
                if self.serves(&domain, self.pools[at].pool) {
                    self.pools[at].sums_received_at = now;
                }
            }
        }
        for retired in &answer.retired {
            self.merge_retired(*retired);
        }
    }

    /// Keeps the greater charge of a retired counter.
    pub(super) fn merge_retired(&mut self, retired: Retired) {
        let key = |r: &Retired| (r.pool, r.account, r.host, r.incarnation);
        match self.retired.binary_search_by_key(&key(&retired), key) {
            Ok(at) => {
                let charge = &mut self.retired[at].charge;
                *charge = (*charge).max(retired.charge);
            }
            Err(at) => self.retired.insert(at, retired),
        }
    }

    /// Applies the grants and recalls of an answer.
    pub(super) fn apply_grants(&mut self, now: Time, link: usize, answer: &Answer) {
        let number = self.number + 1;
        let domain = self.links[link].domain.clone();
        for grant in &answer.grants {
            let held = self.held_slots(now, grant.server, &domain);
            if grant.granted > held.granted {
                held.unused_grants += grant.granted - held.granted;
                held.granted = grant.granted;
                held.idle_since = now;
            }
            held.keep = grant.keep;
            held.leaving = grant.leaving;
            held.changed = number;
        }
    }

    /// Returns when the next report to the owner is due.
    pub(super) fn send_time(&self, link: &Link) -> Time {
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

    /// Composes the reports that are due at `now`.
    pub(super) fn send(&mut self, now: Time, actions: &mut Vec<Action>) {
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
                    account.reported_waiting = pool.queue.count(account.account);
                }
            }
        }
    }

    pub(super) fn report(&mut self, now: Time, at: usize) -> Report {
        self.number += 1;
        let link = &mut self.links[at];
        if now >= link.next_exchange {
            link.next_exchange = now.plus_ms(self.settings.exchange_ms);
            for account in self.pools.iter_mut().flat_map(|p| &mut p.accounts) {
                if account.has_progress {
                    account.changed = self.number;
                    account.has_progress = false;
                }
            }
        }
        let link = &mut self.links[at];
        link.sent_at = Some(now);
        link.urgent = false;
        for held in self
            .held_slots
            .iter_mut()
            .filter(|s| s.domain == link.domain)
        {
            held.reported_idle = held.idle();
        }
        let link = &self.links[at];
        let pools = self.pools.iter().filter_map(|pool| {
            let usage = pool.usage(now, self.origin, link.acknowledged);
            let is_needed = !usage.accounts.is_empty() || !usage.offsets.is_empty();
            (is_needed && self.serves(&link.domain, pool.pool)).then_some(usage)
        });
        let slots = self.held_slots.iter();
        let slots = slots.filter(|s| s.domain == link.domain && s.changed > link.acknowledged);
        let lease = match link {
            Link {
                owner_incarnation: 0,
                ..
            } => Lease::None,
            Link {
                is_expired: true, ..
            } => Lease::Expired(link.epoch),
            Link { .. } => Lease::Held(link.epoch),
        };
        let retired = match link.acknowledged {
            0 => self.retired.clone(),
            _ => Vec::new(),
        };
        Report {
            host: self.origin.host,
            incarnation: self.origin.incarnation,
            number: self.number,
            owner_incarnation: link.owner_incarnation,
            lease,
            sent: now,
            acknowledged_answer: link.last_answer,
            acknowledged_sums: self.wants_sums(now, at).then_some(link.last_sums),
            pools: pools.collect(),
            slots: slots.map(HeldSlots::report).collect(),
            retired,
        }
    }

    /// Whether this host wants sums from the owner of link `at`: it is the source of the sums of at least one pool,
    /// or there is no source yet.
    ///
    /// All owners know the same sums, and sending them is the largest part of the control traffic, so a host requests
    /// the sums of each pool from one owner only.
    pub(super) fn wants_sums(&self, now: Time, at: usize) -> bool {
        let domain = &self.links[at].domain;
        self.pools.iter().any(|pool| {
            let source = self.sums_source(now, pool.pool);
            self.serves(domain, pool.pool) && source.is_none_or(|source| source == at)
        })
    }

    /// Returns the link to the source of the sums of `pool`: the owner of the home domain if it has answered recently
    /// and has servers of the pool, else the first owner for which this is true.
    pub(super) fn sums_source(&self, now: Time, pool: id::Pool) -> Option<usize> {
        let limit = 2 * self.settings.exchange_ms;
        let is_source = |link: &Link| {
            let is_fresh = link.last_answer_at.is_some_and(|at| now.since(at) <= limit);
            is_fresh && self.serves(&link.domain, pool)
        };
        let home = self.links.iter().position(|l| l.domain == self.home);
        let home = home.filter(|&at| is_source(&self.links[at]));
        home.or_else(|| self.links.iter().position(is_source))
    }

    pub(super) fn serves(&self, domain: &Name, pool: id::Pool) -> bool {
        let mut slots = self.held_slots.iter();
        slots.any(|s| s.pool == Some(pool) && s.domain == *domain)
    }

    pub(super) fn has_server(&self, pool: id::Pool) -> bool {
        self.held_slots.iter().any(|s| s.pool == Some(pool))
    }
}
