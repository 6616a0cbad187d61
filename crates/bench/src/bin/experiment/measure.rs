//! What a run measures.

/// Figures of one account.
#[derive(Clone, Default)]
pub(crate) struct Tally {
    /// Weighted tokens that flowed.
    pub(crate) service: u64,
    pub(crate) running: u64,
    pub(crate) most_running: u64,
    pub(crate) longest_wait_us: u64,
}

#[derive(Clone, Copy, Default)]
struct Pair {
    since_base: Option<i64>,
    worst: u64,
}

/// Figures of one run.
pub(crate) struct Measure {
    shares: Vec<u64>,
    pub(crate) tallies: Vec<Tally>,
    pairs: Vec<Pair>,
    pub(crate) largest_charge: u64,
    pub(crate) largest_estimate: u64,
    /// Weighted tokens per second, the greatest over whole seconds.
    pub(crate) greatest_rate: u64,
    last_total: u64,
    slot_samples: u64,
    busy_samples: u64,
    /// Messages and bytes per host.
    pub(crate) messages: Vec<u64>,
    pub(crate) bytes: Vec<u64>,
    pub(crate) worst_handover_us: u64,
    pub(crate) last_start_on_drained_us: Option<u64>,
}

/// The pair of accounts whose gap comes closest to its bound.
pub(crate) struct Gap {
    /// The worst gap of any pair, in weighted tokens per share.
    pub(crate) worst: u64,
    /// The bound of that pair.
    pub(crate) bound: u64,
    /// The greatest ratio of gap and bound of any pair, in percent.
    pub(crate) percent: u64,
}

impl Measure {
    pub(crate) fn new(shares: &[u64], hosts: usize) -> Measure {
        let accounts = shares.len();
        Measure {
            shares: shares.to_vec(),
            tallies: vec![Tally::default(); accounts],
            pairs: vec![Pair::default(); accounts * accounts],
            largest_charge: 0,
            largest_estimate: 0,
            greatest_rate: 0,
            last_total: 0,
            slot_samples: 0,
            busy_samples: 0,
            messages: vec![0; hosts],
            bytes: vec![0; hosts],
            worst_handover_us: 0,
            last_start_on_drained_us: None,
        }
    }

    pub(crate) fn count_message(&mut self, host: usize, bytes: usize) {
        self.messages[host] += 1;
        self.bytes[host] += bytes as u64;
    }

    /// Takes one sample of the slots while something waits.
    pub(crate) fn sample_slots(&mut self, slots: u64, busy: u64) {
        self.slot_samples += slots;
        self.busy_samples += busy;
    }

    /// Called once per second.
    pub(crate) fn sample_rate(&mut self) {
        let total = self.tallies.iter().map(|t| t.service).sum();
        self.greatest_rate = self.greatest_rate.max(total - self.last_total);
        self.last_total = total;
    }

    /// Follows the gap of every pair since both accounts became backlogged.
    pub(crate) fn sample_gaps(&mut self, backlogged: &[bool]) {
        let accounts = self.shares.len();
        for i in 0..accounts {
            for j in 0..accounts {
                let lead = self.normalised(i) - self.normalised(j);
                let pair = &mut self.pairs[i * accounts + j];
                if !backlogged[i] || !backlogged[j] {
                    pair.since_base = None;
                    continue;
                }
                let base = *pair.since_base.get_or_insert(lead);
                pair.worst = pair.worst.max((lead - base).max(0) as u64);
            }
        }
    }

    fn normalised(&self, account: usize) -> i64 {
        (self.tallies[account].service / self.shares[account]) as i64
    }

    /// The bound of section 6 of the design page for the lead of account `i` over account `j`.
    fn bound(&self, i: usize, j: usize, quantum: u64, staleness_ms: u64) -> u64 {
        let ahead = self.tallies[i].most_running * self.largest_charge;
        let unknown = self.greatest_rate * staleness_ms / 1_000;
        let charged = self.tallies[j].most_running * self.largest_estimate;
        quantum + (ahead + unknown) / self.shares[i] + charged / self.shares[j]
    }

    pub(crate) fn gap(&self, quantum: u64, staleness_ms: u64) -> Gap {
        let accounts = self.shares.len();
        let mut gap = Gap {
            worst: 0,
            bound: 0,
            percent: 0,
        };
        for i in 0..accounts {
            for j in 0..accounts {
                let worst = self.pairs[i * accounts + j].worst;
                let bound = self.bound(i, j, quantum, staleness_ms);
                if worst > gap.worst {
                    gap.worst = worst;
                    gap.bound = bound;
                }
                gap.percent = gap.percent.max(worst * 100 / bound.max(1));
            }
        }
        gap
    }

    /// Part of the slots that were busy while something waited, in percent.
    pub(crate) fn utilisation(&self) -> f64 {
        100.0 * self.busy_samples as f64 / self.slot_samples.max(1) as f64
    }
}
