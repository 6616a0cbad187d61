//! The main task of a core host: it answers entry hosts and exchanges state with the other core hosts.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_observe::Meter;
use primrose_place::explain::Report;
use primrose_place::placer::{Decision, Reason};
use primrose_place::quarantine::list::{Notice, Record};
use primrose_place::warmup::{self, Bound};
use primrose_place::{Demand, Placer, Server, Settings, drained};
use primrose_wire::datagram::{self, MAX_DATAGRAM_BYTES};
use primrose_wire::key::Key;
use slog::{Logger, info, warn};
use tarpc::context;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::directory::{self, Action, Directory, Freshness};
use crate::drain::List;
use crate::exchange::Schedule;
use crate::message::{Heartbeat, Introduction, Packet, Stamp, Status, Update};
use crate::peers::{self, Links, Published, Question};
use crate::replica::{self, Input, Outgoing, State};
use crate::store::Stored;

/// Interval between heartbeats, and between checks for work that is due.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The leader reads the list of servers again when its directory is older than this, in ms. A draining server must be
/// known everywhere within 3 s, and reading the list costs as much as a quarter of a small answer.
const LEADER_READ_AGE_MS: u64 = 900;

/// Any other host reads the list itself when its directory is older than this, in ms: the leader is down or cannot
/// reach service discovery.
const FALLBACK_AGE_MS: u64 = 2_200;

/// Silence after which an entry host is removed, in ms.
const ENTRY_HOST_EXPIRY_MS: u64 = 3_000;

/// Silence after which a core host is removed, in ms, unless it is a member of the log or a seed.
const CORE_HOST_EXPIRY_MS: u64 = 15_000;

/// Interval at which this host asks to become a member of the log or to be replaced as one, in ms.
const INTRODUCE_INTERVAL_MS: u64 = 250;

/// Interval at which a member asks whether it was removed, in ms. It may have been removed while it was unreachable.
const MEMBER_CHECK_INTERVAL_MS: u64 = 2_000;

/// Why the list of servers or the contents of a cache could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct ReadError(pub String);

/// Reads the list of all backend servers.
pub type ReadServers = Arc<
    dyn Fn() -> Pin<Box<dyn Future<Output = Result<Vec<Server>, ReadError>> + Send>> + Send + Sync,
>;

/// Asks the engine at an address which prompt parts it has cached. Returns the id of each part and its length in
/// tokens.
pub type ReadCachedParts = Arc<
    dyn Fn(SocketAddrV4) -> Pin<Box<dyn Future<Output = Result<Vec<(u64, u32)>, ReadError>> + Send>>
        + Send
        + Sync,
>;

/// Parameters of the task.
pub struct Inputs {
    /// The name of this host, which is its address.
    pub host: Name,
    /// Name of the host's failure domain.
    pub domain: Arc<str>,
    /// The port of all core hosts for datagrams and calls.
    pub port: u16,
    /// The core hosts that the settings name, by their addresses.
    pub seeds: watch::Receiver<Vec<Name>>,
    /// Whether this host may form the fleet: it is a seed, and the whole system starts for the first time.
    pub may_form_fleet: bool,
    /// The fleet's key, which authenticates datagrams and calls.
    pub key: Key,
    /// The replica of the log on this host.
    pub replica: replica::Handle,
    /// Messages that this host's replica sends to others.
    pub outgoing: mpsc::UnboundedReceiver<Outgoing>,
    /// Reads the list of all backend servers.
    pub read_servers: ReadServers,
    /// Reads which prompt parts an engine has cached.
    pub read_cached_parts: ReadCachedParts,
    /// Whether engines may have cached parts that this host does not know of because it was restarted.
    pub is_restarted: bool,
    /// Settings of the placer.
    pub placer_settings: Settings,
    /// The bound on the requests to a server that warms up.
    pub warmup_bound: Bound,
    /// Counters; the names are in [`crate::counter`].
    pub meter: Arc<Meter>,
    /// The log of the process.
    pub log: Logger,
}

/// Where a request would go by the placer of this host.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// Version of the document that the placer has.
    pub version: u64,
    /// Time since the list of servers was requested, in ms; `None` if this host has no list.
    pub list_age_ms: Option<u64>,
    /// What the placer would decide.
    pub report: Report,
}

/// Asks the task.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::Sender<Event>,
}

