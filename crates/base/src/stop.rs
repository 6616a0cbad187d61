//! What a host does with requests during a planned stop.
//!
//! Load pattern: callers keep arriving for a while after a host was asked to stop, and the host is killed at the end of
//! its grace period. Most requests are short, and passing them on serves their callers best. A request that could last
//! longer than the grace period is refused before a server has it, since another host can serve it. A request that is
//! not answered in time gets an answer that says so, and one that may run twice gets it while its caller still has time
//! to send it elsewhere.

use std::sync::Arc;

use crate::clock::Time;

/// Answers are written this long before the host ends, in ms, so that they reach their callers on a busy host.
const ANSWER_MARGIN_MS: u64 = 300;

/// Answers that have begun are broken off this long before the host ends, in ms, so that their ends are logged.
const BREAK_MARGIN_MS: u64 = 100;

/// A stopping host accepts connections until none has arrived for this long, in ms: a load balancer still sends callers to
/// it if most hosts of a failure domain stop, and a caller whose connection is refused has no answer.
const QUIET_MS: u64 = 1_000;

/// Up to this time after the stop was asked for, in ms, a load balancer may not have noticed it, so many requests arrive,
/// and one is taken to last as long as the longest of the latest ones. Later requests are few, and a refusal costs their
/// callers less than an answer that is broken off, so they are taken to last until their deadlines.
const EARLY_MS: u64 = 2_500;

/// Number of durations of a route that are kept.
const KEPT_DURATIONS: usize = 64;

/// The grace period of a host that was asked to stop. Invariant: `asked` is not later than `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    /// When the host was asked to stop.
    asked: Time,
    /// When the host ends whatever is still open.
    end: Time,
}

impl Grace {
    /// A stop that was asked for at `now` and ends `ms` milliseconds later.
    pub const fn new(now: Time, ms: u64) -> Grace {
        Grace {
            asked: now,
            end: now.plus_ms(ms),
        }
    }

    /// When the host was asked to stop.
    pub const fn asked(&self) -> Time {
        self.asked
    }

    /// When the host ends whatever is still open.
    pub const fn end(&self) -> Time {
        self.end
    }

    /// When the last requests without an answer get one from the host.
    pub fn answer_by(&self) -> Time {
        self.before_end(ANSWER_MARGIN_MS)
    }

    /// When answers of which a part was passed on are broken off.
    pub fn break_off(&self) -> Time {
        self.before_end(BREAK_MARGIN_MS)
    }

    fn before_end(&self, ms: u64) -> Time {
        Time::from_ms(self.end.as_ms().saturating_sub(ms)).max(self.asked)
    }

    /// When the host stops accepting connections, if no further one arrives after `last_accepted`. It accepts them for
    /// `min_ms` at least, but not when it could not answer their requests any more.
    pub fn closing(&self, last_accepted: Time, min_ms: u64) -> Time {
        let first = self.asked.plus_ms(min_ms);
        last_accepted
            .plus_ms(QUIET_MS)
            .max(first)
            .min(self.answer_by())
    }

    /// Whether a request is passed on at `now`: only if it ends in time. `longest_ms` is how long the latest such requests
    /// lasted at most, or `None` if that is unknown. A request may last until its `deadline` if that is unknown or the
    /// stop was asked for more than [`EARLY_MS`] ago: earlier requests do not bound the length of this one.
    pub fn admits(&self, now: Time, deadline: Time, longest_ms: Option<u64>) -> bool {
        let is_early = now.since(self.asked) <= EARLY_MS;
        let lasts_ms = longest_ms.filter(|_| is_early);
        let expected = lasts_ms.map_or(deadline, |ms| now.plus_ms(ms).min(deadline));
        expected <= self.answer_by()
    }

    /// When a request that arrived at `arrived` and of whose answer nothing was passed on gets an answer from the host
    /// instead. It is the deadline of the request if that is in time. Otherwise a request that `may_run_twice` leaves
    /// its caller half of the time that was left, for sending it to another host. If such requests last `longest_ms` at
    /// most and this one then ends in time, it is waited for until then, and an eighth longer since the longest of the
    /// latest requests is no exact bound.
    pub fn give_up(
        &self,
        arrived: Time,
        deadline: Time,
        may_run_twice: bool,
        longest_ms: Option<u64>,
    ) -> Time {
        if deadline <= self.answer_by() {
            return deadline;
        }
        if !may_run_twice {
            return self.answer_by();
        }
        let since = arrived.max(self.asked);
        let half = since.plus_ms(deadline.since(since) / 2);
        let in_time = longest_ms.filter(|ms| arrived.plus_ms(*ms) <= self.answer_by());
        let expected = in_time.map_or(half, |ms| arrived.plus_ms(ms.saturating_add(ms / 8)));
        expected.max(half).min(self.answer_by())
    }
}

/// How long the latest requests of each route lasted, from their arrival to the end of their answer.
#[derive(Debug, Default)]
pub struct History {
    /// Sorted by route.
    routes: Vec<(Arc<str>, Durations)>,
}

/// The latest durations of one route in ms, at most [`KEPT_DURATIONS`].
#[derive(Debug, Default)]
struct Durations {
    kept: Vec<u64>,
    /// Where the next duration is put once all places are taken.
    next: usize,
}

impl History {
    /// Records that a request of `route` lasted `ms` milliseconds.
    pub fn record(&mut self, route: &Arc<str>, ms: u64) {
        let at = self
            .routes
            .binary_search_by(|(name, _)| name.cmp(route))
            .unwrap_or_else(|at| {
                self.routes
                    .insert(at, (Arc::clone(route), Durations::default()));
                at
            });
        let durations = &mut self.routes[at].1;
        if durations.kept.len() < KEPT_DURATIONS {
            durations.kept.push(ms);
        } else {
            durations.kept[durations.next] = ms;
            durations.next = (durations.next + 1) % KEPT_DURATIONS;
        }
    }

    /// The longest of the latest durations of a route in ms, or `None` if none was recorded.
    pub fn longest_ms(&self, route: &str) -> Option<u64> {
        let at = self
            .routes
            .binary_search_by(|(name, _)| (**name).cmp(route))
            .ok()?;
        self.routes[at].1.kept.iter().copied().max()
    }

    /// Forgets all routes that `is_known` does not hold for.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|(name, _)| is_known(name));
    }
}
