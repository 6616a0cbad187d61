//! A fleet of detectors in one process and in virtual time, with loss, partitions, freezes and restarts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_member::detector::{Detector, Event, Output, Settings};
use primrose_member::message::{Body, Datagram, MAX_BYTES, Update};
use primrose_member::view::{Member, Place, State};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

pub(crate) const TICK_MS: u64 = 100;
/// Authentication (32) and IP and UDP headers (28) of a datagram.
pub(crate) const OVERHEAD_BYTES: u64 = 60;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Mode {
    Running,
    Frozen,
    Down,
}

pub(crate) struct Host {
    pub(crate) detector: Detector,
    pub(crate) mode: Mode,
    /// Hosts reach each other if their sides are equal.
    pub(crate) side: usize,
    pub(crate) events: Vec<(u64, Event)>,
    pub(crate) sent_bytes: u64,
    pub(crate) sent_count: u64,
    /// Datagrams that wait in the socket while the host is frozen.
    waiting: Vec<(usize, Datagram)>,
}

pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    pub(crate) now: u64,
    /// Loss rate in percent.
    pub(crate) loss: u32,
    /// Deaths that were declared of hosts that were running, as (declaring, declared, time).
    pub(crate) false_deaths: Vec<(usize, usize, u64)>,
    pub(crate) domain: fn(usize) -> Name,
    in_flight: BinaryHeap<Reverse<(u64, u64, usize, usize)>>,
    datagrams: Vec<Option<Datagram>>,
    rng: Xoshiro256PlusPlus,
}

pub(crate) fn address(host: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, 0, (host / 250) as u8, (host % 250) as u8);
    SocketAddr::new(IpAddr::V4(ip), 7000)
}

pub(crate) fn host_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else {
        panic!("not an address of the harness: {address}")
    };
    usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3])
}

pub(crate) fn zone(host: usize) -> Name {
    Name::new(&format!("zone-{}", host % 3)).expect("valid")
}

impl Fleet {
    /// Starts `size` hosts that know the first three as seeds.
    pub(crate) fn start(size: usize, seed: u64) -> Fleet {
        println!("{size} hosts, seed {seed}");
        let mut fleet = Fleet {
            hosts: Vec::new(),
            now: 1_000,
            loss: 0,
            false_deaths: Vec::new(),
            domain: zone,
            in_flight: BinaryHeap::new(),
            datagrams: Vec::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        for host in 0..size {
            let detector = fleet.detector(host, 0);
            fleet.hosts.push(Host {
                detector,
                mode: Mode::Running,
                side: 0,
                events: Vec::new(),
                sent_bytes: 0,
                sent_count: 0,
                waiting: Vec::new(),
            });
        }
        fleet
    }

    fn detector(&mut self, host: usize, set_back_ms: u64) -> Detector {
        let me = Member {
            host: id::Host(host as u32),
            incarnation: 1_790_000_000_000 + self.now - set_back_ms,
            state: State::Alive,
            place: Place {
                address: address(host),
                domain: (self.domain)(host),
            },
        };
        let seeds = (0..3).map(address).collect();
        let seed = self.rng.random();
        Detector::new(
            me,
            seeds,
            Settings::default(),
            Time::from_ms(self.now),
            seed,
        )
    }

    /// Gives every host the complete view, as a seed would.
    pub(crate) fn acquaint(&mut self) {
        let members: Vec<Member> = self
            .hosts
            .iter()
            .map(|host| host.detector.me().clone())
            .collect();
        for part in members.chunks(20) {
            let records: Vec<Update> = part.iter().map(Update::record).collect();
            for host in 0..self.hosts.len() {
                let from = &members[(host + 1) % members.len()];
                let datagram = Datagram {
                    from: from.host,
                    incarnation: from.incarnation,
                    state: State::Alive,
                    body: Body::View {
                        records: records.clone(),
                    },
                    updates: Vec::new(),
                };
                self.receive(host, from.host.0 as usize, datagram);
            }
        }
    }

    /// Starts a new process of the host that knows nothing, with its wall clock set back.
    pub(crate) fn restart(&mut self, host: usize, set_back_ms: u64) {
        let detector = self.detector(host, set_back_ms);
        self.hosts[host].detector = detector;
        self.hosts[host].mode = Mode::Running;
        self.hosts[host].waiting.clear();
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.deliver_due();
            let phase = (self.now % TICK_MS) as usize;
            for host in (phase..self.hosts.len()).step_by(TICK_MS as usize) {
                if self.hosts[host].mode == Mode::Running {
                    self.receive_waiting(host);
                    let now = Time::from_ms(self.now);
                    let output = self.hosts[host].detector.tick(now);
                    self.carry_out(host, output);
                }
            }
        }
    }

