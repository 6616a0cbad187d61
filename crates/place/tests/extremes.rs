//! Placement with the extreme values that callers, engines and documents can state.

mod support;

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_place::cache::Cache;
use primrose_place::demand::{Part, Prompt};
use primrose_place::placer::{Decision, Outcome, Placer};
use primrose_place::{Demand, Settings};
use primrose_route::Document;
use primrose_route::document::{Engine, Limits, Pool};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

/// Uses a fixed seed. `PRIMROSE_CASES` sets the number of cases (default 256).
fn config() -> ProptestConfig {
    let cases = std::env::var("PRIMROSE_CASES").map_or(256, |text| text.parse().expect("a number"));
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn prompt(parts: Vec<Part>, input_tokens: u32, output_tokens: u32) -> Prompt {
    Prompt {
        model: 1,
        parts,
        input_tokens,
        output_tokens,
    }
}

// The lengths of the parts come from the caller and may add up to more than a `u32` holds. The sum wrapped around in
// release builds, and in debug builds the panic closed the caller's connection without an answer.
#[test]
fn lengths_of_parts_do_not_overflow() {
    let parts: Vec<Part> = (1..=4)
        .map(|id| Part {
            id,
            tokens: u32::MAX - 1,
        })
        .collect();
    assert_eq!(prompt(parts, 1, 1).shared_tokens(), u32::MAX);
    let keys: Vec<(u64, u32)> = (1..=4).map(|key| (key, u32::MAX - 1)).collect();
    let mut cache = Cache::default();
    cache.record_ready(&keys, u64::MAX);
    assert_eq!(cache.cached_tokens(&keys), u32::MAX);
    assert_eq!(cache.ready_tokens(&keys), u32::MAX);
}

fn number() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u32::MAX),
        any::<u32>(),
        0..10_000_u32
    ]
}

fn large_number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(u64::MAX), any::<u64>(), 0..1_000_000_u64]
}

fn fraction() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(-1.0),
        Just(f64::MAX),
        Just(f64::MIN_POSITIVE),
        0.0..1e9_f64
    ]
}

prop_compose! {
    fn engine()(
        slots in number(), cache_tokens in large_number(),
        token_bytes in prop::option::of(large_number()), link_mbps in fraction(),
    ) -> Engine {
        Engine { slots, cache_tokens, token_bytes, link_mbps }
    }
}

prop_compose! {
    fn demand()(
        parts in prop::collection::vec((0..6_u64, number()), 0..6),
        input in number(), output in number(), objective_ms in number(),
        waited_ms in number(), remaining_ms in number(), returning in any::<bool>(),
    ) -> Demand {
        let parts = parts.into_iter().map(|(id, tokens)| Part { id, tokens }).collect();
        Demand {
            prompt: Some(prompt(parts, input, output)),
            objective_ms,
            waited_ms,
            remaining_ms,
            returning,
            ..support::demand(0, 0, 0, 0)
        }
    }
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop::sample::select(vec![
        Outcome::Answered { failed: false },
        Outcome::Answered { failed: true },
        Outcome::Unreachable,
        Outcome::Full,
        Outcome::Replaced,
        Outcome::Cancelled,
    ])
}

proptest! {
    #![proptest_config(config())]

    // Whatever the numbers are, the placer decides without a panic and keeps no ended request.
    #[test]
    fn extreme_demands_do_not_stop_the_placer(
        engine in engine(), tokens_per_s in prop::option::of(fraction()),
        slots in number(), demands in prop::collection::vec((demand(), large_number(), outcome()), 1..20),
    ) {
        let mut placer = Placer::new(Settings::default());
        let servers: Vec<_> = (1..=3).map(|number| primrose_place::Server { slots, ..support::engine(number) }).collect();
        placer.set_servers(&servers);
        let pool = Pool { name: servers[0].pool.clone(), max_connections: 1, engine: Some(engine), warmup: None };
        placer.set_document(&Arc::new(Document {
            pools: vec![pool],
            limits: Limits { tokens_per_s, ..Limits::default() },
            ..Document::default()
        }));
        let mut now = Time::from_ms(1_000);
        for (sequence, (mut demand, wait_ms, outcome)) in demands.into_iter().enumerate() {
            demand.key.sequence = sequence as u64;
            if let Decision::Place { server, .. } = placer.place(now, &demand) {
                placer.record_first_event(now, demand.key);
                placer.record_cached_parts(&server.id, &[(1, u32::MAX), (2, u32::MAX)]);
            }
            now = now.plus_ms(wait_ms);
            placer.record_end(now, demand.key, outcome);
        }
        prop_assert_eq!(placer.assigned(), 0);
    }
}

/// Decisions on 200 requests that share a long part, on three engines whose links and capacity are these.
fn decisions(link_mbps: f64, tokens_per_s: Option<f64>) -> Vec<Decision> {
    let mut placer = support::placer(3);
    let mut document = Document::clone(&support::document(tokens_per_s));
    if let Some(engine) = &mut document.pools[0].engine {
        engine.link_mbps = link_mbps;
    }
    placer.set_document(&Arc::new(document));
    let mut now = Time::from_ms(1_000);
    let requests = (0..200).map(|sequence| {
        let demand = support::demand(sequence, 7, 8_000, 3_000);
        let decision = placer.place(now, &demand);
        now = now.plus_ms(20);
        if sequence % 4 == 0 {
            placer.record_first_event(now, demand.key);
        }
        decision
    });
    requests.collect()
}

// A bandwidth that is not above 0 names no link. With a negative one, a transfer of cached parts looked as if it ended
// before it began, so every request was sent to an engine that had to fetch.
#[test_case(-1.0; "negative")]
#[test_case(-1e-300; "just below zero")]
#[test_case(0.0; "zero")]
#[test_case(-0.0; "negative zero")]
fn nothing_is_fetched_without_a_link(link_mbps: f64) {
    for decision in decisions(link_mbps, None) {
        if let Decision::Place { fetch_from, .. } = decision {
            assert_eq!(fetch_from, None);
        }
    }
}

// A capacity that is not above 0 gives no account a share. Otherwise every account was beyond its share.
#[test_case(0.0; "zero")]
#[test_case(-1.0; "negative")]
fn capacity_of_nothing_gives_no_shares(tokens_per_s: f64) {
    assert_eq!(
        decisions(180_000.0, Some(tokens_per_s)),
        decisions(180_000.0, None)
    );
}
