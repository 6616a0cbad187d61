//! Books requests on servers.

use std::hash::BuildHasher;
use std::net::SocketAddrV4;
use std::sync::Arc;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use primrose_route::Document;
use primrose_route::document::Engine;
use serde::{Deserialize, Serialize};

use crate::cache::{self, Cache};
use crate::demand::{Demand, Key, Prompt};
use crate::engine::Load;
use crate::health::Health;
use crate::server::Server;
use crate::settings::Settings;
use crate::share::Meter;

/// The least part of `excess_limit` that is left for an account far beyond its share: idle servers still serve it.
const MIN_EXCESS_PART: f64 = 0.4;

/// How long a server is left alone after it said that it is full, in ms: a few of its steps.
const FULL_PAUSE_MS: u64 = 60;

/// The shortest and longest time after which a refused caller is told to come back, in ms.
const RETURN_MS: std::ops::RangeInclusive<f64> = 300.0..=2_500.0;

/// When a caller without a server is told to come back, in ms: about when a restarted server is found again.
const NO_SERVER_RETURN_MS: u32 = 700;

/// Time in which a request holds a slot of an engine, in ms, until one has been measured.
const INITIAL_HOLD_MS: f64 = 1_500.0;

/// Time in which a plain service works on a request, in ms, until one has been measured.
const INITIAL_WORK_MS: f64 = 20.0;

/// Time to set up the transfer of kept parts between two engines, in ms, by the operators' sheets.
const TRANSFER_SETUP_MS: f64 = 4.0;

/// How much longer a transfer between failure domains takes, by the platform's description.
const REMOTE_TRANSFER: f64 = 2.0;

/// Weight of one measurement of the times above.
const HOLD_WEIGHT: f64 = 0.05;

/// A booking is dropped when its caller has been gone for this long, in ms: its entry host was lost.
const EXPIRY_MS: u64 = 2_000;

/// Interval at which expired bookings are looked for, in ms.
const EXPIRY_INTERVAL_MS: u64 = 500;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// No server of the pool can be used.
    NoServer,
    /// The wait would be too long on every server.
    Overload,
    /// The wait would be too long for an account beyond its share.
    OverShare,
    /// The caller's deadline would pass first.
    Deadline,
}

impl Reason {
    /// Name of the counter.
    pub const fn code(self) -> &'static str {
        match self {
            Reason::NoServer => "no_server",
            Reason::Overload => "overload",
            Reason::OverShare => "over_share",
            Reason::Deadline => "hopeless_deadline",
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// It is booked on a server.
    Place {
        /// The server.
        server: Server,
        /// Predicted time to the first token, or of the whole answer of a plain service, in ms.
        predicted_ms: u32,
        /// The part of that time before the server begins with it, in ms.
        wait_ms: u32,
        /// Prompt tokens that the server is taken to keep, or to fetch.
        kept: u32,
        /// The engine from which it fetches kept parts.
        fetch_from: Option<SocketAddrV4>,
    },
    /// It is refused and has not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When the caller should come back, in ms.
        return_ms: u32,
        /// The wait on the best server, in ms.
        wait_ms: u32,
    },
}

/// How a request ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was answered; `failed` if the server failed it.
    Answered {
        /// Whether the answer was a failure of the server.
        failed: bool,
    },
    /// No connection could be opened.
    Unreachable,
    /// The server refused it because it is full.
    Full,
    /// Another server has the address.
    Gone,
    /// The caller left first, or the time was up.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Booking {
    key: Key,
    server: Arc<str>,
    domain: Arc<str>,
    booked: Time,
    expires: Time,
}

#[derive(Clone, Debug)]
struct State {
    server: Server,
    load: Load,
    cache: Cache,
    health: Health,
    /// Mean time that a request is booked, in ms; 0 until one has been measured.
    hold_ms: f64,
    /// Whether another server was found at its address.
    gone: bool,
    /// Until when its link carries kept parts, on the placer's clock in ms.
    link_until: f64,
}

impl State {
    /// The mean time of a booking, or `initial` until one has been measured.
    fn hold_ms_or(&self, initial: f64) -> f64 {
        if self.hold_ms > 0.0 {
            self.hold_ms
        } else {
            initial
        }
    }
}

