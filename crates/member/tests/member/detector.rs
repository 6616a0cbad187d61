//! Tests of the failure detector.

use std::net::{Ipv6Addr, SocketAddr};

use primrose_base::id;
use primrose_base::name::Name;
use primrose_member::detector::{Event, Listing};
use primrose_member::message::{Body, Update};
use primrose_member::view::{Location, State};
use proptest::prelude::*;
use test_case::test_case;

use crate::fault::{self, config, faults};
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

// Guards against a crash that is detected later than the formula in the documentation of the module says.
#[test]
fn crash_is_detected_within_the_documented_time() {
    for (size, seeds) in [(9, 0..20), (60, 0..5), (200, 0..2), (670, 0..1)] {
        let mut times = Vec::new();
        for seed in seeds {
            let mut fleet = Fleet::start(size, seed);
            fleet.share_views();
            fleet.run(10_000);
            fleet.hosts[4].mode = Mode::Down;
            times.push(fleet.run_until(60_000, |fleet| fleet.agrees(&[4], State::Dead)));
            assert_eq!(
                fleet.false_deaths,
                [],
                "live hosts declared dead, seed {seed}"
            );
        }
        let mean = times.iter().sum::<u64>() / times.len() as u64;
        let max = times.iter().max().copied().unwrap_or(0);
        println!("{size} hosts: crash known to all after {mean} ms on average, {max} ms at most");
        // Up to 4 periods until the first probe (exceeded in 2 of 100 crashes), 5 probes, log2(n) periods to spread.
        let bound = 4_000 + 5_000 + 1_000 * u64::from(usize::ilog2(size) + 1);
        assert!(max <= bound, "detected after {max} ms, bound {bound} ms");
    }
}

// Guards against packet loss that makes a live host count as dead, which interrupts ownership and the use of slots.
#[test_case(9, 600_000, &[1, 2, 3, 4, 5])]
#[test_case(60, 120_000, &[6, 7])]
#[test_case(200, 60_000, &[8])]
fn no_live_host_is_declared_dead_under_loss(size: usize, ms: u64, seeds: &[u64]) {
    for &seed in seeds {
        let mut fleet = Fleet::start(size, seed);
        fleet.loss = 20;
        fleet.run(ms);
        assert_eq!(
            fleet.false_deaths,
            [],
            "live hosts declared dead, seed {seed}"
        );
        fleet.loss = 0;
        fleet.run_until(30_000, Fleet::all_alive);
    }
}

// Guards against a partition that does not end: hosts of each side are dead in the view of the other side, so neither
// probes the other unless dead members are probed too. Without a running seed there is no other way back.
#[test_case(9, &[])]
#[test_case(60, &[])]
#[test_case(12, &[0, 1, 2])]
fn views_merge_after_a_partition(size: usize, down: &[usize]) {
    let mut fleet = started(size, 11);
    down.iter()
        .for_each(|&host| fleet.hosts[host].mode = Mode::Down);
    for host in 0..size {
        fleet.hosts[host].partition = usize::from(host % 3 == 2);
    }
    fleet.run(120_000);
    assert_eq!(fleet.state(3, 5), Some(State::Dead));
    assert_eq!(fleet.state(5, 3), Some(State::Dead));
    assert_eq!(fleet.state(5, 8), Some(State::Alive));
    fleet.hosts.iter_mut().for_each(|host| host.partition = 0);
    let ms = fleet.run_until(60_000, |fleet| fleet.agrees(down, State::Dead));
    println!("views complete {ms} ms after the end of the partition");
    // The claims of one side about the members of the other must not make these declare each other dead.
    assert_eq!(fleet.false_deaths, [], "live hosts declared dead");
}

// Guards against an isolated host that, on its return, revives a host that has crashed in the meantime or does not
// learn of one that has joined.
#[test]
fn outdated_view_is_corrected_on_rejoin() {
    let mut fleet = Fleet::start(9, 12);
    fleet.hosts[8].mode = Mode::Down;
    fleet.run(20_000);
    fleet.hosts[0].partition = 1;
    fleet.run(1_000);
    fleet.hosts[4].mode = Mode::Down;
    fleet.restart(8, 0);
    fleet.run(30_000);
    fleet.hosts[0].partition = 0;
    fleet.run_until(30_000, |fleet| fleet.agrees(&[4], State::Dead));
}

// Guards against timers that have expired while a process was suspended: acting on them would declare the whole fleet
// dead.
#[test]
fn suspended_host_rejoins_with_a_higher_incarnation() {
    let mut fleet = started(9, 13);
    let before = fleet.hosts[5].detector.local().incarnation;
    fleet.hosts[5].mode = Mode::Suspended;
    fleet.run(30_000);
    assert_eq!(fleet.state(0, 5), Some(State::Dead));
    fleet.hosts[5].mode = Mode::Running;
    let seen = fleet.hosts[5].events.len();
    let ms = fleet.run_until(10_000, Fleet::all_alive);
    println!("alive in all views {ms} ms after it was resumed");
    fleet.run(20_000);
    let events = &fleet.hosts[5].events[seen..];
    assert!(matches!(events[0], Event::Frozen { incarnation, .. } if incarnation > before));
    let suspects = |event: &Event| matches!(event, Event::Changed { member, .. } if member.state == State::Suspect);
    assert!(!events.iter().any(suspects), "{events:?}");
    assert_eq!(fleet.false_deaths, [], "live hosts declared dead");
}

