//! The part of the fleet's retry budget that one entry host may use.
//!
//! During an outage, retries add to the load that caused it. The fleet may therefore retry only a limited fraction of
//! its requests. The hosts do not coordinate each retry: each host may retry a fraction of its own requests, and it
//! gets an even share of a fixed number of extra retries.

use std::sync::Arc;

use primrose_base::clock::Time;

/// The fraction of the allowed retries that is used. The rest is a margin, since the windows of different hosts do
/// not coincide and the number of hosts changes.
const USED_FRACTION: f64 = 0.8;

/// Settings of the retry budget of the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries that the whole fleet may make per window in addition.
    pub slack: f64,
    /// Length of the sliding window in which requests and retries count, in ms.
    pub window_ms: u64,
}

/// The retry budgets of one host, one for each pool.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    /// Sorted by pool.
    pools: Vec<Window>,
}

#[derive(Debug)]
struct Window {
    pool: Arc<str>,
    /// Times of requests, oldest first.
    requests: Vec<Time>,
    /// Times of retries, oldest first.
    retries: Vec<Time>,
}

impl Budget {
    /// Creates a budget without any requests or retries.
    pub fn new(settings: Settings) -> Budget {
        Budget {
            settings,
            pools: Vec::new(),
        }
    }

    /// Counts a request to the pool, which increases its budget.
    pub fn record_request(&mut self, now: Time, pool: &Arc<str>) {
        self.window(now, pool).requests.push(now);
    }

    /// Takes a retry out of the pool's budget if one is left, and returns whether one was left. `entry_hosts` is the
    /// number of entry hosts that share the budget.
    pub fn take_retry(&mut self, now: Time, pool: &Arc<str>, entry_hosts: u32) -> bool {
        let Settings { ratio, slack, .. } = self.settings;
        let window = self.window(now, pool);
        let share = slack / f64::from(entry_hosts.max(1));
        let allowed = (window.requests.len() as f64 * ratio + share) * USED_FRACTION;
        let is_allowed = (window.retries.len() + 1) as f64 <= allowed;
        if is_allowed {
            window.retries.push(now);
        }
        is_allowed
    }

    fn window(&mut self, now: Time, pool: &Arc<str>) -> &mut Window {
        let at = self
            .pools
            .binary_search_by(|window| window.pool.cmp(pool))
            .unwrap_or_else(|at| {
                let window = Window {
                    pool: Arc::clone(pool),
                    requests: Vec::new(),
                    retries: Vec::new(),
                };
                self.pools.insert(at, window);
                at
            });
        let length = self.settings.window_ms;
        let window = &mut self.pools[at];
        for times in [&mut window.requests, &mut window.retries] {
            let old = times.partition_point(|time| now.since(*time) >= length);
            // Removing entries moves all that remain, so it is done for many at once. Until then, up to 64 entries
            // that are older than the window still count.
            if old > 64 || old == times.len() {
                times.drain(..old);
            }
        }
        window
    }
}
