//! The task through which an entry host communicates with the core hosts.
//!
//! It fetches the newest document and directory, requests placements and reports the progress of requests. While no
//! core host answers, it places requests itself with the data that it received last.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_fleet::directory::{self, Action, Directory};
use primrose_fleet::exchange::Schedule;
use primrose_fleet::message::{Packet, Stamp, Status, Update, fits_into_datagram};
use primrose_fleet::peers::{self, Links};
use primrose_fleet::replica::address_of;
use primrose_observe::Meter;
use primrose_place::demand::{Demand, Key};
use primrose_place::placer::Decision;
use primrose_place::quarantine::list::Record;
use primrose_place::{Placer, Settings, placer};
use primrose_route::{Document, Table};
use primrose_wire::datagram::{self, MAX_DATAGRAM_BYTES};
use primrose_wire::key::Key as FleetKey;
use slog::{Logger, info, warn};
use tarpc::context;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};

use crate::courier::Courier;
use crate::crash;
use crate::hello;
use crate::notice::Register;

/// The longest time that a request waits for a host that has just started: about the time from the start of the first
/// process of a fleet to that of the last one. A refused caller would be away for longer.
const MAX_START_WAIT: Duration = Duration::from_millis(300);

/// Silence after which a core host gets no placement requests, in ms. Tolerates the loss of a few hellos or their
/// answers.
const SILENT_MS: u64 = 800;

/// Silence after which a core host is removed, in ms, if neither another host nor the settings have named it in that
/// time.
const CORE_HOST_EXPIRY_MS: u64 = 20_000;

/// Time after which a placement request counts as unanswered, in ms: a few round trips between failure domains.
const PLACE_TIMEOUT_MS: u64 = 40;

/// Interval at which pending placement requests are checked for timeouts.
const PENDING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of times that a placement request is sent before this host places the request itself.
const MAX_PLACE_ATTEMPTS: usize = 2;

/// Number of unanswered placement requests in a row after which a core host is suspected to be down.
const MAX_UNANSWERED: u32 = 2;

/// How long a suspected core host gets no placement requests, in ms.
const SUSPICION_MS: u64 = 600;

/// Updates are collected for this time and sent together. The delay makes the placers' data older, but it is well
/// below the prefill time of a prompt.
const UPDATE_DELAY: Duration = Duration::from_millis(12);

/// The most updates in one datagram; more would not fit.
const MAX_UPDATES: usize = 8;

/// Number of core hosts to which updates are sent: the one that places requests and those that would take over.
const RECIPIENTS: usize = 3;

/// Parameters of the task.
pub struct Inputs {
    /// The local address for datagrams.
    pub address: SocketAddrV4,
    /// Name of the failure domain of this host.
    pub domain: Arc<str>,
    /// Capacity of this host, as [`crate::pressure::Resources::capacity`].
    pub capacity: u32,
    /// The port of all core hosts for datagrams and calls.
    pub core_port: u16,
    /// The core hosts that the settings name, by their addresses.
    pub seeds: watch::Receiver<Vec<Name>>,
    /// The fleet's key, which authenticates datagrams and calls.
    pub key: FleetKey,
    /// Settings of the placer that is used while no core host answers.
    pub placer_settings: Settings,
    /// Counters; the names are in [`crate::counter`].
    pub meter: Arc<Meter>,
    /// The log of the process.
    pub log: Logger,
}

/// A handle to the running task.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    table: watch::Receiver<Option<Arc<Table>>>,
    state: watch::Receiver<State>,
    schedule: hello::Schedule,
    notices: Arc<Mutex<Register>>,
    /// Finds out whether a server has ended when a connection to it breaks.
    pub(crate) crashes: crash::Detector,
    /// Random number that identifies this incarnation of the process.
    pub incarnation: u64,
}

/// What this host knows about the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    /// Whether a directory has been received.
    pub has_directory: bool,
    /// Number of entry hosts in the fleet; at least 1.
    pub entry_hosts: u32,
    /// Smallest capacity of an entry host, and the largest one, that any core host reports; 0 if unknown.
    pub capacities: (u32, u32),
}

enum Command {
    Place {
        demand: Arc<Demand>,
        reply: oneshot::Sender<Decision>,
    },
    Update(Update),
}

