//! Replicas in one process and virtual time, with faults and safety checks.
//!
//! Each host has its own clock, which starts anywhere and runs up to 4% fast or slow; the lease must tolerate that.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::disk::{self, Disk};
use primrose_consensus::entry::{Entry, Payload, Position};
use primrose_consensus::membership::{Change, Id, Member, Membership};
use primrose_consensus::message::Message;
use primrose_consensus::node::{self, Node, Role};
use primrose_consensus::replica::{Action, Output, Replica};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::client::Clients;
use crate::drive::{CRASHES, Crash, Drive};

pub(crate) const KEYS: usize = 8;
const SNAPSHOT_EVERY: u64 = 40;

pub(crate) fn options() -> node::Options {
    node::Options {
        max_message_bytes: 300,
        max_in_flight: 3,
        max_apply_bytes: 500,
        keep_entries: 20,
        promotion_lag: 10,
        ..node::Options::default()
    }
}

/// The state machine: registers, and a checksum of everything applied.
#[derive(Clone, Default)]
pub(crate) struct Machine {
    pub(crate) registers: [u32; KEYS],
    digest: u32,
    applied: u64,
}

impl Machine {
    fn act(&mut self, action: Action<'_>) {
        let (Action::Restore { position, data } | Action::Apply { position, data }) = action;
        assert!(
            position.index > self.applied,
            "applied {position:?} after {}",
            self.applied
        );
        self.applied = position.index;
        match action {
            Action::Restore { .. } => {
                let words: Vec<u32> = data.chunks(4).map(word).collect();
                self.digest = words[0];
                self.registers.copy_from_slice(&words[1..=KEYS]);
            }
            Action::Apply { .. } => {
                self.digest = digest(self.digest, data);
                self.registers[data[0] as usize] = word(&data[1..5]);
            }
        }
    }

    /// Padded, so that a snapshot takes several messages.
    fn encode(&self) -> Vec<u8> {
        let mut data = self.digest.to_le_bytes().to_vec();
        for register in self.registers {
            data.extend(register.to_le_bytes());
        }
        data.resize(1000, 0);
        data
    }
}

fn word(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("four bytes"))
}

fn digest(before: u32, data: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(before);
    hasher.update(data);
    hasher.finalize()
}

pub(crate) struct Host {
    pub(crate) id: Id,
    pub(crate) drive: Drive,
    pub(crate) replica: Option<Replica>,
    pub(crate) machine: Arc<Mutex<Machine>>,
    pub(crate) frozen_until: u64,
    restart_at: u64,
    crash: Crash,
    inbox: Vec<Message>,
    offset: u64,
    rate: u64,
    next_tick: u64,
    checked: u64,
    /// The highest index that was ever applied from this drive.
    shown: u64,
}

impl Host {
    fn clock(&self, now: u64) -> Time {
        Time::from_ms(self.offset + now * self.rate / 1000)
    }

    pub(crate) fn node(&self) -> Option<&Node> {
        self.replica.as_ref().map(Replica::node)
    }
}

/// What has happened in the whole fleet.
#[derive(Default)]
pub(crate) struct Truth {
    leaders: BTreeMap<u64, Id>,
    /// Entry `i` has index `i + 1`.
    pub(crate) committed: Vec<Entry>,
    /// The checksum of the state machine after each of them.
    digests: Vec<u32>,
    /// Each entry that was ever in a log, and the position before it, by term and index.
    seen: BTreeMap<(u64, u64), (Entry, Position)>,
}

impl Truth {
    fn commit(&mut self, entry: &Entry) {
        let index = entry.position.index;
        match self.committed.get(index as usize - 1) {
            Some(known) => assert_eq!(known, entry, "two entries are committed at one index"),
            None => {
                assert_eq!(index, self.committed.len() as u64 + 1);
                let before = self.digests.last().copied().unwrap_or(0);
                self.digests.push(match &entry.payload {
                    Payload::Data(data) => digest(before, data),
                    Payload::Empty | Payload::Members(_) => before,
                });
                self.committed.push(entry.clone());
            }
        }
    }

    pub(crate) fn membership(&self) -> Option<&Membership> {
        self.committed
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(membership) => Some(membership),
                Payload::Empty | Payload::Data(_) => None,
            })
    }
}

pub(crate) struct Cluster {
    pub(crate) seed: u64,
    pub(crate) rng: SmallRng,
    pub(crate) now: u64,
    pub(crate) hosts: Vec<Host>,
    /// How many hosts are to have a voter.
    pub(crate) wanted: usize,
    pub(crate) truth: Truth,
    pub(crate) clients: Clients,
    /// Chance that a message is lost or repeated, in percent.
    pub(crate) loss: u32,
    pub(crate) max_delay_ms: u64,
    /// Whether messages from one host reach another.
    pub(crate) blocked: Vec<Vec<bool>>,
    network: BTreeMap<(u64, u64), Message>,
    /// The host of every replica id that ever was.
    homes: BTreeMap<Id, usize>,
    sent: u64,
    pub(crate) lost_disks: u64,
    pub(crate) crashes: u64,
}

