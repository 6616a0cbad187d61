//! The thread that owns the replica of the log on a host with a disk.
//!
//! It is a thread and not a task because writing to the disk blocks. All inputs that wait are handled together, so that
//! one fsync covers them.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self as queue, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_config::{Configuration, State as Life};
use primrose_consensus::Replica;
use primrose_consensus::disk::{Disk, Error as DiskError, Options as DiskOptions};
use primrose_consensus::entry::Position;
use primrose_consensus::membership::{Change, Id, Member, Membership};
use primrose_consensus::message::Message;
use primrose_consensus::node::{Error as NodeError, Options, Role, Status};
use primrose_consensus::replica::{Action, Output};
use primrose_state::order::Lease;
use primrose_state::{Clock, Command, Machine, Reply, SnapshotError};
use primrose_wire::peer::{Introduction, Submitted};
use slog::{Logger, error, info, warn};
use tokio::sync::{mpsc, oneshot, watch};

use crate::counters::Counters;

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(20);

/// Interval between heartbeats, half a leader lease. At 100 ms an idle leader sent 1.2 KB/s of heartbeats alone.
const HEARTBEAT_MS: u64 = 200;

/// A snapshot replaces the log after so many entries; at the target of 2,500 changes a day about one a day.
const SNAPSHOT_ENTRIES: u64 = 10_000;

/// Several elections: a replica that knows no leader for so long is taken to be cut off from the majority. A host that
/// restarts without a configuration then takes one that may be older than the one it had, because its failure domain
/// must go on serving.
const LEADERLESS_MS: u64 = 10_000;

/// Something the thread has to do.
pub enum Input {
    /// Messages of another replica.
    Messages {
        /// The host that it lives on.
        sender: Name,
        /// The messages.
        messages: Vec<Message>,
    },
    /// A command for the log.
    Submit {
        /// The command; the time in a claim is set here.
        command: Command,
        /// Receives the result.
        reply: oneshot::Sender<Submitted>,
    },
    /// Another replica introduces itself.
    Introduce(Introduction),
    /// Forms the fleet with these replicas, if this one is empty.
    Found(Vec<Member>),
    /// Passes the leadership on, because this host leaves.
    Transfer,
}

/// What other tasks can see of the replica.
#[derive(Clone, Debug)]
pub struct Standing {
    /// This replica and whether it is empty.
    pub introduction: Introduction,
    /// The host that leads the log, if known.
    pub leader: Option<Name>,
    /// Whether this replica leads.
    pub is_leader: bool,
    /// The term.
    pub term: u64,
    /// Members of the log.
    pub members: Vec<Member>,
    /// The leader's lease, on the clock of this process; `None` if this replica does not lead.
    pub lease_until: Option<Time>,
    /// Whether the leader has applied an entry of its own term, so that it knows all that was accepted before.
    pub is_current: bool,
    /// Since when this replica knows no leader; `None` while it knows one.
    pub leaderless_since: Option<Time>,
    /// Fsyncs of the log since the start.
    pub syncs: u64,
}

impl Standing {
    /// Whether a host without a configuration may take that of this replica: it is the newest accepted one, or no leader
    /// has been known for [`LEADERLESS_MS`].
    pub fn may_teach(&self, now: Time) -> bool {
        let has_lease = self.lease_until.is_some_and(|until| now < until);
        let is_cut_off = self
            .leaderless_since
            .is_some_and(|since| now.since(since) >= LEADERLESS_MS);
        (self.is_current && has_lease) || is_cut_off
    }
}

/// A running replica.
#[derive(Clone)]
pub struct Handle {
    inputs: queue::Sender<Input>,
    standing: watch::Receiver<Standing>,
    machine: Arc<Mutex<Machine>>,
}

impl Handle {
    /// Gives the thread something to do.
    pub fn send(&self, input: Input) {
        // The thread ends only with the process.
        let _ = self.inputs.send(input);
    }

    /// Proposes a command and waits for its result.
    pub async fn submit(&self, command: Command) -> Submitted {
        let (reply, result) = oneshot::channel();
        self.send(Input::Submit { command, reply });
        result.await.unwrap_or(Submitted::Unknown)
    }

    /// What the replica was when it last changed.
    pub fn standing(&self) -> Standing {
        self.standing.borrow().clone()
    }

