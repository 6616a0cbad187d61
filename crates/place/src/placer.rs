//! Assigns requests to servers.

use std::hash::BuildHasher;
use std::net::SocketAddrV4;
use std::sync::Arc;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use primrose_route::Document;
use primrose_route::document::{Engine, Warmup};
use serde::{Deserialize, Serialize};

use crate::cache::{self, Cache};
use crate::crossing::{self, Share, View};
use crate::demand::{Demand, Key, Prompt};
use crate::drained;
use crate::engine::{Load, Speed};
use crate::explain::{Exclusion, Rule};
use crate::health::Health;
use crate::memory::{Held, Need};
use crate::quarantine::list::{Notice, Record, Summary};
use crate::quarantine::{self, BEGINNING_MS, Crash, Suspect};
use crate::refusals::Refusals;
use crate::server::Server;
use crate::settings::Settings;
use crate::share::{Excess, Meter};
use crate::speed::{self, Figures};
use crate::transfer;
use crate::waiting::{Answer, Ask, Queue};
use crate::warmup;

/// The smallest part of `excess_limit` that applies to an account far beyond its share, so that
/// idle servers still serve it.
const MIN_EXCESS_PART: f64 = 0.4;

/// How long a server gets no requests after it refused one as full, in ms: a few of its steps.
const FULL_BACKOFF_MS: u64 = 60;

/// The shortest and longest time after which a refused caller is told to retry, in ms.
const RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 300.0..=2_500.0;

/// Weight of one request in the mean objective.
const OBJECTIVE_WEIGHT: f64 = 0.02;
/// Callers honour a time until the retry of up to a third of their remaining time. Some is left for the way to the caller.
const HONOURED_PART: f64 = 0.3;

/// Range over which retries are spread, in ms. In replays, 0 to 2,200 ms made no difference in worth beyond the noise;
/// this spreads a burst without keeping callers away for longer than the shortest objective.
const RETRY_SPREAD_MS: f64 = 300.0;

/// The time after which a caller is told to retry if no server is usable, in ms: about the time
/// until a restarted server is discovered.
const NO_SERVER_RETRY_AFTER_MS: u32 = 700;

/// The time after which a caller is told to retry if all usable servers are in drained failure domains, in ms. An order
/// holds for minutes, so that a shorter time would only bring the caller back to be refused again.
pub const DRAINED_RETRY_AFTER_MS: u32 = 2_000;

/// Time that a request is assumed to occupy a slot of an engine before any was measured, in ms.
const INITIAL_ENGINE_SLOT_MS: f64 = 1_500.0;

/// Time that a request is assumed to occupy a slot of a plain service before any was measured, in
/// ms, unless a faster server of the pool was measured.
const INITIAL_PLAIN_SLOT_MS: f64 = 20.0;

/// The slot time of an idle plain server without measurements, as a part of the shortest one measured in its pool. If both
/// were equal, the first server in the order of the ids would be chosen each time.
const UNMEASURED_FACTOR: f64 = 0.99;

/// Weight of one measurement in the moving average of the slot time.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Time to set up the transfer of cached parts between two engines, in ms, from the operators'
/// specification sheets.
const TRANSFER_SETUP_MS: f64 = 4.0;

/// Factor by which a transfer between failure domains takes longer, from the description of the
/// platform.
const REMOTE_TRANSFER_FACTOR: f64 = 2.0;

/// An assignment expires this long after its caller's deadline, in ms. If its end has not been
/// reported by then, its entry host was lost.
const EXPIRY_MS: u64 = 2_000;

/// Interval at which expired assignments are removed, in ms.
const EXPIRY_INTERVAL_MS: u64 = 500;

/// How long a request is remembered that ended because the connection to its server broke, in ms: until all hosts
/// have reported whether the server has ended.
const BROKEN_MEMORY_MS: u64 = 1_000;

/// The most such requests that are remembered.
const MAX_BROKEN: usize = 1_024;

/// Requests wait only in pools with a route whose timeout is at least this many objectives. With a shorter timeout, the
/// next trough of the load comes too late.
const MIN_TIMEOUT_OBJECTIVES: u64 = 5;

/// A placer that was asked for a server within this time knows all requests, in ms. Another one may have missed reports.
/// It neither learns figures nor decides which part has crashed a server until it is asked.
const IN_CHARGE_MS: u64 = 1_000;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// No server of the pool is usable.
    NoServer,
    /// The wait on the best server exceeds the limit.
    Overload,
    /// The wait on the best server exceeds the lower limit for accounts beyond their share.
    OverShare,
    /// The answer or its first event is expected after the caller's deadline.
    Deadline,
    /// A part of the prompt crashes servers.
    Quarantined,
    /// All usable servers of the pool are in drained failure domains.
    Drained,
    /// All usable servers warm up and have got as many requests as they tolerate.
    Warming,
    /// No usable engine has enough free memory.
    Memory,
}

impl Reason {
    /// The error code of the refusal, which is also the name of its counter.
    pub const fn code(self) -> &'static str {
        match self {
            Reason::NoServer => "no_server",
            Reason::Overload => "overload",
            Reason::OverShare => "over_share",
            Reason::Deadline => "hopeless_deadline",
            Reason::Quarantined => "quarantined",
            Reason::Drained => "drained",
            Reason::Warming => "warming",
            Reason::Memory => "engine_memory",
        }
    }
}

/// The placer's answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The request is assigned to a server.
    Place {
        /// The server to which the request is to be sent.
        server: Server,
        /// Predicted time to the first event, or to the whole answer of a plain service, in ms.
        predicted_ms: u32,
        /// The part of `predicted_ms` before the server starts the request, in ms.
        wait_ms: u32,
        /// Prompt tokens that the server is expected to have cached or to fetch.
        cached_tokens: u32,
        /// The engine from which the server is to fetch cached parts.
        fetch_from: Option<SocketAddrV4>,
        /// How long after it was asked for the placement is valid, in ms, or `None` if it has no limit. Afterwards the
        /// server may have become cold, and the request must be placed again.
        send_within_ms: Option<u32>,
    },
    /// The request is refused and has not run.
    Refuse {
        /// Why the request is refused.
        reason: Reason,
        /// The time after which the caller should retry, in ms.
        retry_after_ms: u32,
        /// The wait on the best server, in ms; 0 if no server is usable.
        wait_ms: u32,
    },
    /// The request waits at its entry host, which asks again with the same key.
    Wait {
        /// Time until the entry host asks again, in ms.
        again_ms: u32,
    },
}

/// How a request ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The server answered.
    Answered {
        /// Whether the answer was a failure of the server.
        failed: bool,
    },
    /// No connection to the server could be opened.
    Unreachable,
    /// The server refused the request because it is full.
    Full,
    /// Another server has taken over the address.
    Replaced,
    /// The caller disconnected, or the deadline passed before the answer.
    Cancelled,
}

/// A request that was assigned to a server and has not ended.
#[derive(Clone, Debug)]
struct Assignment {
    key: Key,
    /// Id of the server.
    server: Arc<str>,
    /// Failure domain of the entry host.
    domain: Arc<str>,
    /// Cache keys and lengths of the parts of the prompt.
    parts: Vec<(u64, u32)>,
    /// The shared parts of the prompt, sorted.
    shared: Vec<quarantine::Key>,
    /// The memory that the request needs; nothing if its pool has no warm-up.
    need: Need,
    /// When the first event arrived.
    first_event: Option<Time>,
    assigned: Time,
    expires: Time,
}

impl Assignment {
    /// The request as a suspect if its server has crashed, unless its answer had gone on for a while.
    fn suspect(&self, now: Time) -> Option<Suspect> {
        let has_gone_on = self
            .first_event
            .is_some_and(|first_event| now.since(first_event) >= BEGINNING_MS);
        (!has_gone_on && !self.shared.is_empty()).then(|| Suspect {
            keys: self.shared.clone(),
            assigned: self.assigned,
        })
    }
}

/// A request that ended because the connection to its server broke.
#[derive(Clone, Debug)]
struct Broken {
    at: Time,
    server: Arc<str>,
    suspect: Suspect,
}

/// A server and what the placer knows about it.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) server: Server,
    load: Load,
    pub(crate) cache: Cache,
    health: Health,
    /// The memory that the assigned requests need.
    held: Held,
    /// Mean time from the assignment of a request to its end, in ms; 0 before any was measured.
    slot_ms: f64,
    /// Whether another server was found at the address.
    replaced: bool,
    /// Until when transfers of cached parts occupy the server's link, on the placer's clock in ms.
    link_until: f64,
}

impl State {
    /// Whether hosts of `domain` may send requests for `pool` to the server.
    fn is_usable(&self, now: Time, pool: &str, domain: &str) -> bool {
        *self.server.pool == *pool
            && !self.server.draining
            && !self.replaced
            && !self.health.is_unavailable(now, domain)
    }

    /// The mean slot time in ms, or `initial` before any was measured.
    fn slot_ms_or(&self, initial: f64) -> f64 {
        if self.slot_ms > 0.0 {
            self.slot_ms
        } else {
            initial
        }
    }
}

