//! Replays, in virtual time, callers who together request about as much as or more than a pool of engines can serve.

use std::collections::BTreeMap;
use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_place::demand::{Demand, Key, Part, Prompt};
use primrose_place::engine::Speed;
use primrose_place::placer::{Decision, Outcome, Placer};
use primrose_place::{Settings, cache};
use primrose_route::Document;
use primrose_route::document::{Engine, Kind, Route, Target};

use crate::support::{POOL, document, engine, engines};

const ENGINES: u32 = 20;
const ACCOUNTS: usize = 12;
/// Number of different shared parts.
const PARTS: u64 = 384;
/// Length of a replay, in ms.
const MS: u64 = 60_000;

/// A kind of request.
struct Class {
    shared: u32,
    own: u32,
    output: u32,
    objective_ms: u32,
    deadline_ms: u32,
    worth: f64,
    late_worth: f64,
}

const CLASSES: [Class; 2] = [
    Class {
        shared: 13_300,
        own: 3_700,
        output: 120,
        objective_ms: 1_000,
        deadline_ms: 10_000,
        worth: 2.8,
        late_worth: 0.85,
    },
    Class {
        shared: 6_300,
        own: 2_900,
        output: 54,
        objective_ms: 800,
        deadline_ms: 5_000,
        worth: 2.5,
        late_worth: 0.74,
    },
];

fn speed() -> Speed {
    Speed {
        tokens_per_ms: 36.7,
        ms_per_million_pairs: 0.0,
        step_ms: 4.34,
        // 0.15 ms for each running request of about 13,000 tokens.
        step_ms_per_thousand: 0.15 / 13.0,
        ..Speed::default()
    }
}

/// The pattern of the arrivals.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Mean of all arrivals as a part of what the engines can serve.
    pub(crate) mean: f64,
    pub(crate) swing: f64,
    pub(crate) period_ms: f64,
    /// Capacity that accounts share, as a part of what the engines can serve.
    pub(crate) guaranteed: f64,
    pub(crate) seed: u64,
}

/// Worth offered and earned, and requests by their result.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: f64,
    pub(crate) earned: f64,
    pub(crate) sent: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Requests that were refused in the end after at least one wait.
    pub(crate) refused_after_waiting: u32,
    /// Requests that were placed after at least one wait.
    pub(crate) placed_after_waiting: u32,
}

impl Tally {
    /// The part of the offered worth that was earned.
    pub(crate) fn part(&self) -> f64 {
        self.earned / self.offered.max(f64::MIN_POSITIVE)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) all: Tally,
    pub(crate) classes: [Tally; CLASSES.len()],
    accounts: [Tally; ACCOUNTS],
    pub(crate) most_waiting: usize,
    /// Calls that were neither served nor refused in the end.
    pub(crate) unanswered: i64,
    /// Requests that waited when the placer was lost.
    pub(crate) waiting_at_loss: usize,
    /// Requests that were sent to an engine.
    pub(crate) keys: Vec<Key>,
}

impl Report {
    pub(crate) fn worst_class(&self) -> f64 {
        let parts = self.classes.iter().map(Tally::part);
        parts.fold(f64::INFINITY, f64::min)
    }

    pub(crate) fn worst_account(&self) -> f64 {
        let parts = self.accounts.iter().map(Tally::part);
        parts.fold(f64::INFINITY, f64::min)
    }
}

#[derive(Clone, Debug)]
struct Call {
    class: usize,
    account: usize,
    part: u64,
    /// When the caller sent its first attempt, in ms.
    sent: u64,
    /// When this attempt reached the entry host, in ms.
    arrived: u64,
    is_returning: bool,
    has_waited: bool,
    key: Key,
}

enum Event {
    Ask(Call),
    First(Key),
    End(Key),
}

/// A small generator of uniform numbers from 0 to below 1, so that a seed repeats a run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}

/// The document of a pool whose routes have long timeouts.
fn patient_document(tokens_per_s: f64) -> Arc<Document> {
    let mut patient = (*document(Some(tokens_per_s))).clone();
    patient.pools[0].engine = Some(Engine {
        slots: 64,
        cache_tokens: 429_360,
        token_bytes: Some(18_432),
        link_mbps: 88_000.0,
    });
    patient.routes.push(Route {
        name: "long".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: Kind::Stream { resumable: false },
        timeout_ms: 10_000,
        objective_ms: 1_000,
        max_gap_ms: None,
        priority: 0,
        targets: vec![Target {
            pool: POOL.into(),
            weight: 1,
        }],
        max_servers: 2,
        allows_anonymous: false,
    });
    Arc::new(patient)
}

