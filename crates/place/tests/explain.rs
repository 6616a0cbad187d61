//! Explanations of decisions.

mod support;

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_place::demand::{Demand, Key};
use primrose_place::drained::Set;
use primrose_place::explain::{Choice, Exclusion, MAX_SERVERS, Rule};
use primrose_place::placer::{Decision, Outcome, Placer, Reason};
use primrose_place::warmup::Bound;
use primrose_place::{Server, Settings};
use primrose_route::Document;
use primrose_route::document::{Kind, Route, Target, Warmup};
use support::{POOL, demand, document, engine, engines, fast_document, placer};

/// Ends a tenth of the requests with a failure of some kind.
fn outcome(sequence: u64) -> Outcome {
    match sequence % 40 {
        7 => Outcome::Unreachable,
        19 => Outcome::Full,
        23 => Outcome::Answered { failed: true },
        31 => Outcome::Cancelled,
        _ => Outcome::Answered { failed: false },
    }
}

/// Requests of several accounts, domains and prompts that overload the engines. Some of them return.
fn request(sequence: u64) -> Demand {
    let mut demand = demand(
        sequence,
        sequence % 5,
        6_000,
        2_000 + sequence as u32 * 37 % 4_000,
    );
    demand.account = Some(format!("account-{}", sequence % 7 % 3).into());
    demand.domain = ["north", "south"][(sequence % 3 / 2) as usize].into();
    demand.returning = sequence.is_multiple_of(11);
    if let Some(prompt) = demand
        .prompt
        .as_mut()
        .filter(|_| demand.returning && sequence > 30)
    {
        prompt.parts[1].id -= 25;
    }
    demand
}

/// Plays the recorded requests and returns the decisions. `look` sees the placer before each one.
fn replay(mut placer: Placer, mut look: impl FnMut(&Placer, Time, &Demand)) -> Vec<Decision> {
    let mut running: Vec<(u64, Key, bool)> = Vec::new();
    let mut decisions = Vec::new();
    for sequence in 0..1_500 {
        let ms = 1_000 + sequence * 5;
        let now = Time::from_ms(ms);
        for (end_ms, key, _) in running.extract_if(.., |(end_ms, _, _)| *end_ms <= ms) {
            placer.record_end(Time::from_ms(end_ms), key, outcome(key.sequence));
        }
        for (_, key, has_begun) in running.iter_mut().filter(|run| run.0 <= ms + 300) {
            if !std::mem::replace(has_begun, true) {
                placer.record_first_event(now, *key);
            }
        }
        let demand = request(sequence);
        look(&placer, now, &demand);
        let decision = placer.place(now, &demand);
        if matches!(decision, Decision::Place { .. }) {
            running.push((ms + 400 + sequence % 200, demand.key, false));
        }
        decisions.push(decision);
    }
    decisions
}

fn contended(tokens_per_s: f64, document: &Document, settings: Settings) -> Placer {
    let mut document = document.clone();
    document.limits.tokens_per_s = Some(tokens_per_s);
    // Requests wait only if a route has a timeout of several objectives.
    document.routes.push(Route {
        name: "patient".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        kind: Kind::Idempotent,
        timeout_ms: 8_000,
        objective_ms: 600,
        max_gap_ms: None,
        priority: 0,
        targets: vec![Target {
            pool: POOL.into(),
            weight: 1,
        }],
        max_servers: 1,
        allows_anonymous: true,
    });
    let mut placer = Placer::new(settings);
    let mut servers = engines(4);
    servers[3].domain = "south".into();
    placer.set_servers(&servers);
    placer.set_document(&Arc::new(document));
    placer
}

fn waiting() -> Settings {
    Settings {
        waiting: true,
        ..Settings::default()
    }
}

