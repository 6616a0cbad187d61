//! The prediction of the time to the first event.

mod support;

use primrose_base::clock::Time;
use primrose_place::cache::part_keys;
use primrose_place::demand::{Demand, Key, Prompt};
use primrose_place::engine::{Load, Speed};
use primrose_place::placer::{Decision, Outcome};
use support::{demand, placer};

fn key(sequence: u64) -> Key {
    Key { entry: 1, sequence }
}

// The engine is free for other work between the end of a prefill and the first event. If this time
// counts as prefill, a loaded engine looks several times slower than it is, and requests go to
// engines that must prefill shared parts again.
#[test]
fn first_event_latency_does_not_count_as_prefill() {
    let speed = Speed::default();
    let mut load = Load::default();
    let prefill = speed.prefill(10_000, 0);
    let mut now = Time::from_ms(1_000);
    for sequence in 0..50 {
        load.assign(now, key(sequence), prefill);
        let work = load.prefill_ms(&prefill, &speed);
        now = now.plus_ms((work + speed.first_ms) as u64 + 10);
        load.record_first_event(now, key(sequence), &speed);
        load.remove(key(sequence));
        now = now.plus_ms(50);
    }
    assert!(
        (0.9..1.1).contains(&load.slowdown()),
        "slowdown {}, expected about 1",
        load.slowdown()
    );
}

// A report arrives after the engine has started the next prompt, so the wait must be computed from
// the end of the prefill and not from the arrival of the report.
#[test]
fn wait_shrinks_before_the_first_event_is_reported() {
    let speed = Speed::default();
    let mut load = Load::default();
    let prefill = speed.prefill(9_300, 0);
    let own = load.prefill_ms(&prefill, &speed);
    let start = Time::from_ms(1_000);
    load.assign(start, key(1), prefill);
    load.assign(start, key(2), prefill);
    assert!((load.wait_ms(start, &speed) - 2.0 * own).abs() < 1.0);
    let later = start.plus_ms(own as u64 + 50);
    let wait = load.wait_ms(later, &speed);
    assert!(
        (wait - (own - 50.0)).abs() < 2.0,
        "wait {wait} ms, expected {} ms",
        own - 50.0
    );
}

// An engine that has stopped must not look idle because its prefills should be complete by now.
#[test]
fn an_overdue_prefill_delays_the_requests_behind_it() {
    let speed = Speed::default();
    let mut load = Load::default();
    let prefill = speed.prefill(9_300, 0);
    let start = Time::from_ms(1_000);
    for sequence in 0..5 {
        load.assign(start, key(sequence), prefill);
    }
    let own = load.prefill_ms(&prefill, &speed);
    let wait = load.wait_ms(start.plus_ms(60_000), &speed);
    assert!(
        wait > 4.0 * own - speed.first_ms - 20.0,
        "wait {wait} ms, expected that of four prefills of {own} ms"
    );
}

// The times of first events must reveal a server that is slower than its configured speed.
#[test]
fn slowdown_of_a_slow_server_is_measured() {
    let speed = Speed::default();
    let mut load = Load::default();
    let prefill = speed.prefill(10_000, 0);
    let work = load.prefill_ms(&prefill, &speed);
    let mut now = Time::from_ms(1_000);
    for sequence in 0..50 {
        load.assign(now, key(sequence), prefill);
        now = now.plus_ms((3.0 * work + speed.first_ms) as u64 + 10);
        load.record_first_event(now, key(sequence), &speed);
        load.remove(key(sequence));
        now = now.plus_ms(50);
    }
    assert!(
        load.slowdown() > 2.5,
        "slowdown {}, expected about 3",
        load.slowdown()
    );
}

// The predicted time of a prompt must be shorter on an engine that has cached its shared part.
#[test]
fn cached_parts_shorten_the_predicted_time() {
    let mut placer = placer(1);
    let now = Time::from_ms(1_000);
    let predicted = |decision| match decision {
        Decision::Place { predicted_ms, .. } => predicted_ms,
        Decision::Refuse { reason, .. } => panic!("refused: {reason:?}"),
        Decision::Wait { .. } => panic!("waits"),
    };
    let cold = predicted(placer.place(now, &demand(1, 7, 13_300, 1_000)));
    let later = now.plus_ms(1_000);
    let warm = predicted(placer.place(later, &demand(2, 7, 13_300, 1_000)));
    assert!(
        cold > warm + 140,
        "predicted {cold} ms without and {warm} ms with the cached part, expected a difference above 140 ms"
    );
}

// After a restart, a placer learns all parts that an engine has cached at once. If all of them had
// the same time of use, the first part that no longer fits would evict all of them instead of only
// the oldest.
#[test]
fn parts_that_were_learned_together_are_not_evicted_together() {
    let mut placer = placer(1);
    let now = Time::from_ms(1_000);
    let server = support::engine(1).id;
    // 40 of these parts fill nine tenths of the memory of 444,000 tokens.
    let shared: Vec<u64> = (1..=40).collect();
    for &part in &shared {
        let parts: Vec<(u64, u32)> = part_keys(&prompt(part)).take(1).collect();
        placer.record_cached_parts(&server, &parts);
    }
    let mut place = |at: u64, demand: Demand| {
        let now = now.plus_ms(500 * at);
        let decision = placer.place(now, &demand);
        placer.record_end(now, demand.key, Outcome::Answered { failed: false });
        match decision {
            Decision::Place { cached_tokens, .. } => cached_tokens,
            Decision::Refuse { reason, .. } => panic!("refused: {reason:?}"),
            Decision::Wait { .. } => panic!("waits"),
        }
    };
    for sequence in 1..=40 {
        place(sequence, demand(sequence, 1_000 + sequence, 0, 2_000));
    }
    // Starts with the newest part, since the prefill of an evicted part evicts others.
    let cached = shared.iter().rev().filter(|&&part| {
        let sequence = 100 - part;
        place(sequence, demand(sequence, part, 10_000, 1)) > 0
    });
    let count = cached.count();
    assert!(
        count > 25,
        "{count} of 40 parts are still cached, expected more than 25"
    );
}

fn prompt(part: u64) -> Prompt {
    demand(0, part, 10_000, 1).prompt.expect("a prompt")
}
