//! Starts daemons as processes, sends them signals, and talks to them.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
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

/// Upper limit of every wait: far more than any of them takes.
pub(crate) const LIMIT: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(20);

/// Ports of every daemon, each on an address of its own. They lie below the ports that the kernel hands out: a port that
/// is learnt by binding it and freed again can stay in use while another test starts a process.
const CALLER_PORT: u16 = 7201;
const OPERATOR_PORT: u16 = 7202;
const PEER_PORT: u16 = 7203;

const FLEET_KEY: &str = "a fleet key for tests, 32 bytes or more";
pub(crate) const OPERATOR_KEY: &str = "operator-key-of-the-tests";

/// The API key of the account that [`Fleet::set_up`] adds.
pub(crate) const API_KEY: &str = "api-key-of-the-tests";

/// Starts of a fleet one of whose addresses another process uses.
const START_ATTEMPTS: u32 = 5;

/// What tells a host from the others.
#[derive(Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) name: &'static str,
    pub(crate) domain: &'static str,
    pub(crate) voter: bool,
}

pub(crate) const fn voter(name: &'static str, domain: &'static str) -> Plan {
    Plan {
        name,
        domain,
        voter: true,
    }
}

pub(crate) const fn follower(name: &'static str, domain: &'static str) -> Plan {
    Plan {
        name,
        domain,
        voter: false,
    }
}

/// Three voters in three failure domains.
pub(crate) const VOTERS: [Plan; 3] = [voter("v1", "d1"), voter("v2", "d2"), voter("v3", "d3")];

/// The seed of a test, printed for a failure to be repeated.
pub(crate) fn seed(default: u64) -> u64 {
    let seed = number("PRIMROSE_TEST_SEED").unwrap_or(default);
    println!("seed {seed}");
    seed
}

/// The factor by which histories grow in a longer run.
pub(crate) fn rounds() -> usize {
    number("PRIMROSE_TEST_ROUNDS").unwrap_or(1) as usize
}

fn number(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("the variable holds a number"))
}

pub(crate) fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// Waits until `probe` returns a value; `what` says what was waited for.
pub(crate) async fn eventually<T>(what: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + LIMIT;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < deadline, "{what}: not within {LIMIT:?}");
        tokio::time::sleep(POLL).await;
    }
}

/// One daemon, its addresses and its files.
pub(crate) struct Host {
    pub(crate) plan: Plan,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// Where the others reach it: a relay, or the same as `peers`.
    listed: SocketAddr,
    network: Network,
    folder: PathBuf,
    process: Option<Child>,
}

impl Host {
    fn new(plan: Plan, ip: Ipv4Addr, folder: PathBuf) -> Host {
        let peers = (ip, PEER_PORT).into();
        Host {
            plan,
            callers: (ip, CALLER_PORT).into(),
            operators: (ip, OPERATOR_PORT).into(),
            peers,
            listed: peers,
            network: Network::default(),
            folder,
            process: None,
        }
    }

    pub(crate) fn data_folder(&self) -> PathBuf {
        self.folder.join(format!("{}.data", self.plan.name))
    }

