//! The thread that runs this host's replica of the log of documents and of orders about failure domains.
//!
//! It is a thread and not a task because writing to the disk blocks. All waiting inputs are handled together, so that
//! one fsync covers them.

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self as queue, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{io, thread};

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::Replica;
use primrose_consensus::disk::{Error as DiskError, Options as DiskOptions};
use primrose_consensus::entry::Position;
use primrose_consensus::membership::{Id, Member, Membership};
use primrose_consensus::message::Message;
use primrose_consensus::node::{Error as NodeError, Options, Role, Status};
use primrose_consensus::replica::{Action, Output};
use primrose_observe::Meter;
use slog::{Logger, error, info, warn};
use tokio::sync::{mpsc, oneshot, watch};

use crate::drain::{List, Order};
use crate::entry::Entry;
use crate::members::{View, wanted_voters};
use crate::message::{Acknowledgement, Introduction};
use crate::storage::Storage;
use crate::store::{Reply, Store, Stored};

/// The longest interval between two ticks of the replica, which drive heartbeats and elections.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between two attempts to open the data folder on a full disk.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Number of log entries after which a snapshot replaces them. Entries are whole documents: a long log would fit
/// neither a small disk nor the memory of a small host.
const SNAPSHOT_ENTRIES: u64 = 16;

/// Number of entries that stay in memory after a snapshot, for slow followers.
const KEPT_ENTRIES: u64 = 16;

/// Interval at which the leader checks whether the members of the log should change, in ms.
const MEMBERS_CHECK_INTERVAL_MS: u64 = 200;

/// The size at which a new segment of the log is started, in bytes. It is small so that the space of removed entries
/// is soon free again on a small disk.
const SEGMENT_BYTES: u64 = 1 << 20;

/// An order that has waited longer than this in this host, for example because the host was frozen, is not appended to
/// the log, in ms. Its author has given up and may have ordered the opposite at another host since.
pub const MAX_ORDER_WAIT_MS: u64 = 2_500;

/// An input to the thread.
pub enum Input {
    /// Messages from another replica.
    Messages {
        /// The host of the other replica.
        sender: Name,
        /// The messages, in the order in which they were sent.
        messages: Vec<Message>,
    },
    /// Appends a document to the log.
    Put {
        /// The document with the bytes that its author sent.
        stored: Stored,
        /// Receives what became of the document.
        reply: oneshot::Sender<Outcome>,
    },
    /// Appends an order about a failure domain to the log.
    Order {
        /// The order.
        order: Order,
        /// When this host received it.
        received: Time,
        /// Receives what became of the order.
        reply: oneshot::Sender<Outcome>,
    },
    /// Reads the newest document: at least the one that was acknowledged last.
    Read {
        /// Receives the newest document, or `None` if it is not known which one that is.
        reply: oneshot::Sender<Option<Current>>,
    },
    /// Handles the introduction of another replica.
    Introduce {
        /// Describes the other replica.
        introduction: Introduction,
        /// Receives the answer for the other replica.
        reply: oneshot::Sender<Acknowledgement>,
    },
    /// Forms the fleet with these replicas as voters, if this replica is empty.
    Form(Vec<Introduction>),
    /// Empties the disk and starts again as a new replica, because this one was permanently removed from the log. If this
    /// host shuts down, its replica only learns that it has been replaced.
    Reset,
    /// Transfers the leadership to another replica and asks to be replaced as a voter, because this host shuts down.
    Leave,
}

/// What became of a document or an order that was to be appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is durable on a majority and was applied, with this reply of the state machine.
    Applied(Reply),
    /// It was not appended: this replica does not lead, or could not append it.
    NotLeader,
    /// It was not appended and will not be, because the disk of this host is full.
    DiskFull,
    /// It was not appended and will not be, because it has waited for longer than [`MAX_ORDER_WAIT_MS`].
    Expired,
    /// It is not known whether it has taken or will take effect.
    Unknown,
}

/// The result of a read that is known to be up to date.
#[derive(Clone, Debug)]
pub struct Current {
    /// The document in force, or `None` before the first one.
    pub newest: Option<Arc<Stored>>,
    /// The drained failure domains.
    pub drained: Arc<List>,
}

