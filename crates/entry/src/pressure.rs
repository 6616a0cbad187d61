//! What an overloaded host does with its callers. Performs no input or output.
//!
//! Load pattern: the platform distributes callers by a hash, so that a host with a tenth of a processor core gets up to
//! 3,000 new connections per second while others are idle. Callers connect again if their connection was closed unread,
//! and retry after a refusal, but give up if the listener was closed.
//!
//! The host does, in this order: it serves what it can, refuses requests with an answer, closes new connections unread,
//! and closes its listener only if it cannot even do that. The part is on where the platform says that callers and servers
//! may read slowly; elsewhere the thresholds are fixed and the listener closes after a few rejected connections.

use primrose_base::clock::Time;

/// Capacity of a host with one processor core, 1,024 MiB of memory and 1,024 file descriptors.
pub const REFERENCE_CAPACITY: u32 = 1_000;

/// The objective to which the fixed thresholds apply, in ms.
const REFERENCE_OBJECTIVE_MS: f64 = 100.0;

/// Bounds of the objective from which thresholds are derived, in ms. One measurement of the delay is at most 320 ms,
/// and other hosts wait at most 40 ms for an answer, so a host does not wait for longer objectives. Delays are measured
/// in whole ms, which is too coarse for shorter ones.
const OBJECTIVE_RANGE_MS: (f64, f64) = (50.0, 1_000.0);

/// Processor time of one request in ms, the upper end of what was measured (0.2 to 0.4 ms). On a host with a part of a
/// core, it occupies the host for longer and delays everything else, which is no overload.
const REQUEST_MS: f64 = 0.4;

/// The most of the objective that the delay by one request adds to the thresholds.
const MAX_REQUEST_FRACTION: f64 = 0.1;

/// How long the host is "not ready" after an overload, in ms: long enough to fail two of the platform's checks, which
/// come once a second. The platform sends callers to other hosts from then on.
const NOT_READY_MS: u64 = 2_500;

/// The longest time for which the host is "not ready" after an overload, in ms.
const MAX_NOT_READY_MS: u64 = 20_000;

/// If the host is overloaded again within this time after it was ready, in ms, it stays away twice as long: the callers
/// that overload it come back as soon as it is ready, and the host cannot see whether they still would.
const RELAPSE_MS: u64 = 4_000;

/// The most connections that the accept loop takes in one pass before other tasks run. At about 15 µs of processor time
/// for each that is rejected, a pass takes about 10 ms on a host with 0.09 of a core.
const MAX_TAKEN: usize = 64;

/// The part of the objective that the requests admitted in one pass may occupy the host. The measured delay rises only
/// after some passes; without this limit, a host admits requests for 140 ms in its first pass of a flood.
const ADMITTED_FRACTION: f64 = 0.5;

/// The part of the objective after which the connections in a queue that no pass has emptied are rejected. Callers of
/// such connections get late answers if they are served, while those that connect next can be served in time.
const STALE_FRACTION: f64 = 0.25;

/// The most connections that are rejected in one pass while the part is off; then the listener is closed for a while.
/// Rejected callers reconnect at once: in a flood of thousands of connections a second, the host closed 3,400 of them
/// while it served 150 requests, within half a second. While the listener is closed, the kernel refuses connections
/// at no cost to the host.
const MAX_REJECTED: usize = 8;

/// The queue of pending connections is out of control if no pass has emptied it for this long, in ms. Its connections
/// have then waited for longer than the shortest objectives, and the kernel's queue overflows soon after.
const STALL_MS: u64 = 250;

/// Number of passes within [`STALL_MS`] below which the process was paused rather than flooded.
const MIN_STALLED_PASSES: u32 = 8;

/// Resources of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Processor cores, or the part of one, that the process may use.
    pub cores: f64,
    /// In MiB.
    pub memory_mb: usize,
    /// The most open file descriptors.
    pub max_fds: usize,
}

impl Resources {
    /// The capacity in units of which [`REFERENCE_CAPACITY`] are a host with one core; at least 1. The scarcest resource
    /// determines it.
    pub fn capacity(&self) -> u32 {
        let scarcest = self
            .cores
            .min(self.memory_mb as f64 / 1_024.0)
            .min(self.max_fds as f64 / 1_024.0);
        ((scarcest * f64::from(REFERENCE_CAPACITY)) as u32).max(1)
    }
}