/// What the predictions of one request have in common for all servers of its pool.
#[derive(Clone, Copy)]
pub(crate) struct Common {
    /// The engine from which parts of the prompt may be fetched.
    source: Option<Source>,
    /// The shortest measured slot time of the plain servers, in ms; `None` for a request to engines.
    fastest_ms: Option<f64>,
    /// The speed of an average engine of the pool.
    speed: Speed,
    /// The costs of copies, if they have any in the pool.
    price: Option<transfer::Price>,
    /// Added to the score of a server of another domain, in ms.
    remote_ms: f64,
}

/// The servers that may get a request. One scan serves all ways to choose among them.
pub(crate) struct Scan {
    /// The index of each usable server, and how many tokens of the prompt it has cached.
    usable: Vec<(usize, u32)>,
    /// Without a source.
    common: Common,
}

/// Assigns requests to the servers of all pools.
#[derive(Clone, Debug)]
pub struct Placer {
    settings: Settings,
    /// Sorted by id.
    pub(crate) servers: Vec<State>,
    /// Sorted by key.
    assignments: Vec<Assignment>,
    shares: Meter,
    /// The newest document, for the sizes of the pools and the capacity that accounts share.
    document: Arc<Document>,
    /// The learnt figures of the pools of `document`.
    speeds: speed::Register,
    /// The pools of `document` where [`transfer::is_cheap`] holds, sorted. Requests have a price there for leaving their
    /// domain.
    cheap: Vec<Arc<str>>,
    crossing: crossing::Register,
    /// When `crossing` was last updated.
    last_crossing: Time,
    /// The mean objective of recent requests to engines, in ms; 0 before the first one.
    mean_objective_ms: f64,
    /// The shares that another placer has derived, if this one decides alone; at most [`crossing::MAX_WAYS`].
    shares_alone: Vec<Share>,
    /// When expired assignments were last removed.
    last_expiry: Time,
    refusals: Refusals,
    /// Empty unless the settings turn waiting on.
    queue: Queue,
    quarantine: quarantine::Register,
    /// The parts that [`Placer::place`] has quarantined.
    found: Vec<Notice>,
    /// Whether entry hosts ask this placer first.
    is_first: bool,
    /// Whether requests are sent on trial whose parts were quarantined.
    has_trials: bool,
    warming: warmup::Register,
    /// In the order of their ends; at most [`MAX_BROKEN`].
    broken: Vec<Broken>,
    /// When this placer was last asked for a server.
    last_asked: Time,
    /// The failure domains whose servers get no requests. Other engines may fetch their cached parts.
    drained: drained::Set,
}

/// A server that could take a request, with the predicted times of the request on it.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    /// Index of the server.
    pub(crate) server: usize,
    /// Time until the server starts the request, in ms.
    pub(crate) wait_ms: f64,
    /// Prefill time, or the processing time of a plain service, in ms.
    pub(crate) own_ms: f64,
    /// Fixed time between the end of the prefill and the first event, in ms; 0 for a plain service.
    first_ms: f64,
    /// Prompt tokens that the server has cached or fetches.
    pub(crate) cached_tokens: u32,
    pub(crate) fetch: Option<Fetch>,
    /// The candidate with the lowest score is chosen.
    pub(crate) score: f64,
}

impl Candidate {
    /// Time to the first event, or to the whole answer of a plain service, in ms.
    pub(crate) fn total_ms(&self) -> f64 {
        self.wait_ms + self.own_ms + self.first_ms
    }
}

/// A transfer of cached parts from another engine, which completes before the server starts the
/// request.
#[derive(Clone, Copy)]
pub(crate) struct Fetch {
    /// Index of the engine that has the parts.
    pub(crate) from: usize,
    /// Time until all parts have arrived, in ms.
    arrival_ms: f64,
    /// Number of tokens that are transferred.
    tokens: u32,
}

/// The engine that has the longest cached prefix of a prompt.
#[derive(Clone, Copy)]
pub(crate) struct Source {
    /// Index of the engine.
    server: usize,
    /// Length of the cached prefix.
    cached_tokens: u32,
}

/// What decides for a whole request which servers are excluded.
pub(crate) struct Terms<'a> {
    /// Whether the request may be sent to another domain.
    may_leave: bool,
    /// The warm-up and the need for memory, if the pool has a warm-up.
    limits: Option<(&'a Warmup, Need)>,
    /// Cache capacity of an engine of the pool, in tokens.
    capacity: u64,
}

/// How long a request may wait before its server starts it.
#[derive(Clone, Copy)]
pub(crate) struct Limit {
    /// Which limit of the settings applies.
    pub(crate) rule: Rule,
    /// The limit as a multiple of the objective.
    pub(crate) objectives: f64,
    /// How far the account is beyond its share; `None` if it has no share.
    pub(crate) excess: Option<Excess>,
}

impl Limit {
    /// Why a request is refused that would wait for longer.
    fn reason(&self) -> Reason {
        match self.rule {
            Rule::Limit | Rule::ReturnLimit => Reason::Overload,
            Rule::ExcessLimit => Reason::OverShare,
        }
    }
}

impl Placer {
    /// Creates a placer without servers, which refuses every request.
    pub fn new(settings: Settings) -> Placer {
        Placer {
            settings,
            servers: Vec::new(),
            assignments: Vec::new(),
            shares: Meter::default(),
            document: Arc::default(),
            speeds: speed::Register::default(),
            cheap: Vec::new(),
            crossing: crossing::Register::default(),
            last_crossing: Time::ZERO,
            mean_objective_ms: 0.0,
            shares_alone: Vec::new(),
            last_expiry: Time::ZERO,
            refusals: Refusals::default(),
            queue: Queue::default(),
            quarantine: quarantine::Register::default(),
            found: Vec::new(),
            is_first: false,
            has_trials: true,
            warming: warmup::Register::default(),
            broken: Vec::new(),
            last_asked: Time::ZERO,
            drained: drained::Set::default(),
        }
    }

    /// Takes over which failure domains are drained, unless a newer set is known. Returns whether it was taken over.
    pub fn set_drained(&mut self, now: Time, drained: &drained::Set) -> bool {
        let before = self.drained.clone();
        let is_newer = self.drained.merge(drained);
        for domain in &before.domains {
            if !self.drained.contains(domain) {
                self.record_domain_returned(now, domain);
            }
        }
        is_newer
    }

    /// Sets the document that gives the sizes of the pools and the capacity that accounts share. If
    /// it gives no capacity, no account is beyond its share.
    pub fn set_document(&mut self, document: &Arc<Document>) {
        self.document = Arc::clone(document);
        let servers = self.servers.iter();
        let were_on: Vec<bool> = servers
            .map(|state| self.speeds.is_on(&state.server.pool))
            .collect();
        self.speeds.set_document(document, &self.settings.speed);
        let is_cheap = |engine| transfer::is_cheap(engine, &self.settings.speed);
        let pools = document.pools.iter();
        let pools = pools.filter(|pool| pool.engine.as_ref().is_some_and(is_cheap));
        self.cheap = pools.map(|pool| Arc::clone(&pool.name)).collect();
        self.cheap.sort_unstable();
        self.crossing.retain(|pool| is_in(&self.cheap, pool));
        for (state, was_on) in self.servers.iter_mut().zip(were_on) {
            if self.speeds.is_on(&state.server.pool) {
                state.load.set_min_slowdown(speed::MIN_SLOWDOWN);
            } else if was_on {
                state.load.reset_learnt();
            }
        }
        self.list_warming();
    }

    /// Replaces the list of servers from service discovery. The load, cache and health of a server
    /// are retained if its id and address are unchanged.
    pub fn set_servers(&mut self, servers: &[Server]) {
        let mut old = std::mem::take(&mut self.servers);
        let slowdowns: Vec<(Arc<str>, Option<f64>)> = old
            .iter()
            .map(|state| {
                (
                    Arc::clone(&state.server.pool),
                    state.load.measured_slowdown(),
                )
            })
            .collect();
        for server in servers {
            let known = old
                .binary_search_by(|state| state.server.id.cmp(&server.id))
                .ok()
                .filter(|&at| old[at].server.address == server.address);
            let state = match known {
                Some(at) => State {
                    server: server.clone(),
                    load: self.moved_load(&mut old[at], &server.pool, &slowdowns),
                    cache: std::mem::take(&mut old[at].cache),
                    health: std::mem::take(&mut old[at].health),
                    held: std::mem::take(&mut old[at].held),
                    slot_ms: old[at].slot_ms,
                    replaced: old[at].replaced,
                    link_until: old[at].link_until,
                },
                None => State {
                    held: self.held_by(&server.id),
                    server: server.clone(),
                    load: self.new_load(&server.pool, &slowdowns),
                    cache: Cache::default(),
                    health: Health::default(),
                    slot_ms: 0.0,
                    replaced: false,
                    link_until: 0.0,
                },
            };
            self.servers.push(state);
        }
        self.servers.sort_by(|a, b| a.server.id.cmp(&b.server.id));
        self.list_warming();
    }

    /// Records that the newest list of servers was requested at `read`, on this host's clock. To be called for each list
    /// that was read, also if the servers are unchanged: a list confirms which servers are warm.
    pub fn record_list_read(&mut self, now: Time, read: Time) {
        self.warming.record_list_read(now, read);
    }

