//! Speed figures that are learnt for whole pools.

mod support;

use std::collections::BTreeSet;
use std::hash::BuildHasher;
use std::sync::Arc;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use primrose_place::demand::Key;
use primrose_place::engine::{Sample, Speed, Work};
use primrose_place::placer::{Decision, Outcome, Placer};
use primrose_place::speed::{Figures, Register};
use primrose_place::{Server, Settings};
use primrose_route::document::{Kind, Route, Target};
use support::{POOL, demand, document, engine, engines, fast_document};
use test_case::test_case;

/// Length of prompts whose prefill says little about the speed of an engine, in tokens.
const SHORT: u32 = 100;

/// A placer that learns the figures of its pool.
fn placer(count: u32) -> Placer {
    let mut placer = Placer::new(Settings::default());
    placer.set_servers(&engines(count));
    placer.set_document(&fast_document());
    placer
}

/// Sends `count` requests of `tokens` tokens, one after the other, to engines that take `factor` times the default time
/// for a prefill and `first_ms` until the first event. Every tenth report of short
/// prompts is 400 ms late.
fn serve(placer: &mut Placer, start: u64, count: u64, tokens: u32, factor: f64, first_ms: f64) {
    for sequence in start..start + count {
        let at = Time::from_ms(sequence * 1_000);
        let request = demand(sequence, sequence, 0, tokens);
        let Decision::Place { .. } = placer.place(at, &request) else {
            panic!("refused");
        };
        let is_late = tokens == SHORT && sequence % 10 == 0;
        let late = if is_late { 400.0 } else { 0.0 };
        let prefill_ms = f64::from(tokens) / 93.0 * 1.1 * factor;
        let event = at.plus_ms((prefill_ms + first_ms + 10.0 + late) as u64);
        placer.record_first_event(event, request.key);
        placer.record_end(event, request.key, Outcome::Answered { failed: false });
    }
}

fn predicted_ms(placer: &mut Placer, at: u64, tokens: u32) -> u32 {
    match placer.place(Time::from_ms(at * 1_000), &demand(at, at, 0, tokens)) {
        Decision::Place { predicted_ms, .. } => predicted_ms,
        Decision::Refuse { reason, .. } => panic!("refused: {reason:?}"),
        Decision::Wait { .. } => panic!("waits although waiting is off"),
    }
}

// If the fixed time of the first event is wrong, every prediction is wrong by the difference. Late reports must not
// distort it, nor values that no engine has.
#[test_case(40.0, 35..55; "shorter")]
#[test_case(150.0, 140..165; "longer")]
#[test_case(800.0, 425..435; "bounded")]
fn fixed_time_of_the_first_event_is_learnt(first_ms: f64, expected: std::ops::Range<u32>) {
    let mut placer = placer(1);
    serve(&mut placer, 1, 600, SHORT, 1.0, first_ms);
    let predicted = predicted_ms(&mut placer, 1_000, SHORT);
    assert!(expected.contains(&predicted), "{predicted}");
}

// A new engine of a pool of slow engines got the load of a fast one until its speed was measured.
#[test]
fn new_server_starts_from_the_median_of_its_pool() {
    let mut placer = placer(3);
    serve(&mut placer, 1, 300, 9_300, 2.5, 85.0);
    let known = predicted_ms(&mut placer, 1_000, 9_300);
    placer.set_servers(&engines(4)[3..]);
    let new = predicted_ms(&mut placer, 1_010, 9_300);
    assert!(new.abs_diff(known) < 30, "known {known}, new {new}");
}

// Engines that are twice as fast as the operators' figures looked slower than they are, and got too little.
#[test]
fn fast_engine_is_recognised() {
    let mut placer = placer(1);
    serve(&mut placer, 1, 300, 9_300, 0.49, 85.0);
    let predicted = predicted_ms(&mut placer, 1_000, 9_300);
    assert!(predicted < 85 + 65, "{predicted}");
}

