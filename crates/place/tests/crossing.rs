//! Requests that leave the failure domain of their entry host.

mod support;

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_place::crossing::{INTERVAL_MS, Register, Share, View};
use primrose_place::demand::{Demand, Key};
use primrose_place::placer::{Decision, Outcome, Placer};
use primrose_place::{Server, Settings};
use support::{POOL, document, engine, fast_document};
use test_case::test_case;

const DOMAINS: [&str; 3] = ["east", "north", "west"];

/// Four engines in each of three domains.
fn servers() -> Vec<Server> {
    let server = |number: u32| Server {
        domain: DOMAINS[number as usize % 3].into(),
        ..engine(number)
    };
    (1..=12).map(server).collect()
}

fn placer() -> Placer {
    let mut placer = Placer::new(Settings::default());
    placer.set_servers(&servers());
    placer.set_document(&fast_document());
    placer
}

/// A request from a host in the domain `east`, whose prompt begins with one of 40 short shared parts. A hash of the part
/// decides between otherwise equal servers.
fn from_east(entry: u64, sequence: u64, tokens: u32) -> Demand {
    Demand {
        key: Key { entry, sequence },
        domain: "east".into(),
        ..support::demand(
            entry * 1_000_000 + sequence,
            1 + (entry * 7 + sequence) % 40,
            50,
            tokens,
        )
    }
}

fn share(per_mille: u16) -> Share {
    Share {
        pool: POOL.into(),
        home: "east".into(),
        per_mille,
    }
}

/// Places a request and returns the placed server.
fn place(placer: &mut Placer, now_ms: u64, demand: &Demand) -> Server {
    match placer.place(Time::from_ms(now_ms), demand) {
        Decision::Place { server, .. } => server,
        Decision::Refuse { reason, .. } => panic!("refused: {reason:?}"),
        Decision::Wait { .. } => panic!("waits although waiting is off"),
    }
}

fn home_servers() -> impl Iterator<Item = Server> {
    servers()
        .into_iter()
        .filter(|server| &*server.domain == "east")
}

// Requests must stay while their own domain can serve them in time, and leave once it cannot.
#[test]
fn requests_leave_a_busy_domain_only() {
    let mut placer = placer();
    let idle: Vec<Server> = (0..4)
        .map(|at| place(&mut placer, 1_000, &from_east(1, at, 500)))
        .collect();
    assert!(
        idle.iter().all(|server| &*server.domain == "east"),
        "{idle:?}"
    );
    let left = (10..60)
        .filter(|&at| &*place(&mut placer, 1_000 + at, &from_east(1, at, 5_000)).domain != "east");
    assert!(left.count() > 15);
}

/// What keeps the hosts of a domain from its servers.
#[derive(Clone, Copy)]
enum Failure {
    Draining,
    Unreachable,
    Gone,
}

// If no server at home is usable, requests must leave whatever the share is, also those of hosts that decide alone.
#[test_case(Failure::Draining; "drained")]
#[test_case(Failure::Unreachable; "unreachable")]
#[test_case(Failure::Gone; "gone")]
fn requests_leave_a_domain_without_usable_servers(failure: Failure) {
    let mut placer = placer();
    placer.set_crossing_shares(&[share(0)]);
    let mut list = servers();
    match failure {
        Failure::Draining => list
            .iter_mut()
            .for_each(|s| s.draining = &*s.domain == "east"),
        Failure::Gone => list.retain(|s| &*s.domain != "east"),
        Failure::Unreachable => {
            for (sequence, server) in home_servers().enumerate() {
                let request = from_east(2, sequence as u64, 500);
                placer.record_assignment(Time::from_ms(1_000), &request, &server.id);
                placer.record_end(Time::from_ms(1_001), request.key, Outcome::Unreachable);
            }
        }
    }
    placer.set_servers(&list);
    let server = place(&mut placer, 1_010, &from_east(1, 1, 500));
    assert_ne!(&*server.domain, "east");
}

// If the servers of the other domains cannot be reached, a busy domain must keep its requests.
#[test]
fn cut_link_keeps_requests_at_home() {
    let mut placer = placer();
    for (sequence, server) in servers()
        .iter()
        .enumerate()
        .filter(|(_, s)| &*s.domain != "east")
    {
        let request = from_east(2, sequence as u64, 500);
        placer.record_assignment(Time::from_ms(1_000), &request, &server.id);
        placer.record_end(Time::from_ms(1_001), request.key, Outcome::Unreachable);
    }
    for at in 0..12 {
        let server = place(&mut placer, 1_010 + at, &from_east(1, at, 3_000));
        assert_eq!(&*server.domain, "east");
    }
    let shares = placer.crossing_shares(Time::from_ms(1_050));
    assert_eq!(shares.iter().find(|s| &*s.home == "east"), Some(&share(0)));
}

// A placer that is not asked for servers does not know the backlogs. If it told its shares, they would replace those of
// the placer in charge.
#[test]
fn idle_placer_tells_no_shares() {
    let mut placer = placer();
    place(&mut placer, 1_000, &from_east(1, 1, 500));
    assert_eq!(placer.crossing_shares(Time::from_ms(1_900)).len(), 3);
    assert!(placer.crossing_shares(Time::from_ms(2_000)).is_empty());
}

