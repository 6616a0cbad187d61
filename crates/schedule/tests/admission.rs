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

const UNLOADED: Load = Load {
    draining: false,
    ready: true,
    account_waiting: 0,
    host_waiting: 0,
    servers: Some(1),
    reaches_slots: true,
    expected_wait_ms: None,
};

// Guards against a wrong reason, which would mislead operators and callers, and against accounts that fill the queue
// of the host and thereby shut out an account that has no request waiting.
#[test_case(UNLOADED, Ok(()) ; "unloaded")]
#[test_case(Load { draining: true, ready: false, ..UNLOADED }, Err(Reason::Draining) ; "draining")]
#[test_case(Load { ready: false, servers: None, ..UNLOADED }, Err(Reason::NotReady) ; "no configuration")]
#[test_case(Load { servers: None, ..UNLOADED }, Err(Reason::UnknownPool) ; "unknown pool")]
#[test_case(Load { servers: Some(0), ..UNLOADED }, Err(Reason::NoServer) ; "no server")]
#[test_case(Load { reaches_slots: false, ..UNLOADED }, Err(Reason::Partitioned) ; "partitioned")]
#[test_case(Load { account_waiting: 3, host_waiting: 9, ..UNLOADED }, Ok(()) ; "below both limits")]
#[test_case(Load { account_waiting: 4, host_waiting: 10, ..UNLOADED }, Err(Reason::AccountQueueFull) ; "account")]
#[test_case(Load { account_waiting: 3, host_waiting: 10, ..UNLOADED }, Err(Reason::HostQueueFull) ; "host")]
#[test_case(Load { host_waiting: 11, ..UNLOADED }, Ok(()) ; "reserve")]
#[test_case(Load { host_waiting: 12, ..UNLOADED }, Err(Reason::HostQueueFull) ; "no reserve left")]
#[test_case(Load { expected_wait_ms: Some(1_000), ..UNLOADED }, Ok(()) ; "just in time")]
#[test_case(Load { expected_wait_ms: Some(1_001), ..UNLOADED }, Err(Reason::Overload) ; "overload")]
fn check_returns_the_reason(load: Load, expected: Result<(), Reason>) {
    assert_eq!(check(&LIMITS, &load), expected);
}

// Guards against a request that waits for ever and thereby holds memory and a connection, and against a host that
// refuses waiting requests because it is shutting down.
#[test]
fn waiting_requests_are_refused_at_the_deadline() {
    let queued = Time::from_ms(500);
    let draining = Load {
        draining: true,
        reaches_slots: false,
        ..UNLOADED
    };
    let at = |ms, load| check_waiting(&LIMITS, &load, queued, Time::from_ms(ms));
    assert_eq!(at(1_499, draining), Ok(()));
    assert_eq!(at(1_500, draining), Err(Reason::QueueDeadline));
    assert_eq!(
        at(
            600,
            Load {
                servers: Some(0),
                ..UNLOADED
            }
        ),
        Err(Reason::NoServer)
    );
}

// Guards against two reasons with the same code and codes that are not in snake_case, which would break the counters,
// and against a verdict other than "not run", with which callers would not send the request again.
#[test]
fn codes_are_stable_and_verdicts_are_not_run() {
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