// Pools whose cached tokens have the size in the settings must be served as before figures were learnt. The hashes of all
// decisions come from the build 44f49d4, which had no learnt figures. With fast links, copies have a price.
#[test_case(180_000.0, 447_846_972_626_823_749; "slow links")]
#[test_case(500_000.0, 15_592_070_961_528_505_769; "fast links")]
fn other_pools_are_served_as_before(link_mbps: f64, expected: u64) {
    let mut placer = support::placer(6);
    let mut document = (*document(Some(40_000.0))).clone();
    let engine = document.pools[0].engine.as_mut().expect("an engine");
    engine.link_mbps = link_mbps;
    placer.set_document(&Arc::new(document));
    let mut events = BTreeSet::<(u64, bool, u64)>::new();
    let mut decisions = String::new();
    for sequence in 0..6_000_u64 {
        let now_ms = 1_000 + sequence * 7;
        while events.first().is_some_and(|event| event.0 <= now_ms)
            && let Some((at, is_end, sequence)) = events.pop_first()
        {
            let (at, key) = (Time::from_ms(at), demand(sequence, 0, 0, 1).key);
            if is_end {
                placer.record_end(at, key, Outcome::Answered { failed: false });
            } else {
                placer.record_first_event(at, key);
            }
        }
        let shared = (sequence * 37 % 11) as u32 * 900;
        let own = 50 + (sequence * 53 % 17) as u32 * 40;
        let request = demand(sequence, sequence % 23, shared, own);
        let decision = placer.place(Time::from_ms(now_ms), &request);
        if let Decision::Place { predicted_ms, .. } = &decision {
            let is_late = sequence % 10 == 0;
            let late = if is_late { 400 } else { sequence % 13 };
            let first = now_ms + u64::from(*predicted_ms) * (7 + sequence % 5) / 10 + late;
            events.insert((first, false, sequence));
            events.insert((first + 500, true, sequence));
        }
        decisions += &format!("{decision:?}\n");
    }
    let hash = FixedState::default().hash_one(decisions.as_bytes());
    assert_eq!(hash, expected);
}

/// The true figures of a pool.
struct Truth {
    speed: Speed,
    step_ms_per_running: f64,
    slots: u32,
    factors: [f64; 3],
}

fn truth(figures: [f64; 6], slots: u32, factors: [f64; 3]) -> Truth {
    let speed = Speed {
        tokens_per_ms: figures[0],
        ms_per_million_pairs: figures[1],
        step_ms: figures[2],
        step_ms_per_thousand: figures[4],
        first_ms: figures[5],
        ..Speed::default()
    };
    Truth {
        speed,
        step_ms_per_running: figures[3],
        slots,
        factors,
    }
}

fn m() -> Truth {
    let figures = [112.0, 0.218, 3.41, 0.097, 0.0023, 31.0];
    truth(figures, 16, [0.7, 0.7, 1.7])
}

fn k() -> Truth {
    let figures = [36.7, 0.248, 4.34, 0.151, 0.0019, 22.0];
    truth(figures, 64, [1.0; 3])
}

/// The next number of a deterministic sequence, below 1.
fn draw(seed: &mut u64) -> f64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

#[derive(Clone, Copy)]
struct Request {
    key: Key,
    read: f64,
    tokens: f64,
    steps_left: u32,
    sent: f64,
    predicted: f64,
    is_odd: bool,
}

/// An engine that works in steps.
#[derive(Clone, Default)]
struct Standin {
    free_at: f64,
    /// Takes 2.5 times as long until then.
    slow_until: f64,
    queue: Vec<Request>,
    running: Vec<Request>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    on_time: u32,
    late: u32,
    refused: u32,
    /// Sum of the differences between predicted and actual times, in ms.
    error_ms: f64,
}

impl Tally {
    fn mean_error_ms(&self) -> f64 {
        self.error_ms / f64::from(self.on_time + self.late)
    }
}

