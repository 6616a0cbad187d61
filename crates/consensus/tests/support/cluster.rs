//! A cluster of replicas in one process and virtual time, with fault injection and safety checks.
//!
//! Each host has its own clock, which starts at a random time and runs up to 4% fast or slow. The lease must tolerate
//! that.

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
/// The pause after which a host opens its folder again that could not be opened on a full disk.
const OPEN_RETRY_MS: u64 = 200;

/// Whether leaders have a lease that restarted voters respect.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Lease {
    Kept,
    None,
}

pub(crate) fn options(lease: Lease) -> node::Options {
    let is_kept = matches!(lease, Lease::Kept);
    node::Options {
        lease_reads: is_kept,
        keeps_lease_over_restart: is_kept,
        max_message_bytes: 300,
        max_in_flight: 3,
        max_apply_bytes: 500,
        keep_entries: 20,
        promotion_lag: 10,
        ..node::Options::default()
    }
}

/// The state machine: registers, and a checksum of all applied proposals.
#[derive(Clone, Default)]
pub(crate) struct Machine {
    pub(crate) registers: [u32; KEYS],
    digest: u32,
    applied: u64,
}

impl Machine {
    fn execute(&mut self, action: Action<'_>) {
        let (Action::Restore { position, data } | Action::Apply { position, data }) = action;
        assert!(
            position.index > self.applied,
            "{position:?} is applied although index {} is applied already",
            self.applied
        );
        self.applied = position.index;
        match action {
            Action::Restore { .. } => {
                let words: Vec<u32> = data.chunks(4).map(u32_from).collect();
                self.digest = words[0];
                self.registers.copy_from_slice(&words[1..=KEYS]);
            }
            Action::Apply { .. } => {
                self.digest = digest(self.digest, data);
                self.registers[data[0] as usize] = u32_from(&data[1..5]);
            }
        }
    }

    /// The encoded state, padded so that a snapshot needs several messages.
    fn encode(&self) -> Vec<u8> {
        let mut data = self.digest.to_le_bytes().to_vec();
        for register in self.registers {
            data.extend(register.to_le_bytes());
        }
        data.resize(1000, 0);
        data
    }
}

fn u32_from(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("a slice of four bytes"))
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
    clock_offset_ms: u64,
    clock_rate_permille: u64,
    next_tick: u64,
    checked_index: u64,
    /// The highest index applied from this drive while the replica reported that it had caught up.
    highest_exposed: u64,
}

impl Host {
    fn clock(&self, now: u64) -> Time {
        Time::from_ms(self.clock_offset_ms + now * self.clock_rate_permille / 1000)
    }

    pub(crate) fn node(&self) -> Option<&Node> {
        self.replica.as_ref().map(Replica::node)
    }
}

/// The expected history, collected from all replicas.
#[derive(Default)]
pub(crate) struct Oracle {
    leaders: BTreeMap<u64, Id>,
    /// All committed entries. The entry at offset `i` has the index `i + 1`.
    pub(crate) committed: Vec<Entry>,
    /// The checksum of the state machine after each committed entry.
    digests: Vec<u32>,
    /// Each entry that has been in a log, and the position before it, by term and index.
    seen_entries: BTreeMap<(u64, u64), (Entry, Position)>,
}

