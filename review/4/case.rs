//! A server leaves and says so while one core machine is frozen. After the core machine has woken, the server must get
//! no requests from an entry machine that has passed on that it leaves, and that was itself neither restarted nor frozen.

#[path = "../stand_ins/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Caller, Fleet, List, Listed, Record, Role, Route, Tally};

/// `drain_timeout_ms` of the settings.
const DRAIN_TIMEOUT_MS: u64 = 3_000;

/// How long the core machine is frozen, in ms (`node_freeze`, `for_s = 4.0`).
const FREEZE_MS: u64 = 4_000;

/// The most that the freeze is prolonged to, in ms; the site file has freezes of core machines of up to 7 s.
const MAX_FREEZE_MS: u64 = 6_000;

/// The lag of the platform's list, in ms.
const LIST_LAG_MS: u64 = 800;

/// The id of the server that leaves.
const LEAVING: &str = "i-0";

/// The work of a server on a request, in ms (`stock-check`).
const WORK_MS: u64 = 15;

/// Callers of each entry machine.
const CALLERS: usize = 8;

/// A plain service's server.
#[derive(Clone, Default)]
struct Server {
    id: String,
    is_leaving: Arc<AtomicBool>,
    /// Ids of the requests that reached this server, with the time.
    reached: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Server {
    fn serve(&self, stream: std::net::TcpStream, record: &Record) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Ok(Some(head)) = common::read_head(&mut reader) {
            let _ = common::read_body(&mut reader, &head, &mut |_| {});
            let attempt = head.get("primrosearch-attempt-id").unwrap_or("").to_owned();
            let leaving = match self.is_leaving.load(Ordering::SeqCst) {
                true => "Server-Leaving: 1\r\n",
                false => "",
            };
            let expected = head.get("primrosearch-expect-instance").unwrap_or(&self.id);
            let answer = if expected == self.id {
                self.reached.lock().unwrap().insert(attempt.clone(), record.now_ms());
                thread::sleep(Duration::from_millis(WORK_MS));
                format!(
                    "HTTP/1.1 200 OK\r\nPrimrosearch-Attempt-Id: {attempt}\r\nPrimrosearch-Response-Seal: {}\r\n\
                     {leaving}Content-Length: {}\r\n\r\n{}",
                    common::SEAL,
                    self.id.len(),
                    self.id
                )
            } else {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nPrimrosearch-Attempt-Id: {attempt}\r\nPrimrosearch-Not-Run: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// What a caller saw of one request.
struct Seen {
    id: String,
    entry: usize,
    sent_ms: u64,
    answered_ms: u64,
    status: u16,
    says_leaving: bool,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| common::fail("the folder of the case is missing"));
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let code = run(&record);
    std::process::exit(code);
}

fn run(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, &["a", "b", "c"]);
    let list = List::default();
    fleet.serve_list(&list, Duration::from_millis(2));
    let mut servers = Vec::new();
    for (at, zone) in ["a", "b", "c"].iter().enumerate() {
        let server = Server { id: format!("i-{at}"), ..Server::default() };
        let (serving, serving_record) = (server.clone(), record.clone());
        let address = common::listen(fleet.ip(100 + at as u8), move |stream| serving.serve(stream, &serving_record));
        list.add(Listed {
            id: server.id.clone(),
            service: "desk".to_owned(),
            address,
            zone: (*zone).to_owned(),
            slots: 6,
            state: "ready",
        });
        servers.push(server);
    }
    for zone in ["a", "b", "c"] {
        fleet.add(Role::Core, zone);
    }
    let entries = [fleet.add(Role::Entry, "a"), fleet.add(Role::Entry, "b")];
    for at in 0..fleet.machines.len() {
        fleet.start(at, true);
    }
    let route = Route {
        prefix: "/stock/",
        kind: "safe",
        service: "desk",
        timeout_ms: 1_000,
        target_ms: 100,
        attempts: 2,
    };
    fleet.put(&common::config(7, &[route]));
    for entry in entries {
        fleet.wait_ready(entry);
    }
    // The core is stable and all machines are in touch.
    thread::sleep(Duration::from_millis(3_500));
    // The leader is the only core machine that reads the platform's list while it is up.
    let Some(leader) = fleet.leader() else { common::fail("no core machine leads") };
    record.line(&format!("{} leads and reads the platform's list", fleet.machines[leader].name));

    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(0));
    let answers = Tally::default();
    let mut callers = Vec::new();
    for entry in entries {
        for _ in 0..CALLERS {
            let (seen, is_over, next_id) = (Arc::clone(&seen), Arc::clone(&is_over), Arc::clone(&next_id));
            let (record, answers, address) = (record.clone(), answers.clone(), fleet.front(entry));
            callers.push(thread::spawn(move || {
                let mut connection = Caller::open(address);
                while !is_over.load(Ordering::SeqCst) {
                    let Some(caller) = &mut connection else {
                        connection = Caller::open(address);
                        continue;
                    };
                    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + next_id.fetch_add(1, Ordering::SeqCst));
                    let sent_ms = record.now_ms();
                    let answer = caller.request("GET", "/stock/2f", &id, "Primrosearch-Deadline-Ms: 1000\r\n", "");
                    let says_leaving = answer.head.get("server-leaving") == Some("1");
                    answers.add(&format!("{}", answer.status));
                    seen.lock().unwrap().push(Seen {
                        id,
                        entry,
                        sent_ms,
                        answered_ms: record.now_ms(),
                        status: answer.status,
                        says_leaving,
                    });
                    if answer.status == 0 || answer.head.get("connection") == Some("close") {
                        connection = None;
                    }
                    thread::sleep(Duration::from_millis(25));
                }
            }));
        }
    }