/// Books requests on the servers of all pools.
#[derive(Clone, Debug)]
pub struct Placer {
    settings: Settings,
    /// Sorted by id.
    servers: Vec<State>,
    /// Sorted by key.
    bookings: Vec<Booking>,
    shares: Meter,
    /// The newest document: sizes of pools and the capacity that is shared.
    document: Arc<Document>,
    expired_at: Time,
}

/// A server that could take a request, with what is ahead of it there.
#[derive(Clone, Copy)]
struct Candidate {
    at: usize,
    /// Time until the server begins with the request, in ms.
    wait_ms: f64,
    /// Time to read the prompt, or of the work of a plain service, in ms.
    own_ms: f64,
    /// Fixed time between the end of reading and the first event, in ms; a plain service has none.
    first_ms: f64,
    kept: u32,
    fetch: Option<Fetch>,
    score: f64,
}

impl Candidate {
    /// Time until the first event, or the whole answer of a plain service, in ms.
    fn total_ms(&self) -> f64 {
        self.wait_ms + self.own_ms + self.first_ms
    }
}

/// Kept parts that an engine fetches from another one before it begins with a request.
#[derive(Clone, Copy)]
struct Fetch {
    from: usize,
    /// Time until they have arrived, in ms.
    arrival_ms: f64,
}

/// The engine that keeps the most of a prompt.
#[derive(Clone, Copy)]
struct Keeper {
    at: usize,
    kept: u32,
}

impl Placer {
    /// A placer that knows no servers.
    pub fn new(settings: Settings) -> Placer {
        Placer {
            settings,
            servers: Vec::new(),
            bookings: Vec::new(),
            shares: Meter::default(),
            document: Arc::default(),
            expired_at: Time::ZERO,
        }
    }

    /// Takes over the sizes of the pools and the capacity that accounts share. Without a capacity nobody is beyond a
    /// share.
    pub fn set_document(&mut self, document: &Arc<Document>) {
        self.document = Arc::clone(document);
    }

    /// Takes over what discovery says. What is known about a server stays while its id and address stay.
    pub fn set_servers(&mut self, servers: &[Server]) {
        let mut old = std::mem::take(&mut self.servers);
        for server in servers {
            let known = old
                .binary_search_by(|state| state.server.id.cmp(&server.id))
                .ok()
                .filter(|&at| old[at].server.address == server.address);
            let state = match known {
                Some(at) => State {
                    server: server.clone(),
                    load: std::mem::take(&mut old[at].load),
                    cache: std::mem::take(&mut old[at].cache),
                    health: std::mem::take(&mut old[at].health),
                    hold_ms: old[at].hold_ms,
                    gone: old[at].gone,
                    link_until: old[at].link_until,
                },
                None => State {
                    server: server.clone(),
                    load: Load::default(),
                    cache: Cache::default(),
                    health: Health::default(),
                    hold_ms: 0.0,
                    gone: false,
                    link_until: 0.0,
                },
            };
            self.servers.push(state);
        }
        self.servers.sort_by(|a, b| a.server.id.cmp(&b.server.id));
    }

    /// Takes over what a server says that it keeps, as pairs of the key of a part and its length in tokens. All of them
    /// count as used now.
    pub fn learn_kept(&mut self, server: &str, parts: &[(u64, u32)]) {
        let Ok(at) = self.find(server) else {
            return;
        };
        let capacity = self.cache_tokens(&self.servers[at].server.pool);
        self.servers[at].cache.touch(parts, capacity);
    }

    /// The servers that keep prompt parts.
    pub fn engines(&self) -> impl Iterator<Item = &Server> {
        let servers = self.servers.iter().map(|state| &state.server);
        servers.filter(|server| self.engine(&server.pool).is_some())
    }

    /// Requests that are booked.
    pub fn booked(&self) -> usize {
        self.bookings.len()
    }