impl Handle {
    /// The routing table of the document in force, or `None` before the first document was received.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Follows the routing table of the document in force.
    pub fn tables(&self) -> watch::Receiver<Option<Arc<Table>>> {
        self.table.clone()
    }

    /// What this host knows about the fleet.
    pub fn state(&self) -> State {
        *self.state.borrow()
    }

    /// Whether requests can be served: a directory and a document have been received.
    pub fn is_ready(&self) -> bool {
        self.state().has_directory && self.table.borrow().is_some()
    }

    /// Waits until requests can be served if this host has just started, for at most [`MAX_START_WAIT`].
    pub async fn wait_while_starting(&self) {
        if self.is_ready() || !self.schedule.is_starting(Time::now()) {
            return;
        }
        let (mut table, mut state) = (self.table.clone(), self.state.clone());
        let ready = async {
            // The task that sends the values ends only with the process.
            let _ = table.wait_for(Option::is_some).await;
            let _ = state.wait_for(|state| state.has_directory).await;
        };
        // Without a document after that time, the caller refuses the request.
        let _ = tokio::time::timeout(MAX_START_WAIT, ready).await;
    }

    /// The servers that leave, pause or are in drained domains. The link passes on to it each new list of servers and of
    /// drained domains.
    pub fn notices(&self) -> MutexGuard<'_, Register> {
        lock(&self.notices)
    }

    /// Requests a server for `demand` from a core host. If no core host answers, this host decides itself.
    pub async fn place(&self, demand: &Arc<Demand>) -> Decision {
        let (reply, decision) = oneshot::channel();
        // The task ends only with the process.
        let _ = self.commands.send(Command::Place {
            demand: Arc::clone(demand),
            reply,
        });
        decision.await.unwrap_or(Decision::Refuse {
            reason: placer::Reason::NoServer,
            retry_after_ms: PLACE_TIMEOUT_MS as u32,
            wait_ms: 0,
        })
    }

    /// Reports the progress of a request to the core hosts and to this host's own placer.
    pub fn report(&self, update: Update) {
        // The task ends only with the process.
        let _ = self.commands.send(Command::Update(update));
    }
}

/// Binds the UDP socket and starts the task.
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
        entry_hosts: 1,
        capacities: (0, 0),
    });
    let (events, events_receiver) = mpsc::channel(64);
    let incarnation = rand::random();
    let schedule = hello::Schedule::new(Time::now());
    let notices = Arc::default();
    let mut placer = Placer::new(Settings {
        // A host that decides alone knows only its own requests, so it cannot predict when one could be placed.
        waiting: false,
        ..inputs.placer_settings.clone()
    });
    // Nor can it learn figures: the requests of other hosts delay its own. It uses those of the statuses.
    placer.set_figures(&[]);
    placer.set_without_trials();
    let link = Link {
        incarnation,
        schedule,
        links: peers::links(inputs.key.clone()),
        placer,
        notices: Arc::clone(&notices),
        socket,
        events,
        table: table_sender,
        state: state_sender,
        core_hosts: Vec::new(),
        pending: Vec::new(),
        active: Vec::new(),
        updates: Vec::new(),
        flush_at: None,
        couriers: Vec::new(),
        directory: None,
        is_fetching_document: false,
        is_fetching_directory: false,
        inputs,
    };
    tokio::spawn(link.run(received, events_receiver));
    Ok(Handle {
        commands,
        table,
        state,
        schedule,
        notices,
        crashes: crash::Detector::default(),
        incarnation,
    })
}

/// The result of a fetch from a core host; `None` if the fetch failed or the core host had nothing to return.
enum Event {
    Document(Option<Arc<Document>>),
    /// A directory, with the time when its list was read.
    Directory(Option<(Arc<Directory>, Time)>),
    /// The answer to a placement request that did not fit into a datagram.
    Decision {
        key: Key,
        decision: Option<Decision>,
    },
    /// What a core host knows of quarantined prompt parts.
    Quarantine {
        host: Name,
        record: Option<Record>,
    },
}

/// A core host and what this host knows about it.
struct CoreHost {
    host: Name,
    address: SocketAddrV4,
    status: Option<Status>,
    last_heard: Time,
    /// When a status or the settings last named this core host.
    last_named: Time,
    unanswered: u32,
    suspect_until: Time,
    /// The exchanges of quarantined prompt parts with it.
    exchange: Schedule,
}

