//! The queue of events and the fake engine.

use primrose_model::engine::{Answer, Flow, Work};
use primrose_model::timeline::Queue;

// Events of one moment must happen in the order in which they were added: otherwise a seed does not repeat its run.
#[test]
fn events_of_one_moment_keep_their_order() {
    let mut queue = Queue::default();
    for event in 0..50 {
        queue.push(7, event);
    }
    queue.push(3, 99);
    assert_eq!(queue.next_at(), Some(3));
    assert_eq!(queue.pop_due(2), None);
    let happened: Vec<u32> = std::iter::from_fn(|| queue.pop_due(7)).collect();
    let expected: Vec<u32> = std::iter::once(99).chain(0..50).collect();
    assert_eq!(happened, expected);
}

// An answer must charge each token once, and its last flow may be shorter than the others.
#[test]
fn an_answer_charges_what_it_is() {
    let work = Work {
        input: 100,
        output: 25,
    };
    let mut answer = Answer::new(work);
    let flows = [answer.flow(), answer.flow(), answer.flow()];
    let expected = [(120, 120, false), (20, 140, false), (10, 150, true)];
    let expected = expected.map(|(flowed, total, is_end)| Flow {
        flowed,
        total,
        is_end,
    });
    assert_eq!(flows, expected);
    assert_eq!(work.charge(25), 150);
}
