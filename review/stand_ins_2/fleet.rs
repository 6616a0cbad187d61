//! A small deployment on loopback addresses: core and entry hosts as the deploy file starts them, the platform's list of
//! servers, and the servers.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The bounds of the small deployments, in ms.
pub const STABLE_WINDOW_MS: u64 = 3_000;

/// The failure domains.
pub const ZONES: [&str; 3] = ["nyarugenge", "gasabo", "kicukiro"];

/// How long a crashed server is down.
const DOWNTIME: Duration = Duration::from_secs(3);

/// What has been seen, in the order of time. Written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn open(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
            lines: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().expect("not poisoned");
        let now = self.now_ms();
        writeln!(file, "{now:>7} {text}").expect("record.txt can be written");
        self.lines
            .lock()
            .expect("not poisoned")
            .push((now, text.to_owned()));
    }

    /// The lines that begin with `start`, with their times in ms.
    pub fn find(&self, start: &str) -> Vec<(u64, String)> {
        let lines = self.lines.lock().expect("not poisoned");
        lines
            .iter()
            .filter(|(_, line)| line.starts_with(start))
            .cloned()
            .collect()
    }
}

/// A server of the list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddrV4,
    pub zone: &'static str,
    pub slots: u32,
}

impl Listed {
    /// The entry of the list.
    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"cold_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"id\":\"{}\"}}",
            self.service, self.address, self.zone, self.slots, self.id
        )
    }
}

/// How the servers behave.
#[derive(Clone)]
pub struct Behaviour {
    /// The shared part that crashes servers, or `-`.
    pub crashing: String,
    pub tokens_per_ms: f64,
    pub events: u32,
    pub pause_ms: u64,
}

