//! The task that answers entry hosts and exchanges what core hosts know.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_observe::Meter;
use primrose_place::placer::{Decision, Reason};
use primrose_place::{Demand, Placer, Server, Settings};
use primrose_wire::datagram::{self, MAX_DATAGRAM_BYTES};
use primrose_wire::key::Key;
use slog::{Logger, info, warn};
use tarpc::context;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use crate::directory::{self, Directory, Freshness, Step};
use crate::ledger::{self, Input, Outgoing, Standing};
use crate::message::{Beat, Introduction, Note, Packet, Welcome};
use crate::peers::{self, Links, Shown};
use crate::store::Stored;

/// Interval between beats, and between looks at what is due.
const BEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The leader reads the list when its directory is older than this, in ms. A server that leaves must be known
/// everywhere within 3 s, and a call costs as much as a quarter of a small answer.
const READ_AGE_MS: u64 = 900;

/// Another host reads the list itself when its directory is older than this, in ms: the leader is gone or cannot reach
/// the list.
const FALLBACK_AGE_MS: u64 = 2_200;

/// An entry host that was silent for so long is forgotten, in ms.
const ENTRY_LOST_MS: u64 = 3_000;

/// A core host that is no member and was silent for so long is forgotten, in ms.
const CORE_LOST_MS: u64 = 15_000;

/// Attempts to become a member of the log are made at this interval, in ms.
const INTRODUCE_INTERVAL_MS: u64 = 250;

/// A member asks at this interval, in ms, whether it was removed while it could not hear of it.
const MEMBER_CHECK_INTERVAL_MS: u64 = 2_000;

/// Why the list of servers could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Unreadable(pub String);

/// Reads the list of servers.
pub type ReadList = Arc<
    dyn Fn() -> Pin<Box<dyn Future<Output = Result<Vec<Server>, Unreadable>> + Send>> + Send + Sync,
>;

/// Asks an engine which prompt parts it keeps, as pairs of the key of a part and its length in tokens.
pub type ReadKept = Arc<
    dyn Fn(
            SocketAddrV4,
        ) -> Pin<Box<dyn Future<Output = Result<Vec<(u64, u32)>, Unreadable>> + Send>>
        + Send
        + Sync,
>;

/// What the task needs.
pub struct Inputs {
    /// This host, named by its address.
    pub host: Name,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The port of core hosts for datagrams and calls.
    pub port: u16,
    /// Core hosts that the settings name.
    pub seeds: watch::Receiver<Vec<Name>>,
    /// Whether this host is among the seeds of a system that starts for the first time.
    pub may_found: bool,
    /// Authenticates datagrams and calls.
    pub key: Key,
    /// The own replica.
    pub ledger: ledger::Handle,
    /// Messages of the own replica.
    pub outgoing: mpsc::UnboundedReceiver<Outgoing>,
    /// Reads the list of servers.
    pub read_list: ReadList,
    /// Asks an engine what it keeps.
    pub read_kept: ReadKept,
    /// Whether engines may keep parts that this host does not know of, because it has been started again.
    pub is_restarted: bool,
    /// Limits of the placer.
    pub placing: Settings,
    /// Counters.
    pub meter: Arc<Meter>,
    /// Log.
    pub log: Logger,
}

/// Binds the sockets and starts the task.
///
/// # Errors
///
/// Returns the error of a socket.
pub async fn bind(inputs: Inputs) -> io::Result<()> {
    let Some(own) = ledger::address_of(&inputs.host) else {
        return Err(io::Error::other("the host is not named by its address"));
    };
    let address = SocketAddrV4::new(own, inputs.port);
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let (shown, directory) = watch::channel(None);
    peers::bind(
        address,
        peers::Inputs {
            key: inputs.key.clone(),
            ledger: inputs.ledger.clone(),
            directory: directory.clone(),
            meter: Arc::clone(&inputs.meter),
        },
    )
    .await?;
    let links = peers::links(inputs.key.clone());
    let (events, received) = mpsc::channel(64);
    let hub = Hub {
        standing: inputs.ledger.follow_standing(),
        newest: inputs.ledger.follow_newest(),
        placer: Placer::new(inputs.placing.clone()),
        incarnation: rand::random(),
        socket,
        links,
        events,
        shown,
        directory,
        entries: Vec::new(),
        cores: Vec::new(),
        is_reading: false,
        is_introducing: false,
        introduced: Time::ZERO,
        asks_kept: inputs.is_restarted,
        inputs,
    };
    tokio::spawn(hub.run(received));
    Ok(())
}