/// Engines and their placer in virtual time.
struct Replay {
    placer: Placer,
    /// Receives the figures of `placer`, and the reports of half of the requests, those of assignments 12 ms late.
    follower: Placer,
    truth: Truth,
    now_ms: u64,
    tally: Tally,
    /// The part of the requests whose report is late, or whose cached parts were evicted.
    odd: f64,
    /// Delay of all reports, in ms.
    delay_ms: f64,
    standins: Vec<Standin>,
    /// Time, key, and whether it is the end of the request.
    reports: BTreeSet<(u64, Key, bool)>,
    seed: u64,
}

impl Replay {
    /// A replay whose placer learns the figures, or uses the default ones.
    fn new(truth: Truth, is_learnt: bool) -> Replay {
        let mut settings = Settings::default();
        let mut document = (*fast_document()).clone();
        let figures = document.pools[0].engine.as_mut().expect("an engine");
        figures.slots = truth.slots;
        if !is_learnt {
            settings.speed.token_bytes = figures.token_bytes.expect("a size");
        }
        let mut placer = Placer::new(settings);
        placer.set_document(&Arc::new(document));
        let slots = truth.slots;
        let servers = (1..=12).map(|number| Server {
            slots,
            ..engine(number)
        });
        placer.set_servers(&servers.collect::<Vec<_>>());
        Replay {
            follower: placer.clone(),
            placer,
            truth,
            now_ms: 1_000,
            tally: Tally::default(),
            odd: 0.1,
            delay_ms: 0.0,
            standins: vec![Standin::default(); 12],
            reports: BTreeSet::new(),
            seed: 1,
        }
    }

    fn figures(&self) -> Figures {
        self.placer.figures(Time::from_ms(self.now_ms)).remove(0)
    }

    /// Runs one step of the engine with the index `at`.
    fn run_step(&mut self, at: usize) {
        let (now, speed) = (self.now_ms as f64, &self.truth.speed);
        let standin = &mut self.standins[at];
        let context: f64 = standin.running.iter().map(|request| request.tokens).sum();
        let mut ms = speed.step_ms
            + self.truth.step_ms_per_running * standin.running.len() as f64
            + speed.step_ms_per_thousand * context / 1_000.0;
        let mut room = speed.chunk_tokens;
        for request in &mut standin.queue {
            let chunk = f64::min(room, request.tokens - request.read);
            let pairs = chunk * (request.read + chunk / 2.0);
            ms += chunk / speed.tokens_per_ms + pairs * speed.ms_per_million_pairs / 1e6;
            request.read += chunk;
            room -= chunk;
        }
        let slow = if standin.slow_until > now { 2.5 } else { 1.0 };
        standin.free_at = standin.free_at.max(now - 1.0) + ms * self.truth.factors[at % 3] * slow;
        let event = standin.free_at + speed.first_ms;
        for request in &mut standin.running {
            request.steps_left -= 1;
        }
        for ended in standin
            .running
            .extract_if(.., |request| request.steps_left == 0)
        {
            self.reports.insert((event as u64 + 20, ended.key, true));
        }
        for begun in standin
            .queue
            .extract_if(.., |request| request.read >= request.tokens)
        {
            let took = event - begun.sent;
            self.tally.on_time += u32::from(took <= 400.0);
            self.tally.late += u32::from(took > 400.0);
            self.tally.error_ms += (took - begun.predicted).abs();
            let late = if begun.is_odd { 400.0 } else { 0.0 };
            let at = event + 4.0 + 12.0 * draw(&mut self.seed) + late + self.delay_ms;
            self.reports.insert((at as u64, begun.key, false));
            standin.running.push(begun);
        }
    }

