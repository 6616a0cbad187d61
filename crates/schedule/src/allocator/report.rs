//! Processes the reports of hosts and ends leases.

use super::*;

impl Allocator {
    /// Renews the lease of the host, after beginning a new epoch if the host reports that its lease has expired.
    pub(super) fn renew(&mut self, now: Time, at: usize, report: &Report) {
        let is_known = report.owner_incarnation == self.incarnation;
        let host = &self.hosts[at];
        let is_rejoin = host.lease_end.is_none();
        match report.lease {
            Lease::Expired(epoch) if is_known && epoch == host.epoch => self.end_epoch(at),
            Lease::Held(epoch) if is_known && epoch == host.epoch => {
                self.hosts[at].has_confirmed_epoch = true;
            }
            _ => {}
        }
        let host = &mut self.hosts[at];
        host.last_report = report.number;
        host.sent = report.sent;
        host.lease_end = Some(now.plus_ms(self.settings.owner_lease_ms));
        host.last_answer = if is_known {
            report.acknowledged_answer
        } else {
            0
        };
        host.last_sums = report
            .acknowledged_sums
            .map(|sums| if is_known { sums } else { 0 });
        host.acknowledged = if host.has_confirmed_epoch {
            report.number
        } else {
            0
        };
        host.reply_due = true;
        if !is_rejoin {
            return;
        }
        host.paced_until = now.plus_ms(self.settings.pacing_duration_ms);
        let origin = host.origin();
        self.inactive.retain(|i| i.origin != origin);
    }

    /// Merges the charge and demand of one account at one host.
    pub(super) fn merge_row(&mut self, pool: usize, host: usize, row: &Row) {
        let number = self.number + 1;
        let origin = self.hosts[host].origin();
        let pool = &mut self.pools[pool];
        let demand = pool.demand(row.account, origin.host);
        let waiting_changed = (demand.waiting == 0) != (row.waiting == 0);
        demand.waiting = row.waiting;
        demand.estimate = row.estimate;
        demand.age_s = row.age_s;
        let counter = pool.ledger.entry(row.account).counter(origin);
        let is_same = row.charge <= counter.charge && row.in_flight == counter.in_flight;
        counter.charge = counter.charge.max(row.charge);
        counter.in_flight = row.in_flight;
        if waiting_changed || !is_same {
            counter.changed = number;
        }
    }

    /// Merges the slot counts of one server at one host. Until the host has confirmed the epoch, only the number of
    /// requests in flight is used, because the other counts belong to an earlier epoch.
    pub(super) fn merge_slots(&mut self, at: usize, slots: &Slots) {
        let host = &mut self.hosts[at];
        let has_confirmed_epoch = host.has_confirmed_epoch;
        let leased = host.leased_slots(slots.server);
        leased.running = slots.running;
        if !has_confirmed_epoch {
            return;
        }
        leased.confirmed = leased.confirmed.max(slots.granted.min(leased.granted));
        leased.returned = leased.returned.max(slots.returned.min(leased.granted));
        let confirmed = leased.confirmed;
        let is_confirmed = |p: &Pending| p.server == slots.server && p.total <= confirmed;
        let arrived: Vec<Pending> = host.pending.extract_if(.., |p| is_confirmed(p)).collect();
        for pending in arrived {
            self.remove_pending(at, &pending);
        }
    }

    /// Removes the estimate of a grant from the normalised service, because the host has confirmed the grant or its
    /// epoch has ended.
    pub(super) fn remove_pending(&mut self, host: usize, pending: &Pending) {
        let host = self.hosts[host].host;
        let pool = self.pool_index(pending.pool);
        let pool = &mut self.pools[pool];
        pool.ledger.entry(pending.account).unconfirmed -= pending.estimate;
        pool.demand(pending.account, host).granted -= 1;
    }

    /// Merges a counter of an origin that no longer reports.
    pub(super) fn merge_retired(&mut self, retired: &Retired) {
        let origin = Origin {
            host: retired.host,
            incarnation: retired.incarnation,
        };
        let number = self.number + 1;
        let pool = self.pool_index(retired.pool);
        let entry = self.pools[pool].ledger.entry(retired.account);
        let counter = entry.counter(origin);
        if retired.charge > counter.charge {
            counter.charge = retired.charge;
            counter.changed = number;
        }
        let is_live = self.hosts.iter().any(|h| h.origin() == origin);
        let is_listed = self.inactive.iter().any(|i| i.origin == origin);
        if !is_live && !is_listed {
            self.mark_inactive(origin);
        }
    }

    /// Records that the origin no longer reports, so that hosts are told its counters.
    pub(super) fn mark_inactive(&mut self, origin: Origin) {
        let changed = self.number + 1;
        self.inactive.retain(|i| i.origin != origin);
        self.inactive.push(Inactive { origin, changed });
    }

    /// Handles a new process of the host: the slots and queue of the old process no longer exist, its counters
    /// remain.
    pub(super) fn on_restart(&mut self, now: Time, at: usize, incarnation: u64) {
        self.end_lease(at);
        let host = &mut self.hosts[at];
        host.incarnation = incarnation;
        host.last_report = 0;
        host.paced_until = now.plus_ms(self.settings.pacing_duration_ms);
    }

    /// Ends the lease of the host and removes its leased slots, requests in flight and demand. Its counters remain.
    pub(super) fn end_lease(&mut self, at: usize) {
        let number = self.number + 1;
        self.end_epoch(at);
        let host = &mut self.hosts[at];
        host.lease_end = None;
        host.leased_slots.clear();
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
        self.mark_inactive(origin);
    }

    /// Begins a new epoch, in which the host holds no slots. Its requests in flight still occupy slots.
    pub(super) fn end_epoch(&mut self, at: usize) {
        let number = self.number + 1;
        let host = &mut self.hosts[at];
        host.epoch += 1;
        host.has_confirmed_epoch = false;
        host.acknowledged = 0;
        for leased in &mut host.leased_slots {
            *leased = LeasedSlots {
                running: leased.running,
                changed: number,
                ..LeasedSlots::new(leased.server)
            };
        }
        for pending in std::mem::take(&mut host.pending) {
            self.remove_pending(at, &pending);
        }
    }
}
