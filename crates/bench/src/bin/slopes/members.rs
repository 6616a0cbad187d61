//! The failure detector per number of members.

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
/// All hosts start at once through three seeds and have this long to find each other.
const START_MS: u64 = 900_000;
const STEP_MS: u64 = 10_000;
const SPAN_MS: u64 = 20_000;

struct Fleet {
    detectors: Vec<Detector>,
    stopped: Vec<bool>,
    sent: Vec<Traffic>,
    used_ns: Vec<u64>,
    now: u64,
    number: u64,
    /// Time, number, sender and datagram.
    messages: BinaryHeap<Reverse<(u64, u64)>>,
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
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
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
            detectors.push(Detector::new(me, seeds.clone(), settings, Time::ZERO, seed));
        }
        Ok(Fleet {
            detectors,
            stopped: vec![false; size],
            sent: vec![Traffic::default(); size],
            used_ns: vec![0; size],
            now: 0,
            number: 0,
            messages: BinaryHeap::new(),
            datagrams: std::collections::HashMap::new(),
        })
    }

    fn send(&mut self, from: usize, output: Output) -> Result<(), Failure> {
        for envelope in output.datagrams {
            self.sent[from].add(postcard::to_stdvec(&envelope.datagram)?.len());
            self.number += 1;
            self.messages.push(Reverse((self.now + 2, self.number)));
            self.datagrams.insert(self.number, (from, envelope));
        }
        Ok(())
    }

    fn run(&mut self, ms: u64) -> Result<(), Failure> {
        self.sent.fill(Traffic::default());
        self.used_ns.fill(0);
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            let now = Time::from_ms(self.now);
            while self.messages.peek().is_some_and(|m| m.0.0 <= self.now) {
                let Some(Reverse((_, number))) = self.messages.pop() else {
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
                if self.stopped[host] || !(self.now + host as u64).is_multiple_of(TICK_MS) {
                    continue;
                }
                let detector = &mut self.detectors[host];
                let output = timed(&mut self.used_ns[host], || detector.tick(now));
                self.send(host, output)?;
            }
        }
        Ok(())
    }

    fn is_complete(&self) -> bool {
        let size = self.detectors.len();
        self.detectors
            .iter()
            .all(|d| d.members().count() == size - 1)
    }

    fn line(&self) -> String {
        let live: Vec<usize> = (0..self.stopped.len())
            .filter(|&host| !self.stopped[host])
            .collect();
        let scale = 1e3 / SPAN_MS as f64;
        let mean = |value: &dyn Fn(usize) -> u64| {
            live.iter().map(|&host| value(host)).sum::<u64>() as f64 * scale / live.len() as f64
        };
        let most = live.iter().map(|&host| self.sent[host].bytes).max();
        format!(
            "{:.0} bytes/s ({:.0} at most), {:.2} datagrams/s, {:.0} us/s",
            mean(&|host| self.sent[host].bytes),
            most.unwrap_or(0) as f64 * scale,
            mean(&|host| self.sent[host].messages),
            mean(&|host| self.used_ns[host]) / 1e3,
        )
    }
}

/// Cost per host in a quiet fleet and after one failure domain of 11 has crashed.
pub(crate) fn measure(seed: u64) -> Result<(), Failure> {
    println!("\n# members: cost per host");
    let mut kept = Vec::new();
    for size in [61, 167, 335, 670] {
        let before = resident_bytes()?;
        let mut fleet = Fleet::new(size, seed)?;
        while !fleet.is_complete() {
            if fleet.now >= START_MS {
                return Err("the members did not find each other".into());
            }
            fleet.run(STEP_MS)?;
        }
        println!(
            "{size} hosts, started at once: views complete within {} s",
            fleet.now / 1_000
        );
        // What the start left to pass on is not part of the quiet fleet.
        fleet.run(6 * STEP_MS)?;
        let memory = resident_bytes()?.saturating_sub(before) / size as u64;
        fleet.run(SPAN_MS)?;
        println!(
            "{size} hosts, quiet: {}; {} KiB resident per host",
            fleet.line(),
            memory >> 10
        );
        for host in (0..size).step_by(DOMAINS) {
            fleet.stopped[host] = true;
        }
        fleet.run(SPAN_MS)?;
        println!("{size} hosts, one domain crashed: {}", fleet.line());
        kept.push(fleet);
    }
    Ok(())
}
