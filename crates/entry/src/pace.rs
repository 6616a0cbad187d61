//! Whether this host keeps up with its callers.
//!
//! The platform spreads callers unevenly, and a host may run slowly. One that falls behind makes every request late that
//! it takes, while the next host is idle: it says that it is not ready, and refuses at once what another host can serve.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use primrose_observe::Meter;
use slog::{Logger, info};

/// Interval at which the delay of the runtime is measured.
pub(crate) const INTERVAL: Duration = Duration::from_millis(25);

/// Weight of one measurement.
const WEIGHT: f64 = 0.2;

/// Mean delay from which on a part of the callers is turned away, in ms. A request waits several times for its turn
/// between its arrival and its answer, and the shortest objectives are 100 ms.
const SHED_FROM_MS: f64 = 2.0;

/// Mean delay at which all callers are turned away, in ms.
const SHED_ALL_MS: f64 = 12.0;

/// Mean delay beyond which the host asks for no more callers, in ms.
const PRESSED_MS: u64 = 8;

/// The longest delay that one measurement counts, in ms: a long stop, such as a suspended machine, says nothing about the
/// load.
const MAX_DELAY_MS: f64 = 320.0;

/// The delay of the runtime of this process.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    delay_ms: Arc<AtomicU64>,
    /// Parts of requests that were not refused yet, in thousandths.
    owed: Arc<AtomicU64>,
    /// Counts callers that are turned away; `None` where nobody reads it.
    meter: Option<Arc<Meter>>,
}

impl Pace {
    /// Starts to measure.
    pub fn spawn(meter: &Arc<Meter>, log: &Logger) -> Pace {
        let pace = Pace {
            meter: Some(Arc::clone(meter)),
            ..Pace::default()
        };
        let (measured, log) = (pace.clone(), log.clone());
        tokio::spawn(async move {
            let mut mean = 0.0;
            let mut was_pressed = false;
            loop {
                let start = Instant::now();
                tokio::time::sleep(INTERVAL).await;
                mean = smoothed(mean, start.elapsed());
                measured.delay_ms.store(mean as u64, Ordering::Relaxed);
                let is_pressed = measured.is_pressed();
                if is_pressed != was_pressed {
                    was_pressed = is_pressed;
                    info!(log, "load of this host changed"; "behind" => is_pressed, "delay_ms" => mean as u64);
                }
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

    /// Whether a request that has just arrived is better served by another host. The part of the requests for which this
    /// holds grows with the delay, so that the host goes on serving what it can.
    pub fn sheds(&self) -> bool {
        let delay = self.delay_ms.load(Ordering::Relaxed) as f64;
        let part = ((delay - SHED_FROM_MS) / (SHED_ALL_MS - SHED_FROM_MS)).clamp(0.0, 1.0);
        let owed = self.owed.load(Ordering::Relaxed) + (part * 1_000.0) as u64;
        let sheds = owed >= 1_000;
        let rest = if sheds { owed - 1_000 } else { owed };
        self.owed.store(rest, Ordering::Relaxed);
        sheds
    }

    /// Whether a caller that has just connected is turned away. Its connection is closed unread, which takes far less of
    /// this host than a refusal; callers repeat at another host what was not read, whatever it was.
    pub fn turns_away(&self) -> bool {
        let sheds = self.sheds();
        if sheds {
            self.count("connection_turned_away");
        }
        sheds
    }

    /// Counts what is done to keep up.
    pub(crate) fn count(&self, name: &'static str) {
        if let Some(meter) = &self.meter {
            meter.count(name);
        }
    }

    /// Whether the host should get no more callers.
    pub fn is_pressed(&self) -> bool {
        self.delay_ms.load(Ordering::Relaxed) > PRESSED_MS
    }
}

/// The mean after one more sleep of [`INTERVAL`] that took `slept`.
fn smoothed(mean: f64, slept: Duration) -> f64 {
    let delay = slept.saturating_sub(INTERVAL).as_secs_f64() * 1_000.0;
    let delay = delay.min(MAX_DELAY_MS);
    mean + WEIGHT * (delay - mean)
}
