//! Several replicas in virtual time under faults.
//!
//! `PRIMROSE_SEEDS=N` runs the random tests with N seeds instead of the fixed few, from `PRIMROSE_FIRST_SEED` (default 1).

#[path = "support/client.rs"]
mod client;
#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/drive.rs"]
mod drive;

use cluster::Cluster;
use primrose_consensus::node::Role;
use rand::RngExt;
use test_case::test_case;

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

/// What may go wrong in a run.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// Loss, duplication, reordering and partitions.
    Network,
    /// Crashes with loss of what was not synced, also in the middle of a write, and freezes.
    Process,
    /// Lost disks and membership changes, with all of the above.
    Everything,
}

fn inject(cluster: &mut Cluster, kind: Kind) {
    let choice = match kind {
        Kind::Network => cluster.rng.random_range(0..4),
        Kind::Process => cluster.rng.random_range(3..9),
        Kind::Everything => cluster.rng.random_range(0..12),
    };
    let at = cluster.rng.random_range(0..5);
    let leader = cluster.leader().unwrap_or(at);
    match choice {
        0 => partition(cluster),
        1 => cluster.blocked[leader][at] = true,
        2 => {
            cluster.loss = cluster.rng.random_range(0..40);
            let slowest = if cluster.rng.random_bool(0.2) {
                1500
            } else {
                300
            };
            cluster.max_delay_ms = cluster.rng.random_range(1..slowest);
        }
        3 => cluster.heal(),
        4 => cluster.crash(at),
        5 => cluster.crash(leader),
        6 => {
            let operations = cluster.rng.random_range(0..8);
            cluster.hosts[at].drive.stop_after(operations);
        }
        7 => freeze(cluster, at),
        8 => freeze(cluster, leader),
        9 if cluster.is_repaired() => cluster.lose_disk(at),
        10 => cluster.wanted = cluster.rng.random_range(3..=5),
        11 => cluster.transfer_leadership(leader),
        _ => {}
    }
}

fn partition(cluster: &mut Cluster) {
    let side: u32 = cluster.rng.random();
    for from in 0..5 {
        for to in 0..5 {
            cluster.blocked[from][to] = (side >> from & 1) != (side >> to & 1);
        }
    }
}

fn freeze(cluster: &mut Cluster, at: usize) {
    let ms = cluster.rng.random_range(100..3000);
    cluster.hosts[at].frozen_until = cluster.now + ms;
}

fn run(seed: u64, kind: Kind) {
    println!("seed {seed}, {kind:?}");
    let mut cluster = Cluster::new(seed, 4);
    cluster.run(3000);
    let answered = cluster.clients.answered();
    assert!(
        answered > 50,
        "seed {seed}: only {answered} answers without faults"
    );
    while cluster.now < 30_000 {
        inject(&mut cluster, kind);
        // Without writes a follower that is cut off has as much of the log as the others and could win an election.
        let pause = cluster.rng.random_bool(0.3);
        cluster.clients.pause(pause);
        let ms = cluster.rng.random_range(100..1200);
        cluster.run(ms);
    }
    cluster.settle();
    cluster.clients.check(seed);
    println!(
        "seed {seed}: {} entries, {} answers, {} crashes, {} lost disks",
        cluster.truth.committed.len(),
        cluster.clients.answered(),
        cluster.crashes,
        cluster.lost_disks
    );
}

// Guards against lost or differing commits, two leaders in a term, a leader during another one's lease, stale reads and a
// fleet that does not recover.
#[test_case(Kind::Network)]
#[test_case(Kind::Process)]
#[test_case(Kind::Everything)]
fn random_faults(kind: Kind) {
    let first = number("PRIMROSE_FIRST_SEED", 1);
    for seed in first..first + number("PRIMROSE_SEEDS", 6) {
        run(seed, kind);
    }
}

// A follower that does not hear the leader while the others do must neither unseat it nor disturb its lease.
#[test]
fn a_one_way_cut_does_not_unseat_the_leader() {
    let mut cluster = Cluster::new(1, 0);
    cluster.run(3000);
    let leader = cluster.leader().expect("a leader");
    let term = cluster.hosts[leader].node().expect("up").term();
    cluster.blocked[leader][(leader + 1) % 3] = true;
    cluster.run(5000);
    let node = cluster.hosts[leader].node().expect("up");
    assert_eq!((node.role(), node.term()), (Role::Leader, term));
    cluster.settle();
}

// A replica that rejoined after the loss of its disk must hold everything when the next one fails at once.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_disk_is_lost_right_after_each_repair(seed: u64) {
    let mut cluster = Cluster::new(seed, 4);
    cluster.run(3000);
    for round in 0..6 {
        cluster.lose_disk(round % 3);
        let limit = cluster.now + 20_000;
        while !cluster.is_repaired() {
            cluster.step();
            assert!(cluster.now < limit, "seed {seed}: no repair in 20 s");
        }
    }
    cluster.settle();
    cluster.clients.check(seed);
}

// A power failure of all hosts after hundreds of entries and several snapshots must not bring back an older state.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn all_hosts_restart_at_once(seed: u64) {
    let mut cluster = Cluster::new(seed, 4);
    for _ in 0..5 {
        let entries = cluster.truth.committed.len() + 300;
        while cluster.truth.committed.len() < entries {
            cluster.step();
            assert!(cluster.now < 200_000, "seed {seed}: too slow");
        }
        for at in 0..5 {
            cluster.crash(at);
        }
    }
    cluster.settle();
    cluster.clients.check(seed);
    let node = cluster.hosts[0].node().expect("up");
    assert!(node.snapshot_position().index > 1000);
}
