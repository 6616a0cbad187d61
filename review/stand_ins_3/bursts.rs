//! Requests with one part that crashes servers come in small bursts. See review/13.

mod world;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use world::*;

const CRASHING: &str = "5eedbad1";
const BURSTS: u64 = 5;
const BURST_SIZE: u64 = 6;
const BURST_INTERVAL_MS: u64 = 4_000;

fn main() {
    let record = Record::open();
    let behaviour = Behaviour {
        crashing_part: has_trouble().then(|| CRASHING.to_owned()),
        ..Behaviour::default()
    };
    let network = network();
    let platform = Platform::start(network, &[("primrose-llm", 12)], &behaviour, &record);
    let fleet = Fleet::start(network, &platform, &record);
    if !fleet.put(&config(1, "primrose-llm", &["primrose-llm"], false), 15_000)
        || !wait_ready(&fleet, 15_000)
    {
        record.say("the fleet does not serve");
        drop(fleet);
        std::process::exit(2);
    }
    let (tally, stop) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    sound_clients(&fleet, 40, 900.0, &tally, &stop);
    // All machines have been up for longer than `stable_window_ms` when the first burst comes.
    sleep_ms(5_000);
    let crashing_tally = Arc::new(Tally::default());
    let mut random = Random(11);
    for burst in 0..BURSTS {
        record.say(&format!("burst {burst} of {BURST_SIZE} requests"));
        let mut threads = Vec::new();
        for at in 0..BURST_SIZE {
            let tenant = (burst * BURST_SIZE + at * 3) % 16;
            let mut shared = sound_parts(tenant, random.below(20));
            shared.insert(1, CRASHING.to_owned());
            let request = Request {
                attempt: format!("bad{burst:05x}{at:08x}"),
                tenant,
                shared,
                last: format!("{:x}", random.next() >> 8),
            };
            let front = fleet.fronts[(at % 9) as usize];
            let (record, tally) = (record.clone(), Arc::clone(&crashing_tally));
            threads.push(thread::spawn(move || {
                let answer = send(front, &request);
                record.line(&format!(
                    "{} ends for its client: {answer:?}",
                    request.attempt
                ));
                tally.count(answer);
            }));
        }
        for thread in threads {
            let _ = thread.join();
        }
        sleep_ms(BURST_INTERVAL_MS);
    }
    stop.store(true, Ordering::Relaxed);
    sleep_ms(500);
    finish(&record, &fleet, &platform, &tally, &crashing_tally);
}

fn finish(record: &Record, fleet: &Fleet, platform: &Platform, tally: &Tally, crashing: &Tally) {
    let ended = fleet.ended();
    record.say(&format!("processes that ended by themselves: {ended:?}"));
    record.say(&format!("sound requests: {}", tally.text()));
    record.say(&format!("requests of the bursts: {}", crashing.text()));
    let crashes = platform.seen.crashes.lock().unwrap().len();
    let late = late_arrivals(&platform.seen, &[]).unwrap_or_default();
    record.say(&format!("{crashes} crashes; {} requests with the crashing part reached servers later than 3,000 ms after the fifth (at most 3)", late.len()));
    let broken = late.len() > 3;
    record.say(if broken {
        "BUDGET is broken"
    } else {
        "BUDGET held"
    });
    let names = fleet.names();
    fleet.kill(&names);
    let can_judge = can_judge(&platform.seen, tally, 5);
    std::process::exit(if can_judge { i32::from(broken) } else { 2 });
}
