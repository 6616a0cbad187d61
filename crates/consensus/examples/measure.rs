//! Measures the restart time, the fsyncs per proposal, the memory per entry, the time without a leader after the
//! leader has stopped, and the encoded size of heartbeats.
//!
//!     cargo run --release -p primrose-consensus --example measure -- FOLDER
//!
//! The data is written to a temporary folder within FOLDER (default: the current folder).

use std::collections::VecDeque;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Instant;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::disk::{self, Disk};
use primrose_consensus::entry::{Entry, Payload, Position};
use primrose_consensus::membership::{Id, Member, Membership};
use primrose_consensus::message::{Body, Message, Outcome, Stamp};
use primrose_consensus::node::{self, Node, Role};
use primrose_consensus::replica::Replica;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const ENTRY_BYTES: usize = 200;
const REPLICAS: u64 = 3;
const TICK_MS: u64 = 20;
/// One-way network delay in [`Simulation`].
const DELAY_MS: u64 = 2;

/// Three replicas in virtual time, with folders on disk. Messages arrive without delay.
struct Fleet {
    replicas: Vec<Replica>,
    now: Time,
}

impl Fleet {
    fn open(folder: &Path) -> Result<Fleet> {
        let now = Time::from_ms(1);
        let mut replicas = Vec::new();
        let mut members = Vec::new();
        for number in 1..=REPLICAS {
            let (id, host) = (Id(number), Name::new(&format!("host-{number}"))?);
            let opened = open(&folder.join(host.as_str()), id, &host)?;
            let options = node::Options::default();
            replicas.push(Replica::new(opened, options, now, number, |_| {}));
            let voter = true;
            members.push(Member { id, host, voter });
        }
        replicas[0].bootstrap(now, Membership::new(members))?;
        let mut fleet = Fleet { replicas, now };
        while fleet.leader().is_none() {
            fleet.tick()?;
        }
        Ok(fleet)
    }

    fn leader(&mut self) -> Option<&mut Replica> {
        let is_leader = |r: &&mut Replica| r.node().role() == Role::Leader;
        self.replicas.iter_mut().find(is_leader)
    }

    fn tick(&mut self) -> Result<()> {
        self.now = self.now.plus_ms(TICK_MS);
        for replica in &mut self.replicas {
            replica.tick(self.now);
        }
        self.deliver_messages()
    }

    /// Flushes all replicas and delivers their messages until they send no more.
    fn deliver_messages(&mut self) -> Result<()> {
        loop {
            let mut messages = Vec::new();
            for replica in &mut self.replicas {
                messages.extend(replica.flush()?.messages);
            }
            if messages.is_empty() {
                return Ok(());
            }
            for message in messages {
                let to = message.to.0 as usize - 1;
                self.replicas[to].receive(self.now, message);
            }
        }
    }

    /// Returns the number of fsyncs of each replica so far.
    fn syncs(&self) -> Vec<u64> {
        let syncs = |r: &Replica| {
            let counters = r.disk().counters();
            counters.log_syncs + counters.other_syncs + counters.folder_syncs
        };
        self.replicas.iter().map(syncs).collect()
    }
}

fn open(folder: &Path, id: Id, host: &Name) -> Result<(Disk, disk::Recovered)> {
    let options = disk::Options::new(Name::new("fleet")?, host.clone(), id);
    Ok(Disk::open(folder, options)?)
}

