//! The health of servers, as their requests show it.
//!
//! Active health checks cost capacity, and they can both miss a failing server and reject a working
//! one. Health is therefore derived from the outcomes of requests. If a host cannot connect to a
//! server, all hosts in that host's failure domain send nothing to the server for a back-off
//! period. A server that fails more requests than the others of its pool is chosen less often.

use std::sync::Arc;

use primrose_base::clock::Time;

/// Back-off after the first failed connection, in ms: a few times the round trip between failure
/// domains, so that a restarted server is used again soon.
const INITIAL_BACKOFF_MS: u64 = 300;

/// The longest back-off, in ms: network partitions and restarts are over within seconds.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Weight of one request in the moving average of failures: about the last ten requests count.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// How long an unmeasured server counts as possibly hanging after a request to it was cancelled, in ms: as the longest
/// back-off. The placer cannot distinguish a server that hangs from a caller that disconnects.
const CANCELLED_MS: u64 = 4_000;

/// The health of one server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// One for each failure domain whose hosts have received no answer since one of them could not
    /// connect; sorted by domain.
    backoffs: Vec<Backoff>,
    /// Until when the server counts as full, after it refused a request because it was full.
    full_until: Time,
    /// Until when a cancelled request counts as a sign that the server hangs.
    cancelled_until: Time,
    /// Share of recent requests that failed, from 0 to 1.
    failure_rate: f64,
}

#[derive(Clone, Debug)]
struct Backoff {
    domain: Arc<str>,
    until: Time,
    length_ms: u64,
}

impl Health {
    /// Whether hosts of the failure domain `domain` should send no requests to the server at
    /// present.
    pub fn is_unavailable(&self, now: Time, domain: &str) -> bool {
        self.is_unreachable(now, domain) || self.is_full(now)
    }

    /// Whether hosts of `domain` wait before they try to connect again.
    pub fn is_unreachable(&self, now: Time, domain: &str) -> bool {
        self.position(domain)
            .is_ok_and(|at| now < self.backoffs[at].until)
    }

    /// Whether the server refused a request as full a short time ago.
    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// Whether a request to the server was cancelled a short time ago.
    pub fn is_cancelled(&self, now: Time) -> bool {
        now < self.cancelled_until
    }

    /// Whether hosts of `domain` have received no answer since one of them could not connect.
    pub fn has_backoff(&self, domain: &str) -> bool {
        self.position(domain).is_ok()
    }

    /// Share of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records that a host of `domain` could not connect, and starts a back-off or doubles its
    /// length.
    pub fn record_unreachable(&mut self, now: Time, domain: &Arc<str>) {
        match self.position(domain) {
            Ok(at) => {
                let backoff = &mut self.backoffs[at];
                // Requests that were sent before the back-off began fail together and count once.
                if now >= backoff.until {
                    backoff.length_ms = (backoff.length_ms * 2).min(MAX_BACKOFF_MS);
                    backoff.until = now.plus_ms(backoff.length_ms);
                }
            }
            Err(at) => {
                let backoff = Backoff {
                    domain: Arc::clone(domain),
                    until: now.plus_ms(INITIAL_BACKOFF_MS),
                    length_ms: INITIAL_BACKOFF_MS,
                };
                self.backoffs.insert(at, backoff);
            }
        }
    }

    /// Records that the server refused a request because it is full: no host sends it requests for
    /// `backoff_ms`.
    pub fn record_full(&mut self, now: Time, backoff_ms: u64) {
        self.full_until = now.plus_ms(backoff_ms);
    }

    /// Records that a request ended without an answer, because its caller disconnected or its deadline passed.
    pub fn record_cancelled(&mut self, now: Time) {
        self.cancelled_until = now.plus_ms(CANCELLED_MS);
    }

    /// Records an answer to a host of `domain`, which ends the back-off of that domain.
    pub fn record_answer(&mut self, domain: &str, failed: bool) {
        if let Ok(at) = self.position(domain) {
            self.backoffs.remove(at);
        }
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_RATE_WEIGHT * (sample - self.failure_rate);
    }

    fn position(&self, domain: &str) -> Result<usize, usize> {
        self.backoffs
            .binary_search_by(|backoff| (*backoff.domain).cmp(domain))
    }
}
