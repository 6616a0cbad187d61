//! Two of the three entry machines of a zone are stopped by SIGTERM at the same time. The platform then goes on sending
//! callers to all three. A stopping machine must end no request that it has passed on to a server without a complete
//! answer, unless the rules excuse it.

#[path = "../stand_ins/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Caller, Fleet, List, Listed, Record, Role, Route};

/// `grace_s` of the settings, in ms.
const GRACE_MS: u64 = 8_000;

/// A request that was sent no later than this after SIGTERM is excused if its server was still at work in the last sixth
/// of the grace period.
const EXCUSED_MS: u64 = 3_000;

/// Time between two events of a stream, in ms: 12 ms for each of its 5 tokens.
const EVENT_MS: u64 = 60;

/// Tokens of an event.
const STRIDE: u64 = 5;

/// Time to the first event, in ms.
const FIRST_MS: u64 = 90;

/// Deadline of the requests and timeout of their route, in ms (`contract-quote`).
const DEADLINE_MS: u64 = 8_000;

/// Generated tokens of a usual and of a long request: 5 and 95 events.
const USUAL_TOKENS: u64 = 25;
const LONG_TOKENS: u64 = 475;

const CALLERS: u64 = 9;

/// How the run of a request ended at its server.
#[derive(Clone, Debug)]
struct Run {
    ended_ms: u64,
    events: u64,
    end: &'static str,
    given_ms: u64,
}

/// A model engine: a stream of events whose number follows from the maximum that the request states.
#[derive(Clone)]
struct Engine {
    id: String,
    runs: Arc<Mutex<BTreeMap<String, Run>>>,
}