impl Handle {
    /// Explains where a request would go. Returns `None` if this host has no document.
    pub async fn explain(&self, demand: Demand) -> Option<Explanation> {
        let (reply, explanation) = oneshot::channel();
        // The task ends only with the process.
        let event = Event::Explain { demand, reply };
        self.events.send(event).await.ok()?;
        explanation.await.ok()?
    }
}

/// Binds the UDP and TCP sockets and starts the task.
///
/// # Errors
///
/// Returns the error of a socket, or an error if the host's name is not an address.
pub async fn bind(inputs: Inputs) -> io::Result<Handle> {
    let Some(own) = replica::address_of(&inputs.host) else {
        return Err(io::Error::other("the name of this host is not an address"));
    };
    let address = SocketAddrV4::new(own, inputs.port);
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let (published, directory) = watch::channel(None);
    let (questions, asked) = mpsc::channel(64);
    peers::bind(
        address,
        peers::Inputs {
            key: inputs.key.clone(),
            replica: inputs.replica.clone(),
            directory: directory.clone(),
            questions,
            meter: Arc::clone(&inputs.meter),
        },
    )
    .await?;
    let links = peers::links(inputs.key.clone());
    let (events, received) = mpsc::channel(64);
    let handle = Handle {
        events: events.clone(),
    };
    let task = Task {
        state: inputs.replica.follow_state(),
        newest: inputs.replica.follow_newest(),
        drained_list: inputs.replica.follow_drained(),
        drained: drained::Set::default(),
        placer: Placer::new(inputs.placer_settings.clone()),
        version: None,
        incarnation: rand::random(),
        socket,
        links,
        events,
        published,
        directory,
        entry_hosts: Vec::new(),
        core_hosts: Vec::new(),
        is_updating_directory: false,
        is_introducing: false,
        last_introduction: Time::ZERO,
        must_read_caches: inputs.is_restarted,
        inputs,
    };
    tokio::spawn(task.run(received, asked));
    Ok(handle)
}

/// The result of work that another task did for this one, or a question of another task.
enum Event {
    /// The list of servers, which was asked for at this time, has been read or could not be read.
    ServersRead {
        asked: Time,
        result: Result<Vec<Server>, ReadError>,
    },
    /// The directory of another core host has arrived, whose list was read at this time. `None` if the core host did not
    /// answer, or has no directory.
    DirectoryFetched(Option<(Arc<Directory>, Time)>),
    /// The introductions to the other core hosts have been answered or have timed out.
    Introduced,
    /// An engine has reported which prompt parts it has cached, or did not answer.
    CachedParts {
        server: Arc<str>,
        parts: Result<Vec<(u64, u32)>, ReadError>,
    },
    /// Another core host has answered with what it knows of quarantined prompt parts, or did not answer.
    Quarantine { host: Name, record: Option<Record> },
    /// Asks where a request would go.
    Explain {
        demand: Demand,
        reply: oneshot::Sender<Option<Explanation>>,
    },
}

/// An entry host that sends hellos to this host.
struct EntryHost {
    address: SocketAddr,
    last_heard: Time,
    last_hello: Stamp,
    /// Capacity in the latest `Hello`.
    capacity: u32,
}

/// Another core host that this host knows.
struct CoreHost {
    host: Name,
    address: SocketAddrV4,
    last_heard: Time,
    last_heartbeat: Option<Stamp>,
    /// The exchanges of quarantined prompt parts with it.
    exchange: Schedule,
}

struct Task {
    inputs: Inputs,
    incarnation: u64,
    socket: Arc<UdpSocket>,
    links: Links,
    state: watch::Receiver<State>,
    newest: watch::Receiver<Option<Arc<Stored>>>,
    drained_list: watch::Receiver<Arc<List>>,
    /// The newest set of drained domains that this host's replica or another core host has stated.
    drained: drained::Set,
    placer: Placer,
    /// Version of the placer's document; `None` before the first one. `newest` may hold a later one that was not taken over
    /// yet.
    version: Option<u64>,
    events: mpsc::Sender<Event>,
    published: watch::Sender<Option<(Arc<Directory>, Time)>>,
    directory: Published,
    /// Sorted by address.
    entry_hosts: Vec<EntryHost>,
    /// Sorted by host.
    core_hosts: Vec<CoreHost>,
    is_updating_directory: bool,
    is_introducing: bool,
    /// [`Time::ZERO`] before the first one, which waits for its interval too: a call to a host that starts at the same time
    /// and does not listen yet holds up later calls to it.
    last_introduction: Time,
    /// Whether the caches of engines are still to be read.
    must_read_caches: bool,
}