    fn send(&mut self, tokens: u32, part: u64, shared: u32) {
        let mut demand = demand(self.now_ms, part, shared, tokens - shared);
        demand.objective_ms = 400;
        let decision = self.placer.place(Time::from_ms(self.now_ms), &demand);
        let Decision::Place {
            server,
            predicted_ms,
            cached_tokens,
            ..
        } = decision
        else {
            self.tally.refused += 1;
            return;
        };
        let reported = Time::from_ms(self.now_ms + 12);
        if demand.key.sequence.is_multiple_of(2) {
            self.follower
                .record_assignment(reported, &demand, &server.id);
        }
        let is_odd = draw(&mut self.seed) < self.odd;
        let is_evicted = is_odd && draw(&mut self.seed) < 0.5;
        let at = (1..).position(|number| engine(number).id == server.id);
        let request = Request {
            key: demand.key,
            read: f64::from(if is_evicted { 0 } else { cached_tokens }),
            tokens: f64::from(tokens),
            steps_left: 100,
            sent: self.now_ms as f64,
            predicted: f64::from(predicted_ms),
            is_odd: is_odd && !is_evicted,
        };
        self.standins[at.expect("a known engine")]
            .queue
            .push(request);
    }

    /// Sends `per_s` requests per second for `ms` ms, more in every other half second, with prompts of 100 to 50,000
    /// tokens. Half of the prompts begin with a part that may be cached.
    fn run(&mut self, ms: u64, per_s: f64, tokens: f64) -> Tally {
        self.tally = Tally::default();
        for _ in 0..ms {
            self.now_ms += 1;
            let now = self.now_ms as f64;
            let mut draws = [(); 6].map(|()| draw(&mut self.seed)).into_iter();
            let mut draw = || draws.next().unwrap_or(0.0);
            if self.now_ms.is_multiple_of(6_000) {
                self.standins[(draw() * 12.0) as usize].slow_until = now + 600.0;
            }
            for at in 0..12 {
                let is_busy = |of: &Standin| !of.queue.is_empty() || !of.running.is_empty();
                while self.standins[at].free_at <= now && is_busy(&self.standins[at]) {
                    self.run_step(at);
                }
            }
            while self
                .reports
                .first()
                .is_some_and(|report| report.0 <= self.now_ms)
                && let Some((_, key, is_end)) = self.reports.pop_first()
            {
                let now = Time::from_ms(self.now_ms);
                for placer in [&mut self.placer, &mut self.follower] {
                    if is_end {
                        placer.record_end(now, key, Outcome::Answered { failed: false });
                    } else {
                        placer.record_first_event(now, key);
                    }
                }
            }
            if self.now_ms.is_multiple_of(200) {
                let now = Time::from_ms(self.now_ms);
                let figures = self.placer.figures(now);
                self.follower.adopt_figures(now, &figures);
            }
            let swing = if self.now_ms % 1_000 < 500 { 1.4 } else { 0.6 };
            if draw() < per_s / 1_000.0 * swing {
                let tokens = tokens * ((draw() - 0.5) * 4.6).exp();
                let tokens = tokens.clamp(100.0, 50_000.0) as u32;
                let shared = if draw() < 0.5 { tokens / 2 } else { 0 };
                self.send(tokens, (draw() * 200.0) as u64, shared);
            }
        }
        self.tally
    }
}

// With the figures of other engines, predictions are wrong and requests are sent to engines that are late with them. The
// load is near to what the engines can serve.
#[test_case(m, 4_000.0, 45.0; "M")]
#[test_case(k, 2_000.0, 60.0; "K")]
fn requests_are_served_better(truth: fn() -> Truth, tokens: f64, error_ms: f64) {
    let [with_settings, learnt] = [false, true].map(|is_learnt| {
        let mut sum = Tally::default();
        for seed in 1..=5 {
            let mut replay = Replay::new(truth(), is_learnt);
            replay.seed = seed;
            replay.run(10_000, 130.0, tokens);
            let tally = replay.run(60_000, 130.0, tokens);
            sum.on_time += tally.on_time;
            sum.late += tally.late;
            sum.refused += tally.refused;
            sum.error_ms += tally.error_ms;
        }
        sum
    });
    println!("with the settings {with_settings:?}, learnt {learnt:?}");
    assert!(learnt.on_time > with_settings.on_time);
    assert!(learnt.mean_error_ms() < error_ms);
    assert!(learnt.mean_error_ms() < 0.7 * with_settings.mean_error_ms());
}

