//! Speed figures that are learnt for whole pools.

mod support;

use primrose_base::clock::Time;
use primrose_place::Settings;
use primrose_place::placer::{Decision, Outcome, Placer};
use support::{demand, document, engines, fast_document};
use test_case::test_case;

/// Length of prompts whose prefill says little about the speed of an engine, in tokens.
const SHORT: u32 = 100;

/// A placer that learns the figures of pools with fast links.
fn placer(count: u32) -> Placer {
    let mut placer = Placer::new(Settings {
        learn_speed: true,
        ..Settings::default()
    });
    placer.set_servers(&engines(count));
    placer.set_document(&document(None));
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
#[test_case(800.0, 240..270; "bounded")]
fn fixed_time_of_the_first_event_is_learnt(first_ms: f64, expected: std::ops::Range<u32>) {
    let mut placer = placer(1);
    placer.set_document(&fast_document());
    serve(&mut placer, 1, 600, SHORT, 1.0, first_ms);
    let predicted = predicted_ms(&mut placer, 1_000, SHORT);
    assert!(expected.contains(&predicted), "{predicted}");
}

// A new engine of a pool of slow engines got the load of a fast one until its speed was measured.
#[test]
fn new_server_starts_from_the_median_of_its_pool() {
    let mut placer = placer(3);
    placer.set_document(&fast_document());
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
    placer.set_document(&fast_document());
    serve(&mut placer, 1, 300, 9_300, 0.49, 85.0);
    let predicted = predicted_ms(&mut placer, 1_000, 9_300);
    assert!(predicted < 85 + 65, "{predicted}");
}

// Other deployments must be served as before: with slow links nothing is learnt for the pool.
#[test]
fn slow_links_turn_the_figures_off() {
    let mut placer = placer(1);
    serve(&mut placer, 1, 600, SHORT, 1.0, 40.0);
    assert!((85..92).contains(&predicted_ms(&mut placer, 1_000, SHORT)));
    serve(&mut placer, 1_100, 300, 9_300, 0.49, 85.0);
    placer.set_servers(&engines(2)[1..]);
    let predicted = predicted_ms(&mut placer, 2_000, 9_300);
    assert!(predicted > 85 + 100, "{predicted}");
}
