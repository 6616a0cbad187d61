//! Which callers count as refused before.

use std::sync::Arc;

use primrose_entry::deadline::History;

// A caller that comes back has less time left than one that comes for the first time.
#[test]
fn shorter_deadline_is_that_of_a_returning_caller() {
    let mut history = History::default();
    let (route, other): (Arc<str>, Arc<str>) = ("r".into(), "s".into());
    assert!(!history.is_returning(&route, 8_000, 8_000));
    assert!(!history.is_returning(&route, 8_000, 7_000));
    assert!(history.is_returning(&route, 8_000, 5_000));
    assert!(!history.is_returning(&other, 8_000, 5_000));
}

// One caller with a deadline that nobody can wait for must not make all later ones look as if they came back: in a flood
// they would be served although they are late.
#[test]
fn deadline_beyond_all_timeouts_is_not_recorded() {
    let mut history = History::default();
    let route: Arc<str> = "r".into();
    for deadline_ms in [u64::MAX, 1 << 40, 80_001] {
        assert!(!history.is_returning(&route, 8_000, deadline_ms));
    }
    assert!(!history.is_returning(&route, 8_000, 8_000));
    assert!(history.is_returning(&route, 8_000, 5_000));
    assert!(!history.is_returning(&route, u64::MAX, u64::MAX));
}
