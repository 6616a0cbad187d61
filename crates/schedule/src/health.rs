//! Which backend servers do not answer.
//!
//! An owner stops lending the slots of a server that refuses connections and tries it again with one slot after a pause
//! that doubles with every failed try.

use primrose_base::clock::Time;
use primrose_base::id;

/// Pause after the first failure, in ms.
pub const FIRST_PAUSE_MS: u64 = 1_000;

/// Longest pause, in ms; a server that comes back waits at most this long for its first request.
pub const LONGEST_PAUSE_MS: u64 = 16_000;

/// The servers that failed and have not served a request since.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Sorted by server.
    failed: Vec<Failed>,
}

#[derive(Clone, Copy, Debug)]
struct Failed {
    server: id::Server,
    pause_ms: u64,
    retry_at: Time,
}

impl Health {
    /// A request could not be started on the server.
    ///
    /// Failures during a pause come from requests that were already on their way and do not prolong it.
    pub fn failed(&mut self, server: id::Server, now: Time) {
        match self.position(server) {
            Ok(at) => {
                let failed = &mut self.failed[at];
                if now >= failed.retry_at {
                    failed.pause_ms = (failed.pause_ms * 2).min(LONGEST_PAUSE_MS);
                    failed.retry_at = now.plus_ms(failed.pause_ms);
                }
            }
            Err(at) => {
                let retry_at = now.plus_ms(FIRST_PAUSE_MS);
                let failed = Failed {
                    server,
                    pause_ms: FIRST_PAUSE_MS,
                    retry_at,
                };
                self.failed.insert(at, failed);
            }
        }
    }

    /// The server has served a request. Returns whether it had failed before.
    pub fn served(&mut self, server: id::Server) -> bool {
        let position = self.position(server);
        if let Ok(at) = position {
            self.failed.remove(at);
        }
        position.is_ok()
    }

    /// How many of `slots` may be lent: none during a pause, one until a request succeeds, then all.
    pub fn limit(&self, server: id::Server, slots: u32, now: Time) -> u32 {
        match self.position(server) {
            Err(_) => slots,
            Ok(at) if now < self.failed[at].retry_at => 0,
            Ok(_) => slots.min(1),
        }
    }

    /// Whether the server is in a pause.
    pub fn is_paused(&self, server: id::Server, now: Time) -> bool {
        self.limit(server, 1, now) == 0
    }

    /// The next time at which a pause ends.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let ends = self.failed.iter().map(|failed| failed.retry_at);
        ends.filter(|end| *end > now).min()
    }

    fn position(&self, server: id::Server) -> Result<usize, usize> {
        self.failed
            .binary_search_by_key(&server, |failed| failed.server)
    }
}
