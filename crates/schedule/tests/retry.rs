//! Tests of the retry budget.

use primrose_base::clock::Time;
use primrose_base::id::Account;
use primrose_base::verdict::Verdict;
use primrose_schedule::retry::{Budget, Failure, Reason, Refusal, SLICE_MS, WINDOW_MS, check};
use proptest::prelude::*;
use test_case::test_case;

const ACCOUNT: Account = Account(1);
const NOT_RUN: Failure = Failure {
    verdict: Verdict::NotRun,
    idempotent: false,
    delivered_bytes: 0,
    attempts: 1,
};

// Guards against a retry that runs a request twice or appends a second answer to the first.
#[test_case(NOT_RUN, Ok(Reason::NotRun) ; "not run")]
#[test_case(Failure { verdict: Verdict::MayHaveRun, ..NOT_RUN }, Err(Refusal::NonIdempotent) ; "may have run")]
#[test_case(Failure { verdict: Verdict::MayHaveRun, idempotent: true, ..NOT_RUN }, Ok(Reason::Idempotent) ; "idempotent")]
#[test_case(Failure { verdict: Verdict::MayHaveRun, idempotent: true, delivered_bytes: 1, ..NOT_RUN }, Err(Refusal::Delivered) ; "delivered")]
#[test_case(Failure { verdict: Verdict::Complete, idempotent: true, ..NOT_RUN }, Err(Refusal::Complete) ; "complete")]
#[test_case(Failure { attempts: 3, ..NOT_RUN }, Err(Refusal::Attempts) ; "attempts")]
fn check_depends_on_the_verdict(failure: Failure, expected: Result<Reason, Refusal>) {
    assert_eq!(check(&failure), expected);
}

// Guards against unlimited retries, which multiply the load when servers fail.
#[test]
fn budget_is_ten_plus_ten_percent_of_the_requests() {
    let mut budget = Budget::new();
    let now = Time::from_ms(1_000_000);
    let retries = |budget: &mut Budget, now| {
        std::iter::repeat_with(|| budget.decide(now, ACCOUNT, &NOT_RUN))
            .take_while(Result::is_ok)
            .count()
    };
    assert_eq!(retries(&mut budget, now), 10);
    assert_eq!(budget.decide(now, ACCOUNT, &NOT_RUN), Err(Refusal::Budget));
    for _ in 0..109 {
        budget.count_request(now, ACCOUNT);
    }
    assert_eq!(retries(&mut budget, now), 10);
    assert_eq!(retries(&mut budget, now.plus_ms(WINDOW_MS - SLICE_MS)), 0);
    assert_eq!(retries(&mut budget, now.plus_ms(WINDOW_MS)), 10);
    assert_eq!(budget.decide(now, Account(2), &NOT_RUN), Ok(Reason::NotRun));
}

// Guards against accounts without requests taking up memory for ever.
#[test]
fn idle_accounts_are_removed() {
    let mut budget = Budget::new();
    budget.count_request(Time::from_ms(0), ACCOUNT);
    budget.count_request(Time::from_ms(WINDOW_MS), Account(2));
    budget.expire(Time::from_ms(WINDOW_MS + SLICE_MS));
    assert_eq!(budget.accounts(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against an error in the ring buffer that allows too many retries or drops the counts of requests too
    // early.
    #[test]
    fn ring_buffer_matches_a_list(steps in prop::collection::vec((0..9_000u64, 0..15u32, 0..15u32), 1..60)) {
        let mut budget = Budget::new();
        let mut now = Time::from_ms(3);
        let mut list: Vec<(u64, u64, u64)> = Vec::new();
        for (wait_ms, requests, retries) in steps {
            now = now.plus_ms(wait_ms);
            let slice = now.as_ms() / SLICE_MS;
            for _ in 0..requests {
                budget.count_request(now, ACCOUNT);
            }
            list.push((slice, u64::from(requests), 0));
            list.retain(|entry| entry.0 + WINDOW_MS / SLICE_MS > slice);
            for _ in 0..retries {
                let asked: u64 = list.iter().map(|entry| entry.1).sum();
                let granted: u64 = list.iter().map(|entry| entry.2).sum();
                let allowed = budget.decide(now, ACCOUNT, &NOT_RUN).is_ok();
                prop_assert_eq!(allowed, granted < asked / 10 + 10);
                list.push((slice, 0, u64::from(allowed)));
            }
        }
    }
}
