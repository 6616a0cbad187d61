//! The task that keeps an entry host in touch with the core hosts.
//!
//! It follows the newest document and directory, asks for servers and tells what became of requests. While no core host
//! answers, it places requests with what it knew last.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_fleet::directory::{self, Directory, Freshness, Step};
use primrose_fleet::ledger::address_of;
use primrose_fleet::message::{Note, Packet, Welcome};
use primrose_fleet::peers::{self, Links};
use primrose_observe::Meter;
use primrose_place::demand::{Demand, Key};
use primrose_place::placer::Decision;
use primrose_place::{Placer, Settings, placer};
use primrose_route::{Document, Table};
use primrose_wire::datagram::{self, MAX_DATAGRAM_BYTES};
use primrose_wire::key::Key as FleetKey;
use slog::{Logger, info, warn};
use tarpc::context;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};

/// Interval at which core hosts are greeted.
const HELLO_INTERVAL: Duration = Duration::from_millis(250);

/// A core host that was silent for so long is not asked, in ms: a few greetings may be lost.
const SILENT_MS: u64 = 800;

/// A core host that was silent for so long, and that no other one names, is forgotten, in ms.
const FORGET_MS: u64 = 20_000;

/// Time for the answer to a question, in ms: a few round trips between failure domains.
const ASK_TIMEOUT_MS: u64 = 40;

/// Interval at which unanswered questions are looked for.
const ASK_CHECK: Duration = Duration::from_millis(20);

/// How often a question is asked before the host decides for itself.
const ASKS: usize = 2;

/// A core host that left so many questions in a row unanswered is not asked for a while.
const MISSES: u32 = 2;

/// How long such a host is not asked, in ms.
const SUSPECT_MS: u64 = 600;

/// Notes are sent together after this time. It delays what placers know, and is well below the time to read a prompt.
const NOTE_DELAY: Duration = Duration::from_millis(12);

/// So many notes are sent at once; more would not fit a datagram.
const NOTES: usize = 8;

/// Core hosts that are told what becomes of requests: the one that places, and those that would take over.
const TOLD: usize = 3;

/// What the task needs.
pub struct Inputs {
    /// The address for datagrams.
    pub address: SocketAddrV4,
    /// The failure domain of this host.
    pub domain: Arc<str>,
    /// The port of core hosts.
    pub core_port: u16,
    /// Core hosts that the settings name.
    pub seeds: watch::Receiver<Vec<Name>>,
    /// Authenticates datagrams and calls.
    pub key: FleetKey,
    /// Limits of the placer that is used while no core host answers.
    pub placing: Settings,
    /// Counters.
    pub meter: Arc<Meter>,
    /// Log.
    pub log: Logger,
}

/// A running link.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    table: watch::Receiver<Option<Arc<Table>>>,
    state: watch::Receiver<State>,
    /// Identifies this life of the process.
    pub incarnation: u64,
}

/// What is known about the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    /// Whether backend servers are known.
    pub has_directory: bool,
    /// Entry hosts of the fleet.
    pub entries: u32,
}

enum Command {
    Ask {
        demand: Arc<Demand>,
        reply: oneshot::Sender<Decision>,
    },
    Note(Note),
}

impl Handle {
    /// The document in force; `None` before the first one.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// What is known about the fleet.
    pub fn state(&self) -> State {
        *self.state.borrow()
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.state().has_directory && self.table.borrow().is_some()
    }

    /// Asks for a server. Always returns a decision: if no core host answers, that of this host.
    pub async fn place(&self, demand: &Arc<Demand>) -> Decision {
        let (reply, decision) = oneshot::channel();
        // The task ends only with the process.
        let _ = self.commands.send(Command::Ask {
            demand: Arc::clone(demand),
            reply,
        });
        decision.await.unwrap_or(Decision::Refuse {
            reason: placer::Reason::NoServer,
            retry_after_ms: ASK_TIMEOUT_MS as u32,
            wait_ms: 0,
        })
    }

