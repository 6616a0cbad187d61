//! When an entry host announces itself, in virtual time.

use primrose_base::clock::Time;
use primrose_entry::hello::{START_MS, Schedule};
use test_case::test_case;

// After the loss of all processes, an entry host that started before the core hosts waited for its next announcement
// and refused callers meanwhile. A core host must hear it soon, whenever it starts within the 0.3 s of a common start.
#[test_case(0)]
#[test_case(120)]
#[test_case(299)]
fn a_later_core_host_hears_of_a_starting_host_soon(core_start_ms: u64) {
    let started = Time::from_ms(1_000);
    let schedule = Schedule::new(started);
    let core_start = started.plus_ms(core_start_ms);
    let mut now = started;
    while now < core_start {
        now = now.plus_ms(schedule.interval_ms(now, false));
    }
    let waited = now.since(core_start);
    assert!(waited <= 50, "the core host hears nothing for {waited} ms");
}

// A host that can serve, or that has been without a core host for long, must not send more than four announcements a
// second: hundreds of hosts would load the core hosts for as long as the outage lasts.
#[test_case(0, true ; "host that can serve")]
#[test_case(START_MS, false ; "host without a core host")]
fn announcements_are_rare_otherwise(age_ms: u64, can_serve: bool) {
    let started = Time::from_ms(1_000);
    let interval_ms = Schedule::new(started).interval_ms(started.plus_ms(age_ms), can_serve);
    assert!(interval_ms >= 250, "announced every {interval_ms} ms");
}