// The figures themselves must be found, although one sample in ten is 400 ms late, within 1,000 samples. The time of a
// step for its running requests counts as one for their context, of 4,000 tokens each.
#[test_case(m(); "M")]
#[test_case(k(); "K")]
fn each_figure_is_found(truth: Truth) {
    let settings = Speed::default();
    let mut register = Register::default();
    register.set_document(&fast_document(), &settings);
    let mut speed = truth.speed;
    speed.step_ms_per_thousand += truth.step_ms_per_running / 4.0;
    let mut seed = 1;
    for number in 0..1_000_u64 {
        let mut draw = || draw(&mut seed);
        let (uncached, cached) = (100.0 * (draw() * 6.2).exp(), 20_000.0 * draw());
        let steps = uncached / 2_048.0 + 0.25;
        let work = Work {
            uncached,
            pairs: uncached * (cached + uncached / 2.0),
            steps,
            context_tokens: steps * 80_000.0 * draw(),
        };
        let was_free = number % 2 == 0;
        let slowdown = truth.factors[number as usize % 3];
        let computed = work.uncached / speed.tokens_per_ms
            + work.pairs * speed.ms_per_million_pairs / 1e6
            + work.steps * speed.step_ms
            + work.context_tokens * speed.step_ms_per_thousand / 1_000.0;
        let fixed = if was_free { speed.first_ms } else { 0.0 };
        let late = if draw() < 0.1 { 400.0 } else { 0.0 };
        let sample = Sample {
            work,
            slowdown,
            was_free,
            elapsed_ms: computed * slowdown + fixed + late + 12.0 * (draw() - 0.5),
        };
        let now = Time::from_ms(number * 10);
        if register.record(now, POOL, &sample, &settings) {
            register.fit(now, POOL, 1.0, &settings);
        }
    }
    // At most one in 10 s is reported.
    assert_eq!(register.take_changes().len(), 1);
    let learnt = register.speed(POOL, &settings);
    let ratios = [
        learnt.tokens_per_ms / speed.tokens_per_ms,
        learnt.ms_per_million_pairs / speed.ms_per_million_pairs,
        learnt.step_ms / speed.step_ms,
        learnt.step_ms_per_thousand / speed.step_ms_per_thousand,
        learnt.first_ms / speed.first_ms,
    ];
    assert!(
        ratios.iter().all(|ratio| (0.8..1.2).contains(ratio)),
        "{ratios:?}"
    );
}

// A minute in which three of ten reports or caches are wrong must not lead to refusals while the load is light, nor to
// figures far from those before.
#[test]
fn odd_samples_move_no_figure_far() {
    let mut replay = Replay::new(m(), true);
    replay.run(30_000, 110.0, 4_000.0);
    let before = replay.figures();
    replay.odd = 0.3;
    replay.run(60_000, 80.0, 4_000.0);
    let after = replay.figures();
    let ratios = [
        after.tokens_per_ms / before.tokens_per_ms,
        after.first_ms / before.first_ms,
    ];
    assert!(
        ratios.iter().all(|ratio| (0.8..1.25).contains(ratio)),
        "{ratios:?}"
    );
    replay.odd = 0.1;
    let tally = replay.run(10_000, 60.0, 4_000.0);
    assert_eq!(tally.refused, 0, "{tally:?}");
}

// A placer that takes over has the reports of a part of the requests only. It learnt wrong figures from them, sent these to
// the entry hosts, and refused what its predecessor admitted.
#[test]
fn placer_that_takes_over_knows_the_figures() {
    let mut replay = Replay::new(k(), true);
    replay.run(20_000, 110.0, 2_000.0);
    let before = replay.run(20_000, 110.0, 2_000.0);
    let now = Time::from_ms(replay.now_ms);
    let figures = replay.figures();
    assert!(replay.follower.figures(now).is_empty());
    std::mem::swap(&mut replay.placer, &mut replay.follower);
    replay.run(100, 110.0, 2_000.0);
    let adopted = replay.figures();
    let ratio = adopted.tokens_per_ms / figures.tokens_per_ms;
    assert!((0.9..1.1).contains(&ratio), "{figures:?} {adopted:?}");
    let after = replay.run(20_000, 110.0, 2_000.0);
    assert!(
        after.mean_error_ms() < 1.3 * before.mean_error_ms(),
        "{before:?} {after:?}"
    );
    assert!(
        after.on_time * 20 > before.on_time * 19,
        "{before:?} {after:?}"
    );
}

