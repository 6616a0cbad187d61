//! How backend servers serve the requests of this host, and which of them are paused.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::verdict::Verdict;
use primrose_proxy::gate::End;
use primrose_schedule::health::Health;
use primrose_wire::peer::Pace;

/// Interval between two packets to the owners.
const INTERVAL_MS: u64 = 1_000;

/// 95 in 100 first tokens must come within this.
const FIRST_TOKEN_TARGET_MS: u64 = 880;

/// Figures of all servers that this host uses.
#[derive(Debug, Default)]
pub(super) struct Paces {
    /// Since the last packet, sorted by server.
    servers: Vec<Pace>,
    health: Health,
    next_send: Time,
    /// A server was paused or came back since the last look.
    has_changed: bool,
    /// When the earliest pause that was known at the last look ends.
    next_change: Option<Time>,
}

impl Paces {
    /// Records the end of a request.
    pub(super) fn record(&mut self, server: id::Server, end: &End, now: Time) {
        let pace = self.pace(server);
        if let Some(first_token_ms) = end.usage.first_token_ms {
            pace.first_tokens += 1;
            pace.late_first_tokens += u32::from(first_token_ms > FIRST_TOKEN_TARGET_MS);
        }
        pace.gaps += end.usage.gaps;
        pace.late_gaps += end.usage.late_gaps;
        match end.verdict {
            Verdict::Complete => self.served(server),
            Verdict::NotRun if end.server_failed => {
                pace.failures += 1;
                self.failed(server, now);
                // Other hosts should not try the server in the meantime.
                self.next_send = now;
            }
            Verdict::NotRun | Verdict::MayHaveRun => {}
        }
    }

    /// Takes in the figures of another host.
    pub(super) fn merge(&mut self, servers: &[Pace], now: Time) {
        for pace in servers {
            if pace.failures > 0 {
                self.failed(pace.server, now);
            } else if pace.first_tokens > 0 {
                self.served(pace.server);
            }
        }
    }

    /// How many of `slots` slots of the server may be lent.
    pub(super) fn limit(&self, server: id::Server, slots: u32, now: Time) -> u32 {
        self.health.limit(server, slots, now)
    }

    /// Whether requests must not be sent to the server for now.
    pub(super) fn is_paused(&self, server: id::Server, now: Time) -> bool {
        self.health.is_paused(server, now)
    }

    /// Whether a server was paused or came back since the last call.
    pub(super) fn take_change(&mut self, now: Time) -> bool {
        let has_ended = self.next_change.is_some_and(|end| end <= now);
        self.next_change = self.health.next_change(now);
        std::mem::take(&mut self.has_changed) || has_ended
    }

    /// The figures to send, if it is time.
    pub(super) fn due(&mut self, now: Time) -> Option<Vec<Pace>> {
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
        self.health.failed(server, now);
        self.has_changed = true;
    }

    fn served(&mut self, server: id::Server) {
        // Most servers never failed, so most calls change nothing.
        self.has_changed |= self.health.served(server);
    }

    fn pace(&mut self, server: id::Server) -> &mut Pace {
        let at = self
            .servers
            .binary_search_by_key(&server, |pace| pace.server)
            .unwrap_or_else(|at| {
                self.servers.insert(
                    at,
                    Pace {
                        server,
                        ..Pace::default()
                    },
                );
                at
            });
        &mut self.servers[at]
    }
}