/// A placement request that waits for an answer.
struct Pending {
    demand: Arc<Demand>,
    core: Name,
    sent: Time,
    /// Number of earlier attempts for the same demand.
    attempt: usize,
    reply: oneshot::Sender<Decision>,
}

/// A request that was sent to a backend server and has not ended.
struct Active {
    key: Key,
    demand: Demand,
    server: Arc<str>,
    has_first_event: bool,
    /// Whether its updates are delivered over TCP.
    is_long: bool,
}

struct Link {
    inputs: Inputs,
    incarnation: u64,
    schedule: hello::Schedule,
    socket: Arc<UdpSocket>,
    links: Links,
    placer: Placer,
    notices: Arc<Mutex<Register>>,
    events: mpsc::Sender<Event>,
    table: watch::Sender<Option<Arc<Table>>>,
    state: watch::Sender<State>,
    /// Sorted by host.
    core_hosts: Vec<CoreHost>,
    pending: Vec<Pending>,
    /// Sorted by key.
    active: Vec<Active>,
    updates: Vec<Update>,
    flush_at: Option<Instant>,
    /// Deliver the updates that do not fit into a datagram. Sorted by address.
    couriers: Vec<Courier>,
    /// Fingerprint of the directory, and when the list of servers was read.
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
        let mut next_tick = Instant::now();
        let socket = Arc::clone(&self.socket);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut check = tokio::time::interval(PENDING_CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let flush_at = self.flush_at;
            let has_pending = !self.pending.is_empty();
            tokio::select! {
                // Answers that have arrived are read before a placement request counts as unanswered. On a host that
                // is short of processor time, requests would otherwise be sent again, which takes even more of it.
                biased;
                received = socket.recv_from(&mut buffer) => {
                    // An error here means that an earlier datagram could not be delivered.
                    if let Ok((length, _)) = received {
                        self.receive(&buffer[..length]);
                    }
                }
                Some(command) = commands.recv() => self.handle_command(command),
                Some(event) = events.recv() => self.handle_event(event),
                () = tokio::time::sleep_until(next_tick) => {
                    self.tick();
                    let interval_ms = self.schedule.interval_ms(Time::now(), self.can_serve());
                    next_tick = Instant::now() + Duration::from_millis(interval_ms);
                }
                _ = check.tick(), if has_pending => self.retry_pending(),
                () = async { tokio::time::sleep_until(flush_at.unwrap_or_else(Instant::now)).await },
                    if flush_at.is_some() => self.flush_updates(),
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Place { demand, reply } => self.request_placement(demand, 0, reply),
            Command::Update(update) => self.record_update(update),
        }
    }

    fn request_placement(
        &mut self,
        demand: Arc<Demand>,
        attempt: usize,
        reply: oneshot::Sender<Decision>,
    ) {
        let now = Time::now();
        if let Some(refusal) = self.placer.quarantined(now, &demand) {
            // The request may have ended in the meantime.
            let _ = reply.send(refusal);
            return;
        }
        let candidates = self.candidates(now);
        // A host that has just been suspected is no longer a candidate, so the first candidate may differ from that
        // of the previous attempt.
        let chosen = if attempt < MAX_PLACE_ATTEMPTS {
            candidates.get(attempt.min(candidates.len().saturating_sub(1)))
        } else {
            None
        };
        let Some(&at) = chosen else {
            self.inputs.meter.count("ask_local");
            let decision = self.placer.place(now, &demand);
            // The request may have ended in the meantime.
            let _ = reply.send(decision);
            return;
        };
        let core = &self.core_hosts[at];
        if fits_into_datagram(&demand) {
            self.send(core.address, &Packet::Place((*demand).clone()));
        } else {
            self.call_place(core.address, &demand);
        }
        self.pending.push(Pending {
            demand,
            core: core.host.clone(),
            sent: now,
            attempt,
            reply,
        });
    }

    /// Requests a placement that does not fit into a datagram. A call that fails counts as unanswered.
    fn call_place(&self, address: SocketAddrV4, demand: &Arc<Demand>) {
        self.inputs.meter.count("ask_long");
        let (links, events) = (self.links.clone(), self.events.clone());
        let demand = Arc::clone(demand);
        tokio::spawn(async move {
            let key = demand.key;
            let decision = peers::call(&links, address, |client| async move {
                client.place(context::current(), (*demand).clone()).await
            });
            let decision = decision.await.flatten();
            // The task ends only with the process.
            let _ = events.send(Event::Decision { key, decision }).await;
        });
    }

