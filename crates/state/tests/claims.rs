//! Claims of idempotency keys, in single cases and against a simple reference model.

use std::collections::BTreeMap;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_state::claim::{Attempt, Claim, Limits, Outcome, Reply as ClaimReply, Settle};
use primrose_state::{Clock, Command, Machine, Reply};
use proptest::prelude::*;

const RETENTION_MS: u64 = 100_000;

fn attempt(request: u64) -> Attempt {
    Attempt {
        host: id::Host(request as u32 % 2),
        incarnation: 7,
        request,
    }
}

fn claim(
    machine: &mut Machine,
    key: &str,
    digest: u8,
    request: u64,
    proposed_ms: u64,
) -> ClaimReply {
    let reply = machine.apply(&Command::Claim(Claim {
        account: id::Account(1),
        key: key.to_owned(),
        digest: [digest; 32],
        attempt: attempt(request),
        proposed_ms,
    }));
    match reply {
        Reply::Claim(reply) => reply,
        other => panic!("a claim was answered with {other:?}"),
    }
}

fn settle(machine: &mut Machine, key: &str, request: u64, outcome: Outcome) -> bool {
    let command = Command::Settle(Settle {
        account: id::Account(1),
        key: key.to_owned(),
        attempt: attempt(request),
        outcome,
    });
    machine.apply(&command) == Reply::Settle(true)
}

fn machine(claims: usize, claims_per_account: usize) -> Machine {
    Machine::with_limits(Limits {
        retention_ms: RETENTION_MS,
        claims,
        claims_per_account,
    })
}

/// A late release by an earlier holder must not release the claim of the current one, whose request would then run
/// twice.
#[test]
fn only_the_holder_can_settle_a_claim() {
    let mut machine = machine(9, 9);
    assert_eq!(claim(&mut machine, "k", 1, 1, 0), ClaimReply::Granted);
    assert_eq!(claim(&mut machine, "k", 1, 1, 0), ClaimReply::Granted);
    assert!(settle(&mut machine, "k", 1, Outcome::Released));
    assert_eq!(claim(&mut machine, "k", 2, 2, 0), ClaimReply::Granted);
    assert!(settle(&mut machine, "k", 1, Outcome::Released));
    assert!(!settle(&mut machine, "k", 1, Outcome::Complete));
    assert_eq!(claim(&mut machine, "k", 2, 3, 0), ClaimReply::HeldByOther);
    assert!(!settle(&mut machine, "k", 3, Outcome::Released));
    assert!(settle(&mut machine, "k", 2, Outcome::Complete));
    assert!(!settle(&mut machine, "k", 2, Outcome::Released));
    assert_eq!(claim(&mut machine, "k", 2, 4, 0), ClaimReply::Complete);
}

/// A late claim of an attempt that has ended must not take the key. Nobody would settle that claim, and the key would
/// be blocked until it expires.
#[test]
fn a_late_claim_gets_the_first_reply() {
    let mut machine = machine(9, 9);
    assert_eq!(claim(&mut machine, "k", 1, 1, 0), ClaimReply::Granted);
    assert_eq!(claim(&mut machine, "k", 1, 2, 0), ClaimReply::HeldByOther);
    assert!(settle(&mut machine, "k", 1, Outcome::Released));
    assert_eq!(claim(&mut machine, "k", 1, 3, 0), ClaimReply::Granted);
    assert!(settle(&mut machine, "k", 3, Outcome::Released));
    assert_eq!(claim(&mut machine, "k", 1, 1, 0), ClaimReply::Released);
    assert_eq!(claim(&mut machine, "k", 1, 2, 0), ClaimReply::HeldByOther);
    assert_eq!(machine.claim_count(), 0);
}

/// A leader with a slow clock must not make expired claims valid again, and one with a fast clock must not let claims
/// expire early.
#[test]
fn time_never_goes_back() {
    let mut machine = machine(9, 9);
    assert_eq!(claim(&mut machine, "k", 1, 1, 50_000), ClaimReply::Granted);
    assert_eq!(claim(&mut machine, "k", 1, 2, 10), ClaimReply::HeldByOther);
    assert_eq!(machine.now_ms(), 50_000);
    assert_eq!(
        claim(&mut machine, "k", 1, 3, 149_999),
        ClaimReply::HeldByOther
    );
    assert_eq!(claim(&mut machine, "k", 1, 4, 150_000), ClaimReply::Granted);
    let leader = Clock::new(machine.now_ms(), Time::from_ms(1_000_000_000));
    assert_eq!(leader.time_ms(Time::from_ms(1_000_000_030)), 150_030);
    assert_eq!(leader.time_ms(Time::ZERO), 150_000);
}

