//! Tests of the decisions on requests during a planned stop.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::stop::{Grace, History};
use test_case::test_case;

const ASKED: Time = Time::from_ms(10_000);

fn grace() -> Grace {
    Grace::new(ASKED, 7_600)
}

fn after(ms: u64) -> Time {
    ASKED.plus_ms(ms)
}

// Guards against a request that is passed on although the host ends before it.
#[test_case(200, 9_700, None, false ; "may last longer than the host")]
#[test_case(200, 9_700, Some(900), true ; "such requests are short")]
#[test_case(200, 9_700, Some(7_200), false ; "such requests are long")]
#[test_case(200, 5_000, None, true ; "deadline is in time")]
#[test_case(200, 5_000, Some(60_000), true ; "deadline limits the duration")]
#[test_case(2_500, 16_500, Some(4_800), true ; "last moment at which callers do not know of the stop")]
#[test_case(2_501, 16_500, Some(1_800), false ; "late, and twice the latest duration would end in time")]
#[test_case(2_501, 16_500, Some(2_000), false ; "late and longer")]
#[test_case(3_200, 11_200, Some(400), false ; "late, and only this request is long")]
#[test_case(5_369, 13_000, Some(1_900), false ; "late, and the latest ones would just have ended")]
#[test_case(7_000, 16_500, Some(250), false ; "late, and the latest ones were short")]
#[test_case(7_000, 7_250, Some(250), true ; "late and the deadline is in time")]
#[test_case(7_400, 16_500, Some(0), false ; "nothing is answered any more")]
fn request_is_passed_on_if_it_ends_in_time(
    now: u64,
    deadline: u64,
    longest: Option<u64>,
    expected: bool,
) {
    assert_eq!(
        grace().admits(after(now), after(deadline), longest),
        expected
    );
}

// Guards against a request that ends with the process and without an answer, and against callers that could send it
// elsewhere but learn too late that they must.
#[test_case(200, 5_000, true, None, 5_000 ; "deadline is in time")]
#[test_case(200, 5_000, false, None, 5_000 ; "deadline is in time and the request may run once")]
#[test_case(200, 9_700, false, None, 7_300 ; "may run once")]
#[test_case(200, 9_700, true, None, 4_950 ; "half of the time is left")]
#[test_case(0, 30_000, true, None, 7_300 ; "half of the time is after the stop")]
#[test_case(200, 9_700, true, Some(900), 4_950 ; "such requests are short")]
#[test_case(200, 9_700, true, Some(6_000), 6_950 ; "such requests end in time")]
#[test_case(200, 9_700, true, Some(7_000), 7_300 ; "such requests just end in time")]
#[test_case(200, 9_700, true, Some(7_200), 4_950 ; "such requests last longer than the host")]
fn request_is_given_up_in_time(
    arrived: u64,
    deadline: u64,
    may_run_twice: bool,
    longest: Option<u64>,
    expected: u64,
) {
    let given_up = grace().give_up(after(arrived), after(deadline), may_run_twice, longest);
    assert_eq!(given_up, after(expected));
}

// Guards against counting the time before the stop, which would give up a request at once.
#[test]
fn request_from_before_the_stop_keeps_half_of_its_remaining_time() {
    let arrived = Time::from_ms(1_000);
    let given_up = grace().give_up(arrived, after(8_000), true, None);
    assert_eq!(given_up, after(4_000));
}

// Guards against callers whose connections are refused although the platform still sends them, and against a host that is
// held by its grace period although none come.
#[test_case(0, 2_300 ; "no callers")]
#[test_case(1_200, 2_300 ; "callers until the platform has noticed")]
#[test_case(2_200, 3_200 ; "callers come later")]
#[test_case(7_000, 7_300 ; "callers never stop")]
fn connections_are_accepted_while_callers_come(last_accepted: u64, expected: u64) {
    let closing = grace().closing(after(last_accepted), 2_300);
    assert_eq!(closing, after(expected));
}

// Guards against answers that are broken off by the end of the process, which could not be logged.
#[test]
fn answers_that_have_begun_are_broken_off_before_the_end() {
    assert_eq!(grace().break_off(), after(7_500));
    assert!(grace().answer_by() < grace().break_off());
    assert!(grace().break_off() < grace().end());
}

#[test]
fn grace_period_shorter_than_the_margin_answers_at_once() {
    let grace = Grace::new(ASKED, 100);
    assert_eq!(grace.answer_by(), ASKED);
    assert_eq!(Grace::new(ASKED, 50).break_off(), ASKED);
    assert!(!grace.admits(ASKED, after(50), None));
}

// Guards against times that overflow: callers and operators state any numbers.
#[test]
fn largest_times_saturate() {
    let grace = Grace::new(ASKED, u64::MAX);
    let last = Time::from_ms(u64::MAX);
    assert!(!grace.admits(ASKED, last, None));
    assert!(grace.admits(ASKED, last, Some(1_000)));
    assert!(grace.give_up(ASKED, last, true, None) < last);
}

#[test]
fn history_keeps_the_latest_durations_of_each_route() {
    let mut history = History::default();
    let (quotes, orders) = (Arc::from("quotes"), Arc::from("orders"));
    assert_eq!(history.longest_ms("quotes"), None);
    history.record(&quotes, 6_000);
    history.record(&orders, 20);
    assert_eq!(history.longest_ms("quotes"), Some(6_000));
    assert_eq!(history.longest_ms("orders"), Some(20));
    for _ in 0..64 {
        history.record(&quotes, 900);
    }
    assert_eq!(history.longest_ms("quotes"), Some(900));
    history.retain(|route| route == "orders");
    assert_eq!(history.longest_ms("quotes"), None);
}
