//! The cases. Each returns 0 if its rule held, 1 if it was broken and 2 if the case could not run.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Behaviour, Fleet, Record, STABLE_WINDOW_MS, config};

pub fn run(name: &str, folder: &str) -> i32 {
    let record = Record::open(Path::new(folder));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.write(&format!("case {name}, disruption {has_trouble}"));
    let code = match name {
        "crashing-part-when-quiet" => crashing_part_when_quiet(&record, has_trouble),
        "crashing-part-of-long-prompts" => crashing_part_of_long_prompts(&record, has_trouble),
        "list-with-a-broken-entry" => list_with_a_broken_entry(&record, has_trouble),
        "restart-with-a-broken-entry" => restart_with_a_broken_entry(&record, has_trouble),
        "sound-parts-refused" => sound_parts_refused(&record, has_trouble),
        _ => {
            eprintln!("unknown case {name}");
            2
        }
    };
    record.write(&format!("result {code}"));
    code
}

/// 12 model servers in three zones, as in the small deployment.
const SERVERS: [(&str, u32); 12] = [("llm", 48); 12];

/// Entry hosts of the small deployment.
const ENTRIES: usize = 9;

/// Runs `work` in a thread of its own.
fn spawn(fleet: &Arc<Fleet>, work: impl FnOnce(&Fleet) + Send + 'static) -> thread::JoinHandle<()> {
    let fleet = Arc::clone(fleet);
    thread::spawn(move || work(&fleet))
}