/// Prints the fsyncs per proposal and the throughput for proposals that arrive in batches of `batch`.
fn measure_syncs(folder: &Path, batch: usize) -> Result<()> {
    let mut fleet = Fleet::open(folder)?;
    for _ in 0..50 {
        fleet.tick()?;
    }
    let proposals = 2000.max(batch * 10);
    let before = fleet.syncs();
    let start = Instant::now();
    for _ in 0..proposals / batch {
        let now = fleet.now;
        let leader = fleet.leader().ok_or("no leader")?;
        for _ in 0..batch {
            leader.propose(now, vec![7; ENTRY_BYTES])?;
        }
        fleet.deliver_messages()?;
    }
    let elapsed = start.elapsed();
    let after = fleet.syncs();
    let per_replica: Vec<String> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| format!("{:.4}", (after - before) as f64 / proposals as f64))
        .collect();
    println!(
        "batch {batch:>5}: fsyncs per proposal on each replica: {}; {:.0} proposals/s",
        per_replica.join(" "),
        proposals as f64 / elapsed.as_secs_f64()
    );
    Ok(())
}

/// Prints the time to open a folder whose log holds `count` entries and no snapshot.
fn measure_restart(folder: &Path, count: u64) -> Result<()> {
    let host = Name::new("host-1")?;
    let (mut disk, _) = open(folder, Id(1), &host)?;
    let mut next = 1;
    while next <= count {
        let last = (next + 99).min(count);
        let ready = node::Ready {
            entries: (next..=last).map(entry).collect(),
            sync: last == count,
            ..node::Ready::default()
        };
        disk.write(&ready)?;
        next = last + 1;
    }
    drop(disk);
    let mut times = Vec::new();
    for _ in 0..5 {
        let start = Instant::now();
        let (disk, recovered) = open(folder, Id(1), &host)?;
        let node = Node::new(recovered, node::Options::default(), Time::from_ms(1), 1);
        times.push(start.elapsed().as_secs_f64() * 1000.0);
        assert_eq!(node.last_position().index, count);
        drop(disk);
    }
    times.sort_by(f64::total_cmp);
    println!(
        "{count:>7} entries of {ENTRY_BYTES} bytes: restart in {:.1} ms (median of 5, {:.1} to {:.1})",
        times[2], times[0], times[4]
    );
    Ok(())
}

fn entry(index: u64) -> Entry {
    Entry {
        position: Position { term: 1, index },
        payload: Payload::Data(vec![7; ENTRY_BYTES]),
    }
}

/// Prints the resident memory per entry of a node that holds at least `count` entries.
fn measure_memory(count: u64) -> Result<()> {
    let recovered = disk::Recovered {
        id: Id(1),
        hard: Default::default(),
        snapshot: None,
        entries: Vec::new(),
    };
    let mut node = Node::new(recovered, node::Options::default(), Time::from_ms(1), 1);
    let before = resident_bytes()?;
    let member = Member {
        id: Id(1),
        host: Name::new("host-1")?,
        voter: true,
    };
    let mut now = Time::from_ms(1);
    node.bootstrap(now, Membership::new(vec![member]))?;
    while node.last_position().index < count {
        if node.role() == Role::Leader {
            for _ in 0..100 {
                node.propose(now, vec![7; ENTRY_BYTES])?;
            }
        } else {
            now = now.plus_ms(TICK_MS);
            node.tick(now);
        }
        while node.ready().is_some() {
            node.persisted();
        }
    }
    let used = resident_bytes()?.saturating_sub(before);
    println!(
        "{} entries of {ENTRY_BYTES} bytes in memory: {:.0} bytes each",
        node.last_position().index,
        used as f64 / node.last_position().index as f64
    );
    Ok(())
}

/// Three nodes in virtual time, without disks. Messages arrive after `DELAY_MS`.
struct Simulation {
    nodes: Vec<Node>,
    messages: VecDeque<(u64, Message)>,
    now: u64,
}

impl Simulation {
    fn new(seed: u64) -> Result<Simulation> {
        let mut nodes = Vec::new();
        let mut members = Vec::new();
        for number in 1..=REPLICAS {
            let (id, host, voter) = (Id(number), Name::new("host")?, true);
            members.push(Member { id, host, voter });
            let recovered = disk::Recovered {
                id,
                hard: Default::default(),
                snapshot: None,
                entries: Vec::new(),
            };
            let options = node::Options::default();
            let seed = seed * REPLICAS + number;
            nodes.push(Node::new(recovered, options, Time::from_ms(0), seed));
        }
        nodes[0].bootstrap(Time::from_ms(0), Membership::new(members))?;
        let messages = VecDeque::new();
        let now = seed % TICK_MS;
        Ok(Simulation {
            nodes,
            messages,
            now,
        })
    }

