//! Starts daemons as processes, sends signals to them, and calls their interfaces.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::http::request::Builder;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use primrose_base::name::Name;
use primrose_config::{Action, Change, KeyHash, spec};
use primrose_engine::{Handle, answer};
use primrose_operator::{Client, Key, Outcome, Timeouts, api};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::network::{self, Network, Node};

/// Time limit of every wait; far longer than any wait takes without a fault.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Ports of every daemon; each daemon has its own address. They are below the kernel's ephemeral port range. A free
/// port cannot be found by binding port 0 and closing the socket: the port can remain in use while another test
/// starts a process, which inherits the socket until it executes its program.
const CALLER_PORT: u16 = 7201;
const OPERATOR_PORT: u16 = 7202;
const PEER_PORT: u16 = 7203;

/// Port whose listener reserves the addresses of a fleet.
const RESERVED_PORT: u16 = 7200;

/// Number of values of the second byte of the addresses, which begin with 2: 127.0 and 127.1 are in other use.
const FLEET_NUMBERS: u32 = 250;

const FLEET_KEY: &str = "a fleet key for tests, 32 bytes or more";
pub(crate) const OPERATOR_KEY: &str = "operator-key-of-the-tests";

/// The API key of the account that [`account`] puts.
pub(crate) const API_KEY: &str = "api-key-of-the-tests";

/// How often the start of a fleet is attempted. An attempt fails if another process uses one of the addresses.
const START_ATTEMPTS: u32 = 5;

/// Name, failure domain and role of a host in the settings.
#[derive(Clone, Copy)]
pub(crate) struct HostSpec {
    pub(crate) name: &'static str,
    pub(crate) domain: &'static str,
    pub(crate) voter: bool,
}

pub(crate) const fn voter(name: &'static str, domain: &'static str) -> HostSpec {
    HostSpec {
        name,
        domain,
        voter: true,
    }
}

pub(crate) const fn follower(name: &'static str, domain: &'static str) -> HostSpec {
    HostSpec {
        name,
        domain,
        voter: false,
    }
}

/// Three voters in three failure domains.
pub(crate) const VOTERS: [HostSpec; 3] = [voter("v1", "d1"), voter("v2", "d2"), voter("v3", "d3")];

/// Returns the seed of a test and prints it, so that a failure can be reproduced.
pub(crate) fn seed(default: u64) -> u64 {
    let seed = number_from_env("PRIMROSE_TEST_SEED").unwrap_or(default);
    println!("seed {seed}");
    seed
}

/// Returns the factor by which the number of operations grows in a longer run.
pub(crate) fn rounds() -> usize {
    number_from_env("PRIMROSE_TEST_ROUNDS").unwrap_or(1) as usize
}

fn number_from_env(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(
        text.parse()
            .expect("the environment variable contains a number"),
    )
}

