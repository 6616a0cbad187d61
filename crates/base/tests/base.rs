//! Tests of names, time and verdicts.

use primrose_base::clock::Time;
use primrose_base::name::{Error, Name};
use primrose_base::verdict::Verdict;
use test_case::test_case;

#[test_case("dealer-a" ; "letters and dash")]
#[test_case("10.0.0.1" ; "address")]
#[test_case("a" ; "one letter")]
fn accepts_valid_names(text: &str) {
    assert_eq!(Name::new(text).expect("valid").as_str(), text);
}

// Guards against names that differ only in case: an operator takes them for the same name, but they compare unequal.
#[test_case("", Error::Empty ; "empty")]
#[test_case("Dealer", Error::Character { character: 'D' } ; "upper case")]
#[test_case("a b", Error::Character { character: ' ' } ; "space")]
#[test_case("-a", Error::Character { character: '-' } ; "leading dash")]
fn refuses_invalid_names(text: &str, error: Error) {
    assert_eq!(Name::new(text).expect_err("invalid"), error);
}

// Guards against deserialisation that bypasses the check of names.
#[test]
fn deserialisation_checks_names() {
    assert!(serde_json::from_str::<Name>("\"a/b\"").is_err());
    assert_eq!(
        serde_json::from_str::<Name>("\"ab\"")
            .expect("valid")
            .as_str(),
        "ab"
    );
}

// Guards against a difference to a later time that wraps around to a huge interval.
#[test]
fn time_differences_saturate() {
    let early = Time::from_ms(5);
    let late = early.plus_ms(10);
    assert_eq!(late.since(early), 10);
    assert_eq!(early.since(late), 0);
    assert!(Time::now() > Time::ZERO);
}

// Guards against a retry of a non-idempotent request that may have run.
#[test_case(Verdict::NotRun, false, true)]
#[test_case(Verdict::MayHaveRun, false, false)]
#[test_case(Verdict::MayHaveRun, true, true)]
#[test_case(Verdict::Complete, true, false)]
fn verdict_determines_whether_retry_is_allowed(verdict: Verdict, idempotent: bool, allowed: bool) {
    assert_eq!(verdict.allows_retry(idempotent), allowed);
}