    fn settings_file(&self) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.plan.name))
    }

    fn log_file(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.plan.name))
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

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let process = self.process.as_ref().expect("a running daemon");
        kill_process(Pid::from_child(process), signal).expect("the signal is sent");
    }

    /// Ends the process with SIGKILL, if it runs.
    pub(crate) fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // It may have ended by itself.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        let Some(process) = &mut self.process else {
            return true;
        };
        process
            .try_wait()
            .expect("the state of a child is known")
            .is_some()
    }

    /// A client of this host's interface for operators.
    pub(crate) fn operator(&self) -> Client {
        operator(&[self.operators])
    }

    /// The status of `GET path` at the operators' address, or none if the daemon does not answer.
    pub(crate) async fn health(&self, path: &str) -> Option<StatusCode> {
        let request = Request::get(path).body(Full::default()).expect("a request");
        Some(exchange(self.operators, request).await.ok()?.status)
    }

    pub(crate) async fn wait_ready(&self) {
        let what = format!("{} is ready", self.plan.name);
        eventually(&what, async || {
            (self.health("/readyz").await == Some(StatusCode::OK)).then_some(())
        })
        .await;
    }

    /// The version in force on this host, or none if it has none or does not answer.
    pub(crate) async fn version(&self) -> Option<u64> {
        let configuration = self.operator().configuration().await.ok()?;
        Some(configuration.version)
    }

    pub(crate) async fn wait_version(&self, least: u64) {
        let what = format!("{} has version {least}", self.plan.name);
        eventually(&what, async || {
            self.version().await.filter(|version| *version >= least)
        })
        .await;
    }

    /// The value of a counter.
    pub(crate) async fn counter(&self, name: &str) -> u64 {
        let counters = self.operator().counters().await.expect("counters");
        let found = counters.counters.iter().find(|one| one.name == name);
        found.expect("a declared counter").value
    }

    /// Waits until the current process has logged `text`.
    pub(crate) async fn wait_logged(&self, text: &str) {
        let deadline = Instant::now() + LIMIT;
        loop {
            let log = std::fs::read_to_string(self.log_file()).expect("a log file");
            let (_, current) = log.rsplit_once("started, ").unwrap_or_default();
            if current.contains(text) {
                return;
            }
            assert!(Instant::now() < deadline, "{} logs {text}", self.plan.name);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn print_log(&self) {
        let text = std::fs::read_to_string(self.log_file()).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        println!("--- last lines of {}", self.plan.name);
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

/// The second byte of the loopback addresses of one fleet, so that fleets seldom meet on an address.
fn number_of_fleet() -> u8 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    (2 + (std::process::id().wrapping_mul(7) + next) % 250) as u8
}

/// The address of host `at`: 127.fleet.domain.host.
fn host_ip(number: u8, plan: Plan, at: usize) -> Ipv4Addr {
    let domain = plan.domain.as_bytes()[1] - b'0';
    Ipv4Addr::new(127, number, domain, at as u8 + 1)
}

/// Daemons that form one fleet. Dropping it ends them all.
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    number: u8,
    /// Cuts failure domains off, if the fleet was started with relays.
    pub(crate) network: Network,
    relays: Vec<JoinSet<()>>,
    /// Removed after the processes have ended.
    folder: TempDir,
}

impl Fleet {
    /// Starts a daemon for each plan and waits until all are ready.
    pub(crate) async fn start(plans: &[Plan]) -> Fleet {
        Fleet::start_with(plans, false).await
    }

    /// As [`Fleet::start`], with relays between the daemons, so that failure domains can be cut off.
    pub(crate) async fn start_relayed(plans: &[Plan]) -> Fleet {
        Fleet::start_with(plans, true).await
    }

    async fn start_with(plans: &[Plan], relayed: bool) -> Fleet {
        for _ in 0..START_ATTEMPTS {
            let mut fleet = Fleet::plan(plans);
            if relayed {
                fleet.attach().await;
            }
            fleet.write_settings();
            fleet.hosts.iter_mut().for_each(Host::start);
            if fleet.has_started().await {
                fleet.wait_ready().await;
                return fleet;
            }
        }
        panic!("the ports were taken {START_ATTEMPTS} times");
    }

    fn plan(plans: &[Plan]) -> Fleet {
        let folder = tempfile::tempdir().expect("a folder");
        let number = number_of_fleet();
        let hosts = plans.iter().enumerate().map(|(at, plan)| {
            Host::new(*plan, host_ip(number, *plan, at), folder.path().to_owned())
        });
        Fleet {
            hosts: hosts.collect(),
            number,
            network: Network::default(),
            relays: Vec::new(),
            folder,
        }
    }

    async fn attach(&mut self) {
        for (at, host) in self.hosts.iter_mut().enumerate() {
            let node = Node {
                address: host.peers,
                domain: host.plan.domain,
                process: 0,
            };
            let ip = host_ip(self.number, host.plan, at);
            let (listed, tasks) = network::attach(&self.network, node, ip).await;
            host.listed = listed;
            host.network = self.network.clone();
            self.relays.push(tasks);
        }
    }

    fn write_settings(&self) {
        let mut peers = String::new();
        for host in &self.hosts {
            peers.push_str(&format!(
                "- {{host: {}, failure_domain: {}, peer_address: '{}', voter: {}}}\n",
                host.plan.name, host.plan.domain, host.listed, host.plan.voter
            ));
        }
        for host in &self.hosts {
            let key_file = host.folder.join("fleet.key");
            write_secret(&key_file, FLEET_KEY);
            let mut text = format!(
                "fleet: test\nhost: {}\nfailure_domain: {}\ncaller_address: '{}'\noperator_address: '{}'\n\
                 peer_address: '{}'\nfleet_key_file: fleet.key\noperator_key_sha256: ['{}']\npeers:\n{peers}",
                host.plan.name,
                host.plan.domain,
                host.callers,
                host.operators,
                host.peers,
                KeyHash::of(OPERATOR_KEY),
            );
            if host.plan.voter {
                text.push_str(&format!("data_folder: {}.data\n", host.plan.name));
            }
            std::fs::write(host.settings_file(), text).expect("a settings file");
        }
    }

    /// Adds a host that is not in the settings of the others and does not start it.
    pub(crate) fn add(&mut self, plan: Plan) -> usize {
        let at = self.hosts.len();
        let ip = host_ip(self.number, plan, at);
        self.hosts
            .push(Host::new(plan, ip, self.folder.path().to_owned()));
        self.write_settings();
        at
    }

    /// Whether all daemons serve; false if one has ended, most likely because a port was taken.
    async fn has_started(&mut self) -> bool {
        for host in &mut self.hosts {
            let deadline = Instant::now() + LIMIT;
            while host.health("/healthz").await.is_none() {
                if host.has_ended() {
                    host.print_log();
                    return false;
                }
                assert!(Instant::now() < deadline, "{} starts", host.plan.name);
                tokio::time::sleep(POLL).await;
            }
        }
        true
    }

    pub(crate) async fn wait_ready(&self) {
        for host in &self.hosts {
            host.wait_ready().await;
        }
    }

    /// A client of all hosts.
    pub(crate) fn operator(&self) -> Client {
        let addresses: Vec<SocketAddr> = self.hosts.iter().map(|host| host.operators).collect();
        operator(&addresses)
    }

    /// Submits a change until its outcome is known, and returns the version that it made.
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
                // The first host that answered was behind.
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

    /// The leader, as `host` sees it.
    pub(crate) async fn leader(&self) -> usize {
        eventually("a leader", async || {
            let status = self.operator().status().await.ok()?;
            let leader = status.leader?;
            self.hosts
                .iter()
                .position(|host| host.plan.name == leader.as_str())
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

/// An account whose API key is [`API_KEY`].
pub(crate) fn account(share: u32) -> Action {
    let account = spec::Account::new(name("tester"), share);
    Action::PutAccount(account.with_key(KeyHash::of(API_KEY)))
}

/// A client of the hosts at `addresses`.
pub(crate) fn operator(addresses: &[SocketAddr]) -> Client {
    let addresses = addresses.iter().map(ToString::to_string).collect();
    let key = Key::new(OPERATOR_KEY).expect("a valid key");
    let timeouts = Timeouts {
        connect: Duration::from_secs(2),
        response: Duration::from_secs(10),
    };
    Client::new(addresses, key, timeouts)
}

/// Writes a file that only its owner can read.
pub(crate) fn write_secret(path: &std::path::Path, text: &str) {
    let mut options = File::options();
    options.create(true).truncate(true).write(true).mode(0o600);
    let mut file = options.open(path).expect("a key file");
    std::io::Write::write_all(&mut file, text.as_bytes()).expect("a key file");
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An exchange without a whole answer.
#[derive(Debug)]
pub(crate) enum Lost {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The connection broke or nothing came in time.
    Broken,
}

/// Sends one request on a connection of its own and reads the whole answer.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Answer, Lost> {
    exchange_within(address, request, LIMIT).await
}

/// As [`exchange`], but gives up after `limit`.
pub(crate) async fn exchange_within(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Answer, Lost> {
    let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(Lost::NotSent);
    };
    let work = async {
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        // It ends when the sender is dropped or the connection breaks.
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
    answer.ok_or(Lost::Broken)
}

impl Answer {
    /// The code and the verdict of an error answer; the header and the body must tell the same verdict.
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

    /// Checks that the request was refused as not run with `status` and `code`.
    pub(crate) fn assert_refused(&self, status: StatusCode, code: &str) {
        let error = self.error();
        assert_eq!(self.status, status, "{error:?}");
        assert_eq!(error.code, code);
        assert_eq!(error.verdict, "not-run", "{code}");
    }
}

/// An error answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Error {
    pub(crate) code: String,
    pub(crate) verdict: String,
}

impl Host {
    /// Sends a chat request whose prompt is `prompt` and reads the whole answer.
    pub(crate) async fn call_chat(&self, prompt: &str) -> Answer {
        let request = chat(prompt, 8, false);
        exchange(self.callers, request).await.expect("an answer")
    }
}

/// A chat request for the model `plum`.
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

/// A call of the plain service `payouts` that must not be repeated.
pub(crate) fn payout(nonce: &str, key: &str) -> Request<Full<Bytes>> {
    plain(nonce, |request| {
        request
            .header("x-primrose-non-idempotent", "true")
            .header("idempotency-key", key)
    })
}

/// A call of the plain service `payouts` that may be repeated.
pub(crate) fn question(nonce: &str) -> Request<Full<Bytes>> {
    plain(nonce, |request| request)
}

fn plain(nonce: &str, headers: impl Fn(Builder) -> Builder) -> Request<Full<Bytes>> {
    let request =
        Request::post("/plain/payouts/pay").header("authorization", format!("Bearer {API_KEY}"));
    headers(request)
        .body(Full::from(answer::format_nonce(nonce)))
        .expect("a request")
}

/// Starts a stand-in in the test process.
pub(crate) async fn stand_in(settings: primrose_engine::Settings) -> Handle {
    primrose_engine::bind(settings).await.expect("a stand-in")
}

/// A stand-in for the plain service.
pub(crate) async fn plain_stand_in(seed: u64) -> Handle {
    stand_in(primrose_engine::Settings {
        kind: primrose_engine::Kind::Plain,
        seed,
        ..Default::default()
    })
    .await
}

/// The change that adds a backend server.
pub(crate) fn server(id: &str, pool: &str, domain: &str, handle: &Handle) -> Action {
    server_with_slots(id, pool, domain, handle, 8)
}

/// As [`server`], with another number of slots.
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

/// The account, the pool `payouts` of a plain service and the pool `chat` of the model `plum`.
pub(crate) fn pools() -> Vec<Action> {
    vec![
        account(1),
        Action::PutPool(spec::Pool::plain(name("payouts"))),
        Action::PutPool(spec::Pool::model(name("chat"), "plum")),
    ]
}