pub(crate) fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// Waits until `probe` returns a value. `what` describes the awaited condition in the message of a failure.
pub(crate) async fn eventually<T>(what: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < deadline, "not within {TIMEOUT:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A daemon with its addresses and files.
pub(crate) struct Host {
    pub(crate) spec: HostSpec,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// The peer address in the settings of all hosts: that of the relay, or `peers` if there is no relay.
    advertised: SocketAddr,
    network: Network,
    folder: PathBuf,
    process: Option<Child>,
}

impl Host {
    fn new(spec: HostSpec, ip: Ipv4Addr, folder: PathBuf) -> Host {
        let peers = (ip, PEER_PORT).into();
        Host {
            spec,
            callers: (ip, CALLER_PORT).into(),
            operators: (ip, OPERATOR_PORT).into(),
            peers,
            advertised: peers,
            network: Network::default(),
            folder,
            process: None,
        }
    }

    pub(crate) fn data_folder(&self) -> PathBuf {
        self.folder.join(format!("{}.data", self.spec.name))
    }

    fn settings_file(&self) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.spec.name))
    }

    fn log_file(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.spec.name))
    }

    /// Starts the process.
    pub(crate) fn start(&mut self) {
        let mut options = File::options();
        let log = options.create(true).append(true).open(self.log_file());
        let log = log.expect("a log file");
        let process = Command::new(env!("CARGO_BIN_EXE_primrosed"))
            .arg(self.settings_file())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle of the log file"))
            .stderr(log)
            .spawn();
        let process = process.expect("the daemon starts");
        self.network.set_process(self.peers, process.id());
        self.process = Some(process);
    }

    /// Ends the process and starts it again with lines that are added to its settings file.
    pub(crate) async fn restart_with(&mut self, settings: &str) {
        self.kill();
        let text = std::fs::read_to_string(self.settings_file()).expect("a settings file");
        std::fs::write(self.settings_file(), text + settings).expect("a settings file");
        self.start();
        self.wait_ready().await;
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let process = self.process.as_ref().expect("a running daemon");
        kill_process(Pid::from_child(process), signal).expect("the signal is sent");
    }

    /// Ends the process with SIGKILL if it is running.
    pub(crate) fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // Fails if the process has ended by itself.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process is not running: it was not started, was killed or has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        let Some(process) = &mut self.process else {
            return true;
        };
        process
            .try_wait()
            .expect("the state of a child is known")
            .is_some()
    }

    /// Returns a client of the operator interface of this host.
    pub(crate) fn operator(&self) -> Client {
        operator(&[self.operators])
    }

    /// Returns the status of `GET path` at the operator address, or `None` if the daemon does not answer.
    pub(crate) async fn health(&self, path: &str) -> Option<StatusCode> {
        let request = Request::get(path).body(Full::default()).expect("a request");
        Some(exchange(self.operators, request).await.ok()?.status)
    }

    pub(crate) async fn wait_ready(&self) {
        let what = format!("{} is ready", self.spec.name);
        eventually(&what, async || {
            (self.health("/readyz").await == Some(StatusCode::OK)).then_some(())
        })
        .await;
    }

    /// Returns the version of the configuration in force on this host, or `None` if there is none or no answer.
    pub(crate) async fn version(&self) -> Option<u64> {
        let configuration = self.operator().configuration().await.ok()?;
        Some(configuration.version)
    }

    pub(crate) async fn wait_version(&self, least: u64) {
        let what = format!("{} has version {least}", self.spec.name);
        eventually(&what, async || {
            self.version().await.filter(|version| *version >= least)
        })
        .await;
    }

    /// Returns the value of a counter of this host.
    pub(crate) async fn counter(&self, name: &str) -> u64 {
        let counters = self.operator().counters().await.expect("counters");
        let found = counters.counters.iter().find(|one| one.name == name);
        found.expect("a declared counter").value
    }

    /// Waits until `text` is in the log of the current process, which begins at the last line with `started, `.
    pub(crate) async fn wait_logged(&self, text: &str) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let log = std::fs::read_to_string(self.log_file()).expect("a log file");
            let (_, current) = log.rsplit_once("started, ").unwrap_or_default();
            if current.contains(text) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{} did not log {text}",
                self.spec.name
            );
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn print_log(&self) {
        let text = std::fs::read_to_string(self.log_file()).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        println!("--- last lines of {}", self.spec.name);
        for line in &lines[lines.len().saturating_sub(30)..] {
            println!("{line}");
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            self.print_log();
        }
    }
}

/// The addresses 127.NUMBER.x.x, which no other test process with this harness uses until the reservation is dropped.
struct Reservation {
    number: u8,
    /// Listens on [`RESERVED_PORT`] of an address that no host has. The kernel closes it also if the process is killed.
    _lock: TcpListener,
}

impl Reservation {
    fn new() -> Reservation {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        Reservation::draw(std::process::id().wrapping_mul(7).wrapping_add(next))
    }

    /// Reserves the first free number, beginning with one that follows from `start`.
    fn draw(start: u32) -> Reservation {
        let mut numbers =
            (0..FLEET_NUMBERS).map(|at| (2 + (start % FLEET_NUMBERS + at) % FLEET_NUMBERS) as u8);
        let found = numbers.find_map(|number| {
            let lock = TcpListener::bind((Ipv4Addr::new(127, number, 0, 1), RESERVED_PORT)).ok()?;
            Some(Reservation {
                number,
                _lock: lock,
            })
        });
        found.expect("a free fleet number")
    }
}

