//! Stand-ins for the platform, model servers and clients, and a small deployment of the project's programs around them.
//!
//! Uses the standard library only. Every address is a loopback address of its own network, chosen at the start.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["nyarugenge", "gasabo", "kicukiro"];
pub const STABLE_WINDOW_MS: u64 = 3_000;
const LIST_LAG_MS: u64 = 800;

/// A run ends after this time whatever happens. `run.sh` then ends the processes that are left.
const MAX_RUN: Duration = Duration::from_secs(105);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A small generator of random numbers (SplitMix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// A pause with this mean, exponentially distributed.
    pub fn pause_ms(&mut self, mean_ms: f64) -> u64 {
        let unit = (self.next() >> 11) as f64 / (1u64 << 53) as f64;
        (-mean_ms * (1.0 - unit).ln()) as u64
    }
}

/// Writes `record.txt`: one line for each event, with the time since the start in ms.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open() -> Record {
        let path = std::env::var("RECORD").expect("RECORD names the file of the record");
        let file = File::create(path).expect("the record is created");
        let record = Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        };
        let limited = record.clone();
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            limited.say("the run has taken too long");
            std::process::exit(2);
        });
        record
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.now_ms(), text);
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:>7} {}", self.now_ms(), text);
    }
}

/// Reads a head up to its empty line: the first line, and the headers with names in lower case.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    while first.trim().is_empty() {
        first.clear();
        if reader.read_line(&mut first).ok()? == 0 {
            return None;
        }
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

pub fn skip_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> Option<()> {
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()
}

/// What all servers have seen, for the check of a rule.
#[derive(Default)]
pub struct Seen {
    /// Time, attempt id, server id and service of each request with a crashing part that reached a server.
    pub arrivals: Mutex<Vec<(u64, String, String, String)>>,
    /// Time, server id and service of each crash.
    pub crashes: Mutex<Vec<(u64, String, String)>>,
    /// Time and server of each request that reached a cold server.
    pub cold: Mutex<Vec<(u64, String)>>,
    /// Requests of any kind that reached a server.
    pub requests: AtomicU64,
}

/// A model server, which is started again with a new id after each crash.
pub struct Engine {
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    /// The id of the running incarnation, and its number; `None` while it is down.
    state: Mutex<(Option<String>, u64)>,
    connections: Mutex<Vec<TcpStream>>,
    /// Until when the server is cold, in ms since the start of the record.
    cold_until: AtomicU64,
}

impl Engine {
    fn id(&self) -> Option<String> {
        self.state.lock().unwrap().0.clone()
    }
}

/// How model servers behave.
#[derive(Clone)]
pub struct Behaviour {
    /// Time until the first event.
    pub prefill_ms: u64,
    pub events: u64,
    pub gap_ms: u64,
    /// Time from a crash until the server listens again.
    pub down_ms: u64,
    /// Requests with a shared part whose id is this crash the server when it begins its answer.
    pub crashing_part: Option<String>,
    /// Answers have neither a length nor chunks, and end with their connection.
    pub is_unframed: bool,
    /// Whether answers name their media type, which is `text/event-stream`.
    pub names_type: bool,
    /// Whether a server that has a request whose attempt id begins with `cut` crashes in the middle of the third event. If
    /// the request resumes a stream, it crashes after the head of its answer, before the first event.
    pub breaks: bool,
    /// How long a server is cold after it was started again.
    pub cold_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            prefill_ms: 60,
            events: 12,
            gap_ms: 20,
            down_ms: 2_500,
            crashing_part: None,
            is_unframed: false,
            names_type: true,
            breaks: false,
            cold_ms: 0,
        }
    }
}

type Page = Arc<Mutex<Vec<(Instant, String)>>>;

/// The platform's list of servers, which lags, and the servers on it.
pub struct Platform {
    pub address: SocketAddrV4,
    pub engines: Vec<Arc<Engine>>,
    pub seen: Arc<Seen>,
    page: Page,
    record: Record,
    next_id: AtomicU64,
}