impl Engine {
    fn serve(&self, stream: TcpStream, record: &Record) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Ok(Some(head)) = common::read_head(&mut reader) {
            let _ = common::read_body(&mut reader, &head, &mut |_| {});
            let attempt = head.get("primrosearch-attempt-id").unwrap_or("").to_owned();
            let is_report = head.path().starts_with("/-/");
            if is_report || head.get("primrosearch-expect-instance").is_some_and(|id| id != self.id) {
                let status = if is_report { "404 Not Found" } else { "421 Misdirected Request" };
                let answer = format!(
                    "HTTP/1.1 {status}\r\nPrimrosearch-Attempt-Id: {attempt}\r\nPrimrosearch-Not-Run: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let usage = head.get("primrosearch-token-usage").unwrap_or("1,25");
            let tokens: u64 = usage.split(',').nth(1).and_then(|tokens| tokens.parse().ok()).unwrap_or(25);
            let given_ms = head.get("primrosearch-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
            let run = self.run(&mut stream, &attempt, tokens / STRIDE, given_ms, record);
            let is_done = run.end == "complete";
            record.line(&format!("server {}: run of {attempt} ended: {run:?}", self.id));
            self.runs.lock().unwrap().insert(attempt, run);
            if !is_done {
                return;
            }
        }
    }

    fn run(&self, stream: &mut TcpStream, attempt: &str, events: u64, given_ms: u64, record: &Record) -> Run {
        let began = Instant::now();
        let mut run = Run { ended_ms: 0, events: 0, end: "complete", given_ms };
        thread::sleep(Duration::from_millis(FIRST_MS));
        let head = format!(
            "HTTP/1.1 200 OK\r\nPrimrosearch-Attempt-Id: {attempt}\r\nPrimrosearch-Response-Seal: {}\r\n\
             Primrosearch-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            common::SEAL
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for event in 1..=events {
            if !is_open {
                break;
            }
            // The engine looks at the deadline between two steps.
            if began.elapsed() > Duration::from_millis(given_ms + EVENT_MS) {
                run.end = "the deadline that the server was given";
                break;
            }
            let text = format!("id: {event}\ndata: piece {event} of {events} of {attempt}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_open = stream.write_all(chunk.as_bytes()).is_ok();
            run.events = event;
            thread::sleep(Duration::from_millis(EVENT_MS));
        }
        if is_open && run.end == "complete" {
            is_open = stream.write_all(b"0\r\n\r\n").is_ok();
        }
        if !is_open {
            run.end = "the entry machine closed the connection";
        }
        run.ended_ms = record.now_ms();
        run
    }
}

/// The platform's balancer in front of the entry machines of the zone.
struct Balancer {
    fronts: Vec<std::net::SocketAddrV4>,
    readies: Vec<std::net::SocketAddrV4>,
    /// Unanswered or refused questions in a row.
    misses: Vec<AtomicU64>,
}

impl Balancer {
    /// Asks each machine once a second whether it is ready.
    fn watch(self: &Arc<Balancer>, is_over: &Arc<AtomicBool>, record: &Record) {
        for at in 0..self.fronts.len() {
            let (balancer, is_over, record) = (Arc::clone(self), Arc::clone(is_over), record.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let began = Instant::now();
                    let misses = &balancer.misses[at];
                    if common::is_ready(balancer.readies[at]) {
                        if misses.swap(0, Ordering::SeqCst) >= 2 {
                            record.line(&format!("platform: {} is in rotation", balancer.fronts[at]));
                        }
                    } else if misses.fetch_add(1, Ordering::SeqCst) == 1 {
                        record.line(&format!("platform: {} is out of rotation", balancer.fronts[at]));
                    }
                    thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
                }
            });
        }
    }

    /// The machine for a new connection with this hash: one in rotation or, if fewer than half of them are, any.
    fn choose(&self, hash: u64) -> usize {
        let all: Vec<usize> = (0..self.fronts.len()).collect();
        let ready = all.iter().copied().filter(|&at| self.misses[at].load(Ordering::SeqCst) < 2);
        let ready: Vec<usize> = ready.collect();
        let used = if ready.len() * 2 < all.len() { all } else { ready };
        used[(hash % used.len() as u64) as usize]
    }
}

/// What a caller saw of one attempt.
struct Seen {
    id: String,
    machine: usize,
    sent_ms: u64,
    ended_ms: u64,
    status: u16,
    is_complete: bool,
}

struct Setting {
    balancer: Arc<Balancer>,
    seen: Mutex<Vec<Seen>>,
    next_id: AtomicU64,
    record: Record,
}

impl Setting {
    /// Sends a request until it is served, with up to one further attempt, each on a new connection.
    fn ask(&self, caller: u64, tokens: u64) {
        for attempt in 0..2_u64 {
            let machine = self.balancer.choose(caller + attempt);
            let id = format!("{:016x}", 0x51d3_0000_0000_0000 + self.next_id.fetch_add(1, Ordering::SeqCst));
            let headers = format!(
                "Primrosearch-Model: m\r\nPrimrosearch-Token-Usage: 1460,{tokens}\r\n\
                 Primrosearch-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{:08x}:250\r\n\
                 Primrosearch-Deadline-Ms: {DEADLINE_MS}\r\n",
                0xe440_0000_u64 + caller
            );
            let sent_ms = self.record.now_ms();
            let opened = Caller::open(self.balancer.fronts[machine]);
            let answer = opened.map(|mut caller| caller.request("POST", "/quote/2f", &id, &headers, "{\"quote\":1}"));
            let (status, is_complete) = answer.map_or((0, false), |answer| (answer.status, answer.is_complete));
            self.record.line(&format!(
                "caller {caller}: request {id} of {tokens} tokens sent at {sent_ms} to {}: status {status}, {}",
                self.balancer.fronts[machine],
                if is_complete { "complete" } else { "not complete" }
            ));
            let ended_ms = self.record.now_ms();
            self.seen.lock().unwrap().push(Seen { id, machine, sent_ms, ended_ms, status, is_complete });
            if status != 503 {
                return;
            }
            thread::sleep(Duration::from_millis(60));
        }
    }
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
    let runs: Arc<Mutex<BTreeMap<String, Run>>> = Arc::default();
    for (at, zone) in ["a", "b", "c"].iter().enumerate() {
        let engine = Engine { id: format!("i-{at}"), runs: Arc::clone(&runs) };
        let (serving, serving_record) = (engine.clone(), record.clone());
        let address = common::listen(fleet.ip(100 + at as u8), move |stream| serving.serve(stream, &serving_record));
        let zone = (*zone).to_owned();
        list.add(Listed { id: engine.id, service: "model".to_owned(), address, zone, slots: 48, state: "ready" });
    }
    for zone in ["a", "b", "c"] {
        fleet.add(Role::Core, zone);
    }
    let entries: Vec<usize> = (0..3).map(|_| fleet.add(Role::Entry, "a")).collect();
    for at in 0..fleet.machines.len() {
        fleet.start(at, true);
    }
    let route = Route {
        prefix: "/quote/",
        kind: "stream",
        service: "model",
        timeout_ms: DEADLINE_MS,
        target_ms: 600,
        attempts: 1,
    };
    fleet.put(&common::config(7, &[route]));
    for &entry in &entries {
        fleet.wait_ready(entry);
    }
    thread::sleep(Duration::from_millis(3_500));

    let is_over = Arc::new(AtomicBool::new(false));
    let balancer = Arc::new(Balancer {
        fronts: entries.iter().map(|&at| fleet.front(at)).collect(),
        readies: entries.iter().map(|&at| fleet.ready(at)).collect(),
        misses: entries.iter().map(|_| AtomicU64::new(0)).collect(),
    });
    balancer.watch(&is_over, record);
    let setting = Arc::new(Setting {
        balancer,
        seen: Mutex::default(),
        next_id: AtomicU64::new(0),
        record: record.clone(),
    });
    let start = Instant::now();
    let at = |ms: u64| thread::sleep(Duration::from_millis(ms).saturating_sub(start.elapsed()));
    // Usual requests, then a long one of each caller from 7.2 s on: 3.2 s after SIGTERM.
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let setting = Arc::clone(&setting);
            thread::spawn(move || {
                while start.elapsed() < Duration::from_millis(7_200) {
                    setting.ask(caller, USUAL_TOKENS);
                    thread::sleep(Duration::from_millis(150));
                }
                setting.ask(caller, LONG_TOKENS);
            })
        })
        .collect();
    at(4_000);
    let stopped = [0_usize, 1];
    let mut terminated_ms = None;
    if common::has_trouble() {
        terminated_ms = Some(record.now_ms());
        for machine in stopped {
            fleet.signal(entries[machine], common::SIGTERM, "SIGTERM");
        }
        at(4_000 + GRACE_MS);
        for machine in stopped {
            let end = fleet.ended(entries[machine]);
            record.line(&format!("platform: {} has ended: {end:?}", fleet.machines[entries[machine]].name));
            if end.is_none() {
                fleet.signal(entries[machine], common::SIGKILL, "SIGKILL");
            }
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_millis(300));
    is_over.store(true, Ordering::SeqCst);
    let seen = setting.seen.lock().unwrap();
    judge(record, &seen, &runs.lock().unwrap(), terminated_ms, &stopped)
}

/// LOST, around the SIGTERM of the machine that took the request.
fn judge(
    record: &Record,
    seen: &[Seen],
    runs: &BTreeMap<String, Run>,
    terminated_ms: Option<u64>,
    stopped: &[usize],
) -> i32 {
    let (mut lost, mut excused, mut refused, mut served, mut others) = (0, 0, 0, 0, 0);
    for request in seen {
        if request.status == 200 && request.is_complete {
            served += 1;
            continue;
        }
        if request.status != 200 && request.is_complete {
            refused += 1;
            continue;
        }
        let Some(run) = runs.get(&request.id) else {
            others += 1;
            continue;
        };
        let around_stop = terminated_ms.filter(|_| stopped.contains(&request.machine));
        let is_late = around_stop.is_some_and(|terminated_ms| request.sent_ms > terminated_ms + EXCUSED_MS);
        let in_time = request.ended_ms < request.sent_ms + DEADLINE_MS;
        let server_broke_off = run.ended_ms <= request.ended_ms;
        if is_late && in_time && !server_broke_off {
            lost += 1;
            let terminated_ms = terminated_ms.unwrap_or(0);
            let line = format!(
                "lost: request {} sent {} ms after SIGTERM, passed on and begun, cut {} ms after it was sent with {} \
                 of 95 events made; the server had been given {} ms of the caller's {DEADLINE_MS} ms",
                request.id,
                request.sent_ms - terminated_ms,
                request.ended_ms - request.sent_ms,
                run.events,
                run.given_ms
            );
            record.line(&line);
            println!("{line}");
        } else {
            excused += 1;
        }
    }
    let summary =
        format!("served {served}, refused {refused}, lost {lost}, excused {excused}, not passed on {others}");
    record.line(&summary);
    println!("{summary}");
    if served == 0 {
        common::fail("no request was served");
    }
    if lost > 0 { common::BROKEN } else { common::HELD }
}