    /// Chooses a server and books the request there, or refuses it.
    pub fn place(&mut self, now: Time, demand: &Demand) -> Decision {
        self.expire(now);
        let cost = demand.prompt.as_ref().map(Prompt::weighted_tokens);
        if let (Some(account), Some(cost)) = (&demand.account, cost)
            && demand.tried.is_empty()
        {
            self.shares.record_requested(now, account, cost);
        }
        let parts = parts_of(demand);
        let Some(best) = self.best(now, demand, &parts) else {
            return Decision::Refuse {
                reason: Reason::NoServer,
                return_ms: NO_SERVER_RETURN_MS,
                wait_ms: 0,
            };
        };
        if let Some(refusal) = self.refusal(now, demand, &best) {
            return refusal;
        }
        if let (Some(account), Some(cost)) = (&demand.account, cost) {
            self.shares.record_admitted(now, account, cost);
        }
        let server = self.servers[best.at].server.clone();
        let fetch_from = best.fetch.map(|fetch| {
            let until = now.as_ms() as f64 + fetch.arrival_ms;
            self.servers[fetch.from].link_until = until;
            self.servers[best.at].link_until = until;
            self.servers[fetch.from].server.address
        });
        self.enter(now, demand, best.at, &parts, best.kept);
        Decision::Place {
            fetch_from,
            server,
            predicted_ms: best.total_ms() as u32,
            wait_ms: best.wait_ms as u32,
            kept: best.kept,
        }
    }

    /// Books a request that another placer has placed on the server with the id `server`. Does nothing if it is booked.
    pub fn book(&mut self, now: Time, demand: &Demand, server: &str) {
        if self.position(demand.key).is_ok() {
            return;
        }
        let Ok(at) = self.find(server) else {
            return;
        };
        if let (Some(account), Some(prompt)) = (&demand.account, &demand.prompt) {
            self.shares
                .record_requested(now, account, prompt.weighted_tokens());
            self.shares
                .record_admitted(now, account, prompt.weighted_tokens());
        }
        let parts = parts_of(demand);
        let kept = self.servers[at].cache.cached_tokens(&parts);
        self.enter(now, demand, at, &parts, kept);
    }

    /// Records the first event of an answer.
    pub fn first(&mut self, now: Time, key: Key) {
        if let Ok(at) = self.position(key)
            && let Ok(server) = self.find(&self.bookings[at].server)
        {
            self.servers[server]
                .load
                .record_first_event(now, key, &self.settings.speed);
        }
    }

    /// Records the end of a request and frees what it had booked.
    pub fn end(&mut self, now: Time, key: Key, outcome: Outcome) {
        let Ok(at) = self.position(key) else {
            return;
        };
        let booking = self.bookings.remove(at);
        let Ok(at) = self.find(&booking.server) else {
            return;
        };
        let state = &mut self.servers[at];
        state.load.remove(key);
        match outcome {
            Outcome::Answered { failed } => {
                // How long a failure takes says nothing about the work: a server that fails at once would look fast.
                if !failed {
                    let hold = now.since(booking.booked) as f64;
                    let weight = if state.hold_ms > 0.0 {
                        HOLD_WEIGHT
                    } else {
                        1.0
                    };
                    state.hold_ms += weight * (hold - state.hold_ms);
                }
                state.health.record_answer(&booking.domain, failed);
            }
            Outcome::Unreachable => {
                state.health.record_unreachable(now, &booking.domain);
                state.cache.clear();
            }
            Outcome::Full => state.health.record_full(now, FULL_PAUSE_MS),
            Outcome::Gone => state.gone = true,
            Outcome::Cancelled => {}
        }
    }

