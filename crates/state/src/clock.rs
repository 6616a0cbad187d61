//! The time that the log leader writes into commands, by which claims expire.

use primrose_base::clock::Time;

/// Continues the time of the state machine with the monotonic clock of the log leader.
///
/// Wall-clock time is not used, because with a leader whose clock is a day ahead all claims would expire at once, and
/// a request could run twice. This time may lag behind real time, because it stands still while there is no leader.
/// So claims are retained for at least the configured time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base_ms: u64,
    started: Time,
}

impl Clock {
    /// Creates the clock of a leader that was elected at `started`, when [`crate::Machine::now_ms`] was `base_ms`.
    pub fn new(base_ms: u64, started: Time) -> Clock {
        Clock { base_ms, started }
    }

    /// The time to write into a command that is proposed at `now`, in milliseconds.
    pub fn time_ms(&self, now: Time) -> u64 {
        self.base_ms.saturating_add(now.since(self.started))
    }
}