    thread::sleep(Duration::from_millis(2_000));
    if common::has_trouble()
        && let Some(freeze) = fleet.signaller(leader, common::SIGSTOP, "SIGSTOP, as its list is on its way,")
    {
        let (called, is_called) = std::sync::mpsc::channel();
        list.at_next_call(Box::new(move || {
            freeze();
            let _ = called.send(());
        }));
        if is_called.recv_timeout(Duration::from_secs(5)).is_err() {
            common::fail("the list was not read within 5 s");
        }
    }
    let start = Instant::now();
    let at = |ms: u64| thread::sleep(Duration::from_millis(ms).saturating_sub(start.elapsed()));
    at(400);
    record.line(&format!("server {LEAVING} leaves and says so in its answers"));
    servers[0].is_leaving.store(true, Ordering::SeqCst);
    at(400 + LIST_LAG_MS);
    record.line(&format!("platform: the list shows {LEAVING} as draining"));
    list.set_state(LEAVING, "draining");
    at(FREEZE_MS);
    if common::has_trouble() {
        // The leader of that time reads the list about once a second. Between two of its reads, its list is some hundred
        // ms old.
        while list.since_last_call() < Duration::from_millis(400) || list.since_last_call() > Duration::from_millis(600) {
            if start.elapsed() > Duration::from_millis(MAX_FREEZE_MS) {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        fleet.signal(leader, common::SIGCONT, "SIGCONT");
    }
    at(MAX_FREEZE_MS + 2_500);
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }

    judge(record, &fleet, &entries, &seen.lock().unwrap(), &servers[0], &answers)
}

/// DRAIN: a request that a client sent later than `drain_timeout_ms` after a machine had passed on an answer with
/// `Server-Leaving` reaches that server from that machine.
fn judge(
    record: &Record,
    fleet: &Fleet,
    entries: &[usize],
    seen: &[Seen],
    leaving: &Server,
    answers: &Tally,
) -> i32 {
    let reached = leaving.reached.lock().unwrap();
    for request in seen {
        let server = if reached.contains_key(&request.id) { LEAVING } else { "another" };
        record.line(&format!(
            "request {} sent at {} through {}, answered {} at {}, run by {server}{}",
            request.id,
            request.sent_ms,
            fleet.machines[request.entry].name,
            request.status,
            request.answered_ms,
            if request.says_leaving { ", Server-Leaving: 1" } else { "" }
        ));
    }
    let mut broken = 0;
    for &entry in entries {
        let name = &fleet.machines[entry].name;
        let passed_on = seen.iter().filter(|request| request.entry == entry && request.says_leaving);
        let Some(known_ms) = passed_on.map(|request| request.answered_ms).min() else {
            println!("{name} passed on no answer with Server-Leaving");
            continue;
        };
        let late: Vec<&Seen> = seen
            .iter()
            .filter(|request| {
                request.entry == entry
                    && request.sent_ms > known_ms + DRAIN_TIMEOUT_MS
                    && reached.contains_key(&request.id)
            })
            .collect();
        broken += late.len();
        let summary = format!(
            "{name}: passed on Server-Leaving of {LEAVING} at {known_ms}; {} requests sent later than {} reached it",
            late.len(),
            known_ms + DRAIN_TIMEOUT_MS
        );
        record.line(&summary);
        println!("{summary}");
        for request in late {
            record.line(&format!("broken: request {} sent at {} reached {LEAVING}", request.id, request.sent_ms));
        }
    }
    println!("answers: {}", answers.text());
    if reached.is_empty() {
        common::fail("no request reached the server before it left");
    }
    if broken > 0 { common::BROKEN } else { common::HELD }
}
