//! Whether this host keeps up with its callers.
//!
//! The platform spreads callers unevenly, and a host may run slowly. One that falls behind makes every request late that
//! it takes, while the next host is idle: it says that it is not ready, and refuses at once what another host can serve.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Interval at which the delay of the runtime is measured.
const INTERVAL: Duration = Duration::from_millis(25);

/// Weight of one measurement.
const WEIGHT: f64 = 0.2;

/// Mean delay beyond which requests are refused, in ms: more than a host with a quota of processor time waits for the
/// next one, and a good part of the shortest objectives.
const BEHIND_MS: u64 = 130;

/// Mean delay beyond which the host asks for no more callers, in ms.
const PRESSED_MS: u64 = 50;

/// The delay of the runtime of this process.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    delay_ms: Arc<AtomicU64>,
}

impl Pace {
    /// Starts to measure.
    pub fn spawn() -> Pace {
        let pace = Pace::default();
        let measured = pace.clone();
        tokio::spawn(async move {
            let mut mean = 0.0;
            loop {
                let start = Instant::now();
                tokio::time::sleep(INTERVAL).await;
                mean = smoothed(mean, start.elapsed());
                measured.delay_ms.store(mean as u64, Ordering::Relaxed);
            }
        });
        pace
    }

    /// A pace with this mean delay, in ms.
    pub fn fixed(delay_ms: u64) -> Pace {
        let pace = Pace::default();
        pace.delay_ms.store(delay_ms, Ordering::Relaxed);
        pace
    }

    /// Whether requests that have just arrived are better served by another host.
    pub fn is_behind(&self) -> bool {
        self.delay_ms.load(Ordering::Relaxed) > BEHIND_MS
    }

    /// Whether the host should get no more callers.
    pub fn is_pressed(&self) -> bool {
        self.delay_ms.load(Ordering::Relaxed) > PRESSED_MS
    }
}

/// The mean after one more sleep of [`INTERVAL`] that took `slept`.
fn smoothed(mean: f64, slept: Duration) -> f64 {
    let delay = slept.saturating_sub(INTERVAL).as_secs_f64() * 1_000.0;
    // One long stop, such as a suspended machine, says nothing about the load.
    let delay = delay.min(4.0 * BEHIND_MS as f64);
    mean + WEIGHT * (delay - mean)
}
