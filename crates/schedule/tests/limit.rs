//! Tests of the slot limit with a model of an engine whose step time increases with the batch size.

use primrose_base::clock::Time;
use primrose_schedule::limit::{Limit, SLOW_FIRST_MS, SLOW_GAP_MS, Sample, Settings};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const REPORT_MS: u64 = 500;
/// Steps until the first token.
const FIRST_STEPS: u64 = 5;

/// Engine model: one step takes `base_us + slope_us * batch`, within 10%, and produces one token for every request.
#[derive(Clone, Copy)]
struct Engine {
    base_us: u64,
    slope_us: u64,
}

impl Engine {
    fn sample(&self, batch: u32, rng: &mut Xoshiro256PlusPlus) -> Sample {
        let step_us = self.base_us + self.slope_us * u64::from(batch);
        let mut sample = Sample::default();
        for _ in 0..u64::from(batch) * REPORT_MS * 1_000 / step_us {
            let us = step_us * rng.random_range(90..=110) / 100;
            sample.gaps += 1;
            sample.slow_gaps += u64::from(us > SLOW_GAP_MS * 1_000);
            // A request has 100 tokens.
            if sample.gaps % 100 == 0 {
                sample.firsts += 1;
                sample.slow_firsts += u64::from(us * FIRST_STEPS > SLOW_FIRST_MS * 1_000);
            }
        }
        sample
    }

    /// Returns the largest batch with less than 5% slow tokens: its steps take at most 50 / 1.09 ms.
    fn best(&self) -> u32 {
        ((45_900 - self.base_us) / self.slope_us) as u32
    }
}

#[derive(Default)]
struct Run {
    /// Slots at each report.
    slots: Vec<u32>,
    gaps: u64,
    slow_gaps: u64,
}

impl Run {
    fn slow_percent(&self) -> f64 {
        100.0 * self.slow_gaps as f64 / self.gaps as f64
    }

    fn last(&self) -> u32 {
        *self.slots.last().expect("the engine has run")
    }
}

/// Runs the engine for `ms` with as many requests as the limit and `demand` allow. Reports arrive `lag_ms` late.
fn run(limit: &mut Limit, engine: Engine, demand: u32, lag_ms: u64, from_ms: u64, ms: u64) -> Run {
    let seed = from_ms + lag_ms;
    println!("seed {seed}");
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut late: Vec<(u64, Sample, u32)> = Vec::new();
    let mut run = Run::default();
    for at in (from_ms..from_ms + ms).step_by(REPORT_MS as usize) {
        let batch = limit.slots().min(demand);
        let sample = engine.sample(batch, &mut rng);
        run.gaps += sample.gaps;
        run.slow_gaps += sample.slow_gaps;
        run.slots.push(limit.slots());
        late.push((at + lag_ms, sample, batch));
        let now = Time::from_ms(at);
        while late.first().is_some_and(|report| report.0 <= at) {
            let (_, sample, busy) = late.remove(0);
            limit.record(now, &sample, busy);
        }
        limit.evaluate(now);
    }
    run
}

const ENGINE: Engine = Engine {
    base_us: 10_000,
    slope_us: 1_500,
};

// Guards against a limit that oscillates or converges to a wrong value, which wastes capacity or misses the latency
// target.
#[test_case(ENGINE, 4, 0 ; "from below")]
#[test_case(ENGINE, 100, 0 ; "from above")]
#[test_case(ENGINE, 4, 1_500 ; "from below with late reports")]
#[test_case(ENGINE, 100, 1_500 ; "from above with late reports")]
#[test_case(Engine { base_us: 40_000, slope_us: 4_000 }, 16, 1_500 ; "one slot is best")]
#[test_case(Engine { base_us: 10_000, slope_us: 300 }, 64, 1_500 ; "large batch")]
fn converges(engine: Engine, configured: u32, lag_ms: u64) {
    let mut limit = Limit::new(configured, Settings::default(), Time::ZERO);
    let first = run(&mut limit, engine, 1_000, lag_ms, 0, 240_000);
    let run = run(&mut limit, engine, 1_000, lag_ms, 240_000, 1_800_000);
    let mean = run.slots.iter().sum::<u32>() as f64 / run.slots.len() as f64;
    let (best, slow) = (engine.best(), run.slow_percent());
    println!(
        "best {best}, from {configured}, {lag_ms} ms late: after 4 min {}",
        run.slots[0]
    );
    println!(
        "then {mean:.1}, {slow:.1}% slow; {:.1}% slow before",
        first.slow_percent()
    );
    assert!(slow <= 5.0, "{slow:.1}% slow tokens, expected at most 5%");
    assert!(
        (mean - f64::from(best)).abs() <= (0.04 * f64::from(best)).max(1.0),
        "mean limit {mean:.1}, expected {best} within 4% or one slot"
    );
}

// Guards against a server that is overloaded for more than a few seconds after it became slower, and against one that
// is not fully used after it became faster again.
#[test]
fn adapts_to_a_change_of_engine_speed() {
    let mut limit = Limit::new(20, Settings::default(), Time::ZERO);
    run(&mut limit, ENGINE, 1_000, 1_500, 0, 300_000);
    let slower = Engine {
        slope_us: 3_000,
        ..ENGINE
    };
    let during = run(&mut limit, slower, 1_000, 1_500, 300_000, 60_000);
    println!("best {}: {:?}", slower.best(), during.slots);
    assert!(
        during.last() <= slower.best() + 1,
        "limit {} of the slower engine, expected at most {}",
        during.last(),
        slower.best() + 1
    );
    let after = run(&mut limit, ENGINE, 1_000, 1_500, 360_000, 600_000);
    println!("best {}: {}", ENGINE.best(), after.last());
    assert!(
        after.last() + 2 >= ENGINE.best(),
        "limit {} of the faster engine, expected at least {}",
        after.last(),
        ENGINE.best() - 2
    );
}

// Guards against a limit that increases while the server is not full: the server would be overloaded by the next
// burst.
#[test]
fn idle_server_keeps_its_limit() {
    let mut limit = Limit::new(12, Settings::default(), Time::ZERO);
    let run = run(&mut limit, ENGINE, 6, 0, 0, 120_000);
    assert!(run.slots.iter().all(|&slots| slots == 12));
}

// Guards against slow first tokens that have no effect if all gaps are short, and against limits outside the bounds.
#[test_case(Sample { gaps: 1_000, slow_gaps: 0, firsts: 40, slow_firsts: 40 }, 2 ; "down to the floor")]
#[test_case(Sample { gaps: 1_000, slow_gaps: 0, firsts: 40, slow_firsts: 0 }, 9 ; "up to the ceiling")]
#[test_case(Sample { gaps: 1_000, slow_gaps: 40, firsts: 40, slow_firsts: 0 }, 5 ; "between half the target and the target")]
#[test_case(Sample { gaps: 3, slow_gaps: 3, firsts: 0, slow_firsts: 0 }, 5 ; "too few samples")]
fn stays_within_bounds(sample: Sample, expected: u32) {
    let (mut settings, slots) = (Settings::default(), 5);
    (settings.floor, settings.ceiling) = (2, 9);
    let mut limit = Limit::new(slots, settings, Time::ZERO);
    for at in (0..120_000).step_by(2_000).map(Time::from_ms) {
        limit.record(at, &sample, limit.slots());
        limit.evaluate(at);
    }
    assert_eq!(limit.slots(), expected);
}