    /// Permits this host to send requests to servers that are not warm, or withdraws the permission. Only the core host
    /// that leads the log has it.
    pub fn set_warmup_bound(&mut self, now: Time, bound: Option<warmup::Bound>) {
        self.warming.set_permission(now, bound);
    }

    /// Records that the failure domain `domain` was returned to service: its servers may have restarted unseen.
    pub fn record_domain_returned(&mut self, now: Time, domain: &str) {
        for state in &mut self.servers {
            if *state.server.domain == *domain
                && self.warming.record_returned(now, &state.server.id)
            {
                state.cache.clear();
            }
        }
    }

    /// Records that a connection to the server with the id `server` broke, or that the server was silent for too long: it
    /// may restart under the same id. Its cached parts are forgotten once it cannot be reached, or the list calls it cold.
    pub fn record_broken(&mut self, now: Time, server: &str) {
        self.warming.record_broken(now, server);
    }

    /// Whether the pool of the server with the id `server` has a warm-up.
    pub fn has_warmup(&self, server: &str) -> bool {
        self.server_index(server).is_ok_and(|at| {
            let pool = &self.servers[at].server.pool;
            warmup::of(&self.document, pool).is_some()
        })
    }

    /// Takes the changes of state of servers with a warm-up since the last call, to be logged.
    pub fn take_warmup_changes(&mut self) -> Vec<warmup::Change> {
        self.warming.take_changes()
    }

    /// The memory that the requests need that are assigned to a server. It may have been missing in a list.
    fn held_by(&self, server: &str) -> Held {
        let mut held = Held::default();
        for assignment in &self.assignments {
            if *assignment.server == *server {
                held.add(&assignment.need);
            }
        }
        held
    }

    /// Records which servers of pools with a warm-up are on the list.
    fn list_warming(&mut self) {
        self.warming.begin_list();
        for state in &mut self.servers {
            if warmup::of(&self.document, &state.server.pool).is_some()
                && self.warming.record_listed(&state.server)
            {
                state.cache.clear();
                // The server has started since it failed, and would otherwise get no requests for seconds.
                state.health = Health::default();
            }
        }
    }

    /// The load of a known server, which is now in `pool`.
    fn moved_load(
        &self,
        old: &mut State,
        pool: &str,
        slowdowns: &[(Arc<str>, Option<f64>)],
    ) -> Load {
        let mut load = std::mem::take(&mut old.load);
        let is_learnt = self.speeds.is_on(&old.server.pool) || self.speeds.is_on(pool);
        if *old.server.pool != *pool && is_learnt {
            load.reset_learnt();
            self.begin_learning(&mut load, pool, slowdowns);
        }
        load
    }

    /// The load of a new server. In a pool with learnt figures, it starts from the median of the pool's `slowdowns`.
    fn new_load(&self, pool: &str, slowdowns: &[(Arc<str>, Option<f64>)]) -> Load {
        let mut load = Load::default();
        self.begin_learning(&mut load, pool, slowdowns);
        load
    }

    fn begin_learning(&self, load: &mut Load, pool: &str, slowdowns: &[(Arc<str>, Option<f64>)]) {
        if self.speeds.is_on(pool) {
            load.set_min_slowdown(speed::MIN_SLOWDOWN);
            let of_pool = slowdowns.iter().filter(|(known, _)| **known == *pool);
            let measured = of_pool.filter_map(|&(_, slowdown)| slowdown).collect();
            if let Some(median) = speed::median(measured) {
                load.assume_slowdown(median);
            }
        }
    }

    /// Records the parts that the server with the id `server` reports as cached, as pairs of the
    /// cache key of a part and its length in tokens. All of them count as used now.
    pub fn record_cached_parts(&mut self, server: &str, parts: &[(u64, u32)]) {
        let Ok(at) = self.server_index(server) else {
            return;
        };
        let capacity = self.cache_tokens(&self.servers[at].server.pool);
        self.servers[at].cache.record_ready(parts, capacity);
    }

    /// The servers of pools whose servers are model engines, which cache prompt parts.
    pub fn engines(&self) -> impl Iterator<Item = &Server> {
        let servers = self.servers.iter().map(|state| &state.server);
        servers.filter(|server| self.engine(&server.pool).is_some())
    }

