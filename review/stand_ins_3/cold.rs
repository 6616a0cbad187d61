//! All servers come back cold while one core host of three runs. See review/15.

mod world;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use world::*;

/// The most requests that a cold server may get in one second: 5 a second x 1.5 + 5.
const MOST: f64 = 12.5;

fn main() {
    let record = Record::open();
    let behaviour = Behaviour {
        events: 6,
        down_ms: 2_000,
        cold_ms: 3_000,
        ..Behaviour::default()
    };
    let network = network();
    let services = ["drafting-bench"];
    let platform = Platform::start(network, &[("drafting-bench", 4)], &behaviour, &record);
    let fleet = Fleet::start(network, &platform, &record);
    let first = with_warmup(&config(1, "drafting-bench", &services, false));
    if !fleet.put(&first, 15_000) || !wait_ready(&fleet, 15_000) {
        record.say("the fleet does not serve");
        drop(fleet);
        std::process::exit(2);
    }
    fleet.end_first_start();
    let (tally, stop) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    sound_clients(&fleet, 120, 600.0, &tally, &stop);
    sleep_ms(5_000);
    // The leader acknowledges a version again; the others redirect.
    let leader = (0..3)
        .find(|at| put_once(fleet.controls[*at], &first).is_some_and(|answer| answer.0 == 200));
    let Some(leader) = leader else {
        record.say("no core host leads");
        drop(fleet);
        std::process::exit(2);
    };
    record.say("all servers crash; they come back cold 2 s later");
    platform.crash_all();
    sleep_ms(1_600);
    let others: Vec<String> = (0..3)
        .filter(|at| *at != leader)
        .map(|at| format!("core-{at}"))
        .collect();
    if has_trouble() {
        fleet.kill(&others);
        record.say(&format!("{others:?} are killed"));
    }
    record.say(&format!("a change is sent to core-{leader}, which leads"));
    let second = with_warmup(&config(2, "drafting-bench", &services, false));
    let address = fleet.controls[leader];
    thread::spawn(move || put_once(address, &second));
    sleep_ms(200);
    let name = format!("core-{leader}");
    if has_trouble() {
        fleet.kill(&[name.clone()]);
    }
    sleep_ms(100);
    if has_trouble() {
        fleet.launch(&name);
        record.say(&format!("{name} is killed and started again"));
    }
    sleep_ms(2_900);
    if has_trouble() {
        for name in &others {
            fleet.launch(name);
        }
        record.say(&format!("{others:?} are started again"));
    }
    // The servers are warm by now, and the list says so.
    platform.refresh();
    sleep_ms(4_000);
    stop.store(true, Ordering::Relaxed);
    sleep_ms(500);
    record.say(&format!(
        "processes that ended by themselves: {:?}",
        fleet.ended()
    ));
    record.say(&format!("requests: {}", tally.text()));
    let cold = platform.seen.cold.lock().unwrap().clone();
    let in_second = |at: u64, id: &str| {
        let same = cold
            .iter()
            .filter(|(time, server)| server == id && (at..at + 1_000).contains(time));
        same.count()
    };
    let most = cold
        .iter()
        .map(|(at, id)| in_second(*at, id))
        .max()
        .unwrap_or(0);
    record.say(&format!("{} requests reached cold servers, {most} of them one server in one second (at most {MOST})", cold.len()));
    let broken = most as f64 > MOST;
    record.say(if broken {
        "FAILBACK is broken"
    } else {
        "FAILBACK held"
    });
    let names = fleet.names();
    fleet.kill(&names);
    let can_judge = can_judge(&platform.seen, &tally, 4);
    std::process::exit(if can_judge { i32::from(broken) } else { 2 });
}
