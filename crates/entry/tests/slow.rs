//! Which of several slow readers are disconnected.

use primrose_base::clock::Time;
use primrose_entry::slow::{Readers, Sample};

/// Samples of readers with 100 bytes waiting for each, which have taken `ms` times their speed of 0, 10, 20 ... bytes/ms.
fn samples(readers: u64, ms: u64) -> Vec<Sample> {
    let sample = |id| Sample {
        id,
        waiting: 100,
        taken: 10 * id * ms,
    };
    (0..readers).map(sample).collect()
}

// Guards against the disconnection of readers that keep up, and of more readers than needed.
#[test]
fn slowest_are_chosen_until_the_rest_is_within_the_limit() {
    let mut readers = Readers::new(700);
    for ms in [0, 250, 500, 750] {
        assert_eq!(
            readers.sweep(Time::from_ms(ms), &samples(7, ms)),
            Vec::<u64>::new()
        );
    }
    assert_eq!(
        readers.sweep(Time::from_ms(1_000), &samples(7, 1_000)),
        Vec::<u64>::new()
    );
    // Many new readers at once must not drive out those that are known to be fast.
    let cut = readers.sweep(Time::from_ms(1_250), &samples(13, 1_250));
    assert_eq!(cut, [0, 1, 7, 8, 9, 10]);
}

// Guards against the disconnection of callers for which nothing waits, and against a bound that fails before speeds are
// known.
#[test]
fn limit_holds_before_speeds_are_known() {
    let mut readers = Readers::new(250);
    let mut samples = samples(4, 0);
    samples[0].waiting = 0;
    samples[2].waiting = 200;
    assert_eq!(readers.sweep(Time::from_ms(1), &samples), [2]);
}
