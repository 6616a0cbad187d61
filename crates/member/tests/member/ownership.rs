//! Tests of ownership in one failure domain. [`Fleet`] checks at every millisecond that no host is counted twice.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_member::ownership::{Request, Share};
use proptest::prelude::*;
use test_case::test_case;

use crate::fault::{config, faults, run_through};
use crate::fleet::{Fleet, Mode, candidates, ownership};

fn share(supporters: u32, hosts: u32) -> Share {
    Share { supporters, hosts }
}

// The slots of a dead owner stay unused longer than the module page says.
#[test]
fn next_host_takes_over_from_a_dead_owner() {
    for seed in 0..20 {
        let mut domain = Fleet::start_domain(3, seed);
        domain.run(seed * 41);
        domain.hosts[0].mode = Mode::Down;
        let ms = domain.run_until(2_500, |domain| domain.sole_owner() == Some(1));
        println!("owner again after {ms} ms");
    }
}

// The second host fails too, and the others may still hold it for live. Their views differ for a while, so the owner
// need not be the one with the lowest name.
#[test]
fn two_dead_hosts_are_passed_over() {
    for seed in 1..20 {
        let mut domain = Fleet::start_domain(5, seed);
        domain.hosts[0].mode = Mode::Down;
        domain.hosts[1].mode = Mode::Down;
        let limit_ms = 2_500 + 1_000 + 500;
        let ms = domain.run_until(limit_ms, |domain| domain.sole_owner().is_some());
        println!("owner again after {ms} ms");
    }
}

// Both sides of a split together must not lend more than all slots and the minority's share, nor go on after it.
#[test]
fn minority_lends_its_share_until_the_split_ends() {
    let mut domain = Fleet::start_domain(3, 2);
    domain.hosts[0].side = 1;
    domain.run(10_000);
    let (minority, majority) = (share(1, 3), share(2, 3));
    assert_eq!(domain.shares(), [(0, minority), (1, majority)]);
    assert_eq!((minority.slots(7), majority.slots(7)), (2, 7));
    domain.hosts[0].side = 0;
    domain.run_until(2_000, |domain| domain.sole_owner() == Some(1));
    domain.run(20_000);
    assert_eq!(domain.sole_owner(), Some(1));
}

// Without a hand-over the domain has no owner until the leases end.
#[test]
fn leaving_owner_hands_over() {
    let mut domain = Fleet::start_domain(3, 3);
    domain.leave(0);
    assert_eq!(domain.shares(), []);
    domain.run_until(500, |domain| domain.sole_owner() == Some(1));
    domain.run(5_000);
    assert_eq!(domain.sole_owner(), Some(1));
}

// A frozen owner must not lend on waking up, and must not take the domain back.
#[test]
fn frozen_owner_has_nothing_to_lend() {
    let mut domain = Fleet::start_domain(3, 4);
    domain.hosts[0].mode = Mode::Frozen;
    domain.run(10_000);
    domain.hosts[0].mode = Mode::Running;
    assert_eq!(domain.share(0), None);
    for _ in 0..5_000 {
        domain.run(1);
        assert_eq!(domain.share(0), None);
    }
    assert_eq!(domain.sole_owner(), Some(1));
}

// A host with a low name that comes and goes must not take the domain with it.
#[test]
fn flapping_host_does_not_become_owner() {
    let mut domain = Fleet::start_domain(3, 5);
    domain.hosts[0].mode = Mode::Down;
    domain.run_until(5_000, |domain| domain.sole_owner() == Some(1));
    for _ in 0..10 {
        domain.restart(0, 0);
        domain.run(3_000);
        assert_eq!(domain.shares(), [(1, share(3, 3))]);
        domain.hosts[0].mode = Mode::Down;
        domain.run(1_500);
    }
}

// A process that does not know whom its predecessor supported must not support another owner at once.
#[test]
fn restarted_supporter_waits_for_one_lease() {
    let mut domain = Fleet::start_domain(3, 6);
    domain.hosts[0].side = 1;
    domain.hosts[2].side = 1;
    domain.run(2_500);
    domain.hosts[2].side = 0;
    domain.restart(2, 0);
    // `check_owners` fails if host 1 gets host 2's support while host 0 still counts it.
    domain.run(20_000);
    assert_eq!(domain.shares().len(), 2);
}

// Retired hosts that still count would keep the survivors at a part of the slots for ever.
#[test_case(3, 1, 1)]
#[test_case(5, 2, 3)]
fn retired_hosts_do_not_count(size: usize, survivors: usize, remaining: usize) {
    let mut domain = Fleet::start_domain(size, 7);
    for host in survivors..size {
        domain.hosts[host].mode = Mode::Down;
    }
    domain.run(5_000);
    let partial = share(survivors as u32, size as u32);
    assert_eq!(domain.shares(), [(0, partial)]);
    assert!(!partial.has_majority());
    for host in 0..survivors {
        domain.hosts[host]
            .ownership
            .set_candidates(candidates(0..remaining));
    }
    domain.run(1_000);
    assert!(domain.shares()[0].1.has_majority());
}

// A late answer or release of an earlier round must not count in a later one.
#[test]
fn late_messages_do_not_count() {
    let at = Time::from_ms;
    let mut owner = ownership(0, 3, Time::ZERO);
    let mut other = ownership(1, 3, Time::ZERO);
    let first = owner.request(at(2_100)).expect("asks");
    let late = other.on_request(at(2_110), &first).answer;
    owner.on_answer(at(4_090), id::Host(1), &late);
    assert_eq!(owner.share(at(4_090)), None);
    let release = owner.leave(at(4_090)).expect("was owner");
    let mut third = ownership(2, 3, Time::ZERO);
    let newer = Request {
        round: release.round + 1,
        ..first
    };
    assert!(third.on_request(at(4_100), &newer).answer.granted);
    // A request that arrives out of order renews the support but does not lower its round.
    assert!(third.on_request(at(4_100), &first).answer.granted);
    third.on_release(at(4_101), &release);
    assert_eq!(third.owner(at(4_102)), Some(id::Host(0)));
}

proptest! {
    #![proptest_config(config(150, 2))]

    // Some order of faults gives two hosts a majority at once, or leaves the domain without an owner.
    #[test]
    fn one_majority_under_any_faults(size in 2..6usize, seed: u64, faults in faults(5, 4_000)) {
        let mut domain = Fleet::start_domain(size, seed);
        run_through(&mut domain, &faults);
        domain.run_until(30_000, |domain| domain.sole_owner().is_some());
        domain.run(5_000);
        prop_assert!(domain.sole_owner().is_some());
    }
}
