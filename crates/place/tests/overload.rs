//! Placement when the load exceeds the capacity of the engines.

#[path = "support/load.rs"]
mod load;
mod support;

use load::{Replay, Tally};
use primrose_base::clock::Time;
use primrose_place::Settings;
use primrose_place::demand::Demand;
use primrose_place::placer::{Decision, Outcome, Placer, Reason};
use primrose_place::refusals::Refusals;
use support::{demand, document, engines, placer, server_of};

fn for_account(account: &str, demand: Demand) -> Demand {
    Demand {
        account: Some(account.into()),
        ..demand
    }
}

/// Replays `ms` milliseconds in which one account requests more than all engines can prefill and
/// two others request little. Returns the tallies of the flood and of the small accounts, and the
/// share of the time that the engines spent on prefill.
fn replay_flood(mut placer: Placer, ms: u64) -> (Tally, Tally, f64) {
    // The capacity of four engines that have cached all shared parts.
    placer.set_document(&document(Some(300_000.0)));
    let mut replay = Replay::new(placer);
    let (mut flood, mut small) = (Tally::default(), Tally::default());
    let mut sequence = 0;
    for at in 0..ms {
        replay.step();
        // 250 prompts a second of 13,000 tokens each, 3,000 of which are not shared: about twice
        // the capacity.
        if at % 4 == 0 {
            sequence += 1;
            let request = for_account("flood", demand(sequence, sequence % 20, 10_000, 3_000));
            replay.send(&request, &mut flood);
        }
        if at % 100 == 0 {
            sequence += 1;
            let name = if at % 200 == 0 { "a" } else { "b" };
            let request = for_account(name, demand(sequence, 50 + sequence % 2, 5_000, 2_000));
            replay.send(&request, &mut small);
        }
    }
    (flood, small, replay.prefill_ms / (4.0 * ms as f64))
}

// An account that floods the fleet must not delay the requests of others, and the engines must
// stay busy meanwhile.
#[test]
fn a_flood_does_not_delay_other_accounts() {
    let (flood, small, busy) = replay_flood(placer(4), 20_000);
    let on_time = f64::from(small.on_time) / f64::from(small.sent);
    assert!(on_time >= 0.98, "small accounts: {small:?}");
    assert!(flood.refused > flood.sent / 5, "flood: {flood:?}");
    assert!(flood.late < flood.sent / 50, "flood: {flood:?}");
    assert!(busy > 0.9, "share of time spent on prefill: {busy}");
}

// If the engines process more than the guaranteed capacity, the surplus must be shared fairly too.
// If the same limit applies to all accounts beyond their guaranteed share, one that requests
// slightly more is refused as often as one that floods, and gets less than half as much.
#[test]
fn capacity_beyond_the_guarantee_is_shared_fairly() {
    let mut placer = placer(4);
    placer.set_document(&document(Some(100_000.0)));
    let mut replay = Replay::new(placer);
    let (mut flood, mut middle) = (Tally::default(), Tally::default());
    for at in 0..20_000 {
        replay.step();
        if at % 4 == 0 {
            let request = for_account("flood", demand(at, at % 20, 10_000, 3_000));
            replay.send(&request, &mut flood);
        }
        if at % 16 == 2 {
            let request = for_account("middle", demand(at, 30 + at % 5, 10_000, 3_000));
            replay.send(&request, &mut middle);
        }
    }
    let served = |tally: Tally| tally.sent - tally.refused;
    let even = (served(flood) + served(middle)) / 2;
    assert!(
        served(middle) * 10 >= even * 9,
        "middle: {middle:?}, flood: {flood:?}"
    );
}

// In a flood, refused callers return once. They are late already, and each that is served takes the
// place of a request of the same account that could be on time: before, one in seven served requests
// of a flood was one that had returned.
#[test]
fn returning_callers_of_a_flood_do_not_displace_others() {
    let mut placer = placer(4);
    placer.set_document(&document(Some(300_000.0)));
    let mut replay = Replay::new(placer);
    let (mut first, mut returned) = (Tally::default(), Tally::default());
    // Refused requests and the times at which they return.
    let mut waiting: Vec<(u64, Demand)> = Vec::new();
    for at in 0..20_000 {
        replay.step();
        if at % 4 == 0 {
            let request = for_account("flood", demand(at, at % 20, 10_000, 3_000));
            if let Some(delay_ms) = replay.send(&request, &mut first) {
                waiting.push((at + u64::from(delay_ms), request));
            }
        }
        let is_due = |(due, _): &mut (u64, Demand)| *due <= at;
        let due: Vec<(u64, Demand)> = waiting.extract_if(.., is_due).collect();
        for (_, mut request) in due {
            request.key.sequence += 1_000_000;
            replay.send(&request, &mut returned);
        }
    }
    let served = |tally: Tally| tally.sent - tally.refused;
    assert!(
        served(returned) * 10 <= served(first),
        "served of the first attempts: {first:?}, of those that returned: {returned:?}"
    );
    assert!(
        first.on_time * 10 >= served(first) * 9,
        "first attempts: {first:?}"
    );
}