// 60 hosts that decide alone do not know of each other. If each sent its requests to the servers that look free to it,
// all would send them away at once, and to the same servers.
#[test]
fn hosts_that_decide_alone_form_no_herd() {
    let mut counts = vec![0; servers().len()];
    for entry in 1..=60 {
        let mut placer = placer();
        placer.set_crossing_shares(&[share(200)]);
        for sequence in 0..50 {
            let server = place(
                &mut placer,
                1_000 + sequence * 20,
                &from_east(entry, sequence, 2_000),
            );
            let at = servers().iter().position(|known| known.id == server.id);
            counts[at.expect("a known server")] += 1;
        }
    }
    let is_home: Vec<bool> = servers().iter().map(|s| &*s.domain == "east").collect();
    let left: Vec<u32> = counts
        .iter()
        .zip(&is_home)
        .filter(|(_, home)| !**home)
        .map(|(n, _)| *n)
        .collect();
    let sum: u32 = left.iter().sum();
    assert!(sum <= 3_000 / 5 + 60, "{sum} of 3,000 left: {counts:?}");
    println!("{sum} of 3,000 left: {counts:?}");
    let most = left.iter().max().copied().unwrap_or(0);
    assert!(most <= 3 * sum / left.len() as u32, "{counts:?}");
}

/// Backlogs of two domains under a wave of demand with a period of 11 s in the first one, of which the share leaves.
/// Returns the price of the first domain and its share in each interval of 66 s.
fn wave(size: f64) -> Vec<(f64, f64)> {
    let pool: Arc<str> = POOL.into();
    let mut register = Register::default();
    let settings = Settings::default();
    let mut backlogs = [0.0_f64; 2];
    let interval_s = INTERVAL_MS as f64 / 1_000.0;
    (0..660_u64)
        .map(|at| {
            let now = Time::from_ms(1_000 + at * INTERVAL_MS);
            let phase = at as f64 * interval_s / 11.0 * std::f64::consts::TAU;
            let shares = register.shares();
            let per_mille = shares.first().map_or(0, |share| share.per_mille);
            let demand = 0.8 + size * phase.sin();
            let leaving = demand * f64::from(per_mille) / 1_000.0;
            let loads = [demand - leaving, 0.5 + leaving];
            for (backlog, load) in backlogs.iter_mut().zip(loads) {
                // A load of 1 is what the servers can just serve; requests are refused from 0.6 on.
                *backlog = (*backlog + (load - 1.0) * interval_s).clamp(0.0, 0.6);
            }
            let view = |home: usize| View {
                home: DOMAINS[home].into(),
                servers: 4,
                backlog: backlogs[home],
                others: vec![backlogs[1 - home]; 4],
            };
            register.update(now, &pool, &[view(0), view(1)]);
            assert!(backlogs[1] < 0.45, "the other domain became too slow");
            (
                register.price_ms(POOL, DOMAINS[0], 600, &settings),
                f64::from(per_mille),
            )
        })
        .collect()
}

fn turns(values: impl Iterator<Item = f64>) -> usize {
    let values: Vec<f64> = values.collect();
    let steps: Vec<f64> = values
        .windows(2)
        .map(|w| w[1] - w[0])
        .filter(|d| d.abs() > 0.0)
        .collect();
    steps
        .windows(2)
        .filter(|w| (w[0] > 0.0) != (w[1] > 0.0))
        .count()
}

// Bursts return after 11 s. Price and share may follow them, but must not swing within a burst, because each swing moves
// the requests of all hosts at once.
#[test_case(0.3; "small_wave")]
#[test_case(0.6; "large_wave")]
fn nothing_oscillates_under_a_wave(size: f64) {
    let values = wave(size);
    let highest = values.iter().map(|v| v.0).fold(0.0, f64::max);
    let lowest = values.iter().map(|v| v.0).fold(f64::MAX, f64::min);
    let (prices, shares) = (
        turns(values.iter().map(|v| v.0)),
        turns(values.iter().map(|v| v.1)),
    );
    println!("size {size}: price {lowest} to {highest}, turns {prices} and {shares}");
    assert!(lowest < highest, "the wave has no effect");
    // Six periods: at most one rise and one fall in each.
    assert!(prices <= 12 && shares <= 13, "{prices} {shares}");
}

// Requests that leave all domains together must not exceed what the others can take.
#[test]
fn shares_are_bounded_by_the_free_capacity() {
    let pool: Arc<str> = POOL.into();
    let mut register = Register::default();
    let view = |home: &str, backlog, other: f64| View {
        home: home.into(),
        servers: 8,
        backlog,
        others: vec![other; 4],
    };
    for at in 0..100 {
        let views = [
            view("east", 0.6, 0.225),
            view("north", 0.6, 0.225),
            view("west", 0.225, 0.6),
        ];
        register.update(Time::from_ms(at * INTERVAL_MS), &pool, &views);
    }
    // Half of four servers is free, for the load of sixteen.
    let shares = register.shares();
    let sum: u32 = shares
        .iter()
        .take(2)
        .map(|share| u32::from(share.per_mille) * 8)
        .sum();
    assert!((1_000..=2_000).contains(&sum), "{shares:?}");
}

// Other deployments must be served as before: with slow links neither price nor share has an effect.
#[test]
fn slow_links_turn_the_part_off() {
    let run = |crossing_weight, shares: &[Share]| {
        let settings = Settings {
            crossing_weight,
            ..Settings::default()
        };
        let mut placer = Placer::new(settings);
        placer.set_servers(&servers());
        placer.set_document(&document(None));
        placer.set_crossing_shares(shares);
        let decisions: Vec<Decision> = (0..400)
            .map(|at| placer.place(Time::from_ms(1_000 + at * 5), &from_east(1, at, 3_000)))
            .collect();
        (decisions, placer.crossing_shares(Time::from_ms(3_000)))
    };
    let before = run(0.0, &[]);
    assert_eq!(before, run(1.0, &[share(0)]));
    assert!(before.1.is_empty());
}