// An explanation that differs from the decision misleads operators, and one that changes later decisions does harm.
#[test]
fn explanations_equal_decisions_and_change_nothing() {
    let cases = [
        (300_000.0, document(None), Settings::default()),
        (5_000_000.0, document(None), Settings::default()),
        (300_000.0, fast_document(), Settings::default()),
        (300_000.0, fast_document(), waiting()),
    ];
    let mut decisions = Vec::new();
    for (tokens_per_s, document, settings) in cases {
        let placer = contended(tokens_per_s, &document, settings.clone());
        let undisturbed = replay(placer.clone(), |_, _, _| {});
        let mut explained = Vec::new();
        let disturbed = replay(placer, |placer, now, demand| {
            let report = placer.explain(now, demand);
            if let Decision::Place { server, .. } = &report.decision {
                assert_eq!(report.servers[0].server, server.id);
                assert!(report.servers[0].exclusions.is_empty());
                let is_exceeded = report.limit.is_some_and(|limit| limit.is_exceeded);
                // Only requests that wait are placed beyond the limit.
                assert!(!is_exceeded || settings.waiting);
            }
            explained.push(report.decision);
        });
        assert_eq!(undisturbed, disturbed);
        assert_eq!(explained, disturbed);
        decisions.extend(disturbed);
    }
    let is_refused = |decision: &Decision, expected| matches!(decision, Decision::Refuse { reason, .. } if *reason == expected);
    let has = |is_such: &dyn Fn(&Decision) -> bool| decisions.iter().any(is_such);
    assert!(has(&|it| is_refused(it, Reason::Overload)));
    assert!(has(&|it| is_refused(it, Reason::OverShare)));
    assert!(has(&|it| matches!(it, Decision::Wait { .. })));
}

/// A pool with a warm-up and one server for each exclusion; `engine-01` has none.
fn with_exclusions(now: Time) -> (Placer, Demand) {
    let mut changed = (*document(None)).clone();
    changed.pools[0].warmup = Some(Warmup {
        duration_ms: 5_000,
        per_s: 1.0,
    });
    let mut servers: Vec<Server> = engines(9);
    servers[1].draining = true;
    servers[5].domain = "drained".into();
    servers[7].cold = true;
    let mut placer = Placer::new(Settings::default());
    placer.set_document(&Arc::new(changed));
    placer.set_servers(&servers);
    placer.set_warmup_bound(
        now,
        Some(Bound {
            overshoot: 1.0,
            slack: 0.0,
        }),
    );
    let set = Set {
        revision: 1,
        domains: vec!["drained".into()],
    };
    placer.set_drained(now, &set);
    let ends = [
        (3, Outcome::Replaced),
        (4, Outcome::Unreachable),
        (5, Outcome::Full),
    ];
    for (number, outcome) in ends {
        let demand = demand(number, 1, 100, 100);
        placer.record_assignment(now, &demand, &format!("engine-0{number}"));
        placer.record_end(now, demand.key, outcome);
    }
    placer.record_assignment(now, &demand(9, 2, 380_000, 100), "engine-09");
    let mut asked = demand(100, 3, 20_000, 100);
    asked.tried = vec!["engine-07".into()];
    (placer, asked)
}

// Each cause must be named, or an operator looks for it in the wrong place.
#[test]
fn every_exclusion_is_named() {
    let now = Time::from_ms(1_000);
    let (placer, mut asked) = with_exclusions(now);
    let report = placer.explain(now, &asked);
    let expected: [(u32, &[Exclusion]); 9] = [
        (1, &[]),
        (2, &[Exclusion::Leaving]),
        (3, &[Exclusion::Replaced]),
        // A server that may have restarted also counts as cold.
        (4, &[Exclusion::Unreachable, Exclusion::Warming]),
        (5, &[Exclusion::Full]),
        (6, &[Exclusion::Drained]),
        (7, &[Exclusion::Tried]),
        (8, &[Exclusion::Warming]),
        (9, &[Exclusion::Memory]),
    ];
    for (number, exclusions) in expected {
        let mut entries = report.servers.iter();
        let entry = entries.find(|entry| entry.server == engine(number).id);
        assert_eq!(entry.expect("the server is listed").exclusions, exclusions);
    }
    assert_eq!(report.choice, Some(Choice::Score));
    assert_eq!(report.servers[0].server, engine(1).id);
    // Each cause excludes, and does not only make a server the worse choice.
    asked.tried.push(engine(1).id);
    let decision = placer.explain(now, &asked).decision;
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
}

// A host that decides alone keeps requests in their domain.
#[test]
fn servers_that_a_request_may_not_leave_for_are_named() {
    let mut placer = Placer::new(Settings::default());
    let mut servers = engines(2);
    servers[1].domain = "south".into();
    placer.set_servers(&servers);
    placer.set_document(&fast_document());
    placer.set_crossing_shares(&[primrose_place::crossing::Share {
        pool: POOL.into(),
        home: "north".into(),
        per_mille: 0,
    }]);
    let report = placer.explain(Time::from_ms(1_000), &demand(1, 1, 1_000, 100));
    assert_eq!(report.servers[1].exclusions, [Exclusion::Domain]);
}

