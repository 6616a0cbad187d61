//! The planned stop of this host, as its requests see it: which of them are still passed on, and until when each of them
//! is worked on.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use primrose_base::clock::Time;
use primrose_base::stop::{Grace, History};
use primrose_route::Table;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The code of an answer that the stop broke off.
pub(crate) const INTERRUPTED: &str = "stop_interrupted";

/// Tells requests when the host was asked to stop and when it ends.
#[derive(Debug)]
pub(crate) struct Plan {
    /// `None` until the host is asked to stop; it does not change after that.
    grace: watch::Sender<Option<Grace>>,
    /// How long the latest requests lasted that a server may have run.
    durations: Mutex<History>,
    /// Version of the document whose routes were kept last.
    version: AtomicU64,
}

impl Plan {
    pub(crate) fn new() -> Plan {
        Plan {
            grace: watch::Sender::new(None),
            durations: Mutex::default(),
            version: AtomicU64::new(0),
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

    /// Whether a request of `route` with this limit may be passed on now.
    pub(crate) fn admits(&self, route: &str, limit: &Limit) -> bool {
        let Some(grace) = *self.grace.borrow() else {
            return true;
        };
        let longest_ms = self.durations().longest_ms(route);
        grace.admits(Time::now(), limit.deadline, longest_ms)
    }

    /// Records that a request of `route` that a server may have run lasted `ms` milliseconds.
    pub(crate) fn record_duration(&self, route: &Arc<str>, ms: u64) {
        self.durations().record(route, ms);
    }

    /// Forgets the durations of routes that a newer table does not have.
    pub(crate) fn forget_other_routes(&self, table: &Table) {
        let document = table.document();
        if self.version.swap(document.version, Ordering::Relaxed) == document.version {
            return;
        }
        let routes = document.routes.iter();
        let mut names: Vec<&str> = routes.map(|route| &*route.name).collect();
        names.sort_unstable();
        self.durations()
            .retain(|route| names.binary_search(&route).is_ok());
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

    /// The limit of a request that arrived at `arrived` and whose own time ends at `deadline`.
    pub(crate) fn limit(&self, arrived: Time, deadline: Time, may_run_twice: bool) -> Limit {
        Limit {
            arrived,
            deadline,
            may_run_twice,
            has_begun: false,
            grace: self.grace.subscribe(),
        }
    }

    fn durations(&self) -> MutexGuard<'_, History> {
        // Nothing can panic between two changes, so the value is valid even after a panic.
        self.durations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Until when the host works on a request: its own time or, during a stop, the time at which the caller must have an
/// answer.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    arrived: Time,
    /// The end of the caller's deadline or of the route's timeout, whichever comes first.
    deadline: Time,
    may_run_twice: bool,
    /// Whether a part of the answer was passed on, so that nothing else can be answered.
    has_begun: bool,
    grace: watch::Receiver<Option<Grace>>,
}

impl Limit {
    /// Records that a part of the answer was passed on.
    pub(crate) fn begin(&mut self) {
        self.has_begun = true;
    }

    pub(crate) const fn has_begun(&self) -> bool {
        self.has_begun
    }

    pub(crate) fn has_passed(&self) -> bool {
        self.end() <= Time::now()
    }

    /// Whether the limit, once it has passed, is that of a stop: the request has time left.
    pub(crate) fn is_stop(&self) -> bool {
        self.grace.borrow().is_some() && Time::now() < self.deadline
    }

    /// Time in ms until the host no longer waits for a server, whatever the server has sent by then.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let end = self.grace.borrow().map(|grace| grace.break_off());
        let end = end.map_or(self.deadline, |end| end.min(self.deadline));
        end.since(Time::now())
    }

    /// Waits until the limit has passed, which a stop that begins meanwhile makes earlier.
    pub(crate) async fn passed(&self) {
        let mut grace = self.grace.clone();
        tokio::select! {
            biased;
            // Without a sender, no stop begins any more.
            Ok(_) = grace.wait_for(Option::is_some) => {}
            () = sleep_until(instant(self.deadline)) => return,
        }
        sleep_until(instant(self.end())).await;
    }

    fn end(&self) -> Time {
        match *self.grace.borrow() {
            None => self.deadline,
            Some(grace) if self.has_begun => grace.break_off().min(self.deadline),
            Some(grace) => grace.give_up(self.arrived, self.deadline, self.may_run_twice),
        }
    }
}

fn instant(time: Time) -> Instant {
    let now = Time::now();
    Instant::now() + time.until(now)
}