    /// Advances the time by 1 ms. The nodes tick at different times within `TICK_MS`.
    fn step(&mut self) {
        self.now += 1;
        let now = Time::from_ms(self.now);
        while self.messages.front().is_some_and(|m| m.0 <= self.now) {
            let Some((_, message)) = self.messages.pop_front() else {
                break;
            };
            if let Some(node) = self.nodes.iter_mut().find(|n| n.id() == message.to) {
                node.step(now, message);
            }
        }
        for node in &mut self.nodes {
            if (self.now + 7 * node.id().0).is_multiple_of(TICK_MS) {
                node.tick(now);
            }
            while let Some(ready) = node.ready() {
                node.persisted();
                let at = self.now + DELAY_MS;
                let messages = ready.messages.into_iter();
                self.messages.extend(messages.map(|message| (at, message)));
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        let is_leader = |node: &Node| node.role() == Role::Leader;
        self.nodes.iter().position(is_leader)
    }
}

/// Stops the leader of three voters and prints how long the other two are without a leader, for `trials`
/// simulations.
fn measure_failover(trials: u64) -> Result<()> {
    let mut times = Vec::new();
    for seed in 0..trials {
        let mut simulation = Simulation::new(seed)?;
        while simulation.now < 3000 + seed % 100 || simulation.leader().is_none() {
            simulation.step();
        }
        let leader = simulation.leader().ok_or("no leader")?;
        simulation.nodes.remove(leader);
        let start = simulation.now;
        while simulation.leader().is_none() {
            simulation.step();
        }
        times.push(simulation.now - start);
    }
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "time without a leader over {trials} trials: median {} ms, 99th percentile {} ms, longest {} ms",
        at(50),
        at(99),
        at(100)
    );
    Ok(())
}

/// Prints the encoded sizes of a heartbeat and of the answer to it. The indices and times are as large as in a fleet
/// that has run for long.
fn measure_heartbeat() -> Result<()> {
    let stamp = Stamp {
        round: 1_000_000,
        sent: Time::from_ms(1_000_000_000),
    };
    let previous = Position {
        term: 100,
        index: 1_000_000,
    };
    let bodies = [
        Body::Append {
            stamp,
            previous,
            entries: Vec::new(),
            commit: previous.index,
        },
        Body::AppendReply {
            stamp,
            outcome: Outcome::Matched(previous.index),
        },
    ];
    let mut sizes = Vec::new();
    for body in bodies {
        let (from, to, term) = (Id(u64::MAX), Id(u64::MAX), previous.term);
        let message = Message {
            from,
            to,
            term,
            body,
        };
        sizes.push(postcard::to_stdvec(&message)?.len());
    }
    println!("heartbeat {} bytes, answer {} bytes", sizes[0], sizes[1]);
    Ok(())
}

fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .ok_or("/proc/self/statm has no second field")?
        .parse()?;
    Ok(pages * rustix::param::page_size() as u64)
}

fn main() -> Result<()> {
    let parent = std::env::args_os().nth(1).map_or(".".into(), PathBuf::from);
    let folder = tempfile::tempdir_in(parent)?;
    measure_memory(200_000)?;
    measure_failover(2000)?;
    measure_heartbeat()?;
    for count in [1_000, 10_000, 100_000, 300_000] {
        measure_restart(&folder.path().join(format!("restart-{count}")), count)?;
    }
    for batch in [1, 10, 100, 1000] {
        measure_syncs(&folder.path().join(format!("batch-{batch}")), batch)?;
    }
    Ok(())
}