    /// Sends timed-out placement requests again.
    fn retry_pending(&mut self) {
        let now = Time::now();
        let is_due = |pending: &mut Pending| now.since(pending.sent) >= PLACE_TIMEOUT_MS;
        let due: Vec<Pending> = self.pending.extract_if(.., is_due).collect();
        for pending in due {
            self.record_unanswered(now, &pending);
            if !pending.reply.is_closed() {
                self.inputs.meter.count("ask_repeated");
                self.request_placement(pending.demand, pending.attempt + 1, pending.reply);
            }
        }
    }

    /// Counts an unanswered placement request against its core host.
    fn record_unanswered(&mut self, now: Time, pending: &Pending) {
        let Ok(at) = self.find(&pending.core) else {
            return;
        };
        let core = &mut self.core_hosts[at];
        core.unanswered += 1;
        if core.unanswered >= MAX_UNANSWERED && now >= core.suspect_until {
            core.unanswered = 0;
            core.suspect_until = now.plus_ms(SUSPICION_MS);
            self.inputs.meter.count("core_suspected");
            warn!(self.inputs.log, "core host does not answer placement requests"; "core" => %pending.core,
                "heard_ms_ago" => now.since(self.core_hosts[at].last_heard));
        }
    }

    /// Indices of the core hosts that can place requests, best first. All entry hosts should use the same one,
    /// because it then knows all assignments: the leader comes first. If the leader cannot be reached, all hosts of a
    /// failure domain choose the same core host of their domain.
    fn candidates(&self, now: Time) -> Vec<usize> {
        let mut candidates = self.usable(now);
        // One that has just restarted may have a list and no document, and does not know the limits of pools.
        candidates.retain(|&at| {
            let status = self.core_hosts[at].status.as_ref();
            status.is_some_and(|status| status.version > 0)
        });
        candidates
    }

    /// Indices of the core hosts that answer and have a list of servers, in the order of [`Link::candidates`].
    fn usable(&self, now: Time) -> Vec<usize> {
        let newest = self
            .core_hosts
            .iter()
            .filter(|core| now.since(core.last_heard) < SILENT_MS)
            .filter_map(|core| core.status.as_ref())
            .max_by_key(|status| status.term);
        let leader = newest.and_then(|status| status.leader.clone());
        let mut usable: Vec<usize> = (0..self.core_hosts.len())
            .filter(|&at| {
                let core = &self.core_hosts[at];
                now.since(core.last_heard) < SILENT_MS
                    && now >= core.suspect_until
                    && core
                        .status
                        .as_ref()
                        .is_some_and(|status| status.directory.is_some())
            })
            .collect();
        usable.sort_by_key(|&at| {
            let core = &self.core_hosts[at];
            let is_leader = leader.as_ref() == Some(&core.host);
            let is_near = core
                .status
                .as_ref()
                .is_some_and(|status| status.domain == self.inputs.domain);
            (!is_leader, !is_near, at)
        });
        usable
    }

    fn record_update(&mut self, update: Update) {
        let now = Time::now();
        match &update {
            Update::Assigned { demand, server } => {
                self.placer.record_assignment(now, demand, server);
                let active = Active {
                    key: demand.key,
                    demand: demand.clone(),
                    server: Arc::clone(server),
                    has_first_event: false,
                    is_long: !fits_into_datagram(demand),
                };
                if let Err(at) = self.find_active(demand.key) {
                    self.active.insert(at, active);
                }
            }
            Update::FirstEvent(key) => {
                self.placer.record_first_event(now, *key);
                if let Ok(at) = self.find_active(*key) {
                    self.active[at].has_first_event = true;
                }
            }
            Update::End { key, outcome } => {
                self.placer.record_end(now, *key, *outcome);
            }
            Update::Broken(server) => {
                if !self.placer.has_warmup(server) {
                    return;
                }
                self.placer.record_broken(now, server);
            }
            // This host knows only its own requests, so it does not decide which of them was the reason.
            Update::Crashed(server) => {
                self.inputs.meter.count("server_crashed");
                info!(self.inputs.log, "backend server has crashed"; "server" => &**server);
            }
        }
        let is_long = self.is_long(&update);
        if let Update::End { key, .. } = &update
            && let Ok(at) = self.find_active(*key)
        {
            self.active.remove(at);
        }
        if is_long {
            for address in self.recipients() {
                self.courier(address).send(update.clone());
            }
            return;
        }
        let is_urgent = matches!(update, Update::Crashed(_) | Update::Broken(_));
        self.updates.push(update);
        if is_urgent || self.updates.len() >= MAX_UPDATES {
            self.flush_updates();
        } else if self.flush_at.is_none() {
            self.flush_at = Some(Instant::now() + UPDATE_DELAY);
        }
    }

