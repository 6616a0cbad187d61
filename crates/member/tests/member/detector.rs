//! Tests of the failure detector.

use std::net::{Ipv6Addr, SocketAddr};

use primrose_base::id;
use primrose_base::name::Name;
use primrose_member::detector::{Event, Listing};
use primrose_member::message::{Body, Update};
use primrose_member::view::{Location, State};
use proptest::prelude::*;
use test_case::test_case;

use crate::fault::{config, faults, run_through};
use crate::fleet::{Fleet, Mode, domain};

fn started(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(size, seed);
    fleet.run_until(90_000, Fleet::all_alive);
    fleet.run(10_000);
    fleet
}

fn listing(hosts: std::ops::Range<u32>, leaving: Option<u32>) -> Vec<Listing> {
    let entry = |(host, leaving)| Listing { host, leaving };
    let pairs = hosts.map(|host| (id::Host(host), Some(host) == leaving));
    pairs.map(entry).collect()
}

// A crash that stays unnoticed, or is noticed later than the module's formula says.
#[test]
fn crash_is_detected_within_the_stated_time() {
    for (size, seeds) in [(9, 0..20), (60, 0..5), (200, 0..2), (670, 0..1)] {
        let mut times = Vec::new();
        for seed in seeds {
            let mut fleet = Fleet::start(size, seed);
            fleet.acquaint();
            fleet.run(10_000);
            fleet.hosts[4].mode = Mode::Down;
            times.push(fleet.run_until(60_000, |fleet| fleet.agrees(&[4], State::Dead)));
            assert_eq!(fleet.false_deaths, [], "seed {seed}");
        }
        let mean = times.iter().sum::<u64>() / times.len() as u64;
        let max = times.iter().max().copied().unwrap_or(0);
        println!("{size} hosts: all know after {mean} ms on average, {max} ms at most");
        // F of up to 4 periods (exceeded in 2 of 100 crashes), 5 probes, log2(n) periods to spread.
        let bound = 4_000 + 5_000 + 1_000 * u64::from(usize::ilog2(size) + 1);
        assert!(max <= bound, "{max} ms");
    }
}

// Loss alone must not remove a live host; each false death interrupts ownership and slots.
#[test_case(9, 600_000, &[1, 2, 3, 4, 5])]
#[test_case(60, 120_000, &[6, 7])]
#[test_case(200, 60_000, &[8])]
fn no_live_host_is_declared_dead_under_loss(size: usize, ms: u64, seeds: &[u64]) {
    for &seed in seeds {
        let mut fleet = Fleet::start(size, seed);
        fleet.loss = 20;
        fleet.run(ms);
        assert_eq!(fleet.false_deaths, [], "seed {seed}");
        fleet.loss = 0;
        fleet.run_until(30_000, Fleet::all_alive);
    }
}

// Both sides hold each other for dead and would stay apart if nobody probed the dead, least of all without the seeds.
#[test_case(9, &[])]
#[test_case(60, &[])]
#[test_case(12, &[0, 1, 2])]
fn sides_of_a_partition_find_each_other_again(size: usize, down: &[usize]) {
    let mut fleet = started(size, 11);
    down.iter()
        .for_each(|&host| fleet.hosts[host].mode = Mode::Down);
    for host in 0..size {
        fleet.hosts[host].side = usize::from(host % 3 == 2);
    }
    fleet.run(120_000);
    assert_eq!(fleet.state(3, 5), Some(State::Dead));
    assert_eq!(fleet.state(5, 3), Some(State::Dead));
    assert_eq!(fleet.state(5, 8), Some(State::Alive));
    fleet.hosts.iter_mut().for_each(|host| host.side = 0);
    let ms = fleet.run_until(60_000, |fleet| fleet.agrees(down, State::Dead));
    println!("views complete {ms} ms after the partition");
    // What one side believed of the other's members must not make these hold each other for dead.
    assert_eq!(fleet.false_deaths, []);
}