/// The result of work that was done beside the task.
enum Event {
    Read(Result<Vec<Server>, Unreadable>),
    Fetched {
        directory: Arc<Directory>,
        freshness: Freshness,
    },
    NotFetched,
    Introduced,
    Kept {
        server: Arc<str>,
        parts: Result<Vec<(u64, u32)>, Unreadable>,
    },
}

/// An entry host.
struct Entry {
    address: SocketAddr,
    heard: Time,
}

/// Another core host.
struct Peer {
    host: Name,
    address: SocketAddrV4,
    heard: Time,
}

struct Hub {
    inputs: Inputs,
    incarnation: u64,
    socket: Arc<UdpSocket>,
    links: Links,
    standing: watch::Receiver<Standing>,
    newest: watch::Receiver<Option<Arc<Stored>>>,
    placer: Placer,
    events: mpsc::Sender<Event>,
    shown: watch::Sender<Option<(Arc<Directory>, Time)>>,
    directory: Shown,
    /// Sorted by address.
    entries: Vec<Entry>,
    /// Sorted by host.
    cores: Vec<Peer>,
    is_reading: bool,
    is_introducing: bool,
    introduced: Time,
    /// Whether engines are still to be asked what they keep.
    asks_kept: bool,
}

impl Hub {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut tick = tokio::time::interval(BEAT_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let socket = Arc::clone(&self.socket);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut newest = self.newest.clone();
        loop {
            tokio::select! {
                received = socket.recv_from(&mut buffer) => {
                    // An error reports an earlier datagram that could not be delivered.
                    if let Ok((length, source)) = received {
                        self.receive(source, &buffer[..length]);
                    }
                }
                Some(outgoing) = self.inputs.outgoing.recv() => self.send_step(outgoing),
                Some(event) = events.recv() => self.take(event),
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
            Packet::Hello => self.hello(source),
            Packet::Ask(demand) => self.ask(source, &demand),
            Packet::Notes(notes) => self.notes(notes),
            Packet::Beat(beat) => self.beat(&beat),
            Packet::Step { sender, messages } => {
                self.inputs
                    .ledger
                    .send(Input::Messages { sender, messages });
            }
            Packet::Welcome(_) | Packet::Answer { .. } => {}
        }
    }

    fn hello(&mut self, source: SocketAddr) {
        let now = Time::now();
        match self.entries.binary_search_by_key(&source, |e| e.address) {
            Ok(at) => self.entries[at].heard = now,
            Err(at) => {
                info!(self.inputs.log, "entry host found"; "address" => %source);
                self.entries.insert(
                    at,
                    Entry {
                        address: source,
                        heard: now,
                    },
                );
            }
        }
        self.send(source, &Packet::Welcome(self.welcome()));
    }

    fn ask(&mut self, source: SocketAddr, demand: &Demand) {
        let decision = self.placer.place(Time::now(), demand);
        self.inputs.meter.count(match &decision {
            Decision::Place { .. } => "ask_placed",
            Decision::Refuse { reason, .. } => match reason {
                Reason::NoServer => "ask_refused_no_server",
                Reason::Overload => "ask_refused_overload",
                Reason::OverShare => "ask_refused_over_share",
                Reason::Deadline => "ask_refused_hopeless_deadline",
            },
        });
        let key = demand.key;
        self.send(source, &Packet::Answer { key, decision });
    }

    fn notes(&mut self, notes: Vec<Note>) {
        let now = Time::now();
        for note in notes {
            match note {
                Note::Booked { demand, server } => {
                    self.placer.record_assignment(now, &demand, &server)
                }
                Note::First(key) => self.placer.record_first_event(now, key),
                Note::End { key, outcome } => self.placer.record_end(now, key, outcome),
            }
        }
    }

    fn beat(&mut self, beat: &Beat) {
        self.learn(&beat.host, true);
        for host in &beat.cores {
            self.learn(host, false);
        }
        if let Some(freshness) = beat.directory {
            self.compare(&beat.host, freshness);
        }
    }

    /// Keeps a core host in mind; `heard` if it has sent something itself.
    fn learn(&mut self, host: &Name, heard: bool) {
        if *host == self.inputs.host {
            return;
        }
        let Some(address) = ledger::address_of(host) else {
            return;
        };
        let now = Time::now();
        match self.cores.binary_search_by(|peer| peer.host.cmp(host)) {
            Ok(at) if heard => self.cores[at].heard = now,
            Ok(_) => {}
            Err(at) => {
                info!(self.inputs.log, "core host found"; "core" => %host);
                self.cores.insert(
                    at,
                    Peer {
                        host: host.clone(),
                        address: SocketAddrV4::new(address, self.inputs.port),
                        heard: now,
                    },
                );
            }
        }
    }

    fn compare(&mut self, host: &Name, freshness: Freshness) {
        let own = self.own_directory();
        match directory::compare(Time::now(), own, freshness) {
            Step::Keep => {}
            Step::Renew(read) => self.shown.send_modify(|shown| {
                if let Some((_, own_read)) = shown {
                    *own_read = read;
                }
            }),
            Step::Fetch => self.fetch(host),
        }
    }

    fn own_directory(&self) -> Option<(u64, Time)> {
        let shown = self.directory.borrow();
        shown
            .as_ref()
            .map(|(directory, read)| (directory.stamp(), *read))
    }

    fn fetch(&mut self, host: &Name) {
        let Some(address) = ledger::address_of(host) else {
            return;
        };
        if std::mem::replace(&mut self.is_reading, true) {
            return;
        }
        let address = SocketAddrV4::new(address, self.inputs.port);
        let (links, events) = (self.links.clone(), self.events.clone());
        tokio::spawn(async move {
            let fetched = peers::call(&links, address, |client| async move {
                client.directory(context::current()).await
            })
            .await;
            let event = match fetched.flatten() {
                Some((directory, freshness)) => Event::Fetched {
                    directory,
                    freshness,
                },
                None => Event::NotFetched,
            };
            // The hub ends only with the process.
            let _ = events.send(event).await;
        });
    }

    fn take(&mut self, event: Event) {
        let now = Time::now();
        match event {
            Event::Read(result) => {
                self.is_reading = false;
                match result {
                    Ok(servers) => {
                        self.inputs.meter.count("directory_read");
                        self.show(Arc::new(Directory::new(servers)), now);
                    }
                    Err(error) => {
                        self.inputs.meter.count("directory_read_failed");
                        warn!(self.inputs.log, "cannot read the list of servers"; "error" => %error);
                    }
                }
            }
            Event::Fetched {
                directory,
                freshness,
            } => {
                self.is_reading = false;
                let read = freshness.read(now);
                if self.own_directory().is_none_or(|(_, own)| read > own) {
                    self.inputs.meter.count("directory_fetched");
                    self.show(directory, read);
                }
            }
            Event::NotFetched => self.is_reading = false,
            Event::Introduced => self.is_introducing = false,
            Event::Kept { server, parts } => match parts {
                Ok(parts) => {
                    info!(self.inputs.log, "engine told what it keeps"; "server" => &*server,
                        "parts" => parts.len());
                    self.inputs.meter.count("kept_read");
                    self.placer.record_cached_parts(&server, &parts);
                }
                Err(error) => {
                    self.inputs.meter.count("kept_read_failed");
                    warn!(self.inputs.log, "engine did not tell what it keeps"; "server" => &*server,
                        "error" => %error);
                }
            },
        }
    }

    fn show(&mut self, directory: Arc<Directory>, read: Time) {
        let is_same = self
            .own_directory()
            .is_some_and(|(stamp, _)| stamp == directory.stamp());
        if !is_same {
            let leaving = directory.servers().iter().filter(|s| s.draining).count();
            info!(self.inputs.log, "backend servers changed"; "servers" => directory.servers().len(),
                "leaving" => leaving, "stamp" => directory.stamp());
            self.inputs.meter.count("directory_changed");
            self.placer.set_servers(directory.servers());
        }
        self.shown.send_replace(Some((directory, read)));
        if !is_same {
            self.ask_kept();
            self.welcome_all();
        }
    }

    fn document_changed(&mut self) {
        if let Some(stored) = &*self.newest.borrow() {
            self.placer.set_document(&stored.document);
            info!(self.inputs.log, "document in force"; "version" => stored.document.version,
                "routes" => stored.document.routes.len());
        }
        self.ask_kept();
        self.welcome_all();
    }

    /// Asks the engines once what they keep. Without it a restarted host takes every prompt for unread, predicts long
    /// waits and refuses requests that engines could serve at once.
    fn ask_kept(&mut self) {
        if !self.asks_kept {
            return;
        }
        for server in self.placer.engines() {
            self.asks_kept = false;
            let (id, address) = (Arc::clone(&server.id), server.address);
            let (read_kept, events) = (Arc::clone(&self.inputs.read_kept), self.events.clone());
            tokio::spawn(async move {
                let parts = read_kept(address).await;
                // The hub ends only with the process.
                let _ = events.send(Event::Kept { server: id, parts }).await;
            });
        }
    }

    fn welcome_all(&mut self) {
        let packet = Packet::Welcome(self.welcome());
        for entry in &self.entries {
            self.send(entry.address, &packet);
        }
    }

    fn welcome(&self) -> Welcome {
        let standing = self.standing.borrow();
        let version = self
            .newest
            .borrow()
            .as_ref()
            .map_or(0, |stored| stored.document.version);
        Welcome {
            host: self.inputs.host.clone(),
            incarnation: self.incarnation,
            domain: Arc::clone(&self.inputs.domain),
            cores: self.known_cores(),
            leader: standing.leader.clone(),
            term: standing.term,
            version,
            directory: self.freshness(),
            entries: self.entries.len() as u32,
        }
    }

    fn known_cores(&self) -> Vec<Name> {
        self.cores.iter().map(|peer| peer.host.clone()).collect()
    }

    fn freshness(&self) -> Option<Freshness> {
        let now = Time::now();
        self.own_directory()
            .map(|(stamp, read)| Freshness::new(now, stamp, read))
    }

    fn tick(&mut self) {
        let now = Time::now();
        let seeds = self.inputs.seeds.borrow().clone();
        for host in &seeds {
            self.learn(host, false);
        }
        let members = self.standing.borrow().members.clone();
        for member in &members {
            self.learn(&member.host, false);
        }
        let is_needed =
            |host: &Name| seeds.contains(host) || members.iter().any(|member| member.host == *host);
        self.cores
            .retain(|peer| now.since(peer.heard) < CORE_LOST_MS || is_needed(&peer.host));
        self.entries
            .retain(|entry| now.since(entry.heard) < ENTRY_LOST_MS);
        let beat = Packet::Beat(Beat {
            host: self.inputs.host.clone(),
            cores: self.known_cores(),
            directory: self.freshness(),
        });
        for peer in &self.cores {
            self.send(SocketAddr::V4(peer.address), &beat);
        }
        self.read_if_due(now);
        self.introduce_if_due(now);
    }

    fn read_if_due(&mut self, now: Time) {
        let limit = if self.standing.borrow().is_leading {
            READ_AGE_MS
        } else {
            FALLBACK_AGE_MS
        };
        let age = self
            .own_directory()
            .map_or(u64::MAX, |(_, read)| now.since(read));
        if age < limit || std::mem::replace(&mut self.is_reading, true) {
            return;
        }
        let (read_list, events) = (Arc::clone(&self.inputs.read_list), self.events.clone());
        tokio::spawn(async move {
            let result = read_list().await;
            // The hub ends only with the process.
            let _ = events.send(Event::Read(result)).await;
        });
    }

    fn introduce_if_due(&mut self, now: Time) {
        let standing = self.standing.borrow().clone();
        let own = standing.introduction.replica;
        let is_member = standing.members.iter().any(|member| member.id == own);
        let interval = if is_member {
            MEMBER_CHECK_INTERVAL_MS
        } else {
            INTRODUCE_INTERVAL_MS
        };
        if self.is_introducing || now.since(self.introduced) < interval {
            return;
        }
        self.is_introducing = true;
        self.introduced = now;
        let hosts = self.cores.iter().map(|peer| peer.address).collect();
        let may_found = self.inputs.may_found;
        let seeds = self.inputs.seeds.borrow().clone();
        let (links, events) = (self.links.clone(), self.events.clone());
        let ledger = self.inputs.ledger.clone();
        tokio::spawn(async move {
            let others = introduce(&links, hosts, &standing.introduction, &ledger).await;
            if may_found && !is_member {
                found(&standing.introduction, &others, &seeds, &ledger);
            }
            // The hub ends only with the process.
            let _ = events.send(Event::Introduced).await;
        });
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        match datagram::seal(&self.inputs.key, packet) {
            Ok(bytes) => {
                // A full socket loses the datagram, as the network may.
                let _ = self.socket.try_send_to(&bytes, to);
            }
            Err(error) => warn!(self.inputs.log, "datagram not sent"; "error" => %error),
        }
    }

    fn send_step(&self, outgoing: Outgoing) {
        let Some(address) = ledger::address_of(&outgoing.host) else {
            return;
        };
        let address = SocketAddrV4::new(address, self.inputs.port);
        let packet = Packet::Step {
            sender: self.inputs.host.clone(),
            messages: outgoing.messages,
        };
        if let Ok(bytes) = datagram::seal(&self.inputs.key, &packet) {
            // A full socket loses the datagram, as the network may.
            let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(address));
            return;
        }
        let Packet::Step { sender, messages } = packet else {
            return;
        };
        let links = self.links.clone();
        tokio::spawn(async move {
            // A lost message is sent again by the protocol of the log.
            let _: Option<()> = peers::call(&links, address, |client| async move {
                client.step(context::current(), sender, messages).await
            })
            .await;
        });
    }
}

/// Introduces the own replica to all core hosts at once and returns the replicas that answered.
async fn introduce(
    links: &Links,
    hosts: Vec<SocketAddrV4>,
    own: &Introduction,
    ledger: &ledger::Handle,
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
        if answer.is_current && answer.is_retired && !own.is_empty {
            ledger.send(Input::Retire);
        }
        others.push(answer.introduction);
    }
    others
}

/// Founds the fleet if all seeds have answered that their disks are empty and this host has the lowest name of those
/// that may.
fn found(own: &Introduction, others: &[Introduction], seeds: &[Name], ledger: &ledger::Handle) {
    let mut founders: Vec<&Introduction> = others
        .iter()
        .filter(|other| seeds.contains(&other.host))
        .collect();
    founders.push(own);
    let is_complete = founders.len() == seeds.len() && seeds.contains(&own.host);
    let all_empty = founders.iter().all(|founder| founder.is_empty);
    let lowest = founders
        .iter()
        .filter(|founder| founder.is_first_start)
        .map(|founder| &founder.host)
        .min();
    if is_complete && all_empty && lowest == Some(&own.host) {
        ledger.send(Input::Found(founders.into_iter().cloned().collect()));
    }
}
