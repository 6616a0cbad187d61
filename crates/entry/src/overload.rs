//! Detects whether this host is overloaded, and sheds load if it is.
//!
//! The platform distributes callers unevenly, and a host may run slowly. On an overloaded host every request is late,
//! even if the next host is idle. Such a host reports that it is not ready, and at once refuses requests that another
//! host can serve.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use primrose_base::clock::Time;
use primrose_observe::Meter;
use slog::{Logger, info};

use crate::pressure::{Gate, Intake, Thresholds};

/// Duration of the sleeps that measure the scheduling delay of the async runtime. The delay is the time by which a
/// sleep takes longer than this.
pub(crate) const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Weight of one measurement in the moving average.
const WEIGHT: f64 = 0.2;

/// Upper bound of one measurement, in ms: a long pause, such as a suspended machine, says nothing about the load.
const MAX_DELAY_MS: f64 = 320.0;

/// Number of measurements after which the thresholds are determined again: half a second.
const SAMPLES_PER_UPDATE: u32 = 20;

/// Returns the thresholds in force, `None` while [`crate::pressure`] is off.
pub type Source = Arc<dyn Fn() -> Option<Thresholds> + Send + Sync>;

/// Measures the scheduling delay of the runtime of this process. Clones share the measurement.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    gate: Arc<Mutex<Gate>>,
    /// Counts rejected connections, or `None` if they are not counted.
    meter: Option<Arc<Meter>>,
}

impl Detector {
    /// Starts a task that measures the delay. `thresholds` is called every [`SAMPLES_PER_UPDATE`] measurements.
    pub fn spawn(meter: &Arc<Meter>, log: &Logger, thresholds: Source) -> Detector {
        let detector = Detector {
            meter: Some(Arc::clone(meter)),
            ..Detector::default()
        };
        let (shared_detector, log) = (detector.clone(), log.clone());
        tokio::spawn(async move {
            let mut mean = 0.0;
            let mut was_overloaded = false;
            let mut until_update = 0;
            loop {
                if until_update == 0 {
                    until_update = SAMPLES_PER_UPDATE;
                    let thresholds = thresholds();
                    if shared_detector.set_thresholds(thresholds) {
                        info!(log, "thresholds of overload changed"; "on" => thresholds.is_some(),
                            "shed_from_ms" => thresholds.map(|thresholds| thresholds.shed_from_ms),
                            "shed_all_ms" => thresholds.map(|thresholds| thresholds.shed_all_ms));
                    }
                }
                until_update -= 1;
                let start = Instant::now();
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                mean = moving_average(mean, start.elapsed());
                let is_overloaded = {
                    let mut gate = shared_detector.gate();
                    gate.record_delay(Time::now(), mean as u64);
                    gate.is_overloaded()
                };
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
        detector.gate().record_delay(Time::now(), delay_ms);
        detector
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        // Nothing can panic between two changes, so the gate is valid even after a panic.
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Turns [`crate::pressure`] on with these thresholds, or off. Returns whether that is a change.
    pub fn set_thresholds(&self, thresholds: Option<Thresholds>) -> bool {
        self.gate().set_thresholds(thresholds)
    }

    /// The thresholds in force, `None` while [`crate::pressure`] is off.
    pub(crate) fn thresholds(&self) -> Option<Thresholds> {
        let gate = self.gate();
        gate.is_on().then(|| gate.thresholds())
    }

    /// Whether a request that has just arrived should be refused because another host serves it better. Each call
    /// counts as one request.
    pub fn sheds_request(&self) -> bool {
        self.gate().sheds()
    }

    /// Whether a connection that was just opened should be rejected, which also counts it. A rejected connection is
    /// closed without reading from it, which costs this host much less than a refusal. Callers repeat unread requests
    /// at another host, whether idempotent or not.
    pub fn rejects_connection(&self, intake: &Intake) -> bool {
        let sheds = intake.rejects() || self.sheds_request();
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
        self.gate().is_overloaded()
    }

    /// Whether a readiness check is answered with "ready" as far as the load is concerned.
    pub fn is_ready(&self) -> bool {
        self.gate().is_ready(Time::now())
    }
}

/// The moving average after one more sleep of [`SAMPLE_INTERVAL`], which took `slept`.
fn moving_average(mean: f64, slept: Duration) -> f64 {
    let delay = slept.saturating_sub(SAMPLE_INTERVAL).as_secs_f64() * 1_000.0;
    let delay = delay.min(MAX_DELAY_MS);
    mean + WEIGHT * (delay - mean)
}
