//! A core machine is replaced as planned: its successor starts first, has the time to catch up, and then the old machine is
//! removed. Soon after that, one other core machine loses its disk, which the settings tolerate. What was acknowledged must
//! be readable again once all are back.

#[path = "../stand_ins/common.rs"]
mod common;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use common::{Fleet, List, Record, Role, Route};

/// How long the successor has run before the old machine is stopped: `catch_up_s`, and a second more.
const SUCCESSOR_TIME: Duration = Duration::from_millis(5_000);

/// From the end of the old machine until the configuration is sent whose acknowledgement the disk loss follows.
const CHANGE_DELAY: Duration = Duration::from_millis(500);

/// How long the machine that lost its disk is down.
const DOWN_TIME: Duration = Duration::from_millis(1_000);

/// How long the configuration is asked for after all machines are back: more than twice `recovery_s`.
const READ_TIME: Duration = Duration::from_secs(30);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| common::fail("the folder of the case is missing"));
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let code = run(&record);
    std::process::exit(code);
}

/// `TROUBLE=0` plays neither the replacement nor the disk loss, `replace` and `wipe` only one of them.
fn plays(part: &str) -> bool {
    match std::env::var("TROUBLE").as_deref() {
        Ok("replace" | "wipe") => std::env::var("TROUBLE").as_deref() == Ok(part),
        _ => common::has_trouble(),
    }
}

fn run(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, &["a", "b", "c"]);
    let list = List::default();
    fleet.serve_list(&list, Duration::from_millis(2));
    for zone in ["a", "b", "c"] {
        fleet.add(Role::Core, zone);
    }
    let entry = fleet.add(Role::Entry, "a");
    for at in 0..fleet.machines.len() {
        fleet.start(at, true);
    }
    let config = |version: u64| {
        let route = Route {
            prefix: "/stock/",
            kind: "safe",
            service: "desk",
            timeout_ms: 1_000,
            target_ms: 100,
            attempts: 2,
        };
        common::config(version, &[route])
    };
    fleet.put(&config(7));
    thread::sleep(Duration::from_millis(3_500));
    let Some(leader) = fleet.leader() else { common::fail("no core machine leads") };
    let old = fleet.cores().into_iter().find(|&at| at != leader).unwrap();
    let mut cores = fleet.cores();
    if plays("replace") {
        let zone = fleet.machines[old].zone.clone();
        let successor = fleet.add(Role::Core, &zone);
        record.line(&format!("platform: {} replaces {}", fleet.machines[successor].name, fleet.machines[old].name));
        fleet.start(successor, false);
        thread::sleep(SUCCESSOR_TIME);
        fleet.signal(old, common::SIGTERM, "SIGTERM");
        let stopped = Instant::now();
        while fleet.ended(old).is_none() {
            if stopped.elapsed() > Duration::from_secs(8) {
                fleet.kill(old, "at the end of grace_s");
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.line(&format!("platform: {} has ended and is removed for good", fleet.machines[old].name));
        cores.retain(|&at| at != old);
        cores.push(successor);
    }
    thread::sleep(CHANGE_DELAY);
    if !fleet.try_put(&config(8), &cores, Duration::from_secs(10)) {
        common::fail("version 8 was not acknowledged");
    }
    if plays("wipe") {
        let Some(acknowledging) = fleet.leader() else { common::fail("no core machine leads") };
        fleet.kill(acknowledging, "right after it has acknowledged version 8");
        fleet.wipe(acknowledging);
        thread::sleep(DOWN_TIME);
        fleet.start(acknowledging, false);
    }

    let back = Instant::now();
    let mut read = None;
    while read.is_none() && back.elapsed() < READ_TIME {
        read = cores.iter().find_map(|&at| fleet.read(at));
        thread::sleep(Duration::from_millis(250));
    }
    let acknowledges = fleet.try_put(&config(9), &cores, Duration::from_secs(10));
    let summary = match &read {
        Some(text) => format!(
            "read back {:.1} s after all were back: {}; a further version is {}acknowledged",
            back.elapsed().as_secs_f64(),
            text.get(..12).unwrap_or(text),
            if acknowledges { "" } else { "not " }
        ),
        None => format!(
            "no core machine has answered a read within {} s after all were back; a further version is {}acknowledged",
            READ_TIME.as_secs(),
            if acknowledges { "" } else { "not " }
        ),
    };
    record.line(&summary);
    println!("{summary}");
    let _ = fleet.ended(entry);
    match read {
        Some(text) if text == config(8) => common::HELD,
        _ => common::BROKEN,
    }
}