fn contended_placer(settings: &Settings, tokens_per_s: f64) -> Placer {
    let settings = Settings {
        speed: speed(),
        ..settings.clone()
    };
    let mut placer = Placer::new(settings);
    placer.set_servers(&engines(ENGINES));
    placer.set_document(&patient_document(tokens_per_s));
    // Each shared part is cached on one engine.
    for part in 0..PARTS {
        let key = cache::part_key(1, part);
        let tokens = CLASSES[part as usize % CLASSES.len()].shared;
        let engine = engine(1 + part as u32 % ENGINES).id;
        placer.record_cached_parts(&engine, &[(key, tokens)]);
    }
    placer
}

/// Tokens of the shared parts that an engine prefills again, because it had no memory left for them or because another
/// one has not finished them yet: the mean of the replays.
const MISSED_TOKENS: u32 = 1_000;

/// Factor by which bursts and floods increase the mean of the arrivals.
const BURST_FACTOR: f64 = 1.21;

/// Requests in each ms that the engines can prefill.
fn capacity() -> f64 {
    let work = CLASSES.iter().map(|class| {
        let prefill = speed().prefill(class.shared + class.own, class.shared - MISSED_TOKENS);
        // About six requests run on each engine.
        prefill.work_ms + prefill.steps * (4.34 + 6.0 * 0.15)
    });
    f64::from(ENGINES) / (work.sum::<f64>() / CLASSES.len() as f64)
}

/// Weighted tokens in each second that the engines can serve.
fn tokens_per_s() -> f64 {
    let tokens = CLASSES
        .iter()
        .map(|class| f64::from(class.shared + class.own + 2 * class.output));
    capacity() * 1_000.0 * tokens.sum::<f64>() / CLASSES.len() as f64
}

struct Replay {
    placer: Placer,
    /// When each engine finishes its last prefill, in ms, sorted by id.
    busy_until: Vec<(Arc<str>, f64)>,
    /// Requests that generate tokens, by engine.
    running: Vec<(Arc<str>, Key)>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    now: u64,
    report: Report,
}

impl Replay {
    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    fn call(&mut self, call: Call) -> Call {
        self.sequence += 1;
        let key = Key {
            entry: 1,
            sequence: self.sequence,
        };
        Call { key, ..call }
    }

    fn ask(&mut self, call: Call) {
        let class = &CLASSES[call.class];
        let elapsed = (self.now - call.sent) as u32;
        let Some(remaining_ms) = class.deadline_ms.checked_sub(elapsed) else {
            return self.finish(&call, None);
        };
        let demand = Demand {
            key: call.key,
            pool: POOL.into(),
            account: Some(format!("account-{:02}", call.account).into()),
            domain: "north".into(),
            prompt: Some(Prompt {
                model: 1,
                parts: vec![
                    Part {
                        id: call.part,
                        tokens: class.shared,
                    },
                    Part {
                        id: (1 << 32) + call.sent * 1_000 + call.part,
                        tokens: class.own,
                    },
                ],
                input_tokens: class.shared + class.own,
                output_tokens: class.output,
            }),
            objective_ms: class.objective_ms,
            waited_ms: (self.now - call.arrived) as u32,
            remaining_ms,
            returning: call.is_returning,
            tried: Vec::new(),
        };
        let decision = self.placer.place(Time::from_ms(self.now), &demand);
        self.report.most_waiting = self.report.most_waiting.max(self.placer.waiting());
        match decision {
            Decision::Place {
                server,
                cached_tokens,
                ..
            } => self.run(&call, &server.id, cached_tokens),
            Decision::Wait { again_ms } => {
                let again = self.now + u64::from(again_ms);
                let call = Call {
                    has_waited: true,
                    ..call
                };
                self.schedule(again, Event::Ask(call));
            }
            Decision::Refuse { retry_after_ms, .. } => {
                if call.is_returning || retry_after_ms > remaining_ms / 3 {
                    return self.finish(&call, None);
                }
                let arrived = self.now + u64::from(retry_after_ms);
                let call = self.call(Call {
                    arrived,
                    is_returning: true,
                    ..call
                });
                self.schedule(arrived, Event::Ask(call));
            }
        }
    }