/// The deployment. Dropping it ends all processes.
pub struct Fleet {
    pub record: Record,
    pub fronts: Vec<SocketAddrV4>,
    readies: Vec<SocketAddrV4>,
    controls: Vec<SocketAddrV4>,
    hosts: Mutex<Vec<Child>>,
    /// The role, the number and the settings of each host.
    settings: Vec<(&'static str, usize, String)>,
    is_ending: Arc<AtomicBool>,
    folder: PathBuf,
    attempts: AtomicU64,
    list: List,
    pub servers: Vec<Listed>,
    /// The inputs of the servers, in the same order.
    inputs: Vec<Input>,
}

/// The input of a server that runs. The server ends when it is closed.
type Input = Arc<Mutex<Option<ChildStdin>>>;

/// The platform's list of servers.
#[derive(Clone)]
pub struct List {
    /// Each as its bytes are on the page.
    entries: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl List {
    fn new(listed: &[Listed]) -> List {
        let entries = listed
            .iter()
            .map(|one| one.entry("ready").into_bytes())
            .collect();
        List {
            entries: Arc::new(Mutex::new(entries)),
        }
    }

    fn page(&self) -> Vec<u8> {
        let entries = self.entries.lock().expect("not poisoned");
        let mut page = b"{\"instances\":[".to_vec();
        page.extend(entries.join(&b','));
        page.extend(b"],\"next\":null}");
        page
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_ending.store(true, Ordering::Relaxed);
        self.kill_hosts();
        for input in &self.inputs {
            *input.lock().expect("not poisoned") = None;
        }
        thread::sleep(Duration::from_millis(300));
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Ports that are free on all addresses.
struct Ports {
    internal: u16,
    front: u16,
    ready: u16,
    control: u16,
    server: u16,
    cloud: u16,
}

fn free_ports(addresses: &[Ipv4Addr]) -> Ports {
    let seed = std::process::id() as u16;
    for attempt in 0..200_u16 {
        let base = 20_000
            + (seed
                .wrapping_mul(37)
                .wrapping_add(attempt.wrapping_mul(101))
                % 10_000);
        let is_free = |address: &Ipv4Addr| {
            (base..base + 24).all(|port| {
                TcpListener::bind((*address, port)).is_ok()
                    && UdpSocket::bind((*address, port)).is_ok()
            })
        };
        if addresses.iter().all(is_free) {
            return Ports {
                internal: base,
                front: base + 16,
                ready: base + 17,
                control: base + 18,
                server: base + 19,
                cloud: base + 20,
            };
        }
    }
    eprintln!("no free ports");
    std::process::exit(2);
}

impl Fleet {
    /// Starts 3 core hosts, `entries` entry hosts and these servers, in three zones. Returns when all entry hosts are
    /// ready. `config` gets its version and must be acknowledged.
    pub fn open(
        record: Record,
        entries: usize,
        servers: &[(&'static str, u32)],
        behaviour: &Behaviour,
        config: &str,
    ) -> Fleet {
        let third = (std::process::id() % 250) as u8 + 1;
        let core = |at: usize| Ipv4Addr::new(127, 91, third, at as u8 + 1);
        let entry = |at: usize| Ipv4Addr::new(127, 91, third, at as u8 + 11);
        let server = |at: usize| Ipv4Addr::new(127, 91, third, at as u8 + 101);
        let platform = Ipv4Addr::new(127, 91, third, 250);
        let mut addresses = vec![platform];
        addresses.extend((0..3).map(core).chain((0..entries).map(entry)));
        addresses.extend((0..servers.len()).map(server));
        let ports = free_ports(&addresses);
        let folder = std::env::temp_dir().join(format!("primrose-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let is_ending = Arc::new(AtomicBool::new(false));
        let listed: Vec<Listed> = servers
            .iter()
            .enumerate()
            .map(|(at, &(service, slots))| Listed {
                id: format!("i-{at:08x}"),
                service,
                address: SocketAddrV4::new(server(at), ports.server),
                zone: ZONES[at % ZONES.len()],
                slots,
            })
            .collect();
        let cloud = SocketAddrV4::new(platform, ports.cloud);
        let list = List::new(&listed);
        serve_list(cloud, list.clone());
        let mut inputs = Vec::new();
        for one in &listed {
            let input = Input::default();
            inputs.push(Arc::clone(&input));
            keep_server(
                one.clone(),
                behaviour.clone(),
                record.clone(),
                Arc::clone(&is_ending),
                input,
            );
        }
        let seeds: Vec<SocketAddrV4> = (0..3)
            .map(|at| SocketAddrV4::new(core(at), ports.control))
            .collect();
        let mut settings = Vec::new();
        for at in 0..3 {
            let text = settings_text("core", at, core(at), &ports, &seeds, cloud, &folder);
            settings.push(("core", at, text));
        }
        for at in 0..entries {
            let text = settings_text("entry", at, entry(at), &ports, &seeds, cloud, &folder);
            settings.push(("entry", at, text));
        }
        let fleet = Fleet {
            record,
            fronts: (0..entries)
                .map(|at| SocketAddrV4::new(entry(at), ports.front))
                .collect(),
            readies: (0..entries)
                .map(|at| SocketAddrV4::new(entry(at), ports.ready))
                .collect(),
            controls: seeds,
            hosts: Mutex::default(),
            settings,
            is_ending,
            folder,
            attempts: AtomicU64::new(0),
            list,
            servers: listed,
            inputs,
        };
        fleet.start_hosts(true);
        if !fleet.put(config) || !fleet.wait_until_ready() {
            eprintln!("the fleet does not start");
            drop(fleet);
            std::process::exit(2);
        }
        fleet
    }

    /// Starts all hosts. `is_first` tells whether the whole system starts for the first time.
    pub fn start_hosts(&self, is_first: bool) {
        let mut hosts = self.hosts.lock().expect("not poisoned");
        for (role, at, text) in &self.settings {
            let text = text.replace("bootstrap: true", &format!("bootstrap: {is_first}"));
            hosts.push(start(role, *at, &text, &self.folder));
        }
        self.record.write("all hosts are started");
    }

    /// Kills all hosts at the same moment.
    pub fn kill_hosts(&self) {
        let mut hosts = self.hosts.lock().expect("not poisoned");
        for host in hosts.iter_mut() {
            // It may have ended already.
            let _ = host.kill();
        }
        for mut host in hosts.drain(..) {
            let _ = host.wait();
        }
        self.record.write("all hosts are killed");
    }

    fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        let question = b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n";
        while Instant::now() < end {
            let mut readies = self.readies.iter();
            if readies.all(|ready| {
                http::exchange(*ready, question, Duration::from_secs(1))
                    .is_some_and(|answer| answer.status == 200)
            }) {
                self.record.write("all entry hosts are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Sends a configuration as an operator does, until it is acknowledged or refused. Returns whether it was
    /// acknowledged.
    pub fn put(&self, config: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        let mut at = 0;
        while Instant::now() < end {
            let mut address = self.controls[at % self.controls.len()];
            at += 1;
            for _ in 0..3 {
                let request = format!(
                    "PUT /-/config HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{config}",
                    config.len()
                );
                let Some(answer) =
                    http::exchange(address, request.as_bytes(), Duration::from_secs(3))
                else {
                    break;
                };
                self.record
                    .write(&format!("operator PUT at {address}: {}", answer.status));
                match answer.status {
                    200 => return true,
                    307 => {
                        let location = answer.head.get("location").unwrap_or_default();
                        let target = location
                            .trim_start_matches("http://")
                            .split('/')
                            .next()
                            .unwrap_or_default();
                        let Ok(target) = target.parse() else { break };
                        address = target;
                    }
                    400..=499 => return false,
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Adds an entry of another writer to the list.
    pub fn add_entry(&self, bytes: &[u8]) {
        self.record.write(&format!(
            "the list gets the entry {}",
            String::from_utf8_lossy(bytes)
        ));
        self.list
            .entries
            .lock()
            .expect("not poisoned")
            .insert(0, bytes.to_vec());
    }

    /// A server leaves: it says so in all its answers, and the list shows from now on that it is draining.
    pub fn drain(&self, server: &Listed) {
        for (known, input) in self.servers.iter().zip(&self.inputs) {
            if known.id == server.id
                && let Some(input) = &mut *input.lock().expect("not poisoned")
            {
                input.write_all(b"leave\n").expect("the server runs");
            }
        }
        self.record
            .write(&format!("the list shows that {} is draining", server.id));
        let (before, after) = (server.entry("ready"), server.entry("draining"));
        for entry in self.list.entries.lock().expect("not poisoned").iter_mut() {
            if *entry == before.as_bytes() {
                *entry = after.clone().into_bytes();
            }
        }
    }

    /// Whether all hosts still run.
    pub fn all_run(&self) -> bool {
        let mut hosts = self.hosts.lock().expect("not poisoned");
        hosts
            .iter_mut()
            .all(|host| host.try_wait().is_ok_and(|end| end.is_none()))
    }

    /// Sends one request at the entry host with this number, on a new connection, and records what comes back.
    pub fn request(
        &self,
        kind: &str,
        at: usize,
        path: &str,
        parts: &str,
        tokens: &str,
    ) -> Option<u16> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let id = format!("{kind}-{:06x}-{number}", std::process::id());
        let front = self.fronts[at % self.fronts.len()];
        self.record
            .write(&format!("sent {id} to {front} parts {parts}"));
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: review.example\r\nPrimrosearch-Attempt-Id: {id}\r\n\
             Primrosearch-Deadline-Ms: 8000\r\nPrimrosearch-Model: m\r\nPrimrosearch-Token-Usage: {tokens}\r\n\
             Primrosearch-Prompt-Prefix: {parts}\r\nAuthorization: Bearer key-of-review\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let answer = http::exchange(front, text.as_bytes(), Duration::from_secs(9));
        let mut line = format!("answer {id} ");
        match &answer {
            Some(answer) if answer.status == 200 => {
                let end = if answer.is_complete {
                    "whole"
                } else {
                    "broken off"
                };
                let _ = write!(line, "200 {end}");
            }
            Some(answer) => {
                let code = String::from_utf8_lossy(&answer.body);
                let _ = write!(
                    line,
                    "{} retry-after {} {code}",
                    answer.status,
                    answer.head.get("retry-after").unwrap_or("-")
                );
            }
            None => line.push_str("none"),
        }
        self.record.write(&line);
        answer.map(|answer| answer.status)
    }
}

/// Answers `GET /instances` with all entries on one page.
fn serve_list(address: SocketAddrV4, list: List) {
    let listener = TcpListener::bind(address).expect("the address of the platform is free");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut rest = Vec::new();
                while let Ok(Some(head)) = http::read_head(&mut stream, std::mem::take(&mut rest)) {
                    rest = head.rest;
                    let page = list.page();
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        page.len()
                    );
                    if stream
                        .write_all(&[text.as_bytes(), &page].concat())
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
}

/// Runs a server, and starts it again some seconds after each end.
fn keep_server(
    one: Listed,
    behaviour: Behaviour,
    record: Record,
    is_ending: Arc<AtomicBool>,
    input: Input,
) {
    let program = std::env::current_exe().expect("the path of this program");
    thread::spawn(move || {
        while !is_ending.load(Ordering::Relaxed) {
            let mut server = Command::new(&program)
                .args([
                    "server",
                    &one.address.to_string(),
                    &one.id,
                    &behaviour.crashing,
                ])
                .args([
                    &behaviour.tokens_per_ms.to_string(),
                    &behaviour.events.to_string(),
                ])
                .arg(behaviour.pause_ms.to_string())
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .expect("a server starts");
            *input.lock().expect("not poisoned") = server.stdin.take();
            let output = server.stdout.take().expect("piped");
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.write(&format!("{line} server {}", one.id));
            }
            let _ = server.wait();
            if !is_ending.load(Ordering::Relaxed) {
                record.write(&format!("server {} has ended", one.id));
                thread::sleep(DOWNTIME);
            }
        }
    });
}

fn start(role: &str, at: usize, settings: &str, folder: &Path) -> Child {
    let path = folder.join(format!("{role}-{at}.yaml"));
    fs::write(&path, settings).expect("the settings can be written");
    let log =
        File::create(folder.join(format!("{role}-{at}.log"))).expect("the log can be written");
    // The command of the deploy file, from the root of the repository.
    Command::new("target/release/primrose-platform")
        .args([role, "--placing", "deploy/placing.yaml"])
        .env("PRIMROSEARCH_BOOT", &path)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a second handle"))
        .stdout(log)
        .spawn()
        .expect("target/release/primrose-platform starts")
}

fn settings_text(
    role: &str,
    at: usize,
    address: Ipv4Addr,
    ports: &Ports,
    seeds: &[SocketAddrV4],
    cloud: SocketAddrV4,
    folder: &Path,
) -> String {
    let zone = ZONES[at % ZONES.len()];
    let (class, serves, listen, limits, data) = if role == "core" {
        let data = folder.join(format!("data-{at}"));
        fs::create_dir_all(&data).expect("a data folder");
        (
            "core",
            "control",
            format!("  control: \"{address}:{}\"\n", ports.control),
            "  cpu_share: 0.3\n  cores: 1\n  memory_mb: 256\n  max_fds: 4096\n  link_mbps: 1000.0\n  disk_mb: 128\n",
            format!("\"{}\"", data.display()),
        )
    } else {
        (
            "front",
            "front",
            format!(
                "  front: \"{address}:{}\"\n  ready: \"{address}:{}\"\n",
                ports.front, ports.ready
            ),
            "  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n",
            "null".to_owned(),
        )
    };
    let mut text = format!(
        "node: \"{class}-{zone}-{at}\"\nrole: \"{role}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{serves}\"\n\
         ip: \"{address}\"\nzone: \"{zone}\"\nregion: \"kigali\"\nzones:\n"
    );
    for zone in ZONES {
        let _ = writeln!(text, "  {zone}: \"kigali\"");
    }
    let _ = write!(
        text,
        "listen:\n{listen}internal_port_range:\n  - {}\n  - {}\nseeds:\n",
        ports.internal,
        ports.internal + 15
    );
    for seed in seeds {
        let _ = writeln!(text, "  - \"{seed}\"");
    }
    let _ = write!(
        text,
        "bootstrap: true\nin_tolerance: {}\nlimits:\n{limits}data_dir: {data}\ndiscovery: \"cloud\"\nentry: \"vip\"\n\
         heartbeat_ms: 1200\ncontracts: [base, drain, config, cost, retry, recover, engine, stream, tenants]\n\
         fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  \
         stable_window_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_timeout_ms: 3000\n  grace_s: 8\n  lost_ms: 200\n  \
         config_propagation_ms: 2000\n  downgrade_ms: 250\n  outer_ms: 5000\n  revoke_strict: false\n  revoke_ms: 5000\n  \
         retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 58\n  recovery_s: 12\n  pass_ms: 120\n  \
         reuse_window_s: 8.1\n  quota_window_s: 4\nconfig_mode: \"highest\"\ncloud:\n  address: \"{cloud}\"\n  \
         rate_per_s: 47.0\n  duties: []\n  lag_ms: 800\n",
        role == "core"
    );
    text
}

/// A configuration with one route for streams that may not be resumed, and one for streams that may.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-plan\",\"host\":\"review.example\",\"path_prefix\":\"/plan/\",\
         \"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":600,\"priority\":1,\"service\":\"llm\",\
         \"max_attempts\":1,\"allow_anonymous\":false,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":300}}],\
         \"services\":[{{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":310,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":48,\"kv_cache_tokens\":444000,\"kv_bytes\":131072,\"link_mbps\":180000.0,\
         \"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":450000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-of-review\"],\"priority\":1}}]}}"
    )
}