    /// Number of assigned requests that have not ended.
    pub fn assigned(&self) -> usize {
        self.assignments.len()
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether the request with this key waits.
    pub fn is_waiting(&self, key: Key) -> bool {
        self.queue.has_returned(key).is_some()
    }

    /// Chooses a server and assigns the request to it, lets it wait, or refuses it.
    pub fn place(&mut self, now: Time, demand: &Demand) -> Decision {
        self.begin(now, demand);
        // A crash may have been reported while this placer was not asked for servers, or before it was.
        while let Some(notice) = self.quarantine.decide(now) {
            self.found.push(notice);
        }
        let refusal = self.quarantined(now, demand);
        if let Some(refusal) = refusal.or_else(|| self.no_trial(demand)) {
            self.queue.remove(demand.key);
            return refusal;
        }
        self.record_asked(now, demand);
        self.choose(now, demand)
    }

    /// Updates what changes with the time before a request is placed.
    pub(crate) fn begin(&mut self, now: Time, demand: &Demand) {
        self.expire(now);
        self.last_asked = now;
        self.update_crossing(now, demand);
    }

    /// Counts a request for the share of its account.
    pub(crate) fn record_asked(&mut self, now: Time, demand: &Demand) {
        let cost = demand.prompt.as_ref().map(Prompt::weighted_tokens);
        let waited = self.queue.has_returned(demand.key);
        if self.waiting_capacity(demand).is_some() {
            // The answer to an earlier request for a placement was lost, so the request was not sent.
            self.record_end(now, demand.key, Outcome::Cancelled);
        }
        if let (Some(account), Some(cost)) = (&demand.account, cost)
            && demand.tried.is_empty()
            && waited.is_none()
        {
            self.shares.record_requested(now, account, cost);
        }
    }

    /// Chooses a server for a request after [`Placer::record_asked`].
    pub(crate) fn choose(&mut self, now: Time, demand: &Demand) -> Decision {
        let cost = demand.prompt.as_ref().map(Prompt::weighted_tokens);
        let waited = self.queue.has_returned(demand.key);
        let parts = parts_of(demand);
        let own_part = parts.last().map(|part| part.0);
        let has_returned = self.has_returned(now, demand, &parts);
        if let Some(refusal) = self.early_refusal(now, demand, has_returned, &parts) {
            if let (Some(key), None) = (own_part, waited) {
                self.refusals.take(now, key);
            }
            if let (Some(key), false) = (own_part, has_returned) {
                self.refusals.record(now, key);
            }
            return refusal;
        }
        let scan = self.scan(now, demand, &parts);
        let holder = self.best_holder(now, demand, &parts, &scan);
        let mut candidates = Vec::new();
        let mut best = holder;
        if holder.is_none() {
            candidates = self.usable_candidates(now, demand, &parts, &scan);
            best = self.best(demand, &scan, &candidates);
        }
        let Some(mut best) = best else {
            self.queue.remove(demand.key);
            return self.refuse_without_candidate(now, demand);
        };
        if let (Some(key), None) = (own_part, waited) {
            self.refusals.take(now, key);
        }
        let mut refusal = self.refusal(now, demand, &best, has_returned);
        // An account beyond its share is refused after a short wait, which another engine may not have.
        if refusal.is_some() && holder.is_some() {
            candidates = self.usable_candidates(now, demand, &parts, &scan);
            if let Some(other) = self.best(demand, &scan, &candidates) {
                best = other;
                refusal = self.refusal(now, demand, &best, has_returned);
            }
        }
        // Copies have a price, but idle engines serve accounts beyond their share whatever a copy costs.
        let is_over_share = matches!(
            refusal,
            Some(Decision::Refuse {
                reason: Reason::OverShare,
                ..
            })
        );
        if is_over_share && scan.common.price.is_some() {
            let soonest = candidates.iter();
            let soonest = soonest.min_by(|a, b| a.total_ms().total_cmp(&b.total_ms()));
            if let Some(soonest) = soonest
                && self.refusal(now, demand, soonest, has_returned).is_none()
            {
                best = *soonest;
                refusal = None;
            }
        }
        let refusal = self.wait_or(refusal, now, demand, &best, has_returned);
        if let Some(refusal) = refusal {
            let is_final = !matches!(refusal, Decision::Wait { .. });
            if let (Some(key), false, true) = (own_part, has_returned, is_final) {
                self.refusals.record(now, key);
            }
            return refusal;
        }
        if let (Some(account), Some(cost)) = (&demand.account, cost) {
            self.shares.record_admitted(now, account, cost);
        }
        let server = self.servers[best.server].server.clone();
        let fetch_from = best.fetch.map(|fetch| {
            let until = now.as_ms() as f64 + fetch.arrival_ms;
            self.servers[fetch.from].link_until = until;
            self.servers[best.server].link_until = until;
            self.servers[fetch.from].server.address
        });
        let send_within_ms = warmup::of(&self.document, &demand.pool)
            .map(|warmup| self.warming.send_within_ms(now, &server.id, warmup));
        self.assign(now, demand, best.server, &parts, best.cached_tokens);
        if fetch_from.is_some() {
            self.servers[best.server].load.exclude(demand.key);
        }
        Decision::Place {
            send_within_ms,
            fetch_from,
            server,
            predicted_ms: best.total_ms() as u32,
            wait_ms: best.wait_ms as u32,
            cached_tokens: best.cached_tokens,
        }
    }

    /// The refusal of a request to a pool with costs of copies if the shortest wait on any usable server is beyond its
    /// limit, which is found without looking for cached parts. In a flood most requests are refused, and a full choice
    /// for each of them takes more processor time than a core host has.
    fn early_refusal(
        &mut self,
        now: Time,
        demand: &Demand,
        has_returned: bool,
        parts: &[(u64, u32)],
    ) -> Option<Decision> {
        self.price(&demand.pool)?;
        if self.waiting_capacity(demand).is_some() {
            return None;
        }
        let limit = self.limit(now, demand, has_returned);
        let speed = self.speeds.speed(&demand.pool, &self.settings.speed);
        let usable = self.usable(now, demand, parts);
        let waits = usable.map(|(_, state)| engine_wait_ms(state, now, &speed));
        let wait_ms = waits.min_by(f64::total_cmp)?;
        let objective = f64::from(demand.objective_ms);
        let waited = f64::from(demand.waited_ms);
        // A prefill takes longer than nothing, so no candidate may wait longer than this.
        let max_wait = (limit.objectives * objective - waited - speed.first_ms).max(0.0);
        if wait_ms + speed.first_ms > f64::from(demand.remaining_ms) {
            return Some(refuse(Reason::Deadline, wait_ms, wait_ms + speed.first_ms));
        }
        (wait_ms > max_wait).then(|| refuse(limit.reason(), wait_ms, wait_ms - max_wait))
    }

    /// Looks up the servers that may get a request and what they have cached.
    pub(crate) fn scan(&self, now: Time, demand: &Demand, parts: &[(u64, u32)]) -> Scan {
        let usable = self.usable(now, demand, parts);
        Scan {
            usable: usable
                .map(|(at, state)| (at, state.cache.cached_tokens(parts)))
                .collect(),
            common: self.common(demand),
        }
    }

    /// Whether the request was refused before.
    pub(crate) fn has_returned(&self, now: Time, demand: &Demand, parts: &[(u64, u32)]) -> bool {
        let waited = self.queue.has_returned(demand.key);
        waited.unwrap_or_else(|| {
            let own_part = parts.last();
            own_part.is_some_and(|part| self.refusals.contains(now, part.0))
        })
    }

    /// The shares of requests that hosts that decide alone may send to other domains. Empty unless this placer was asked
    /// for servers recently, because it does not know the backlogs otherwise.
    pub fn crossing_shares(&self, now: Time) -> Vec<Share> {
        if now.since(self.last_asked) >= IN_CHARGE_MS {
            return Vec::new();
        }
        self.crossing.shares()
    }

    /// Returns the changes of prices since the last call.
    pub fn take_crossing_changes(&mut self) -> Vec<crossing::Change> {
        self.crossing.take_changes()
    }

    /// Sets the shares that the placer in charge has derived. From then on this placer uses them instead of its own
    /// view of the backlogs, which lacks the requests of other hosts.
    pub fn set_crossing_shares(&mut self, shares: &[Share]) {
        self.shares_alone = shares[..shares.len().min(crossing::MAX_WAYS)].to_vec();
    }

    fn update_crossing(&mut self, now: Time, demand: &Demand) {
        if demand.prompt.is_none() {
            return;
        }
        let objective = f64::from(demand.objective_ms.max(1));
        if self.mean_objective_ms > 0.0 {
            self.mean_objective_ms += OBJECTIVE_WEIGHT * (objective - self.mean_objective_ms);
        } else {
            self.mean_objective_ms = objective;
        }
        let is_due = now.since(self.last_crossing) >= crossing::INTERVAL_MS;
        if !is_due || self.settings.crossing_weight <= 0.0 {
            return;
        }
        self.last_crossing = now;
        let document = Arc::clone(&self.document);
        for pool in &document.pools {
            if self.is_cheap(&pool.name) {
                let views = self.views(now, &pool.name);
                self.crossing.update(now, &pool.name, &views);
            }
        }
    }

    /// The usable servers of a pool as seen from each domain that has servers.
    fn views(&self, now: Time, pool: &str) -> Vec<View> {
        let speed = self.speeds.speed(pool, &self.settings.speed);
        let servers = self.servers.iter();
        let servers = servers.filter(|state| *state.server.pool == *pool);
        let backlogs: Vec<(&State, f64)> = servers
            .map(|state| {
                let wait_ms = engine_wait_ms(state, now, &speed);
                (state, wait_ms / self.mean_objective_ms)
            })
            .collect();
        let mut homes: Vec<&Arc<str>> = backlogs
            .iter()
            .map(|(state, _)| &state.server.domain)
            .collect();
        homes.sort_unstable();
        homes.dedup();
        homes
            .into_iter()
            .map(|home| {
                let mut view = View {
                    home: Arc::clone(home),
                    ..View::default()
                };
                let mut sum = 0.0;
                for &(state, backlog) in &backlogs {
                    if !self.is_open(state, now, pool, home) {
                        continue;
                    }
                    if state.server.domain == *home {
                        view.servers += 1;
                        sum += backlog;
                    } else {
                        view.others.push(backlog);
                    }
                }
                view.backlog = sum / f64::from(view.servers.max(1));
                view
            })
            .collect()
    }

    /// Whether the request may be sent to another domain. Without a usable server at home it may, whatever the share.
    fn may_leave(&self, now: Time, demand: &Demand) -> bool {
        let share = self.share_alone(demand);
        let warmup = warmup::of(&self.document, &demand.pool);
        share.is_none_or(|share| share.admits(demand.key))
            || !self.servers.iter().any(|state| {
                state.server.domain == demand.domain
                    && !demand.tried.contains(&state.server.id)
                    && self.is_open(state, now, &demand.pool, &demand.domain)
                    && warmup.is_none_or(|warmup| {
                        self.warming.delay_ms(now, &state.server.id, warmup) == 0
                    })
            })
    }

    /// The share that applies to a request if this placer decides alone.
    fn share_alone(&self, demand: &Demand) -> Option<&Share> {
        let is_on = self.is_cheap(&demand.pool) && self.settings.crossing_weight > 0.0;
        let mut shares = self.shares_alone.iter();
        shares.find(|share| is_on && share.pool == demand.pool && share.home == demand.domain)
    }

    /// Added to the score of a server of another domain, in ms.
    pub(crate) fn remote_ms(&self, demand: &Demand) -> f64 {
        if demand.prompt.is_none() || !self.is_cheap(&demand.pool) {
            return self.settings.remote_ms;
        }
        // The home domain is busier than this placer knows, so requests that may leave are not kept by a price.
        if self.share_alone(demand).is_some() {
            return 0.0;
        }
        let objective_ms = demand.objective_ms;
        self.crossing
            .price_ms(&demand.pool, &demand.domain, objective_ms, &self.settings)
    }

    /// The refusal of a request with a part that crashes servers, or `None` if it has no such part.
    pub fn quarantined(&self, now: Time, demand: &Demand) -> Option<Decision> {
        if self.quarantine.is_empty() {
            return None;
        }
        let keys = quarantine::Key::of(demand);
        let refusal_ms = self.quarantine.refusal_ms(now, &keys, demand.key);
        refusal_ms.map(refuse_quarantined)
    }

    /// The refusal of a request that may crash its server, if this placer does not decide about that.
    fn no_trial(&self, demand: &Demand) -> Option<Decision> {
        if self.has_trials || self.quarantine.is_empty() {
            return None;
        }
        let keys = quarantine::Key::of(demand);
        self.quarantine.no_trial_ms(&keys).map(refuse_quarantined)
    }

    /// Sets that this placer knows only a part of the requests. It then sends none on trial whose parts were quarantined.
    pub fn set_without_trials(&mut self) {
        self.has_trials = false;
    }

    /// Hash of the prompt parts that are quarantined.
    pub fn quarantine_digest(&self, now: Time) -> u64 {
        self.quarantine.digest(now)
    }

    /// What other hosts are told of the quarantined prompt parts in a datagram.
    pub fn quarantine_summary(&self, now: Time) -> Summary {
        self.quarantine.summary(now)
    }

    /// Number of quarantines that ended early, since others took their place, since the last call.
    pub fn take_dropped_quarantines(&mut self) -> u64 {
        self.quarantine.take_dropped()
    }

    /// All that other hosts can be told of quarantined prompt parts.
    pub fn quarantine_record(&self, now: Time) -> Record {
        self.quarantine.record(now)
    }

    /// Takes over what another host knows of quarantined prompt parts. Returns the notices that were not known.
    pub fn merge_quarantine(&mut self, now: Time, record: &Record) -> Vec<Notice> {
        self.quarantine.merge(now, record)
    }

    /// Number of suspicions against prompt parts that were dropped, since there were too many, since the last call.
    pub fn take_lost_suspicions(&mut self) -> u64 {
        self.quarantine.take_lost()
    }

    /// Number of prompt parts that may have crashed servers.
    pub fn suspected_parts(&self) -> usize {
        self.quarantine.suspected()
    }

    /// Returns the prompt parts that were quarantined by a call of [`Placer::place`] since the last call of this.
    pub fn take_quarantined(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.found)
    }

