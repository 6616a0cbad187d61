//! Clusters of replicas in virtual time, with injected faults.
//!
//! `PRIMROSE_SEEDS=N` runs the random tests with N seeds instead of the fixed few, from `PRIMROSE_FIRST_SEED`
//! (default 1).

#[path = "support/client.rs"]
mod client;
#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/drive.rs"]
mod drive;

use cluster::{Cluster, Lease};
use drive::FULL;
use primrose_consensus::node::{Node, Role};
use rand::RngExt;
use test_case::test_case;

fn number_from_env(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

/// The kinds of faults that are injected in a run.
#[derive(Clone, Copy, Debug)]
enum Faults {
    /// Loss, duplication, delay and reordering of messages, and partitions.
    Network,
    /// Freezes, and crashes that may lose unsynced data, also in the middle of a write.
    Process,
    /// All of the above, and lost disks, membership changes and leadership transfers.
    Everything,
    /// All of the above, and full disks.
    Space,
}

fn inject_fault(cluster: &mut Cluster, faults: Faults) {
    let choice = match faults {
        Faults::Network => cluster.rng.random_range(0..4),
        Faults::Process => cluster.rng.random_range(3..9),
        Faults::Everything => cluster.rng.random_range(0..12),
        Faults::Space => cluster.rng.random_range(0..16),
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
        10 => cluster.target_voters = cluster.rng.random_range(3..=5),
        11 => cluster.transfer_leadership(leader),
        12 => fill(cluster, at),
        13 => fill(cluster, leader),
        14 | 15 => cluster.hosts[at].drive.make_room(),
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

fn fill(cluster: &mut Cluster, at: usize) {
    let full = FULL[cluster.rng.random_range(0..FULL.len())];
    cluster.hosts[at].drive.fill(full);
}

fn freeze(cluster: &mut Cluster, at: usize) {
    let ms = cluster.rng.random_range(100..3000);
    cluster.hosts[at].frozen_until = cluster.now + ms;
}

fn run(seed: u64, faults: Faults, lease: Lease) {
    println!("seed {seed}, {faults:?}, lease {lease:?}");
    let mut cluster = Cluster::new(seed, 4, lease);
    cluster.run(3000);
    let answered = cluster.clients.answered();
    assert!(
        answered > 50,
        "seed {seed}: only {answered} operations were answered before the first fault"
    );
    while cluster.now < 30_000 {
        inject_fault(&mut cluster, faults);
        // Without writes, an isolated follower has the same log as the others and could win an election.
        let pause = cluster.rng.random_bool(0.3);
        cluster.clients.set_paused(pause);
        let ms = cluster.rng.random_range(100..1200);
        cluster.run(ms);
    }
    cluster.settle();
    cluster.clients.check(seed);
    println!(
        "seed {seed}: {} entries, {} answers, {} crashes, {} lost disks",
        cluster.oracle.committed.len(),
        cluster.clients.answered(),
        cluster.crashes,
        cluster.lost_disks
    );
}

// Checks that no committed entry is lost or differs between replicas, that no term has two leaders, that no new
// leader is elected during the lease of another, that reads are not stale, and that the fleet recovers when the
// faults end. Without a lease, restarted voters elect a leader at once, which must not weaken the other checks.
#[test_case(Faults::Network, Lease::Kept)]
#[test_case(Faults::Process, Lease::Kept)]
#[test_case(Faults::Everything, Lease::Kept)]
#[test_case(Faults::Network, Lease::None)]
#[test_case(Faults::Process, Lease::None)]
#[test_case(Faults::Everything, Lease::None)]
#[test_case(Faults::Space, Lease::Kept)]
#[test_case(Faults::Space, Lease::None)]
fn random_faults(faults: Faults, lease: Lease) {
    let first = number_from_env("PRIMROSE_FIRST_SEED", 1);
    for seed in first..first + number_from_env("PRIMROSE_SEEDS", 6) {
        run(seed, faults, lease);
    }
}

// If only one follower cannot receive the messages of the leader, it must neither replace the leader nor end its
// lease.
#[test]
fn a_one_way_partition_does_not_replace_the_leader() {
    let mut cluster = Cluster::new(1, 0, Lease::Kept);
    cluster.run(3000);
    let leader = cluster.leader().expect("a leader is elected");
    let term = cluster.hosts[leader]
        .node()
        .expect("the host is running")
        .term();
    cluster.blocked[leader][(leader + 1) % 3] = true;
    cluster.run(5000);
    let node = cluster.hosts[leader].node().expect("the host is running");
    assert_eq!((node.role(), node.term()), (Role::Leader, term));
    cluster.settle();
}

// A replica that was added after the loss of its disk must hold all committed entries, even if the next disk is lost
// immediately afterwards.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_disk_is_lost_right_after_each_repair(seed: u64) {
    let mut cluster = Cluster::new(seed, 4, Lease::Kept);
    cluster.run(3000);
    for round in 0..6 {
        cluster.lose_disk(round % 3);
        let limit = cluster.now + 20_000;
        while !cluster.is_repaired() {
            cluster.step();
            assert!(
                cluster.now < limit,
                "seed {seed}: the membership is not repaired within 20 s"
            );
        }
    }
    cluster.settle();
    cluster.clients.check(seed);
}

// After hundreds of entries and several snapshots, a power failure of all hosts must not lead back to an older state.
#[test_case(1, Lease::Kept)]
#[test_case(2, Lease::Kept)]
#[test_case(3, Lease::Kept)]
#[test_case(1, Lease::None)]
#[test_case(2, Lease::None)]
#[test_case(3, Lease::None)]
fn all_hosts_restart_at_once(seed: u64, lease: Lease) {
    let mut cluster = Cluster::new(seed, 4, lease);
    for _ in 0..5 {
        let entries = cluster.oracle.committed.len() + 300;
        while cluster.oracle.committed.len() < entries {
            cluster.step();
            assert!(
                cluster.now < 200_000,
                "seed {seed}: too few entries committed within 200 s"
            );
        }
        for at in 0..5 {
            cluster.crash(at);
        }
    }
    cluster.settle();
    cluster.clients.check(seed);
    let node = cluster.hosts[0].node().expect("the host is running");
    let snapshot = node.snapshot_position().index;
    assert!(
        snapshot > 1000,
        "seed {seed}: the latest snapshot is at index {snapshot}, expected above 1000"
    );
}

/// The longest time in ms in which a change must be acknowledged, from the users' bound `ack_ms`.
const ACK_MS: u64 = 4000;

/// Which voter's disk is filled first.
#[derive(Clone, Copy, Debug)]
enum First {
    Leader,
    Follower,
    Random,
}

/// The voters in the order in which their disks are filled.
fn order(cluster: &mut Cluster, first: First) -> Vec<usize> {
    let leader = cluster.leader().expect("a leader is elected");
    let mut order: Vec<usize> = (0..3).collect();
    let shift = cluster.rng.random_range(0..3);
    match first {
        First::Leader => order.rotate_left(leader),
        First::Follower => order.rotate_left((leader + 1) % 3),
        First::Random => order.rotate_left(shift),
    }
    order
}

/// Runs for `ms` and checks that there is never a pause of [`ACK_MS`] between acknowledged writes, counted from
/// `since` at the earliest.
fn run_acknowledged(cluster: &mut Cluster, ms: u64, since: u64, longest: &mut u64) {
    for _ in 0..ms {
        cluster.step();
        let pause = cluster.now - cluster.clients.last_write().max(since);
        *longest = pause.max(*longest);
        assert!(
            pause <= ACK_MS,
            "seed {}: at {} ms no write has been acknowledged for {pause} ms",
            cluster.seed,
            cluster.now
        );
    }
}

// Full disks, one after another and never two at once, must neither end a replica nor stop the acknowledgement of
// writes, and each replica must go on by itself once its disk has room again.
#[test_case(First::Leader, Lease::Kept)]
#[test_case(First::Follower, Lease::Kept)]
#[test_case(First::Random, Lease::Kept)]
#[test_case(First::Leader, Lease::None)]
#[test_case(First::Follower, Lease::None)]
#[test_case(First::Random, Lease::None)]
fn disks_are_full_in_turn(first: First, lease: Lease) {
    let first_seed = number_from_env("PRIMROSE_FIRST_SEED", 1);
    for seed in first_seed..first_seed + number_from_env("PRIMROSE_SEEDS", 6) {
        let mut cluster = Cluster::new(seed, 4, lease);
        cluster.run(3000);
        let mut longest = 0;
        for round in 0..2 {
            for at in order(&mut cluster, first) {
                let since = cluster.now;
                // Without writes, a leader notices the full disk only at the next one.
                if round == 1 {
                    cluster.clients.set_paused(true);
                    cluster.run(2500);
                }
                fill(&mut cluster, at);
                if round == 1 {
                    cluster.run(2500);
                    cluster.clients.set_paused(false);
                }
                let since = since.max(cluster.now);
                let ms = cluster.rng.random_range(500..8000);
                run_acknowledged(&mut cluster, ms, since, &mut longest);
                let committed = cluster.oracle.committed.len() as u64;
                cluster.hosts[at].drive.make_room();
                run_acknowledged(&mut cluster, ACK_MS, since, &mut longest);
                let applied = cluster.hosts[at].node().map_or(0, Node::applied);
                assert!(
                    applied >= committed,
                    "seed {seed}: host {at} has applied {applied} of {committed} entries after {ACK_MS} ms with room"
                );
                let ms = cluster.rng.random_range(0..500);
                run_acknowledged(&mut cluster, ms, since, &mut longest);
            }
        }
        cluster.settle();
        cluster.clients.check(seed);
        assert_eq!(cluster.crashes, 0, "seed {seed}: a replica has ended");
        println!("seed {seed}: longest pause between acknowledged writes: {longest} ms");
    }
}
