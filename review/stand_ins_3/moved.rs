//! A route moves to another service while requests with a part that crashes servers come. See review/14.

mod world;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use world::*;

const CRASHING: &str = "5eedbad1";
const MEAN_PAUSE_MS: f64 = 125.0;
const BEFORE_MOVE_MS: u64 = 15_000;
const AFTER_MOVE_MS: u64 = 12_000;

fn main() {
    let record = Record::open();
    let behaviour = Behaviour {
        crashing_part: has_trouble().then(|| CRASHING.to_owned()),
        ..Behaviour::default()
    };
    let network = network();
    let services = ["models-a", "models-b"];
    let platform = Platform::start(
        network,
        &[("models-a", 12), ("models-b", 12)],
        &behaviour,
        &record,
    );
    let fleet = Fleet::start(network, &platform, &record);
    if !fleet.put(&config(1, "models-a", &services, true), 15_000) || !wait_ready(&fleet, 15_000) {
        record.say("the fleet does not serve");
        drop(fleet);
        std::process::exit(2);
    }
    let (tally, stop) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    sound_clients(&fleet, 40, 900.0, &tally, &stop);
    // All machines have been up for longer than `stable_window_ms` when the first such request comes.
    sleep_ms(5_000);
    let crashing_tally = Arc::new(Tally::default());
    let client = {
        let (fronts, record) = (fleet.fronts.clone(), record.clone());
        let (tally, stop) = (Arc::clone(&crashing_tally), Arc::clone(&stop));
        thread::spawn(move || {
            let mut random = Random(12);
            let mut number = 0u64;
            while !stop.load(Ordering::Relaxed) {
                sleep_ms(random.pause_ms(MEAN_PAUSE_MS));
                number += 1;
                let tenant = random.below(16);
                let mut shared = sound_parts(tenant, random.below(20));
                shared.insert(1, CRASHING.to_owned());
                let request = Request {
                    attempt: format!("bad00000{number:08x}"),
                    tenant,
                    shared,
                    last: format!("{:x}", random.next() >> 8),
                };
                let front = fronts[random.below(9) as usize];
                let (record, tally) = (record.clone(), Arc::clone(&tally));
                thread::spawn(move || {
                    let answer = send(front, &request);
                    record.line(&format!(
                        "{} ends for its client: {answer:?}",
                        request.attempt
                    ));
                    tally.count(answer);
                });
            }
        })
    };
    sleep_ms(BEFORE_MOVE_MS);
    record.say("the route moves to models-b");
    let is_moved = fleet.put(&config(2, "models-b", &services, true), 10_000);
    sleep_ms(AFTER_MOVE_MS);
    stop.store(true, Ordering::Relaxed);
    let _ = client.join();
    sleep_ms(500);
    let ended = fleet.ended();
    record.say(&format!("processes that ended by themselves: {ended:?}"));
    record.say(&format!("sound requests: {}", tally.text()));
    record.say(&format!(
        "requests with the part: {}",
        crashing_tally.text()
    ));
    let crashes = platform.seen.crashes.lock().unwrap().clone();
    let in_a = crashes.iter().filter(|crash| crash.2 == "models-a").count();
    let late = late_arrivals(&platform.seen, &[]).unwrap_or_default();
    record.say(&format!("{in_a} crashes of models-a, {} of models-b; {} requests with the crashing part reached servers later than 3,000 ms after the fifth (at most 3)", crashes.len() - in_a, late.len()));
    let broken = late.len() > 3;
    record.say(if broken {
        "BUDGET is broken"
    } else {
        "BUDGET held"
    });
    let names = fleet.names();
    fleet.kill(&names);
    let can_judge = is_moved && can_judge(&platform.seen, &tally, 5);
    std::process::exit(if can_judge { i32::from(broken) } else { 2 });
}