    /// Sets whether this placer is the one that entry hosts ask first, even if no request comes.
    pub fn set_first(&mut self, is_first: bool) {
        self.is_first = is_first;
    }

    /// Records that the server with the id `server` has ended without notice. Returns the notice of a prompt part that is
    /// quarantined because of it. Unless this placer is asked for servers, it decides when it is next.
    pub fn record_crash(&mut self, now: Time, server: &str) -> Option<Notice> {
        self.record_broken(now, server);
        let at = self.server_index(server).ok()?;
        let crashed = &self.servers[at].server;
        // A server that drains ends as planned, whatever it is doing.
        if crashed.draining {
            return None;
        }
        self.broken
            .retain(|broken| now.since(broken.at) < BROKEN_MEMORY_MS);
        let open = self.assignments.iter();
        let open = open.filter(|assignment| *assignment.server == *server);
        let open = open.filter_map(|assignment| assignment.suspect(now));
        let broken = self.broken.iter();
        let broken = broken.filter(|broken| *broken.server == *server);
        let broken = broken.map(|broken| broken.suspect.clone());
        let pool = &crashed.pool;
        let in_pool = |state: &&State| state.server.pool == *pool;
        let crash = Crash {
            server: Arc::clone(&crashed.id),
            pool: Arc::clone(pool),
            address: crashed.address,
            servers: self.servers.iter().filter(in_pool).count(),
            suspects: open.chain(broken).collect(),
        };
        let is_in_charge = self.is_first || now.since(self.last_asked) < IN_CHARGE_MS;
        self.quarantine.record_crash(now, &crash, is_in_charge)
    }

    /// Records that another placer has assigned a request to the server with the id `server`. Does
    /// nothing if the assignment is known already.
    pub fn record_assignment(&mut self, now: Time, demand: &Demand, server: &str) {
        if self.assignment_index(demand.key).is_ok() {
            return;
        }
        let Ok(at) = self.server_index(server) else {
            return;
        };
        if let (Some(account), Some(prompt)) = (&demand.account, &demand.prompt) {
            self.shares
                .record_requested(now, account, prompt.weighted_tokens());
            self.shares
                .record_admitted(now, account, prompt.weighted_tokens());
        }
        let parts = parts_of(demand);
        let cached_tokens = self.servers[at].cache.cached_tokens(&parts);
        self.assign(now, demand, at, &parts, cached_tokens);
    }

    /// Records the first event of the answer to a request.
    pub fn record_first_event(&mut self, now: Time, key: Key) {
        let Ok(at) = self.assignment_index(key) else {
            return;
        };
        let Ok(server) = self.server_index(&self.assignments[at].server) else {
            return;
        };
        let capacity = self.cache_tokens(&self.servers[server].server.pool);
        let assignment = &mut self.assignments[at];
        assignment.first_event = Some(now);
        self.quarantine
            .record_begun(now, &assignment.server, &assignment.shared);
        let state = &mut self.servers[server];
        self.warming
            .record_answer(now, &assignment.server, assignment.assigned);
        state.cache.record_ready(&assignment.parts, capacity);
        let pool = &state.server.pool;
        let speed = self.speeds.speed(pool, &self.settings.speed);
        if !self.speeds.is_on(pool) {
            state.load.record_first_event(now, key, &speed);
            return;
        }
        let settings = &self.settings.speed;
        let is_in_charge = now.since(self.last_asked) < IN_CHARGE_MS && !self.speeds.is_follower();
        let sample = state
            .load
            .observe_first_event(now, key, &speed, is_in_charge);
        let is_at_bound = state.load.is_at_bound();
        let pool = Arc::clone(pool);
        let Some(sample) = sample else {
            return;
        };
        // The sample of an engine with a slowdown at a bound would move the figures away from those of the other engines.
        let is_exact = |state: &State| {
            state.server.pool == pool
                && state.load.measured_slowdown().is_some()
                && !state.load.is_at_bound()
        };
        if is_at_bound && self.servers.iter().any(is_exact) {
            return;
        }
        if self.speeds.record(now, &pool, &sample, settings) {
            self.fit_figures(now, &pool);
        }
    }

    /// Fits the figures of a pool to the recorded samples.
    fn fit_figures(&mut self, now: Time, pool: &Arc<str>) {
        let servers = self.servers.iter_mut();
        let mut loads: Vec<&mut Load> = servers
            .filter(|state| state.server.pool == *pool)
            .map(|state| &mut state.load)
            .collect();
        for load in &mut loads {
            load.expire_slowdown(now);
        }
        let measured = loads.iter().filter_map(|load| load.measured_slowdown());
        let mean = speed::mean(measured.collect());
        let factor = self.speeds.fit(now, pool, mean, &self.settings.speed);
        for load in &mut loads {
            load.rescale_slowdown(factor);
        }
        let measured = loads.iter().filter_map(|load| load.measured_slowdown());
        if let Some(median) = speed::median(measured.collect()) {
            for load in &mut loads {
                load.assume_slowdown(median);
            }
        }
    }

    /// The learnt figures for hosts that are not in charge. Empty unless this placer was asked for servers recently: another
    /// one may have missed reports.
    pub fn figures(&self, now: Time) -> Vec<Figures> {
        if now.since(self.last_asked) >= IN_CHARGE_MS {
            return Vec::new();
        }
        self.speeds.figures()
    }

    /// Takes over the figures that the placer in charge has learnt, unless this one is in charge. It starts from them when
    /// it takes over.
    pub fn adopt_figures(&mut self, now: Time, figures: &[Figures]) {
        if now.since(self.last_asked) >= IN_CHARGE_MS {
            self.speeds.adopt(figures, &self.settings.speed);
        }
    }

    /// Sets the figures that the placer in charge has learnt. From the first call on, this placer learns neither
    /// figures nor slowdowns of these pools from its own requests, which share the engines with those of other hosts.
    pub fn set_figures(&mut self, figures: &[Figures]) {
        self.speeds.follow(figures, &self.settings.speed);
    }

    /// Returns the pools whose learnt figures have changed by more than a quarter since the last call.
    pub fn take_figure_changes(&mut self) -> Vec<speed::Change> {
        self.speeds.take_changes()
    }

    /// Whether requests of the pool have a price for leaving their domain.
    fn is_cheap(&self, pool: &str) -> bool {
        is_in(&self.cheap, pool)
    }

    /// Records the end of a request and removes its assignment.
    pub fn record_end(&mut self, now: Time, key: Key, outcome: Outcome) {
        let Ok(at) = self.assignment_index(key) else {
            return;
        };
        let assignment = self.assignments.remove(at);
        self.record_end_in_quarantine(now, &assignment, outcome);
        let Ok(server) = self.server_index(&assignment.server) else {
            return;
        };
        let state = &mut self.servers[server];
        state.load.remove(key);
        state.held.remove(&assignment.need);
        if assignment.first_event.is_none() {
            state.cache.remove_unread(&assignment.parts);
        }
        match outcome {
            Outcome::Answered { failed } => {
                // The duration of a failed request is not a slot time: a server that fails at once
                // would look fast.
                if !failed {
                    let measured = now.since(assignment.assigned) as f64;
                    let weight = if state.slot_ms > 0.0 {
                        SLOT_TIME_WEIGHT
                    } else {
                        1.0
                    };
                    state.slot_ms += weight * (measured - state.slot_ms);
                    self.warming
                        .record_answer(now, &assignment.server, assignment.assigned);
                }
                state.health.record_answer(&assignment.domain, failed);
            }
            Outcome::Unreachable => {
                let is_repeated = state.health.has_backoff(&assignment.domain);
                self.warming
                    .record_unreachable(now, &assignment.server, is_repeated);
                state.health.record_unreachable(now, &assignment.domain);
                state.cache.clear();
            }
            Outcome::Full => state.health.record_full(now, FULL_BACKOFF_MS),
            Outcome::Replaced => state.replaced = true,
            Outcome::Cancelled => state.health.record_cancelled(now),
        }
    }

    /// Records what the end of a request says about the parts of its prompt.
    fn record_end_in_quarantine(&mut self, now: Time, assignment: &Assignment, outcome: Outcome) {
        self.quarantine.record_end(now, assignment.key);
        match outcome {
            // A server may refuse a request without beginning to write its answer.
            Outcome::Answered { failed: false } if assignment.first_event.is_some() => {
                self.quarantine
                    .record_served(now, assignment.assigned, &assignment.shared);
            }
            Outcome::Answered { failed: true } => {
                let Some(suspect) = assignment.suspect(now) else {
                    return;
                };
                if self.broken.len() >= MAX_BROKEN {
                    self.broken.remove(0);
                }
                self.broken.push(Broken {
                    at: now,
                    server: Arc::clone(&assignment.server),
                    suspect,
                });
            }
            _ => {}
        }
    }