// A host that decides alone must use the newest figures, keep them while statuses are lost, ignore those that no engine
// can have, and not learn from its own requests, which wait behind those of other hosts.
#[test]
fn host_that_decides_alone_uses_received_figures() {
    let mut replay = Replay::new(k(), true);
    replay.run(20_000, 110.0, 2_000.0);
    let mut alone = placer(1);
    let default = predicted_ms(&mut alone, 1, 9_300);
    alone.set_figures(&[replay.figures()]);
    alone.set_servers(&[]);
    alone.set_servers(&engines(1));
    let with_figures = predicted_ms(&mut alone, 100, 9_300);
    assert!(with_figures > default + 70, "{default}, {with_figures}");
    let mut invalid = [(); 3].map(|()| replay.figures());
    invalid[0].tokens_per_ms = f32::NAN;
    invalid[1].step_ms = 0.0;
    invalid[2].first_ms = f32::INFINITY;
    alone.set_figures(&[]);
    alone.set_figures(&invalid);
    serve(&mut alone, 200, 600, SHORT, 1.0, 300.0);
    assert_eq!(predicted_ms(&mut alone, 1_000, 9_300), with_figures);
    // Nor may slowdowns remain that are relative to older figures.
    serve(&mut alone, 2_000, 100, 9_300, 4.0, 22.0);
    assert_eq!(predicted_ms(&mut alone, 3_000, 9_300), with_figures);
}

fn last_figures(placer: &Placer, at: u64) -> Option<Figures> {
    placer.figures(Time::from_ms(at * 1_000)).pop()
}

// Entry hosts report running requests again to a core host that has restarted. Their first events seemed to follow 10 ms
// before the assignments, and made the engines look fast.
#[test]
fn resent_assignments_are_not_measured() {
    let mut placer = placer(1);
    serve(&mut placer, 1, 300, 9_300, 1.0, 85.0);
    let before = last_figures(&placer, 300);
    let at = Time::from_ms(301_000);
    let ended = Outcome::Answered { failed: false };
    for sequence in 301..341 {
        let request = demand(sequence, sequence, 0, 9_300);
        placer.record_assignment(at, &request, "engine-01");
        placer.record_first_event(at, request.key);
        placer.record_end(at, request.key, ended);
    }
    // Completes the last measurement.
    serve(&mut placer, 342, 2, 9_300, 1.0, 85.0);
    let after = last_figures(&placer, 343);
    let (before, after) = (before.expect("figures"), after.expect("figures"));
    assert!(
        (0.99..1.01).contains(&(after.tokens_per_ms / before.tokens_per_ms)),
        "{before:?} {after:?}"
    );
}

// The wait for a slot was taken for the time of a prefill, so that full engines looked slow.
#[test]
fn waits_for_slots_are_not_measured() {
    let mut placer = placer(1);
    let server = Server {
        slots: 1,
        ..engine(1)
    };
    placer.set_servers(&[server]);
    serve(&mut placer, 1, 300, 9_300, 1.0, 85.0);
    let before = predicted_ms(&mut placer, 400, 9_300);
    let ended = Outcome::Answered { failed: false };
    placer.record_end(Time::from_ms(400_200), demand(400, 0, 0, 1).key, ended);
    for sequence in 401..441 {
        let at = Time::from_ms(sequence * 1_000);
        let [first, second] = [sequence, sequence + 1_000].map(|n| demand(n, n, 0, 9_300));
        for request in [&first, &second] {
            placer.record_assignment(at, request, "engine-01");
        }
        placer.place(at, &demand(5_000, 5_000, 0, 1_000_000));
        placer.record_first_event(at.plus_ms(205), first.key);
        placer.record_end(at.plus_ms(500), first.key, ended);
        placer.record_first_event(at.plus_ms(800), second.key);
        placer.record_end(at.plus_ms(900), second.key, ended);
    }
    let after = predicted_ms(&mut placer, 500, 9_300);
    assert!(after < before + 20, "{before} {after}");
}