impl Platform {
    /// Starts the list, and `count` model servers of each service.
    pub fn start(
        network: [u8; 3],
        services: &[(&str, usize)],
        behaviour: &Behaviour,
        record: &Record,
    ) -> Arc<Platform> {
        let [a, b, c] = network;
        let host = Ipv4Addr::new(a, b, c, 250);
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let port = listener.local_addr().unwrap().port();
        let mut engines = Vec::new();
        let mut listeners = Vec::new();
        for (service, count) in services {
            for at in 0..*count {
                let number = engines.len() as u8;
                let ip = Ipv4Addr::new(a, b, c, 100 + number);
                let open = TcpListener::bind((ip, 0)).expect("a free port");
                let address = SocketAddrV4::new(ip, open.local_addr().unwrap().port());
                listeners.push(open);
                engines.push(Arc::new(Engine {
                    service: (*service).to_owned(),
                    zone: ZONES[at % 3].to_owned(),
                    address,
                    state: Mutex::new((None, 0)),
                    connections: Mutex::default(),
                    cold_until: AtomicU64::new(0),
                }));
            }
        }
        let platform = Arc::new(Platform {
            address: SocketAddrV4::new(host, port),
            engines,
            seen: Arc::default(),
            page: Arc::default(),
            record: record.clone(),
            next_id: AtomicU64::new(1),
        });
        for (engine, open) in platform.engines.iter().zip(listeners) {
            let (platform, engine, behaviour) =
                (Arc::clone(&platform), Arc::clone(engine), behaviour.clone());
            platform.begin(&engine);
            thread::spawn(move || platform.run(&engine, open, &behaviour));
        }
        platform.changed();
        let list = Arc::clone(&platform);
        thread::spawn(move || list.serve_list(listener));
        platform
    }

    fn begin(&self, engine: &Engine) {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut state = engine.state.lock().unwrap();
        *state = (Some(format!("i-{number:08x}")), state.1 + 1);
    }