    /// Assigns a request to the server with the index `at`.
    fn assign(
        &mut self,
        now: Time,
        demand: &Demand,
        at: usize,
        parts: &[(u64, u32)],
        cached_tokens: u32,
    ) {
        let capacity = self.cache_tokens(&demand.pool);
        let has_limits = warmup::of(&self.document, &demand.pool).is_some();
        let need = if has_limits {
            Need::new(demand, parts)
        } else {
            Need::default()
        };
        if let Ok(known) = self.assignment_index(demand.key)
            && let Ok(before) = self.server_index(&self.assignments[known].server)
        {
            // The request is placed again, because the first answer was lost. Otherwise its load would stay on the first
            // server for good.
            let need = &self.assignments[known].need;
            self.servers[before].held.remove(need);
            self.servers[before].load.remove(demand.key);
        }
        let state = &mut self.servers[at];
        self.warming.record_send(now, &state.server.id);
        state.held.add(&need);
        let input = demand
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.input_tokens);
        let speed = self.speeds.speed(&demand.pool, &self.settings.speed);
        let prefill = speed.prefill(input, cached_tokens);
        let is_full = state.load.len() >= state.server.slots.max(1) as usize;
        state.load.assign(now, demand.key, prefill);
        if is_full {
            // The wait for a slot depends on the length of other answers.
            state.load.exclude(demand.key);
        }
        state.cache.touch(parts, capacity);
        let assignment = Assignment {
            key: demand.key,
            server: Arc::clone(&state.server.id),
            domain: Arc::clone(&demand.domain),
            parts: parts.to_vec(),
            shared: quarantine::Key::of(demand),
            need,
            first_event: None,
            assigned: now,
            expires: now.plus_ms(u64::from(demand.remaining_ms) + EXPIRY_MS),
        };
        let (keys, until) = (&assignment.shared, assignment.expires);
        self.quarantine.record_sent(now, keys, demand.key, until);
        match self.assignment_index(demand.key) {
            Ok(at) => self.assignments[at] = assignment,
            Err(at) => self.assignments.insert(at, assignment),
        }
    }

    /// The refusal of a request for which there is no candidate. If servers only warm up or have no room, the caller is
    /// told to retry when the first of them can take a request.
    fn refuse_without_candidate(&self, now: Time, demand: &Demand) -> Decision {
        let refuse = |reason, retry_after_ms| Decision::Refuse {
            reason,
            retry_after_ms,
            wait_ms: 0,
        };
        let open = self.servers.iter().filter(|state| {
            self.is_open(state, now, &demand.pool, &demand.domain)
                && !demand.tried.contains(&state.server.id)
        });
        let warmup = warmup::of(&self.document, &demand.pool);
        let delays = open.filter_map(|state| {
            let delay_ms = self.warming.delay_ms(now, &state.server.id, warmup?);
            let slot_ms = state.slot_ms_or(INITIAL_ENGINE_SLOT_MS);
            let until_room_ms = (slot_ms / state.load.len().max(1) as f64) as u64;
            Some((delay_ms, until_room_ms))
        });
        // Servers in service that are full, unreachable or were tried are no consequence of an order.
        let are_drained = || {
            let in_pool = self.servers.iter().filter(|state| {
                state.server.pool == demand.pool && !state.server.draining && !state.replaced
            });
            let mut in_pool = in_pool.peekable();
            in_pool.peek().is_some()
                && in_pool.all(|state| self.drained.contains(&state.server.domain))
        };
        match delays.min() {
            None if are_drained() => refuse(Reason::Drained, DRAINED_RETRY_AFTER_MS),
            None => refuse(Reason::NoServer, NO_SERVER_RETRY_AFTER_MS),
            Some((0, until_room_ms)) => {
                let retry_after_ms =
                    (until_room_ms as f64).clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
                refuse(Reason::Memory, retry_after_ms as u32)
            }
            Some((delay_ms, _)) => {
                refuse(Reason::Warming, u32::try_from(delay_ms).unwrap_or(u32::MAX))
            }
        }
    }

    /// The predictions for all usable servers, in the order of `scan`.
    pub(crate) fn usable_candidates(
        &self,
        now: Time,
        demand: &Demand,
        parts: &[(u64, u32)],
        scan: &Scan,
    ) -> Vec<Candidate> {
        let common = Common {
            source: self.source_for(now, demand, parts),
            ..scan.common
        };
        let usable = scan.usable.iter();
        usable
            .map(|&(at, cached)| self.candidate(now, demand, parts, at, cached, common))
            .collect()
    }

    /// Returns the usable server with the lowest score, or `None` if no server is usable.
    pub(crate) fn best(
        &self,
        demand: &Demand,
        scan: &Scan,
        candidates: &[Candidate],
    ) -> Option<Candidate> {
        let scores = || candidates.iter().map(|candidate| candidate.score);
        if scan.common.price.is_none() {
            let lowest = scores().enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
            return lowest.map(|(at, _)| candidates[at]);
        }
        // What a copy evicts takes long to find and can only increase a score, so it is found in the order of the
        // scores, for as long as one is below that of the best candidate.
        let mut scores: Vec<f64> = scores().collect();
        let mut best: Option<Candidate> = None;
        loop {
            let lowest = scores.iter().enumerate();
            let (at, score) = lowest.min_by(|a, b| a.1.total_cmp(b.1))?;
            if *score == f64::INFINITY || best.is_some_and(|best| best.score <= *score) {
                return best.or_else(|| candidates.first().copied());
            }
            scores[at] = f64::INFINITY;
            let (server, cached) = scan.usable[at];
            let mut candidate = candidates[at];
            candidate.score += self.eviction_ms(demand, server, cached);
            if best.is_none_or(|best| candidate.score < best.score) {
                best = Some(candidate);
            }
        }
    }

    /// Cost of what the request evicts from the engine with the index `at`, whether its parts are fetched or read.
    pub(crate) fn eviction_ms(&self, demand: &Demand, at: usize, cached_tokens: u32) -> f64 {
        let (Some(price), Some(prompt)) = (self.price(&demand.pool), &demand.prompt) else {
            return 0.0;
        };
        let state = &self.servers[at];
        let outputs = u64::from(prompt.output_tokens).saturating_mul(state.load.len() as u64);
        let capacity = self.cache_tokens(&demand.pool).saturating_sub(outputs);
        let new = prompt.input_tokens.saturating_sub(cached_tokens);
        price.eviction_ms(state.cache.evicted_tokens(new, capacity))
    }

    /// Returns the usable engine with the lowest score among those that have the shared parts of the prompt and are
    /// predicted to answer well within the objective. Returns `None` if there is none, or if copies of parts have no
    /// price in the pool.
    pub(crate) fn best_holder(
        &self,
        now: Time,
        demand: &Demand,
        parts: &[(u64, u32)],
        scan: &Scan,
    ) -> Option<Candidate> {
        scan.common.price?;
        let cached = scan.usable.iter().copied();
        let most = cached.clone().map(|(_, tokens)| tokens).max()?;
        let missing = self.settings.min_fetch_tokens;
        let holds = |tokens: u32| tokens >= missing && tokens.saturating_add(missing) > most;
        let is_sound =
            |at: usize| self.servers[at].health.failure_rate() < transfer::MAX_HOLDER_FAILURE_RATE;
        cached
            .filter(|&(at, tokens)| holds(tokens) && is_sound(at))
            .map(|(at, tokens)| self.candidate(now, demand, parts, at, tokens, scan.common))
            .filter(|holder| transfer::is_soon_enough(holder.total_ms(), demand, &self.settings))
            .min_by(|a, b| a.score.total_cmp(&b.score))
    }

    /// Whether hosts of `domain` may send requests for `pool` to the server, and its own domain is not drained.
    fn is_open(&self, state: &State, now: Time, pool: &str, domain: &str) -> bool {
        state.is_usable(now, pool, domain) && !self.drained.contains(&state.server.domain)
    }

    /// The servers that may get a request, with their indices.
    fn usable<'a>(
        &'a self,
        now: Time,
        demand: &'a Demand,
        parts: &[(u64, u32)],
    ) -> impl Iterator<Item = (usize, &'a State)> {
        let terms = self.terms(now, demand, parts);
        self.servers.iter().enumerate().filter(move |(_, state)| {
            let is_excluded = |cause| self.is_excluded(now, demand, &terms, state, cause);
            // All of `Exclusion::ALL`. A loop over it made placements among 140 engines up to 23 % slower.
            *state.server.pool == *demand.pool
                && !is_excluded(Exclusion::Leaving)
                && !is_excluded(Exclusion::Replaced)
                && !is_excluded(Exclusion::Unreachable)
                && !is_excluded(Exclusion::Full)
                && !is_excluded(Exclusion::Drained)
                && !is_excluded(Exclusion::Tried)
                && !is_excluded(Exclusion::Domain)
                && !is_excluded(Exclusion::Warming)
                && !is_excluded(Exclusion::Memory)
        })
    }

    /// What decides for a whole request which servers are excluded.
    pub(crate) fn terms(&self, now: Time, demand: &Demand, parts: &[(u64, u32)]) -> Terms<'_> {
        let warmup = warmup::of(&self.document, &demand.pool);
        Terms {
            may_leave: self.may_leave(now, demand),
            limits: warmup.map(|warmup| (warmup, Need::new(demand, parts))),
            capacity: self.cache_tokens(&demand.pool),
        }
    }

    /// Whether `cause` keeps a request from a server of its pool.
    pub(crate) fn is_excluded(
        &self,
        now: Time,
        demand: &Demand,
        terms: &Terms<'_>,
        state: &State,
        cause: Exclusion,
    ) -> bool {
        let limits = terms.limits.as_ref();
        match cause {
            Exclusion::Leaving => state.server.draining,
            Exclusion::Replaced => state.replaced,
            Exclusion::Unreachable => state.health.is_unreachable(now, &demand.domain),
            Exclusion::Full => state.health.is_full(now),
            Exclusion::Drained => self.drained.contains(&state.server.domain),
            Exclusion::Tried => demand.tried.contains(&state.server.id),
            Exclusion::Domain => !terms.may_leave && state.server.domain != demand.domain,
            Exclusion::Warming => limits.is_some_and(|(warmup, _)| {
                self.warming.delay_ms(now, &state.server.id, warmup) > 0
            }),
            Exclusion::Memory => {
                limits.is_some_and(|(_, need)| !state.held.has_room(need, terms.capacity))
            }
        }
    }

    /// The costs of copies between the engines of a pool, or `None` if their time is their cost.
    fn price(&self, pool: &str) -> Option<transfer::Price> {
        transfer::Price::of(self.engine(pool)?, &self.settings)
    }

    /// What the predictions of a request have in common, without the engine that parts may be fetched from.
    fn common(&self, demand: &Demand) -> Common {
        let mut fastest_ms = None;
        if demand.prompt.is_none() {
            let in_pool = |state: &&State| state.server.pool == demand.pool && state.slot_ms > 0.0;
            let measured = self.servers.iter().filter(in_pool);
            fastest_ms = measured.map(|state| state.slot_ms).min_by(f64::total_cmp);
        }
        Common {
            source: None,
            fastest_ms,
            speed: self.speeds.speed(&demand.pool, &self.settings.speed),
            price: self.price(&demand.pool),
            remote_ms: self.remote_ms(demand),
        }
    }

    /// What the predictions of a request have in common.
    pub(crate) fn common_with_source(
        &self,
        now: Time,
        demand: &Demand,
        parts: &[(u64, u32)],
    ) -> Common {
        Common {
            source: self.source_for(now, demand, parts),
            ..self.common(demand)
        }
    }

    /// The engine that parts of the prompt may be fetched from, if the request has a prompt.
    fn source_for(&self, now: Time, demand: &Demand, parts: &[(u64, u32)]) -> Option<Source> {
        demand.prompt.as_ref()?;
        self.source(now, demand, parts)
    }

    /// Predicts the times of a request on the server with the index `at`, which has `cached_tokens`
    /// of its prompt cached and may fetch more from the source of `common`.
    pub(crate) fn candidate(
        &self,
        now: Time,
        demand: &Demand,
        parts: &[(u64, u32)],
        at: usize,
        cached_tokens: u32,
        common: Common,
    ) -> Candidate {
        let state = &self.servers[at];
        let settings = &self.settings;
        let remote_ms = if state.server.domain == demand.domain {
            0.0
        } else {
            common.remote_ms
        };
        let failure_factor = 1.0 + settings.failure_weight * state.health.failure_rate();
        let Some(prompt) = &demand.prompt else {
            let slot_ms = state.slot_ms_or(unmeasured_slot_ms(now, state, common.fastest_ms));
            let wait_ms = slot_wait_ms(state, slot_ms);
            // Even while slots are free, the load counts: spreading requests over the servers keeps
            // the bursts of other hosts apart.
            let spread = state.load.len() as f64 * slot_ms / f64::from(state.server.slots.max(1));
            return Candidate {
                server: at,
                wait_ms,
                own_ms: slot_ms,
                first_ms: 0.0,
                cached_tokens: 0,
                fetch: None,
                score: (wait_ms + spread + slot_ms) * failure_factor + remote_ms,
            };
        };
        let speed = common.speed;
        let wait_ms = engine_wait_ms(state, now, &speed);
        let load = state.load.len() as f64;
        // A hash of the prompt decides between otherwise equal servers, so that placers that do not
        // know of each other send the same parts to the same servers.
        let affinity = affinity(parts, &state.server.id);
        let price = common.price;
        let candidate = |cached_tokens: u32, fetch: Option<Fetch>| {
            let prefill = speed.prefill(prompt.input_tokens, cached_tokens);
            let own_ms = state.load.prefill_ms(&prefill, &speed);
            let arrival = fetch.map_or(0.0, |fetch| fetch.arrival_ms);
            let start = wait_ms.max(arrival);
            let tie_break = affinity * (4.0 + settings.home_weight * own_ms);
            let first_ms = speed.first_ms;
            let copy_ms = match price {
                Some(price) => {
                    let fetched = fetch.map_or(0, |fetch| fetch.tokens);
                    let late_ms = price.late_ms(start + own_ms + first_ms, demand, settings);
                    price.transfer_ms(fetched) + late_ms
                }
                None => settings.fetch_weight * arrival,
            };
            let failure_ms = price.map_or(0.0, |price| {
                price.failure_ms(state.health.failure_rate(), demand)
            });
            let cost = start + settings.reading_weight * own_ms + copy_ms + failure_ms;
            Candidate {
                server: at,
                wait_ms: start,
                own_ms,
                first_ms,
                cached_tokens,
                fetch,
                score: (cost + load) * failure_factor + remote_ms + tie_break,
            }
        };
        let without_fetch = candidate(cached_tokens, None);
        let with_fetch = common.source.and_then(|source| {
            let fetch = self.fetch(now, demand, source, at, cached_tokens)?;
            Some(candidate(source.cached_tokens, Some(fetch)))
        });
        match with_fetch {
            Some(with_fetch) if with_fetch.score < without_fetch.score => with_fetch,
            _ => without_fetch,
        }
    }

    /// Cache capacity of the engines of a pool, in tokens.
    fn cache_tokens(&self, pool: &str) -> u64 {
        self.engine(pool)
            .map_or(u64::MAX, |engine| engine.cache_tokens)
    }

    fn engine(&self, pool: &str) -> Option<&Engine> {
        let mut pools = self.document.pools.iter();
        pools.find(|known| &*known.name == pool)?.engine.as_ref()
    }

    /// Finds the engine with the longest prefilled prefix of the prompt, preferring one in the failure
    /// domain of the entry host.
    fn source(&self, now: Time, demand: &Demand, parts: &[(u64, u32)]) -> Option<Source> {
        self.engine(&demand.pool)?.token_bytes?;
        let sources = self.servers.iter().enumerate().filter(|(_, state)| {
            state.server.pool == demand.pool
                && !state.replaced
                && !state.health.is_unavailable(now, &demand.domain)
        });
        sources
            .map(|(at, state)| Source {
                server: at,
                cached_tokens: state.cache.ready_tokens(parts),
            })
            .max_by_key(|source| {
                (
                    source.cached_tokens,
                    self.servers[source.server].server.domain == demand.domain,
                )
            })
    }

    /// Predicts the transfer from `source` to the server with the index `to`, which has the first
    /// `cached_tokens` cached already. Returns `None` if it is impossible or not worth its setup.
    fn fetch(
        &self,
        now: Time,
        demand: &Demand,
        source: Source,
        to: usize,
        cached_tokens: u32,
    ) -> Option<Fetch> {
        let engine = self.engine(&demand.pool)?;
        let tokens = source.cached_tokens.saturating_sub(cached_tokens);
        let has_link = engine.link_mbps > 0.0;
        if source.server == to || tokens < self.settings.min_fetch_tokens || !has_link {
            return None;
        }
        let (from, into) = (&self.servers[source.server], &self.servers[to]);
        let bits = f64::from(tokens) * engine.token_bytes? as f64 * 8.0;
        let mut transfer_ms = bits / (engine.link_mbps * 1_000.0);
        if from.server.domain != into.server.domain {
            transfer_ms *= REMOTE_TRANSFER_FACTOR;
        }
        let start = from.link_until.max(into.link_until) - now.as_ms() as f64;
        let arrival_ms = start.max(0.0) + TRANSFER_SETUP_MS + transfer_ms;
        arrival_ms.is_finite().then_some(Fetch {
            from: source.server,
            arrival_ms,
            tokens,
        })
    }

    /// Returns the refusal of a request that would be too late on the best server, or `None` if the
    /// request is admitted. `has_returned` tells whether it was refused before.
    fn refusal(
        &mut self,
        now: Time,
        demand: &Demand,
        best: &Candidate,
        has_returned: bool,
    ) -> Option<Decision> {
        let total = best.total_ms();
        if total > f64::from(demand.remaining_ms) {
            return Some(refuse(Reason::Deadline, best.wait_ms, total));
        }
        let limit = self.limit(now, demand, has_returned);
        let max_wait = self.max_wait_ms(demand, best, &limit);
        (best.wait_ms > max_wait)
            .then(|| refuse(limit.reason(), best.wait_ms, best.wait_ms - max_wait))
    }

    /// The longest time that a request may wait on the server of a candidate, in ms.
    pub(crate) fn max_wait_ms(&self, demand: &Demand, best: &Candidate, limit: &Limit) -> f64 {
        let waited = f64::from(demand.waited_ms);
        let objective = f64::from(demand.objective_ms);
        let own = best.first_ms + best.own_ms.min(self.settings.own_cap * objective);
        (limit.objectives * objective - waited - own).max(0.0)
    }

    /// The limit that applies to a request. `has_returned` tells whether it was refused before.
    pub(crate) fn limit(&mut self, now: Time, demand: &Demand, has_returned: bool) -> Limit {
        let capacity = self.document.limits.tokens_per_s;
        let capacity = capacity.filter(|tokens_per_s| *tokens_per_s > 0.0);
        let excess = match (&demand.account, &demand.prompt, capacity) {
            (Some(account), Some(_), Some(capacity)) => {
                Some(self.shares.excess(now, account, capacity))
            }
            _ => None,
        };
        let beyond = excess.filter(|excess| excess.guaranteed > 1.0);
        let (rule, objectives) = if let Some(excess) = beyond {
            // The limit falls with the excess. Otherwise an account that floods the fleet gets more
            // than one that requests little more than its share.
            let slope = self.settings.excess_slope;
            let part = (1.0 + slope * (1.0 - excess.actual)).clamp(MIN_EXCESS_PART, 1.0);
            let return_part = if has_returned {
                self.settings.excess_return_part
            } else {
                1.0
            };
            let limit = self.settings.excess_limit * part * return_part;
            (Rule::ExcessLimit, limit)
        } else if demand.returning {
            (Rule::ReturnLimit, self.settings.return_limit)
        } else {
            (Rule::Limit, self.settings.limit)
        };
        Limit {
            rule,
            objectives,
            excess,
        }
    }

    /// Replaces the decision `refusal` of [`Placer::refusal`] for a request that can wait, or that is late and must
    /// not be placed where it delays others.
    fn wait_or(
        &mut self,
        refusal: Option<Decision>,
        now: Time,
        demand: &Demand,
        best: &Candidate,
        has_returned: bool,
    ) -> Option<Decision> {
        let capacity = self.waiting_capacity(demand);
        let (Some(capacity), Some(account)) = (capacity, &demand.account) else {
            return refusal;
        };
        let usable = self
            .servers
            .iter()
            .filter(|state| state.is_usable(now, &demand.pool, &demand.domain));
        let speed = self.speeds.speed(&demand.pool, &self.settings.speed);
        let waits: Vec<f64> = usable
            .map(|state| state.load.wait_ms(now, &speed))
            .collect();
        self.queue.observe(now, &demand.pool, &waits);
        let objective_ms = f64::from(demand.objective_ms);
        let is_late = demand.returning
            || has_returned
            || f64::from(demand.waited_ms) + best.total_ms() > objective_ms;
        let reason = match refusal {
            None if !is_late => None,
            None => Some(Reason::Overload),
            Some(Decision::Refuse { reason, .. }) => Some(reason),
            Some(Decision::Place { .. } | Decision::Wait { .. }) => return refusal,
        };
        let Some(reason) = reason.filter(|reason| *reason != Reason::Deadline) else {
            self.queue.remove(demand.key);
            return refusal;
        };
        let ask = Ask {
            key: demand.key,
            pool: Arc::clone(&demand.pool),
            excess: self
                .shares
                .excess(now, account, capacity)
                .guaranteed
                .max(1.0),
            is_late,
            has_returned,
            objective_ms,
            remaining_ms: f64::from(demand.remaining_ms),
            wait_ms: best.wait_ms,
            own_ms: best.own_ms,
            first_ms: best.first_ms,
        };
        match self.queue.decide(now, &ask, &waits) {
            Answer::Place => None,
            Answer::Wait { again_ms } => Some(Decision::Wait { again_ms }),
            Answer::Refuse => Some(spread_refusal(reason, best.wait_ms, demand)),
        }
    }

    /// The capacity that accounts share, in weighted tokens per second, if the request may wait: waiting is on, and a
    /// route to the pool has a timeout of several objectives.
    fn waiting_capacity(&self, demand: &Demand) -> Option<f64> {
        if !self.settings.waiting || demand.prompt.is_none() {
            return None;
        }
        let mut routes = self.document.routes.iter();
        let is_patient = routes.any(|route| {
            route.timeout_ms >= MIN_TIMEOUT_OBJECTIVES.saturating_mul(route.objective_ms)
                && route
                    .targets
                    .iter()
                    .any(|target| target.pool == demand.pool)
        });
        let capacity = self.document.limits.tokens_per_s;
        capacity.filter(|tokens_per_s| is_patient && *tokens_per_s > 0.0)
    }

    /// Removes the assignments of entry hosts that were lost.
    fn expire(&mut self, now: Time) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry = now;
        self.queue.expire(now);
        let expired: Vec<Key> = self
            .assignments
            .iter()
            .filter(|assignment| assignment.expires < now)
            .map(|assignment| assignment.key)
            .collect();
        for key in expired {
            self.record_end(now, key, Outcome::Cancelled);
        }
    }

    fn assignment_index(&self, key: Key) -> Result<usize, usize> {
        self.assignments
            .binary_search_by_key(&key, |assignment| assignment.key)
    }

    fn server_index(&self, id: &str) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|state| (*state.server.id).cmp(id))
    }
}