/// Serves requests of 2,000 tokens on one engine that takes `factor` times the default time. Others are asked for and
/// refused, so that the placer is in charge.
fn serve_on(placer: &mut Placer, server: &str, sequences: std::ops::Range<u64>, factor: f64) {
    for sequence in sequences {
        let at = Time::from_ms(sequence * 1_000);
        let request = demand(sequence, sequence, 0, 2_000);
        placer.record_assignment(at, &request, server);
        placer.place(at, &demand(sequence + 100_000, 0, 0, 10_000_000));
        let event = at.plus_ms((26.5 * factor + 95.0) as u64);
        placer.record_first_event(event, request.key);
        placer.record_end(event, request.key, Outcome::Answered { failed: false });
    }
}

// The slowdown of an engine without requests was divided by each change of scale of its pool, and drifted to a bound.
#[test]
fn slowdowns_without_samples_follow_the_pool() {
    let mut placer = placer(2);
    serve_on(&mut placer, "engine-02", 1..50, 3.0);
    serve_on(&mut placer, "engine-01", 50..400, 1.5);
    let predicted = [2, 1].map(|other| {
        let mut request = demand(500 + other, 500 + other, 0, 2_000);
        request.tried = vec![engine(other as u32).id];
        match placer.place(Time::from_ms(500_000), &request) {
            Decision::Place { predicted_ms, .. } => predicted_ms,
            decision => panic!("{decision:?}"),
        }
    });
    assert!(predicted[0].abs_diff(predicted[1]) < 5, "{predicted:?}");
}

// One engine that is 20 times slower than the other moved the mean of the pool so far that the figures came to their bound
// and the slowdown of the other engine to its own.
#[test]
fn extremely_slow_engine_does_not_move_the_figures() {
    let mut placer = placer(2);
    let mut range = [f32::MAX, 0.0];
    for sequence in 1..1_200 {
        let at = sequence % 2;
        let factor = if at == 0 { 20.0 } else { 1.0 };
        serve_on(
            &mut placer,
            &engine(at as u32 + 1).id,
            sequence..sequence + 1,
            factor,
        );
        if sequence > 1_000 {
            let figures = last_figures(&placer, sequence).expect("figures");
            range[0] = range[0].min(figures.tokens_per_ms);
            range[1] = range[1].max(figures.tokens_per_ms);
        }
    }
    assert!(range[0] > 93.0 / 2.0, "{range:?}");
    assert!(range[1] < 1.05 * range[0], "{range:?}");
    let mut request = demand(2_000, 2_000, 0, 2_000);
    request.tried = vec![engine(1).id];
    let decision = placer.place(Time::from_ms(2_000_000), &request);
    let Decision::Place { predicted_ms, .. } = decision else {
        panic!("{decision:?}");
    };
    assert!(
        (107..117).contains(&predicted_ms),
        "{predicted_ms}, {range:?}"
    );
}

// A pool that ceased to learn, and a server that moved to one that does not learn, kept the slowdown that was relative to
// the learnt figures.
#[test_case(true; "other document")]
#[test_case(false; "other pool")]
fn nothing_learnt_remains(is_document_replaced: bool) {
    let mut document = (*fast_document()).clone();
    let mut plain = support::document(None).pools[0].clone();
    plain.name = "plain".into();
    document.pools.push(plain);
    let mut learnt = placer(1);
    learnt.set_document(&Arc::new(document.clone()));
    learnt.set_servers(&engines(2));
    for sequence in 1..300 {
        let (server, factor) = [("engine-01", 1.0), ("engine-02", 3.0)][sequence as usize % 2];
        serve_on(&mut learnt, server, sequence..sequence + 1, factor);
    }
    let mut new = Placer::new(Settings::default());
    let mut request = demand(400, 400, 0, 9_300);
    let mut server = engine(1);
    if is_document_replaced {
        document.pools.retain(|pool| &*pool.name == "plain");
        document.pools[0].name = POOL.into();
    } else {
        request.pool = "plain".into();
        server.pool = "plain".into();
    }
    let decisions = [&mut learnt, &mut new].map(|placer| {
        placer.set_document(&Arc::new(document.clone()));
        placer.set_servers(std::slice::from_ref(&server));
        placer.place(Time::from_ms(400_000), &request)
    });
    assert_eq!(decisions[0], decisions[1]);
}

