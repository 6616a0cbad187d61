//! The thread that owns the replica of the log on a host with a data folder.
//!
//! It is a thread and not a task because writing to the disk blocks. All inputs that are in the queue are handled
//! together, so that one fsync covers them.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self as queue, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_config::{Configuration, State as Lifecycle};
use primrose_consensus::Replica;
use primrose_consensus::disk::{Disk, Error as DiskError, Open, Options as DiskOptions, Recovered};
use primrose_consensus::entry::Position;
use primrose_consensus::membership::{Change, Id, Member, Membership};
use primrose_consensus::message::Message;
use primrose_consensus::node::{Error as NodeError, Options, Role, Status as NodeStatus};
use primrose_consensus::replica::{Action, Output};
use primrose_state::order::Lease;
use primrose_state::{Clock, Command, Machine, Reply, SnapshotError};
use primrose_wire::peer::{Introduction, Submitted};
use slog::{Logger, error, info, warn};
use tokio::sync::{mpsc, oneshot, watch};

use crate::counters::Counters;

/// Longest interval between two calls of [`Replica::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two attempts to open the data folder on a full disk.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between heartbeats, half a leader lease. At 100 ms the heartbeats of an idle leader took 1.2 KB/s.
const HEARTBEAT_MS: u64 = 200;

/// Number of entries after which a snapshot replaces the log. At the target of 2,500 changes a day this gives about
/// one snapshot a day.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 10_000;

/// A replica that has known no leader for this long, the time of several elections, counts as cut off from the
/// majority. A host that restarts without a configuration may then get one that is older than the one it had, because
/// its failure domain must continue to serve requests.
const LEADERLESS_TIMEOUT_MS: u64 = 10_000;

/// An input for the thread of the replica.
pub enum Input {
    /// Messages of another replica.
    Messages {
        /// Name of the host of the sending replica.
        sender: Name,
        /// The messages, in the order in which the sender produced them.
        messages: Vec<Message>,
    },
    /// Proposes a command to the log.
    Submit {
        /// The command. If it is a claim, the thread sets its `proposed_ms`.
        command: Command,
        /// Receives the result when the command is applied or lost.
        reply: oneshot::Sender<Submitted>,
    },
    /// The identity of another replica, whose data folder is empty; a leader adds it to the members of the log.
    Introduce(Introduction),
    /// Forms the fleet with these members, if this replica is empty.
    Bootstrap(Vec<Member>),
    /// Transfers the leadership to another voter, because this host is leaving.
    TransferLeadership,
}

/// The state of the replica, as published for other tasks.
#[derive(Clone, Debug)]
pub struct Status {
    /// The identity of this replica and whether it is empty.
    pub introduction: Introduction,
    /// The host that leads the log, if known.
    pub leader: Option<Name>,
    /// Whether this replica leads.
    pub is_leader: bool,
    /// The highest term that this replica has seen.
    pub term: u64,
    /// Members of the log, sorted by id; none if the replica is empty.
    pub members: Vec<Member>,
    /// End of the leader lease, on the clock of this process; `None` if this replica does not lead.
    pub lease_until: Option<Time>,
    /// Whether this replica leads and has applied an entry of its own term, so that it knows all entries that earlier
    /// leaders committed.
    pub is_caught_up: bool,
    /// When this replica lost its last known leader, or the start if it has known none; `None` while it knows one.
    pub leaderless_since: Option<Time>,
    /// Number of fsyncs of the log since the start of the process.
    pub log_syncs: u64,
}

impl Status {
    /// Whether this replica may give its configuration to a host that has none: the configuration is the newest
    /// committed one, or no leader has been known for [`LEADERLESS_TIMEOUT_MS`].
    pub fn may_serve_configuration(&self, now: Time) -> bool {
        let has_lease = self.lease_until.is_some_and(|until| now < until);
        let is_cut_off = self
            .leaderless_since
            .is_some_and(|since| now.since(since) >= LEADERLESS_TIMEOUT_MS);
        (self.is_caught_up && has_lease) || is_cut_off
    }
}

/// Access to a running replica from other tasks.
#[derive(Clone)]
pub struct Handle {
    inputs: queue::Sender<Input>,
    status: watch::Receiver<Status>,
    machine: Arc<Mutex<Machine>>,
}

impl Handle {
    /// Sends an input to the thread.
    pub fn send(&self, input: Input) {
        // Fails only when the process ends, because the thread runs until then.
        let _ = self.inputs.send(input);
    }

