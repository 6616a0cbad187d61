//! Tests of the decision when another server is asked because one is silent, in virtual time.

use primrose_base::clock::Time;
use primrose_entry::silence::Watch;
use test_case::test_case;

// A sound engine may send nothing for a second while it prefills a preempted request again. Asking another server
// earlier would use up the retry budget whenever an engine stalls.
#[test_case(300, 1_200 ; "four gaps")]
#[test_case(250, 1_200 ; "the lower bound")]
#[test_case(1_000, 4_000 ; "long gaps")]
fn stream_is_silent_after_four_gaps(max_gap_ms: u64, silent_ms: u64) {
    let start = Time::from_ms(5_000);
    let mut watch = Watch::stream(start, Some(max_gap_ms));
    assert_eq!(watch.due(), Some(start.plus_ms(silent_ms)));
    let event = start.plus_ms(900);
    watch.restart(event);
    let due = event.plus_ms(silent_ms);
    assert_eq!(watch.due(), Some(due));
    assert!(!watch.is_due(event.plus_ms(silent_ms - 1)));
    assert!(watch.is_due(due));
}

// Without an objective for the gaps, and after it is known that no other server may be asked, the host must wait for
// the silent server.
#[test]
fn silent_server_is_waited_for_if_no_other_may_be_asked() {
    let now = Time::from_ms(5_000);
    assert_eq!(Watch::stream(now, None).due(), None);
    let mut watch = Watch::stream(now, Some(300));
    watch.stop();
    watch.restart(now.plus_ms(10));
    assert_eq!(watch.due(), None);
}

// A prompt whose prefill is predicted to take longer than the objective must not be sent to a second server while it is
// on time.
#[test_case(100, 0, 200 ; "by the objective")]
#[test_case(100, 450, 900 ; "by the prediction")]
fn head_is_late_after_twice_the_expected_time(objective_ms: u64, predicted_ms: u64, late_ms: u64) {
    let now = Time::from_ms(5_000);
    let watch = Watch::head(now, objective_ms, predicted_ms);
    assert_eq!(watch.due(), Some(now.plus_ms(late_ms)));
}

// Objectives come from documents of operators; a huge one must not wrap around to an early resend.
#[test]
fn huge_objectives_saturate() {
    let now = Time::from_ms(5_000);
    let latest = Some(Time::from_ms(u64::MAX));
    assert_eq!(Watch::head(now, u64::MAX, 0).due(), latest);
    assert_eq!(Watch::stream(now, Some(u64::MAX)).due(), latest);
}
