//! Tests of the decision when a caller's connection is closed because nothing happens on it, in virtual time.

use primrose_base::clock::Time;
use primrose_entry::idle::{Activity, Timeouts};
use test_case::test_case;

const START: Time = Time::from_ms(5_000);

const fn timeouts(idle_ms: u64) -> Timeouts {
    Timeouts {
        idle_ms,
        head_ms: 3_000,
    }
}

// A caller reuses a connection for a part of the limit that it knows. If the host closed the connection earlier because
// the configuration has changed, the next request would get no answer.
#[test_case(15_000, 15_000, 15_000 ; "unchanged")]
#[test_case(15_000, 40_000, 40_000 ; "raised while idle")]
#[test_case(40_000, 5_000, 40_000 ; "lowered while idle")]
fn idle_limit_is_never_shortened(limit_ms: u64, current_ms: u64, expected_ms: u64) {
    let activity = Activity::Idle {
        since: START,
        limit_ms,
    };
    let due = timeouts(current_ms).due(activity);
    assert_eq!(due, Some(START.plus_ms(expected_ms)));
}

// A connection must not be closed under a request, and a head that stops must not hold it for the idle limit.
#[test]
fn limits_depend_on_the_activity() {
    let timeouts = timeouts(15_000);
    assert_eq!(timeouts.due(Activity::Request), None);
    assert_eq!(
        timeouts.due(Activity::Head(START)),
        Some(START.plus_ms(3_000))
    );
}

// Limits come from documents of operators. With limits of 0 the host must not check its connections without a pause,
// and the greatest ones must not wrap around to an early close.
#[test]
fn extreme_limits_are_bounded() {
    let zero = Timeouts {
        idle_ms: 0,
        head_ms: 0,
    };
    assert!(zero.next_check(START, Activity::Request) > START);
    let idle = Activity::Idle {
        since: START,
        limit_ms: 0,
    };
    assert_eq!(timeouts(u64::MAX).due(idle), Some(Time::from_ms(u64::MAX)));
}