/// Without a limit on claims, one account could exhaust the memory. A claim must not be dropped to make room for
/// another, because its request could then run twice.
#[test]
fn claims_above_the_limit_are_refused_until_others_expire() {
    let mut machine = machine(10, 4);
    for key in 0..4 {
        let reply = claim(&mut machine, &key.to_string(), 1, key, 0);
        assert_eq!(reply, ClaimReply::Granted);
    }
    assert_eq!(claim(&mut machine, "more", 1, 4, 0), ClaimReply::Full);
    assert_eq!(claim(&mut machine, "0", 1, 5, 0), ClaimReply::HeldByOther);
    assert!(settle(&mut machine, "0", 0, Outcome::Released));
    assert_eq!(claim(&mut machine, "more", 1, 6, 0), ClaimReply::Granted);
    assert_eq!(claim(&mut machine, "late", 1, 7, 0), ClaimReply::Full);
    assert_eq!(
        claim(&mut machine, "late", 1, 8, RETENTION_MS),
        ClaimReply::Granted
    );
    assert_eq!(machine.claim_count(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Claim {
        key: u8,
        digest: u8,
        request: u64,
        later_ms: u64,
    },
    Settle {
        key: u8,
        request: u64,
        complete: bool,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    let later = prop_oneof![4 => Just(0_u64), 2 => 0..30_000_u64, 1 => 90_000..120_000_u64];
    prop_oneof![
        (0..3_u8, 0..2_u8, 0..4_u64, later).prop_map(|(key, digest, request, later_ms)| {
            Step::Claim {
                key,
                digest,
                request,
                later_ms,
            }
        }),
        (0..3_u8, 0..4_u64, any::<bool>()).prop_map(|(key, request, complete)| Step::Settle {
            key,
            request,
            complete,
        }),
    ]
}

/// The state of a key in the reference model. A released key has none.
#[derive(Clone, Copy)]
struct Model {
    digest: u8,
    attempt: u64,
    granted_ms: u64,
    complete: bool,
}

/// The reply that the reference model gives to a claim, apart from replies that are repeated.
fn expected(model: Option<&Model>, digest: u8, attempt: u64, now: u64) -> ClaimReply {
    match model.filter(|model| now < model.granted_ms + RETENTION_MS) {
        None => ClaimReply::Granted,
        Some(model) if model.digest != digest => ClaimReply::KeyReused,
        Some(model) if model.complete => ClaimReply::Complete,
        Some(model) if model.attempt == attempt => ClaimReply::Granted,
        Some(_) => ClaimReply::HeldByOther,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// If a key is granted to another attempt too early, a request runs twice. If it is never granted again, the key
    /// stays blocked.
    #[test]
    fn claims_match_the_reference_model(steps in prop::collection::vec(any_step(), 1..80)) {
        let mut machine = machine(100, 100);
        let mut keys: BTreeMap<u8, Model> = BTreeMap::new();
        // The reply to each attempt that has no claim, which it gets again whenever it asks.
        let mut replies: BTreeMap<u64, ClaimReply> = BTreeMap::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Claim { key, digest, request, later_ms } => {
                    now += later_ms;
                    let attempt = u64::from(key) * 100 + u64::from(digest) * 10 + request;
                    let first = expected(keys.get(&key), digest, attempt, now);
                    let expected = *replies.get(&attempt).unwrap_or(&first);
                    let reply = claim(&mut machine, &key.to_string(), digest, attempt, now);
                    prop_assert_eq!(reply, expected);
                    if reply != ClaimReply::Granted {
                        replies.insert(attempt, reply);
                    } else if !keys.get(&key).is_some_and(|old| {
                        old.attempt == attempt && now < old.granted_ms + RETENTION_MS
                    }) {
                        keys.insert(key, Model { digest, attempt, granted_ms: now, complete: false });
                    }
                }
                Step::Settle { key, request, complete } => {
                    // Mostly the holder settles, so that keys are granted to other attempts often.
                    let holder = keys.get(&key).map_or(0, |model| model.attempt);
                    let attempt = if request < 3 { holder } else { holder + 1 };
                    let outcome = if complete { Outcome::Complete } else { Outcome::Released };
                    let done = settle(&mut machine, &key.to_string(), attempt, outcome);
                    if replies.get(&attempt) == Some(&ClaimReply::Released) {
                        prop_assert_eq!(done, !complete);
                        continue;
                    }
                    // An expired claim is removed at the next sweep, so a late settlement may or may not find it.
                    let Some(entry) = keys.get_mut(&key).filter(|m| now < m.granted_ms + RETENTION_MS) else {
                        if done && !complete {
                            replies.insert(attempt, ClaimReply::Released);
                        }
                        continue;
                    };
                    let may_settle = entry.attempt == attempt && (complete || !entry.complete);
                    prop_assert_eq!(done, may_settle);
                    if may_settle && complete {
                        entry.complete = true;
                    } else if may_settle {
                        replies.insert(attempt, ClaimReply::Released);
                        keys.remove(&key);
                    }
                }
            }
        }
    }
}
