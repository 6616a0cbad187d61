//! Servers that fail.
//!
//! Health checks cost capacity and may be wrong either way, so health follows from what requests see: a server that
//! cannot be reached is left alone for a while by the hosts of the failure domain that cannot reach it, and one that
//! fails requests more often than the others of its pool is chosen less.

use std::sync::Arc;

use primrose_base::clock::Time;

/// The first pause after a failed connection, in ms; a few times the round trip between failure domains, so that a
/// restart is noticed soon.
const FIRST_PAUSE_MS: u64 = 300;

/// The longest pause, in ms; a cut or a restart is over within seconds.
const MAX_PAUSE_MS: u64 = 4_000;

/// Weight of one request in the failure rate: about the last ten requests count.
const RATE_WEIGHT: f64 = 0.1;

/// What is known about one server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// One for each failure domain from which the server could not be reached; sorted by domain.
    pauses: Vec<Pause>,
    /// Until when the server is full, by its own word.
    full_until: Time,
    /// Share of recent requests that failed.
    rate: f64,
}

#[derive(Clone, Debug)]
struct Pause {
    domain: Arc<str>,
    until: Time,
    length_ms: u64,
}

impl Health {
    /// Whether hosts of `domain` should leave the server alone.
    pub fn is_paused(&self, now: Time, domain: &str) -> bool {
        let unreachable = self
            .position(domain)
            .is_ok_and(|at| now < self.pauses[at].until);
        unreachable || now < self.full_until
    }

    /// Share of recent requests that failed.
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }

    /// Records that a host of `domain` could not connect.
    pub fn unreachable(&mut self, now: Time, domain: &Arc<str>) {
        match self.position(domain) {
            Ok(at) => {
                let pause = &mut self.pauses[at];
                // Requests that were already on their way fail together and count once.
                if now >= pause.until {
                    pause.length_ms = (pause.length_ms * 2).min(MAX_PAUSE_MS);
                    pause.until = now.plus_ms(pause.length_ms);
                }
            }
            Err(at) => {
                let pause = Pause {
                    domain: Arc::clone(domain),
                    until: now.plus_ms(FIRST_PAUSE_MS),
                    length_ms: FIRST_PAUSE_MS,
                };
                self.pauses.insert(at, pause);
            }
        }
    }

    /// Records that the server refused a request because it is full.
    pub fn full(&mut self, now: Time, pause_ms: u64) {
        self.full_until = now.plus_ms(pause_ms);
    }

    /// Records an answer to a host of `domain`.
    pub fn answered(&mut self, domain: &str, failed: bool) {
        if let Ok(at) = self.position(domain) {
            self.pauses.remove(at);
        }
        let sample = if failed { 1.0 } else { 0.0 };
        self.rate += RATE_WEIGHT * (sample - self.rate);
    }

    fn position(&self, domain: &str) -> Result<usize, usize> {
        self.pauses
            .binary_search_by(|pause| (*pause.domain).cmp(domain))
    }
}