    fn flush_updates(&mut self) {
        self.flush_at = None;
        let updates = std::mem::take(&mut self.updates);
        let recipients = self.recipients();
        self.send_updates(&recipients, updates);
    }

    /// The core hosts that get updates.
    fn recipients(&self) -> Vec<SocketAddrV4> {
        // One without a document gets updates too: it will place requests without being told of all assignments again.
        let usable = self.usable(Time::now()).into_iter().take(RECIPIENTS);
        usable.map(|at| self.core_hosts[at].address).collect()
    }

    /// Whether an update is on a request that does not fit into a datagram.
    fn is_long(&self, update: &Update) -> bool {
        let key = match update {
            Update::Assigned { demand, .. } => demand.key,
            Update::FirstEvent(key) | Update::End { key, .. } => *key,
            Update::Crashed(_) | Update::Broken(_) => return false,
        };
        self.find_active(key)
            .is_ok_and(|at| self.active[at].is_long)
    }

    fn courier(&mut self, address: SocketAddrV4) -> &Courier {
        let known = self
            .couriers
            .binary_search_by_key(&address, |courier| courier.address);
        let at = known.unwrap_or_else(|at| {
            let meter = Arc::clone(&self.inputs.meter);
            let courier = Courier::spawn(self.links.clone(), address, meter);
            self.couriers.insert(at, courier);
            at
        });
        &self.couriers[at]
    }

    fn send_updates(&self, to: &[SocketAddrV4], updates: Vec<Update>) {
        if updates.is_empty() || to.is_empty() {
            return;
        }
        let packet = Packet::Updates(updates);
        match datagram::seal(&self.inputs.key, &packet) {
            Ok(bytes) => {
                for &address in to {
                    // If the socket's buffer is full, the datagram is lost, as it may be in the network.
                    let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(address));
                }
            }
            Err(datagram::Error::TooLong { .. }) => {
                let Packet::Updates(mut updates) = packet else {
                    return;
                };
                if updates.len() > 1 {
                    let rest = updates.split_off(updates.len() / 2);
                    self.send_updates(to, updates);
                    self.send_updates(to, rest);
                } else {
                    self.inputs.meter.count("update_lost");
                    warn!(
                        self.inputs.log,
                        "a request update does not fit into a datagram"
                    );
                }
            }
            Err(error) => warn!(self.inputs.log, "request updates not sent"; "error" => %error),
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Ok(packet) = datagram::open(&self.inputs.key, bytes) else {
            self.inputs.meter.count("datagram_refused");
            return;
        };
        match packet {
            Packet::Status(status) => self.handle_status(status),
            Packet::Decision { key, decision } => self.handle_decision(key, decision),
            _ => {}
        }
    }

    fn handle_decision(&mut self, key: Key, decision: Decision) {
        let position = self
            .pending
            .iter()
            .position(|pending| pending.demand.key == key);
        if let Some(at) = position {
            let pending = self.pending.swap_remove(at);
            if let Ok(at) = self.find(&pending.core) {
                self.core_hosts[at].unanswered = 0;
            }
            // The request may have ended in the meantime.
            let _ = pending.reply.send(decision);
        }
    }