    fn enter(&mut self, now: Time, demand: &Demand, at: usize, parts: &[(u64, u32)], kept: u32) {
        let capacity = self.cache_tokens(&demand.pool);
        let state = &mut self.servers[at];
        let input = demand
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.input_tokens);
        let prefill = self.settings.speed.prefill(input, kept);
        state.load.assign(now, demand.key, prefill);
        state.cache.touch(parts, capacity);
        let booking = Booking {
            key: demand.key,
            server: Arc::clone(&state.server.id),
            domain: Arc::clone(&demand.domain),
            booked: now,
            expires: now.plus_ms(u64::from(demand.remaining_ms) + EXPIRY_MS),
        };
        match self.position(demand.key) {
            Ok(at) => self.bookings[at] = booking,
            Err(at) => self.bookings.insert(at, booking),
        }
    }

    fn best(&self, now: Time, demand: &Demand, parts: &[(u64, u32)]) -> Option<Candidate> {
        let usable = self.servers.iter().enumerate().filter(|(_, state)| {
            state.server.pool == demand.pool
                && !state.server.draining
                && !state.gone
                && !demand.tried.contains(&state.server.id)
                && !state.health.is_unavailable(now, &demand.domain)
        });
        let kept: Vec<u32> = self
            .servers
            .iter()
            .map(|state| state.cache.cached_tokens(parts))
            .collect();
        let keeper = self.keeper(now, demand, &kept);
        usable
            .map(|(at, _)| self.candidate(now, demand, parts, at, kept[at], keeper))
            .min_by(|a, b| a.score.total_cmp(&b.score))
    }

    fn candidate(
        &self,
        now: Time,
        demand: &Demand,
        parts: &[(u64, u32)],
        at: usize,
        kept: u32,
        keeper: Option<Keeper>,
    ) -> Candidate {
        let state = &self.servers[at];
        let settings = &self.settings;
        let remote_ms = if state.server.domain == demand.domain {
            0.0
        } else {
            settings.remote_ms
        };
        let failing = 1.0 + settings.failure_weight * state.health.failure_rate();
        let Some(prompt) = &demand.prompt else {
            let hold = state.hold_ms_or(INITIAL_WORK_MS);
            let wait_ms = slot_wait_ms(state, hold);
            // Before all slots are taken, spreading still keeps the bursts of other hosts apart.
            let spread = state.load.len() as f64 * hold / f64::from(state.server.slots.max(1));
            return Candidate {
                at,
                wait_ms,
                own_ms: hold,
                first_ms: 0.0,
                kept: 0,
                fetch: None,
                score: (wait_ms + spread + hold) * failing + remote_ms,
            };
        };
        let hold = state.hold_ms_or(INITIAL_HOLD_MS);
        let wait_ms = state.load.wait_ms(now, &settings.speed) + slot_wait_ms(state, hold);
        let load = state.load.len() as f64;
        // Servers that are alike are told apart by the prompt, so that placers that do not know of each other keep the parts
        // in the same places.
        let home = tie(parts, &state.server.id);
        let candidate = |kept: u32, fetch: Option<Fetch>| {
            let prefill = settings.speed.prefill(prompt.input_tokens, kept);
            let own_ms = state.load.prefill_ms(&prefill, &settings.speed);
            let arrival = fetch.map_or(0.0, |fetch| fetch.arrival_ms);
            let begin = wait_ms.max(arrival);
            let tie = home * (4.0 + settings.home_weight * own_ms);
            let cost = begin + settings.reading_weight * own_ms + settings.fetch_weight * arrival;
            Candidate {
                at,
                wait_ms: begin,
                own_ms,
                first_ms: settings.speed.first_ms,
                kept,
                fetch,
                score: (cost + load) * failing + remote_ms + tie,
            }
        };
        let read = candidate(kept, None);
        let fetched = keeper.and_then(|keeper| {
            let fetch = self.fetch(now, demand, keeper, at, kept)?;
            Some(candidate(keeper.kept, Some(fetch)))
        });
        match fetched {
            Some(fetched) if fetched.score < read.score => fetched,
            _ => read,
        }
    }

    fn cache_tokens(&self, pool: &str) -> u64 {
        self.engine(pool)
            .map_or(u64::MAX, |engine| engine.cache_tokens)
    }

    fn engine(&self, pool: &str) -> Option<&Engine> {
        let mut pools = self.document.pools.iter();
        pools.find(|known| &*known.name == pool)?.engine.as_ref()
    }

    /// The engine that keeps the most of the prompt; `kept` has the tokens that each server keeps.
    fn keeper(&self, now: Time, demand: &Demand, kept: &[u32]) -> Option<Keeper> {
        self.engine(&demand.pool)?.token_bytes?;
        let keepers = self.servers.iter().enumerate().filter(|(_, state)| {
            state.server.pool == demand.pool
                && !state.gone
                && !state.health.is_unavailable(now, &demand.domain)
        });
        keepers
            .map(|(at, _)| Keeper { at, kept: kept[at] })
            .max_by_key(|keeper| {
                (
                    keeper.kept,
                    self.servers[keeper.at].server.domain == demand.domain,
                )
            })
    }

    /// The transfer of what `keeper` keeps beyond `kept` to the server at `to`.
    fn fetch(
        &self,
        now: Time,
        demand: &Demand,
        keeper: Keeper,
        to: usize,
        kept: u32,
    ) -> Option<Fetch> {
        let engine = self.engine(&demand.pool)?;
        let tokens = keeper.kept.saturating_sub(kept);
        if keeper.at == to || tokens < self.settings.min_fetch_tokens {
            return None;
        }
        let (from, into) = (&self.servers[keeper.at], &self.servers[to]);
        let bits = f64::from(tokens) * engine.token_bytes? as f64 * 8.0;
        let mut transfer_ms = bits / (engine.link_mbps * 1_000.0);
        if from.server.domain != into.server.domain {
            transfer_ms *= REMOTE_TRANSFER;
        }
        let start = from.link_until.max(into.link_until) - now.as_ms() as f64;
        let arrival_ms = start.max(0.0) + TRANSFER_SETUP_MS + transfer_ms;
        arrival_ms.is_finite().then_some(Fetch {
            from: keeper.at,
            arrival_ms,
        })
    }

    fn refusal(&mut self, now: Time, demand: &Demand, best: &Candidate) -> Option<Decision> {
        let waited = f64::from(demand.waited_ms);
        let objective = f64::from(demand.objective_ms);
        let total = best.total_ms();
        if total > f64::from(demand.remaining_ms) {
            return Some(refuse(Reason::Deadline, best.wait_ms, total));
        }
        let excess = match (
            &demand.account,
            &demand.prompt,
            self.document.limits.tokens_per_s,
        ) {
            (Some(account), Some(_), Some(capacity)) => {
                Some(self.shares.excess(now, account, capacity))
            }
            _ => None,
        };
        let beyond = excess.filter(|excess| excess.guaranteed > 1.0);
        let (limit, reason) = if let Some(excess) = beyond {
            // The further beyond, the later: or an account that floods gets more than one that asks for little more than
            // its share.
            let slope = self.settings.excess_slope;
            let part = (1.0 + slope * (1.0 - excess.actual)).clamp(MIN_EXCESS_PART, 1.0);
            (self.settings.excess_limit * part, Reason::OverShare)
        } else if demand.returning {
            (self.settings.return_limit, Reason::Overload)
        } else {
            (self.settings.limit, Reason::Overload)
        };
        let first = best.first_ms + best.own_ms.min(self.settings.own_cap * objective);
        let room = (limit * objective - waited - first).max(0.0);
        (best.wait_ms > room).then(|| refuse(reason, best.wait_ms, best.wait_ms - room))
    }

    /// Drops the bookings of entry hosts that were lost.
    fn expire(&mut self, now: Time) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_at = now;
        let expired: Vec<Key> = self
            .bookings
            .iter()
            .filter(|booking| booking.expires < now)
            .map(|booking| booking.key)
            .collect();
        for key in expired {
            self.end(now, key, Outcome::Cancelled);
        }
    }

    fn position(&self, key: Key) -> Result<usize, usize> {
        self.bookings
            .binary_search_by_key(&key, |booking| booking.key)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|state| (*state.server.id).cmp(id))
    }
}