    /// The right of this replica to act as the leader, or none if it does not lead. The lease of a leader that no
    /// majority has answered yet has ended.
    pub fn lease(&self) -> Option<Lease> {
        let standing = self.standing.borrow();
        standing.is_leader.then(|| Lease {
            term: standing.term,
            until: standing.lease_until.unwrap_or(Time::ZERO),
            caught_up: standing.is_current,
        })
    }

    /// Reads the state machine. The closure must be short: the thread waits for it.
    pub fn read<T>(&self, read: impl FnOnce(&Machine) -> T) -> T {
        read(&lock(&self.machine))
    }
}

/// What the thread needs.
pub struct Inputs {
    /// The fleet.
    pub fleet: Name,
    /// This host.
    pub host: Name,
    /// Receives messages for other replicas with the host to send them to.
    pub outgoing: mpsc::UnboundedSender<Outgoing>,
    /// Receives every new configuration.
    pub configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Log.
    pub log: Logger,
}

/// Messages for the replica on one host.
pub struct Outgoing {
    /// The host.
    pub host: Name,
    /// The messages.
    pub messages: Vec<Message>,
}

/// Opens the data folder, recovers the state and starts the thread.
///
/// # Errors
///
/// Returns the error of the disk, for example damage in a file, with the file and the place.
pub fn open(folder: &Path, inputs: Inputs) -> Result<Handle, DiskError> {
    let options = DiskOptions::new(
        inputs.fleet.clone(),
        inputs.host.clone(),
        Id(rand::random()),
    );
    let (disk, recovered) = Disk::open(folder, options)?;
    let applied = Arc::new(Mutex::new(Vec::new()));
    let machine = Arc::new(Mutex::new(Machine::default()));
    let results = Arc::clone(&applied);
    let state = Arc::clone(&machine);
    let failure = Arc::new(Mutex::new(None));
    let restored = Arc::new(AtomicU64::new(0));
    let restored_to = Arc::clone(&restored);
    let restore_failure = Arc::clone(&failure);
    let apply = move |action: Action<'_>| match action {
        Action::Apply { position, data } => {
            if let Some(reply) = apply_entry(&state, data) {
                lock(&results).push(Applied { position, reply });
            }
        }
        Action::Restore { position, data } => match Machine::restore(data) {
            Ok(restored) => {
                *lock(&state) = restored;
                restored_to.store(position.index, Ordering::Relaxed);
            }
            Err(error) => *lock(&restore_failure) = Some(error),
        },
    };
    let id = recovered.id;
    let is_empty = recovered.is_empty();
    let replica = Replica::new(
        (disk, recovered),
        Options {
            heartbeat_ms: HEARTBEAT_MS,
            ..Options::default()
        },
        Time::now(),
        rand::random(),
        apply,
    );
    let introduction = Introduction {
        host: inputs.host.clone(),
        replica: id,
        is_empty,
    };
    let (input_sender, input_receiver) = queue::channel();
    let (standing_sender, standing) = watch::channel(Standing {
        introduction,
        leader: None,
        is_leader: false,
        term: 0,
        members: Vec::new(),
        lease_until: None,
        is_current: false,
        leaderless_since: Some(Time::now()),
        syncs: 0,
    });
    let worker = Worker {
        replica,
        inputs,
        receiver: input_receiver,
        applied,
        machine: Arc::clone(&machine),
        restore_failure: failure,
        restored,
        standing: standing_sender,
        waiting: Vec::new(),
        clock: None,
        barrier: None,
        newcomers: Vec::new(),
        senders: Vec::new(),
    };
    thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || worker.run())
        .map_err(|source| DiskError::Operation {
            operation: "starting the thread",
            file: folder.display().to_string(),
            source,
        })?;
    Ok(Handle {
        inputs: input_sender,
        standing,
        machine,
    })
}

/// Applies the bytes of an entry. Entries of an unknown form are passed over by every replica alike.
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

/// Where a replica lives that has sent a message.
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
    /// Index up to which the latest snapshot from the leader replaced the state; entries up to it were not applied one by
    /// one here.
    restored: Arc<AtomicU64>,
    standing: watch::Sender<Standing>,
    /// Sorted by index; indices only grow.
    waiting: Vec<Waiting>,
    /// `Some` while this replica leads and has applied an entry of its term.
    clock: Option<Clock>,
    /// The term whose read barrier is still to be requested: once it is released, this leader has applied all that
    /// earlier leaders accepted.
    barrier: Option<u64>,
    /// Replicas with new disks that asked to be added, one per host.
    newcomers: Vec<Introduction>,
    /// Sorted by id.
    senders: Vec<Sender>,
}

