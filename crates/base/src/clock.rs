//! Monotonic time in milliseconds, which also passes while the machine is suspended.
//!
//! The crates with the decision logic never read a clock: the caller passes in a [`Time`], so that tests and
//! experiments control it.

use std::sync::OnceLock;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in monotonic time, in milliseconds since an origin that differs between processes.
///
/// Values of different processes must not be compared with each other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The origin. [`Time::now`] never returns it, so it can stand for "never".
    pub const ZERO: Time = Time(0);

    /// Reads the monotonic clock of this process. It counts the time for which the machine was suspended: ages and the
    /// silence of other hosts must not seem shorter than they are.
    pub fn now() -> Time {
        static ORIGIN: OnceLock<u64> = OnceLock::new();
        let now = since_boot_ms();
        let origin = *ORIGIN.get_or_init(|| now);
        // Adding one ensures that no reading equals `ZERO`, which callers use for "never".
        Time(now.saturating_sub(origin) + 1)
    }

    /// The time `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> Time {
        Time(ms)
    }

    /// Milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// The time `ms` milliseconds later; saturates at the greatest value.
    pub const fn plus_ms(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms))
    }

    /// Milliseconds since `earlier`, or 0 if `earlier` is later than `self`.
    pub const fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The time from `now` until `self`, or zero if it has passed.
    pub const fn until(self, now: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(now.0))
    }
}

/// Time since the machine was started, in ms.
fn since_boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
