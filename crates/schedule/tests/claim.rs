//! Tests of the guard for requests that must run at most once.

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use primrose_schedule::admission::Reason;
use primrose_schedule::claim::{Cause, DEADLINE_MS, Guard, Outcome, Reply, Settlement};
use proptest::prelude::*;
use test_case::test_case;

const START: Time = Time::from_ms(50);

fn claimed(reply: Reply) -> (Guard, Option<Outcome>) {
    let mut guard = Guard::default();
    assert!(guard.claim(START));
    let outcome = guard.on_reply(START.plus_ms(20), reply);
    (guard, outcome)
}

fn ended(cause: Cause, verdict: Verdict, settlement: Option<Settlement>) -> Outcome {
    Outcome {
        cause,
        verdict,
        settlement,
    }
}

fn released(reason: Reason) -> Outcome {
    ended(
        Cause::Refused(reason),
        Verdict::NotRun,
        Some(Settlement::Released),
    )
}

// Guards against a host that was suspended and then sends a request although another host may have claimed the key
// since.
#[test]
fn request_with_an_expired_claim_is_not_sent() {
    let last = START.plus_ms(DEADLINE_MS - 1);
    let (mut guard, _) = claimed(Reply::Granted);
    assert_eq!(guard.clone().send(last), Ok(true));
    assert_eq!(
        guard.send(last.plus_ms(1)),
        Err(released(Reason::ClaimExpired))
    );
    assert_eq!(guard.send(START), Ok(false));
}

// Guards against a repeated claim message or a late reply extending the deadline, which counts from the first
// message.
#[test]
fn deadline_counts_from_the_first_claim() {
    let mut guard = Guard::default();
    guard.claim(START);
    guard.claim(START.plus_ms(5_000));
    let outcome = guard.on_reply(START.plus_ms(DEADLINE_MS), Reply::Granted);
    assert_eq!(outcome, Some(released(Reason::ClaimExpired)));
}

// Guards against a wrong verdict, with which a caller sends a request again that has run, or does not send one again
// that has not run.
#[test_case(Reply::HeldByOther, ended(Cause::Duplicate, Verdict::MayHaveRun, None))]
#[test_case(Reply::Complete, ended(Cause::Duplicate, Verdict::Complete, None))]
#[test_case(
    Reply::KeyReused,
    ended(Cause::Refused(Reason::KeyReused), Verdict::NotRun, None)
)]
#[test_case(Reply::Unavailable, released(Reason::ClaimUnavailable))]
fn refused_claim_ends_the_request(reply: Reply, expected: Outcome) {
    let (mut guard, outcome) = claimed(reply);
    assert_eq!(outcome, Some(expected));
    assert_eq!(guard.send(START.plus_ms(30)), Ok(false));
}

// Guards against a claim that is granted after the request has ended and is not released: it would block its key for a
// day.
#[test]
fn claim_that_is_won_late_is_released() {
    let (mut guard, _) = claimed(Reply::Unavailable);
    let outcome = guard.on_reply(START.plus_ms(60_000), Reply::Granted);
    assert_eq!(outcome, Some(released(Reason::ClaimUnavailable)));
    assert_eq!(guard.send(START.plus_ms(60_000)), Ok(false));
}

// Guards against the release of a claim when a request fails after it was sent: the request could then run twice.
#[test]
fn failure_outcome_depends_on_progress() {
    let caller_gone = |guard: &mut Guard| guard.on_failure(Reason::CallerGone);
    let mut guard = Guard::default();
    let unclaimed = ended(Cause::Refused(Reason::CallerGone), Verdict::NotRun, None);
    assert_eq!(caller_gone(&mut guard), Some(unclaimed));
    assert!(!guard.claim(START));
    let (mut guard, _) = claimed(Reply::Granted);
    assert_eq!(
        caller_gone(&mut guard.clone()),
        Some(released(Reason::CallerGone))
    );
    assert_eq!(guard.send(START.plus_ms(30)), Ok(true));
    let interrupted = ended(Cause::Interrupted, Verdict::MayHaveRun, None);
    assert_eq!(caller_gone(&mut guard.clone()), Some(interrupted));
    let complete = ended(
        Cause::Answered,
        Verdict::Complete,
        Some(Settlement::Complete),
    );
    assert_eq!(guard.on_answer(), Some(complete));
    assert_eq!(caller_gone(&mut guard), None);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim,
    Reply(Reply),
    Check,
    Send,
    Answer,
    Failure,
}

fn step() -> impl Strategy<Value = Step> {
    use Reply::{Complete, Granted, HeldByOther, KeyReused, Unavailable};
    let reply = prop::sample::select(vec![
        Granted,
        Granted,
        Granted,
        HeldByOther,
        Complete,
        KeyReused,
        Unavailable,
    ]);
    prop_oneof![
        3 => Just(Step::Claim),
        3 => reply.prop_map(Step::Reply),
        1 => Just(Step::Check),
        3 => Just(Step::Send),
        1 => Just(Step::Answer),
        1 => Just(Step::Failure),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against an order of events in which the request is sent twice, too late or without a claim, or in which
    // "not run" is reported, the claim is released after a send, or a request that was not sent is settled as
    // complete.
    #[test]
    fn one_send_and_no_false_verdict(steps in prop::collection::vec((step(), 0..6_000u64), 1..14)) {
        let mut guard = Guard::default();
        let mut now = START;
        let (mut claimed, mut is_granted, mut sends) = (None, false, 0);
        for (step, wait_ms) in steps {
            now = now.plus_ms(wait_ms);
            let outcome = match step {
                Step::Claim => {
                    claimed = claimed.or(guard.claim(now).then_some(now));
                    None
                }
                Step::Reply(reply) => {
                    is_granted |= reply == Reply::Granted && claimed.is_some();
                    guard.on_reply(now, reply)
                }
                Step::Check => guard.check(now).err(),
                Step::Send => {
                    let sent = guard.send(now);
                    if sent == Ok(true) {
                        sends += 1;
                        let asked = claimed.expect("claim was requested before the send");
                        prop_assert!(
                            is_granted && now.since(asked) < DEADLINE_MS,
                            "sent without a claim or after its deadline"
                        );
                    }
                    sent.err()
                }
                Step::Answer => guard.on_answer(),
                Step::Failure => guard.on_failure(Reason::CallerGone),
            };
            prop_assert!(sends <= 1, "sent {sends} times");
            if let Some(outcome) = outcome {
                prop_assert!(
                    sends == 0 || outcome.verdict != Verdict::NotRun,
                    "verdict \"not run\" after a send"
                );
                let wrong = [Settlement::Complete, Settlement::Released][sends];
                prop_assert_ne!(outcome.settlement, Some(wrong));
            }
        }
    }
}
