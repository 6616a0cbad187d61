//! Starts a small fleet as processes and plays its surroundings: the platform's list of servers, backend servers,
//! callers and an operator. Uses the standard library only.

#![allow(dead_code, reason = "each case uses only a part of this file")]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The seal that the stand-in servers put on their answers.
pub const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Whether the disruption is to be played: not if `TROUBLE` is 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Lines of what was sent, answered and run, each with the time since the start in ms.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| fail(&format!("{}: {error}", path.display())));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.now_ms());
    }
}

/// Ends the case because it could not run.
pub fn fail(message: &str) -> ! {
    eprintln!("the case could not run: {message}");
    std::process::exit(NOT_RUN)
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP
// ---------------------------------------------------------------------------------------------------------------------

/// The head of a request or of an answer. Names of headers are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head, or `None` if the connection ends before its end.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first_line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or comes in chunks. Returns it with whether it was complete; a body without either
/// ends with the connection.
pub fn read_body(reader: &mut impl BufRead, head: &Head, on_data: &mut dyn FnMut(&[u8])) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if let Some(length) = head.get("content-length").and_then(|length| length.parse::<usize>().ok()) {
        let mut left = length;
        let mut buffer = [0; 16 << 10];
        while left > 0 {
            let wanted = left.min(buffer.len());
            match reader.read(&mut buffer[..wanted]) {
                Ok(0) | Err(_) => return (body, false),
                Ok(read) => {
                    on_data(&buffer[..read]);
                    body.extend_from_slice(&buffer[..read]);
                    left -= read;
                }
            }
        }
        return (body, true);
    }
    let is_chunked = head.get("transfer-encoding").is_some_and(|coding| coding.ends_with("chunked"));
    if !is_chunked {
        return (body, true);
    }
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(read) if read > 0 && line.ends_with('\n') => {}
            _ => return (body, false),
        }
        let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
            return (body, false);
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        on_data(&chunk[..size]);
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Listens on a free port of `ip` and handles each connection in a thread of its own.
pub fn listen(ip: Ipv4Addr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddrV4 {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|error| fail(&format!("listening on {ip}: {error}")));
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform's list of servers
// ---------------------------------------------------------------------------------------------------------------------

/// A server as the platform lists it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
}

/// Called when the platform has received a call for its list, before the answer is sent.
pub type OnCall = Box<dyn FnOnce() + Send>;

/// The platform's list. It changes at once; a case waits for the lag of the list itself.
#[derive(Clone, Default)]
pub struct List {
    servers: Arc<Mutex<Vec<Listed>>>,
    on_call: Arc<Mutex<Option<OnCall>>>,
    last_call: Arc<Mutex<Option<Instant>>>,
}

impl List {
    pub fn add(&self, server: Listed) {
        self.servers.lock().unwrap().push(server);
    }

    pub fn set_state(&self, id: &str, state: &'static str) {
        for server in self.servers.lock().unwrap().iter_mut().filter(|server| server.id == id) {
            server.state = state;
        }
    }

    pub fn remove(&self, id: &str) {
        self.servers.lock().unwrap().retain(|server| server.id != id);
    }

    /// Calls `on_call` at the next call for the list, after the answer to it has been made.
    pub fn at_next_call(&self, on_call: OnCall) {
        *self.on_call.lock().unwrap() = Some(on_call);
    }

    /// The time since the list was called for.
    pub fn since_last_call(&self) -> Duration {
        self.last_call.lock().unwrap().map_or(Duration::MAX, |call| call.elapsed())
    }

    fn page(&self) -> String {
        *self.last_call.lock().unwrap() = Some(Instant::now());
        let servers = self.servers.lock().unwrap();
        let entries: Vec<String> = servers
            .iter()
            .map(|server| {
                format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
                     \"state\":\"{}\",\"cold_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"id\":\"{}\"}}",
                    server.service, server.address, server.zone, server.slots, server.state, server.id
                )
            })
            .collect();
        format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","))
    }

    /// Serves the list on a free port of `ip`. Each answer takes `delay`.
    pub fn serve(&self, ip: Ipv4Addr, delay: Duration) -> SocketAddrV4 {
        let list = self.clone();
        listen(ip, move |stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            while let Ok(Some(_)) = read_head(&mut reader) {
                let page = list.page();
                if let Some(on_call) = list.on_call.lock().unwrap().take() {
                    on_call();
                }
                thread::sleep(delay);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{page}",
                    page.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        })
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The fleet
// ---------------------------------------------------------------------------------------------------------------------

/// The role of a process.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Core,
    Entry,
}