impl Task {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<Event>,
        mut questions: mpsc::Receiver<Question>,
    ) {
        let mut tick = tokio::time::interval(HEARTBEAT_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let socket = Arc::clone(&self.socket);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut newest = self.newest.clone();
        let mut drained_list = self.drained_list.clone();
        loop {
            tokio::select! {
                received = socket.recv_from(&mut buffer) => {
                    // An error here means that an earlier datagram could not be delivered.
                    if let Ok((length, source)) = received {
                        self.receive(source, &buffer[..length]);
                    }
                }
                Some(outgoing) = self.inputs.outgoing.recv() => self.send_log_messages(outgoing),
                Some(event) = events.recv() => self.handle_event(event),
                Some(question) = questions.recv() => self.answer(question),
                Ok(()) = drained_list.changed() => self.read_drained(),
                Ok(()) = newest.changed() => self.document_changed(),
                _ = tick.tick() => self.tick(),
            }
        }
    }

    fn receive(&mut self, source: SocketAddr, bytes: &[u8]) {
        let Ok(packet) = datagram::open(&self.inputs.key, bytes) else {
            self.inputs.meter.count("datagram_refused");
            return;
        };
        match packet {
            Packet::Hello {
                stamp,
                quarantine,
                capacity,
            } => {
                self.merge_quarantine(&quarantine);
                self.handle_hello(source, stamp, capacity);
            }
            Packet::Place(demand) => {
                let key = demand.key;
                if let Some(decision) = self.place(&demand) {
                    self.send(source, &Packet::Decision { key, decision });
                    self.report_placement();
                }
            }
            Packet::Updates(updates) => self.record_updates(updates),
            Packet::Heartbeat(heartbeat) => self.handle_heartbeat(&heartbeat),
            Packet::Log { sender, messages } => {
                self.inputs
                    .replica
                    .send(Input::Messages { sender, messages });
            }
            Packet::Status(_) | Packet::Decision { .. } => {}
        }
    }

    fn handle_hello(&mut self, source: SocketAddr, stamp: Stamp, capacity: u32) {
        let now = Time::now();
        match self
            .entry_hosts
            .binary_search_by_key(&source, |e| e.address)
        {
            Ok(at) => {
                self.entry_hosts[at].last_heard = now;
                self.entry_hosts[at].last_hello = stamp;
                self.entry_hosts[at].capacity = capacity;
            }
            Err(at) => {
                info!(self.inputs.log, "entry host found"; "address" => %source);
                self.entry_hosts.insert(
                    at,
                    EntryHost {
                        address: source,
                        last_heard: now,
                        last_hello: stamp,
                        capacity,
                    },
                );
            }
        }
        self.send(source, &Packet::Status(self.status(stamp)));
    }

    /// Decides on a request. Without a document, which has the limits of pools, there is no decision: the entry host then
    /// asks another core host, or decides with the document that it has.
    fn place(&mut self, demand: &Demand) -> Option<Decision> {
        if self.version.is_none() {
            self.inputs.meter.count("ask_without_document");
            return None;
        }
        let now = Time::now();
        self.update_warmup_bound(now);
        let (waited, before) = (self.placer.is_waiting(demand.key), self.placer.waiting());
        let decision = self.placer.place(now, demand);
        self.count_waits(&decision, waited, before);
        self.inputs.meter.count(match &decision {
            Decision::Place { .. } => "ask_placed",
            Decision::Wait { .. } => "ask_waiting",
            Decision::Refuse { reason, .. } => match reason {
                Reason::NoServer => "ask_refused_no_server",
                Reason::Overload => "ask_refused_overload",
                Reason::OverShare => "ask_refused_over_share",
                Reason::Deadline => "ask_refused_hopeless_deadline",
                Reason::Quarantined => "ask_refused_quarantined",
                Reason::Drained => "ask_refused_drained",
                Reason::Warming => "ask_refused_warming",
                Reason::Memory => "ask_refused_engine_memory",
            },
        });
        Some(decision)
    }

    /// Reports what has changed with a placement.
    fn report_placement(&mut self) {
        self.report_crossing();
        let found = self.placer.take_quarantined();
        self.report_quarantined(&found);
    }

    fn explain(&self, demand: &Demand) -> Option<Explanation> {
        let now = Time::now();
        Some(Explanation {
            version: self.version?,
            list_age_ms: self.own_directory().map(|(_, read)| now.since(read)),
            report: self.placer.explain(now, demand),
        })
    }

    fn report_crossing(&mut self) {
        for change in self.placer.take_crossing_changes() {
            let (name, text) = if change.is_open {
                (
                    "crossing_opened",
                    "requests leave their busy failure domain",
                )
            } else {
                (
                    "crossing_closed",
                    "requests stay in their failure domain again",
                )
            };
            self.inputs.meter.count(name);
            info!(self.inputs.log, "{}", text; "pool" => %change.pool, "domain" => %change.home,
                "backlog" => change.backlog);
        }
    }

    fn report_figures(&mut self) {
        for change in self.placer.take_figure_changes() {
            let speed = &change.speed;
            self.inputs.meter.count("figures_learnt");
            info!(self.inputs.log, "engine figures learnt"; "pool" => %change.pool,
                "tokens_per_ms" => speed.tokens_per_ms, "ms_per_million_pairs" => speed.ms_per_million_pairs,
                "step_ms" => speed.step_ms, "step_ms_per_thousand" => speed.step_ms_per_thousand,
                "first_ms" => speed.first_ms);
        }
    }

    /// Counts requests that began or ceased to wait. `waited` tells whether the request waited before the decision and
    /// `before` how many requests did.
    fn count_waits(&self, decision: &Decision, waited: bool, before: usize) {
        let change = match decision {
            Decision::Wait { .. } => (!waited).then_some("wait_begun"),
            Decision::Place { .. } => waited.then_some("wait_placed"),
            Decision::Refuse { .. } => waited.then_some("wait_refused"),
        };
        if let Some(name) = change {
            self.inputs.meter.count(name);
        }
        let waits = matches!(decision, Decision::Wait { .. });
        let others = before.saturating_sub(usize::from(waited));
        let remaining = self.placer.waiting().saturating_sub(usize::from(waits));
        for _ in remaining..others {
            self.inputs.meter.count("wait_expired");
        }
    }

    fn record_updates(&mut self, updates: Vec<Update>) {
        let now = Time::now();
        for update in updates {
            match update {
                Update::Assigned { demand, server } => {
                    self.placer.record_assignment(now, &demand, &server)
                }
                Update::FirstEvent(key) => self.placer.record_first_event(now, key),
                Update::End { key, outcome } => self.placer.record_end(now, key, outcome),
                Update::Crashed(server) => self.record_crash(now, &server),
                Update::Broken(server) => self.placer.record_broken(now, &server),
            }
        }
        self.report_figures();
    }

    /// Only the host that leads the log may send to servers that are not warm.
    fn update_warmup_bound(&mut self, now: Time) {
        let is_leading = self.state.borrow().is_leading;
        let bound = is_leading.then_some(self.inputs.warmup_bound);
        self.placer.set_warmup_bound(now, bound);
    }

    /// Logs which servers have begun or ended to warm up.
    fn log_warmup(&mut self) {
        for change in self.placer.take_warmup_changes() {
            let (counter, text) = match change.state {
                warmup::State::Warm => ("server_warm", "backend server is warm"),
                warmup::State::Unconfirmed => {
                    ("server_unconfirmed", "backend server may have become cold")
                }
                warmup::State::Cold => ("server_cold", "backend server is cold"),
            };
            self.inputs.meter.count(counter);
            info!(self.inputs.log, "{}", text; "server" => &*change.server);
        }
    }

    fn record_crash(&mut self, now: Time, server: &str) {
        // Entry hosts ask the leader first. In a quiet hour, no request shows it.
        self.placer.set_first(self.state.borrow().is_leading);
        self.inputs.meter.count("crash_reported");
        let found = self.placer.record_crash(now, server);
        info!(self.inputs.log, "a backend server is reported to have crashed"; "server" => server,
            "suspected_parts" => self.placer.suspected_parts());
        let lost = self.placer.take_lost_suspicions();
        if lost > 0 {
            self.inputs.meter.count("suspicion_dropped");
            warn!(self.inputs.log, "too many prompt parts may have crashed servers"; "dropped" => lost);
        }
        self.report_quarantined(found.as_slice());
    }

    fn report_quarantined(&mut self, found: &[Notice]) {
        for notice in found {
            self.inputs.meter.count("part_quarantined");
            warn!(self.inputs.log, "requests with these prompt parts crash servers and are refused";
                "parts" => notice.parts(), "remaining_ms" => notice.remaining_ms);
        }
        if !found.is_empty() {
            self.report_dropped_quarantines();
            self.send_status_to_all();
        }
    }

    fn report_dropped_quarantines(&mut self) {
        let dropped = self.placer.take_dropped_quarantines();
        for _ in 0..dropped {
            self.inputs.meter.count("quarantine_dropped");
        }
        if dropped > 0 {
            warn!(self.inputs.log, "too many prompt parts crash servers, some are no longer refused"; "parts" => dropped);
        }
    }

    fn merge_quarantine(&mut self, record: &Record) {
        for notice in self.placer.merge_quarantine(Time::now(), record) {
            warn!(self.inputs.log, "another host refuses requests with these prompt parts";
                "parts" => notice.parts(), "remaining_ms" => notice.remaining_ms);
        }
        self.report_dropped_quarantines();
    }

    fn handle_heartbeat(&mut self, heartbeat: &Heartbeat) {
        self.merge_quarantine(&heartbeat.quarantine.latest);
        self.merge_drained(&heartbeat.drained);
        // Without a leader, several hosts are in charge of a part of the requests each.
        let is_leader = self.state.borrow().leader.as_ref() == Some(&heartbeat.host);
        if is_leader {
            self.placer.adopt_figures(Time::now(), &heartbeat.figures);
        }
        self.record_core_host(&heartbeat.host, Some(heartbeat.stamp));
        for host in &heartbeat.core_hosts {
            self.record_core_host(host, None);
        }
        self.exchange_quarantine(&heartbeat.host, heartbeat.quarantine.digest);
        if let Some(freshness) = heartbeat.directory {
            let answers = heartbeat.answers;
            let asked = answers.and_then(|stamp| stamp.sent_by(self.incarnation));
            self.compare_directory(&heartbeat.host, asked, freshness);
        }
    }

    /// Takes over the set of drained domains that this host's replica has published, if it is newer.
    fn read_drained(&mut self) {
        let set = self.drained_list.borrow().set();
        self.merge_drained(&set);
    }

    /// Takes over a set of drained domains if it is newer, and tells all entry hosts at once. A host that has been started
    /// again hears of the set from other hosts before its replica has caught up.
    fn merge_drained(&mut self, set: &drained::Set) {
        if !self.drained.merge(set) {
            return;
        }
        self.placer.set_drained(Time::now(), set);
        self.inputs.meter.count("drained_changed");
        info!(self.inputs.log, "drained failure domains changed"; "domains" => ?set.domains,
            "revision" => set.revision);
        self.send_status_to_all();
    }

    /// Adds a core host to the known ones. `heartbeat` is the stamp of its heartbeat if it has sent one, which shows that
    /// it is up.
    fn record_core_host(&mut self, host: &Name, heartbeat: Option<Stamp>) {
        if *host == self.inputs.host {
            return;
        }
        let Some(address) = replica::address_of(host) else {
            return;
        };
        let now = Time::now();
        match self.find_core_host(host) {
            Ok(at) => {
                if heartbeat.is_some() {
                    self.core_hosts[at].last_heard = now;
                    self.core_hosts[at].last_heartbeat = heartbeat;
                }
            }
            Err(at) => {
                info!(self.inputs.log, "core host found"; "core" => %host);
                self.core_hosts.insert(
                    at,
                    CoreHost {
                        host: host.clone(),
                        address: SocketAddrV4::new(address, self.inputs.port),
                        last_heard: now,
                        last_heartbeat: heartbeat,
                        exchange: Schedule::default(),
                    },
                );
            }
        }
    }

    fn find_core_host(&self, host: &Name) -> Result<usize, usize> {
        self.core_hosts.binary_search_by(|peer| peer.host.cmp(host))
    }

    fn answer(&mut self, question: Question) {
        match question {
            Question::Place { demand, reply } => {
                if let Some(decision) = self.place(&demand) {
                    // The caller may have given up.
                    let _ = reply.send(decision);
                    self.report_placement();
                }
            }
            Question::Update(updates) => self.record_updates(updates),
            Question::Quarantine { record, reply } => {
                self.merge_quarantine(&record);
                // The caller may have given up.
                let _ = reply.send(self.placer.quarantine_record(Time::now()));
            }
        }
    }

    /// Exchanges the lists of quarantined prompt parts with another core host if its list has another digest.
    fn exchange_quarantine(&mut self, host: &Name, digest: u64) {
        let now = Time::now();
        let own = self.placer.quarantine_digest(now);
        let Ok(at) = self.find_core_host(host) else {
            return;
        };
        let peer = &mut self.core_hosts[at];
        if !peer.exchange.begin(now, own, digest) {
            return;
        }
        self.inputs.meter.count("quarantine_exchanged");
        let record = self.placer.quarantine_record(now);
        let (links, events) = (self.links.clone(), self.events.clone());
        let (host, address) = (host.clone(), peer.address);
        tokio::spawn(async move {
            let record = peers::exchange_quarantine(&links, address, record).await;
            // The receiving task ends only with the process.
            let _ = events.send(Event::Quarantine { host, record }).await;
        });
    }

    fn compare_directory(&mut self, host: &Name, asked: Option<Time>, freshness: Freshness) {
        match directory::compare(asked, self.own_directory(), freshness) {
            Action::Keep => {}
            Action::Renew(read) => self.published.send_modify(|published| {
                if let Some((_, own_read)) = published {
                    *own_read = read;
                    self.placer.record_list_read(Time::now(), read);
                }
            }),
            Action::Fetch => self.fetch_directory(host),
        }
    }

    fn own_directory(&self) -> Option<(u64, Time)> {
        let published = self.directory.borrow();
        published
            .as_ref()
            .map(|(directory, read)| (directory.fingerprint(), *read))
    }

    fn fetch_directory(&mut self, host: &Name) {
        let Some(address) = replica::address_of(host) else {
            return;
        };
        if std::mem::replace(&mut self.is_updating_directory, true) {
            return;
        }
        let address = SocketAddrV4::new(address, self.inputs.port);
        let (links, events) = (self.links.clone(), self.events.clone());
        tokio::spawn(async move {
            let fetched = peers::directory(&links, address).await;
            // The receiving task ends only with the process.
            let _ = events.send(Event::DirectoryFetched(fetched)).await;
        });
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ServersRead { asked, result } => {
                self.is_updating_directory = false;
                match result {
                    Ok(mut servers) => {
                        self.inputs.meter.count("directory_read");
                        if let Some(stored) = &*self.newest.borrow() {
                            warmup::clear_unused(&stored.document, &mut servers);
                        }
                        self.publish_if_newer(Arc::new(Directory::new(servers)), asked);
                    }
                    Err(error) => {
                        self.inputs.meter.count("directory_read_failed");
                        warn!(self.inputs.log, "cannot read the list of servers"; "error" => %error);
                    }
                }
            }
            Event::DirectoryFetched(fetched) => {
                self.is_updating_directory = false;
                if let Some((directory, read)) = fetched
                    && self.publish_if_newer(directory, read)
                {
                    self.inputs.meter.count("directory_fetched");
                }
            }
            Event::Introduced => self.is_introducing = false,
            Event::Quarantine { host, record } => {
                if let Ok(at) = self.find_core_host(&host) {
                    self.core_hosts[at].exchange.end();
                }
                self.merge_quarantine(&record.unwrap_or_default());
            }
            Event::Explain { demand, reply } => {
                // The operator may have closed the connection meanwhile.
                let _ = reply.send(self.explain(&demand));
            }
            Event::CachedParts { server, parts } => match parts {
                Ok(parts) => {
                    info!(self.inputs.log, "read which prompt parts an engine has cached"; "server" => &*server,
                        "parts" => parts.len());
                    self.inputs.meter.count("kept_read");
                    self.placer.record_cached_parts(&server, &parts);
                }
                Err(error) => {
                    self.inputs.meter.count("kept_read_failed");
                    warn!(self.inputs.log, "cannot read which prompt parts an engine has cached"; "server" => &*server,
                        "error" => %error);
                }
            },
        }
    }

    /// Publishes a directory if its list was read later than that of the published one. Returns whether it was.
    fn publish_if_newer(&mut self, directory: Arc<Directory>, read: Time) -> bool {
        let is_newer = self.own_directory().is_none_or(|(_, own)| read > own);
        if is_newer {
            self.publish(directory, read);
        }
        is_newer
    }

    fn publish(&mut self, directory: Arc<Directory>, read: Time) {
        let is_same = self
            .own_directory()
            .is_some_and(|(fingerprint, _)| fingerprint == directory.fingerprint());
        if !is_same {
            let leaving = directory.servers().iter().filter(|s| s.draining).count();
            info!(self.inputs.log, "backend servers changed"; "servers" => directory.servers().len(),
                "leaving" => leaving, "stamp" => directory.fingerprint());
            self.inputs.meter.count("directory_changed");
            self.placer.set_servers(directory.servers());
        }
        self.placer.record_list_read(Time::now(), read);
        self.log_warmup();
        self.published.send_replace(Some((directory, read)));
        if !is_same {
            self.read_caches();
            self.send_status_to_all();
        }
    }

    fn document_changed(&mut self) {
        if let Some(stored) = &*self.newest.borrow() {
            self.placer.set_document(&stored.document);
            self.version = Some(stored.document.version);
            info!(self.inputs.log, "document in force"; "version" => stored.document.version,
                "routes" => stored.document.routes.len());
        }
        self.read_caches();
        self.send_status_to_all();
    }

    /// Reads the caches of all engines once. Otherwise a restarted host would assume that no prompt is cached,
    /// predict long waits and refuse requests that engines could serve at once.
    fn read_caches(&mut self) {
        if !self.must_read_caches {
            return;
        }
        for server in self.placer.engines() {
            self.must_read_caches = false;
            let (id, address) = (Arc::clone(&server.id), server.address);
            let (read_cached_parts, events) = (
                Arc::clone(&self.inputs.read_cached_parts),
                self.events.clone(),
            );
            tokio::spawn(async move {
                let parts = read_cached_parts(address).await;
                // The receiving task ends only with the process.
                let _ = events.send(Event::CachedParts { server: id, parts }).await;
            });
        }
    }

    fn send_status_to_all(&mut self) {
        for entry in &self.entry_hosts {
            self.send(
                entry.address,
                &Packet::Status(self.status(entry.last_hello)),
            );
        }
    }

    /// The status for an entry host whose latest `Hello` has the stamp `answers`.
    fn status(&self, answers: Stamp) -> Status {
        let state = self.state.borrow();
        let version = self
            .newest
            .borrow()
            .as_ref()
            .map_or(0, |stored| stored.document.version);
        let capacities = self.entry_hosts.iter().map(|entry| entry.capacity);
        // After the version: a status must not state a document without the domains that were drained before it.
        let mut drained = self.drained.clone();
        drained.merge(&self.drained_list.borrow().set());
        Status {
            host: self.inputs.host.clone(),
            incarnation: self.incarnation,
            domain: Arc::clone(&self.inputs.domain),
            core_hosts: self.known_core_hosts(),
            leader: state.leader.clone(),
            term: state.term,
            version,
            directory: self.freshness(),
            answers,
            entry_hosts: self.entry_hosts.len() as u32,
            smallest_capacity: capacities.clone().min().unwrap_or(0),
            largest_capacity: capacities.max().unwrap_or(0),
            quarantine: self.placer.quarantine_summary(Time::now()),
            crossing: self.placer.crossing_shares(Time::now()),
            figures: self.placer.figures(Time::now()),
            drained,
        }
    }

    fn known_core_hosts(&self) -> Vec<Name> {
        self.core_hosts
            .iter()
            .map(|peer| peer.host.clone())
            .collect()
    }

    fn freshness(&self) -> Option<Freshness> {
        let now = Time::now();
        self.own_directory()
            .map(|(fingerprint, read)| Freshness::new(now, fingerprint, read))
    }

    fn tick(&mut self) {
        let now = Time::now();
        let seeds = self.inputs.seeds.borrow().clone();
        for host in &seeds {
            self.record_core_host(host, None);
        }
        let members = self.state.borrow().members.clone();
        for member in &members {
            self.record_core_host(&member.host, None);
        }
        let is_needed =
            |host: &Name| seeds.contains(host) || members.iter().any(|member| member.host == *host);
        self.core_hosts.retain(|peer| {
            now.since(peer.last_heard) < CORE_HOST_EXPIRY_MS || is_needed(&peer.host)
        });
        self.entry_hosts
            .retain(|entry| now.since(entry.last_heard) < ENTRY_HOST_EXPIRY_MS);
        for peer in &self.core_hosts {
            let heartbeat = Packet::Heartbeat(Heartbeat {
                host: self.inputs.host.clone(),
                core_hosts: self.known_core_hosts(),
                directory: self.freshness(),
                stamp: Stamp::now(self.incarnation),
                answers: peer.last_heartbeat,
                quarantine: self.placer.quarantine_summary(now),
                figures: self.placer.figures(now),
                drained: self.drained.clone(),
            });
            self.send(SocketAddr::V4(peer.address), &heartbeat);
        }
        self.update_warmup_bound(now);
        self.log_warmup();
        self.read_servers_if_due(now);
        self.introduce_if_due(now);
    }

    fn read_servers_if_due(&mut self, now: Time) {
        let limit = if self.state.borrow().is_leading {
            LEADER_READ_AGE_MS
        } else {
            FALLBACK_AGE_MS
        };
        let age = self
            .own_directory()
            .map_or(u64::MAX, |(_, read)| now.since(read));
        if age < limit || std::mem::replace(&mut self.is_updating_directory, true) {
            return;
        }
        let (read_servers, events) = (Arc::clone(&self.inputs.read_servers), self.events.clone());
        let asked = Time::now();
        tokio::spawn(async move {
            let result = read_servers().await;
            // The receiving task ends only with the process.
            let _ = events.send(Event::ServersRead { asked, result }).await;
        });
    }

    fn introduce_if_due(&mut self, now: Time) {
        let state = self.state.borrow().clone();
        let own = state.introduction.replica;
        let is_member = state.members.iter().any(|member| member.id == own);
        let interval = if is_member && !state.introduction.is_leaving {
            MEMBER_CHECK_INTERVAL_MS
        } else {
            INTRODUCE_INTERVAL_MS
        };
        if self.is_introducing || now.since(self.last_introduction) < interval {
            return;
        }
        self.is_introducing = true;
        self.last_introduction = now;
        let hosts = self.core_hosts.iter().map(|peer| peer.address).collect();
        let may_form_fleet = self.inputs.may_form_fleet;
        let seeds = self.inputs.seeds.borrow().clone();
        let (links, events) = (self.links.clone(), self.events.clone());
        let replica = self.inputs.replica.clone();
        tokio::spawn(async move {
            let others = introduce(&links, hosts, &state.introduction, &replica).await;
            if may_form_fleet && !is_member {
                form_fleet_if_lowest(&state.introduction, &others, &seeds, &replica);
            }
            // The receiving task ends only with the process.
            let _ = events.send(Event::Introduced).await;
        });
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        match datagram::seal(&self.inputs.key, packet) {
            Ok(bytes) => {
                // If the socket's buffer is full, the datagram is lost, as it may be in the network.
                let _ = self.socket.try_send_to(&bytes, to);
            }
            Err(error) => warn!(self.inputs.log, "datagram not sent"; "error" => %error),
        }
    }

    fn send_log_messages(&self, outgoing: Outgoing) {
        let Some(address) = replica::address_of(&outgoing.host) else {
            return;
        };
        let address = SocketAddrV4::new(address, self.inputs.port);
        let packet = Packet::Log {
            sender: self.inputs.host.clone(),
            messages: outgoing.messages,
        };
        if let Ok(bytes) = datagram::seal(&self.inputs.key, &packet) {
            // If the socket's buffer is full, the datagram is lost, as it may be in the network.
            let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(address));
            return;
        }
        let Packet::Log { sender, messages } = packet else {
            return;
        };
        let links = self.links.clone();
        tokio::spawn(async move {
            // If the call fails, the consensus protocol sends the messages again.
            let _: Option<()> = peers::call(&links, address, |client| async move {
                client.deliver(context::current(), sender, messages).await
            })
            .await;
        });
    }
}

