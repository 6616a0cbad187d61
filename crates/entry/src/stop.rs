//! The planned stop of this host, as its requests see it.

use primrose_base::clock::Time;
use primrose_base::stop::Grace;
use tokio::sync::watch;

/// The name of the counter for an answer that the stop broke off.
pub(crate) const INTERRUPTED: &str = "stop_interrupted";

/// Tells requests when the host was asked to stop and when it ends.
#[derive(Debug)]
pub(crate) struct Stop {
    /// `None` until the host is asked to stop; it does not change after that.
    grace: watch::Sender<Option<Grace>>,
}

impl Stop {
    pub(crate) fn new() -> Stop {
        Stop {
            grace: watch::Sender::new(None),
        }
    }

    /// Begins the stop. Only the first call has an effect.
    pub(crate) fn begin(&self, grace: Grace) {
        self.grace.send_if_modified(|current| {
            let is_first = current.is_none();
            current.get_or_insert(grace);
            is_first
        });
    }

    /// Time since the host was asked to stop in ms; `None` if it was asked later than `at` or not at all.
    pub(crate) fn elapsed_ms(&self, at: Time) -> Option<u64> {
        let grace = (*self.grace.borrow())?;
        (at >= grace.asked()).then(|| at.since(grace.asked()))
    }

    /// Whether the grace period is over, so that what ends now is ended by the process.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.grace.borrow().is_some_and(|grace| grace.end() <= now)
    }
}