/// The state of the replica that other tasks can see.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// Describes this replica; tells others whether it is empty.
    pub introduction: Introduction,
    /// The host whose replica leads the log, if known.
    pub leader: Option<Name>,
    /// Whether this replica leads and has applied all that earlier leaders accepted.
    pub is_leading: bool,
    /// The current term of the replica.
    pub term: u64,
    /// The members of the log, voters and learners.
    pub members: Vec<Member>,
    /// Since when the disk of this host refuses writes because it is full.
    pub full_since: Option<Time>,
    /// Whether this host shuts down and is still a voter whose place another replica can take.
    pub awaits_replacement: bool,
}

/// Parameters of the replica.
pub struct Inputs {
    /// The name of the host, which is its address.
    pub host: Name,
    /// Name of the host's failure domain.
    pub domain: Arc<str>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Number of disks that may be lost at the same time without losing the log. The fleet wants twice as many voters
    /// plus one.
    pub tolerated_losses: u32,
    /// Receives the messages to other replicas.
    pub outgoing: mpsc::UnboundedSender<Outgoing>,
    /// Counters; the names are in [`crate::counter`].
    pub meter: Arc<Meter>,
    /// The log of the process.
    pub log: Logger,
}

/// Messages to the replica of one host.
pub struct Outgoing {
    /// The host of the receiving replica.
    pub host: Name,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// A handle to the running thread.
#[derive(Clone)]
pub struct Handle {
    inputs: queue::Sender<Input>,
    state: watch::Receiver<State>,
    newest: watch::Receiver<Option<Arc<Stored>>>,
    drained: watch::Receiver<Arc<List>>,
}

impl Handle {
    /// Sends an input to the thread. Does not wait for it.
    pub fn send(&self, input: Input) {
        // The thread ends only with the process.
        let _ = self.inputs.send(input);
    }

    /// Appends a document to the log and waits until it is durable on a majority, or known not to be appended.
    pub async fn put(&self, stored: Stored) -> Outcome {
        let (reply, result) = oneshot::channel();
        self.send(Input::Put { stored, reply });
        result.await.unwrap_or(Outcome::Unknown)
    }

    /// Appends an order that this host received at `received` to the log and waits until it is durable on a majority and
    /// applied, or known not to be appended.
    pub async fn order(&self, order: Order, received: Time) -> Outcome {
        let (reply, result) = oneshot::channel();
        self.send(Input::Order {
            order,
            received,
            reply,
        });
        result.await.unwrap_or(Outcome::Unknown)
    }

    /// Reads the newest document. Returns `None` if this replica does not lead or cannot confirm that it still does.
    pub async fn read(&self) -> Option<Current> {
        let (reply, result) = oneshot::channel();
        self.send(Input::Read { reply });
        result.await.ok().flatten()
    }

    /// Introduces another replica to this one. Returns `None` only if the thread is ending.
    pub async fn introduce(&self, introduction: Introduction) -> Option<Acknowledgement> {
        let (reply, result) = oneshot::channel();
        self.send(Input::Introduce {
            introduction,
            reply,
        });
        result.await.ok()
    }

    /// The state of the replica that the thread published last.
    pub fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Follows the state of the replica.
    pub fn follow_state(&self) -> watch::Receiver<State> {
        self.state.clone()
    }

    /// Waits until this replica, whose host shuts down, has been replaced as a voter or no other replica can take its
    /// place.
    pub async fn replaced(&self) {
        // The thread that publishes the state ends only with the process.
        let mut state = self.state.clone();
        let _ = state.wait_for(|state| !state.awaits_replacement).await;
    }

    /// Follows the newest document that this host may distribute.
    pub fn follow_newest(&self) -> watch::Receiver<Option<Arc<Stored>>> {
        self.newest.clone()
    }

