//! When an entry host announces itself to the core hosts.
//!
//! Load pattern: every process of the fleet is restarted at the same time, within 0.3 s, and callers are refused until
//! this host has a document and a directory. A core host tells its entry hosts at once what has changed, but it does
//! not know those that announced themselves before it was there. While it cannot serve, a host that has just started
//! therefore announces itself more often.

use primrose_base::clock::Time;

/// Interval between announcements, in ms.
const INTERVAL_MS: u64 = 250;

/// That interval while a host that has just started cannot serve, in ms. 195 hosts then cost a core host some 5,000
/// short datagrams a second, for as long as the start takes.
const START_INTERVAL_MS: u64 = 40;

/// How long a host counts as just started, in ms: well above the 0.3 s within which processes start together.
pub const START_MS: u64 = 1_500;

/// The times of the announcements of one entry host.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    started: Time,
}

impl Schedule {
    /// Creates the schedule of a host that started at `started`. The first announcement is due at once.
    pub fn new(started: Time) -> Schedule {
        Schedule { started }
    }

    /// Whether the host has started within the last [`START_MS`].
    pub fn is_starting(&self, now: Time) -> bool {
        now.since(self.started) < START_MS
    }

    /// Time from the announcement made at `now` until the next one, in ms.
    pub fn interval_ms(&self, now: Time, can_serve: bool) -> u64 {
        if self.is_starting(now) && !can_serve {
            START_INTERVAL_MS
        } else {
            INTERVAL_MS
        }
    }
}
