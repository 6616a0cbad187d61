//! Decides when a caller's connection is closed because nothing happens on it.
//!
//! Callers keep connections for a part of the limit that operators set, and send the next request whenever they have
//! one. A connection that is closed before the limit looks to them like a request that was lost, so a lower limit holds
//! only for connections that become idle after it came into force, and a higher one holds at once.

use std::sync::Arc;

use primrose_base::clock::Time;

/// Lower bound of the interval between two checks of a connection, in ms. Operators may set limits of 0.
const MIN_CHECK_INTERVAL_MS: u64 = 100;

/// Limits for connections on which nothing happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// How long a connection may stay idle between two requests, or before the first one, in ms.
    pub idle_ms: u64,
    /// Time from the first byte of a request head within which it must arrive, in ms.
    pub head_ms: u64,
}

/// Returns the limits in force.
pub type Source = Arc<dyn Fn() -> Timeouts + Send + Sync>;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// The next request.
    Idle {
        /// When the connection was opened or the last answer ended.
        since: Time,
        /// The limit that was in force at that time, in ms.
        limit_ms: u64,
    },
    /// The rest of a request head, of which the first bytes arrived at this time.
    Head(Time),
    /// The end of a request.
    Request,
}

impl Timeouts {
    /// When the connection is closed if nothing happens until then; `None` if it is not.
    pub fn due(&self, activity: Activity) -> Option<Time> {
        match activity {
            Activity::Idle { since, limit_ms } => Some(since.plus_ms(limit_ms.max(self.idle_ms))),
            Activity::Head(since) => Some(since.plus_ms(self.head_ms)),
            Activity::Request => None,
        }
    }

    /// When the connection is to be checked next. A head may begin to arrive at any time until then.
    pub fn next_check(&self, now: Time, activity: Activity) -> Time {
        let latest = now.plus_ms(self.head_ms.max(MIN_CHECK_INTERVAL_MS));
        self.due(activity).map_or(latest, |due| due.min(latest))
    }
}
