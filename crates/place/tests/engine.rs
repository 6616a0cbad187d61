//! The prediction of the time to the first event.

mod support;

use primrose_base::clock::Time;
use primrose_place::cache::keys;
use primrose_place::demand::{Demand, Key, Prompt};
use primrose_place::engine::{Load, Speed};
use primrose_place::placer::{Decision, Outcome};
use support::{demand, placer};

fn key(sequence: u64) -> Key {
    Key { entry: 1, sequence }
}

// The time between the end of reading and the first event does not occupy the engine. Counted as reading, it made a
// loaded engine look several times slower, and shared parts were read again elsewhere.
#[test]
fn the_fixed_part_of_the_first_event_is_no_work() {
    let speed = Speed::default();
    let mut load = Load::default();
    let reading = speed.reading(10_000, 0);
    let mut now = Time::from_ms(1_000);
    for sequence in 0..50 {
        load.book(now, key(sequence), reading);
        let work = load.own_ms(&reading, &speed);
        now = now.plus_ms((work + speed.first_ms) as u64 + 10);
        load.observe(now, key(sequence), &speed);
        load.end(key(sequence));
        now = now.plus_ms(50);
    }
    assert!((0.9..1.1).contains(&load.slowness()), "{}", load.slowness());
}

// Reports arrive after the engine has gone on with the next prompt, so the wait must be counted from the end of reading.
#[test]
fn reading_goes_on_before_it_is_reported() {
    let speed = Speed::default();
    let mut load = Load::default();
    let reading = speed.reading(9_300, 0);
    let own = load.own_ms(&reading, &speed);
    let start = Time::from_ms(1_000);
    load.book(start, key(1), reading);
    load.book(start, key(2), reading);
    assert!((load.wait_ms(start, &speed) - 2.0 * own).abs() < 1.0);
    let later = start.plus_ms(own as u64 + 50);
    let wait = load.wait_ms(later, &speed);
    assert!((wait - (own - 50.0)).abs() < 2.0, "{wait}");
}

// An engine that has stopped must not look idle because its prompts should have been read by now.
#[test]
fn an_overdue_prompt_keeps_the_next_ones_waiting() {
    let speed = Speed::default();
    let mut load = Load::default();
    let reading = speed.reading(9_300, 0);
    let start = Time::from_ms(1_000);
    for sequence in 0..5 {
        load.book(start, key(sequence), reading);
    }
    let own = load.own_ms(&reading, &speed);
    let wait = load.wait_ms(start.plus_ms(60_000), &speed);
    assert!(wait > 4.0 * own - speed.first_ms - 20.0, "{wait}");
}

// A slow server must be found out by its first events.
#[test]
fn a_slow_server_is_measured() {
    let speed = Speed::default();
    let mut load = Load::default();
    let reading = speed.reading(10_000, 0);
    let work = load.own_ms(&reading, &speed);
    let mut now = Time::from_ms(1_000);
    for sequence in 0..50 {
        load.book(now, key(sequence), reading);
        now = now.plus_ms((3.0 * work + speed.first_ms) as u64 + 10);
        load.observe(now, key(sequence), &speed);
        load.end(key(sequence));
        now = now.plus_ms(50);
    }
    assert!(load.slowness() > 2.5, "{}", load.slowness());
}

// The same prompt must be predicted to be read faster where its shared part is kept.
#[test]
fn kept_parts_are_not_read_again() {
    let mut placer = placer(1);
    let now = Time::from_ms(1_000);
    let predicted = |decision| match decision {
        Decision::Place { predicted_ms, .. } => predicted_ms,
        Decision::Refuse { reason, .. } => panic!("{reason:?}"),
    };
    let cold = predicted(placer.place(now, &demand(1, 7, 13_300, 1_000)));
    let later = now.plus_ms(1_000);
    let warm = predicted(placer.place(later, &demand(2, 7, 13_300, 1_000)));
    assert!(cold > warm + 140, "{cold} {warm}");
}

// After a restart a placer learns all parts of an engine at once. The first one that no longer fits must push out the
// oldest of them, not all: they had the same time of use and were forgotten together.
#[test]
fn parts_that_were_learnt_together_are_not_forgotten_together() {
    let mut placer = placer(1);
    let now = Time::from_ms(1_000);
    let server = support::engine(1).id;
    // 40 of these fill the memory of 444,000 tokens to nine tenths.
    let shared: Vec<u64> = (1..=40).collect();
    for &thing in &shared {
        let parts: Vec<(u64, u32)> = keys(&prompt(thing)).take(1).collect();
        placer.learn_kept(&server, &parts);
    }
    let mut place = |at: u64, demand: Demand| {
        let now = now.plus_ms(500 * at);
        let decision = placer.place(now, &demand);
        placer.end(now, demand.key, Outcome::Answered { failed: false });
        match decision {
            Decision::Place { kept, .. } => kept,
            Decision::Refuse { reason, .. } => panic!("{reason:?}"),
        }
    };
    for sequence in 1..=40 {
        place(sequence, demand(sequence, 1_000 + sequence, 0, 2_000));
    }
    // The newest first, since reading a forgotten part again pushes out others.
    let kept = shared.iter().rev().filter(|&&thing| {
        let sequence = 100 - thing;
        place(sequence, demand(sequence, thing, 10_000, 1)) > 0
    });
    assert!(kept.count() > 25);
}

fn prompt(thing: u64) -> Prompt {
    demand(0, thing, 10_000, 1).prompt.expect("a prompt")
}