impl Role {
    const fn name(self) -> &'static str {
        match self {
            Role::Core => "core",
            Role::Entry => "entry",
        }
    }
}

/// A machine of the fleet.
pub struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    pub zone: String,
    child: Option<Child>,
}

/// A fleet of processes. All of them are killed when it is dropped.
pub struct Fleet {
    root: PathBuf,
    pub folder: PathBuf,
    net: [u8; 3],
    ports: Ports,
    cloud: SocketAddrV4,
    zones: Vec<String>,
    pub machines: Vec<Machine>,
    pub record: Record,
}

/// The ports of all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub front: u16,
    pub ready: u16,
    pub internal: u16,
}

impl Fleet {
    /// A fleet without machines. `root` is the root of the repository.
    pub fn new(record: &Record, zones: &[&str]) -> Fleet {
        let pid = std::process::id();
        let net = [127, 64 + (pid / 250 % 100) as u8, (pid % 250) as u8 + 1];
        let folder = std::env::temp_dir().join(format!("primrose-review-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|error| fail(&format!("{}: {error}", folder.display())));
        Fleet {
            root: std::env::current_dir().unwrap(),
            folder,
            net,
            ports: free_ports(Ipv4Addr::new(net[0], net[1], net[2], 1)),
            cloud: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            machines: Vec::new(),
            record: record.clone(),
        }
    }

    /// The loopback address of the host with this number.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], host)
    }

    pub fn serve_list(&mut self, list: &List, delay: Duration) {
        self.cloud = list.serve(self.ip(200), delay);
    }

    /// Adds a machine; it is started by [`Fleet::start`]. The seeds of all machines are the first three core machines.
    pub fn add(&mut self, role: Role, zone: &str) -> usize {
        let at = self.machines.len();
        let ip = self.ip(10 + at as u8);
        let name = format!("{}-{zone}-{at}", role.name());
        self.machines.push(Machine { name, role, ip, zone: zone.to_owned(), child: None });
        at
    }

    pub fn front(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.ports.front)
    }

