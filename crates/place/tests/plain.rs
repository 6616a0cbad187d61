//! Placement on plain pools, where a request occupies a slot until it is answered.

mod support;

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_place::demand::Demand;
use primrose_place::drained::Set;
use primrose_place::placer::{Decision, Outcome, Placer, Reason};
use primrose_place::{Server, Settings};
use primrose_route::Document;
use primrose_route::document::Pool;
use test_case::test_case;

const POOL: &str = "desk";

/// A placer with three servers of six slots each.
fn placer() -> Placer {
    let server = |number: u32| Server {
        pool: POOL.into(),
        slots: 6,
        ..support::engine(number)
    };
    let pool = Pool {
        name: POOL.into(),
        max_connections: 110,
        engine: None,
        warmup: None,
    };
    let mut placer = Placer::new(Settings::default());
    placer.set_servers(&(1..=3).map(server).collect::<Vec<_>>());
    placer.set_document(&Arc::new(Document {
        pools: vec![pool],
        ..Document::default()
    }));
    placer
}

fn plain(sequence: u64) -> Demand {
    Demand {
        pool: POOL.into(),
        account: None,
        prompt: None,
        objective_ms: 100,
        remaining_ms: 1_000,
        ..support::demand(sequence, 0, 0, 0)
    }
}

/// A placer with two servers in the domain `north`, from which the requests come, and two in `west`.
fn placer_of_two_domains() -> Placer {
    let server = |number: u32| Server {
        pool: POOL.into(),
        slots: 6,
        domain: if number < 3 { "north" } else { "west" }.into(),
        ..support::engine(number)
    };
    let mut placer = placer();
    placer.set_servers(&(1..=4).map(server).collect::<Vec<_>>());
    placer
}

/// Answers 60 requests, two at once, in `answer_ms` each while the domain `north` is drained, and returns that to service.
/// The first answers take at least 1 ms, since 0 ms are no measurement. Returns the time of the last answer.
fn return_domain(placer: &mut Placer, answer_ms: u64) -> Time {
    placer.set_drained(Time::ZERO, &set(1, &["north"]));
    let mut now = Time::from_ms(1_000);
    for sequence in (0..60).step_by(2) {
        // Both servers of the other domain get one.
        let requests = [plain(sequence), plain(sequence + 1)];
        for request in &requests {
            support::server_of(placer.place(now, request));
        }
        now = now.plus_ms(if sequence == 0 {
            answer_ms.max(1)
        } else {
            answer_ms
        });
        for request in requests {
            placer.record_end(now, request.key, Outcome::Answered { failed: false });
        }
    }
    placer.set_drained(now, &set(2, &[]));
    now
}

fn set(revision: u64, domains: &[&str]) -> Set {
    Set {
        revision,
        domains: domains.iter().map(|&name| name.into()).collect(),
    }
}

/// Answers 60 requests in 15 ms each, so that the placer has measured the slot time. Returns the
/// time of the last answer.
fn measure_slot_time(placer: &mut Placer) -> Time {
    let mut now = Time::from_ms(1_000);
    for sequence in 0..60 {
        support::server_of(placer.place(now, &plain(sequence)));
        now = now.plus_ms(15);
        let key = plain(sequence).key;
        placer.record_end(now, key, Outcome::Answered { failed: false });
    }
    now
}

// A request that waits a few ms for a slot is answered well within an objective of 100 ms. It must
// not be refused, which happens if the fixed first-event latency of engines is subtracted from the
// objective of a plain service.
#[test]
fn a_short_wait_for_a_slot_is_not_an_overload() {
    let mut placer = placer();
    let now = measure_slot_time(&mut placer);
    for sequence in 100..130 {
        support::server_of(placer.place(now, &plain(sequence)));
    }
}

// A request must be refused at once if the predicted wait would make it late.
#[test]
fn a_wait_beyond_the_objective_is_an_overload() {
    let mut placer = placer();
    let now = measure_slot_time(&mut placer);
    let refused = (100..400).find_map(|sequence| match placer.place(now, &plain(sequence)) {
        Decision::Place { .. } => None,
        Decision::Refuse { reason, .. } => Some((sequence - 100, reason)),
        Decision::Wait { .. } => panic!("waits"),
    });
    let (placed, reason) = refused.expect("a refusal");
    assert_eq!(reason, Reason::Overload);
    // In 100 ms, 18 slots answer 120 requests of 15 ms.
    assert!((60..=120).contains(&placed), "{placed} requests placed");
}

// If the answer of the placer is lost, the entry host asks again under the same key, and the second answer may name
// another server. The first server must not count the request for ever, or the pool looks full without any request.
#[test]
fn a_repeated_question_leaves_no_load_behind() {
    let mut placer = placer();
    let now = measure_slot_time(&mut placer);
    for sequence in 100..400 {
        let request = plain(sequence);
        let first = support::server_of(placer.place(now, &request));
        let repeated = Demand {
            tried: vec![first],
            ..request.clone()
        };
        support::server_of(placer.place(now, &repeated));
        placer.record_end(now, request.key, Outcome::Answered { failed: false });
    }
    assert_eq!(placer.assigned(), 0);
    for sequence in 400..406 {
        match placer.place(now, &plain(sequence)) {
            Decision::Place { wait_ms, .. } => assert_eq!(wait_ms, 0),
            other => panic!("{other:?}"),
        }
    }
}