/// Introduces this host's replica to all core hosts at once and returns the introductions of the replicas that
/// answered. If an answer says that this host's replica was permanently removed, the replica is
/// reset and starts again as a new one.
async fn introduce(
    links: &Links,
    hosts: Vec<SocketAddrV4>,
    own: &Introduction,
    replica: &replica::Handle,
) -> Vec<Introduction> {
    let calls = hosts.into_iter().map(|address| {
        let own = own.clone();
        peers::call(links, address, |client| async move {
            client.introduce(context::current(), own).await
        })
    });
    let answers = futures::future::join_all(calls).await;
    let mut others = Vec::new();
    for answer in answers.into_iter().flatten() {
        if answer.is_retired && !own.is_empty {
            replica.send(Input::Reset);
        }
        others.push(answer.introduction);
    }
    others
}

/// Forms the fleet if all seeds have answered that their disks are empty and this host has the lowest name of the
/// seeds that may form it.
fn form_fleet_if_lowest(
    own: &Introduction,
    others: &[Introduction],
    seeds: &[Name],
    replica: &replica::Handle,
) {
    let mut replicas: Vec<&Introduction> = others
        .iter()
        .filter(|other| seeds.contains(&other.host))
        .collect();
    replicas.push(own);
    let is_complete = replicas.len() == seeds.len() && seeds.contains(&own.host);
    let all_empty = replicas.iter().all(|replica| replica.is_empty);
    let lowest = replicas
        .iter()
        .filter(|replica| replica.is_first_start)
        .map(|replica| &replica.host)
        .min();
    if is_complete && all_empty && lowest == Some(&own.host) {
        replica.send(Input::Form(replicas.into_iter().cloned().collect()));
    }
}
