//! The event queue and the simulated engine.

use primrose_model::engine::{Answer, Chunk, Work};
use primrose_model::timeline::Queue;

// Events with the same time must be returned in the order in which they were added. Otherwise a
// simulation with the same seed is not reproducible.
#[test]
fn events_with_the_same_time_keep_their_order() {
    let mut queue = Queue::default();
    for event in 0..50 {
        queue.push(7, event);
    }
    queue.push(3, 99);
    assert_eq!(queue.next_at(), Some(3));
    assert_eq!(queue.pop_due(2), None);
    let popped: Vec<u32> = std::iter::from_fn(|| queue.pop_due(7)).collect();
    let expected: Vec<u32> = std::iter::once(99).chain(0..50).collect();
    assert_eq!(popped, expected);
}

// The chunks of an answer must count each token exactly once, also if the last chunk is shorter
// than the others.
#[test]
fn chunks_count_each_token_once() {
    let work = Work {
        input: 100,
        output: 25,
    };
    let mut answer = Answer::new(work);
    let chunks = [
        answer.next_chunk(),
        answer.next_chunk(),
        answer.next_chunk(),
    ];
    let expected = [(120, 120, false), (20, 140, false), (10, 150, true)];
    let expected = expected.map(|(weighted_tokens, total, is_end)| Chunk {
        weighted_tokens,
        total,
        is_end,
    });
    assert_eq!(chunks, expected);
    assert_eq!(work.weighted_tokens(25), 150);
}