    fn handle_status(&mut self, status: Status) {
        let now = Time::now();
        let host = status.host.clone();
        self.merge_quarantine(now, &status.quarantine.latest);
        if !status.crossing.is_empty() {
            self.placer.set_crossing_shares(&status.crossing);
        }
        if self.placer.set_drained(now, &status.drained) {
            lock(&self.notices).set_drained(&status.drained);
            self.inputs.meter.count("drained_changed");
            info!(self.inputs.log, "drained failure domains changed"; "domains" => ?status.drained.domains,
                "revision" => status.drained.revision);
        }
        for other in &status.core_hosts {
            self.record_core_host(now, other);
        }
        self.record_core_host(now, &host);
        let Ok(at) = self.find(&host) else {
            return;
        };
        let address = self.core_hosts[at].address;
        let is_new_incarnation = self.core_hosts[at]
            .status
            .as_ref()
            .is_none_or(|old| old.incarnation != status.incarnation);
        let own_version = self.version();
        if status.version > own_version {
            self.fetch_document(address, own_version);
        }
        if let Some(freshness) = status.directory {
            let asked = status.answers.sent_by(self.incarnation);
            match directory::compare(asked, self.directory, freshness) {
                Action::Keep => {}
                Action::Renew(read) => {
                    self.directory = Some((freshness.fingerprint, read));
                    self.placer.record_list_read(now, read);
                }
                Action::Fetch => self.fetch_directory(address),
            }
        }
        let entry_hosts = status.entry_hosts.max(1);
        let core = &mut self.core_hosts[at];
        core.last_heard = now;
        let digest = status.quarantine.digest;
        let figures = status.figures.clone();
        core.status = Some(status);
        // Without a leader, several core hosts are in charge of a part of the requests each, and their figures differ.
        if self.candidates(now).first() == Some(&at) {
            self.placer.set_figures(&figures);
        }
        // A core host that has just started knows few entry hosts, so the reports of all count.
        let reports = self
            .core_hosts
            .iter()
            .filter_map(|core| core.status.as_ref());
        let smallest = reports.clone().map(|status| status.smallest_capacity);
        let smallest = smallest.filter(|&capacity| capacity > 0).min().unwrap_or(0);
        let largest = reports.map(|status| status.largest_capacity).max();
        let capacities = (smallest, largest.unwrap_or(0));
        self.state.send_if_modified(|state| {
            let is_changed = state.entry_hosts != entry_hosts || state.capacities != capacities;
            state.entry_hosts = entry_hosts;
            state.capacities = capacities;
            is_changed
        });
        if is_new_incarnation {
            info!(self.inputs.log, "core host found"; "core" => %host);
            self.resend_assignments(address);
            // It may be asked for servers before the next announcement.
            self.announce(now, at);
        }
        self.exchange_quarantine(now, at, digest);
    }

    fn merge_quarantine(&mut self, now: Time, record: &Record) {
        for notice in self.placer.merge_quarantine(now, record) {
            warn!(self.inputs.log, "requests with these prompt parts crash servers and are refused";
                "parts" => notice.parts(), "remaining_ms" => notice.remaining_ms);
        }
    }

    /// Exchanges the lists of quarantined prompt parts with the core host at the index `at` if its list has another digest.
    fn exchange_quarantine(&mut self, now: Time, at: usize, digest: u64) {
        let own = self.placer.quarantine_digest(now);
        let core = &mut self.core_hosts[at];
        if !core.exchange.begin(now, own, digest) {
            return;
        }
        self.inputs.meter.count("quarantine_exchanged");
        let record = self.placer.quarantine_record(now);
        let (links, events) = (self.links.clone(), self.events.clone());
        let (host, address) = (core.host.clone(), core.address);
        tokio::spawn(async move {
            let record = peers::exchange_quarantine(&links, address, record).await;
            // The task ends only with the process.
            let _ = events.send(Event::Quarantine { host, record }).await;
        });
    }

    /// Reports all requests that have not ended to a core host that does not know them: it has just been found or has
    /// restarted.
    fn resend_assignments(&mut self, address: SocketAddrV4) {
        let (mut updates, mut long) = (Vec::new(), Vec::new());
        for active in &self.active {
            let updates = if active.is_long {
                &mut long
            } else {
                &mut updates
            };
            updates.push(Update::Assigned {
                demand: active.demand.clone(),
                server: Arc::clone(&active.server),
            });
            if active.has_first_event {
                updates.push(Update::FirstEvent(active.key));
            }
        }
        for update in long {
            self.courier(address).send(update);
        }
        for group in updates.chunks(MAX_UPDATES) {
            self.send_updates(&[address], group.to_vec());
        }
    }