fn is_in(pools: &[Arc<str>], pool: &str) -> bool {
    pools.binary_search_by(|known| (**known).cmp(pool)).is_ok()
}

/// The cache keys and lengths of the prompt parts; empty for a plain service.
pub(crate) fn parts_of(demand: &Demand) -> Vec<(u64, u32)> {
    demand.prompt.iter().flat_map(cache::part_keys).collect()
}

/// Returns a refusal that tells the caller to retry `delay_ms` after the start of
/// [`RETRY_AFTER_MS`], but within that range.
fn refuse_quarantined(remaining_ms: u64) -> Decision {
    Decision::Refuse {
        reason: Reason::Quarantined,
        retry_after_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
        wait_ms: 0,
    }
}

fn refuse(reason: Reason, wait_ms: f64, delay_ms: f64) -> Decision {
    let retry_after_ms =
        (delay_ms + RETRY_AFTER_MS.start()).clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
    Decision::Refuse {
        reason,
        retry_after_ms: retry_after_ms as u32,
        wait_ms: wait_ms as u32,
    }
}

/// Returns a refusal that spreads the retries of callers who are refused at the same time.
fn spread_refusal(reason: Reason, wait_ms: f64, demand: &Demand) -> Decision {
    let longest_ms = f64::from(demand.remaining_ms) * HONOURED_PART;
    let span_ms = (longest_ms - RETRY_AFTER_MS.start()).clamp(0.0, RETRY_SPREAD_MS);
    let draw = FixedState::default().hash_one(demand.key) % 1_024;
    refuse(reason, wait_ms, span_ms * draw as f64 / 1_024.0)
}

