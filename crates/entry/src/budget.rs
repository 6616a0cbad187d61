//! The part of the fleet's retry budget that one entry host may use.
//!
//! In an outage retries add to the load that caused it, so the fleet may repeat only a part of its requests. The hosts do
//! not agree on each retry: each one may repeat a part of its own requests and has an even share of what is allowed
//! besides.

use std::sync::Arc;

use primrose_base::clock::Time;

/// Part of the allowance that is used: windows slide and hosts come and go.
const MARGIN: f64 = 0.8;

/// Settings of the budget of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries of the fleet in a window that are allowed besides.
    pub slack: f64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

/// The budgets of one host, one for each pool.
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
    /// A budget that nothing has been taken from.
    pub fn new(settings: Settings) -> Budget {
        Budget {
            settings,
            pools: Vec::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Time, pool: &Arc<str>) {
        self.window(now, pool).requests.push(now);
    }

    /// Takes a retry out of the budget if there is one left. `hosts` is the number of entry hosts that share it.
    pub fn take(&mut self, now: Time, pool: &Arc<str>, hosts: u32) -> bool {
        let Settings { ratio, slack, .. } = self.settings;
        let window = self.window(now, pool);
        let share = slack / f64::from(hosts.max(1));
        let allowed = (window.requests.len() as f64 * ratio + share) * MARGIN;
        let is_left = (window.retries.len() + 1) as f64 <= allowed;
        if is_left {
            window.retries.push(now);
        }
        is_left
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
            // Moving the rest costs as much as it holds, so it is done for many at once.
            if old > 64 || old == times.len() {
                times.drain(..old);
            }
        }
        window
    }
}
