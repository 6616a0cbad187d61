//! The thread that owns the replica of the log of documents.
//!
//! It is a thread and not a task because writing to the disk blocks. All inputs that wait are handled together, so that
//! one fsync covers them.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self as queue, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::{fs, io, thread};

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::Replica;
use primrose_consensus::disk::{Disk, Error as DiskError, Options as DiskOptions};
use primrose_consensus::entry::Position;
use primrose_consensus::membership::{Id, Member, Membership};
use primrose_consensus::message::Message;
use primrose_consensus::node::{Error as NodeError, Options, Role, Status};
use primrose_consensus::replica::{Action, Output};
use primrose_observe::Meter;
use slog::{Logger, error, info, warn};
use tokio::sync::{mpsc, oneshot, watch};

use crate::members::View;
use crate::message::{Acknowledgement, Introduction};
use crate::store::{Reply, Store, Stored};

/// Interval between ticks of a leader, and of a replica that waits for an election.
const TICK: Duration = Duration::from_millis(25);

/// A snapshot replaces the log after so many entries. Entries are whole documents, and a log of many would neither fit
/// a small disk nor the memory of a small host.
const SNAPSHOT_ENTRIES: u64 = 16;

/// Entries kept in memory after a snapshot for slow followers.
const KEEP_ENTRIES: u64 = 16;

/// How often a membership change is considered, in ms.
const MEMBERS_INTERVAL_MS: u64 = 200;

/// The size at which a new segment of the log is started, in bytes: small enough that removed documents free their
/// room on a small disk.
const SEGMENT_BYTES: u64 = 1 << 20;

/// Something the thread has to do.
pub enum Input {
    /// Messages of another replica.
    Messages {
        /// The host that it lives on.
        sender: Name,
        /// The messages.
        messages: Vec<Message>,
    },
    /// A document for the log.
    Put {
        /// The document.
        stored: Stored,
        /// Receives the result.
        reply: oneshot::Sender<Submitted>,
    },
    /// A read that must see everything that was acknowledged before it.
    Read {
        /// Receives the newest document, or `None` if it cannot be known.
        reply: oneshot::Sender<Option<Current>>,
    },
    /// Another replica introduces itself.
    Introduce {
        /// The other replica.
        introduction: Introduction,
        /// Receives the answer.
        reply: oneshot::Sender<Acknowledgement>,
    },
    /// Forms the fleet with these replicas, if this one is empty.
    Found(Vec<Introduction>),
    /// This replica was removed for good: its disk is emptied, and it goes on as a new one.
    Retire,
    /// Passes the leadership on, because this host leaves.
    Transfer,
}

/// What became of a document that was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It was applied.
    Applied(Reply),
    /// This replica does not lead, and the document is not in the log.
    NotLeader,
    /// It may take effect.
    Unknown,
}

/// The result of a read.
#[derive(Clone, Debug)]
pub struct Current {
    /// The document in force, or `None` before the first one.
    pub newest: Option<Arc<Stored>>,
}

/// What other tasks can see of the replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// This replica and whether it is empty.
    pub introduction: Introduction,
    /// The host that leads the log, if known.
    pub leader: Option<Name>,
    /// Whether this replica leads and knows all that was accepted before.
    pub is_leading: bool,
    /// The term.
    pub term: u64,
    /// Members of the log.
    pub members: Vec<Member>,
}

/// Whose replica it is, and what it needs from other tasks.
pub struct Inputs {
    /// The host, named by its address.
    pub host: Name,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Disks that may be lost at the same time.
    pub tolerated_losses: u32,
    /// Receives messages for other replicas with the host to send them to.
    pub outgoing: mpsc::UnboundedSender<Outgoing>,
    /// Counters.
    pub meter: Arc<Meter>,
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

/// A running replica.
#[derive(Clone)]
pub struct Handle {
    inputs: queue::Sender<Input>,
    standing: watch::Receiver<Standing>,
    newest: watch::Receiver<Option<Arc<Stored>>>,
}

impl Handle {
    /// Gives the thread something to do.
    pub fn send(&self, input: Input) {
        // The thread ends only with the process.
        let _ = self.inputs.send(input);
    }