/// Mean scheduling delays from which an overloaded host reacts. A request waits several times to be scheduled between
/// its arrival and its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Above it, a fraction of the requests is refused, in ms.
    pub shed_from_ms: f64,
    /// At it, all requests are refused, in ms; above `shed_from_ms`.
    pub shed_all_ms: f64,
    /// Above it, the host is overloaded and asks for no more callers, in ms.
    pub overloaded_ms: f64,
    /// The most connections that are admitted in one pass of the accept loop; at least 1.
    pub max_admitted: usize,
    /// All connections are rejected while no pass has emptied their queue for longer than this, in ms.
    pub stale_ms: u64,
}

impl Thresholds {
    /// The thresholds while the part is off, for objectives of 100 ms.
    pub const FIXED: Thresholds = Thresholds {
        shed_from_ms: 2.0,
        shed_all_ms: 12.0,
        overloaded_ms: 8.0,
        max_admitted: usize::MAX,
        stale_ms: u64::MAX,
    };

    /// The thresholds of a host with `cores` processor cores whose shortest objective is `objective_ms`. They are in
    /// proportion to the objective, and count the time for which one request occupies the host as normal. The host is
    /// "not ready" when it begins to refuse requests.
    pub fn scaled(objective_ms: u64, cores: f64) -> Thresholds {
        let (shortest, longest) = OBJECTIVE_RANGE_MS;
        let objective = (objective_ms as f64).clamp(shortest, longest);
        let factor = objective / REFERENCE_OBJECTIVE_MS;
        let request = (REQUEST_MS / cores.max(0.01)).min(objective * MAX_REQUEST_FRACTION);
        let shed_from_ms = Thresholds::FIXED.shed_from_ms * factor + request;
        Thresholds {
            shed_from_ms,
            shed_all_ms: Thresholds::FIXED.shed_all_ms * factor + request,
            overloaded_ms: shed_from_ms,
            max_admitted: ((objective * ADMITTED_FRACTION / request) as usize).max(1),
            stale_ms: (objective * STALE_FRACTION) as u64,
        }
    }
}

/// Decides which requests and connections an overloaded host refuses, from its mean scheduling delay.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// `None` while the part is off.
    thresholds: Option<Thresholds>,
    /// In whole ms.
    delay_ms: u64,
    /// Number of requests that should have been refused so far, less the number that were, in thousandths of a
    /// request; below 1,000 between calls.
    shed_debt: u64,
    /// Until when the host is "not ready"; [`Time::ZERO`] before the first overload.
    not_ready_until: Time,
    /// The length of the latest such time, in ms.
    not_ready_ms: u64,
}

impl Gate {
    /// Turns the part on with these thresholds, or off. Returns whether that is a change.
    pub fn set_thresholds(&mut self, thresholds: Option<Thresholds>) -> bool {
        std::mem::replace(&mut self.thresholds, thresholds) != thresholds
    }

    /// Whether the part is on.
    pub fn is_on(&self) -> bool {
        self.thresholds.is_some()
    }

    /// The thresholds in force.
    pub fn thresholds(&self) -> Thresholds {
        self.thresholds.unwrap_or(Thresholds::FIXED)
    }

    /// Records the mean scheduling delay in ms.
    pub fn record_delay(&mut self, now: Time, delay_ms: u64) {
        self.delay_ms = delay_ms;
        if !self.is_overloaded() || now < self.not_ready_until {
            return;
        }
        let is_relapse = self.not_ready_ms > 0 && now.since(self.not_ready_until) < RELAPSE_MS;
        self.not_ready_ms = if is_relapse {
            (self.not_ready_ms * 2).min(MAX_NOT_READY_MS)
        } else {
            NOT_READY_MS
        };
        self.not_ready_until = now.plus_ms(self.not_ready_ms);
    }

    /// Whether a request or connection that has just arrived is refused. The fraction for which this returns true grows
    /// with the delay, so that the host continues to serve what it can.
    pub fn sheds(&mut self) -> bool {
        let Thresholds {
            shed_from_ms,
            shed_all_ms,
            ..
        } = self.thresholds();
        let excess = self.delay_ms as f64 - shed_from_ms;
        let fraction = (excess / (shed_all_ms - shed_from_ms)).clamp(0.0, 1.0);
        self.shed_debt += (fraction * 1_000.0) as u64;
        let sheds = self.shed_debt >= 1_000;
        if sheds {
            self.shed_debt -= 1_000;
        }
        sheds
    }

