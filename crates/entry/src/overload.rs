//! Detects whether this host is overloaded, and sheds load if it is.
//!
//! The platform distributes callers unevenly, and a host may run slowly. On an overloaded host every request is late,
//! even if the next host is idle. Such a host reports that it is not ready, and at once refuses requests that another
//! host can serve.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use primrose_observe::Meter;
use slog::{Logger, info};

/// Duration of the sleeps that measure the scheduling delay of the async runtime. The delay is the time by which a
/// sleep takes longer than this.
pub(crate) const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Weight of one measurement in the moving average.
const WEIGHT: f64 = 0.2;

/// Mean delay above which a fraction of the requests is refused, in ms. A request waits several times to be scheduled
/// between its arrival and its answer, and the shortest latency objectives are 100 ms.
const SHED_FROM_MS: f64 = 2.0;

/// Mean delay at which all requests are refused, in ms.
const SHED_ALL_MS: f64 = 12.0;

/// Mean delay above which the host reports that it is not ready for more callers, in ms.
const OVERLOADED_MS: u64 = 8;

/// Upper bound of one measurement, in ms: a long pause, such as a suspended machine, says nothing about the load.
const MAX_DELAY_MS: f64 = 320.0;

/// Measures the scheduling delay of the runtime of this process. Clones share the measurement.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    delay_ms: Arc<AtomicU64>,
    /// Number of requests that should have been refused so far, less the number that were, in thousandths of a
    /// request.
    shed_debt: Arc<AtomicU64>,
    /// Counts rejected connections, or `None` if they are not counted.
    meter: Option<Arc<Meter>>,
}

impl Detector {
    /// Starts a task that measures the delay.
    pub fn spawn(meter: &Arc<Meter>, log: &Logger) -> Detector {
        let detector = Detector {
            meter: Some(Arc::clone(meter)),
            ..Detector::default()
        };
        let (shared_detector, log) = (detector.clone(), log.clone());
        tokio::spawn(async move {
            let mut mean = 0.0;
            let mut was_overloaded = false;
            loop {
                let start = Instant::now();
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                mean = moving_average(mean, start.elapsed());
                shared_detector
                    .delay_ms
                    .store(mean as u64, Ordering::Relaxed);
                let is_overloaded = shared_detector.is_overloaded();
                if is_overloaded != was_overloaded {
                    was_overloaded = is_overloaded;
                    info!(log, "load of this host changed"; "behind" => is_overloaded, "delay_ms" => mean as u64);
                }
            }
        });
        detector
    }

    /// Creates a detector that does not measure but has this mean delay, in ms.
    pub fn fixed(delay_ms: u64) -> Detector {
        let detector = Detector::default();
        detector.delay_ms.store(delay_ms, Ordering::Relaxed);
        detector
    }

    /// Whether a request that has just arrived should be refused because another host serves it better. The
    /// fraction of the requests for which this returns true grows with the delay, so that the host continues to serve
    /// what it can. Each call counts as one request.
    pub fn sheds_request(&self) -> bool {
        let delay = self.delay_ms.load(Ordering::Relaxed) as f64;
        let fraction = ((delay - SHED_FROM_MS) / (SHED_ALL_MS - SHED_FROM_MS)).clamp(0.0, 1.0);
        let shed_debt = self.shed_debt.load(Ordering::Relaxed) + (fraction * 1_000.0) as u64;
        let sheds = shed_debt >= 1_000;
        let rest = if sheds { shed_debt - 1_000 } else { shed_debt };
        self.shed_debt.store(rest, Ordering::Relaxed);
        sheds
    }

    /// Whether a connection that was just opened should be rejected, which also counts it. A rejected connection is
    /// closed without reading from it, which costs this host much less than a refusal. Callers repeat unread requests
    /// at another host, whether idempotent or not.
    pub fn rejects_connection(&self) -> bool {
        let sheds = self.sheds_request();
        if sheds {
            self.count("connection_turned_away");
        }
        sheds
    }

    /// Increments a counter of the listener, if there are counters.
    pub(crate) fn count(&self, name: &'static str) {
        if let Some(meter) = &self.meter {
            meter.count(name);
        }
    }

    /// Whether the host is so overloaded that it should get no more callers.
    pub fn is_overloaded(&self) -> bool {
        self.delay_ms.load(Ordering::Relaxed) > OVERLOADED_MS
    }
}

/// The moving average after one more sleep of [`SAMPLE_INTERVAL`], which took `slept`.
fn moving_average(mean: f64, slept: Duration) -> f64 {
    let delay = slept.saturating_sub(SAMPLE_INTERVAL).as_secs_f64() * 1_000.0;
    let delay = delay.min(MAX_DELAY_MS);
    mean + WEIGHT * (delay - mean)
}