// Guards against a restarted host that the others ignore because its wall clock was set back, so that its incarnation
// is lower than the one they know.
#[test_case(0 ; "clock unchanged")]
#[test_case(3_600_000 ; "clock set back by an hour")]
fn restarted_host_is_accepted(set_back_ms: u64) {
    let mut fleet = started(9, 14);
    let before = fleet.hosts[5].detector.local().incarnation;
    fleet.hosts[5].mode = Mode::Down;
    fleet.run(500);
    fleet.restart(5, set_back_ms);
    fleet.run(3_000);
    fleet.run_until(10_000, Fleet::all_alive);
    assert!(fleet.hosts[5].detector.local().incarnation > before);
    assert_eq!(fleet.false_deaths, [], "live hosts declared dead");
}

// Guards against a second failure that happens while the first is being confirmed, possibly by the host that fails.
#[test]
fn two_failures_are_detected() {
    for seed in 20..30 {
        let mut fleet = started(9, seed);
        fleet.hosts[1].mode = Mode::Down;
        fleet.run(3_000);
        fleet.hosts[7].mode = Mode::Down;
        fleet.run_until(30_000, |fleet| fleet.agrees(&[1, 7], State::Dead));
        assert_eq!(fleet.false_deaths, [], "live hosts declared dead");
    }
}

// Guards against a repeatedly restarting host that makes others count as dead, or that is not accepted in the end.
#[test]
fn flapping_host_does_not_affect_others() {
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
        "live hosts declared dead: {:?}",
        fleet.false_deaths
    );
}

// Guards against a departure that is treated as a failure: it would be known seconds later, or the leaving host would
// refute it.
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

// Guards against the delay of the host list of the platform: an outdated list must neither revive a dead host nor
// remove a live one permanently.
#[test]
fn host_list_starts_suspicions_and_departures_but_ends_none() {
    let mut fleet = started(9, 17);
    let apply = |fleet: &mut Fleet, list: Vec<Listing>| {
        let now = fleet.clock(0);
        let output = fleet.hosts[0].detector.apply_host_list(now, &list);
        fleet.process(0, output);
    };
    apply(&mut fleet, listing(0..9, None));
    apply(&mut fleet, listing(0..8, None));
    assert_eq!(fleet.state(0, 8), Some(State::Suspect));
    apply(&mut fleet, listing(0..9, None));
    assert_eq!(fleet.state(0, 8), Some(State::Suspect));
    fleet.run_until(5_000, Fleet::all_alive);
    apply(&mut fleet, listing(0..9, Some(7)));
    assert_eq!(fleet.state(0, 7), Some(State::Left));
    fleet.run_until(5_000, Fleet::all_alive);
    apply(&mut fleet, listing(0..9, Some(7)));
    assert_eq!(fleet.state(0, 7), Some(State::Alive));
    fleet.hosts[8].mode = Mode::Down;
    fleet.run(20_000);
    apply(&mut fleet, listing(0..9, None));
    assert_eq!(fleet.state(0, 8), Some(State::Dead));
    assert_eq!(fleet.false_deaths, [], "live hosts declared dead");
}

// Guards against a retired host that returns through the outdated view of another host.
#[test]
fn retired_host_does_not_return() {
    let mut fleet = started(9, 18);
    fleet.hosts[2].mode = Mode::Down;
    fleet.hosts[0].detector.retire(id::Host(2));
    fleet.run(60_000);
    assert_eq!(fleet.state(0, 2), None);
}

// Guards against traffic per host that grows with the size of the fleet. The target is 2 KB/s for all control
// traffic.
#[test]
fn cost_per_host_is_flat() {
    for size in [9, 60, 200, 670] {
        let mut fleet = Fleet::start(size, 19);
        fleet.share_views();
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
        println!("all crashes known to all after {} ms", ms + 20_000);
    }
}

// Guards against datagrams that are fragmented: they are lost more often, and some network paths drop all fragments.
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
    // `process` checks the size of every datagram.
    fleet.run(5_000);
    assert_eq!(fleet.hosts[2].detector.members().count(), 102);
}

proptest! {
    #![proptest_config(config(32, 1))]

    // Guards against an order of faults after which the views never agree again.
    #[test]
    fn views_agree_after_any_faults(seed: u64, faults in faults(6, 15_000)) {
        let mut fleet = Fleet::start(6, seed);
        fleet.run(5_000);
        fault::apply(&mut fleet, &faults);
        fleet.run_until(60_000, Fleet::all_alive);
        fleet.run(30_000);
        prop_assert!(fleet.all_alive());
    }
}
