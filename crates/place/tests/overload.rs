//! Placement when more is asked for than the engines can do.

#[path = "support/load.rs"]
mod load;
mod support;

use load::{Replay, Tally};
use primrose_base::clock::Time;
use primrose_place::Settings;
use primrose_place::demand::Demand;
use primrose_place::placer::{Decision, Outcome, Placer, Reason};
use support::{demand, document, engines, placer, server_of};

fn from(account: &str, demand: Demand) -> Demand {
    Demand {
        account: Some(account.into()),
        ..demand
    }
}

/// One account asks for more than all engines can read, two others for little.
fn flood(mut placer: Placer, ms: u64) -> (Tally, Tally, f64) {
    // What four engines read, with all shared parts kept.
    placer.set_document(&document(Some(300_000.0)));
    let mut replay = Replay::new(placer);
    let (mut flood, mut small) = (Tally::default(), Tally::default());
    let mut sequence = 0;
    for at in 0..ms {
        replay.step();
        // 250 prompts a second, of 13,000 tokens each, of which 3,000 are not shared: about twice the capacity.
        if at % 4 == 0 {
            sequence += 1;
            let request = from("flood", demand(sequence, sequence % 20, 10_000, 3_000));
            replay.send(&request, &mut flood);
        }
        if at % 100 == 0 {
            sequence += 1;
            let name = if at % 200 == 0 { "a" } else { "b" };
            let request = from(name, demand(sequence, 50 + sequence % 2, 5_000, 2_000));
            replay.send(&request, &mut small);
        }
    }
    (flood, small, replay.worked_ms / (4.0 * ms as f64))
}

// An account that floods the fleet must not make the requests of others late, and the engines must not idle meanwhile.
#[test]
fn a_flood_leaves_the_others_on_time() {
    let (flood, small, busy) = flood(placer(4), 20_000);
    let on_time = f64::from(small.on_time) / f64::from(small.asked);
    assert!(on_time >= 0.98, "small accounts: {small:?}");
    assert!(flood.refused > flood.asked / 5, "flood: {flood:?}");
    assert!(flood.late < flood.asked / 50, "flood: {flood:?}");
    assert!(busy > 0.9, "the engines read for {busy} of the time");
}

// Where the engines do more than is promised, the rest must be shared too: an account that asks for somewhat more than its
// promised share was refused as often as one that floods, and got less than half of what the other one got.
#[test]
fn what_is_beyond_the_promise_is_shared() {
    let mut placer = placer(4);
    placer.set_document(&document(Some(100_000.0)));
    let mut replay = Replay::new(placer);
    let (mut flood, mut middle) = (Tally::default(), Tally::default());
    for at in 0..20_000 {
        replay.step();
        if at % 4 == 0 {
            let request = from("flood", demand(at, at % 20, 10_000, 3_000));
            replay.send(&request, &mut flood);
        }
        if at % 16 == 2 {
            let request = from("middle", demand(at, 30 + at % 5, 10_000, 3_000));
            replay.send(&request, &mut middle);
        }
    }
    let served = |tally: Tally| tally.asked - tally.refused;
    let even = (served(flood) + served(middle)) / 2;
    assert!(
        served(middle) * 10 >= even * 9,
        "middle: {middle:?}, flood: {flood:?}"
    );
}

// The lower limit beyond the share must pay: with one limit for all, the queues that the flood builds make others late.
#[test]
fn a_lower_limit_beyond_the_share_keeps_queues_short() {
    let same = Settings {
        excess_limit: 1.0,
        ..Settings::default()
    };
    let mut baseline = Placer::new(same);
    baseline.set_servers(&engines(4));
    let (_, before, _) = flood(baseline, 20_000);
    let (_, after, _) = flood(placer(4), 20_000);
    assert!(after.late + after.refused <= before.late + before.refused);
}

// A prompt that is long by itself must not be refused because of its own length while a server is idle.
#[test]
fn a_long_prompt_is_placed_on_an_idle_server() {
    let mut placer = placer(2);
    let decision = placer.place(Time::from_ms(1_000), &demand(1, 1, 39_900, 50_000));
    server_of(decision);
}

// A caller that was turned away once must be let in where a first attempt would be refused.
#[test]
fn a_returning_caller_goes_before_a_first_attempt() {
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

// A request whose deadline passes before its first event is refused at once.
#[test]
fn a_hopeless_request_is_refused() {
    let mut placer = placer(1);
    let now = Time::from_ms(1_000);
    for sequence in 0..4 {
        placer.place(now, &demand(sequence, sequence, 1, 9_000));
    }
    let hopeless = Demand {
        remaining_ms: 300,
        ..demand(10, 10, 1, 9_000)
    };
    let decision = placer.place(now, &hopeless);
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

// Requests with the same shared part must go to the engine that keeps it while the wait there is short.
#[test]
fn shared_parts_are_kept_in_few_places() {
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
    assert_eq!(servers.len(), 1, "{servers:?}");
}

// When the engine that keeps a shared part is busy, another one fetches it: reading it again would take longer, and
// the time of an engine that is short of it.
#[test]
fn a_kept_part_is_fetched_and_not_read_again() {
    let mut placer = placer(2);
    let now = Time::from_ms(1_000);
    let home = server_of(placer.place(now, &demand(1, 7, 13_300, 500)));
    let later = now.plus_ms(1_000);
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
            assert_ne!(server.id, home);
            assert_eq!(cached_tokens, 13_300);
            fetched += 1;
        }
    }
    assert!(fetched >= 1);
}

// After all processes were killed, a placer that does not know what the engines keep takes every prompt for unread and
// refuses requests that could be on time.
#[test]
fn a_restarted_placer_learns_what_is_kept() {
    let now = Time::from_ms(1_000);
    let admitted = |placer: &mut Placer| {
        let requests = (1..200).map(|sequence| demand(sequence, sequence % 10, 13_300, 500));
        let placed =
            requests.filter(|request| matches!(placer.place(now, request), Decision::Place { .. }));
        placed.count()
    };
    let mut ignorant = placer(4);
    let mut informed = placer(4);
    for thing in 0..10 {
        let prompt = demand(0, thing, 13_300, 500).prompt.expect("a generation");
        let parts: Vec<(u64, u32)> = primrose_place::cache::part_keys(&prompt).take(1).collect();
        let server = format!("engine-{:02}", 1 + thing % 4);
        informed.record_cached_parts(&server, &parts);
    }
    let (before, after) = (admitted(&mut ignorant), admitted(&mut informed));
    assert!(after >= before * 3 / 2, "{before} and {after} of 199");
}