    /// Proposes a command to the log and waits until it is applied or lost.
    pub async fn submit(&self, command: Command) -> Submitted {
        let (reply, result) = oneshot::channel();
        self.send(Input::Submit { command, reply });
        result.await.unwrap_or(Submitted::Unknown)
    }

    /// The latest published state of the replica.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// The leader lease of this replica; `None` if it does not lead. The lease of a leader that no majority has
    /// answered yet counts as ended.
    pub fn lease(&self) -> Option<Lease> {
        let status = self.status.borrow();
        status.is_leader.then(|| Lease {
            term: status.term,
            until: status.lease_until.unwrap_or(Time::ZERO),
            caught_up: status.is_caught_up,
        })
    }

    /// Calls `read` with the state machine. `read` must be short, because it blocks the thread of the replica.
    pub fn read<T>(&self, read: impl FnOnce(&Machine) -> T) -> T {
        read(&lock(&self.machine))
    }
}

/// The identity of the replica and the channels of its thread.
pub struct Inputs {
    /// Name of the fleet; [`open`] refuses the data folder of another one.
    pub fleet: Name,
    /// Name of this host; [`open`] refuses the data folder of another one.
    pub host: Name,
    /// Receives the messages for other replicas, with the host to which they must be sent.
    pub outgoing: mpsc::UnboundedSender<Outgoing>,
    /// Receives every new configuration.
    pub configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// Counts `leader_changed`, `disk_full` and `disk_has_room`.
    pub counters: Arc<Counters>,
    /// Receives the log lines of the thread.
    pub log: Logger,
}

/// Messages for the replica on one host.
pub struct Outgoing {
    /// Name of the host.
    pub host: Name,
    /// The messages, in the order in which they must arrive.
    pub messages: Vec<Message>,
}

/// Opens the data folder, recovers the state and starts the thread. If the disk is full, the thread opens the folder when
/// there is room.
///
/// # Errors
///
/// Returns the error of the disk, for example that a file is damaged, with the file and the offset.
pub fn open(folder: &Path, inputs: Inputs) -> Result<Handle, DiskError> {
    let folder = folder.to_owned();
    open_disk(
        Box::new(move |options| Disk::open(&folder, options)),
        inputs,
    )
}

/// Like [`open`], but `open` opens the data folder.
///
/// # Errors
///
/// As [`open`].
pub fn open_disk(mut open: Open, inputs: Inputs) -> Result<Handle, DiskError> {
    let options = DiskOptions::new(
        inputs.fleet.clone(),
        inputs.host.clone(),
        Id(rand::random()),
    );
    let opened = match open(options.clone()) {
        Ok(opened) => Some(opened),
        Err(DiskError::Full { .. }) => None,
        Err(error) => return Err(error),
    };
    let applied = Arc::new(Mutex::new(Vec::new()));
    let machine = Arc::new(Mutex::new(Machine::default()));
    let restore_failure = Arc::new(Mutex::new(None));
    let restored_index = Arc::new(AtomicU64::new(0));
    let apply = {
        let (applied, machine) = (Arc::clone(&applied), Arc::clone(&machine));
        let (restore_failure, restored_index) =
            (Arc::clone(&restore_failure), Arc::clone(&restored_index));
        move |action: Action<'_>| match action {
            Action::Apply { position, data } => {
                if let Some(reply) = apply_entry(&machine, data) {
                    lock(&applied).push(Applied { position, reply });
                }
            }
            Action::Restore { position, data } => match Machine::restore(data) {
                Ok(restored) => {
                    *lock(&machine) = restored;
                    restored_index.store(position.index, Ordering::Relaxed);
                }
                Err(error) => *lock(&restore_failure) = Some(error),
            },
        }
    };
    // A replica that could not be opened is not reported as empty, so that no fleet is formed with it.
    let introduction = Introduction {
        host: inputs.host.clone(),
        replica: opened.as_ref().map_or(Id(0), |(_, recovered)| recovered.id),
        is_empty: opened
            .as_ref()
            .is_some_and(|(_, recovered)| recovered.is_empty()),
    };
    let (input_sender, input_receiver) = queue::channel();
    let (status_sender, status) = watch::channel(Status {
        introduction,
        leader: None,
        is_leader: false,
        term: 0,
        members: Vec::new(),
        lease_until: None,
        is_caught_up: false,
        leaderless_since: Some(Time::now()),
        log_syncs: 0,
    });
    let worker_machine = Arc::clone(&machine);
    let start = move || {
        let opened =
            opened.or_else(|| open_when_possible(&mut open, &options, &inputs, &input_receiver));
        let Some(opened) = opened else { return };
        let options = Options {
            heartbeat_ms: HEARTBEAT_MS,
            ..Options::default()
        };
        let worker = Worker {
            replica: Replica::new(opened, options, Time::now(), rand::random(), apply),
            inputs,
            receiver: input_receiver,
            applied,
            machine: worker_machine,
            restore_failure,
            restored_index,
            status: status_sender,
            waiting: Vec::new(),
            clock: None,
            pending_barrier: None,
            new_replicas: Vec::new(),
            senders: Vec::new(),
            full_since: None,
        };
        worker.run();
    };
    thread::Builder::new()
        .name("replica".to_owned())
        .spawn(start)
        .map_err(|source| DiskError::Operation {
            operation: "starting the thread",
            file: "replica".to_owned(),
            source,
        })?;
    Ok(Handle {
        inputs: input_sender,
        status,
        machine,
    })
}

