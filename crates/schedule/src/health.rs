//! Back-off for backend servers that cannot be reached.
//!
//! An owner stops leasing the slots of a server that refuses connections. After a back-off, which doubles with every
//! failed attempt, the owner tries the server again with one slot.

use primrose_base::clock::Time;
use primrose_base::id;

/// Back-off after the first failure, in ms.
pub const INITIAL_BACKOFF_MS: u64 = 1_000;

/// Longest back-off, in ms. A server that works again waits at most this long for its first request.
pub const MAX_BACKOFF_MS: u64 = 16_000;

/// The servers that failed and have not served a request since, as their owner knows.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Sorted by server.
    failed: Vec<Failed>,
}

#[derive(Clone, Copy, Debug)]
struct Failed {
    server: id::Server,
    backoff_ms: u64,
    retry_at: Time,
}

impl Health {
    /// Records that a request could not be started on the server.
    ///
    /// Failures during a back-off come from requests that were dispatched before it started, and do not extend it.
    pub fn record_failure(&mut self, server: id::Server, now: Time) {
        match self.position(server) {
            Ok(at) => {
                let failed = &mut self.failed[at];
                if now >= failed.retry_at {
                    failed.backoff_ms = (failed.backoff_ms * 2).min(MAX_BACKOFF_MS);
                    failed.retry_at = now.plus_ms(failed.backoff_ms);
                }
            }
            Err(at) => {
                let retry_at = now.plus_ms(INITIAL_BACKOFF_MS);
                let failed = Failed {
                    server,
                    backoff_ms: INITIAL_BACKOFF_MS,
                    retry_at,
                };
                self.failed.insert(at, failed);
            }
        }
    }

    /// Records that the server has served a request, which ends its back-off. Returns whether the server had failed
    /// before.
    pub fn record_success(&mut self, server: id::Server) -> bool {
        let position = self.position(server);
        if let Ok(at) = position {
            self.failed.remove(at);
        }
        position.is_ok()
    }

    /// Returns how many of `slots` may be leased: none during a back-off, after it one until a request succeeds, then
    /// all.
    pub fn limit(&self, server: id::Server, slots: u32, now: Time) -> u32 {
        match self.position(server) {
            Err(_) => slots,
            Ok(at) if now < self.failed[at].retry_at => 0,
            Ok(_) => slots.min(1),
        }
    }

    /// Whether no request may be sent to the server because its back-off has not ended.
    pub fn is_backing_off(&self, server: id::Server, now: Time) -> bool {
        self.limit(server, 1, now) == 0
    }

    /// Returns the earliest time after `now` at which the back-off of a server ends.
    pub fn next_retry(&self, now: Time) -> Option<Time> {
        let ends = self.failed.iter().map(|failed| failed.retry_at);
        ends.filter(|end| *end > now).min()
    }

    fn position(&self, server: id::Server) -> Result<usize, usize> {
        self.failed
            .binary_search_by_key(&server, |failed| failed.server)
    }
}
