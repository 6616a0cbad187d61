//! What an owner learns from the reports of hosts, and what ends with a lease.

use super::*;

impl Lender {
    /// Renews the lease, or begins a new epoch if the host's ended.
    pub(super) fn renew(&mut self, now: Time, at: usize, report: &Report) {
        let is_known = report.owner_incarnation == self.incarnation;
        let host = &self.hosts[at];
        let is_rejoin = host.lease_end.is_none();
        match report.lease {
            Lease::Expired(epoch) if is_known && epoch == host.epoch => self.end_epoch(at),
            Lease::Held(epoch) if is_known && epoch == host.epoch => {
                self.hosts[at].knows_epoch = true;
            }
            _ => {}
        }
        let host = &mut self.hosts[at];
        host.number = report.number;
        host.sent = report.sent;
        host.lease_end = Some(now.plus_ms(self.settings.owner_lease_ms));
        host.seen = if is_known {
            report.acknowledged_answer
        } else {
            0
        };
        host.sums = report
            .acknowledged_sums
            .map(|sums| if is_known { sums } else { 0 });
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
    pub(super) fn learn(&mut self, pool: usize, host: usize, row: &Row) {
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
    pub(super) fn settle(&mut self, at: usize, slots: &Slots) {
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
    pub(super) fn forget(&mut self, host: usize, pending: &Pending) {
        let host = self.hosts[host].host;
        let pool = self.pool_at(pending.pool);
        let pool = &mut self.pools[pool];
        pool.ledger.entry(pending.account).unconfirmed -= pending.estimate;
        pool.demand(pending.account, host).granted -= 1;
    }

    pub(super) fn retire(&mut self, retired: &Retired) {
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

    pub(super) fn silence(&mut self, origin: Origin) {
        let changed = self.number + 1;
        self.silent.retain(|s| s.origin != origin);
        self.silent.push(Silent { origin, changed });
    }

    /// A new process of the host reports: what the old one held and queued is gone, what it charged remains.
    pub(super) fn restarted(&mut self, now: Time, at: usize, incarnation: u64) {
        self.end_lease(at);
        let host = &mut self.hosts[at];
        host.incarnation = incarnation;
        host.number = 0;
        host.paced_until = now.plus_ms(self.settings.pacing_duration_ms);
    }

    /// The host no longer holds anything: its slots, requests and demands are forgotten, its counters remain.
    pub(super) fn end_lease(&mut self, at: usize) {
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
    pub(super) fn end_epoch(&mut self, at: usize) {
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
}