    /// Tells what became of a request.
    pub fn note(&self, note: Note) {
        // The task ends only with the process.
        let _ = self.commands.send(Command::Note(note));
    }
}

/// Binds the socket and starts the task.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn bind(inputs: Inputs) -> io::Result<Handle> {
    let socket = Arc::new(UdpSocket::bind(inputs.address).await?);
    let (commands, received) = mpsc::unbounded_channel();
    let (table_sender, table) = watch::channel(None);
    let (state_sender, state) = watch::channel(State {
        has_directory: false,
        entries: 1,
    });
    let (events, happened) = mpsc::channel(64);
    let incarnation = rand::random();
    let link = Link {
        links: peers::links(inputs.key.clone()),
        placer: Placer::new(inputs.placing.clone()),
        socket,
        events,
        table: table_sender,
        state: state_sender,
        cores: Vec::new(),
        asked: Vec::new(),
        active: Vec::new(),
        notes: Vec::new(),
        flush_at: None,
        directory: None,
        is_fetching_document: false,
        is_fetching_directory: false,
        inputs,
    };
    tokio::spawn(link.run(received, happened));
    Ok(Handle {
        commands,
        table,
        state,
        incarnation,
    })
}

enum Event {
    Document(Option<Arc<Document>>),
    Directory(Option<(Arc<Directory>, Freshness)>),
}

/// A core host.
struct Core {
    host: Name,
    address: SocketAddrV4,
    welcome: Option<Welcome>,
    heard: Time,
    /// When it was last named by another host or by the settings.
    named: Time,
    misses: u32,
    suspect_until: Time,
}

/// A question that waits for its answer.
struct Asked {
    demand: Arc<Demand>,
    core: Name,
    sent: Time,
    /// How often it has been asked before.
    round: usize,
    reply: oneshot::Sender<Decision>,
}

/// A request that was sent and has not ended.
struct Active {
    key: Key,
    demand: Demand,
    server: Arc<str>,
    has_first: bool,
}

struct Link {
    inputs: Inputs,
    socket: Arc<UdpSocket>,
    links: Links,
    placer: Placer,
    events: mpsc::Sender<Event>,
    table: watch::Sender<Option<Arc<Table>>>,
    state: watch::Sender<State>,
    /// Sorted by host.
    cores: Vec<Core>,
    asked: Vec<Asked>,
    /// Sorted by key.
    active: Vec<Active>,
    notes: Vec<Note>,
    flush_at: Option<Instant>,
    /// Stamp of the directory and when the list was read.
    directory: Option<(u64, Time)>,
    is_fetching_document: bool,
    is_fetching_directory: bool,
}

