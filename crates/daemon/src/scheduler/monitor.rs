//! Latencies and failures of backend servers, as hosts measure them and send them to owners, and the slot limits and
//! back-offs that are derived from them.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::verdict::Verdict;
use primrose_proxy::dispatch::End;
use primrose_schedule::health::Health;
use primrose_schedule::limit::{self, Limit, SLOW_FIRST_MS, Sample};
use primrose_wire::peer::Latency;

/// Interval at which the measurements are sent to the owners.
const INTERVAL_MS: u64 = 1_000;

/// Measurements and back-offs of the servers that this host uses, and the slot limits of the servers that it owns.
#[derive(Debug, Default)]
pub(super) struct Monitor {
    /// Measurements that this host has made since it last sent any, sorted by server.
    servers: Vec<Latency>,
    health: Health,
    /// Slot limits of the servers in the failure domain of this host, sorted by server.
    limits: Vec<ServerLimit>,
    next_send: Time,
    /// Whether a slot limit or a back-off has changed since the last call of [`Monitor::take_change`].
    has_changed: bool,
    /// When the first back-off ends, as of the last call of [`Monitor::take_change`].
    next_retry_at: Option<Time>,
}

/// The slot limit of one server.
#[derive(Debug)]
struct ServerLimit {
    server: id::Server,
    /// The configured number of slots, with which the limit started.
    configured: u32,
    limit: Limit,
}

impl Monitor {
    /// Records the end of a request.
    pub(super) fn record(&mut self, server: id::Server, end: &End, now: Time) {
        let latency = self.latency(server);
        if let Some(first_token_ms) = end.usage.first_token_ms {
            latency.first_tokens += 1;
            latency.slow_first_tokens += u32::from(first_token_ms > SLOW_FIRST_MS);
        }
        latency.gaps += end.usage.gaps;
        latency.slow_gaps += end.usage.slow_gaps;
        match end.verdict {
            _ if end.unanswered => {
                latency.failures += 1;
                self.record_failure(server, now);
                // The failure is reported to the owner at once, so that other hosts do not try the server in the
                // meantime.
                self.next_send = now;
            }
            Verdict::Complete => self.record_success(server),
            Verdict::NotRun | Verdict::MayHaveRun => {}
        }
    }

    /// Adds the measurements that one host made on a server of this failure domain. `configured` is the configured
    /// number of slots, with which the limit starts, and `busy` the number of slots that are leased now.
    pub(super) fn merge(&mut self, latency: &Latency, configured: u32, busy: u32, now: Time) {
        if latency.failures > 0 {
            self.record_failure(latency.server, now);
        } else if latency.first_tokens > 0 {
            self.record_success(latency.server);
        }
        let sample = Sample {
            gaps: u64::from(latency.gaps),
            slow_gaps: u64::from(latency.slow_gaps),
            firsts: u64::from(latency.first_tokens),
            slow_firsts: u64::from(latency.slow_first_tokens),
        };
        let server_limit = self.server_limit(latency.server, configured, now);
        server_limit.limit.record(now, &sample, busy);
        self.has_changed |= server_limit.limit.evaluate(now).is_some();
    }

    /// Returns how many slots of the server may be leased if `configured` slots are configured.
    pub(super) fn limit(&self, server: id::Server, configured: u32, now: Time) -> u32 {
        let position = self
            .limits
            .binary_search_by_key(&server, |server_limit| server_limit.server);
        let slots = position.map_or(configured, |at| self.limits[at].limit.slots());
        self.health.limit(server, slots, now)
    }

    /// Whether the server is in a back-off, so that no request may be sent to it.
    pub(super) fn is_backing_off(&self, server: id::Server, now: Time) -> bool {
        self.health.is_backing_off(server, now)
    }

    /// Whether a slot limit or a back-off has changed since the last call.
    pub(super) fn take_change(&mut self, now: Time) -> bool {
        let has_ended = self.next_retry_at.is_some_and(|end| end <= now);
        self.next_retry_at = self.health.next_retry(now);
        std::mem::take(&mut self.has_changed) || has_ended
    }

    /// Returns the measurements to send to the owners and resets them, or `None` if they are not due yet.
    pub(super) fn take_due(&mut self, now: Time) -> Option<Vec<Latency>> {
        if now < self.next_send || self.servers.is_empty() {
            return None;
        }
        self.next_send = now.plus_ms(INTERVAL_MS);
        Some(std::mem::take(&mut self.servers))
    }

    /// Returns the time at which the task must wake up if no event occurs before.
    pub(super) fn next_wake(&self, now: Time) -> Time {
        let mut wake = now.plus_ms(INTERVAL_MS);
        if !self.servers.is_empty() {
            wake = wake.min(self.next_send);
        }
        self.next_retry_at.map_or(wake, |end| wake.min(end))
    }

    fn record_failure(&mut self, server: id::Server, now: Time) {
        self.health.record_failure(server, now);
        self.has_changed = true;
    }

    fn record_success(&mut self, server: id::Server) {
        // Most servers have had no failure, so most calls change nothing.
        self.has_changed |= self.health.record_success(server);
    }

    /// Returns the limit of a server. The limit starts again when the configured number of slots changes.
    fn server_limit(&mut self, server: id::Server, configured: u32, now: Time) -> &mut ServerLimit {
        let fresh = || ServerLimit {
            server,
            configured,
            limit: Limit::new(configured, limit::Settings::default(), now),
        };
        let at = match self
            .limits
            .binary_search_by_key(&server, |server_limit| server_limit.server)
        {
            Ok(at) => at,
            Err(at) => {
                self.limits.insert(at, fresh());
                at
            }
        };
        if self.limits[at].configured != configured {
            self.limits[at] = fresh();
        }
        &mut self.limits[at]
    }

    fn latency(&mut self, server: id::Server) -> &mut Latency {
        let at = self
            .servers
            .binary_search_by_key(&server, |latency| latency.server)
            .unwrap_or_else(|at| {
                self.servers.insert(
                    at,
                    Latency {
                        server,
                        ..Latency::default()
                    },
                );
                at
            });
        &mut self.servers[at]
    }
}