// A server that fails at once looks fast. It must not attract the requests that other servers would
// answer, even while no measurements exist, as after a restart of the placer.
#[test]
fn a_server_that_fails_fast_is_avoided() {
    let mut placer = placer();
    let mut now = Time::from_ms(1_000);
    let broken = support::engine(1).id;
    let mut failed = 0;
    for sequence in 100..200 {
        let request = plain(sequence);
        let is_broken = support::server_of(placer.place(now, &request)) == broken;
        failed += u32::from(is_broken);
        now = now.plus_ms(if is_broken { 1 } else { 15 });
        placer.record_end(now, request.key, Outcome::Answered { failed: is_broken });
    }
    assert!(failed <= 15, "{failed} of 100 requests failed");
}

// A placer that started while a domain was drained has not measured its servers. If they counted as slower than those of
// the other domains, they would get no request of a light load, and would never be measured.
#[test]
fn returned_domain_gets_requests() {
    let mut placer = placer_of_two_domains();
    let mut now = return_domain(&mut placer, 2);
    for sequence in 100..110 {
        let request = plain(sequence);
        let Decision::Place { server, .. } = placer.place(now, &request) else {
            panic!("request {sequence} is not placed");
        };
        assert_eq!(&*server.domain, "north", "request {sequence}");
        now = now.plus_ms(2);
        placer.record_end(now, request.key, Outcome::Answered { failed: false });
    }
}

// A server without measurements may be slow or hang. Until its first answer, it must not get the requests of a burst that
// measured servers would answer sooner.
#[test]
fn unmeasured_server_gets_one_request_of_a_burst() {
    let mut placer = placer_of_two_domains();
    let now = return_domain(&mut placer, 2);
    let mut placed: Vec<Arc<str>> = (100..112)
        .map(|sequence| support::server_of(placer.place(now, &plain(sequence))))
        .collect();
    placed.sort_unstable();
    let counts = (1..=4).map(|number| {
        let id = support::engine(number).id;
        placed.iter().filter(|server| **server == id).count()
    });
    assert_eq!(counts.collect::<Vec<_>>(), [1, 1, 5, 5]);
}

// Servers that fail at once are never measured. They must not attract requests because they count as fast until then, even
// if the others answer so fast that a multiple of their time is less than the cost of leaving the domain.
#[test_case(2; "others answer in 2 ms")]
#[test_case(0; "others answer in less than 1 ms")]
fn unmeasured_servers_that_fail_are_avoided(answer_ms: u64) {
    let mut placer = placer_of_two_domains();
    let mut now = return_domain(&mut placer, answer_ms);
    let mut failed = 0;
    for sequence in 100..300 {
        let request = plain(sequence);
        let Decision::Place { server, .. } = placer.place(now, &request) else {
            panic!("request {sequence} is not placed");
        };
        let is_broken = &*server.domain == "north";
        failed += u32::from(is_broken);
        now = now.plus_ms(if is_broken { 1 } else { answer_ms });
        placer.record_end(now, request.key, Outcome::Answered { failed: is_broken });
    }
    assert!((2..=6).contains(&failed), "{failed} of 200 requests failed");
}

// With one request at a time, all servers are idle whenever a server is chosen. Each of them must be measured, or all
// requests go to the first one.
#[test]
fn every_server_is_measured_under_a_light_load() {
    let mut placer = placer();
    let mut now = Time::from_ms(1_000);
    let mut placed = Vec::new();
    for sequence in 100..103 {
        let request = plain(sequence);
        placed.push(support::server_of(placer.place(now, &request)));
        now = now.plus_ms(2);
        placer.record_end(now, request.key, Outcome::Answered { failed: false });
    }
    placed.sort_unstable();
    let servers: Vec<Arc<str>> = (1..=3).map(|number| support::engine(number).id).collect();
    assert_eq!(placed, servers);
}

// A server that hangs is not measured, since its requests end as cancelled. It must not get the next request each time
// because it is idle and not measured, and must get one later, since a caller may have given up a sound server.
#[test]
fn unmeasured_server_that_hangs_gets_few_requests() {
    let mut placer = placer();
    let hanging = support::engine(2).id;
    let mut now = Time::from_ms(1_000);
    // The number of requests before each one that hung, and of those after the last.
    let mut answered = vec![0];
    for sequence in 100..4_100 {
        let request = plain(sequence);
        if support::server_of(placer.place(now, &request)) == hanging {
            now = now.plus_ms(1_000);
            placer.record_end(now, request.key, Outcome::Cancelled);
            answered.push(0);
        } else {
            now = now.plus_ms(2);
            placer.record_end(now, request.key, Outcome::Answered { failed: false });
            *answered.last_mut().expect("a number") += 1;
        }
    }
    // 4,000 requests of 2 ms take 8 s.
    assert!((2..=4).contains(&answered.len()), "{answered:?}");
    assert!(answered[1] >= 1_000, "{answered:?}");
}