/// Time until an engine starts one more request, in ms: it prefills the prompts of the others, and a slot must be free.
fn engine_wait_ms(state: &State, now: Time, speed: &Speed) -> f64 {
    let slot_ms = state.slot_ms_or(INITIAL_ENGINE_SLOT_MS);
    state.load.wait_ms(now, speed) + slot_wait_ms(state, slot_ms)
}

/// Time until a slot is free, in ms: while all slots are in use, one becomes free every
/// `slot_ms / slots`.
fn slot_wait_ms(state: &State, slot_ms: f64) -> f64 {
    let slots = state.server.slots.max(1) as usize;
    let ahead = (state.load.len() + 1).saturating_sub(slots);
    ahead as f64 * slot_ms / slots as f64
}

/// The assumed slot time of a plain server without measurements, in ms. If it is idle, it counts as slightly faster than
/// the fastest measured server of its pool; otherwise it would get no request of a light load, and would never be measured.
/// While it has a request, it counts as the initial value, so that a burst does not go to a server that may be slow, and
/// for a while after a request to it was cancelled, since it may hang. As its requests fail, it approaches the initial
/// value too, since failures are not measured.
fn unmeasured_slot_ms(now: Time, state: &State, fastest_ms: Option<f64>) -> f64 {
    match fastest_ms {
        Some(fastest_ms) if state.load.is_empty() && !state.health.is_cancelled(now) => {
            let failed_ms = state.health.failure_rate() * INITIAL_PLAIN_SLOT_MS;
            let assumed_ms = fastest_ms * UNMEASURED_FACTOR;
            assumed_ms.max(failed_ms).min(INITIAL_PLAIN_SLOT_MS)
        }
        _ => INITIAL_PLAIN_SLOT_MS,
    }
}

/// A hash of the server and of the last shared part of the prompt, or of the only part; from 0 to
/// below 1. The server with the lowest value is preferred.
fn affinity(parts: &[(u64, u32)], server: &str) -> f64 {
    let shared = parts.len().saturating_sub(2);
    let part = parts.get(shared).map(|part| part.0);
    let hash = FixedState::default().hash_one((part, server));
    (hash % 4_096) as f64 / 4_096.0
}