// A cut-off host must not bring back a host that died, nor miss one that joined meanwhile.
#[test]
fn old_view_is_corrected_at_rejoin() {
    let mut fleet = Fleet::start(9, 12);
    fleet.hosts[8].mode = Mode::Down;
    fleet.run(20_000);
    fleet.hosts[0].side = 1;
    fleet.run(1_000);
    fleet.hosts[4].mode = Mode::Down;
    fleet.restart(8, 0);
    fleet.run(30_000);
    fleet.hosts[0].side = 0;
    fleet.run_until(30_000, |fleet| fleet.agrees(&[4], State::Dead));
}

// After a freeze all timers have run out; acting on them would declare the whole fleet dead.
#[test]
fn frozen_host_rejoins_with_a_higher_incarnation() {
    let mut fleet = started(9, 13);
    let before = fleet.hosts[5].detector.local().incarnation;
    fleet.hosts[5].mode = Mode::Frozen;
    fleet.run(30_000);
    assert_eq!(fleet.state(0, 5), Some(State::Dead));
    fleet.hosts[5].mode = Mode::Running;
    let seen = fleet.hosts[5].events.len();
    let ms = fleet.run_until(10_000, Fleet::all_alive);
    println!("alive everywhere {ms} ms after the freeze");
    fleet.run(20_000);
    let events = &fleet.hosts[5].events[seen..];
    assert!(matches!(events[0], Event::Frozen { incarnation, .. } if incarnation > before));
    let suspects = |event: &Event| matches!(event, Event::Changed { member, .. } if member.state == State::Suspect);
    assert!(!events.iter().any(suspects), "{events:?}");
    assert_eq!(fleet.false_deaths, []);
}

// A process whose wall clock was set back starts with an incarnation that the fleet takes for old.
#[test_case(0 ; "clock goes on")]
#[test_case(3_600_000 ; "clock set back by an hour")]
fn restarted_host_is_taken_back(set_back_ms: u64) {
    let mut fleet = started(9, 14);
    let before = fleet.hosts[5].detector.local().incarnation;
    fleet.hosts[5].mode = Mode::Down;
    fleet.run(500);
    fleet.restart(5, set_back_ms);
    fleet.run(3_000);
    fleet.run_until(10_000, Fleet::all_alive);
    assert!(fleet.hosts[5].detector.local().incarnation > before);
    assert_eq!(fleet.false_deaths, []);
}

// The second failure hits while the first is being confirmed, possibly through the host that fails.
#[test]
fn two_failures_are_detected() {
    for seed in 20..30 {
        let mut fleet = started(9, seed);
        fleet.hosts[1].mode = Mode::Down;
        fleet.run(3_000);
        fleet.hosts[7].mode = Mode::Down;
        fleet.run_until(30_000, |fleet| fleet.agrees(&[1, 7], State::Dead));
        assert_eq!(fleet.false_deaths, []);
    }
}

// A host that comes and goes must neither disturb the others nor be lost in the end.
#[test]
fn flapping_host_disturbs_nobody() {
    let mut fleet = started(9, 15);
    for _ in 0..12 {
        fleet.hosts[3].mode = Mode::Down;
        fleet.run(7_000);
        fleet.restart(3, 0);
        fleet.run(4_000);
    }
    fleet.run_until(10_000, Fleet::all_alive);
    assert!(
        fleet.false_deaths.iter().all(|death| death.1 == 3),
        "{:?}",
        fleet.false_deaths
    );
}

// A departure that is taken for a failure would be known seconds later, or be refuted by the leaving host.
#[test]
fn departure_is_known_at_once() {
    let mut fleet = started(9, 16);
    fleet.leave(6);
    let ms = fleet.run_until(3_000, |fleet| fleet.agrees(&[6], State::Left));
    let live = fleet.hosts[0].detector.live_in(&domain());
    assert_eq!(live, [0, 1, 2, 3, 4, 5, 7, 8].map(id::Host));
    println!("departure known after {ms} ms");
    fleet.run(5_000);
    fleet.hosts[6].mode = Mode::Down;
    fleet.run(20_000);
    assert!(fleet.agrees(&[6], State::Left));
    fleet.restart(6, 0);
    fleet.run_until(10_000, Fleet::all_alive);
}

