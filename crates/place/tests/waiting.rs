//! Requests that wait for spare engine time while callers ask for more than the engines can serve.

#[path = "support/contention.rs"]
mod contention;
mod support;

use contention::{Load, Report, replay};
use primrose_base::clock::Time;
use primrose_place::demand::Key;
use primrose_place::placer::Decision;
use primrose_place::waiting::{Answer, Ask, Queue};
use primrose_place::{Placer, Settings};

fn settings(waiting: bool) -> Settings {
    Settings {
        waiting,
        ..Settings::default()
    }
}

fn load(mean: f64, guaranteed: f64) -> Load {
    Load {
        mean,
        swing: 0.4,
        period_ms: 14_000.0,
        guaranteed,
        seed: 1,
    }
}

/// Replays the load with waiting off and on.
fn both(load: Load) -> [Report; 2] {
    [false, true].map(|waiting| replay(load, &settings(waiting), None))
}

// Late requests that take the place of requests in time cost more than they earn. With waiting on, more worth must be
// earned, and requests in time, the worst account and the worst kind may lose at most the noise of a replay.
#[test]
fn waiting_earns_more_and_delays_nobody() {
    for guaranteed in [0.5, 1.0] {
        let [off, on] = both(load(1.0, guaranteed));
        let figures = format!("off: {:?}, on: {:?}", off.all, on.all);
        assert_eq!(off.most_waiting + off.all.placed_after_waiting as usize, 0);
        assert!(on.all.placed_after_waiting > 0, "{figures}");
        assert!(on.all.part() > off.all.part(), "{figures}");
        assert!(on.all.on_time * 200 >= off.all.on_time * 199, "{figures}");
        assert!(
            on.worst_account() >= off.worst_account() - 0.005,
            "{figures}"
        );
        assert!(on.worst_class() >= off.worst_class() - 0.005, "{figures}");
        assert!(on.all.refused_after_waiting * 30 < on.all.sent, "{figures}");
    }
}

// The placer can be lost while requests wait. Its successor must place or refuse each of them, and none may be sent twice.
#[test]
fn a_successor_decides_on_the_requests_that_wait() {
    let mut report = replay(load(1.0, 0.5), &settings(true), Some(30_000));
    assert!(report.waiting_at_loss > 0, "no request waits at the loss");
    assert_eq!(report.unanswered, 0);
    let sent = report.keys.len();
    report.keys.sort_unstable();
    report.keys.dedup();
    assert_eq!(report.keys.len(), sent, "a request was sent twice");
}

fn ask(sequence: u64, excess: f64) -> Ask {
    Ask {
        key: Key { entry: 1, sequence },
        pool: support::POOL.into(),
        excess,
        is_late: false,
        has_returned: false,
        objective_ms: 1_000.0,
        remaining_ms: 10_000.0,
        wait_ms: 0.0,
        own_ms: 1.0,
        first_ms: 85.0,
    }
}

const NOW: Time = Time::from_ms(1_000);

/// A queue of a pool with 20 engines.
fn queue() -> Queue {
    let mut queue = Queue::default();
    queue.observe(NOW, &support::POOL.into(), &[500.0; 20]);
    queue
}

fn waits(answer: Answer) -> bool {
    matches!(answer, Answer::Wait { .. })
}

// An account that floods the fleet must not take the spare engine time before accounts within their share.
#[test]
fn accounts_within_their_share_go_first() {
    let mut queue = queue();
    let asks = [ask(1, 3.0), ask(2, 1.0)].map(|ask| Ask {
        own_ms: 100.0,
        ..ask
    });
    for ask in &asks {
        let ask = Ask {
            wait_ms: 500.0,
            ..ask.clone()
        };
        assert!(waits(queue.decide(NOW, &ask, &[500.0; 20])));
    }
    // One of the two idle engines is reserved for new arrivals.
    let idle = [0.0, 0.0];
    assert!(waits(queue.decide(NOW, &asks[0], &idle)));
    assert_eq!(queue.decide(NOW, &asks[1], &idle), Answer::Place);
    assert_eq!(queue.decide(NOW, &asks[0], &idle), Answer::Place);
}

// A request that the queue cannot reach before its deadline must be refused at once, not after it has waited.
#[test]
fn a_request_does_not_wait_into_its_deadline() {
    let mut queue = queue();
    let hopeless = Ask {
        own_ms: 10_000.0,
        wait_ms: 500.0,
        ..ask(1, 1.0)
    };
    assert_eq!(queue.decide(NOW, &hopeless, &[500.0; 20]), Answer::Refuse);
    assert!(queue.is_empty());
}

// Callers who disconnect and callers in a flood must not fill the memory of the placer.
#[test]
fn the_queue_is_bounded_and_forgets_requests_that_do_not_ask_again() {
    let mut queue = queue();
    for sequence in 0..1_000 {
        let ask = Ask {
            wait_ms: 500.0,
            ..ask(sequence, 1.0)
        };
        queue.decide(NOW, &ask, &[500.0; 20]);
    }
    assert_eq!(queue.len(), 256);
    queue.expire(NOW.plus_ms(2_000));
    assert!(queue.is_empty());
}

// On a deployment whose document calls for no waiting, for instance because timeouts are short, the setting must not change
// a decision.
#[test]
fn decisions_are_the_same_where_the_document_calls_for_no_waiting() {
    let decisions = |waiting| {
        let mut placer = Placer::new(settings(waiting));
        placer.set_servers(&support::engines(2));
        placer.set_document(&support::document(Some(100_000.0)));
        let place = |sequence: u64| {
            let mut demand = support::demand(sequence, sequence % 5, 9_000, 2_000);
            demand.returning = sequence.is_multiple_of(3);
            placer.place(NOW.plus_ms(sequence * 10), &demand)
        };
        (0..300).map(place).collect::<Vec<_>>()
    };
    let off = decisions(false);
    assert!(
        off.iter()
            .any(|decision| matches!(decision, Decision::Refuse { .. }))
    );
    assert_eq!(decisions(true), off);
}

// Prints the table of docs/design/waiting.md.
#[test]
#[ignore = "takes half a minute"]
fn compare() {
    for (mean, guaranteed) in [1.0, 1.2, 1.4]
        .into_iter()
        .flat_map(|mean| [(mean, 1.0), (mean, 0.5)])
    {
        let mut sums = [[0.0; 8]; 2];
        for (swing, period_ms, seed) in [
            (0.3, 11_000.0, 1),
            (0.5, 11_000.0, 2),
            (0.3, 17_000.0, 3),
            (0.5, 17_000.0, 4),
        ] {
            let load = Load {
                swing,
                period_ms,
                seed,
                ..load(mean, guaranteed)
            };
            for (sums, report) in sums.iter_mut().zip(both(load)) {
                let all = report.all;
                let part = |count: u32| f64::from(count) / f64::from(all.sent);
                let row = [
                    all.part(),
                    report.classes[0].part(),
                    report.classes[1].part(),
                    report.worst_account(),
                    part(all.on_time),
                    part(all.late),
                    part(all.refused),
                    part(all.refused_after_waiting),
                ];
                sums.iter_mut()
                    .zip(row)
                    .for_each(|(sum, value)| *sum += value / 4.0);
            }
        }
        for (name, row) in ["off", "on"].iter().zip(sums) {
            let row = row.map(|value| format!("{value:.3}")).join(" | ");
            println!("| {mean} | {guaranteed} | {name} | {row} |");
        }
    }
}