// A session sends further requests with the same last part. Only one of them may count as the return
// of a refused request, or a session of a large account would be refused for ever.
#[test]
fn only_one_request_counts_as_the_return_of_a_refused_one() {
    let mut refusals = Refusals::default();
    let now = Time::from_ms(1_000);
    refusals.record(now, 7);
    assert!(
        !refusals.take(now, 8),
        "another request counts as returning"
    );
    assert!(refusals.take(now.plus_ms(400), 7));
    assert!(!refusals.take(now.plus_ms(800), 7));
    refusals.record(now, 7);
    assert!(
        !refusals.take(now.plus_ms(60_000), 7),
        "a refusal counts for a minute"
    );
}

// With one limit for all accounts, the flood builds queues that delay the others. With the lower
// limit for accounts beyond their share, no more requests of the others may be late or refused.
#[test]
fn a_lower_limit_beyond_the_share_keeps_queues_short() {
    let same = Settings {
        excess_limit: 1.0,
        ..Settings::default()
    };
    let mut baseline = Placer::new(same);
    baseline.set_servers(&engines(4));
    let (_, before, _) = replay_flood(baseline, 20_000);
    let (_, after, _) = replay_flood(placer(4), 20_000);
    assert!(
        after.late + after.refused <= before.late + before.refused,
        "small accounts: {after:?}, with the same limit for all accounts: {before:?}"
    );
}

// A long prompt must not be refused because of its own prefill time while a server is idle.
#[test]
fn a_long_prompt_is_placed_on_an_idle_server() {
    let mut placer = placer(2);
    let decision = placer.place(Time::from_ms(1_000), &demand(1, 1, 39_900, 50_000));
    server_of(decision);
}

// A caller that was refused before must be admitted at a load where a first attempt is refused.
#[test]
fn a_returning_caller_is_admitted_before_a_first_attempt() {
    let mut placer = placer(1);
    let now = Time::from_ms(1_000);
    let mut refused = None;
    for sequence in 0..100 {
        if let Decision::Refuse { reason, .. } =
            placer.place(now, &demand(sequence, sequence, 1, 9_000))
        {
            refused = Some(reason);
            break;
        }
    }
    assert_eq!(refused, Some(Reason::Overload));
    let returning = Demand {
        returning: true,
        remaining_ms: 5_000,
        ..demand(1_000, 1_000, 1, 9_000)
    };
    server_of(placer.place(now, &returning));
}

// A request must be refused at once if its first event is predicted after its deadline.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused() {
    let mut placer = placer(1);
    let now = Time::from_ms(1_000);
    for sequence in 0..4 {
        placer.place(now, &demand(sequence, sequence, 1, 9_000));
    }
    let request = Demand {
        remaining_ms: 300,
        ..demand(10, 10, 1, 9_000)
    };
    let decision = placer.place(now, &request);
    assert!(
        matches!(
            decision,
            Decision::Refuse {
                reason: Reason::Deadline,
                ..
            }
        ),
        "{decision:?}"
    );
}

// Requests with the same shared part must go to the engine that has cached it while the wait there
// is short.
#[test]
fn requests_with_a_shared_part_go_to_one_engine() {
    let mut placer = placer(6);
    let mut now = Time::from_ms(1_000);
    let mut servers = Vec::new();
    for sequence in 0..30 {
        now = now.plus_ms(100);
        let request = demand(sequence, 5, 13_300, 500);
        let server = server_of(placer.place(now, &request));
        placer.record_first_event(now.plus_ms(95), request.key);
        placer.record_end(
            now.plus_ms(99),
            request.key,
            Outcome::Answered { failed: false },
        );
        if !servers.contains(&server) {
            servers.push(server);
        }
    }
    assert_eq!(servers.len(), 1, "servers used: {servers:?}");
}

// If the engine that has cached a shared part is busy, another one must fetch the part. A second
// prefill would take longer and use scarce engine time.
#[test]
fn a_cached_part_is_fetched_from_a_busy_engine() {
    let mut placer = placer(2);
    let now = Time::from_ms(1_000);
    let first = demand(1, 7, 13_300, 500);
    let busy = server_of(placer.place(now, &first));
    let later = now.plus_ms(1_000);
    placer.record_first_event(later, first.key);
    let mut fetched = 0;
    for sequence in 2..12 {
        let decision = placer.place(later, &demand(sequence, 7, 13_300, 3_000));
        if let Decision::Place {
            server,
            fetch_from: Some(_),
            cached_tokens,
            ..
        } = decision
        {
            assert_ne!(server.id, busy);
            assert_eq!(cached_tokens, 13_300);
            fetched += 1;
        }
    }
    assert!(fetched >= 1, "no engine fetched the cached part");
}