impl Worker {
    fn run(mut self) {
        loop {
            match self.receiver.recv_timeout(TICK) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(input) = self.receiver.try_recv() {
                self.take(input);
            }
            self.replica.tick(Time::now());
            self.request_barrier();
            self.repair();
            self.flush();
            self.snapshot();
            self.publish();
        }
    }

    fn take(&mut self, input: Input) {
        let now = Time::now();
        match input {
            Input::Messages { sender, messages } => {
                if let Some(first) = messages.first() {
                    self.learn(first.from, sender);
                }
                for message in messages {
                    self.replica.receive(now, message);
                }
            }
            Input::Submit { command, reply } => self.submit(command, reply, now),
            Input::Introduce(introduction) => {
                self.newcomers
                    .retain(|other| other.host != introduction.host);
                self.newcomers.push(introduction);
            }
            Input::Found(members) => match self.replica.bootstrap(now, Membership::new(members)) {
                Ok(()) => info!(self.inputs.log, "formed the fleet"),
                Err(error) => warn!(self.inputs.log, "cannot form the fleet"; "error" => %error),
            },
            Input::Transfer => match self.replica.transfer_leadership(now, None) {
                Ok(to) => info!(self.inputs.log, "passed the leadership on"; "to" => %to),
                Err(NodeError::NotLeader { .. }) => {}
                Err(error) => {
                    warn!(self.inputs.log, "cannot pass the leadership on"; "error" => %error)
                }
            },
        }
    }

