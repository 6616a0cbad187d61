//! Measures the cost of the failure detector for several numbers of hosts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_member::detector::{Detector, Output, Settings};
use primrose_member::message::Envelope;
use primrose_member::view::{Location, Member, State};

use crate::Failure;
use crate::meter::{Traffic, resident_bytes, timed};

const DOMAINS: usize = 11;
const TICK_MS: u64 = 100;
/// One-way network delay.
const DELAY_MS: u64 = 2;
/// Time after which the views of all hosts must be complete. All hosts start at once and join through the same three
/// hosts.
const JOIN_TIMEOUT_MS: u64 = 900_000;
/// Interval at which the views are checked.
const CHECK_MS: u64 = 10_000;
/// Duration of a measurement.
const MEASUREMENT_MS: u64 = 20_000;

/// The failure detectors of all hosts, with a simulated network. The vectors are indexed by host.
struct Fleet {
    detectors: Vec<Detector>,
    stopped: Vec<bool>,
    /// Datagrams sent since the start of the measurement.
    sent: Vec<Traffic>,
    /// Processor time used since the start of the measurement.
    used_ns: Vec<u64>,
    now_ms: u64,
    /// Number of datagrams sent so far; the number of the last one.
    last_number: u64,
    /// Time of delivery and number of each datagram in transit.
    deliveries: BinaryHeap<Reverse<(u64, u64)>>,
    /// Sender and content of each datagram in transit, by number.
    datagrams: std::collections::HashMap<u64, (usize, Envelope)>,
}

fn address(host: usize) -> SocketAddr {
    ([10, 2, (host / 250) as u8, (host % 250) as u8], 7_000).into()
}

fn host_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let octets = address.ip().octets();
            Some(octets[2] as usize * 250 + octets[3] as usize)
        }
        SocketAddr::V6(_) => None,
    }
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Result<Fleet, Failure> {
        let seed_addresses: Vec<SocketAddr> = (0..3).map(address).collect();
        let mut detectors = Vec::new();
        for host in 0..size {
            let me = Member {
                host: id::Host(host as u32),
                incarnation: 1_700_000_000_000,
                state: State::Alive,
                location: Location {
                    address: address(host),
                    domain: Name::new(&format!("domain-{:02}", host % DOMAINS))?,
                },
            };
            let seed = seed * 1_000 + host as u64;
            let settings = Settings::default();
            detectors.push(Detector::new(
                me,
                seed_addresses.clone(),
                settings,
                Time::ZERO,
                seed,
            ));
        }
        Ok(Fleet {
            detectors,
            stopped: vec![false; size],
            sent: vec![Traffic::default(); size],
            used_ns: vec![0; size],
            now_ms: 0,
            last_number: 0,
            deliveries: BinaryHeap::new(),
            datagrams: std::collections::HashMap::new(),
        })
    }

    fn send(&mut self, from: usize, output: Output) -> Result<(), Failure> {
        for envelope in output.datagrams {
            self.sent[from].add(postcard::to_stdvec(&envelope.datagram)?.len());
            self.last_number += 1;
            let delivery = (self.now_ms + DELAY_MS, self.last_number);
            self.deliveries.push(Reverse(delivery));
            self.datagrams.insert(self.last_number, (from, envelope));
        }
        Ok(())
    }

    /// Starts a new measurement and runs for `duration_ms`.
    fn run(&mut self, duration_ms: u64) -> Result<(), Failure> {
        self.sent.fill(Traffic::default());
        self.used_ns.fill(0);
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            self.now_ms += 1;
            let now = Time::from_ms(self.now_ms);
            while self.deliveries.peek().is_some_and(|d| d.0.0 <= self.now_ms) {
                let Some(Reverse((_, number))) = self.deliveries.pop() else {
                    break;
                };
                let Some((from, envelope)) = self.datagrams.remove(&number) else {
                    continue;
                };
                let to = host_at(envelope.to).filter(|&to| !self.stopped[to]);
                let Some(to) = to else {
                    continue;
                };
                let source = address(from);
                let detector = &mut self.detectors[to];
                let output = timed(&mut self.used_ns[to], || {
                    detector.receive(now, source, envelope.datagram)
                });
                self.send(to, output)?;
            }
            for host in 0..self.detectors.len() {
                if self.stopped[host] || !(self.now_ms + host as u64).is_multiple_of(TICK_MS) {
                    continue;
                }
                let detector = &mut self.detectors[host];
                let output = timed(&mut self.used_ns[host], || detector.tick(now));
                self.send(host, output)?;
            }
        }
        Ok(())
    }

    /// Whether each host has all other hosts in its view.
    fn are_views_complete(&self) -> bool {
        let size = self.detectors.len();
        self.detectors
            .iter()
            .all(|d| d.members().count() == size - 1)
    }

    /// Returns the mean cost per live host of the last measurement, which must have lasted [`MEASUREMENT_MS`].
    fn summary(&self) -> String {
        let live: Vec<usize> = (0..self.stopped.len())
            .filter(|&host| !self.stopped[host])
            .collect();
        let scale = 1e3 / MEASUREMENT_MS as f64;
        let mean = |value: &dyn Fn(usize) -> u64| {
            live.iter().map(|&host| value(host)).sum::<u64>() as f64 * scale / live.len() as f64
        };
        let max = live.iter().map(|&host| self.sent[host].bytes).max();
        format!(
            "{:.0} bytes/s ({:.0} at most), {:.2} datagrams/s, {:.0} us/s",
            mean(&|host| self.sent[host].bytes),
            max.unwrap_or(0) as f64 * scale,
            mean(&|host| self.sent[host].messages),
            mean(&|host| self.used_ns[host]) / 1e3,
        )
    }
}

/// Prints the cost per host in a fleet without changes, and after one of the 11 failure domains has crashed.
pub(crate) fn measure(seed: u64) -> Result<(), Failure> {
    println!("\n# members: cost per host");
    // Fleets are not dropped, so that the next fleet does not reuse their memory, which would distort the resident
    // memory measured for it.
    let mut kept = Vec::new();
    for size in [61, 167, 335, 670] {
        let before = resident_bytes()?;
        let mut fleet = Fleet::new(size, seed)?;
        while !fleet.are_views_complete() {
            if fleet.now_ms >= JOIN_TIMEOUT_MS {
                let seconds = JOIN_TIMEOUT_MS / 1_000;
                return Err(format!("views not complete {seconds} s after the start").into());
            }
            fleet.run(CHECK_MS)?;
        }
        println!(
            "{size} hosts, started at once: views complete within {} s",
            fleet.now_ms / 1_000
        );
        // Updates from the start may still be gossiped. They are not part of the cost of a fleet without changes.
        fleet.run(6 * CHECK_MS)?;
        let memory = resident_bytes()?.saturating_sub(before) / size as u64;
        fleet.run(MEASUREMENT_MS)?;
        println!(
            "{size} hosts, quiet: {}; {} KiB resident per host",
            fleet.summary(),
            memory >> 10
        );
        for host in (0..size).step_by(DOMAINS) {
            fleet.stopped[host] = true;
        }
        fleet.run(MEASUREMENT_MS)?;
        println!("{size} hosts, one domain crashed: {}", fleet.summary());
        kept.push(fleet);
    }
    Ok(())
}