fn sleep_until(start: Instant, ms: u64) {
    thread::sleep((start + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

/// Waits for the threads and ends the fleet. Returns whether all of its hosts ran to the end.
fn close(fleet: Arc<Fleet>, work: Vec<thread::JoinHandle<()>>) -> bool {
    for one in work {
        let _ = one.join();
    }
    let Ok(fleet) = Arc::try_unwrap(fleet) else {
        return false;
    };
    fleet.all_run()
}

/// The attempt id of a line `run ID ...`, `crash ID ...`, `sent ID ...`.
fn id_of(line: &str) -> &str {
    line.split(' ').nth(1).unwrap_or_default()
}

/// BUDGET: more than three requests with a part that crashes servers reach servers later than `stable_window_ms` after
/// the fifth crash.
///
/// The disruption: a part of long prompts crashes each server that begins to write an answer on it. At this quiet hour one
/// such request comes every 3 s, and one sound request of another prompt in between.
fn crashing_part_when_quiet(record: &Record, has_trouble: bool) -> i32 {
    const CRASHING: &str = "d00dfeed";
    let behaviour = Behaviour {
        crashing: if has_trouble {
            CRASHING.to_owned()
        } else {
            "-".to_owned()
        },
        tokens_per_ms: 93.0,
        events: 6,
        pause_ms: 40,
    };
    let fleet = Arc::new(Fleet::open(
        record.clone(),
        ENTRIES,
        &SERVERS,
        &behaviour,
        &config(7),
    ));
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 1_000));
    let start = Instant::now();
    let mut work = Vec::new();
    for number in 0..14_u64 {
        let at = number as usize;
        work.push(spawn(&fleet, move |fleet| {
            sleep_until(start, number * 3_000);
            // 140,000 tokens take 1.5 s to read at the speed of the sheet.
            let parts = format!("{CRASHING}:100000,7{number:07x}:40000");
            fleet.request("long", at, "/plan/a", &parts, "140000,60");
        }));
        work.push(spawn(&fleet, move |fleet| {
            sleep_until(start, number * 3_000 + 2_200);
            let parts = format!("5a5a0001:350,8{number:07x}:200");
            fleet.request("short", at + 4, "/plan/b", &parts, "550,60");
        }));
    }
    let all_run = close(fleet, work);
    judge_crashing_part(record, "long-", all_run, has_trouble)
}

/// LOST: from twice `stable_window_ms` after the last crash, while requests with the crashing part still come, sound
/// requests with the same key or first part begin at the first attempt less than half as often as before.
///
/// The disruption: one part of a prompt crashes each server that begins to write an answer on it. Its requests share their
/// first three parts and their caller with sound requests, which come once a second.
fn sound_parts_refused(record: &Record, has_trouble: bool) -> i32 {
    const CRASHING: &str = "f00dfeed";
    const SHARED: &str = "1a000001:600,2b000002:300,3c000003:200";
    let behaviour = Behaviour {
        crashing: if has_trouble {
            CRASHING.to_owned()
        } else {
            "-".to_owned()
        },
        tokens_per_ms: 93.0,
        events: 5,
        pause_ms: 40,
    };
    let fleet = Arc::new(Fleet::open(
        record.clone(),
        ENTRIES,
        &SERVERS,
        &behaviour,
        &config(7),
    ));
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 1_000));
    let start = Instant::now();
    let mut work = Vec::new();
    // Sound requests with the same first parts, at all hosts in turn, and others of other prompts.
    for number in 0..72_u64 {
        let at = number as usize;
        work.push(spawn(&fleet, move |fleet| {
            sleep_until(start, number * 1_000);
            let parts = format!("{SHARED},4d{:06x}:150,9{number:07x}:100", number % 5);
            fleet.request("sound", at, "/plan/a", &parts, "1350,60");
        }));
        for other in 0..4_u64 {
            work.push(spawn(&fleet, move |fleet| {
                sleep_until(start, number * 1_000 + other * 250 + 100);
                let parts = format!("66{other:06x}:350,a{number:06x}{other}:200");
                fleet.request("other", at + other as usize, "/plan/b", &parts, "550,60");
            }));
        }
    }
    // The requests with the crashing part begin after 30 s: 20 a second for half a second, and then one a second.
    for number in 0..44_u64 {
        let at = number as usize + 3;
        let ms = if number < 10 {
            30_600 + number * 50
        } else {
            31_600 + (number - 10) * 1_000
        };
        work.push(spawn(&fleet, move |fleet| {
            sleep_until(start, ms);
            let parts = format!("{SHARED},{CRASHING}:150,b{number:07x}:100");
            fleet.request("tainted", at, "/plan/a", &parts, "1350,60");
        }));
    }
    let all_run = close(fleet, work);
    let crashes = record.find("crash tainted-");
    let sent = record.find("sent sound-");
    let begun = record.find("run sound-");
    let tainted = record.find("sent tainted-");
    let Some((first_tainted, _)) = tainted.first() else {
        return 2;
    };
    let last_tainted = tainted.last().map_or(0, |(at, _)| *at);
    let last_crash = crashes
        .get(4)
        .or(crashes.last())
        .map_or(*first_tainted, |(at, _)| *at);
    let share = |from: u64, until: u64| {
        let asked: Vec<&str> = sent
            .iter()
            .filter(|(at, _)| (from..until).contains(at))
            .map(|(_, line)| id_of(line))
            .collect();
        let served = asked
            .iter()
            .filter(|id| begun.iter().any(|(_, line)| id_of(line) == **id))
            .count();
        (served, asked.len())
    };
    let (calm_served, calm) = share(0, *first_tainted);
    let (served, asked) = share(last_crash + 2 * STABLE_WINDOW_MS, last_tainted);
    record.write(&format!(
        "crashes {}; sound requests that began at the first attempt: {calm_served} of {calm} before, {served} of {asked} \
         from {} ms after the last counted crash on",
        crashes.len(),
        2 * STABLE_WINDOW_MS
    ));
    if !all_run
        || calm < 20
        || asked < 20
        || calm_served == 0
        || (has_trouble && crashes.is_empty())
    {
        return 2;
    }
    let (before, after) = (
        calm_served as f64 / calm as f64,
        served as f64 / asked as f64,
    );
    i32::from(after < before / 2.0)
}