    fn submit(&mut self, mut command: Command, reply: oneshot::Sender<Submitted>, now: Time) {
        let Some(clock) = &self.clock else {
            let _ = reply.send(Submitted::NotLeader {
                leader: self.leader(),
            });
            return;
        };
        if let Command::Claim(claim) = &mut command {
            claim.proposed_ms = clock.time_ms(now);
        }
        // Encoding to memory fails only for types that the format does not have.
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
            Err(error) => self.stop(&error),
        };
        if let Some(error) = lock(&self.restore_failure).take() {
            self.stop(&error);
        }
        if let Some(status) = output.status {
            self.changed(status);
        }
        self.take_over(&output);
        self.answer(&output);
        self.send(output);
    }

    /// Ends the process: nobody knows what a failed write has left on the disk.
    fn stop(&self, error: &dyn std::error::Error) -> ! {
        let cause = error.source().map(ToString::to_string);
        error!(self.inputs.log, "the replica cannot go on, ending the process"; "error" => %error, "cause" => cause);
        // The log is written by another thread.
        thread::sleep(Duration::from_millis(200));
        std::process::exit(1);
    }

    fn changed(&mut self, status: Status) {
        self.inputs.counters.count("leader_changed");
        info!(self.inputs.log, "replica changed";
            "role" => ?status.role, "term" => status.term, "leader" => self.leader().map(|name| name.to_string()));
        self.clock = None;
        self.newcomers.clear();
        self.barrier = (status.role == Role::Leader).then_some(status.term);
    }

    fn request_barrier(&mut self) {
        if let Some(term) = self.barrier
            && self.replica.read_barrier(Time::now(), term).is_ok()
        {
            self.barrier = None;
        }
    }

    /// Starts to accept commands when the read barrier of this term is released.
    fn take_over(&mut self, output: &Output) {
        let status = self.replica.node().status();
        if status.role == Role::Leader && output.reads.contains(&status.term) {
            let base_ms = lock(&self.machine).now_ms();
            self.clock = Some(Clock::new(base_ms, Time::now()));
        }
        if output.aborted_reads.contains(&status.term) {
            self.barrier = (status.role == Role::Leader).then_some(status.term);
        }
    }

    /// Answers the submissions whose entries are applied or lost.
    fn answer(&mut self, output: &Output) {
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
                // The entry may be part of the snapshot, which does not carry its reply.
                None if waiting.position.index <= self.restored.load(Ordering::Relaxed) => {
                    Submitted::Unknown
                }
                // Another leader's entry took its place, so it will never be applied.
                None => Submitted::NotLeader { leader: None },
            };
            let _ = waiting.reply.send(submitted);
        }
        self.publish_configuration();
    }

    /// Publishes a newer configuration. After a restart nothing is published until the replica has caught up: the disk
    /// may not tell that the newest entries were committed, and a version that was in force must not go back.
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
        // Sent without the lock on the machine, since a reader of the channel may be waiting for it.
        if newer.is_some() {
            self.inputs.configuration.send_replace(newer);
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

    /// Records where a replica lives. An empty replica has no membership in which to look up whom it answers.
    fn learn(&mut self, id: Id, host: Name) {
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

    /// Brings replicas with new disks into the log and takes those of retired hosts out of it, one step at a time.
    fn repair(&mut self) {
        if self.clock.is_none() {
            return;
        }
        let Some(change) = self.next_step() else {
            return;
        };
        match self.replica.change_membership(Time::now(), &change) {
            Ok(_) => {
                info!(self.inputs.log, "changing the members of the log"; "change" => ?change);
            }
            // The learner lags, an earlier step is not committed yet, or the leadership has just ended.
            Err(
                NodeError::Pending
                | NodeError::Behind { .. }
                | NodeError::Quorum { .. }
                | NodeError::NotLeader { .. },
            ) => {}
            // A leader cannot remove itself; its successor does it.
            Err(NodeError::RemovesLeader(_)) => self.take(Input::Transfer),
            Err(error) => {
                warn!(self.inputs.log, "cannot change the members of the log"; "error" => %error);
                self.newcomers.clear();
            }
        }
    }

    /// The next change of the members: a learner for a host with a new disk, then the removal of the host's former
    /// replica, then the promotion of the learner.
    ///
    /// Everything after the first step follows from the membership alone, so that the next leader goes on where the last
    /// one stopped. The former replica is removed first, since a voter without a disk would count in the majority.
    fn next_step(&mut self) -> Option<Change> {
        let membership = self.replica.node().membership();
        let members = membership.members();
        self.newcomers
            .retain(|newcomer| membership.member(newcomer.replica).is_none());
        let machine = lock(&self.machine);
        let hosts = &machine.configuration().hosts;
        let keeps_replica = |host: &Name| {
            let host = hosts.get(host.as_str());
            host.is_none_or(|host| host.voter && host.state != Life::Retired)
        };
        if let Some(member) = members.iter().find(|member| !keeps_replica(&member.host)) {
            return Some(Change::Remove { id: member.id });
        }
        if let Some(learner) = members.iter().find(|member| !member.voter) {
            let newer = self
                .newcomers
                .iter()
                .any(|newcomer| newcomer.host == learner.host);
            let former = members
                .iter()
                .find(|member| member.host == learner.host && member.id != learner.id);
            return Some(match former {
                // Its disk was replaced once more.
                _ if newer => Change::Remove { id: learner.id },
                Some(former) => Change::Remove { id: former.id },
                None => Change::Promote { id: learner.id },
            });
        }
        let newcomer = self
            .newcomers
            .iter()
            .find(|newcomer| keeps_replica(&newcomer.host))?;
        Some(Change::AddLearner {
            id: newcomer.replica,
            host: newcomer.host.clone(),
        })
    }

    fn snapshot(&mut self) {
        if self.replica.entries_since_snapshot() < SNAPSHOT_ENTRIES {
            return;
        }
        let data = lock(&self.machine).snapshot();
        if let Err(error) = self.replica.take_snapshot(data) {
            warn!(self.inputs.log, "cannot take a snapshot"; "error" => %error);
        }
    }

    fn publish(&mut self) {
        let node = self.replica.node();
        let status = node.status();
        let is_leader = status.role == Role::Leader;
        let before = self.standing.borrow().leaderless_since;
        let standing = Standing {
            introduction: Introduction {
                host: self.inputs.host.clone(),
                replica: node.id(),
                is_empty: node.last_position() == Position::default() && status.term == 0,
            },
            leader: self.leader(),
            is_leader,
            term: status.term,
            members: node.membership().members().to_vec(),
            lease_until: node.lease_until(),
            is_current: self.clock.is_some(),
            leaderless_since: match status.leader {
                Some(_) => None,
                None => before.or_else(|| Some(Time::now())),
            },
            syncs: self.replica.disk().counters().log_syncs,
        };
        self.standing.send_replace(standing);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock is held ends the thread that owns the state, so nothing half-done is read.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where the daemons of the fleet are, by host: from the settings until the configuration says otherwise.
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
    /// Its name.
    pub host: Name,
    /// Its failure domain.
    pub domain: Name,
}

/// Hosts that keep a replica: those of the configuration or, before there is one, of the settings.
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
        .filter(|host| host.state != Life::Retired);
    voters
        .map(|host| Voter {
            host: host.name.clone(),
            domain: host.domain.clone(),
        })
        .collect()
}