/// The keys and lengths of the prompt parts; none for a plain service.
fn parts_of(demand: &Demand) -> Vec<(u64, u32)> {
    demand.prompt.iter().flat_map(cache::part_keys).collect()
}

fn refuse(reason: Reason, wait_ms: f64, missing_ms: f64) -> Decision {
    let return_ms = (missing_ms + RETURN_MS.start()).clamp(*RETURN_MS.start(), *RETURN_MS.end());
    Decision::Refuse {
        reason,
        return_ms: return_ms as u32,
        wait_ms: wait_ms as u32,
    }
}

/// Time until a slot is free, in ms: with all slots taken, one is freed every `hold / slots`.
fn slot_wait_ms(state: &State, hold_ms: f64) -> f64 {
    let slots = state.server.slots.max(1) as usize;
    let ahead = (state.load.len() + 1).saturating_sub(slots);
    ahead as f64 * hold_ms / slots as f64
}

/// A number below 1 that depends on the shared parts of the prompt and the server.
fn tie(parts: &[(u64, u32)], server: &str) -> f64 {
    let shared = parts.len().saturating_sub(2);
    let part = parts.get(shared).map(|part| part.0);
    let hash = FixedState::default().hash_one((part, server));
    (hash % 4_096) as f64 / 4_096.0
}