impl Oracle {
    fn commit(&mut self, entry: &Entry) {
        let index = entry.position.index;
        match self.committed.get(index as usize - 1) {
            Some(known) => assert_eq!(
                known, entry,
                "two different entries are committed at one index"
            ),
            None => {
                assert_eq!(
                    index,
                    self.committed.len() as u64 + 1,
                    "an entry is committed before those that precede it"
                );
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
    lease: Lease,
    pub(crate) rng: SmallRng,
    pub(crate) now: u64,
    pub(crate) hosts: Vec<Host>,
    /// The number of hosts that should run a voter: the first ones.
    pub(crate) target_voters: usize,
    pub(crate) oracle: Oracle,
    pub(crate) clients: Clients,
    /// The chance that a message is lost, and that it is duplicated, in percent.
    pub(crate) loss: u32,
    pub(crate) max_delay_ms: u64,
    /// Whether messages from one host (first index) to another (second index) are dropped.
    pub(crate) blocked: Vec<Vec<bool>>,
    network: BTreeMap<(u64, u64), Message>,
    /// The host of each replica id that has existed.
    host_of_id: BTreeMap<Id, usize>,
    sent: u64,
    pub(crate) lost_disks: u64,
    pub(crate) crashes: u64,
}

impl Cluster {
    /// Starts five hosts. The first one bootstraps the fleet with the first three as voters.
    pub(crate) fn new(seed: u64, clients: usize, lease: Lease) -> Cluster {
        let mut cluster = Cluster {
            seed,
            lease,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            hosts: Vec::new(),
            target_voters: 3,
            oracle: Oracle::default(),
            clients: Clients::new(clients),
            loss: 0,
            max_delay_ms: 5,
            blocked: vec![vec![false; 5]; 5],
            network: BTreeMap::new(),
            host_of_id: BTreeMap::new(),
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
        let replica = cluster.hosts[0]
            .replica
            .as_mut()
            .expect("the host is running");
        replica
            .bootstrap(clock, membership)
            .expect("the replica is empty");
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
            clock_offset_ms: self.rng.random_range(1..1_000_000),
            clock_rate_permille: self.rng.random_range(960..=1040),
            next_tick: 0,
            checked_index: 0,
            highest_exposed: 0,
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
        let opened = match Disk::open_files(host.drive.files(), options_of_disk) {
            Ok(opened) => opened,
            Err(_) if host.drive.is_full() => {
                host.restart_at = self.now + OPEN_RETRY_MS;
                return;
            }
            Err(error) => panic!("seed {}: host {at}: {error}", self.seed),
        };
        host.id = opened.0.id();
        host.machine = Arc::default();
        host.checked_index = 0;
        host.frozen_until = 0;
        host.inbox.clear();
        let machine = Arc::clone(&host.machine);
        let apply = move |action: Action<'_>| {
            machine
                .lock()
                .expect("the lock is not poisoned")
                .execute(action)
        };
        let clock = host.clock(self.now);
        host.replica = Some(Replica::new(
            opened,
            options(self.lease),
            clock,
            seed,
            apply,
        ));
        self.host_of_id.insert(self.hosts[at].id, at);
    }

    /// Advances the time by 1 ms.
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
            let (from, to) = (self.host_of_id[&message.from], self.host_of_id[&message.to]);
            if !self.blocked[from][to] && self.hosts[to].replica.is_some() {
                self.hosts[to].inbox.push(message);
            }
        }
    }

    /// Passes all inputs to a host and flushes it. The operations of the clients come first or last, at random.
    fn run_host(&mut self, at: usize) {
        let clients_first = self.rng.random_bool(0.5);
        let mut busy = clients_first && self.submit_operations(at);
        let host = &mut self.hosts[at];
        let clock = host.clock(self.now);
        let replica = host.replica.as_mut().expect("the host is running");
        for message in host.inbox.drain(..) {
            replica.receive(clock, message);
            busy = true;
        }
        if self.now >= host.next_tick {
            host.next_tick = self.now + 20;
            replica.tick(clock);
            busy = true;
        }
        busy |= !clients_first && self.submit_operations(at);
        if busy {
            self.flush(at);
        }
    }

    fn submit_operations(&mut self, at: usize) -> bool {
        let host = &mut self.hosts[at];
        let clock = host.clock(self.now);
        let replica = host.replica.as_mut().expect("the host is running");
        self.clients
            .submit(&mut self.rng, self.now, clock, at, replica)
    }

    fn flush(&mut self, at: usize) {
        let result = self.hosts[at]
            .replica
            .as_mut()
            .expect("the host is running")
            .flush();
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
        let machine = host
            .machine
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        self.clients
            .handle_output(self.now, at, &output, &machine, &self.oracle);
        let replica = host.replica.as_mut().expect("the host is running");
        if replica.entries_since_snapshot() >= SNAPSHOT_EVERY {
            replica
                .take_snapshot(machine.encode())
                .expect("the index is applied");
        }
        for message in output.messages.drain(..) {
            self.send(message);
        }
    }

    fn send(&mut self, message: Message) {
        if self.rng.random_ratio(self.loss, 100) {
            return;
        }
        if self.rng.random_ratio(self.loss, 100) {
            self.send(message.clone());
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
        self.clients.leave_host(at);
    }

    fn replace_drive(&mut self, at: usize) {
        self.hosts[at].drive = Drive::default();
        self.hosts[at].highest_exposed = 0;
    }

    /// Crashes the host and replaces its drive, so that it restarts with an empty folder and a new replica id.
    pub(crate) fn lose_disk(&mut self, at: usize) {
        self.crash(at);
        self.replace_drive(at);
        self.lost_disks += 1;
    }

    /// Whether the fleet could repair the loss of one more disk: all hosts are running and their latest membership is
    /// committed, it has at least three voters and no learner, and no voter has lost its disk.
    pub(crate) fn is_repaired(&self) -> bool {
        let Some(membership) = self.oracle.membership() else {
            return false;
        };
        let all_settled = self.hosts.iter().all(|host| {
            host.node().is_some_and(|node| {
                let mut members = node
                    .entries()
                    .filter(|e| matches!(e.payload, Payload::Members(_)));
                let latest = members.next_back().map_or(0, |e| e.position.index);
                latest <= self.oracle.committed.len() as u64
            })
        });
        let exists = |id: Id| self.hosts.iter().any(|host| host.id == id);
        let voters = membership.voters().count();
        let learners = membership.members().len() - voters;
        all_settled && voters >= 3 && learners == 0 && membership.voters().all(exists)
    }

    /// Asks a host to transfer its leadership. Has no effect if the host is not the leader.
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
        for host in &self.hosts {
            host.drive.make_room();
        }
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

    /// Does what the repair loop of a daemon does: adds hosts that have a disk and removes ids whose disk was lost.
    fn repair_membership(&mut self) {
        self.reset_removed_hosts();
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
        let replica = self.hosts[at]
            .replica
            .as_mut()
            .expect("the host is running");
        if let Err(node::Error::RemovesLeader(_)) = replica.change_membership(clock, change) {
            drop(replica.transfer_leadership(clock, None));
        }
        self.flush(at);
    }

    /// Gives a host an empty folder if it was removed but should run a voter again, because its replica id is
    /// retired.
    fn reset_removed_hosts(&mut self) {
        for at in 0..self.target_voters {
            let id = self.hosts[at].id;
            let membership = self.oracle.membership();
            let retired = membership.is_some_and(|m| m.retired().binary_search(&id).is_ok());
            if retired && self.hosts[at].replica.is_some() {
                self.crash(at);
                self.replace_drive(at);
            }
        }
    }

    fn due_changes(&self, at: usize) -> Vec<Change> {
        let membership = self.hosts[at]
            .node()
            .expect("the host is running")
            .membership();
        let voters = membership.voters().count();
        let mut changes = Vec::new();
        for (number, host) in self.hosts.iter().enumerate().take(self.target_voters) {
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
            let host = self.host_of_id[&id];
            let has_new_id = self.hosts[host].id != id;
            if has_new_id || (host >= self.target_voters && voters > 3) {
                changes.push(Change::Remove { id });
            }
        }
        changes
    }

    /// Checks the safety properties of one node.
    fn check(&mut self, at: usize) {
        let seed = self.seed;
        let host = &mut self.hosts[at];
        let node = host.replica.as_ref().expect("the host is running").node();
        let oracle = &mut self.oracle;
        // Log matching: entries at equal positions are equal and follow equal positions.
        let mut previous: Option<Position> = None;
        for entry in node.entries() {
            let position = entry.position;
            if let Some(previous) = previous {
                let key = (position.term, position.index);
                let new = || (entry.clone(), previous);
                let seen = oracle.seen_entries.entry(key).or_insert_with(new);
                assert_eq!(
                    seen.0, *entry,
                    "seed {seed}: two logs have different entries at one position"
                );
                assert_eq!(
                    seen.1, previous,
                    "seed {seed}: two logs differ before the same entry"
                );
            }
            previous = Some(position);
        }
        // All replicas commit the same entries, and the state is the result of these entries.
        let commit = node.commit();
        let new = node
            .entries()
            .filter(|e| (host.checked_index + 1..=commit).contains(&e.position.index));
        new.for_each(|entry| oracle.commit(entry));
        host.checked_index = commit;
        if let Some(applied) = node.applied().checked_sub(1) {
            let machine = host.machine.lock().expect("the lock is not poisoned");
            assert_eq!(
                machine.digest, oracle.digests[applied as usize],
                "seed {seed}: the state differs from the committed entries"
            );
        }
        // A replica that reports that it has caught up must not expose an older state than before its restart.
        if node.has_caught_up() {
            let applied = node.applied();
            assert!(
                applied >= host.highest_exposed,
                "seed {seed}: the state is older than before the restart"
            );
            host.highest_exposed = applied;
        }
        if node.role() == Role::Leader {
            let leader = *oracle.leaders.entry(node.term()).or_insert(node.id());
            assert_eq!(
                leader,
                node.id(),
                "seed {seed}: two leaders in term {}",
                node.term()
            );
            // Leader completeness: the leader holds all entries of earlier terms that are committed.
            let first = node.entries().next().map_or(0, |e| e.position.index);
            let old = oracle.committed.iter().rev();
            let old = old.skip_while(|e| e.position.term >= node.term()).take(50);
            for entry in old.filter(|e| e.position.index >= first) {
                let at = (entry.position.index - first) as usize;
                assert_eq!(
                    node.entries().nth(at),
                    Some(entry),
                    "seed {seed}: the leader lacks a committed entry"
                );
            }
        }
    }

    /// Checks that no other replica is the leader of a later term during a lease, even if the holder is frozen.
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
                    "seed {}: at {} ms replica {} leads term {} during the lease of replica {} in term {}",
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

    /// Ends all faults, and checks that the fleet recovers and that all voters apply all committed entries.
    pub(crate) fn settle(&mut self) {
        self.heal();
        for host in &mut self.hosts {
            host.frozen_until = 0;
        }
        self.clients.set_paused(false);
        self.run(8000);
        self.clients.set_paused(true);
        self.run(3000);
        let seed = self.seed;
        let leader = self
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no leader after all faults ended"));
        let committed = self.oracle.committed.len() as u64;
        let membership = self.hosts[leader]
            .node()
            .expect("the host is running")
            .membership()
            .clone();
        assert_eq!(
            membership.voters().count(),
            self.target_voters,
            "seed {seed}: wrong number of voters in {membership:?}"
        );
        for id in membership.voters() {
            let host = self.hosts.iter().find(|host| host.id == id);
            let host = host.unwrap_or_else(|| panic!("seed {seed}: voter {id} has no host"));
            let applied = host.node().expect("the host is running").applied();
            assert_eq!(
                applied, committed,
                "seed {seed}: replica {id} has not applied all committed entries"
            );
        }
    }
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn host_name(at: usize) -> Name {
    name(&format!("host-{at}"))
}
