//! When hosts exchange their lists of quarantined prompt parts.

use primrose_base::clock::Time;
use primrose_fleet::exchange::Schedule;

// A list that is too long for a datagram must arrive at once, however recent the exchange of another one was.
#[test]
fn new_difference_is_exchanged_at_once() {
    let mut schedule = Schedule::default();
    let now = Time::from_ms(1_000);
    assert!(!schedule.begin(now, 5, 5));
    assert!(schedule.begin(now, 0, 5));
    schedule.end();
    assert!(!schedule.begin(now.plus_ms(10), 5, 5));
    assert!(schedule.begin(now.plus_ms(20), 5, 7));
    // One exchange at a time.
    assert!(!schedule.begin(now.plus_ms(5_000), 5, 8));
    schedule.end();
    assert!(schedule.begin(now.plus_ms(5_000), 5, 8));
}

// An exchange that failed is repeated soon, but hosts that differ for good must not exchange their lists all the time.
#[test]
fn same_difference_is_exchanged_less_and_less_often() {
    let mut schedule = Schedule::default();
    let mut times = Vec::new();
    for ms in (0..60_000).step_by(50) {
        if schedule.begin(Time::from_ms(100_000 + ms), 1, 2) {
            times.push(ms);
            schedule.end();
        }
    }
    assert!(times.len() <= 12 && times[1] <= 1_000, "{times:?}");
}
