//! The time that the log leader writes into commands.

use primrose_base::clock::Time;

/// Continues the time of the state machine on the monotonic clock of the log leader.
///
/// Wall-clock time is not used: a leader whose clock is a day ahead would end all claims at once, and a request could
/// run twice. This time may lag behind real time (nothing counts while there is no leader), so a retention lasts at
/// least as long as it says.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base_ms: u64,
    started: Time,
}

impl Clock {
    /// Starts at the election of the leader. `base_ms` is [`crate::Machine::now_ms`] at that time.
    pub fn new(base_ms: u64, started: Time) -> Clock {
        Clock { base_ms, started }
    }

    /// The value of the field `at` of a command that is proposed at `now`, in milliseconds.
    pub fn at(&self, now: Time) -> u64 {
        self.base_ms.saturating_add(now.since(self.started))
    }
}