/// Opens the folder when the disk has room, and refuses submissions meanwhile. Returns `None` when the process ends.
fn open_when_possible(
    open: &mut Open,
    options: &DiskOptions,
    inputs: &Inputs,
    receiver: &Receiver<Input>,
) -> Option<(Disk, Recovered)> {
    let since = Time::now();
    inputs.counters.count("disk_full");
    warn!(
        inputs.log,
        "the disk is full, the replica starts when there is room"
    );
    let mut last_try = Instant::now();
    loop {
        let pause = OPEN_RETRY_INTERVAL.saturating_sub(last_try.elapsed());
        match receiver.recv_timeout(pause) {
            Ok(Input::Submit { reply, .. }) => {
                // The caller may have given up.
                let _ = reply.send(Submitted::NotLeader { leader: None });
            }
            // The senders of other inputs repeat them.
            Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        if last_try.elapsed() < OPEN_RETRY_INTERVAL {
            continue;
        }
        last_try = Instant::now();
        match open(options.clone()) {
            Ok(opened) => {
                report_room(inputs, since);
                return Some(opened);
            }
            Err(DiskError::Full { .. }) => {}
            Err(error) => abort(&inputs.log, &error),
        }
    }
}

fn report_room(inputs: &Inputs, since: Time) {
    inputs.counters.count("disk_has_room");
    info!(inputs.log, "the disk has room again"; "full_ms" => Time::now().since(since));
}

/// Ends the process, because the contents of the disk are unknown after a failed write.
fn abort(log: &Logger, error: &dyn std::error::Error) -> ! {
    let cause = error.source().map(ToString::to_string);
    error!(log, "the replica failed, ending the process"; "error" => %error, "cause" => cause);
    // Another thread writes the log lines and needs time to do so.
    thread::sleep(Duration::from_millis(200));
    std::process::exit(1);
}

/// Decodes and applies an entry. Every replica skips an entry that cannot be decoded, so their states stay the same.
fn apply_entry(machine: &Mutex<Machine>, data: &[u8]) -> Option<Reply> {
    let command: Command = postcard::from_bytes(data).ok()?;
    Some(lock(machine).apply(&command))
}

/// The reply of the state machine to one entry.
struct Applied {
    position: Position,
    reply: Reply,
}

/// A submission that waits until its entry is applied.
struct Waiting {
    position: Position,
    reply: oneshot::Sender<Submitted>,
}

/// The host of a replica that has sent a message.
struct Sender {
    id: Id,
    host: Name,
}

struct Worker {
    replica: Replica,
    inputs: Inputs,
    receiver: Receiver<Input>,
    applied: Arc<Mutex<Vec<Applied>>>,
    machine: Arc<Mutex<Machine>>,
    restore_failure: Arc<Mutex<Option<SnapshotError>>>,
    /// Index of the latest snapshot from the leader that replaced the state. The entries up to it were not applied
    /// one by one on this replica, so their replies are unknown.
    restored_index: Arc<AtomicU64>,
    status: watch::Sender<Status>,
    /// Sorted by index, because the index of each new submission is greater.
    waiting: Vec<Waiting>,
    /// `Some` while this replica leads and has applied an entry of its term.
    clock: Option<Clock>,
    /// The term for which a read barrier must still be requested. When the barrier is released, this leader has
    /// applied all entries that earlier leaders committed.
    pending_barrier: Option<u64>,
    /// Replicas with empty data folders that introduced themselves, one per host.
    new_replicas: Vec<Introduction>,
    /// Sorted by id.
    senders: Vec<Sender>,
    /// Since when the disk is full, as reported in the log.
    full_since: Option<Time>,
}

impl Worker {
    fn run(mut self) {
        loop {
            match self.receiver.recv_timeout(TICK_INTERVAL) {
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(input) = self.receiver.try_recv() {
                self.handle(input);
            }
            self.replica.tick(Time::now());
            self.request_barrier();
            self.repair_membership();
            self.flush();
            self.take_snapshot_if_due();
            self.publish_status();
        }
    }

    fn handle(&mut self, input: Input) {
        let now = Time::now();
        match input {
            Input::Messages { sender, messages } => {
                if let Some(first) = messages.first() {
                    self.record_sender(first.from, sender);
                }
                for message in messages {
                    self.replica.receive(now, message);
                }
            }
            Input::Submit { command, reply } => self.propose(command, reply, now),
            Input::Introduce(introduction) => {
                self.new_replicas
                    .retain(|other| other.host != introduction.host);
                self.new_replicas.push(introduction);
            }
            Input::Bootstrap(members) => {
                match self.replica.bootstrap(now, Membership::new(members)) {
                    Ok(()) => info!(self.inputs.log, "formed the fleet"),
                    Err(error) => {
                        warn!(self.inputs.log, "cannot form the fleet"; "error" => %error)
                    }
                }
            }
            Input::TransferLeadership => match self.replica.transfer_leadership(now, None) {
                Ok(to) => info!(self.inputs.log, "transferred the leadership"; "to" => %to),
                Err(NodeError::NotLeader { .. }) => {}
                Err(error) => {
                    warn!(self.inputs.log, "cannot transfer the leadership"; "error" => %error)
                }
            },
        }
    }

    fn propose(&mut self, mut command: Command, reply: oneshot::Sender<Submitted>, now: Time) {
        let Some(clock) = &self.clock else {
            let _ = reply.send(Submitted::NotLeader {
                leader: self.leader(),
            });
            return;
        };
        if let Command::Claim(claim) = &mut command {
            claim.proposed_ms = clock.time_ms(now);
        }
        // Encoding to memory fails only for types that postcard does not support.
        let data = postcard::to_stdvec(&command).unwrap_or_default();
        match self.replica.propose(now, data) {
            Ok(position) => self.waiting.push(Waiting { position, reply }),
            Err(_) => {
                let _ = reply.send(Submitted::NotLeader {
                    leader: self.leader(),
                });
            }
        }
    }

    fn flush(&mut self) {
        let output = match self.replica.flush() {
            Ok(output) => output,
            Err(error) => abort(&self.inputs.log, &error),
        };
        if let Some(error) = lock(&self.restore_failure).take() {
            abort(&self.inputs.log, &error);
        }
        self.report_space();
        if let Some(status) = output.status {
            self.handle_status_change(status);
        }
        self.start_leading(&output);
        self.answer_submissions(&output);
        self.send_messages(output);
    }

    /// Reports that the disk has become full, or has room again.
    fn report_space(&mut self) {
        let full_since = self.replica.full_since();
        match (self.full_since, full_since) {
            (None, Some(_)) => {
                self.inputs.counters.count("disk_full");
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

    fn handle_status_change(&mut self, status: NodeStatus) {
        self.inputs.counters.count("leader_changed");
        info!(self.inputs.log, "role or leader of the replica changed";
            "role" => ?status.role, "term" => status.term, "leader" => self.leader().map(|name| name.to_string()));
        self.clock = None;
        self.new_replicas.clear();
        self.pending_barrier = (status.role == Role::Leader).then_some(status.term);
    }

    fn request_barrier(&mut self) {
        if let Some(term) = self.pending_barrier
            && self.replica.read_barrier(Time::now(), term).is_ok()
        {
            self.pending_barrier = None;
        }
    }

    /// Starts to accept commands when the read barrier of this term is released.
    fn start_leading(&mut self, output: &Output) {
        let status = self.replica.node().status();
        if status.role == Role::Leader && output.reads.contains(&status.term) {
            let base_ms = lock(&self.machine).now_ms();
            self.clock = Some(Clock::new(base_ms, Time::now()));
        }
        if output.aborted_reads.contains(&status.term) {
            self.pending_barrier = (status.role == Role::Leader).then_some(status.term);
        }
    }

    /// Answers the submissions whose entries have been applied or lost.
    fn answer_submissions(&mut self, output: &Output) {
        if let Some(dropped) = output.dropped {
            let first = self
                .waiting
                .partition_point(|waiting| waiting.position.index < dropped);
            for waiting in self.waiting.drain(first..) {
                let _ = waiting.reply.send(Submitted::NotLeader { leader: None });
            }
        }
        let results = std::mem::take(&mut *lock(&self.applied));
        let done = self
            .waiting
            .partition_point(|waiting| waiting.position.index <= output.applied);
        for waiting in self.waiting.drain(..done) {
            let result = results
                .iter()
                .find(|applied| applied.position == waiting.position);
            let submitted = match result {
                Some(applied) => Submitted::Applied(applied.reply.clone()),
                // The entry may be covered by the snapshot, which does not contain its reply.
                None if waiting.position.index <= self.restored_index.load(Ordering::Relaxed) => {
                    Submitted::Unknown
                }
                // An entry of another leader is at this index, so the command will never be applied.
                None => Submitted::NotLeader { leader: None },
            };
            let _ = waiting.reply.send(submitted);
        }
        self.publish_configuration();
    }

    /// Publishes the configuration if it is newer than the published one. After a restart nothing is published until
    /// the replica has caught up: the disk may not show that the newest entries were committed, and the version in
    /// force on a host must never decrease.
    fn publish_configuration(&self) {
        if !self.replica.node().has_caught_up() {
            return;
        }
        let published = self
            .inputs
            .configuration
            .borrow()
            .as_ref()
            .map_or(0, |current| current.version);
        let newer = {
            let machine = lock(&self.machine);
            let configuration = machine.configuration();
            (configuration.version > published).then(|| Arc::new(configuration.clone()))
        };
        // Sent after the lock of the state machine is released, because a reader of the channel may be waiting for
        // the lock.
        if newer.is_some() {
            self.inputs.configuration.send_replace(newer);
        }
    }

    fn send_messages(&self, output: Output) {
        let mut messages = output.messages;
        messages.sort_by_key(|message| message.to);
        for group in messages.chunk_by(|a, b| a.to == b.to) {
            if let Some(host) = self.host_of(group[0].to) {
                // Fails only when the process ends, because the receiving task runs until then.
                let _ = self.inputs.outgoing.send(Outgoing {
                    host,
                    messages: group.to_vec(),
                });
            }
        }
    }

    /// Records the host of a replica. An empty replica has no membership in which it could look the host up.
    fn record_sender(&mut self, id: Id, host: Name) {
        match self.senders.binary_search_by_key(&id, |sender| sender.id) {
            Ok(at) => self.senders[at].host = host,
            Err(at) => self.senders.insert(at, Sender { id, host }),
        }
    }

    fn host_of(&self, id: Id) -> Option<Name> {
        if let Some(member) = self.replica.node().membership().member(id) {
            return Some(member.host.clone());
        }
        let at = self
            .senders
            .binary_search_by_key(&id, |sender| sender.id)
            .ok()?;
        Some(self.senders[at].host.clone())
    }

    fn leader(&self) -> Option<Name> {
        self.host_of(self.replica.node().status().leader?)
    }

    /// Adds replicas with empty data folders to the members of the log and removes those of retired hosts, one change
    /// at a time.
    fn repair_membership(&mut self) {
        if self.clock.is_none() {
            return;
        }
        let Some(change) = self.next_membership_change() else {
            return;
        };
        match self.replica.change_membership(Time::now(), &change) {
            Ok(_) => {
                info!(self.inputs.log, "changing the members of the log"; "change" => ?change);
            }
            // The learner lags, an earlier change is not committed yet, too few of the new voters answer, or the
            // leadership has just ended.
            Err(
                NodeError::Pending
                | NodeError::Behind { .. }
                | NodeError::Quorum { .. }
                | NodeError::NotLeader { .. },
            ) => {}
            // A leader cannot remove itself; the next leader does it.
            Err(NodeError::RemovesLeader(_)) => self.handle(Input::TransferLeadership),
            Err(error) => {
                warn!(self.inputs.log, "cannot change the members of the log"; "error" => %error);
                self.new_replicas.clear();
            }
        }
    }

    /// Returns the next change of the members. For a host with a new disk, the new replica is added as a learner,
    /// then the former replica of the host is removed, and then the learner is promoted.
    ///
    /// All changes after the first one are derived from the membership alone, so that a new leader continues where
    /// the previous one stopped. The former replica is removed before the promotion, because a voter whose disk is
    /// lost would still count towards the majority.
    fn next_membership_change(&mut self) -> Option<Change> {
        let membership = self.replica.node().membership();
        let members = membership.members();
        self.new_replicas
            .retain(|new_replica| membership.member(new_replica.replica).is_none());
        let machine = lock(&self.machine);
        let hosts = &machine.configuration().hosts;
        let keeps_replica = |host: &Name| {
            let host = hosts.get(host.as_str());
            host.is_none_or(|host| host.voter && host.state != Lifecycle::Retired)
        };
        if let Some(member) = members.iter().find(|member| !keeps_replica(&member.host)) {
            return Some(Change::Remove { id: member.id });
        }
        if let Some(learner) = members.iter().find(|member| !member.voter) {
            let newer = self
                .new_replicas
                .iter()
                .any(|new_replica| new_replica.host == learner.host);
            let former = members
                .iter()
                .find(|member| member.host == learner.host && member.id != learner.id);
            return Some(match former {
                // The disk was replaced again after the learner was added.
                _ if newer => Change::Remove { id: learner.id },
                Some(former) => Change::Remove { id: former.id },
                None => Change::Promote { id: learner.id },
            });
        }
        let new_replica = self
            .new_replicas
            .iter()
            .find(|new_replica| keeps_replica(&new_replica.host))?;
        Some(Change::AddLearner {
            id: new_replica.replica,
            host: new_replica.host.clone(),
        })
    }

    fn take_snapshot_if_due(&mut self) {
        if self.replica.entries_since_snapshot() < SNAPSHOT_INTERVAL_ENTRIES {
            return;
        }
        let data = lock(&self.machine).snapshot();
        if let Err(error) = self.replica.take_snapshot(data) {
            warn!(self.inputs.log, "cannot take a snapshot"; "error" => %error);
        }
    }

    fn publish_status(&mut self) {
        let node = self.replica.node();
        let current = node.status();
        let is_leader = current.role == Role::Leader;
        let before = self.status.borrow().leaderless_since;
        let status = Status {
            introduction: Introduction {
                host: self.inputs.host.clone(),
                replica: node.id(),
                is_empty: node.last_position() == Position::default() && current.term == 0,
            },
            leader: self.leader(),
            is_leader,
            term: current.term,
            members: node.membership().members().to_vec(),
            lease_until: node.lease_until(),
            is_caught_up: self.clock.is_some(),
            leaderless_since: match current.leader {
                Some(_) => None,
                None => before.or_else(|| Some(Time::now())),
            },
            log_syncs: self.replica.disk().counters().log_syncs,
        };
        self.status.send_replace(status);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock is held ends the thread that owns the state, so no incomplete state is read.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the peer address of a host from the configuration or, if it does not contain the host, from the settings.
///
/// # Errors
///
/// Returns an error of kind `NotFound` if neither contains the host.
pub fn address_of(
    host: &Name,
    configuration: Option<&Configuration>,
    settings: &crate::settings::Settings,
) -> io::Result<SocketAddr> {
    let configured = configuration.and_then(|configuration| configuration.hosts.get(host.as_str()));
    let listed = settings.peers.iter().find(|peer| peer.host == *host);
    configured
        .map(|host| host.peer)
        .or(listed.map(|peer| peer.peer_address))
        .ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::NotFound,
                format!("the address of host {host} is unknown"),
            )
        })
}

/// A host that keeps a replica of the log.
pub struct Voter {
    /// Name of the host.
    pub host: Name,
    /// Failure domain of the host.
    pub domain: Name,
}

/// Returns the hosts that keep a replica according to the configuration or, before there is one, to the settings.
pub fn voters(
    configuration: Option<&Configuration>,
    settings: &crate::settings::Settings,
) -> Vec<Voter> {
    let Some(configuration) = configuration else {
        let voters = settings.peers.iter().filter(|peer| peer.voter);
        return voters
            .map(|peer| Voter {
                host: peer.host.clone(),
                domain: peer.failure_domain.clone(),
            })
            .collect();
    };
    let voters = configuration
        .voters()
        .filter(|host| host.state != Lifecycle::Retired);
    voters
        .map(|host| Voter {
            host: host.name.clone(),
            domain: host.domain.clone(),
        })
        .collect()
}