    /// Follows the newest list of drained failure domains that this host may distribute. It is not older than the newest
    /// document.
    pub fn follow_drained(&self) -> watch::Receiver<Arc<List>> {
        self.drained.clone()
    }
}

/// The address of a host, which is its name, or `None` if the name is not an address.
pub fn address_of(host: &Name) -> Option<Ipv4Addr> {
    host.as_str().parse().ok()
}

/// Opens the data folder, recovers the state from it and starts the thread. If the disk is full, the thread opens the
/// folder when there is room.
///
/// # Errors
///
/// Returns the error of the disk, for example a damaged file with its name and the position of the damage, or the
/// error of starting the thread.
pub fn open(folder: &Path, inputs: Inputs) -> Result<Handle, DiskError> {
    open_storage(Storage::folder(folder), inputs)
}

/// Like [`open`], but with the given access to the data folder.
///
/// # Errors
///
/// As [`open`].
pub fn open_storage(mut storage: Storage, inputs: Inputs) -> Result<Handle, DiskError> {
    let shared = Shared::default();
    let replica = match open_replica(&mut storage, &inputs.host, &shared) {
        Ok(replica) => Some(replica),
        Err(DiskError::Full { .. }) => None,
        Err(error) => return Err(error),
    };
    let (input_sender, receiver) = queue::channel();
    let initial = replica.as_ref().map_or_else(
        || unopened_state(&inputs),
        |replica| state_of(replica, &inputs, None, false),
    );
    let (state_sender, state) = watch::channel(initial);
    let (newest_sender, newest) = watch::channel(None);
    let (drained_sender, drained) = watch::channel(Arc::default());
    let senders = Senders {
        state: state_sender,
        newest: newest_sender,
        drained: drained_sender,
    };
    let start = move || {
        let opened = match replica {
            Some(replica) => Some(replica),
            None => open_when_possible(&mut storage, &inputs, &shared, &receiver, &senders.state),
        };
        if let Some(replica) = opened {
            Worker::new(storage, replica, inputs, receiver, shared, senders).run();
        }
    };
    thread::Builder::new()
        .name("ledger".to_owned())
        .spawn(start)
        .map_err(|source| DiskError::Operation {
            operation: "starting the thread",
            file: "ledger".to_owned(),
            source,
        })?;
    Ok(Handle {
        inputs: input_sender,
        state,
        newest,
        drained,
    })
}

/// What the thread publishes.
struct Senders {
    state: watch::Sender<State>,
    newest: watch::Sender<Option<Arc<Stored>>>,
    drained: watch::Sender<Arc<List>>,
}

/// State that the closure that applies entries shares with the worker.
#[derive(Clone, Default)]
struct Shared {
    store: Arc<Mutex<Store>>,
    applied: Arc<Mutex<Vec<Applied>>>,
    /// Set when a snapshot or an entry could not be decoded.
    damaged: Arc<AtomicBool>,
}

/// The reply of the state machine to one entry.
struct Applied {
    position: Position,
    reply: Reply,
}

fn open_replica(storage: &mut Storage, host: &Name, shared: &Shared) -> Result<Replica, DiskError> {
    let fleet = Name::new("primrose").unwrap_or_else(|_| host.clone());
    let options = DiskOptions {
        segment_bytes: SEGMENT_BYTES,
        ..DiskOptions::new(fleet, host.clone(), Id(rand::random()))
    };
    let opened = (storage.open)(options)?;
    *lock(&shared.store) = Store::default();
    let shared = shared.clone();
    let apply = move |action: Action<'_>| match action {
        Action::Apply { position, data } => match Entry::decode(data) {
            Ok(entry) => {
                let reply = lock(&shared.store).apply(entry);
                lock(&shared.applied).push(Applied { position, reply });
            }
            Err(_) => shared.damaged.store(true, Ordering::Relaxed),
        },
        Action::Restore { data, .. } => match Store::restore(data) {
            Ok(store) => *lock(&shared.store) = store,
            Err(_) => shared.damaged.store(true, Ordering::Relaxed),
        },
    };
    let options = Options {
        // Heartbeats at this rate cost little compared to the requests, and a lease is renewed several times before
        // it ends.
        heartbeat_ms: 100,
        lease_reads: false,
        // Nothing relies on a lease: reads and removals are confirmed by a majority.
        keeps_lease_over_restart: false,
        keep_entries: KEPT_ENTRIES,
        ..Options::default()
    };
    Ok(Replica::new(
        opened,
        options,
        Time::now(),
        rand::random(),
        apply,
    ))
}

/// The state before the folder could be opened. The replica is not reported as empty, so that no fleet is formed with it
/// and no leader adds it.
fn unopened_state(inputs: &Inputs) -> State {
    State {
        introduction: Introduction {
            host: inputs.host.clone(),
            domain: Arc::clone(&inputs.domain),
            replica: Id(0),
            is_empty: false,
            is_first_start: inputs.is_first_start,
            is_leaving: false,
        },
        leader: None,
        is_leading: false,
        term: 0,
        members: Vec::new(),
        full_since: Some(Time::now()),
        awaits_replacement: false,
    }
}