impl Cluster {
    /// Five hosts. The first three are founded as voters.
    pub(crate) fn new(seed: u64, clients: usize) -> Cluster {
        let mut cluster = Cluster {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            hosts: Vec::new(),
            wanted: 3,
            truth: Truth::default(),
            clients: Clients::new(clients),
            loss: 0,
            max_delay_ms: 5,
            blocked: vec![vec![false; 5]; 5],
            network: BTreeMap::new(),
            homes: BTreeMap::new(),
            sent: 0,
            lost_disks: 0,
            crashes: 0,
        };
        for at in 0..5 {
            let host = cluster.new_host();
            cluster.hosts.push(host);
            cluster.start(at);
        }
        let members = (0..3).map(|at| Member {
            id: cluster.hosts[at].id,
            host: host_name(at),
            voter: true,
        });
        let membership = Membership::new(members.collect());
        let clock = cluster.hosts[0].clock(0);
        let replica = cluster.hosts[0].replica.as_mut().expect("up");
        replica.bootstrap(clock, membership).expect("empty");
        cluster.flush(0);
        cluster
    }

    fn new_host(&mut self) -> Host {
        Host {
            id: Id(0),
            drive: Drive::default(),
            replica: None,
            machine: Arc::default(),
            frozen_until: 0,
            restart_at: 0,
            crash: Crash::Lose,
            inbox: Vec::new(),
            offset: self.rng.random_range(1..1_000_000),
            rate: self.rng.random_range(960..=1040),
            next_tick: 0,
            checked: 0,
            shown: 0,
        }
    }

    fn start(&mut self, at: usize) {
        let fresh = Id(self.rng.random());
        let seed = self.rng.random();
        let host = &mut self.hosts[at];
        host.drive.restart(host.crash, seed);
        let options_of_disk = disk::Options {
            segment_bytes: 2000,
            ..disk::Options::new(name("fleet"), host_name(at), fresh)
        };
        let opened = Disk::open_files(host.drive.files(), options_of_disk)
            .unwrap_or_else(|e| panic!("seed {}: host {at}: {e}", self.seed));
        host.id = opened.0.id();
        host.machine = Arc::default();
        host.checked = 0;
        host.frozen_until = 0;
        host.inbox.clear();
        let machine = Arc::clone(&host.machine);
        let apply = move |action: Action<'_>| machine.lock().expect("not poisoned").act(action);
        let clock = host.clock(self.now);
        host.replica = Some(Replica::new(opened, options(), clock, seed, apply));
        self.homes.insert(self.hosts[at].id, at);
    }

