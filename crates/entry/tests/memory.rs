//! Tests of the memory that messages share.

use bytes::Bytes;
use primrose_entry::memory::{Memory, UNCOUNTED_BYTES};

const TOTAL: usize = 100_000;

// Guards against messages that are small by themselves and together exceed the memory of the host.
#[test]
fn sum_of_all_messages_is_bounded() {
    let memory = Memory::new(TOTAL);
    let mut first = memory.reservation();
    assert!(first.resize(UNCOUNTED_BYTES + 60_000));
    let mut second = memory.reservation();
    assert!(!second.resize(UNCOUNTED_BYTES + 40_001));
    assert!(second.resize(UNCOUNTED_BYTES + 40_000));
    assert!(
        memory.reservation().resize(UNCOUNTED_BYTES),
        "small messages always fit"
    );
    assert!(first.resize(UNCOUNTED_BYTES + 10_000));
    assert_eq!(memory.free(), 50_000);
    drop((first, second));
    assert_eq!(memory.free(), TOTAL);
}

// Guards against memory that counts as free while its bytes are still being sent, and against memory that never is.
#[test]
fn memory_is_reserved_until_the_last_clone_is_dropped() {
    let memory = Memory::new(TOTAL);
    let mut reservation = memory.reservation();
    assert!(reservation.resize(UNCOUNTED_BYTES + 1_000));
    let held = reservation.hold(Bytes::from_static(b"message"));
    let clone = held.slice(1..);
    drop(held);
    assert_eq!((memory.free(), &clone[..]), (TOTAL - 1_000, &b"essage"[..]));
    drop(clone);
    assert_eq!(memory.free(), TOTAL);
}