impl Link {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut events: mpsc::Receiver<Event>,
    ) {
        let mut tick = tokio::time::interval(HELLO_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let socket = Arc::clone(&self.socket);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut check = tokio::time::interval(ASK_CHECK);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let flush_at = self.flush_at;
            let has_asked = !self.asked.is_empty();
            tokio::select! {
                // Answers that have arrived are read before anything counts as unanswered: on a host that is short of
                // processor time the questions would otherwise be asked again, which takes more of it.
                biased;
                received = socket.recv_from(&mut buffer) => {
                    // An error reports an earlier datagram that could not be delivered.
                    if let Ok((length, _)) = received {
                        self.receive(&buffer[..length]);
                    }
                }
                Some(command) = commands.recv() => self.take(command),
                Some(event) = events.recv() => self.happened(event),
                _ = tick.tick() => self.tick(),
                _ = check.tick(), if has_asked => self.ask_again(),
                () = async { tokio::time::sleep_until(flush_at.unwrap_or_else(Instant::now)).await },
                    if flush_at.is_some() => self.flush(),
            }
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Ask { demand, reply } => self.ask(demand, 0, reply),
            Command::Note(note) => self.note(note),
        }
    }

    fn ask(&mut self, demand: Arc<Demand>, round: usize, reply: oneshot::Sender<Decision>) {
        let now = Time::now();
        let candidates = self.candidates(now);
        // A host that has just been suspected is no candidate any more, so the first one may be another than before.
        let chosen = if round < ASKS {
            candidates.get(round.min(candidates.len().saturating_sub(1)))
        } else {
            None
        };
        let Some(&at) = chosen else {
            self.inputs.meter.count("ask_local");
            let decision = self.placer.place(now, &demand);
            // The request may have ended meanwhile.
            let _ = reply.send(decision);
            return;
        };
        let core = &self.cores[at];
        self.send(core.address, &Packet::Ask((*demand).clone()));
        self.asked.push(Asked {
            demand,
            core: core.host.clone(),
            sent: now,
            round,
            reply,
        });
    }

    /// Asks again what was not answered in time.
    fn ask_again(&mut self) {
        let now = Time::now();
        let is_due = |asked: &mut Asked| now.since(asked.sent) >= ASK_TIMEOUT_MS;
        let due: Vec<Asked> = self.asked.extract_if(.., is_due).collect();
        for asked in due {
            self.missed(now, &asked);
            if !asked.reply.is_closed() {
                self.inputs.meter.count("ask_repeated");
                self.ask(asked.demand, asked.round + 1, asked.reply);
            }
        }
    }

    /// Counts an unanswered question against the host that was asked.
    fn missed(&mut self, now: Time, asked: &Asked) {
        let Ok(at) = self.find(&asked.core) else {
            return;
        };
        let core = &mut self.cores[at];
        core.misses += 1;
        if core.misses >= MISSES && now >= core.suspect_until {
            core.misses = 0;
            core.suspect_until = now.plus_ms(SUSPECT_MS);
            self.inputs.meter.count("core_suspected");
            warn!(self.inputs.log, "core host does not answer"; "core" => %asked.core,
                "heard_ms_ago" => now.since(self.cores[at].heard));
        }
    }

    /// Indices of the core hosts that can be asked, best first: one host should book for all, so the leader goes first;
    /// where it cannot be reached, all hosts of a failure domain agree on one in their domain.
    fn candidates(&self, now: Time) -> Vec<usize> {
        let newest = self
            .cores
            .iter()
            .filter(|core| now.since(core.heard) < SILENT_MS)
            .filter_map(|core| core.welcome.as_ref())
            .max_by_key(|welcome| welcome.term);
        let leader = newest.and_then(|welcome| welcome.leader.clone());
        let mut candidates: Vec<usize> = (0..self.cores.len())
            .filter(|&at| {
                let core = &self.cores[at];
                now.since(core.heard) < SILENT_MS
                    && now >= core.suspect_until
                    && core.welcome.as_ref().is_some_and(|w| w.directory.is_some())
            })
            .collect();
        candidates.sort_by_key(|&at| {
            let core = &self.cores[at];
            let is_leader = leader.as_ref() == Some(&core.host);
            let is_near = core
                .welcome
                .as_ref()
                .is_some_and(|welcome| welcome.domain == self.inputs.domain);
            (!is_leader, !is_near, at)
        });
        candidates
    }

    fn note(&mut self, note: Note) {
        let now = Time::now();
        match &note {
            Note::Booked { demand, server } => {
                self.placer.record_assignment(now, demand, server);
                let active = Active {
                    key: demand.key,
                    demand: demand.clone(),
                    server: Arc::clone(server),
                    has_first: false,
                };
                if let Err(at) = self.find_active(demand.key) {
                    self.active.insert(at, active);
                }
            }
            Note::First(key) => {
                self.placer.record_first_event(now, *key);
                if let Ok(at) = self.find_active(*key) {
                    self.active[at].has_first = true;
                }
            }
            Note::End { key, outcome } => {
                self.placer.record_end(now, *key, *outcome);
                if let Ok(at) = self.find_active(*key) {
                    self.active.remove(at);
                }
            }
        }
        self.notes.push(note);
        if self.notes.len() >= NOTES {
            self.flush();
        } else if self.flush_at.is_none() {
            self.flush_at = Some(Instant::now() + NOTE_DELAY);
        }
    }

    fn flush(&mut self) {
        self.flush_at = None;
        let notes = std::mem::take(&mut self.notes);
        let told: Vec<SocketAddrV4> = self
            .candidates(Time::now())
            .into_iter()
            .take(TOLD)
            .map(|at| self.cores[at].address)
            .collect();
        self.tell(&told, notes);
    }

    fn tell(&self, to: &[SocketAddrV4], notes: Vec<Note>) {
        if notes.is_empty() || to.is_empty() {
            return;
        }
        let packet = Packet::Notes(notes);
        match datagram::seal(&self.inputs.key, &packet) {
            Ok(bytes) => {
                for &address in to {
                    // A full socket loses the datagram, as the network may.
                    let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(address));
                }
            }
            Err(datagram::Error::TooLong { .. }) => {
                let Packet::Notes(mut notes) = packet else {
                    return;
                };
                if notes.len() > 1 {
                    let rest = notes.split_off(notes.len() / 2);
                    self.tell(to, notes);
                    self.tell(to, rest);
                } else {
                    warn!(self.inputs.log, "a note does not fit a datagram");
                }
            }
            Err(error) => warn!(self.inputs.log, "notes not sent"; "error" => %error),
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Ok(packet) = datagram::open(&self.inputs.key, bytes) else {
            self.inputs.meter.count("datagram_refused");
            return;
        };
        match packet {
            Packet::Welcome(welcome) => self.welcome(welcome),
            Packet::Answer { key, decision } => {
                let position = self.asked.iter().position(|asked| asked.demand.key == key);
                if let Some(at) = position {
                    let asked = self.asked.swap_remove(at);
                    if let Ok(at) = self.find(&asked.core) {
                        self.cores[at].misses = 0;
                    }
                    // The request may have ended meanwhile.
                    let _ = asked.reply.send(decision);
                }
            }
            _ => {}
        }
    }

    fn welcome(&mut self, welcome: Welcome) {
        let now = Time::now();
        let host = welcome.host.clone();
        for other in &welcome.cores {
            self.learn(now, other);
        }
        self.learn(now, &host);
        let Ok(at) = self.find(&host) else {
            return;
        };
        let address = self.cores[at].address;
        let is_restarted = self.cores[at]
            .welcome
            .as_ref()
            .is_none_or(|old| old.incarnation != welcome.incarnation);
        let own_version = self.version();
        if welcome.version > own_version {
            self.fetch_document(address, own_version);
        }
        if let Some(freshness) = welcome.directory {
            match directory::compare(now, self.directory, freshness) {
                Step::Keep => {}
                Step::Renew(read) => self.directory = Some((freshness.stamp, read)),
                Step::Fetch => self.fetch_directory(address),
            }
        }
        let entries = welcome.entries.max(1);
        self.state.send_if_modified(|state| {
            let is_changed = state.entries != entries;
            state.entries = entries;
            is_changed
        });
        let core = &mut self.cores[at];
        core.heard = now;
        core.welcome = Some(welcome);
        if is_restarted {
            info!(self.inputs.log, "core host found"; "core" => %host);
            self.repeat_bookings(address);
        }
    }

    /// Tells a core host that has just started what this host has booked.
    fn repeat_bookings(&self, address: SocketAddrV4) {
        let mut notes = Vec::new();
        for active in &self.active {
            notes.push(Note::Booked {
                demand: active.demand.clone(),
                server: Arc::clone(&active.server),
            });
            if active.has_first {
                notes.push(Note::First(active.key));
            }
        }
        for group in notes.chunks(NOTES) {
            self.tell(&[address], group.to_vec());
        }
    }

    fn version(&self) -> u64 {
        let table = self.table.borrow();
        table.as_ref().map_or(0, |table| table.document().version)
    }

    fn fetch_document(&mut self, address: SocketAddrV4, version: u64) {
        if std::mem::replace(&mut self.is_fetching_document, true) {
            return;
        }
        let (links, events) = (self.links.clone(), self.events.clone());
        tokio::spawn(async move {
            let document = peers::call(&links, address, |client| async move {
                client.document(context::current(), version).await
            })
            .await;
            // The task ends only with the process.
            let _ = events.send(Event::Document(document.flatten())).await;
        });
    }

    fn fetch_directory(&mut self, address: SocketAddrV4) {
        if std::mem::replace(&mut self.is_fetching_directory, true) {
            return;
        }
        let (links, events) = (self.links.clone(), self.events.clone());
        tokio::spawn(async move {
            let directory = peers::call(&links, address, |client| async move {
                client.directory(context::current()).await
            })
            .await;
            // The task ends only with the process.
            let _ = events.send(Event::Directory(directory.flatten())).await;
        });
    }

    fn happened(&mut self, event: Event) {
        match event {
            Event::Document(document) => {
                self.is_fetching_document = false;
                if let Some(document) = document
                    && document.version > self.version()
                {
                    self.inputs.meter.count("document_fetched");
                    info!(self.inputs.log, "document in force"; "version" => document.version,
                        "before" => self.version(), "routes" => document.routes.len());
                    self.placer.set_document(&document);
                    self.table
                        .send_replace(Some(Arc::new(Table::new(document))));
                }
            }
            Event::Directory(None) => self.is_fetching_directory = false,
            Event::Directory(Some((directory, freshness))) => {
                self.is_fetching_directory = false;
                let read = freshness.read(Time::now());
                if self.directory.is_none_or(|(_, own)| read > own) {
                    self.inputs.meter.count("directory_fetched");
                    info!(self.inputs.log, "backend servers changed";
                        "servers" => directory.servers().len(), "age_ms" => freshness.age_ms);
                    self.directory = Some((freshness.stamp, read));
                    self.placer.set_servers(directory.servers());
                    self.state.send_modify(|state| state.has_directory = true);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = Time::now();
        let seeds = self.inputs.seeds.borrow().clone();
        for host in &seeds {
            self.learn(now, host);
        }
        self.cores
            .retain(|core| now.since(core.heard.max(core.named)) < FORGET_MS);
        // Questions whose requests have ended.
        self.asked.retain(|asked| !asked.reply.is_closed());
        for core in &self.cores {
            self.send(core.address, &Packet::Hello);
        }
    }

    fn learn(&mut self, now: Time, host: &Name) {
        let Some(address) = address_of(host) else {
            return;
        };
        match self.find(host) {
            Ok(at) => self.cores[at].named = now,
            Err(at) => self.cores.insert(
                at,
                Core {
                    host: host.clone(),
                    address: SocketAddrV4::new(address, self.inputs.core_port),
                    welcome: None,
                    heard: Time::ZERO,
                    named: now,
                    misses: 0,
                    suspect_until: Time::ZERO,
                },
            ),
        }
    }

    fn find(&self, host: &Name) -> Result<usize, usize> {
        self.cores.binary_search_by(|core| core.host.cmp(host))
    }

    fn find_active(&self, key: Key) -> Result<usize, usize> {
        self.active.binary_search_by_key(&key, |active| active.key)
    }

    fn send(&self, to: SocketAddrV4, packet: &Packet) {
        match datagram::seal(&self.inputs.key, packet) {
            Ok(bytes) => {
                // A full socket loses the datagram, as the network may.
                let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(to));
            }
            Err(error) => warn!(self.inputs.log, "datagram not sent"; "error" => %error),
        }
    }
}
