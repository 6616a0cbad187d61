//! How backend servers serve requests: the figures that hosts send to owners, and what owners derive from them.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::verdict::Verdict;
use primrose_proxy::dispatch::End;
use primrose_schedule::health::Health;
use primrose_schedule::limit::{self, Limit, SLOW_FIRST_MS, Sample};
use primrose_wire::peer::Latency;

/// Interval between two packets to the owners.
const INTERVAL_MS: u64 = 1_000;

/// Figures of all servers that this host uses.
#[derive(Debug, Default)]
pub(super) struct Paces {
    /// Since the last packet, sorted by server.
    servers: Vec<Latency>,
    health: Health,
    /// Slot limits of the servers of the own failure domain, sorted by server.
    engines: Vec<Engine>,
    next_send: Time,
    /// A server was paused or came back since the last look.
    has_changed: bool,
    /// When the earliest pause that was known at the last look ends.
    next_change: Option<Time>,
}

/// The slot limit of one server.
#[derive(Debug)]
struct Engine {
    server: id::Server,
    /// The slots of the configuration that the limit started from.
    configured: u32,
    limit: Limit,
}

impl Paces {
    /// Records the end of a request.
    pub(super) fn record(&mut self, server: id::Server, end: &End, now: Time) {
        let pace = self.pace(server);
        if let Some(first_token_ms) = end.usage.first_token_ms {
            pace.first_tokens += 1;
            pace.slow_first_tokens += u32::from(first_token_ms > SLOW_FIRST_MS);
        }
        pace.gaps += end.usage.gaps;
        pace.slow_gaps += end.usage.slow_gaps;
        match end.verdict {
            _ if end.unanswered => {
                pace.failures += 1;
                self.failed(server, now);
                // Other hosts should not try the server in the meantime.
                self.next_send = now;
            }
            Verdict::Complete => self.served(server),
            Verdict::NotRun | Verdict::MayHaveRun => {}
        }
    }

    /// Takes in the figures of one host about a server of the own failure domain. `configured` are the slots to start
    /// with, `busy` the slots that are leased now.
    pub(super) fn merge(&mut self, pace: &Latency, configured: u32, busy: u32, now: Time) {
        if pace.failures > 0 {
            self.failed(pace.server, now);
        } else if pace.first_tokens > 0 {
            self.served(pace.server);
        }
        let sample = Sample {
            gaps: u64::from(pace.gaps),
            slow_gaps: u64::from(pace.slow_gaps),
            firsts: u64::from(pace.first_tokens),
            slow_firsts: u64::from(pace.slow_first_tokens),
        };
        let engine = self.engine(pace.server, configured, now);
        engine.limit.record(now, &sample, busy);
        self.has_changed |= engine.limit.evaluate(now).is_some();
    }

    /// How many slots of the server may be leased, if `configured` are configured.
    pub(super) fn limit(&self, server: id::Server, configured: u32, now: Time) -> u32 {
        let position = self
            .engines
            .binary_search_by_key(&server, |engine| engine.server);
        let slots = position.map_or(configured, |at| self.engines[at].limit.slots());
        self.health.limit(server, slots, now)
    }

    /// Whether requests must not be sent to the server for now.
    pub(super) fn is_paused(&self, server: id::Server, now: Time) -> bool {
        self.health.is_backing_off(server, now)
    }

    /// Whether a server was paused or came back since the last call.
    pub(super) fn take_change(&mut self, now: Time) -> bool {
        let has_ended = self.next_change.is_some_and(|end| end <= now);
        self.next_change = self.health.next_retry(now);
        std::mem::take(&mut self.has_changed) || has_ended
    }

    /// The figures to send, if it is time.
    pub(super) fn due(&mut self, now: Time) -> Option<Vec<Latency>> {
        if now < self.next_send || self.servers.is_empty() {
            return None;
        }
        self.next_send = now.plus_ms(INTERVAL_MS);
        Some(std::mem::take(&mut self.servers))
    }

    /// When there is something to do if no event comes first.
    pub(super) fn next_wake(&self, now: Time) -> Time {
        let mut wake = now.plus_ms(INTERVAL_MS);
        if !self.servers.is_empty() {
            wake = wake.min(self.next_send);
        }
        self.next_change.map_or(wake, |end| wake.min(end))
    }

    fn failed(&mut self, server: id::Server, now: Time) {
        self.health.record_failure(server, now);
        self.has_changed = true;
    }

    fn served(&mut self, server: id::Server) {
        // Most servers never failed, so most calls change nothing.
        self.has_changed |= self.health.record_success(server);
    }

    /// The limit of a server; it starts again when the configured slots change.
    fn engine(&mut self, server: id::Server, configured: u32, now: Time) -> &mut Engine {
        let fresh = || Engine {
            server,
            configured,
            limit: Limit::new(configured, limit::Settings::default(), now),
        };
        let at = match self
            .engines
            .binary_search_by_key(&server, |engine| engine.server)
        {
            Ok(at) => at,
            Err(at) => {
                self.engines.insert(at, fresh());
                at
            }
        };
        if self.engines[at].configured != configured {
            self.engines[at] = fresh();
        }
        &mut self.engines[at]
    }

    fn pace(&mut self, server: id::Server) -> &mut Latency {
        let at = self
            .servers
            .binary_search_by_key(&server, |pace| pace.server)
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