/// BUDGET: more than three requests with a part that crashes servers reach servers later than `stable_window_ms` after
/// the fifth crash.
///
/// The disruption: one part of a prompt crashes each server that begins to write an answer on it. Its requests belong to
/// long conversations, whose prompts have 300 shared parts; one comes every 2 s. Four short sound requests of other
/// prompts come each second.
fn crashing_part_of_long_prompts(record: &Record, has_trouble: bool) -> i32 {
    const CRASHING: &str = "d00dfeed";
    let behaviour = Behaviour {
        crashing: if has_trouble {
            CRASHING.to_owned()
        } else {
            "-".to_owned()
        },
        tokens_per_ms: 93.0,
        events: 5,
        pause_ms: 40,
    };
    let fleet = Arc::new(Fleet::open(
        record.clone(),
        ENTRIES,
        &SERVERS,
        &behaviour,
        &config(7),
    ));
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 1_000));
    let start = Instant::now();
    let mut work = Vec::new();
    for number in 0..20_u64 {
        let at = number as usize;
        work.push(spawn(&fleet, move |fleet| {
            sleep_until(start, number * 2_000);
            let mut parts = format!("{CRASHING}:100");
            for turn in 1..300_u64 {
                parts.push_str(&format!(
                    ",{:08x}:40",
                    0x2000_0000 + number * 0x1_0000 + turn
                ));
            }
            parts.push_str(&format!(",{:08x}:40", 0x7000_0000 + number));
            fleet.request("long", at, "/plan/a", &parts, "12100,60");
        }));
    }
    for number in 0..160_u64 {
        let at = number as usize;
        work.push(spawn(&fleet, move |fleet| {
            sleep_until(start, number * 250);
            let parts = format!(
                "5a5a{:04x}:350,{:08x}:200",
                number % 20,
                0x6000_0000 + number
            );
            fleet.request("short", at + 4, "/plan/b", &parts, "550,60");
        }));
    }
    let all_run = close(fleet, work);
    judge_crashing_part(record, "long-", all_run, has_trouble)
}

/// Judges the rule on requests with a part that crashes servers, whose attempt ids begin with `kind`.
fn judge_crashing_part(record: &Record, kind: &str, all_run: bool, has_trouble: bool) -> i32 {
    let crashes = record.find(&format!("crash {kind}"));
    let arrivals = record.find(&format!("run {kind}"));
    let late = crashes.get(4).map_or(0, |(fifth, _)| {
        arrivals
            .iter()
            .filter(|(at, _)| *at > fifth + STABLE_WINDOW_MS)
            .count()
    });
    record.write(&format!(
        "crashes {}, requests with the part that reached servers {}, of these later than {STABLE_WINDOW_MS} ms after \
         the fifth crash {late} (at most 3 may)",
        crashes.len(),
        arrivals.len()
    ));
    if !all_run || arrivals.is_empty() || (has_trouble && crashes.is_empty()) {
        return 2;
    }
    i32::from(late > 3)
}