    /// Sends a `Hello` to the core host at the index `at`.
    fn announce(&self, now: Time, at: usize) {
        let core = &self.core_hosts[at];
        let summary = self.placer.quarantine_summary(now);
        let known = core.status.as_ref();
        let is_known = known.is_some_and(|status| status.quarantine.digest == summary.digest);
        let hello = Packet::Hello {
            stamp: Stamp::now(self.incarnation),
            quarantine: if is_known {
                Record::default()
            } else {
                summary.latest
            },
            capacity: self.inputs.capacity,
        };
        self.send(core.address, &hello);
    }

    /// Whether a document and a directory have been received.
    fn can_serve(&self) -> bool {
        self.table.borrow().is_some() && self.directory.is_some()
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
            let directory = peers::directory(&links, address).await;
            // The task ends only with the process.
            let _ = events.send(Event::Directory(directory)).await;
        });
    }

    fn handle_event(&mut self, event: Event) {
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
            Event::Decision { key, decision } => {
                if let Some(decision) = decision {
                    self.handle_decision(key, decision);
                }
            }
            Event::Quarantine { host, record } => {
                if let Ok(at) = self.find(&host) {
                    self.core_hosts[at].exchange.end();
                }
                self.merge_quarantine(Time::now(), &record.unwrap_or_default());
            }
            Event::Directory(None) => self.is_fetching_directory = false,
            Event::Directory(Some((directory, read))) => {
                self.is_fetching_directory = false;
                if self.directory.is_none_or(|(_, own)| read > own) {
                    self.inputs.meter.count("directory_fetched");
                    info!(self.inputs.log, "backend servers changed";
                        "servers" => directory.servers().len(), "age_ms" => Time::now().since(read));
                    self.directory = Some((directory.fingerprint(), read));
                    self.placer.set_servers(directory.servers());
                    self.placer.record_list_read(Time::now(), read);
                    lock(&self.notices).set_servers(Time::now(), directory.servers());
                    self.state.send_modify(|state| state.has_directory = true);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = Time::now();
        let seeds = self.inputs.seeds.borrow().clone();
        for host in &seeds {
            self.record_core_host(now, host);
        }
        self.core_hosts
            .retain(|core| now.since(core.last_heard.max(core.last_named)) < CORE_HOST_EXPIRY_MS);
        let core_hosts = &self.core_hosts;
        self.couriers.retain(|courier| {
            let mut core_hosts = core_hosts.iter();
            core_hosts.any(|core| core.address == courier.address)
        });
        // The receiver of a reply is dropped when the request ends.
        self.pending.retain(|pending| !pending.reply.is_closed());
        for at in 0..self.core_hosts.len() {
            self.announce(now, at);
        }
    }

    fn record_core_host(&mut self, now: Time, host: &Name) {
        let Some(address) = address_of(host) else {
            return;
        };
        match self.find(host) {
            Ok(at) => self.core_hosts[at].last_named = now,
            Err(at) => self.core_hosts.insert(
                at,
                CoreHost {
                    host: host.clone(),
                    address: SocketAddrV4::new(address, self.inputs.core_port),
                    status: None,
                    last_heard: Time::ZERO,
                    last_named: now,
                    unanswered: 0,
                    suspect_until: Time::ZERO,
                    exchange: Schedule::default(),
                },
            ),
        }
    }

    fn find(&self, host: &Name) -> Result<usize, usize> {
        self.core_hosts.binary_search_by(|core| core.host.cmp(host))
    }

    fn find_active(&self, key: Key) -> Result<usize, usize> {
        self.active.binary_search_by_key(&key, |active| active.key)
    }

    fn send(&self, to: SocketAddrV4, packet: &Packet) {
        match datagram::seal(&self.inputs.key, packet) {
            Ok(bytes) => {
                // If the socket's buffer is full, the datagram is lost, as it may be in the network.
                let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(to));
            }
            Err(error) => warn!(self.inputs.log, "datagram not sent"; "error" => %error),
        }
    }
}

fn lock(notices: &Mutex<Register>) -> MutexGuard<'_, Register> {
    // A panic cannot leave the register between two states that depend on each other.
    notices.lock().unwrap_or_else(PoisonError::into_inner)
}