    /// Submits a document and waits until it is durable on a majority, or known not to be.
    pub async fn put(&self, stored: Stored) -> Submitted {
        let (reply, result) = oneshot::channel();
        self.send(Input::Put { stored, reply });
        result.await.unwrap_or(Submitted::Unknown)
    }

    /// Reads the newest document; `None` if this replica cannot be sure which one that is.
    pub async fn read(&self) -> Option<Current> {
        let (reply, result) = oneshot::channel();
        self.send(Input::Read { reply });
        result.await.ok().flatten()
    }

    /// Introduces another replica.
    pub async fn introduce(&self, introduction: Introduction) -> Option<Acknowledgement> {
        let (reply, result) = oneshot::channel();
        self.send(Input::Introduce {
            introduction,
            reply,
        });
        result.await.ok()
    }

    /// What the replica was when it last changed.
    pub fn standing(&self) -> Standing {
        self.standing.borrow().clone()
    }

    /// Follows the standing.
    pub fn follow_standing(&self) -> watch::Receiver<Standing> {
        self.standing.clone()
    }

    /// Follows the newest document that this host may show to others.
    pub fn follow_newest(&self) -> watch::Receiver<Option<Arc<Stored>>> {
        self.newest.clone()
    }
}

/// The address that a host is named by.
pub fn address_of(host: &Name) -> Option<Ipv4Addr> {
    host.as_str().parse().ok()
}

/// Opens the data folder, recovers the state and starts the thread.
///
/// # Errors
///
/// Returns the error of the disk, for example damage in a file, with the file and the place.
pub fn open(folder: &Path, inputs: Inputs) -> Result<Handle, DiskError> {
    let shared = Shared::default();
    let replica = open_replica(folder, &inputs.host, &shared)?;
    let (input_sender, receiver) = queue::channel();
    let (standing_sender, standing) = watch::channel(standing_of(&replica, &inputs, None, false));
    let (newest_sender, newest) = watch::channel(None);
    let worker = Worker {
        folder: folder.to_owned(),
        replica,
        inputs,
        receiver,
        shared,
        standing: standing_sender,
        newest: newest_sender,
        puts: Vec::new(),
        reads: Vec::new(),
        next_read: 1 << 32,
        barrier: None,
        is_leading: false,
        newcomers: Vec::new(),
        senders: Vec::new(),
        considered: Time::ZERO,
    };
    thread::Builder::new()
        .name("ledger".to_owned())
        .spawn(move || worker.run())
        .map_err(|source| DiskError::Operation {
            operation: "starting the thread",
            file: folder.display().to_string(),
            source,
        })?;
    Ok(Handle {
        inputs: input_sender,
        standing,
        newest,
    })
}

/// What the closure that applies entries shares with the worker.
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

fn open_replica(folder: &Path, host: &Name, shared: &Shared) -> Result<Replica, DiskError> {
    let fleet = Name::new("primrose").unwrap_or_else(|_| host.clone());
    let options = DiskOptions {
        segment_bytes: SEGMENT_BYTES,
        ..DiskOptions::new(fleet, host.clone(), Id(rand::random()))
    };
    let opened = Disk::open(folder, options)?;
    *lock(&shared.store) = Store::default();
    let shared = shared.clone();
    let apply = move |action: Action<'_>| match action {
        Action::Apply { position, data } => match postcard::from_bytes(data) {
            Ok(stored) => {
                let reply = lock(&shared.store).put(stored);
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
        // Heartbeats at this rate cost little beside the requests, and a lease is renewed several times before it ends.
        heartbeat_ms: 100,
        lease_reads: false,
        keep_entries: KEEP_ENTRIES,
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

fn standing_of(
    replica: &Replica,
    inputs: &Inputs,
    leader: Option<Name>,
    is_leading: bool,
) -> Standing {
    let node = replica.node();
    Standing {
        introduction: Introduction {
            host: inputs.host.clone(),
            domain: Arc::clone(&inputs.domain),
            replica: node.id(),
            is_empty: node.last() == Position::default() && node.term() == 0,
            is_first_start: inputs.is_first_start,
        },
        leader,
        is_leading,
        term: node.term(),
        members: node.membership().members().to_vec(),
    }
}

/// A document that waits until its entry is applied.
struct Put {
    position: Position,
    reply: oneshot::Sender<Submitted>,
}

/// A read that waits for its barrier.
struct Read {
    context: u64,
    reply: oneshot::Sender<Option<Current>>,
}

/// A host that has sent something.
struct Sender {
    host: Name,
    /// The replica that sent messages of the log last.
    id: Option<Id>,
    domain: Option<Arc<str>>,
    heard: Time,
}

struct Worker {
    folder: PathBuf,
    replica: Replica,
    inputs: Inputs,
    receiver: Receiver<Input>,
    shared: Shared,
    standing: watch::Sender<Standing>,
    newest: watch::Sender<Option<Arc<Stored>>>,
    /// Sorted by index; indices only grow.
    puts: Vec<Put>,
    reads: Vec<Read>,
    /// Contexts of reads are above those of barriers, which are terms.
    next_read: u64,
    /// The term whose barrier is still to be requested: once it is released, this leader has applied all that earlier
    /// leaders accepted.
    barrier: Option<u64>,
    is_leading: bool,
    /// Replicas with new disks that asked to be added, one per host.
    newcomers: Vec<Introduction>,
    /// Sorted by host.
    senders: Vec<Sender>,
    considered: Time,
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
            self.consider_members();
            self.flush();
            self.snapshot();
            self.publish();
        }
    }

    fn take(&mut self, input: Input) {
        let now = Time::now();
        match input {
            Input::Messages { sender, messages } => {
                let id = messages.first().map(|message| message.from);
                self.heard(&sender, id, None);
                for message in messages {
                    self.replica.receive(now, message);
                }
            }
            Input::Put { stored, reply } => self.put(&stored, reply, now),
            Input::Read { reply } => self.read(reply, now),
            Input::Introduce {
                introduction,
                reply,
            } => self.introduce(introduction, reply),
            Input::Found(introductions) => self.found(introductions, now),
            Input::Retire => self.retire(),
            Input::Transfer => match self.replica.transfer(now, None) {
                Ok(to) => info!(self.inputs.log, "passed the leadership on"; "to" => %to),
                Err(NodeError::NotLeader { .. }) => {}
                Err(error) => {
                    warn!(self.inputs.log, "cannot pass the leadership on"; "error" => %error);
                }
            },
        }
    }

    fn put(&mut self, stored: &Stored, reply: oneshot::Sender<Submitted>, now: Time) {
        let proposed = if self.is_leading {
            match postcard::to_stdvec(stored) {
                Ok(data) => self.replica.propose(now, data).map_err(|e| e.to_string()),
                Err(error) => Err(error.to_string()),
            }
        } else {
            Err("this replica does not lead".to_owned())
        };
        match proposed {
            Ok(position) => self.puts.push(Put { position, reply }),
            Err(error) => {
                info!(self.inputs.log, "document not proposed";
                    "version" => stored.document.version, "reason" => error);
                // The caller may have left; it asks again.
                let _ = reply.send(Submitted::NotLeader);
            }
        }
    }

    fn read(&mut self, reply: oneshot::Sender<Option<Current>>, now: Time) {
        let context = self.next_read;
        self.next_read += 1;
        if self.is_leading && self.replica.read(now, context).is_ok() {
            self.reads.push(Read { context, reply });
        } else {
            // The caller may have left; it asks another host.
            let _ = reply.send(None);
        }
    }

    fn introduce(&mut self, caller: Introduction, reply: oneshot::Sender<Acknowledgement>) {
        self.heard(&caller.host, None, Some(Arc::clone(&caller.domain)));
        let membership = self.replica.node().membership();
        let is_retired = membership.retired().binary_search(&caller.replica).is_ok();
        let answer = Acknowledgement {
            introduction: self.standing.borrow().introduction.clone(),
            members: membership.members().to_vec(),
            is_current: self.is_leading,
            is_retired,
        };
        // The caller may have left; it asks again.
        let _ = reply.send(answer);
        if caller.is_empty {
            self.newcomers.retain(|other| other.host != caller.host);
            self.newcomers.push(caller);
        }
    }

    fn found(&mut self, introductions: Vec<Introduction>, now: Time) {
        let members = introductions.into_iter().map(|introduction| Member {
            id: introduction.replica,
            host: introduction.host,
            voter: true,
        });
        match self.replica.found(now, Membership::new(members.collect())) {
            Ok(()) => info!(self.inputs.log, "formed the fleet"),
            Err(error) => warn!(self.inputs.log, "cannot form the fleet"; "error" => %error),
        }
    }

    /// Empties the disk and continues as a new replica, which then asks to be added.
    fn retire(&mut self) {
        let old = self.replica.node().id();
        if let Err(error) = empty_folder(&self.folder) {
            self.stop("emptying the disk of a removed replica", &error);
        }
        match open_replica(&self.folder, &self.inputs.host, &self.shared) {
            Ok(replica) => self.replica = replica,
            Err(error) => self.stop("opening the emptied disk", &error),
        }
        self.is_leading = false;
        self.inputs.meter.count("replica_replaced");
        warn!(self.inputs.log, "this replica was removed and goes on as a new one";
            "old" => %old, "new" => %self.replica.node().id());
    }

    fn heard(&mut self, host: &Name, id: Option<Id>, domain: Option<Arc<str>>) {
        let at = self
            .senders
            .binary_search_by(|sender| sender.host.cmp(host))
            .unwrap_or_else(|at| {
                let sender = Sender {
                    host: host.clone(),
                    id: None,
                    domain: None,
                    heard: Time::ZERO,
                };
                self.senders.insert(at, sender);
                at
            });
        let sender = &mut self.senders[at];
        sender.heard = Time::now();
        sender.id = id.or(sender.id);
        sender.domain = domain.or(sender.domain.take());
    }

    fn flush(&mut self) {
        let output = match self.replica.flush() {
            Ok(output) => output,
            Err(error) => self.stop("writing the log", &error),
        };
        if self.shared.damaged.load(Ordering::Relaxed) {
            let error = io::Error::other("an entry or a snapshot cannot be decoded");
            self.stop("applying the log", &error);
        }
        if let Some(status) = output.status {
            self.changed(status);
        }
        self.take_over(&output);
        self.answer_reads(&output);
        self.answer_puts(&output);
        self.send(output);
    }

    /// Ends the process: nobody knows what a failed write has left on the disk.
    fn stop(&self, during: &str, error: &dyn std::error::Error) -> ! {
        let cause = error.source().map(ToString::to_string);
        error!(self.inputs.log, "the replica cannot go on, ending the process";
            "during" => during, "error" => %error, "cause" => cause);
        // The log is written by another thread.
        thread::sleep(Duration::from_millis(300));
        std::process::exit(1);
    }

    fn changed(&mut self, status: Status) {
        self.inputs.meter.count("leader_changed");
        info!(self.inputs.log, "replica changed"; "role" => ?status.role, "term" => status.term,
            "leader" => self.leader().map(|name| name.to_string()));
        self.is_leading = false;
        self.newcomers.clear();
        self.barrier = (status.role == Role::Leader).then_some(status.term);
    }

    fn request_barrier(&mut self) {
        if let Some(term) = self.barrier
            && self.replica.read(Time::now(), term).is_ok()
        {
            self.barrier = None;
        }
    }

    fn take_over(&mut self, output: &Output) {
        let status = self.replica.node().status();
        let is_leader = status.role == Role::Leader;
        if is_leader && output.reads.contains(&status.term) {
            self.is_leading = true;
        }
        if output.lost_reads.contains(&status.term) {
            self.barrier = is_leader.then_some(status.term);
        }
    }

    fn answer_reads(&mut self, output: &Output) {
        for context in &output.reads {
            if let Some(at) = self.reads.iter().position(|read| read.context == *context) {
                let newest = lock(&self.shared.store).newest().cloned();
                // The caller may have left.
                let _ = self
                    .reads
                    .swap_remove(at)
                    .reply
                    .send(Some(Current { newest }));
            }
        }
        self.reads
            .retain(|read| !output.lost_reads.contains(&read.context) && !read.reply.is_closed());
    }

    fn answer_puts(&mut self, output: &Output) {
        let results = std::mem::take(&mut *lock(&self.shared.applied));
        let done = self
            .puts
            .partition_point(|put| put.position.index <= output.applied);
        for put in self.puts.drain(..done) {
            let result = results
                .iter()
                .find(|applied| applied.position == put.position);
            // Without a result, another leader's entry took its place, or it is part of a snapshot: the same order is sent
            // again, and learns which.
            let submitted = result.map_or(Submitted::Unknown, |applied| {
                Submitted::Applied(applied.reply)
            });
            // The caller may have left; it asks again.
            let _ = put.reply.send(submitted);
        }
        if self.replica.node().status().role != Role::Leader {
            // They may still be committed by another leader.
            for put in self.puts.drain(..) {
                let _ = put.reply.send(Submitted::Unknown);
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
        // An empty replica has no membership in which to look up whom it answers.
        let mut senders = self.senders.iter();
        let sender = senders.find(|sender| sender.id == Some(id))?;
        Some(sender.host.clone())
    }

    fn leader(&self) -> Option<Name> {
        self.host_of(self.replica.node().status().leader?)
    }

    fn consider_members(&mut self) {
        let now = Time::now();
        if !self.is_leading || now.since(self.considered) < MEMBERS_INTERVAL_MS {
            return;
        }
        self.considered = now;
        let node = self.replica.node();
        let find = |host: &Name| {
            let at = self
                .senders
                .binary_search_by(|sender| sender.host.cmp(host))
                .ok()?;
            Some(&self.senders[at])
        };
        // A leader that has just started counts from then on, or it would take every other host for lost.
        let since = node.leads_since().unwrap_or(now);
        let view = View {
            members: node.membership().members(),
            own: node.id(),
            newcomers: &self.newcomers,
            silence_ms: &|host| {
                let heard = find(host).map_or(since, |sender| sender.heard.max(since));
                now.since(heard)
            },
            domain: &|host| find(host).and_then(|sender| sender.domain.clone()),
            tolerated_losses: self.inputs.tolerated_losses,
        };
        let Some(change) = view.next_step() else {
            return;
        };
        match self.replica.change(now, &change) {
            Ok(_) => info!(self.inputs.log, "members of the log change"; "change" => ?change),
            Err(NodeError::Pending | NodeError::Behind { .. } | NodeError::Quorum { .. }) => {}
            Err(NodeError::RemovesLeader(_)) => {
                // A replica with an empty disk cannot lead, so this is a former one of this very host.
                if let Err(error) = self.replica.transfer(now, None) {
                    warn!(self.inputs.log, "cannot pass the leadership on"; "error" => %error);
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
                .snapshot(data)
                .map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(error) = taken {
            warn!(self.inputs.log, "cannot take a snapshot"; "error" => error);
        }
    }

    fn publish(&mut self) {
        let standing = standing_of(&self.replica, &self.inputs, self.leader(), self.is_leading);
        self.standing.send_if_modified(|current| {
            let is_changed = *current != standing;
            if is_changed {
                *current = standing;
            }
            is_changed
        });
        // After a restart the disk may not tell that the newest entries were committed, and a version that was in force
        // must not go back.
        if !self.replica.node().has_caught_up() {
            return;
        }
        let newest = lock(&self.shared.store).newest().cloned();
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

/// Removes all files of a folder and makes that durable.
fn empty_folder(folder: &Path) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        fs::remove_file(entry?.path())?;
    }
    fs::File::open(folder)?.sync_all()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock is held ends the thread that owns the state, so nothing half-done is read.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
