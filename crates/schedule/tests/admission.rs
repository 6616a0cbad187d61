//! Tests of admission control.

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use primrose_schedule::admission::{Limits, Load, Reason, check, check_waiting};
use test_case::test_case;

const LIMITS: Limits = Limits {
    account_waiting: 4,
    host_waiting: 10,
    reserve: 2,
    deadline_ms: 1_000,
};

const QUIET: Load = Load {
    draining: false,
    ready: true,
    account_waiting: 0,
    host_waiting: 0,
    servers: Some(1),
    reaches_slots: true,
    expected_wait_ms: None,
};

// A wrong reason sends operators and callers after the wrong cause. Accounts that fill the host's queue must not shut
// out one that has nothing waiting.
#[test_case(QUIET, Ok(()) ; "quiet")]
#[test_case(Load { draining: true, ready: false, ..QUIET }, Err(Reason::Draining) ; "draining")]
#[test_case(Load { ready: false, servers: None, ..QUIET }, Err(Reason::NotReady) ; "no configuration")]
#[test_case(Load { servers: None, ..QUIET }, Err(Reason::UnknownPool) ; "unknown pool")]
#[test_case(Load { servers: Some(0), ..QUIET }, Err(Reason::NoServer) ; "no server")]
#[test_case(Load { reaches_slots: false, ..QUIET }, Err(Reason::Partitioned) ; "partitioned")]
#[test_case(Load { account_waiting: 3, host_waiting: 9, ..QUIET }, Ok(()) ; "below both limits")]
#[test_case(Load { account_waiting: 4, host_waiting: 10, ..QUIET }, Err(Reason::AccountQueueFull) ; "account")]
#[test_case(Load { account_waiting: 3, host_waiting: 10, ..QUIET }, Err(Reason::HostQueueFull) ; "host")]
#[test_case(Load { host_waiting: 11, ..QUIET }, Ok(()) ; "reserve")]
#[test_case(Load { host_waiting: 12, ..QUIET }, Err(Reason::HostQueueFull) ; "no reserve left")]
#[test_case(Load { expected_wait_ms: Some(1_000), ..QUIET }, Ok(()) ; "just in time")]
#[test_case(Load { expected_wait_ms: Some(1_001), ..QUIET }, Err(Reason::Overload) ; "overload")]
fn gives_the_reason(load: Load, expected: Result<(), Reason>) {
    assert_eq!(check(&LIMITS, &load), expected);
}

// A request that waits without end holds memory and a connection; draining must not drop one that could still run.
#[test]
fn waiting_requests_end_at_the_deadline() {
    let queued = Time::from_ms(500);
    let draining = Load {
        draining: true,
        reaches_slots: false,
        ..QUIET
    };
    let at = |ms, load| check_waiting(&LIMITS, &load, queued, Time::from_ms(ms));
    assert_eq!(at(1_499, draining), Ok(()));
    assert_eq!(at(1_500, draining), Err(Reason::QueueDeadline));
    assert_eq!(
        at(
            600,
            Load {
                servers: Some(0),
                ..QUIET
            }
        ),
        Err(Reason::NoServer)
    );
}

// Two reasons with one code, or a code that is not snake_case, break the counters; a verdict other than "not run" would
// keep callers from sending the request again.
#[test]
fn codes_are_stable_and_nothing_has_run() {
    let codes = Reason::ALL.map(Reason::code);
    let expected = [
        "draining",
        "not_ready",
        "unknown_pool",
        "no_server",
        "partitioned",
        "account_queue_full",
        "host_queue_full",
        "overload",
        "queue_deadline",
        "claim_unavailable",
        "claim_expired",
        "key_reused",
        "caller_gone",
    ];
    assert_eq!(codes, expected);
    assert!(
        Reason::ALL
            .iter()
            .all(|reason| reason.verdict() == Verdict::NotRun)
    );
}