    fn run(&mut self, call: &Call, server: &Arc<str>, cached_tokens: u32) {
        let class = &CLASSES[call.class];
        let running = self.running.iter().filter(|(id, _)| id == server).count();
        let step_ms = 4.34 + 0.15 * running as f64;
        let prefill = speed().prefill(class.shared + class.own, cached_tokens);
        let work_ms = prefill.work_ms + prefill.steps * step_ms;
        let at = self.busy_until.binary_search_by(|(id, _)| id.cmp(server));
        let at = at.unwrap_or_else(|at| {
            self.busy_until.insert(at, (Arc::clone(server), 0.0));
            at
        });
        self.report.keys.push(call.key);
        let until = self.busy_until[at].1.max(self.now as f64) + work_ms;
        self.busy_until[at].1 = until;
        let first = (until + speed().first_ms) as u64;
        let end = first + (f64::from(class.output) * step_ms) as u64;
        self.running.push((Arc::clone(server), call.key));
        self.schedule(first, Event::First(call.key));
        self.schedule(end, Event::End(call.key));
        self.finish(call, Some((first - call.sent, end - call.sent)));
    }

    /// Counts a request with the times until its first event and its end, or `None` if it was not served.
    fn finish(&mut self, call: &Call, times: Option<(u64, u64)>) {
        let class = &CLASSES[call.class];
        let report = &mut self.report;
        report.unanswered -= 1;
        let account = &mut report.accounts[call.account];
        for tally in [&mut report.all, &mut report.classes[call.class], account] {
            tally.sent += 1;
            tally.offered += class.worth;
            match times {
                None => {
                    tally.refused += 1;
                    tally.refused_after_waiting += u32::from(call.has_waited);
                }
                Some((first, end)) => {
                    tally.placed_after_waiting += u32::from(call.has_waited);
                    if first <= u64::from(class.objective_ms) {
                        tally.on_time += 1;
                        tally.earned += class.worth;
                    } else if end <= u64::from(class.deadline_ms) {
                        tally.late += 1;
                        tally.earned += class.late_worth;
                    }
                }
            }
        }
    }

    fn run_events(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if at > until {
                break;
            }
            let event = entry.remove();
            self.now = at;
            let now = Time::from_ms(at);
            match event {
                Event::Ask(call) => self.ask(call),
                Event::First(key) => self.placer.record_first_event(now, key),
                Event::End(key) => {
                    self.running.retain(|(_, other)| *other != key);
                    let outcome = Outcome::Answered { failed: false };
                    self.placer.record_end(now, key, outcome);
                }
            }
        }
        self.now = until;
    }
}

/// Replays a load for a minute of virtual time. Account 3 asks for 8 times its usual from second 15 to 22, account 7
/// from second 36 to 43.
/// If the placer is lost at `lost_ms`, another one replaces it that knows the servers and their caches.
pub(crate) fn replay(load: Load, settings: &Settings, lost_ms: Option<u64>) -> Report {
    let mut random = Random(load.seed);
    let placer = || contended_placer(settings, load.guaranteed * tokens_per_s());
    let mut replay = Replay {
        placer: placer(),
        busy_until: Vec::new(),
        running: Vec::new(),
        events: BTreeMap::new(),
        sequence: 0,
        now: 0,
        report: Report::default(),
    };
    let weights: Vec<f64> = (0..ACCOUNTS).map(|at| 1.0 / (at + 3) as f64).collect();
    let total: f64 = weights.iter().sum();
    let mut burst_until = 0;
    for at in 1_000..MS {
        replay.run_events(at);
        if lost_ms == Some(at) {
            replay.report.waiting_at_loss = replay.placer.waiting();
            replay.placer = placer();
        }
        // Short bursts come about every 4 s.
        if random.next() < 1.0 / 4_000.0 {
            burst_until = at + 300;
        }
        let burst = if at < burst_until { 2.0 } else { 1.0 };
        let wave = 1.0 + load.swing * (at as f64 * std::f64::consts::TAU / load.period_ms).sin();
        let rate = capacity() * load.mean / BURST_FACTOR * wave * burst;
        for (account, weight) in weights.iter().enumerate() {
            let floods = matches!((account, at / 1_000), (3, 15..22) | (7, 36..43));
            let factor = if floods { 8.0 } else { 1.0 };
            if random.next() < rate * weight / total * factor {
                let part = (random.next() * PARTS as f64) as u64;
                let class = (part % 2) as usize;
                let call = replay.call(Call {
                    class,
                    account,
                    part,
                    sent: at,
                    arrived: at,
                    is_returning: false,
                    has_waited: false,
                    key: Key {
                        entry: 0,
                        sequence: 0,
                    },
                });
                replay.report.unanswered += 1;
                replay.ask(call);
            }
        }
    }
    replay.run_events(MS + 20_000);
    replay.report
}