    /// One millisecond.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        self.clients.time_out(&mut self.rng, self.now);
        self.deliver();
        for at in 0..self.hosts.len() {
            let host = &self.hosts[at];
            match host.replica {
                None if self.now >= host.restart_at => self.start(at),
                None => {}
                Some(_) if self.now < host.frozen_until => {}
                Some(_) => self.run_host(at),
            }
        }
        self.check_leases();
        if self.now.is_multiple_of(50) {
            self.repair_membership();
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.step();
        }
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now + 1, 0));
        for (_, message) in std::mem::replace(&mut self.network, later) {
            let (from, to) = (self.homes[&message.from], self.homes[&message.to]);
            if !self.blocked[from][to] && self.hosts[to].replica.is_some() {
                self.hosts[to].inbox.push(message);
            }
        }
    }

    /// Hands a host its inputs, the tick sometimes last, and flushes it.
    fn run_host(&mut self, at: usize) {
        let clients_first = self.rng.random_bool(0.5);
        let mut busy = clients_first && self.ask(at);
        let host = &mut self.hosts[at];
        let clock = host.clock(self.now);
        let replica = host.replica.as_mut().expect("up");
        for message in host.inbox.drain(..) {
            replica.receive(clock, message);
            busy = true;
        }
        if self.now >= host.next_tick {
            host.next_tick = self.now + 20;
            replica.tick(clock);
            busy = true;
        }
        busy |= !clients_first && self.ask(at);
        if busy {
            self.flush(at);
        }
    }

    fn ask(&mut self, at: usize) -> bool {
        let host = &mut self.hosts[at];
        let clock = host.clock(self.now);
        let replica = host.replica.as_mut().expect("up");
        self.clients
            .ask(&mut self.rng, self.now, clock, at, replica)
    }

    fn flush(&mut self, at: usize) {
        let result = self.hosts[at].replica.as_mut().expect("up").flush();
        match result {
            Ok(output) => self.finish_flush(at, output),
            Err(error) => {
                assert!(self.hosts[at].drive.stopped(), "host {at}: {error}");
                self.crash(at);
            }
        }
    }

    fn finish_flush(&mut self, at: usize, mut output: Output) {
        self.check(at);
        let host = &mut self.hosts[at];
        let machine = host.machine.lock().expect("not poisoned").clone();
        self.clients
            .answer(self.now, at, &output, &machine, &self.truth);
        let replica = host.replica.as_mut().expect("up");
        if replica.entries_since_snapshot() >= SNAPSHOT_EVERY {
            replica.take_snapshot(machine.encode()).expect("applied");
        }
        for message in output.messages.drain(..) {
            self.post(message);
        }
    }

    fn post(&mut self, message: Message) {
        if self.rng.random_ratio(self.loss, 100) {
            return;
        }
        if self.rng.random_ratio(self.loss, 100) {
            self.post(message.clone());
        }
        self.sent += 1;
        let at = self.now + self.rng.random_range(1..=self.max_delay_ms);
        self.network.insert((at, self.sent), message);
    }

    pub(crate) fn crash(&mut self, at: usize) {
        self.crashes += 1;
        let pause = self.rng.random_range(10..2000);
        let host = &mut self.hosts[at];
        host.replica = None;
        host.restart_at = self.now + pause;
        host.crash = CRASHES[self.rng.random_range(0..CRASHES.len())];
        self.clients.lose_host(at);
    }

    fn replace_drive(&mut self, at: usize) {
        self.hosts[at].drive = Drive::default();
        self.hosts[at].shown = 0;
    }

    /// The host comes back empty, with a new replica id.
    pub(crate) fn lose_disk(&mut self, at: usize) {
        self.crash(at);
        self.replace_drive(at);
        self.lost_disks += 1;
    }

    /// Whether the fleet could repair the loss of one more disk: the membership is settled, all its voters are running,
    /// and there are at least three.
    pub(crate) fn is_repaired(&self) -> bool {
        let Some(membership) = self.truth.membership() else {
            return false;
        };
        let up = self.hosts.iter().all(|host| {
            host.node().is_some_and(|node| {
                let mut members = node
                    .entries()
                    .filter(|e| matches!(e.payload, Payload::Members(_)));
                let latest = members.next_back().map_or(0, |e| e.position.index);
                latest <= self.truth.committed.len() as u64
            })
        });
        let live = |id: Id| self.hosts.iter().any(|host| host.id == id);
        let voters = membership.voters().count();
        let learners = membership.members().len() - voters;
        up && voters >= 3 && learners == 0 && membership.voters().all(live)
    }

    /// Asks a host to pass on the leadership, which has no effect if it does not lead.
    pub(crate) fn transfer_leadership(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let clock = host.clock(self.now);
        if let Some(replica) = &mut host.replica
            && host.frozen_until <= self.now
        {
            drop(replica.transfer_leadership(clock, None));
            self.flush(at);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.blocked = vec![vec![false; 5]; 5];
        self.loss = 0;
        self.max_delay_ms = 5;
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leaders = self.hosts.iter().enumerate().filter_map(|(at, host)| {
            let node = host.node()?;
            (node.role() == Role::Leader).then_some((node.term(), at))
        });
        leaders.max().map(|(_, at)| at)
    }

    /// What a daemon's repair loop does: add hosts that have a disk, remove ids whose disk is gone.
    fn repair_membership(&mut self) {
        self.renew_removed_hosts();
        let Some(at) = self.leader() else { return };
        if self.now < self.hosts[at].frozen_until {
            return;
        }
        let clock = self.hosts[at].clock(self.now);
        let changes = self.due_changes(at);
        if changes.is_empty() {
            return;
        }
        let change = &changes[self.rng.random_range(0..changes.len())];
        let replica = self.hosts[at].replica.as_mut().expect("up");
        if let Err(node::Error::RemovesLeader(_)) = replica.change_membership(clock, change) {
            drop(replica.transfer_leadership(clock, None));
        }
        self.flush(at);
    }

    /// A host that was removed and is wanted again needs an empty folder, as its replica id is retired.
    fn renew_removed_hosts(&mut self) {
        for at in 0..self.wanted {
            let id = self.hosts[at].id;
            let membership = self.truth.membership();
            let retired = membership.is_some_and(|m| m.retired().binary_search(&id).is_ok());
            if retired && self.hosts[at].replica.is_some() {
                self.crash(at);
                self.replace_drive(at);
            }
        }
    }

    fn due_changes(&self, at: usize) -> Vec<Change> {
        let membership = self.hosts[at].node().expect("up").membership();
        let voters = membership.voters().count();
        let mut changes = Vec::new();
        for (number, host) in self.hosts.iter().enumerate().take(self.wanted) {
            match membership.member(host.id) {
                None if host.replica.is_some() => changes.push(Change::AddLearner {
                    id: host.id,
                    host: host_name(number),
                }),
                Some(member) if !member.voter => changes.push(Change::Promote { id: host.id }),
                None | Some(_) => {}
            }
        }
        for member in membership.members() {
            let id = member.id;
            let home = self.homes[&id];
            let dead = self.hosts[home].id != id;
            if dead || (home >= self.wanted && voters > 3) {
                changes.push(Change::Remove { id });
            }
        }
        changes
    }

    /// Safety checks of one node.
    fn check(&mut self, at: usize) {
        let seed = self.seed;
        let host = &mut self.hosts[at];
        let node = host.replica.as_ref().expect("up").node();
        let truth = &mut self.truth;
        // Log matching: equal positions mean equal entries and equal predecessors.
        let mut previous: Option<Position> = None;
        for entry in node.entries() {
            let position = entry.position;
            if let Some(previous) = previous {
                let key = (position.term, position.index);
                let new = || (entry.clone(), previous);
                let seen = truth.seen.entry(key).or_insert_with(new);
                assert_eq!(seen.0, *entry, "seed {seed}: log matching");
                assert_eq!(seen.1, previous, "seed {seed}: log matching");
            }
            previous = Some(position);
        }
        // Everybody commits the same entries, and the state follows from them.
        let commit = node.commit();
        let new = node
            .entries()
            .filter(|e| (host.checked + 1..=commit).contains(&e.position.index));
        new.for_each(|entry| truth.commit(entry));
        host.checked = commit;
        if let Some(applied) = node.applied().checked_sub(1) {
            let machine = host.machine.lock().expect("not poisoned");
            assert_eq!(
                machine.digest, truth.digests[applied as usize],
                "seed {seed}: state"
            );
        }
        // A replica that claims to have caught up must not be behind an earlier run.
        if node.has_caught_up() {
            let applied = node.applied();
            assert!(applied >= host.shown, "seed {seed}: went back");
            host.shown = applied;
        }
        if node.role() == Role::Leader {
            let leader = *truth.leaders.entry(node.term()).or_insert(node.id());
            assert_eq!(
                leader,
                node.id(),
                "seed {seed}: two leaders in term {}",
                node.term()
            );
            // Leader completeness: nothing committed in an earlier term is missing.
            let first = node.entries().next().map_or(0, |e| e.position.index);
            let old = truth.committed.iter().rev();
            let old = old.skip_while(|e| e.position.term >= node.term()).take(50);
            for entry in old.filter(|e| e.position.index >= first) {
                let at = (entry.position.index - first) as usize;
                assert_eq!(
                    node.entries().nth(at),
                    Some(entry),
                    "seed {seed}: a committed entry is missing"
                );
            }
        }
    }

    /// While a lease holds, even that of a frozen leader, nobody else leads a later term.
    fn check_leases(&self) {
        for holder in &self.hosts {
            let Some(node) = holder.node() else { continue };
            let until = node.lease_until().unwrap_or(Time::ZERO);
            if holder.clock(self.now) >= until {
                continue;
            }
            for other in self.hosts.iter().filter_map(Host::node) {
                let successor = other.role() == Role::Leader && other.term() > node.term();
                assert!(
                    !successor,
                    "seed {}: at {} ms {} leads term {} during the lease of {} in term {}",
                    self.seed,
                    self.now,
                    other.id(),
                    other.term(),
                    node.id(),
                    node.term()
                );
            }
        }
    }

    /// Ends all faults and checks that the fleet recovers with everything that was committed.
    pub(crate) fn settle(&mut self) {
        self.heal();
        for host in &mut self.hosts {
            host.frozen_until = 0;
        }
        self.clients.pause(false);
        self.run(8000);
        self.clients.pause(true);
        self.run(3000);
        let seed = self.seed;
        let leader = self
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no leader"));
        let committed = self.truth.committed.len() as u64;
        let membership = self.hosts[leader].node().expect("up").membership().clone();
        assert_eq!(
            membership.voters().count(),
            self.wanted,
            "seed {seed}: {membership:?}"
        );
        for id in membership.voters() {
            let host = self.hosts.iter().find(|host| host.id == id);
            let host = host.unwrap_or_else(|| panic!("seed {seed}: a dead voter {id}"));
            let applied = host.node().expect("up").applied();
            assert_eq!(applied, committed, "seed {seed}: replica {id} lags");
        }
    }
}

fn name(text: &str) -> Name {
    Name::new(text).expect("valid")
}

fn host_name(at: usize) -> Name {
    name(&format!("host-{at}"))
}
