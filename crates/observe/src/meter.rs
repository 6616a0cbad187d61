//! Counters and latency histograms, served as text.

use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;

/// The largest latency that the histograms distinguish, in ms.
const MAX_LATENCY_MS: u64 = 60_000;

/// The percentiles of each histogram in the text.
const PERCENTILES: [f64; 4] = [50.0, 90.0, 99.0, 100.0];

/// The counters and histograms of a process. All names are declared at creation, so that counters that are still 0
/// are listed too.
#[derive(Debug)]
pub struct Meter {
    /// Sorted by name.
    counters: Mutex<Vec<(&'static str, u64)>>,
    /// Sorted by name.
    latencies: Mutex<Vec<(&'static str, Histogram<u64>)>>,
}

impl Meter {
    /// Creates counters, all 0, and empty histograms with these names.
    pub fn new(counters: &[&'static str], latencies: &[&'static str]) -> Meter {
        let mut counts: Vec<(&'static str, u64)> = counters.iter().map(|&name| (name, 0)).collect();
        counts.sort_unstable();
        counts.dedup();
        let mut histograms: Vec<(&'static str, Histogram<u64>)> = latencies
            .iter()
            .filter_map(|&name| Some((name, Histogram::new_with_max(MAX_LATENCY_MS, 2).ok()?)))
            .collect();
        histograms.sort_by_key(|entry| entry.0);
        Meter {
            counters: Mutex::new(counts),
            latencies: Mutex::new(histograms),
        }
    }

    /// Increments a counter.
    pub fn count(&self, name: &'static str) {
        let mut counters = lock(&self.counters);
        match counters.binary_search_by_key(&name, |entry| entry.0) {
            Ok(at) => counters[at].1 += 1,
            // A name that was not declared is added.
            Err(at) => counters.insert(at, (name, 1)),
        }
    }

    /// Records a latency in ms. Latencies beyond the largest one that the histogram distinguishes count as that one.
    /// A name that was not declared is ignored.
    pub fn record(&self, name: &'static str, ms: u64) {
        let mut latencies = lock(&self.latencies);
        if let Ok(at) = latencies.binary_search_by_key(&name, |entry| entry.0) {
            latencies[at].1.saturating_record(ms);
        }
    }

    /// Returns the value of a counter, or 0 if there is no counter with this name.
    pub fn value(&self, name: &str) -> u64 {
        let counters = lock(&self.counters);
        counters
            .binary_search_by(|entry| entry.0.cmp(name))
            .map_or(0, |at| counters[at].1)
    }

    /// Formats all counters and histograms as text with one value per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in lock(&self.counters).iter() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "primrose_{name} {value}");
        }
        for (name, histogram) in lock(&self.latencies).iter() {
            let _ = writeln!(text, "primrose_{name}_ms_count {}", histogram.len());
            for percentile in PERCENTILES {
                let value = histogram.value_at_percentile(percentile);
                let _ = writeln!(
                    text,
                    "primrose_{name}_ms{{percentile=\"{percentile}\"}} {value}"
                );
            }
        }
        text
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No code can panic between two changes that it makes under the lock, so the data is consistent.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