    pub fn ready(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.ports.ready)
    }

    pub fn control(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.ports.control)
    }

    pub fn cores(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|&at| self.machines[at].role == Role::Core).collect()
    }

    /// Starts the process of a machine. `is_first` tells whether the whole system starts for the first time.
    pub fn start(&mut self, at: usize, is_first: bool) {
        let path = self.folder.join(format!("{}.yaml", self.machines[at].name));
        fs::write(&path, self.settings(at, is_first)).unwrap_or_else(|error| fail(&error.to_string()));
        let machine = &self.machines[at];
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", machine.name)));
        let log = log.unwrap_or_else(|error| fail(&error.to_string()));
        let errors = log.try_clone().unwrap_or_else(|error| fail(&error.to_string()));
        // The commands of deploy/system.toml.
        let mut command = Command::new(self.root.join("target/release/primrose-platform"));
        command.args([machine.role.name(), "--placing", "deploy/placing.yaml"]).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("PRIMROSEARCH_BOOT", &path).stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().unwrap_or_else(|error| fail(&format!("starting {}: {error}", machine.name)));
        self.record.line(&format!("platform: started {} (pid {}) at {}", machine.name, child.id(), machine.ip));
        self.machines[at].child = Some(child);
    }

    pub fn signal(&self, at: usize, signal: i32, name: &str) {
        if let Some(send) = self.signaller(at, signal, name) {
            send();
        }
    }

    /// A function that sends a signal to the process of a machine. To be called while the process has not been waited
    /// for.
    pub fn signaller(&self, at: usize, signal: i32, name: &str) -> Option<OnCall> {
        let machine = &self.machines[at];
        let pid = machine.child.as_ref()?.id() as i32;
        let (record, line) = (self.record.clone(), format!("platform: {name} to {}", machine.name));
        Some(Box::new(move || {
            record.line(&line);
            // SAFETY: the call has no memory effects, and the process was started here.
            unsafe { kill(pid, signal) };
        }))
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self, at: usize) -> Option<String> {
        let child = self.machines[at].child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, at: usize, reason: &str) {
        self.signal(at, SIGKILL, &format!("SIGKILL, {reason},"));
        while self.machines[at].child.is_some() && self.ended(at).is_none() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Empties the disk of a machine whose process has ended.
    pub fn wipe(&self, at: usize) {
        let data = self.folder.join(format!("{}.data", self.machines[at].name));
        self.record.line(&format!("platform: the disk of {} is lost", self.machines[at].name));
        let _ = fs::remove_dir_all(data);
    }

    /// Reads the configuration back from one core machine, following redirects. `None` unless the answer is 200.
    pub fn read(&self, at: usize) -> Option<String> {
        let mut address = self.control(at);
        for _ in 0..3 {
            let (head, body) = call(address, "GET", "/-/config", "", Duration::from_secs(1))?;
            if head.status() == 200 {
                return Some(String::from_utf8_lossy(&body).into_owned());
            }
            let location = head.get("location").and_then(|location| location.strip_prefix("http://"));
            address = location.and_then(|location| location.split('/').next()?.parse().ok())?;
        }
        None
    }

    /// Sends a configuration until it is acknowledged, as an operator does.
    pub fn put(&self, config: &str) {
        let cores = self.cores();
        if !self.try_put(config, &cores, Duration::from_secs(25)) {
            fail("no configuration was acknowledged");
        }
    }

    /// Sends a configuration to these core machines in turn until it is acknowledged, for at most `limit`. Returns
    /// whether it was.
    pub fn try_put(&self, config: &str, cores: &[usize], limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        for at in cores.iter().cycle() {
            let mut address = self.control(*at);
            for _ in 0..3 {
                let Some((head, _)) = call(address, "PUT", "/-/config", config, Duration::from_secs(3)) else { break };
                if head.status() == 200 {
                    self.record.line("operator: the configuration is acknowledged");
                    return true;
                }
                let location = head.get("location").and_then(|location| location.strip_prefix("http://"));
                let Some(next) = location.and_then(|location| location.split('/').next()?.parse().ok()) else { break };
                address = next;
            }
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// The address of the core machine that leads the log, by asking the operator's API: all others redirect to it.
    pub fn leader(&self) -> Option<usize> {
        self.cores().into_iter().find(|&at| {
            call(self.control(at), "GET", "/-/config", "", Duration::from_secs(2))
                .is_some_and(|(head, _)| head.status() == 200)
        })
    }

    /// Waits until the entry machine says that it is ready.
    pub fn wait_ready(&self, at: usize) {
        let deadline = Instant::now() + Duration::from_secs(25);
        while !is_ready(self.ready(at)) {
            if Instant::now() > deadline {
                fail(&format!("{} is not ready", self.machines[at].name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn settings(&self, at: usize, is_first: bool) -> String {
        let machine = &self.machines[at];
        let Ports { control, front, ready, internal } = self.ports;
        let ip = machine.ip;
        let seeds = self.cores().into_iter().take(3).map(|at| format!("  - \"{}\"\n", self.control(at)));
        let zones = self.zones.iter().map(|zone| format!("  {zone}: \"region\"\n"));
        let is_core = machine.role == Role::Core;
        let data = self.folder.join(format!("{}.data", machine.name));
        if is_core {
            let _ = fs::create_dir_all(&data);
        }
        let (class, serves, listen, limits, data) = match machine.role {
            Role::Core => (
                "core",
                "control",
                format!("  control: \"{ip}:{control}\"\n"),
                "  cpu_share: 0.3\n  cores: 1\n  memory_mb: 256\n  max_fds: 4096\n  link_mbps: 1000.0\n  disk_mb: 128\n",
                format!("\"{}\"", data.display()),
            ),
            Role::Entry => (
                "front",
                "front",
                format!("  front: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n"),
                "  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n",
                "null".to_owned(),
            ),
        };
        format!(
            "node: \"{}\"\nrole: \"{}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{serves}\"\nip: \"{ip}\"\n\
             zone: \"{}\"\nregion: \"region\"\nzones:\n{}listen:\n{listen}internal_port_range:\n  - {internal}\n  - {}\n\
             seeds:\n{}bootstrap: {is_first}\nin_tolerance: {is_core}\nlimits:\n{limits}data_dir: {data}\n\
             discovery: \"cloud\"\nentry: \"vip\"\nheartbeat_ms: 1200\ncontracts:\n  - \"base\"\n  - \"drain\"\n  \
             - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n\
             fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n{BOUNDS}config_mode: \"highest\"\n\
             cloud:\n  address: \"{}\"\n  rate_per_s: 47.0\n  duties: []\n  lag_ms: 800\n",
            machine.name,
            machine.role.name(),
            machine.zone,
            zones.collect::<String>(),
            internal + 15,
            seeds.collect::<String>(),
            self.cloud,
        )
    }
}

/// The bounds of the small deployments.
const BOUNDS: &str = "  seed_lag_s: 3\n  reuse_after_s: 2\n  stable_window_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  \
    drain_timeout_ms: 3000\n  grace_s: 8\n  lost_ms: 200\n  config_propagation_ms: 2000\n  downgrade_ms: 250\n  \
    outer_ms: 5000\n  revoke_strict: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  \
    budget_slack: 58\n  recovery_s: 12\n  pass_ms: 120\n  reuse_window_s: 8.1\n  quota_window_s: 4\n";

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds ports that are free on `ip`: one for each interface and a range of 16.
fn free_ports(ip: Ipv4Addr) -> Ports {
    for first in (21_000..30_000).step_by(40) {
        let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
        if (first..first + 20).all(is_free) {
            return Ports { control: first, front: first + 1, ready: first + 2, internal: first + 4 };
        }
    }
    fail("no free ports")
}

/// Asks a machine whether it is ready, as the platform does.
pub fn is_ready(address: SocketAddrV4) -> bool {
    call(address, "GET", "/-/ready", "", Duration::from_secs(1)).is_some_and(|(head, _)| head.status() == 200)
}

/// Sends one request on a new connection and returns the answer if it is complete.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let (body, is_complete) = read_body(&mut reader, &head, &mut |_| {});
    is_complete.then_some((head, body))
}

/// A route of a configuration with one service and without keys.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
}

/// The host of all routes.
pub const HOST: &str = "ficu95.example";

/// A configuration with the services `model` (engines) and `desk` (a plain service) and without tenants.
pub fn config(version: u64, routes: &[Route<'_>]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(at, route)| {
            format!(
                "{{\"name\":\"r-{at}\",\"host\":\"{HOST}\",\"path_prefix\":\"{}\",\"kind\":\"{}\",\"timeout_ms\":{},\
                 \"target_latency_ms\":{},\"priority\":1,\"service\":\"{}\",\"max_attempts\":{},\
                 \"allow_anonymous\":false,\"sticky\":{},\"resumable\":false,\"target_gap_ms\":300}}",
                route.prefix,
                route.kind,
                route.timeout_ms,
                route.target_ms,
                route.service,
                route.attempts,
                route.kind == "stream",
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"model\",\"health_path\":\"/healthz\",\
         \"max_connections\":310,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\
         \"kv_cache_tokens\":444000,\"kv_bytes\":131072,\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\
         \"stride\":5,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":450000}}}}",
        routes.join(",")
    )
}

/// How an answer reached a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub has_seal: bool,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub head: Head,
}

/// A caller's connection.
pub struct Caller {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Caller {
    pub fn open(address: SocketAddrV4) -> Option<Caller> {
        let stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        Some(Caller { reader: BufReader::new(stream.try_clone().ok()?), stream })
    }

    /// Sends a request with these further header lines, and reads the answer. The answer has status 0 if none came.
    pub fn request(&mut self, method: &str, path: &str, id: &str, headers: &str, body: &str) -> Answer {
        let none = Answer {
            status: 0,
            has_seal: false,
            body: Vec::new(),
            is_complete: false,
            head: Head::default(),
        };
        let length = match body.is_empty() && method == "GET" {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPrimrosearch-Attempt-Id: {id}\r\n{headers}{length}\r\n{body}"
        );
        if self.stream.write_all(text.as_bytes()).is_err() {
            return none;
        }
        let Ok(Some(head)) = read_head(&mut self.reader) else { return none };
        let (body, is_complete) = read_body(&mut self.reader, &head, &mut |_| {});
        Answer {
            status: head.status(),
            has_seal: head.get("primrosearch-response-seal").is_some(),
            body,
            is_complete,
            head,
        }
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Counts by name, in the order of the names.
#[derive(Clone, Default)]
pub struct Tally(Arc<Mutex<BTreeMap<String, u64>>>);

impl Tally {
    pub fn add(&self, name: &str) {
        *self.0.lock().unwrap().entry(name.to_owned()).or_default() += 1;
    }

    pub fn text(&self) -> String {
        let counts = self.0.lock().unwrap();
        counts.iter().map(|(name, count)| format!("{name}={count}")).collect::<Vec<_>>().join(" ")
    }
}

impl Fleet {
    /// The resident memory of a process in KiB, from the `/proc` entry of the process that was started here.
    pub fn rss_kb(&self, at: usize) -> Option<u64> {
        self.status_kb(at, "VmRSS:")
    }

    /// The largest resident memory that the process had, in KiB.
    pub fn hwm_kb(&self, at: usize) -> Option<u64> {
        self.status_kb(at, "VmHWM:")
    }

    fn status_kb(&self, at: usize, name: &str) -> Option<u64> {
        let pid = self.machines[at].child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    }
}