// A part that an engine has not prefilled yet cannot be fetched from it: the other engine would get nothing, and would
// prefill the part a second time after waiting for the transfer.
#[test]
fn a_part_is_not_fetched_before_it_is_prefilled() {
    let mut placer = placer(2);
    let now = Time::from_ms(1_000);
    let first = demand(1, 7, 13_300, 500);
    server_of(placer.place(now, &first));
    let fetches = |placer: &mut Placer, sequences: std::ops::Range<u64>| {
        let decisions =
            sequences.map(|sequence| placer.place(now, &demand(sequence, 7, 13_300, 3_000)));
        let is_fetch = |decision: &Decision| {
            matches!(
                decision,
                Decision::Place {
                    fetch_from: Some(_),
                    ..
                }
            )
        };
        decisions.filter(is_fetch).count()
    };
    assert_eq!(fetches(&mut placer, 2..12), 0);
    placer.record_first_event(now, first.key);
    assert!(
        fetches(&mut placer, 12..22) >= 1,
        "a prefilled part is not fetched"
    );
}

// A request that its engine never started leaves nothing in the engine's cache. Later requests would otherwise be sent
// there, or fetch from there, in vain.
#[test]
fn a_request_that_was_not_started_leaves_no_cached_part() {
    let mut placer = placer(1);
    let now = Time::from_ms(1_000);
    let cached = |placer: &mut Placer, sequence: u64| {
        let request = demand(sequence, 7, 13_300, 500);
        match placer.place(now, &request) {
            Decision::Place { cached_tokens, .. } => (request.key, cached_tokens),
            Decision::Refuse { reason, .. } => panic!("refused: {reason:?}"),
            Decision::Wait { .. } => panic!("waits"),
        }
    };
    let (dropped, _) = cached(&mut placer, 1);
    placer.record_end(now, dropped, Outcome::Cancelled);
    let (started, tokens) = cached(&mut placer, 2);
    assert_eq!(
        tokens, 0,
        "the part of the dropped request counts as cached"
    );
    placer.record_first_event(now, started);
    placer.record_end(now, started, Outcome::Cancelled);
    let (_, tokens) = cached(&mut placer, 3);
    assert_eq!(
        tokens, 13_300,
        "the part of the started request is forgotten"
    );
}

// A restarted placer that does not know what the engines have cached predicts a full prefill for
// every prompt, and refuses requests that could be on time.
#[test]
fn a_restarted_placer_uses_the_reported_cache_contents() {
    let now = Time::from_ms(1_000);
    let admitted = |placer: &mut Placer| {
        let requests = (1..200).map(|sequence| demand(sequence, sequence % 10, 13_300, 500));
        let placed =
            requests.filter(|request| matches!(placer.place(now, request), Decision::Place { .. }));
        placed.count()
    };
    let mut uninformed = placer(4);
    let mut informed = placer(4);
    for part in 0..10 {
        let prompt = demand(0, part, 13_300, 500).prompt.expect("a generation");
        let parts: Vec<(u64, u32)> = primrose_place::cache::part_keys(&prompt).take(1).collect();
        let server = format!("engine-{:02}", 1 + part % 4);
        informed.record_cached_parts(&server, &parts);
    }
    let (before, after) = (admitted(&mut uninformed), admitted(&mut informed));
    assert!(
        after >= before * 3 / 2,
        "admitted without reports: {before}, with reports: {after}, of 199"
    );
}

// In a flood a request is refused early, with the shortest wait on any engine, if that wait is beyond its limit. A wrong
// bound would refuse requests that an engine can serve in time.
#[test]
fn early_refusals_are_right() {
    let mut document = (*support::fast_document()).clone();
    document.limits.tokens_per_s = Some(100_000.0);
    let mut placer = placer(4);
    placer.set_document(&std::sync::Arc::new(document));
    let mut replay = Replay::new(placer);
    let mut tally = Tally::default();
    let mut refused = 0;
    for sequence in 0..3_000 {
        replay.step();
        let account = if sequence % 10 == 0 { "small" } else { "flood" };
        let request = for_account(account, demand(sequence, sequence % 20, 10_000, 3_000));
        let now = Time::from_ms(1_001 + sequence);
        let report = replay.placer.explain(now, &request);
        let servers = report.servers.iter();
        let soonest = servers.min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        if let Decision::Refuse { wait_ms, .. } = report.decision
            && let (Some(soonest), Some(limit)) = (soonest, &report.limit)
            && wait_ms == soonest.wait_ms as u32
        {
            refused += 1;
            let first_ms = soonest.first_event_ms - soonest.wait_ms - soonest.own_ms;
            let own_ms = soonest.own_ms.min(Settings::default().own_cap * 600.0);
            let max_wait_ms = (limit.limit_ms - first_ms - own_ms).max(0.0);
            assert!(
                soonest.wait_ms > max_wait_ms,
                "request {sequence}: {soonest:?} {limit:?}"
            );
        }
        replay.send(&request, &mut tally);
    }
    assert!(refused > 1_000, "{refused} refused");
}