// The limit must be the one that refuses the request, or an operator changes the wrong setting.
#[test]
fn limit_that_applies_is_named() {
    let settings = Settings::default();
    let now = Time::from_ms(1_000);
    let mut first = demand(1, 1, 1_000, 100);
    let rule = |placer: &Placer, demand: &Demand| {
        let limit = placer.explain(now, demand).limit.expect("a limit");
        (limit.rule, limit.limit_ms)
    };
    let idle = placer(2);
    assert_eq!(rule(&idle, &first), (Rule::Limit, settings.limit * 600.0));
    first.returning = true;
    let expected = (Rule::ReturnLimit, settings.return_limit * 600.0);
    assert_eq!(rule(&idle, &first), expected);
    first.remaining_ms = 1;
    let report = idle.explain(now, &first);
    assert!(matches!(
        report.decision,
        Decision::Refuse {
            reason: Reason::Deadline,
            ..
        }
    ));
    assert_eq!(report.limit.expect("a limit").max_wait_ms, None);

    let mut flooded = contended(5_000.0, &document(None), Settings::default());
    for sequence in 1..200 {
        flooded.place(now, &demand(sequence, 1, 10_000, 10_000));
    }
    // Levels are derived every 50 ms.
    let report = flooded.explain(now.plus_ms(60), &demand(900, 1, 10_000, 10_000));
    let limit = report.limit.expect("a limit");
    assert_eq!(limit.rule, Rule::ExcessLimit);
    assert!(limit.excess.is_some_and(|excess| excess.guaranteed > 1.0));
    let Decision::Refuse { reason, .. } = report.decision else {
        panic!("placed: {:?}", report.decision);
    };
    assert_eq!(reason, Reason::OverShare);

    // An account that has got nothing yet must not look like one that meets no overload.
    let mut beginner = demand(901, 1, 10_000, 10_000);
    beginner.account = Some("beginner".into());
    let excess = |placer: &Placer| {
        let report = placer.explain(now.plus_ms(60), &beginner);
        let excess = report.limit.expect("a limit").excess.expect("a share");
        (excess.is_scarce, excess.guaranteed)
    };
    assert_eq!(excess(&flooded), (true, 0.0));
    let ample = contended(5_000_000.0, &document(None), Settings::default());
    assert_eq!(excess(&ample), (false, 0.0));
}

// A placement beyond the limit looks like a fault unless the explanation tells of it.
#[test]
fn late_placements_are_marked() {
    let now = Time::from_ms(1_000);
    let mut placer = contended(300_000.0, &document(None), waiting());
    for number in 1..5 {
        let short = demand(number, number, 200, 10);
        placer.record_assignment(now, &short, &format!("engine-0{number}"));
    }
    let mut late = demand(9, 9, 200, 10);
    late.waited_ms = late.objective_ms;
    late.remaining_ms = 8_000;
    let report = placer.explain(now, &late);
    let limit = report.limit.expect("a limit");
    assert!(matches!(report.decision, Decision::Place { .. }));
    assert!(limit.is_exceeded, "{limit:?}");
}

// The answer must stay small in a fleet with many servers, and must still show the chosen one.
#[test]
fn long_lists_are_cut() {
    let mut placer = placer(0);
    let servers: Vec<Server> = (0..300)
        .map(|at| Server {
            id: format!("engine-{at:03}").into(),
            address: format!("10.0.{}.{}:80", at / 200, at % 200)
                .parse()
                .expect("an address"),
            draining: at < 100,
            ..engine(1)
        })
        .collect();
    placer.set_servers(&servers);
    let report = placer.explain(Time::from_ms(1_000), &demand(1, 1, 1_000, 100));
    assert_eq!(report.servers.len(), MAX_SERVERS);
    assert_eq!(report.unlisted, 300 - MAX_SERVERS);
    let usable = &report.servers[..200];
    assert!(usable.iter().all(|entry| entry.exclusions.is_empty()));
    assert!(usable.is_sorted_by(|a, b| a.score <= b.score));
}