    /// Whether the host is so overloaded that it should get no more callers.
    pub fn is_overloaded(&self) -> bool {
        self.delay_ms as f64 > self.thresholds().overloaded_ms
    }

    /// Whether the platform may send callers to the host. With the part on, it may not for some seconds after an overload,
    /// since the delay varies faster than the platform checks.
    pub fn is_ready(&self, now: Time) -> bool {
        let is_away = self.is_on() && now < self.not_ready_until;
        !is_away && !self.is_overloaded()
    }
}

/// What the accept loop does after a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Waits for the next connection.
    Wait,
    /// Lets other tasks run and continues.
    Yield,
    /// Opens the listener anew, so that the kernel resets all pending connections at once. Their callers connect again.
    Renew,
    /// Closes the listener for a while, so that the kernel refuses connections.
    Close,
}

/// Bounds the passes of the accept loop. For each pass: [`Intake::begin`], [`Intake::record`] for each connection that
/// is taken as long as [`Intake::may_take`], and [`Intake::end`].
#[derive(Clone, Debug, Default)]
pub struct Intake {
    /// `None` while the part is off.
    thresholds: Option<Thresholds>,
    /// When this pass began.
    now: Time,
    /// Connections admitted in this pass.
    admitted: usize,
    /// Connections rejected in this pass.
    rejected: usize,
    /// When a pass that rejected connections first left some pending, if no pass has emptied the queue since.
    stalled: Option<Time>,
    /// Number of passes since then.
    stalled_passes: u32,
    /// Whether the listener was opened anew and the queue was not emptied since.
    is_renewed: bool,
}

impl Intake {
    /// Begins a pass. `thresholds` is `None` while the part is off.
    pub fn begin(&mut self, now: Time, thresholds: Option<Thresholds>) {
        self.thresholds = thresholds;
        self.now = now;
        self.admitted = 0;
        self.rejected = 0;
    }

    /// Whether the next connection is rejected whatever the load.
    pub fn rejects(&self) -> bool {
        let Some(thresholds) = self.thresholds else {
            return false;
        };
        let is_stale = |since| self.now.since(since) > thresholds.stale_ms;
        self.admitted >= thresholds.max_admitted || self.stalled.is_some_and(is_stale)
    }

    /// Whether a connection that is not served gets a refusal. While the queue of connections is out of control, it is
    /// closed instead, like all such connections while the part is off.
    pub fn may_refuse(&self) -> bool {
        self.thresholds.is_some() && self.stalled.is_none()
    }

    /// Records that a connection was taken from the queue.
    pub fn record(&mut self, is_rejected: bool) {
        if is_rejected {
            self.rejected += 1;
        } else {
            self.admitted += 1;
        }
    }

    /// Whether another connection may be taken in this pass.
    pub fn may_take(&self) -> bool {
        if self.thresholds.is_some() {
            self.admitted + self.rejected < MAX_TAKEN
        } else {
            self.rejected < MAX_REJECTED
        }
    }

    /// Ends a pass. `is_empty` tells whether it emptied the queue of pending connections.
    pub fn end(&mut self, is_empty: bool) -> Next {
        if self.thresholds.is_none() {
            return if self.may_take() {
                Next::Wait
            } else {
                Next::Close
            };
        }
        if is_empty {
            self.reset();
            self.is_renewed = false;
            return Next::Wait;
        }
        if self.rejected == 0 && self.stalled.is_none() {
            return Next::Yield;
        }
        self.stalled_passes += 1;
        let since = *self.stalled.get_or_insert(self.now);
        if self.now.since(since) < STALL_MS || self.stalled_passes < MIN_STALLED_PASSES {
            return Next::Yield;
        }
        self.reset();
        self.is_renewed = !self.is_renewed;
        if self.is_renewed {
            Next::Renew
        } else {
            Next::Close
        }
    }

    fn reset(&mut self) {
        self.stalled = None;
        self.stalled_passes = 0;
    }
}
