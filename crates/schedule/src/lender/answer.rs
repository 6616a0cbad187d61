//! The answers of an owner to hosts.

use super::*;

impl Lender {
    pub(super) fn answer(&mut self, now: Time) -> Vec<Envelope> {
        let mut envelopes = Vec::new();
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
            let envelope = Envelope {
                to: host.host,
                is_reply: host.reply_due,
                answer: self.compose(&self.hosts[at], &fronts),
            };
            envelopes.push(envelope);
            let host = &mut self.hosts[at];
            host.reply_due = false;
            host.urgent = false;
            host.answered_at = Some(now);
        }
        envelopes
    }

    /// Whether the host has idle slots that an account waits for elsewhere.
    pub(super) fn wants_idle(&self, host: &Host, fronts: &[Front]) -> bool {
        let idle = host.loans.iter().filter(|loan| loan.idle() > 0);
        let mut pools = idle.filter_map(|loan| self.pool_of(loan.server));
        pools.any(|pool| fronts[pool].floor(host.host).is_some())
    }

    pub(super) fn compose(&self, host: &Host, fronts: &[Front]) -> Answer {
        let summaries = self.pools.iter().zip(fronts);
        let summaries =
            summaries.filter_map(|(pool, front)| summary(host, pool, front.floor(host.host)));
        let changed = host.loans.iter().filter(|loan| loan.changed > host.seen);
        let grants = changed.map(|loan| Grant {
            server: loan.server,
            granted: loan.granted,
            keep: loan.keep,
            leaving: loan.leaving,
        });
        Answer {
            host_incarnation: host.incarnation,
            incarnation: self.incarnation,
            number: self.number,
            epoch: host.epoch,
            renewed_from: (self.support.supporters > 0).then_some(host.sent),
            acknowledged_report: host.complete,
            has_sums: host.sums.is_some(),
            pools: summaries.collect(),
            grants: grants.collect(),
            retired: host.sums.map_or(Vec::new(), |seen| self.retired(seen)),
        }
    }

    pub(super) fn retired(&self, seen: u64) -> Vec<Retired> {
        let mut retired = Vec::new();
        for silent in self.silent.iter().filter(|s| s.changed > seen) {
            for pool in &self.pools {
                pool.retired(silent.origin, &mut retired);
            }
        }
        retired
    }
}

/// What a host must hear of a pool, if anything.
fn summary(host: &Host, pool: &Pool, floor: Option<u64>) -> Option<Summary> {
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
    is_needed.then(|| Summary {
        pool: pool.pool,
        virtual_time: pool.ledger.virtual_time(),
        remote_minimum: floor,
        sums,
        offsets,
    })
}