// Test processes whose ids give the same number must not start daemons on the same addresses: a test would ask the daemons
// of another one.
#[test]
fn reserved_numbers_are_not_drawn_again() {
    let start = std::process::id();
    let first = Reservation::draw(start);
    let second = Reservation::draw(start);
    assert_ne!(first.number, second.number);
}

/// Returns the address of the host with index `at`: 127.FLEET.DOMAIN.HOST.
fn host_ip(fleet_number: u8, spec: HostSpec, at: usize) -> Ipv4Addr {
    let domain = spec.domain.as_bytes()[1] - b'0';
    Ipv4Addr::new(127, fleet_number, domain, at as u8 + 1)
}

/// Daemons that form one fleet. Dropping the fleet kills them.
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    /// Isolates failure domains; has an effect only if the fleet was started with relays.
    pub(crate) network: Network,
    relays: Vec<JoinSet<()>>,
    /// Declared after the hosts and the relays, so that it ends after they have.
    reservation: Reservation,
    /// Declared last, so that it is removed after the processes have ended.
    folder: TempDir,
}

impl Fleet {
    /// Starts a daemon for each host and waits until all are ready.
    pub(crate) async fn start(specs: &[HostSpec]) -> Fleet {
        Fleet::start_with(specs, false).await
    }

    /// Like [`Fleet::start`], with relays between the daemons, so that failure domains can be isolated.
    pub(crate) async fn start_relayed(specs: &[HostSpec]) -> Fleet {
        Fleet::start_with(specs, true).await
    }

    async fn start_with(specs: &[HostSpec], relayed: bool) -> Fleet {
        for _ in 0..START_ATTEMPTS {
            let mut fleet = Fleet::new(specs);
            if relayed {
                fleet.attach_relays().await;
            }
            fleet.write_settings();
            fleet.hosts.iter_mut().for_each(Host::start);
            if fleet.has_started().await {
                fleet.wait_ready().await;
                return fleet;
            }
        }
        panic!("a daemon could not start in {START_ATTEMPTS} attempts");
    }

    fn new(specs: &[HostSpec]) -> Fleet {
        let folder = tempfile::tempdir().expect("a folder");
        let reservation = Reservation::new();
        let hosts = specs.iter().enumerate().map(|(at, spec)| {
            Host::new(
                *spec,
                host_ip(reservation.number, *spec, at),
                folder.path().to_owned(),
            )
        });
        Fleet {
            hosts: hosts.collect(),
            network: Network::default(),
            relays: Vec::new(),
            reservation,
            folder,
        }
    }

    async fn attach_relays(&mut self) {
        for (at, host) in self.hosts.iter_mut().enumerate() {
            let node = Node {
                address: host.peers,
                domain: host.spec.domain,
                process: 0,
            };
            let ip = host_ip(self.reservation.number, host.spec, at);
            let (advertised, tasks) = network::attach(&self.network, node, ip).await;
            host.advertised = advertised;
            host.network = self.network.clone();
            self.relays.push(tasks);
        }
    }

    fn write_settings(&self) {
        let mut peers = String::new();
        for host in &self.hosts {
            peers.push_str(&format!(
                "- {{host: {}, failure_domain: {}, peer_address: '{}', voter: {}}}\n",
                host.spec.name, host.spec.domain, host.advertised, host.spec.voter
            ));
        }
        for host in &self.hosts {
            let key_file = host.folder.join("fleet.key");
            write_secret(&key_file, FLEET_KEY);
            let mut text = format!(
                "fleet: test\nhost: {}\nfailure_domain: {}\ncaller_address: '{}'\noperator_address: '{}'\n\
                 peer_address: '{}'\nfleet_key_file: fleet.key\noperator_key_sha256: ['{}']\npeers:\n{peers}",
                host.spec.name,
                host.spec.domain,
                host.callers,
                host.operators,
                host.peers,
                KeyHash::of(OPERATOR_KEY),
            );
            if host.spec.voter {
                text.push_str(&format!("data_folder: {}.data\n", host.spec.name));
            }
            std::fs::write(host.settings_file(), text).expect("a settings file");
        }
    }

    /// Adds a host without starting it. The daemons that are running do not have it in their settings.
    pub(crate) fn add(&mut self, spec: HostSpec) -> usize {
        let at = self.hosts.len();
        let ip = host_ip(self.reservation.number, spec, at);
        self.hosts
            .push(Host::new(spec, ip, self.folder.path().to_owned()));
        self.write_settings();
        at
    }