/// DRAIN: a request reaches a server later than `drain_timeout_ms` after the platform's list shows that it is draining.
///
/// The disruption: the list contains an entry of another writer whose bytes break off. Five seconds later one server is
/// listed as draining, as planned, and goes on to serve.
fn list_with_a_broken_entry(record: &Record, has_trouble: bool) -> i32 {
    const DRAIN_TIMEOUT_MS: u64 = 3_000;
    let behaviour = Behaviour {
        crashing: "-".to_owned(),
        tokens_per_ms: 93.0,
        events: 5,
        pause_ms: 40,
    };
    let fleet = Arc::new(Fleet::open(
        record.clone(),
        ENTRIES,
        &SERVERS,
        &behaviour,
        &config(7),
    ));
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 1_000));
    let start = Instant::now();
    let mut work = Vec::new();
    for number in 0..600_u64 {
        let at = number as usize;
        work.push(spawn(&fleet, move |fleet| {
            sleep_until(start, number * 50);
            let parts = format!(
                "5a5a{:04x}:350,{:08x}:200",
                number % 40,
                0x6000_0000 + number
            );
            fleet.request("short", at, "/plan/b", &parts, "550,60");
        }));
    }
    sleep_until(start, 5_000);
    if has_trouble {
        fleet.add_entry(b"{\"service\":\"llm\",\"address\":\"127.0.0.1:80\",\"zone\":\"gas");
    }
    sleep_until(start, 10_000);
    let leaving = fleet.servers[4].clone();
    let drained = record.now_ms();
    fleet.drain(&leaving);
    let all_run = close(fleet, work);
    let runs = record.find("run short-");
    let late = runs
        .iter()
        .filter(|(at, line)| *at > drained + DRAIN_TIMEOUT_MS && line.ends_with(&leaving.id))
        .count();
    let before = runs
        .iter()
        .filter(|(at, line)| *at < drained && line.ends_with(&leaving.id))
        .count();
    record.write(&format!(
        "requests that reached {}: {before} before it was listed as draining, {late} later than {DRAIN_TIMEOUT_MS} ms after \
         that (none may)",
        leaving.id
    ));
    if !all_run || before == 0 {
        return 2;
    }
    i32::from(late > 0)
}

/// RECOVER: of the requests sent later than `recovery_s` after the machines are back, less than a quarter is served.
///
/// The disruptions: the list contains an entry of another writer whose bytes break off, and all processes are killed.
fn restart_with_a_broken_entry(record: &Record, has_trouble: bool) -> i32 {
    const RECOVERY_MS: u64 = 12_000;
    let behaviour = Behaviour {
        crashing: "-".to_owned(),
        tokens_per_ms: 93.0,
        events: 5,
        pause_ms: 40,
    };
    let fleet = Fleet::open(record.clone(), ENTRIES, &SERVERS, &behaviour, &config(7));
    let fleet = Arc::new(fleet);
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 1_000));
    let start = Instant::now();
    let mut work = Vec::new();
    for number in 0..400_u64 {
        let at = number as usize;
        work.push(spawn(&fleet, move |fleet| {
            sleep_until(start, number * 100);
            let parts = format!(
                "5a5a{:04x}:350,{:08x}:200",
                number % 40,
                0x6000_0000 + number
            );
            fleet.request("short", at, "/plan/b", &parts, "550,60");
        }));
    }
    sleep_until(start, 5_000);
    if has_trouble {
        fleet.add_entry(b"{\"service\":\"llm\",\"address\":\"127.0.0.1:80\",\"zone\":\"gas");
    }
    sleep_until(start, 10_000);
    let killed = record.now_ms();
    fleet.kill_hosts();
    thread::sleep(Duration::from_secs(1));
    fleet.start_hosts(false);
    let back = record.now_ms();
    let all_run = close(fleet, work);
    let (sent, answers) = (record.find("sent short-"), record.find("answer short-"));
    let share = |from: u64, until: u64| {
        let asked = sent.iter().filter(|(at, _)| (from..until).contains(at));
        let asked: Vec<&str> = asked.map(|(_, line)| id_of(line)).collect();
        let is_served = |id: &&&str| {
            let mut answers = answers.iter();
            answers.any(|(_, line)| id_of(line) == **id && line.ends_with("200 whole"))
        };
        (asked.iter().filter(is_served).count(), asked.len())
    };
    let (before, asked_before) = share(0, killed);
    let (after, asked_after) = share(back + RECOVERY_MS, u64::MAX);
    record.write(&format!(
        "served {before} of {asked_before} before, {after} of {asked_after} from {RECOVERY_MS} ms after all were back on"
    ));
    if !all_run || before * 4 < asked_before || asked_after < 20 {
        return 2;
    }
    i32::from(after * 4 < asked_after)
}
