//! Tests of ownership in one failure domain. In every millisecond of a run [`Fleet`] checks that at most one owner
//! has a majority, and that all owners together count no more supporters than there are hosts.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_member::ownership::{Request, Share};
use proptest::prelude::*;
use test_case::test_case;

use crate::fault::{self, config, faults};
use crate::fleet::{Fleet, Mode, candidates, ownership};

fn share(supporters: u32, hosts: u32) -> Share {
    Share { supporters, hosts }
}

// Guards against a takeover that lasts longer than the documentation of the module says, as slots are unused until
// then.
#[test]
fn next_host_takes_over_from_a_dead_owner() {
    for seed in 0..20 {
        let mut domain = Fleet::start_domain(3, seed);
        domain.run(seed * 41);
        domain.hosts[0].mode = Mode::Down;
        let ms = domain.run_until(2_500, |domain| domain.sole_owner() == Some(1));
        println!("new owner after {ms} ms");
    }
}

// Guards against waiting for a preferred host that has crashed too but is still alive in the views of the others.
// Their views differ for a while, so the new owner need not be the host with the lowest name.
#[test]
fn two_dead_hosts_are_skipped() {
    for seed in 1..20 {
        let mut domain = Fleet::start_domain(5, seed);
        domain.hosts[0].mode = Mode::Down;
        domain.hosts[1].mode = Mode::Down;
        let limit_ms = 2_500 + 1_000 + 500;
        let ms = domain.run_until(limit_ms, |domain| domain.sole_owner().is_some());
        println!("new owner after {ms} ms");
    }
}

// Guards against two sides of a partition that together allocate more than all slots plus the share of the minority,
// and against a minority that continues to allocate after the partition.
#[test]
fn minority_owner_keeps_its_share_until_the_partition_ends() {
    let mut domain = Fleet::start_domain(3, 2);
    domain.hosts[0].partition = 1;
    domain.run(10_000);
    let (minority, majority) = (share(1, 3), share(2, 3));
    assert_eq!(domain.shares(), [(0, minority), (1, majority)]);
    assert_eq!((minority.slots(7), majority.slots(7)), (2, 7));
    domain.hosts[0].partition = 0;
    domain.run_until(2_000, |domain| domain.sole_owner() == Some(1));
    domain.run(20_000);
    assert_eq!(domain.sole_owner(), Some(1));
}

// Guards against a departure without a release, after which the domain has no owner until the leases end.
#[test]
fn leaving_owner_releases_its_supporters() {
    let mut domain = Fleet::start_domain(3, 3);
    domain.leave(0);
    assert_eq!(domain.shares(), []);
    domain.run_until(500, |domain| domain.sole_owner() == Some(1));
    domain.run(5_000);
    assert_eq!(domain.sole_owner(), Some(1));
}

// Guards against an owner that allocates slots after it was suspended and has lost its leases, or that becomes owner
// again in place of its successor.
#[test]
fn suspended_owner_has_no_share_when_resumed() {
    let mut domain = Fleet::start_domain(3, 4);
    domain.hosts[0].mode = Mode::Suspended;
    domain.run(10_000);
    domain.hosts[0].mode = Mode::Running;
    assert_eq!(domain.share(0), None);
    for _ in 0..5_000 {
        domain.run(1);
        assert_eq!(domain.share(0), None);
    }
    assert_eq!(domain.sole_owner(), Some(1));
}

// Guards against a repeatedly restarting host that takes over the domain because its name is the lowest.
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

// Guards against a restarted host that supports another owner while the lease of its previous process is still
// counted.
#[test]
fn restarted_supporter_waits_for_one_lease() {
    let mut domain = Fleet::start_domain(3, 6);
    domain.hosts[0].partition = 1;
    domain.hosts[2].partition = 1;
    domain.run(2_500);
    domain.hosts[2].partition = 0;
    domain.restart(2, 0);
    // `check_owners` fails if host 1 counts host 2 as a supporter while host 0 still counts it.
    domain.run(20_000);
    assert_eq!(domain.shares().len(), 2);
}

// Guards against retired hosts that still count towards the majority: the remaining hosts could never use all slots.
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

// Guards against a delayed answer or release of an earlier round that takes effect in a later one.
#[test]
fn messages_of_earlier_rounds_have_no_effect() {
    let at = Time::from_ms;
    let mut owner = ownership(0, 3, Time::ZERO);
    let mut other = ownership(1, 3, Time::ZERO);
    let first = owner
        .request(at(2_100))
        .expect("the host should request support");
    let late = other.on_request(at(2_110), &first).answer;
    owner.on_answer(at(4_090), id::Host(1), &late);
    assert_eq!(owner.share(at(4_090)), None);
    let release = owner
        .leave(at(4_090))
        .expect("the owner should send a release");
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

    // Guards against an order of faults that gives two hosts a majority at once or leaves the domain without an
    // owner.
    #[test]
    fn one_majority_under_any_faults(size in 2..6usize, seed: u64, faults in faults(5, 4_000)) {
        let mut domain = Fleet::start_domain(size, seed);
        fault::apply(&mut domain, &faults);
        domain.run_until(30_000, |domain| domain.sole_owner().is_some());
        domain.run(5_000);
        prop_assert!(domain.sole_owner().is_some());
    }
}
