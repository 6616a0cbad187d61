//! Composes the answers of an owner to hosts.

use super::*;

impl Allocator {
    /// Composes the answers that are due: replies, urgent changes, and requests for idle slots that other hosts need.
    pub(super) fn answer(&mut self, now: Time) -> Vec<Envelope> {
        let mut envelopes = Vec::new();
        let minima: Vec<Minimum> = self.pools.iter().map(Pool::minimum).collect();
        for at in 0..self.hosts.len() {
            let host = &self.hosts[at];
            let was_answered_recently = host
                .answered_at
                .is_some_and(|last| now.since(last) < self.settings.urgent_ms);
            let has_wanted_slots =
                !was_answered_recently && self.has_idle_slots_for_others(host, &minima);
            let is_due = host.reply_due || host.urgent || has_wanted_slots;
            if !is_due || host.lease_end.is_none() {
                continue;
            }
            self.number += 1;
            let envelope = Envelope {
                to: host.host,
                is_reply: host.reply_due,
                answer: self.compose(&self.hosts[at], &minima),
            };
            envelopes.push(envelope);
            let host = &mut self.hosts[at];
            host.reply_due = false;
            host.urgent = false;
            host.answered_at = Some(now);
        }
        envelopes
    }

    /// Whether the host has idle slots of a pool in which accounts wait at other hosts.
    pub(super) fn has_idle_slots_for_others(&self, host: &Host, minima: &[Minimum]) -> bool {
        let idle = host.leased_slots.iter().filter(|leased| leased.idle() > 0);
        let mut pools = idle.filter_map(|leased| self.pool_index_of(leased.server));
        pools.any(|pool| minima[pool].remote(host.host).is_some())
    }

    pub(super) fn compose(&self, host: &Host, minima: &[Minimum]) -> Answer {
        let summaries = self.pools.iter().zip(minima);
        let summaries =
            summaries.filter_map(|(pool, minimum)| summary(host, pool, minimum.remote(host.host)));
        let changed = host
            .leased_slots
            .iter()
            .filter(|leased| leased.changed > host.last_answer);
        let grants = changed.map(|leased| Grant {
            server: leased.server,
            granted: leased.granted,
            keep: leased.keep,
            leaving: leased.leaving,
        });
        Answer {
            host_incarnation: host.incarnation,
            incarnation: self.incarnation,
            number: self.number,
            epoch: host.epoch,
            renewed_from: (self.support.supporters > 0).then_some(host.sent),
            acknowledged_report: host.acknowledged,
            has_sums: host.last_sums.is_some(),
            pools: summaries.collect(),
            grants: grants.collect(),
            retired: host.last_sums.map_or(Vec::new(), |last| self.retired(last)),
        }
    }

    /// Returns the counters of the origins that became inactive after answer `acknowledged`.
    pub(super) fn retired(&self, acknowledged: u64) -> Vec<Retired> {
        let mut retired = Vec::new();
        for inactive in self.inactive.iter().filter(|i| i.changed > acknowledged) {
            for pool in &self.pools {
                pool.retired(inactive.origin, &mut retired);
            }
        }
        retired
    }
}

/// Returns the summary of a pool for a host, or `None` if there is nothing to tell.
fn summary(host: &Host, pool: &Pool, remote_minimum: Option<u64>) -> Option<Summary> {
    let sums = host
        .last_sums
        .map_or(Vec::new(), |last| pool.sums(host.origin(), last));
    let lifted = pool.ledger.entries().iter();
    let lifted = lifted.filter(|e| e.offset_changed > host.last_answer);
    let offsets = lifted.map(|entry| Offset {
        account: entry.account,
        offset: entry.offset,
    });
    let offsets: Vec<Offset> = offsets.collect();
    let is_needed = remote_minimum.is_some() || !sums.is_empty() || !offsets.is_empty();
    is_needed.then(|| Summary {
        pool: pool.pool,
        virtual_time: pool.ledger.virtual_time(),
        remote_minimum,
        sums,
        offsets,
    })
}