/// Opens the folder when the disk has room, and answers inputs meanwhile. Returns `None` when the process ends.
fn open_when_possible(
    storage: &mut Storage,
    inputs: &Inputs,
    shared: &Shared,
    receiver: &Receiver<Input>,
    state: &watch::Sender<State>,
) -> Option<Replica> {
    let since = Time::now();
    inputs.meter.count("disk_full");
    warn!(
        inputs.log,
        "the disk is full, the replica starts when there is room"
    );
    state.send_modify(|state| {
        state.is_leading = false;
        state.full_since = Some(since);
    });
    let mut last_try = Instant::now();
    loop {
        let pause = OPEN_RETRY_INTERVAL.saturating_sub(last_try.elapsed());
        match receiver.recv_timeout(pause) {
            Ok(input) => refuse(input, &state.borrow()),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        if last_try.elapsed() < OPEN_RETRY_INTERVAL {
            continue;
        }
        last_try = Instant::now();
        match open_replica(storage, &inputs.host, shared) {
            Ok(replica) => {
                report_room(inputs, since);
                return Some(replica);
            }
            Err(DiskError::Full { .. }) => {}
            Err(error) => end_process(&inputs.log, "opening the disk", &error),
        }
    }
}

/// Answers an input while there is no replica. The senders of the other inputs send them again.
fn refuse(input: Input, state: &State) {
    // The callers may have given up.
    match input {
        Input::Put { reply, .. } | Input::Order { reply, .. } => {
            let _ = reply.send(Outcome::DiskFull);
        }
        Input::Read { reply } => drop(reply.send(None)),
        Input::Introduce { reply, .. } => drop(reply.send(Acknowledgement {
            introduction: state.introduction.clone(),
            members: Vec::new(),
            is_retired: false,
        })),
        Input::Messages { .. } | Input::Form(_) | Input::Reset | Input::Leave => {}
    }
}

fn report_room(inputs: &Inputs, since: Time) {
    inputs.meter.count("disk_has_room");
    info!(inputs.log, "the disk has room again"; "full_ms" => Time::now().since(since));
}

/// Ends the process, because it is unknown what a failed write has left on the disk.
fn end_process(log: &Logger, during: &str, error: &dyn std::error::Error) -> ! {
    let cause = error.source().map(ToString::to_string);
    error!(log, "the replica failed, ending the process";
        "during" => during, "error" => %error, "cause" => cause);
    // Gives the thread that writes the log lines time to finish.
    thread::sleep(Duration::from_millis(300));
    std::process::exit(1);
}

fn state_of(replica: &Replica, inputs: &Inputs, leader: Option<Name>, is_leading: bool) -> State {
    let node = replica.node();
    State {
        introduction: Introduction {
            host: inputs.host.clone(),
            domain: Arc::clone(&inputs.domain),
            replica: node.id(),
            is_empty: node.last_position() == Position::default() && node.term() == 0,
            is_first_start: inputs.is_first_start,
            is_leaving: false,
        },
        leader,
        is_leading,
        term: node.term(),
        members: node.membership().members().to_vec(),
        full_since: replica.full_since(),
        awaits_replacement: false,
    }
}

/// Why a document or an order was not appended.
struct Refused {
    outcome: Outcome,
    reason: String,
}

/// A document or an order that was appended and waits until its entry is applied.
struct Put {
    position: Position,
    reply: oneshot::Sender<Outcome>,
}

/// A read that waits for a majority to confirm the leadership.
struct Read {
    context: u64,
    reply: oneshot::Sender<Option<Current>>,
}

/// A host that has sent a message.
struct Sender {
    host: Name,
    /// The replica that last sent messages of the log.
    id: Option<Id>,
    domain: Option<Arc<str>>,
    last_heard: Time,
}

struct Worker {
    storage: Storage,
    replica: Replica,
    inputs: Inputs,
    receiver: Receiver<Input>,
    shared: Shared,
    state: watch::Sender<State>,
    newest: watch::Sender<Option<Arc<Stored>>>,
    drained: watch::Sender<Arc<List>>,
    /// Sorted by the index of the entry, since later entries have higher indices.
    puts: Vec<Put>,
    reads: Vec<Read>,
    /// Context of the next read. Contexts of reads are above those of barriers, which are terms.
    next_read: u64,
    /// The term in which this leader still has to request a barrier, a read that only confirms its leadership. After
    /// the confirmation the leader has applied all that earlier leaders accepted.
    barrier: Option<u64>,
    is_leading: bool,
    /// Empty replicas that asked to be added, one per host.
    newcomers: Vec<Introduction>,
    /// Replicas whose hosts shut down, sorted.
    leaving: Vec<Id>,
    /// Whether this host shuts down.
    is_leaving: bool,
    /// Whether this replica was removed from the log while its host shut down.
    is_removed: bool,
    /// Sorted by host.
    senders: Vec<Sender>,
    last_members_check: Time,
    /// Since when the disk is full, as reported in the log.
    full_since: Option<Time>,
}

impl Worker {
    fn new(
        storage: Storage,
        replica: Replica,
        inputs: Inputs,
        receiver: Receiver<Input>,
        shared: Shared,
        senders: Senders,
    ) -> Worker {
        let Senders {
            state,
            newest,
            drained,
        } = senders;
        Worker {
            storage,
            replica,
            inputs,
            receiver,
            shared,
            state,
            newest,
            drained,
            puts: Vec::new(),
            reads: Vec::new(),
            next_read: 1 << 32,
            barrier: None,
            is_leading: false,
            newcomers: Vec::new(),
            leaving: Vec::new(),
            is_leaving: false,
            is_removed: false,
            senders: Vec::new(),
            last_members_check: Time::ZERO,
            full_since: None,
        }
    }

    fn run(mut self) {
        // The first tick is at once: a voter may stand for election as soon as it has started.
        let mut wait = Duration::ZERO;
        loop {
            match self
                .receiver
                .recv_timeout(std::mem::replace(&mut wait, TICK_INTERVAL))
            {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(input) = self.receiver.try_recv() {
                self.handle_input(input);
            }
            self.replica.tick(Time::now());
            self.request_barrier();
            self.change_members_if_due();
            self.flush();
            self.snapshot();
            self.publish();
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now = Time::now();
        match input {
            Input::Messages { sender, messages } => {
                let id = messages.first().map(|message| message.from);
                self.record_sender(&sender, id, None);
                for message in messages {
                    self.replica.receive(now, message);
                }
            }
            Input::Put { stored, reply } => self.put(stored, reply, now),
            Input::Order {
                order,
                received,
                reply,
            } => self.order(order, received, reply, now),
            Input::Read { reply } => self.read(reply, now),
            Input::Introduce {
                introduction,
                reply,
            } => self.introduce(introduction, reply),
            Input::Form(introductions) => self.form_fleet(introductions, now),
            Input::Reset if self.is_leaving => self.is_removed = true,
            Input::Reset => self.reset(),
            Input::Leave => self.leave(now),
        }
    }

    fn leave(&mut self, now: Time) {
        self.is_leaving = true;
        self.record_leaving(self.replica.node().id(), true);
        match self.replica.transfer_leadership(now, None) {
            Ok(to) => info!(self.inputs.log, "started a leadership transfer"; "to" => %to),
            Err(NodeError::NotLeader { .. }) => {}
            Err(error) => {
                warn!(self.inputs.log, "cannot transfer the leadership"; "error" => %error);
            }
        }
    }

    fn record_leaving(&mut self, id: Id, is_leaving: bool) {
        match (self.leaving.binary_search(&id), is_leaving) {
            (Err(at), true) => self.leaving.insert(at, id),
            (Ok(at), false) => drop(self.leaving.remove(at)),
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    fn put(&mut self, stored: Stored, reply: oneshot::Sender<Outcome>, now: Time) {
        let version = stored.document.version;
        if let Some(refused) = self.append(&Entry::Document(stored), reply, now) {
            info!(self.inputs.log, "document not appended to the log";
                "version" => version, "reason" => refused);
        }
    }

    fn order(&mut self, order: Order, received: Time, reply: oneshot::Sender<Outcome>, now: Time) {
        let (domain, action) = (Arc::clone(&order.domain), order.action);
        let waited_ms = now.since(received);
        let refused = if waited_ms > MAX_ORDER_WAIT_MS || reply.is_closed() {
            // The caller may have given up.
            let _ = reply.send(Outcome::Expired);
            Some("the order has waited for too long, or its author has given up".to_owned())
        } else {
            self.append(&Entry::Order(order), reply, now)
        };
        if let Some(refused) = refused {
            info!(self.inputs.log, "order not appended to the log"; "domain" => &*domain,
                "action" => ?action, "waited_ms" => waited_ms, "reason" => refused);
        }
    }

    /// Appends an entry to the log, and answers when it is applied. If it cannot be appended, answers at once and returns
    /// the reason.
    fn append(
        &mut self,
        entry: &Entry,
        reply: oneshot::Sender<Outcome>,
        now: Time,
    ) -> Option<String> {
        match self.propose(entry, now) {
            Ok(position) => {
                self.puts.push(Put { position, reply });
                None
            }
            Err(refused) => {
                // The caller may have given up; it will retry.
                let _ = reply.send(refused.outcome);
                Some(refused.reason)
            }
        }
    }

    fn propose(&mut self, entry: &Entry, now: Time) -> Result<Position, Refused> {
        let not_appended = |reason: String| Refused {
            outcome: Outcome::NotLeader,
            reason,
        };
        if !self.is_leading {
            return Err(not_appended("this replica does not lead".to_owned()));
        }
        let data = entry.encode().map_err(|e| not_appended(e.to_string()))?;
        self.replica.propose(now, data).map_err(|error| Refused {
            outcome: match error {
                NodeError::DiskFull => Outcome::DiskFull,
                _ => Outcome::NotLeader,
            },
            reason: error.to_string(),
        })
    }

    fn read(&mut self, reply: oneshot::Sender<Option<Current>>, now: Time) {
        let context = self.next_read;
        self.next_read += 1;
        if self.is_leading && self.replica.read_barrier(now, context).is_ok() {
            self.reads.push(Read { context, reply });
        } else {
            // The caller may have given up; it will ask another host.
            let _ = reply.send(None);
        }
    }

    fn introduce(&mut self, caller: Introduction, reply: oneshot::Sender<Acknowledgement>) {
        self.record_sender(&caller.host, None, Some(Arc::clone(&caller.domain)));
        let node = self.replica.node();
        let retired = node.committed_membership().retired();
        let is_retired = retired.binary_search(&caller.replica).is_ok();
        let answer = Acknowledgement {
            introduction: self.state.borrow().introduction.clone(),
            members: node.membership().members().to_vec(),
            is_retired,
        };
        // The caller may have given up; it will retry.
        let _ = reply.send(answer);
        self.record_leaving(caller.replica, caller.is_leaving);
        if caller.is_empty && !caller.is_leaving {
            self.newcomers.retain(|other| other.host != caller.host);
            self.newcomers.push(caller);
        }
    }

    fn form_fleet(&mut self, introductions: Vec<Introduction>, now: Time) {
        let members = introductions.into_iter().map(|introduction| Member {
            id: introduction.replica,
            host: introduction.host,
            voter: true,
        });
        match self
            .replica
            .bootstrap(now, Membership::new(members.collect()))
        {
            Ok(()) => info!(self.inputs.log, "formed the fleet"),
            Err(error) => warn!(self.inputs.log, "cannot form the fleet"; "error" => %error),
        }
    }

    /// Empties the disk and continues as a new replica, which then asks to be added.
    fn reset(&mut self) {
        let old = self.replica.node().id();
        if let Err(error) = (self.storage.empty)() {
            end_process(
                &self.inputs.log,
                "emptying the disk of a removed replica",
                &error,
            );
        }
        self.is_leading = false;
        match open_replica(&mut self.storage, &self.inputs.host, &self.shared) {
            Ok(replica) => self.replica = replica,
            Err(DiskError::Full { .. }) => {
                let opened = open_when_possible(
                    &mut self.storage,
                    &self.inputs,
                    &self.shared,
                    &self.receiver,
                    &self.state,
                );
                // Without an opened folder, the process is ending.
                let Some(replica) = opened else { return };
                self.replica = replica;
            }
            Err(error) => end_process(&self.inputs.log, "opening the emptied disk", &error),
        }
        self.inputs.meter.count("replica_replaced");
        warn!(self.inputs.log, "this replica was removed and starts again as a new one";
            "old" => %old, "new" => %self.replica.node().id());
    }

    fn record_sender(&mut self, host: &Name, id: Option<Id>, domain: Option<Arc<str>>) {
        let at = self
            .senders
            .binary_search_by(|sender| sender.host.cmp(host))
            .unwrap_or_else(|at| {
                let sender = Sender {
                    host: host.clone(),
                    id: None,
                    domain: None,
                    last_heard: Time::ZERO,
                };
                self.senders.insert(at, sender);
                at
            });
        let sender = &mut self.senders[at];
        sender.last_heard = Time::now();
        sender.id = id.or(sender.id);
        sender.domain = domain.or(sender.domain.take());
    }

    fn flush(&mut self) {
        let output = match self.replica.flush() {
            Ok(output) => output,
            Err(error) => end_process(&self.inputs.log, "writing the log", &error),
        };
        if self.shared.damaged.load(Ordering::Relaxed) {
            let error = io::Error::other("an entry or a snapshot cannot be decoded");
            end_process(&self.inputs.log, "applying the log", &error);
        }
        self.report_space();
        if let Some(status) = output.status {
            self.handle_status_change(status);
        }
        self.confirm_leadership(&output);
        self.answer_reads(&output);
        self.answer_puts(&output);
        self.send(output);
    }

    /// Reports that the disk has become full, or has room again.
    fn report_space(&mut self) {
        let full_since = self.replica.full_since();
        match (self.full_since, full_since) {
            (None, Some(_)) => {
                self.inputs.meter.count("disk_full");
                warn!(
                    self.inputs.log,
                    "the disk is full, the replica goes on when there is room"
                );
            }
            (Some(since), None) => report_room(&self.inputs, since),
            (None, None) | (Some(_), Some(_)) => {}
        }
        self.full_since = full_since;
    }

    fn handle_status_change(&mut self, status: Status) {
        self.inputs.meter.count("leader_changed");
        info!(self.inputs.log, "role or leader of the replica changed"; "role" => ?status.role, "term" => status.term,
            "leader" => self.leader().map(|name| name.to_string()));
        self.is_leading = false;
        self.newcomers.clear();
        let own = self.replica.node().id();
        self.leaving.retain(|id| *id == own);
        self.barrier = (status.role == Role::Leader).then_some(status.term);
    }

    fn request_barrier(&mut self) {
        if let Some(term) = self.barrier
            && self.replica.read_barrier(Time::now(), term).is_ok()
        {
            self.barrier = None;
        }
    }

    fn confirm_leadership(&mut self, output: &Output) {
        let status = self.replica.node().status();
        let is_leader = status.role == Role::Leader;
        if is_leader && output.reads.contains(&status.term) {
            self.is_leading = true;
        }
        if output.aborted_reads.contains(&status.term) {
            self.barrier = is_leader.then_some(status.term);
        }
    }

    fn answer_reads(&mut self, output: &Output) {
        for context in &output.reads {
            if let Some(at) = self.reads.iter().position(|read| read.context == *context) {
                let current = {
                    let store = lock(&self.shared.store);
                    Current {
                        newest: store.newest().cloned(),
                        drained: Arc::clone(store.drained()),
                    }
                };
                // The caller may have given up.
                let _ = self.reads.swap_remove(at).reply.send(Some(current));
            }
        }
        self.reads.retain(|read| {
            !output.aborted_reads.contains(&read.context) && !read.reply.is_closed()
        });
    }

    fn answer_puts(&mut self, output: &Output) {
        if let Some(dropped) = output.dropped {
            let first = self
                .puts
                .partition_point(|put| put.position.index < dropped);
            for put in self.puts.drain(first..) {
                let _ = put.reply.send(Outcome::DiskFull);
            }
        }
        let results = std::mem::take(&mut *lock(&self.shared.applied));
        let done = self
            .puts
            .partition_point(|put| put.position.index <= output.applied);
        for put in self.puts.drain(..done) {
            let result = results
                .iter()
                .find(|applied| applied.position == put.position);
            // Without a result, an entry of another leader took the place of this one, or the entry is part of a
            // snapshot. The author sends the same document again and then learns which.
            let outcome =
                result.map_or(Outcome::Unknown, |applied| Outcome::Applied(applied.reply));
            // The caller may have given up; it will retry.
            let _ = put.reply.send(outcome);
        }
        if self.replica.node().status().role != Role::Leader {
            // The remaining entries may still be committed by another leader.
            for put in self.puts.drain(..) {
                let _ = put.reply.send(Outcome::Unknown);
            }
        }
    }

    fn send(&self, output: Output) {
        let mut messages = output.messages;
        messages.sort_by_key(|message| message.to);
        for group in messages.chunk_by(|a, b| a.to == b.to) {
            if let Some(host) = self.host_of(group[0].to) {
                // The receiving task ends only with the process.
                let _ = self.inputs.outgoing.send(Outgoing {
                    host,
                    messages: group.to_vec(),
                });
            }
        }
    }

    fn host_of(&self, id: Id) -> Option<Name> {
        if let Some(member) = self.replica.node().membership().member(id) {
            return Some(member.host.clone());
        }
        // An empty replica has no membership in which to look up the host of the replica that it answers.
        let mut senders = self.senders.iter();
        let sender = senders.find(|sender| sender.id == Some(id))?;
        Some(sender.host.clone())
    }

    fn leader(&self) -> Option<Name> {
        self.host_of(self.replica.node().status().leader?)
    }

    fn change_members_if_due(&mut self) {
        let now = Time::now();
        if !self.is_leading || now.since(self.last_members_check) < MEMBERS_CHECK_INTERVAL_MS {
            return;
        }
        self.last_members_check = now;
        let node = self.replica.node();
        let find = |host: &Name| {
            let at = self
                .senders
                .binary_search_by(|sender| sender.host.cmp(host))
                .ok()?;
            Some(&self.senders[at])
        };
        // The silence of other hosts is counted from the start of the leadership at the earliest, or a new leader
        // would take every other host for lost.
        let since = node.leader_since().unwrap_or(now);
        let view = View {
            members: node.membership().members(),
            own: node.id(),
            newcomers: &self.newcomers,
            leaving: &self.leaving,
            silence_ms: &|host| {
                let heard = find(host).map_or(since, |sender| sender.last_heard.max(since));
                now.since(heard)
            },
            domain: &|host| find(host).and_then(|sender| sender.domain.clone()),
            tolerated_losses: self.inputs.tolerated_losses,
        };
        let Some(change) = view.next_change() else {
            return;
        };
        match self.replica.change_membership(now, &change) {
            Ok(_) => info!(self.inputs.log, "changing the members of the log"; "change" => ?change),
            Err(NodeError::Pending | NodeError::Behind { .. } | NodeError::Quorum { .. }) => {}
            Err(NodeError::RemovesLeader(_)) => {
                // The leader shuts down, or is to be replaced by a learner on its own host. A replica with an empty
                // disk cannot lead, so in that case the leader is the former replica of this host.
                if let Err(error) = self.replica.transfer_leadership(now, None) {
                    warn!(self.inputs.log, "cannot transfer the leadership"; "error" => %error);
                }
            }
            Err(error) => {
                warn!(self.inputs.log, "cannot change the members of the log";
                    "change" => ?change, "error" => %error);
                self.newcomers.clear();
            }
        }
    }

    fn snapshot(&mut self) {
        if self.replica.entries_since_snapshot() < SNAPSHOT_ENTRIES {
            return;
        }
        let data = lock(&self.shared.store).snapshot();
        let taken = match data {
            Ok(data) => self
                .replica
                .take_snapshot(data)
                .map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(error) = taken {
            warn!(self.inputs.log, "cannot take a snapshot"; "error" => error);
        }
    }

    fn awaits_replacement(&self) -> bool {
        let node = self.replica.node();
        let members = node.membership().members();
        let voters = members.iter().filter(|member| member.voter).count();
        let wanted = wanted_voters(self.inputs.tolerated_losses);
        let has_successor = voters < members.len() || voters > wanted;
        let is_voter = node.committed_membership().is_voter(node.id());
        self.is_leaving && !self.is_removed && is_voter && has_successor
    }

    fn publish(&mut self) {
        let mut state = state_of(&self.replica, &self.inputs, self.leader(), self.is_leading);
        state.introduction.is_leaving = self.is_leaving;
        state.awaits_replacement = self.awaits_replacement();
        self.state.send_if_modified(|current| {
            let is_changed = *current != state;
            if is_changed {
                *current = state;
            }
            is_changed
        });
        // After a restart the disk may not show that the newest entries were committed. The version in force must not
        // go back, so nothing is published before the replica has caught up.
        if !self.replica.node().has_caught_up() {
            return;
        }
        let (newest, drained) = {
            let store = lock(&self.shared.store);
            (store.newest().cloned(), Arc::clone(store.drained()))
        };
        // Before the document: a host that serves according to a document must know which domains were drained then.
        self.drained.send_if_modified(|current| {
            let is_newer = drained.revision > current.revision;
            if is_newer {
                *current = drained;
            }
            is_newer
        });
        self.newest.send_if_modified(|current| {
            let version = |stored: &Option<Arc<Stored>>| {
                stored.as_ref().map_or(0, |stored| stored.document.version)
            };
            let is_newer = version(&newest) > version(current);
            if is_newer {
                *current = newest;
            }
            is_newer
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock is held ends the thread that owns the state, so no partly changed state is read.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