// The queue of late requests predicted the waits with the settings, and gave late requests the place of others where the
// engines are slower.
#[test]
fn queue_uses_the_learnt_figures() {
    let settings = Settings {
        waiting: true,
        ..Settings::default()
    };
    let mut document = (*fast_document()).clone();
    document.limits.tokens_per_s = Some(1e6);
    document.routes.push(Route {
        name: "long".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: Kind::Stream { resumable: false },
        timeout_ms: 50_000,
        objective_ms: 8_000,
        max_gap_ms: None,
        priority: 0,
        targets: vec![Target {
            pool: POOL.into(),
            weight: 1,
        }],
        max_servers: 2,
        allows_anonymous: false,
    });
    let mut placer = Placer::new(settings.clone());
    placer.set_document(&Arc::new(document));
    placer.set_servers(&engines(2));
    let speed = &settings.speed;
    placer.set_figures(&[Figures {
        pool: POOL.into(),
        tokens_per_ms: speed.tokens_per_ms as f32,
        ms_per_million_pairs: speed.ms_per_million_pairs as f32,
        step_ms: 5.0 * speed.step_ms as f32,
        step_ms_per_thousand: speed.step_ms_per_thousand as f32,
        first_ms: speed.first_ms as f32,
    }]);
    let [first, mut late] = [1, 2].map(|sequence| demand(sequence, sequence, 0, 9_300));
    late.returning = true;
    // The first request keeps its engine busy for 198 ms. Late requests may wait for 160 ms.
    let decisions = [first, late].map(|mut request| {
        request.objective_ms = 8_000;
        request.remaining_ms = 50_000;
        placer.place(Time::from_ms(1_000), &request)
    });
    assert!(matches!(decisions[0], Decision::Place { .. }));
    assert!(
        !matches!(decisions[1], Decision::Place { .. }),
        "{decisions:?}"
    );
}

// The figures of one pool with a long name must not keep those of all later pools from other hosts.
#[test]
fn long_name_hides_no_other_pool() {
    let mut document = (*fast_document()).clone();
    let mut long = document.pools[0].clone();
    long.name = "a".repeat(100).into();
    document.pools.push(long.clone());
    let settings = Speed::default();
    let mut register = Register::default();
    register.set_document(&document, &settings);
    let sample = Sample {
        work: Work::default(),
        slowdown: 1.0,
        was_free: true,
        elapsed_ms: 85.0,
    };
    for pool in [POOL, &*long.name] {
        for _ in 0..200 {
            register.record(Time::ZERO, pool, &sample, &settings);
        }
    }
    let figures = register.figures();
    let pools: Vec<&str> = figures.iter().map(|figures| &*figures.pool).collect();
    assert_eq!(pools, [POOL]);
}

// A core host that gets little processor time reads all reports late. The figures followed within seconds, and one request
// in ten was refused. Overdue first events alone lead to 10 refusals, with figures that do not change.
#[test]
fn late_reports_for_a_minute_lead_to_few_refusals() {
    let mut replay = Replay::new(m(), true);
    replay.run(60_000, 110.0, 4_000.0);
    replay.delay_ms = 300.0;
    let during = replay.run(60_000, 60.0, 4_000.0);
    replay.delay_ms = 0.0;
    let after = replay.run(10_000, 60.0, 4_000.0);
    println!("{during:?} {after:?}");
    assert!(during.refused < 100, "{during:?}");
    assert!(after.refused < 10, "{after:?}");
}