    /// Runs until `done` holds, for at most `limit_ms`, and returns the time that it took.
    pub(crate) fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Fleet) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now < start + limit_ms,
                "not reached within {limit_ms} ms"
            );
            self.run(TICK_MS);
        }
        self.now - start
    }

    pub(crate) fn carry_out(&mut self, host: usize, output: Output) {
        for envelope in output.datagrams {
            let bytes = postcard::to_stdvec(&envelope.datagram)
                .expect("encodes")
                .len();
            assert!(bytes <= MAX_BYTES, "{bytes} bytes: {:?}", envelope.datagram);
            self.hosts[host].sent_bytes += bytes as u64 + OVERHEAD_BYTES;
            self.hosts[host].sent_count += 1;
            if self.rng.random_range(0..100) < self.loss {
                continue;
            }
            let at = self.now + self.rng.random_range(1..=3);
            let number = self.datagrams.len();
            let to = host_of(envelope.to);
            self.in_flight.push(Reverse((at, number as u64, host, to)));
            self.datagrams.push(Some(envelope.datagram));
        }
        for event in output.events {
            if let Event::Changed { member, .. } = &event {
                self.check_death(host, member);
            }
            self.hosts[host].events.push((self.now, event));
        }
    }

    fn check_death(&mut self, host: usize, member: &Member) {
        let other = &self.hosts[member.host.0 as usize];
        let reachable = other.mode == Mode::Running && other.side == self.hosts[host].side;
        if member.state == State::Dead && reachable {
            self.false_deaths
                .push((host, member.host.0 as usize, self.now));
        }
    }

    fn deliver_due(&mut self) {
        while let Some(&Reverse((at, number, from, to))) = self.in_flight.peek() {
            if at > self.now {
                return;
            }
            self.in_flight.pop();
            let Some(datagram) = self.datagrams[number as usize].take() else {
                continue;
            };
            if self.hosts[from].side != self.hosts[to].side {
                continue;
            }
            match self.hosts[to].mode {
                Mode::Running => self.receive(to, from, datagram),
                Mode::Frozen => self.hosts[to].waiting.push((from, datagram)),
                Mode::Down => {}
            }
        }
    }

    fn receive_waiting(&mut self, host: usize) {
        for (from, datagram) in std::mem::take(&mut self.hosts[host].waiting) {
            self.receive(host, from, datagram);
        }
    }

    fn receive(&mut self, host: usize, from: usize, datagram: Datagram) {
        let now = Time::from_ms(self.now);
        let output = self.hosts[host]
            .detector
            .receive(now, address(from), datagram);
        self.carry_out(host, output);
    }

    pub(crate) fn state(&self, viewer: usize, host: usize) -> Option<State> {
        let member = self.hosts[viewer].detector.member(id::Host(host as u32));
        member.map(|member| member.state)
    }

    /// Whether every running host sees every other one in the state that `expected` gives.
    pub(crate) fn agree(&self, expected: impl Fn(usize) -> Option<State>) -> bool {
        let viewers = (0..self.hosts.len()).filter(|&one| self.hosts[one].mode == Mode::Running);
        let mut pairs =
            viewers.flat_map(|one| (0..self.hosts.len()).map(move |other| (one, other)));
        pairs.all(|(one, other)| one == other || self.state(one, other) == expected(other))
    }

    pub(crate) fn all_alive(&self) -> bool {
        self.agree(|_| Some(State::Alive))
    }

    /// Mean bytes and datagrams per running host and second since the last call of `reset_cost`, and the most bytes of
    /// any host.
    pub(crate) fn cost(&self, ms: u64) -> (f64, f64, f64) {
        let running = || self.hosts.iter().filter(|host| host.mode == Mode::Running);
        let seconds = ms as f64 / 1_000.0;
        let scale = 1.0 / seconds / running().count() as f64;
        let bytes: u64 = running().map(|host| host.sent_bytes).sum();
        let count: u64 = running().map(|host| host.sent_count).sum();
        let max = running().map(|host| host.sent_bytes).max().unwrap_or(0);
        (
            bytes as f64 * scale,
            count as f64 * scale,
            max as f64 / seconds,
        )
    }

    pub(crate) fn reset_cost(&mut self) {
        for host in &mut self.hosts {
            host.sent_bytes = 0;
            host.sent_count = 0;
        }
    }
}
