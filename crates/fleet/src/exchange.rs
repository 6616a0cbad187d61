//! When a host exchanges its list of quarantined prompt parts with another one.
//!
//! A list may be too long for a datagram. Hosts whose digests differ exchange the lists over TCP. Two hosts may also
//! differ for good, for example because their clocks run at different rates, and must not exchange their lists all the
//! time.

use primrose_base::clock::Time;

/// Time between the first two exchanges with the same host about the same lists, in ms. Doubles with each further one.
const MIN_INTERVAL_MS: u64 = 500;

const MAX_INTERVAL_MS: u64 = 8_000;

/// The exchanges with one other host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    is_running: bool,
    /// The digests of both hosts at the latest exchange.
    digests: (u64, u64),
    interval_ms: u64,
    next: Time,
}

impl Schedule {
    /// Whether to begin an exchange now. The caller calls [`Schedule::end`] at its end.
    pub fn begin(&mut self, now: Time, own: u64, other: u64) -> bool {
        if own == other || self.is_running {
            return false;
        }
        if self.digests != (own, other) {
            self.digests = (own, other);
            self.interval_ms = MIN_INTERVAL_MS;
        } else if now < self.next {
            return false;
        } else {
            self.interval_ms = (self.interval_ms * 2).min(MAX_INTERVAL_MS);
        }
        self.next = now.plus_ms(self.interval_ms);
        self.is_running = true;
        true
    }

    /// Records that the exchange has ended or failed.
    pub fn end(&mut self) {
        self.is_running = false;
    }
}
