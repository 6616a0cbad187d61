//! The metrics of one run.

/// Metrics of one account.
#[derive(Clone, Default)]
pub(crate) struct Account {
    /// Weighted tokens in the chunks that the engine delivered.
    pub(crate) service: u64,
    /// Requests that are running now.
    pub(crate) running: u64,
    pub(crate) max_running: u64,
    pub(crate) max_wait_us: u64,
}

/// The lead of one account over another: the difference of their normalised services, in weighted tokens per share.
#[derive(Clone, Copy, Default)]
struct Pair {
    /// Lead at the time when both accounts became backlogged; `None` unless both are.
    initial_lead: Option<i64>,
    /// Largest increase over the initial lead, in all periods in which both were backlogged.
    max_gap: u64,
}

/// Metrics of one run.
pub(crate) struct Metrics {
    shares: Vec<u64>,
    pub(crate) accounts: Vec<Account>,
    /// Pairs of accounts `(i, j)`, at the index `i * accounts + j`.
    pairs: Vec<Pair>,
    pub(crate) largest_charge: u64,
    pub(crate) largest_estimate: u64,
    /// Highest throughput over one second, in weighted tokens.
    pub(crate) max_rate: u64,
    /// Service of all accounts together at the last call of [`Metrics::sample_rate`].
    last_total: u64,
    /// Sum of the slots over all samples.
    slot_samples: u64,
    /// Sum of the busy slots over all samples.
    busy_samples: u64,
    /// Messages sent, by host.
    pub(crate) messages: Vec<u64>,
    /// Bytes sent, by host.
    pub(crate) bytes: Vec<u64>,
    /// Longest time from the release of a slot to the next start on its server, as far as requests waited somewhere.
    pub(crate) max_handover_us: u64,
    /// Time from the drain of a server to the last start on it; `None` if no request started on it after the drain.
    pub(crate) last_start_on_drained_us: Option<u64>,
}

/// The gaps between backlogged accounts, compared with the bound of the design page.
pub(crate) struct Gap {
    /// The largest gap of any pair, in weighted tokens per share.
    pub(crate) worst: u64,
    /// The bound of the pair with the largest gap.
    pub(crate) bound: u64,
    /// The largest ratio of gap to bound of any pair, in percent.
    pub(crate) percent: u64,
}

impl Metrics {
    pub(crate) fn new(shares: &[u64], hosts: usize) -> Metrics {
        let accounts = shares.len();
        Metrics {
            shares: shares.to_vec(),
            accounts: vec![Account::default(); accounts],
            pairs: vec![Pair::default(); accounts * accounts],
            largest_charge: 0,
            largest_estimate: 0,
            max_rate: 0,
            last_total: 0,
            slot_samples: 0,
            busy_samples: 0,
            messages: vec![0; hosts],
            bytes: vec![0; hosts],
            max_handover_us: 0,
            last_start_on_drained_us: None,
        }
    }

    pub(crate) fn count_message(&mut self, host: usize, bytes: usize) {
        self.messages[host] += 1;
        self.bytes[host] += bytes as u64;
    }

    /// Adds a sample of the slots of one server. Must be called only while a request waits.
    pub(crate) fn sample_slots(&mut self, slots: u64, busy: u64) {
        self.slot_samples += slots;
        self.busy_samples += busy;
    }

    /// Updates the highest throughput. Must be called once per second.
    pub(crate) fn sample_rate(&mut self) {
        let total = self.accounts.iter().map(|account| account.service).sum();
        self.max_rate = self.max_rate.max(total - self.last_total);
        self.last_total = total;
    }

    /// Updates the gap of each pair of accounts that are both backlogged.
    pub(crate) fn sample_gaps(&mut self, backlogged: &[bool]) {
        let accounts = self.shares.len();
        for i in 0..accounts {
            for j in 0..accounts {
                let lead = self.normalised_service(i) - self.normalised_service(j);
                let pair = &mut self.pairs[i * accounts + j];
                if !backlogged[i] || !backlogged[j] {
                    pair.initial_lead = None;
                    continue;
                }
                let initial = *pair.initial_lead.get_or_insert(lead);
                pair.max_gap = pair.max_gap.max((lead - initial).max(0) as u64);
            }
        }
    }

    fn normalised_service(&self, account: usize) -> i64 {
        (self.accounts[account].service / self.shares[account]) as i64
    }

    /// The bound of section 6 of the design page for the lead of account `i` over account `j`.
    fn bound(&self, i: usize, j: usize, quantum: u64, staleness_ms: u64) -> u64 {
        let in_flight = self.accounts[i].max_running * self.largest_charge;
        let unreported = self.max_rate * staleness_ms / 1_000;
        let estimated = self.accounts[j].max_running * self.largest_estimate;
        quantum + (in_flight + unreported) / self.shares[i] + estimated / self.shares[j]
    }

    /// Compares the gaps of all pairs with their bounds. A host knows the service at other hosts with a delay of at
    /// most `staleness_ms`.
    pub(crate) fn gap(&self, quantum: u64, staleness_ms: u64) -> Gap {
        let accounts = self.shares.len();
        let mut gap = Gap {
            worst: 0,
            bound: 0,
            percent: 0,
        };
        for i in 0..accounts {
            for j in 0..accounts {
                let worst = self.pairs[i * accounts + j].max_gap;
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

    /// Percentage of the slots that were busy while a request waited.
    pub(crate) fn utilisation(&self) -> f64 {
        100.0 * self.busy_samples as f64 / self.slot_samples.max(1) as f64
    }
}