    /// Notes the new content of the list, which callers see after its lag. A server that has crashed stays on it.
    fn changed(&self) {
        let entries: Vec<String> = self
            .engines
            .iter()
            .filter_map(|engine| Some((engine, engine.id()?)))
            .map(|(engine, id)| {
                format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":48,\
                     \"state\":\"ready\",\"cold_ms\":{cold},\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"id\":\"{id}\"}}",
                    engine.service,
                    engine.address,
                    engine.zone,
                    cold = engine.cold_until.load(Ordering::Relaxed).saturating_sub(self.record.now_ms())
                )
            })
            .collect();
        let text = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
        let mut page = self.page.lock().unwrap();
        let lag = if page.is_empty() { 0 } else { LIST_LAG_MS };
        page.push((Instant::now() + Duration::from_millis(lag), text));
    }

    fn serve_list(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let page = Arc::clone(&self.page);
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while read_head(&mut reader).is_some() {
                    let body = {
                        let page = page.lock().unwrap();
                        let now = Instant::now();
                        let shown = page.iter().rev().find(|(at, _)| *at <= now);
                        shown.map_or(String::new(), |(_, text)| text.clone())
                    };
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    }

    /// Accepts connections until the server crashes, and starts it again after its downtime.
    fn run(self: &Arc<Self>, engine: &Arc<Engine>, first: TcpListener, behaviour: &Behaviour) {
        let mut listener = Some(first);
        loop {
            let open = listener
                .take()
                .or_else(|| TcpListener::bind(engine.address).ok());
            let Some(open) = open else {
                sleep_ms(5);
                continue;
            };
            open.set_nonblocking(true).unwrap();
            if engine.id().is_none() {
                let until = self.record.now_ms() + behaviour.cold_ms;
                engine.cold_until.store(until, Ordering::Relaxed);
                self.begin(engine);
                self.changed();
            }
            let number = engine.state.lock().unwrap().1;
            while engine.id().is_some() {
                match open.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        engine
                            .connections
                            .lock()
                            .unwrap()
                            .push(stream.try_clone().unwrap());
                        let (platform, engine, behaviour) =
                            (Arc::clone(self), Arc::clone(engine), behaviour.clone());
                        thread::spawn(move || {
                            platform.serve(&engine, stream, number, &behaviour);
                        });
                    }
                    Err(_) => sleep_ms(1),
                }
            }
            drop(open);
            sleep_ms(behaviour.down_ms);
        }
    }

    /// Ends all servers at once.
    pub fn crash_all(&self) {
        for engine in &self.engines {
            let number = engine.state.lock().unwrap().1;
            self.crash(engine, number);
        }
    }

    /// Shows the present state of the servers on the list, after its lag.
    pub fn refresh(&self) {
        self.changed();
    }

    /// Ends the incarnation `number` of a server: its listener and all its connections close at once.
    fn crash(&self, engine: &Engine, number: u64) {
        let mut state = engine.state.lock().unwrap();
        if state.1 != number {
            return;
        }
        let Some(id) = state.0.take() else { return };
        drop(state);
        for stream in engine.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let now = self.record.now_ms();
        self.record
            .line(&format!("server {id} of {} crashes", engine.service));
        let mut crashes = self.seen.crashes.lock().unwrap();
        crashes.push((now, id, engine.service.clone()));
    }

    /// Serves the requests of one connection.
    fn serve(&self, engine: &Engine, stream: TcpStream, number: u64, behaviour: &Behaviour) {
        let is_up = || {
            let state = engine.state.lock().unwrap();
            state.0.is_some() && state.1 == number
        };
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some((first, headers)) = read_head(&mut reader) {
            if skip_body(&mut reader, &headers).is_none() || !is_up() {
                return;
            }
            let Some(id) = engine.id() else { return };
            let path = first.split(' ').nth(1).unwrap_or_default();
            if path.starts_with("/-/") || path == "/healthz" {
                let body = "{\"epoch\":1,\"next\":0,\"held\":[]}";
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nPrimrosearch-Instance-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let attempt = headers.get("primrosearch-attempt-id").cloned();
            let attempt = attempt.unwrap_or_default();
            let expected = headers.get("primrosearch-expect-instance");
            if expected.is_some_and(|expected| *expected != id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nPrimrosearch-Attempt-Id: {attempt}\r\n\
                     Primrosearch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.seen.requests.fetch_add(1, Ordering::Relaxed);
            let now = self.record.now_ms();
            let is_cold = now < engine.cold_until.load(Ordering::Relaxed);
            if is_cold {
                self.seen.cold.lock().unwrap().push((now, id.clone()));
            }
            let prompt = headers.get("primrosearch-prompt-prefix").cloned();
            let prompt = prompt.unwrap_or_default();
            let mut parts: Vec<&str> = prompt.split(',').collect();
            parts.pop();
            let crashes = behaviour.crashing_part.as_deref().is_some_and(|crashing| {
                parts
                    .iter()
                    .any(|part| part.split(':').next() == Some(crashing))
            });
            let note = if crashes {
                " with the crashing part"
            } else {
                ""
            };
            self.record.line(&format!(
                "request {attempt}{note} reaches {id} of {}",
                engine.service
            ));
            if crashes {
                let now = self.record.now_ms();
                let mut arrivals = self.seen.arrivals.lock().unwrap();
                arrivals.push((now, attempt.clone(), id.clone(), engine.service.clone()));
            }
            sleep_ms(behaviour.prefill_ms);
            if !is_up() {
                return;
            }
            if crashes {
                self.crash(engine, number);
                return;
            }
            let media_type = match behaviour.names_type {
                true => "Content-Type: text/event-stream\r\n",
                false => "",
            };
            let framing = match behaviour.is_unframed {
                true => "Connection: close\r\n",
                false => "Transfer-Encoding: chunked\r\n",
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\n{media_type}Primrosearch-Attempt-Id: {attempt}\r\n\
                 Primrosearch-Response-Seal: s\r\nPrimrosearch-Weight-Versions: 1\r\n{framing}\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            let breaks = behaviour.breaks && attempt.starts_with("cut");
            let from = headers
                .get("last-event-id")
                .and_then(|last| last.parse().ok());
            if breaks && from.is_some() {
                sleep_ms(behaviour.gap_ms);
                self.record.line(&format!(
                    "server {id} breaks off its answer to {attempt} before its first event"
                ));
                self.crash(engine, number);
                return;
            }
            for event in from.unwrap_or(0u64) + 1..=behaviour.events {
                if event > 1 {
                    sleep_ms(behaviour.gap_ms);
                }
                let mut text = format!("id: {event}\ndata: {attempt}\n\n");
                let is_broken = breaks && event == 3;
                if is_broken {
                    text.truncate(text.len() / 2);
                }
                let chunk = match behaviour.is_unframed {
                    true => text,
                    false => format!("{:x}\r\n{text}\r\n", text.len()),
                };
                if !is_up() || stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                if is_broken {
                    self.record.line(&format!(
                        "server {id} breaks off its answer to {attempt} within event 3"
                    ));
                    self.crash(engine, number);
                    return;
                }
            }
            if behaviour.is_unframed || stream.write_all(b"0\r\n\r\n").is_err() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// The project's programs as processes: three core hosts and nine entry hosts, as on the sheets of the small deployments.
pub struct Fleet {
    folder: PathBuf,
    children: Mutex<BTreeMap<String, Child>>,
    pub fronts: Vec<SocketAddrV4>,
    pub controls: Vec<SocketAddrV4>,
    record: Record,
}

impl Fleet {
    pub fn start(network: [u8; 3], platform: &Platform, record: &Record) -> Fleet {
        let folder = PathBuf::from(std::env::var("FOLDER").expect("FOLDER names a folder"));
        let [a, b, c] = network;
        let ip = |at: u8| Ipv4Addr::new(a, b, c, at);
        let base = 20_000 + (std::process::id() % 1_000) as u16 * 8;
        let controls: Vec<SocketAddrV4> = (0..3)
            .map(|at| SocketAddrV4::new(ip(10 + at), base))
            .collect();
        let fronts: Vec<SocketAddrV4> = (0..9)
            .map(|at| SocketAddrV4::new(ip(20 + at), base + 1))
            .collect();
        let fleet = Fleet {
            folder,
            children: Mutex::default(),
            fronts: fronts.clone(),
            controls: controls.clone(),
            record: record.clone(),
        };
        let seeds: String = controls
            .iter()
            .map(|seed| format!("  - \"{seed}\"\n"))
            .collect();
        let settings = |role: &str, at: usize, ip: Ipv4Addr, zone: &str| {
            let is_core = role == "core";
            let listen = match is_core {
                true => format!("  control: \"{ip}:{base}\"\n"),
                false => format!(
                    "  front: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n",
                    base + 1,
                    base + 2
                ),
            };
            let data = match is_core {
                true => format!("\"{}/data-{at}\"", fleet.folder.display()),
                false => "null".to_owned(),
            };
            format!(
                "node: \"{role}-{zone}-{at}\"\nrole: \"{role}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{serves}\"\n\
                 ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"kigali\"\nzones:\n  nyarugenge: \"kigali\"\n  \
                 gasabo: \"kigali\"\n  kicukiro: \"kigali\"\nlisten:\n{listen}internal_port_range:\n  - {first}\n  \
                 - {last}\nseeds:\n{seeds}bootstrap: true\nin_tolerance: {is_core}\nlimits:\n  cpu_share: 0.25\n  \
                 cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 128\ndata_dir: {data}\n\
                 discovery: \"cloud\"\nentry: \"vip\"\nheartbeat_ms: 1200\ncontracts:\n  - \"base\"\n  - \"drain\"\n  \
                 - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  \
                 - \"tenants\"\nfault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n  seed_lag_s: 3\n  \
                 reuse_after_s: 2\n  stable_window_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  \
                 drain_timeout_ms: 3000\n  grace_s: 8\n  lost_ms: 200\n  config_propagation_ms: 2000\n  \
                 downgrade_ms: 250\n  outer_ms: 5000\n  revoke_strict: false\n  revoke_ms: 5000\n  \
                 retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 58\n  cold_overshoot: 1.5\n  cold_slack: 5\n  recovery_s: 12\n  \
                 pass_ms: 120\n  reuse_window_s: 8.1\n  quota_window_s: 4\nconfig_mode: \"highest\"\ncloud:\n  \
                 address: \"{cloud}\"\n  rate_per_s: 47.0\n  duties: []\n  lag_ms: {LIST_LAG_MS}\n",
                class = if is_core { "core" } else { "front" },
                serves = if is_core { "control" } else { "front" },
                first = base + 4_000,
                last = base + 4_015,
                cloud = platform.address,
            )
        };
        for at in 0..3 {
            let text = settings("core", at, *fleet.controls[at].ip(), ZONES[at]);
            fleet.write(&format!("core-{at}"), &text);
        }
        for at in 0..9 {
            let text = settings("entry", at, *fleet.fronts[at].ip(), ZONES[at % 3]);
            fleet.write(&format!("entry-{at}"), &text);
        }
        for name in fleet.names() {
            fleet.launch(&name);
        }
        fleet
    }

    pub fn names(&self) -> Vec<String> {
        let cores = (0..3).map(|at| format!("core-{at}"));
        cores
            .chain((0..9).map(|at| format!("entry-{at}")))
            .collect()
    }

    fn write(&self, name: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(path, settings).expect("the settings are written");
    }

    /// Starts a process with the command of the deploy file.
    pub fn launch(&self, name: &str) {
        let role = name.split('-').next().unwrap_or_default();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("the log is opened");
        let child = Command::new("target/release/primrose-platform")
            .args([role, "--placing", "deploy/placing.yaml"])
            .env(
                "PRIMROSEARCH_BOOT",
                self.folder.join(format!("{name}.yaml")),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is opened"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record
            .line(&format!("start {name} as process {}", child.id()));
        self.children.lock().unwrap().insert(name.to_owned(), child);
    }

    /// Marks the first start as over, as the settings of later starts do.
    pub fn end_first_start(&self) {
        for name in self.names() {
            let path = self.folder.join(format!("{name}.yaml"));
            let text = std::fs::read_to_string(&path).expect("the settings are read");
            let text = text.replace("bootstrap: true", "bootstrap: false");
            std::fs::write(path, text).expect("the settings are written");
        }
    }

    /// Kills these processes at the same moment.
    pub fn kill(&self, names: &[String]) {
        let mut children = self.children.lock().unwrap();
        for name in names {
            if let Some(child) = children.get_mut(name) {
                let _ = child.kill();
            }
        }
        for name in names {
            if let Some(mut child) = children.remove(name) {
                let _ = child.wait();
                self.record.line(&format!("killed {name}"));
            }
        }
    }

    /// Names of the processes that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut children = self.children.lock().unwrap();
        let ended = children.iter_mut().filter_map(|(name, child)| {
            let status = child.try_wait().ok().flatten()?;
            Some(format!("{name} ({status})"))
        });
        ended.collect()
    }

    /// Sends a configuration to the core hosts in turn until it is acknowledged. Returns whether it was.
    pub fn put(&self, config: &str, limit_ms: u64) -> bool {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        let mut at = 0;
        while Instant::now() < end {
            let mut address = self.controls[at % 3];
            at += 1;
            for _ in 0..3 {
                let Some((status, headers)) = put_once(address, config) else {
                    break;
                };
                match status {
                    200 => {
                        self.record.line("a configuration is acknowledged");
                        return true;
                    }
                    307 => {
                        let location = headers.get("location").cloned().unwrap_or_default();
                        let host = location.trim_start_matches("http://").split('/').next();
                        let Some(next) = host.and_then(|host| host.parse().ok()) else {
                            break;
                        };
                        address = next;
                    }
                    _ => break,
                }
            }
            sleep_ms(100);
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let names: Vec<String> = self.children.lock().unwrap().keys().cloned().collect();
        self.kill(&names);
    }
}

/// Sends a configuration once. Returns the status and the headers of the answer, if there is one.
pub fn put_once(address: SocketAddrV4, config: &str) -> Option<(u16, HashMap<String, String>)> {
    let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let head = format!(
        "PUT /-/config HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        config.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(config.as_bytes()).ok()?;
    let (first, headers) = read_head(&mut BufReader::new(stream))?;
    Some((first.split(' ').nth(1)?.parse().ok()?, headers))
}

/// A configuration with 16 tenants and one stream route to `service`, as in the examples of the protocol. A request may be
/// sent to two servers if its stream may be resumed.
pub fn config(version: u64, service: &str, services: &[&str], resumable: bool) -> String {
    let attempts = if resumable { 2 } else { 1 };
    let tenants: Vec<String> = (0..16)
        .map(|at| format!("{{\"name\":\"tenant{at}\",\"api_keys\":[\"key{at}\"]}}"))
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":310,\"protocol\":\"h1\",\
                 \"tls\":false,\"engine\":{{\"slots\":48,\"kv_cache_tokens\":444000,\"kv_bytes\":131072,\
                 \"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pin_ms\":4000.0,\
                 \"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"chat\",\"host\":\"a.example\",\"path_prefix\":\"/chat/\",\
         \"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":600,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"allow_anonymous\":false,\"sticky\":true,\"resumable\":{resumable},\"target_gap_ms\":300}}],\
         \"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":450000}},\"tenants\":[{}]}}",
        services.join(","),
        tenants.join(",")
    )
}

/// The configuration with services whose servers are cold for 3 s after a start and then tolerate 5 requests a second.
pub fn with_warmup(config: &str) -> String {
    let field = "\"tls\":false,";
    config.replace(
        field,
        &format!("{field}\"warmup_s\":3.0,\"warmup_per_s\":5.0,"),
    )
}

/// One request of a client.
pub struct Request {
    pub attempt: String,
    pub tenant: u64,
    /// The ids of the shared parts.
    pub shared: Vec<String>,
    /// The id of the last part.
    pub last: String,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Complete,
    /// The status of another answer.
    Status(u16),
    Broken,
    NotOpened,
}

/// Sends a request on a new connection and reads the whole answer.
pub fn send(front: SocketAddrV4, request: &Request) -> Answer {
    send_and_keep(front, request, &mut Vec::new())
}

/// As [`send`], and adds the bytes of the body of a success to `body`.
pub fn send_and_keep(front: SocketAddrV4, request: &Request, body: &mut Vec<u8>) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&front.into(), Duration::from_secs(1)) else {
        return Answer::NotOpened;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let mut prompt = String::new();
    for (at, part) in request.shared.iter().enumerate() {
        prompt.push_str(&format!("{part}:{},", [400, 250, 200][at % 3]));
    }
    let tokens: usize = (0..request.shared.len())
        .map(|at| [400, 250, 200][at % 3])
        .sum();
    let text = format!(
        "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nPrimrosearch-Attempt-Id: {}\r\nPrimrosearch-Model: m\r\n\
         Primrosearch-Token-Usage: {},40\r\nPrimrosearch-Prompt-Prefix: {prompt}{}:150\r\n\
         Primrosearch-Deadline-Ms: 8000\r\nAuthorization: Bearer key{}\r\nContent-Length: 2\r\n\r\n{{}}",
        request.attempt,
        tokens + 150,
        request.last,
        request.tenant
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return Answer::Broken;
    }
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader) else {
        return Answer::Broken;
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    if status != 200 {
        return Answer::Status(status);
    }
    if !headers.contains_key("primrosearch-response-seal") {
        return Answer::Broken;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return Answer::Broken;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return Answer::Broken;
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return Answer::Broken;
        }
        body.extend_from_slice(&chunk[..length]);
        if length == 0 {
            return Answer::Complete;
        }
    }
}

/// Counts how the requests of clients ended.
#[derive(Default)]
pub struct Tally {
    pub complete: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

impl Tally {
    pub fn count(&self, answer: Answer) {
        let counter = match answer {
            Answer::Complete => &self.complete,
            Answer::Status(429 | 503) => &self.refused,
            _ => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub fn text(&self) -> String {
        format!(
            "{} complete, {} refused, {} failed",
            self.complete.load(Ordering::Relaxed),
            self.refused.load(Ordering::Relaxed),
            self.failed.load(Ordering::Relaxed)
        )
    }
}

/// The shared parts of a tenant's sound request: the tenant's own part, and one of its 20 documents.
pub fn sound_parts(tenant: u64, document: u64) -> Vec<String> {
    vec![
        format!("a{tenant:04x}"),
        format!("d{tenant:02x}{document:03x}"),
    ]
}

/// Clients that send sound requests until `stop`, each with pauses of this mean.
pub fn sound_clients(
    fleet: &Fleet,
    count: u64,
    mean_ms: f64,
    tally: &Arc<Tally>,
    stop: &Arc<AtomicBool>,
) {
    for client in 0..count {
        let (fronts, record) = (fleet.fronts.clone(), fleet.record.clone());
        let (tally, stop) = (Arc::clone(tally), Arc::clone(stop));
        thread::spawn(move || {
            let mut random = Random(client * 7_919 + 1);
            let mut number = 0u64;
            while !stop.load(Ordering::Relaxed) {
                sleep_ms(random.pause_ms(mean_ms));
                number += 1;
                let tenant = random.below(16);
                let request = Request {
                    attempt: format!("{:08x}{:08x}", client + 1, number),
                    tenant,
                    shared: sound_parts(tenant, random.below(20)),
                    last: format!("{:x}", random.next() >> 8),
                };
                let front = fronts[random.below(fronts.len() as u64) as usize];
                let sent_ms = record.now_ms();
                let answer = send(front, &request);
                record.line(&format!(
                    "{}, sent to {front} at {sent_ms}, ends for its client: {answer:?}",
                    request.attempt
                ));
                tally.count(answer);
            }
        });
    }
}

/// Checks the rule BUDGET on requests with a part that crashes servers: at most three of them reach servers later than
/// `stable_window_ms` after the fifth crash. `None` if there were fewer crashes. `excluded` are spans in which a machine
/// may not be in touch; arrivals in them do not count.
pub fn late_arrivals(seen: &Seen, excluded: &[(u64, u64)]) -> Option<Vec<(u64, String)>> {
    let mut crashes: Vec<u64> = seen
        .crashes
        .lock()
        .unwrap()
        .iter()
        .map(|crash| crash.0)
        .collect();
    crashes.sort_unstable();
    let fifth = *crashes.get(4)?;
    let arrivals = seen.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|arrival| {
        let is_excluded = excluded
            .iter()
            .any(|span| (span.0..span.1).contains(&arrival.0));
        arrival.0 > fifth + STABLE_WINDOW_MS && !is_excluded
    });
    Some(late.map(|arrival| (arrival.0, arrival.1.clone())).collect())
}

/// A loopback network of this process.
pub fn network() -> [u8; 3] {
    let id = std::process::id();
    [127, 100 + (id / 250 % 100) as u8, (id % 250) as u8 + 1]
}

/// Whether the run shows anything: requests were served, and servers crashed this often if the disruption is on.
pub fn can_judge(seen: &Seen, tally: &Tally, crashes: usize) -> bool {
    let has_crashed = seen.crashes.lock().unwrap().len() >= crashes;
    tally.complete.load(Ordering::Relaxed) >= 100 && (!has_trouble() || has_crashed)
}

/// Whether the run includes the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until a sound request is answered at each entry host.
pub fn wait_ready(fleet: &Fleet, limit_ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    fleet.fronts.iter().enumerate().all(|(at, front)| {
        loop {
            let request = Request {
                attempt: format!(
                    "ff{at:06x}{:08x}",
                    Instant::now().elapsed().subsec_nanos() ^ at as u32
                ),
                tenant: at as u64,
                shared: sound_parts(at as u64, 0),
                last: format!("{at:x}1"),
            };
            if send(*front, &request) == Answer::Complete {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            sleep_ms(50);
        }
    })
}