// The platform's list lags: it must not revive the dead or take down a live host for good.
#[test]
fn platform_starts_a_suspicion_or_departure_but_ends_none() {
    let mut fleet = started(9, 17);
    let tell = |fleet: &mut Fleet, list: Vec<Listing>| {
        let now = fleet.clock(0);
        let output = fleet.hosts[0].detector.apply_host_list(now, &list);
        fleet.carry_out(0, output);
    };
    tell(&mut fleet, listing(0..9, None));
    tell(&mut fleet, listing(0..8, None));
    assert_eq!(fleet.state(0, 8), Some(State::Suspect));
    tell(&mut fleet, listing(0..9, None));
    assert_eq!(fleet.state(0, 8), Some(State::Suspect));
    fleet.run_until(5_000, Fleet::all_alive);
    tell(&mut fleet, listing(0..9, Some(7)));
    assert_eq!(fleet.state(0, 7), Some(State::Left));
    fleet.run_until(5_000, Fleet::all_alive);
    tell(&mut fleet, listing(0..9, Some(7)));
    assert_eq!(fleet.state(0, 7), Some(State::Alive));
    fleet.hosts[8].mode = Mode::Down;
    fleet.run(20_000);
    tell(&mut fleet, listing(0..9, None));
    assert_eq!(fleet.state(0, 8), Some(State::Dead));
    assert_eq!(fleet.false_deaths, []);
}

// A host that was retired must not come back through the old view of another host.
#[test]
fn retired_host_stays_forgotten() {
    let mut fleet = started(9, 18);
    fleet.hosts[2].mode = Mode::Down;
    fleet.hosts[0].detector.retire(id::Host(2));
    fleet.run(60_000);
    assert_eq!(fleet.state(0, 2), None);
}

// The control traffic of a host must not grow with the fleet (target: 2 KB/s for everything).
#[test]
fn cost_per_host_is_flat() {
    for size in [9, 60, 200, 670] {
        let mut fleet = Fleet::start(size, 19);
        fleet.acquaint();
        fleet.run(10_000);
        assert!(fleet.all_alive());
        fleet.report_cost("start", 10_000);
        fleet.run(20_000);
        assert!(fleet.report_cost("quiet", 20_000) < 300);
        let crashing: Vec<usize> = (5..size).step_by(11).collect();
        for &host in &crashing {
            fleet.hosts[host].mode = Mode::Down;
        }
        fleet.run(20_000);
        assert!(fleet.report_cost("one in 11 crashes", 20_000) < 2_000);
        let ms = fleet.run_until(60_000, |fleet| fleet.agrees(&crashing, State::Dead));
        println!("all know of all crashes after {} ms", ms + 20_000);
    }
}

// A datagram that is fragmented is lost more often, and some paths drop all fragments.
#[test]
fn datagrams_with_the_longest_records_fit() {
    let mut fleet = Fleet::start(3, 21);
    let address = SocketAddr::from((Ipv6Addr::from(u128::MAX), u16::MAX));
    let domain = Name::new(&"z".repeat(63)).expect("valid");
    let location = Some(Location { address, domain });
    let record = |host: u32| Update {
        host: id::Host(u32::MAX - host),
        incarnation: u64::MAX - 1,
        state: State::Alive,
        location: location.clone(),
    };
    for host in 0..100 {
        let records = vec![record(host)];
        fleet.deliver(0, 1, Body::Records { records });
    }
    // Every datagram is measured in `carry_out`.
    fleet.run(5_000);
    assert_eq!(fleet.hosts[2].detector.members().count(), 102);
}

proptest! {
    #![proptest_config(config(32, 1))]

    // Some order of faults leaves views that never agree again.
    #[test]
    fn views_agree_after_any_faults(seed: u64, faults in faults(6, 15_000)) {
        let mut fleet = Fleet::start(6, seed);
        fleet.run(5_000);
        run_through(&mut fleet, &faults);
        fleet.run_until(60_000, Fleet::all_alive);
        fleet.run(30_000);
        prop_assert!(fleet.all_alive());
    }
}