    /// Waits until all daemons answer. Returns false if one has ended, most likely because a port is in use.
    async fn has_started(&mut self) -> bool {
        for host in &mut self.hosts {
            let deadline = Instant::now() + TIMEOUT;
            while host.health("/healthz").await.is_none() {
                if host.has_ended() {
                    host.print_log();
                    return false;
                }
                assert!(
                    Instant::now() < deadline,
                    "{} does not answer",
                    host.spec.name
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        true
    }

    pub(crate) async fn wait_ready(&self) {
        for host in &self.hosts {
            host.wait_ready().await;
        }
    }

    /// Returns a client of the operator interface that may use any host.
    pub(crate) fn operator(&self) -> Client {
        let addresses: Vec<SocketAddr> = self.hosts.iter().map(|host| host.operators).collect();
        operator(&addresses)
    }

    /// Submits a change until it is accepted, and returns the version of the resulting configuration.
    pub(crate) async fn change(&self, id: &str, actions: Vec<Action>) -> u64 {
        let client = self.operator();
        let mut change = Change {
            id: name(id),
            base: 0,
            actions,
        };
        let current = eventually("a version", async || client.configuration().await.ok()).await;
        change.base = current.version;
        let mut corrections = 0;
        eventually("the change is accepted", async || {
            match client.submit(&change).await {
                Outcome::Accepted(version) => Some(version),
                Outcome::Unknown { .. } => None,
                Outcome::Refused(refused) if refused.code == api::UNAVAILABLE => None,
                // The host that reported the version did not have the newest configuration.
                Outcome::Refused(refused) if refused.code == "base_version" => {
                    corrections += 1;
                    change.id = name(&format!("{id}.{corrections}"));
                    change.base = refused.version.expect("the current version");
                    None
                }
                Outcome::Refused(refused) => panic!("refused: {refused:?}"),
            }
        })
        .await
    }

    /// Returns the index of the leader, as reported by a host that answers.
    pub(crate) async fn leader(&self) -> usize {
        eventually("a leader", async || {
            let status = self.operator().status().await.ok()?;
            let leader = status.leader?;
            self.hosts
                .iter()
                .position(|host| host.spec.name == leader.as_str())
        })
        .await
    }

    /// Waits until `version` is in force on every host.
    pub(crate) async fn wait_version(&self, version: u64) {
        for host in &self.hosts {
            host.wait_version(version).await;
        }
    }
}

/// The action that puts the account `tester`, whose API key is [`API_KEY`].
pub(crate) fn account(share: u32) -> Action {
    let account = spec::Account::new(name("tester"), share);
    Action::PutAccount(account.with_key(KeyHash::of(API_KEY)))
}

/// Returns a client of the operator interface at `addresses`.
pub(crate) fn operator(addresses: &[SocketAddr]) -> Client {
    let addresses = addresses.iter().map(ToString::to_string).collect();
    let key = Key::new(OPERATOR_KEY).expect("a valid key");
    let timeouts = Timeouts {
        connect: Duration::from_secs(2),
        response: Duration::from_secs(10),
    };
    Client::new(addresses, key, timeouts)
}

/// Writes a file that only its owner can read and write.
pub(crate) fn write_secret(path: &std::path::Path, text: &str) {
    let mut options = File::options();
    options.create(true).truncate(true).write(true).mode(0o600);
    let mut file = options.open(path).expect("a key file");
    std::io::Write::write_all(&mut file, text.as_bytes()).expect("a key file");
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why there is no complete answer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The connection broke, or the answer was not complete in time.
    Broken,
}

/// Sends one request on a new connection and reads the complete answer.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Answer, ExchangeError> {
    exchange_within(address, request, TIMEOUT).await
}

/// Like [`exchange`], with `limit` as the time limit for the connection and again for the answer.
pub(crate) async fn exchange_within(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Answer, ExchangeError> {
    let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(ExchangeError::NotSent);
    };
    let work = async {
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        // The task ends when the sender is dropped or the connection breaks.
        tokio::spawn(connection);
        let response = sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    let answer = tokio::time::timeout(limit, work).await.ok().flatten();
    answer.ok_or(ExchangeError::Broken)
}

impl Answer {
    /// Returns the code and the verdict of an error answer. Panics unless header and body have the same verdict.
    pub(crate) fn error(&self) -> Error {
        let document: serde_json::Value = serde_json::from_slice(&self.body).expect("a JSON error");
        let text = |field: &str| {
            document["error"][field]
                .as_str()
                .unwrap_or_default()
                .to_owned()
        };
        let header = self
            .headers
            .get("x-primrose-verdict")
            .expect("a verdict header");
        let verdict = text("verdict");
        assert_eq!(header.to_str().expect("text"), verdict, "{document}");
        assert!(!text("message").is_empty(), "{document}");
        Error {
            code: text("code"),
            verdict,
        }
    }

    /// Panics unless the request was refused with `status`, `code` and the verdict "not-run".
    pub(crate) fn assert_refused(&self, status: StatusCode, code: &str) {
        let error = self.error();
        assert_eq!(self.status, status, "{error:?}");
        assert_eq!(error.code, code);
        assert_eq!(error.verdict, "not-run", "{code}");
    }
}

/// Code and verdict of an error answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Error {
    pub(crate) code: String,
    pub(crate) verdict: String,
}

impl Host {
    /// Sends a chat request with the given prompt to this host and reads the complete answer.
    pub(crate) async fn send_chat(&self, prompt: &str) -> Answer {
        let request = chat(prompt, 8, false);
        exchange(self.callers, request).await.expect("an answer")
    }
}

/// Returns a chat request for the model `plum`, for at most `tokens` output tokens.
pub(crate) fn chat(prompt: &str, tokens: u32, stream: bool) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": "plum",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    });
    Request::post("/v1/chat/completions")
        .header("authorization", format!("Bearer {API_KEY}"))
        .header("content-type", "application/json")
        .body(Full::from(body.to_string()))
        .expect("a request")
}

/// Returns a non-idempotent call of the plain service `payouts` with an idempotency key.
pub(crate) fn payout_call(nonce: &str, key: &str) -> Request<Full<Bytes>> {
    plain(nonce, |request| {
        request
            .header("x-primrose-non-idempotent", "true")
            .header("idempotency-key", key)
    })
}

/// Returns a call of the plain service `payouts` that may run more than once.
pub(crate) fn idempotent_call(nonce: &str) -> Request<Full<Bytes>> {
    plain(nonce, |request| request)
}

fn plain(nonce: &str, headers: impl Fn(Builder) -> Builder) -> Request<Full<Bytes>> {
    let request =
        Request::post("/plain/payouts/pay").header("authorization", format!("Bearer {API_KEY}"));
    headers(request)
        .body(Full::from(answer::format_nonce(nonce)))
        .expect("a request")
}

/// Starts a simulated backend server in the test process.
pub(crate) async fn stand_in(settings: primrose_engine::Settings) -> Handle {
    primrose_engine::bind(settings)
        .await
        .expect("a simulated server")
}

/// Starts a simulated backend server of the plain service.
pub(crate) async fn plain_stand_in(seed: u64) -> Handle {
    stand_in(primrose_engine::Settings {
        kind: primrose_engine::Kind::Plain,
        seed,
        ..Default::default()
    })
    .await
}

/// The action that adds the backend server at `handle` with eight slots.
pub(crate) fn server(id: &str, pool: &str, domain: &str, handle: &Handle) -> Action {
    server_with_slots(id, pool, domain, handle, 8)
}

/// Like [`server`], with the given number of slots.
pub(crate) fn server_with_slots(
    id: &str,
    pool: &str,
    domain: &str,
    handle: &Handle,
    slots: u32,
) -> Action {
    Action::AddServer(spec::Server {
        name: name(id),
        pool: name(pool),
        address: handle.address,
        domain: name(domain),
        slots,
        checks_fencing: true,
    })
}

/// The actions that put the account of [`account`], the pool `payouts` of a plain service and the pool `chat` of the
/// model `plum`.
pub(crate) fn account_and_pools() -> Vec<Action> {
    vec![
        account(1),
        Action::PutPool(spec::Pool::plain(name("payouts"))),
        Action::PutPool(spec::Pool::model(name("chat"), "plum")),
    ]
}
