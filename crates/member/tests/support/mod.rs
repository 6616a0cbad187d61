//! A fleet of detectors in one process and in virtual time, with loss, partitions, freezes and restarts.

pub(crate) mod fault;

use std::collections::BTreeMap;
use std::net::SocketAddr;

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
const FIRST_PORT: u16 = 7_000;

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
    pub(crate) events: Vec<Event>,
    pub(crate) sent_bytes: u64,
    pub(crate) sent_count: u64,
}

pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    pub(crate) now: u64,
    /// Loss rate in percent.
    pub(crate) loss: u32,
    pub(crate) delay_ms: u64,
    /// Deaths that were declared of hosts that were running, as (declaring, declared, time).
    pub(crate) false_deaths: Vec<(usize, usize, u64)>,
    /// Sender, receiver and datagram by time of arrival and number.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Datagram)>,
    sent: u64,
    rng: Xoshiro256PlusPlus,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + host as u16))
}

pub(crate) fn domain() -> Name {
    Name::new("kumamoto").expect("valid")
}

impl Fleet {
    /// Starts `size` hosts that know the first three as seeds.
    pub(crate) fn start(size: usize, seed: u64) -> Fleet {
        println!("{size} hosts, seed {seed}");
        let mut fleet = Fleet {
            hosts: Vec::new(),
            now: 1_000,
            loss: 0,
            delay_ms: 3,
            false_deaths: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
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
                domain: domain(),
            },
        };
        let (seeds, seed) = ((0..3).map(address).collect(), self.rng.random());
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
            for host in 0..members.len() {
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
        self.hosts[host].detector = self.detector(host, set_back_ms);
        self.hosts[host].mode = Mode::Running;
    }

    pub(crate) fn leave(&mut self, host: usize) {
        let output = self.hosts[host].detector.leave(Time::from_ms(self.now));
        self.carry_out(host, output);
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.deliver_due();
            let phase = (self.now % TICK_MS) as usize;
            for host in (phase..self.hosts.len()).step_by(TICK_MS as usize) {
                if self.hosts[host].mode == Mode::Running {
                    let output = self.hosts[host].detector.tick(Time::from_ms(self.now));
                    self.carry_out(host, output);
                }
            }
        }
    }

    /// Runs until `done` holds, for at most `limit_ms`, and returns the time that it took.
    pub(crate) fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Fleet) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(self.now < start + limit_ms, "not within {limit_ms} ms");
            self.run(TICK_MS);
        }
        self.now - start
    }

    pub(crate) fn carry_out(&mut self, host: usize, output: Output) {
        for envelope in output.datagrams {
            let encoded = postcard::to_stdvec(&envelope.datagram).expect("encodes");
            assert!(encoded.len() <= MAX_BYTES, "{:?}", envelope.datagram);
            self.hosts[host].sent_bytes += encoded.len() as u64 + OVERHEAD_BYTES;
            self.hosts[host].sent_count += 1;
            self.sent += 1;
            if self.rng.random_range(0..100) >= self.loss {
                let at = self.now + self.rng.random_range(1..=self.delay_ms);
                let to = usize::from(envelope.to.port() - FIRST_PORT);
                self.in_flight
                    .insert((at, self.sent), (host, to, envelope.datagram));
            }
        }
        for event in output.events {
            if let Event::Changed { member, .. } = &event {
                self.check_death(host, member);
            }
            self.hosts[host].events.push(event);
        }
    }

    fn check_death(&mut self, host: usize, member: &Member) {
        let declared = member.host.0 as usize;
        let other = &self.hosts[declared];
        let reachable = other.mode == Mode::Running && other.side == self.hosts[host].side;
        if member.state == State::Dead && reachable {
            self.false_deaths.push((host, declared, self.now));
        }
    }

    /// Delivers what has arrived. Datagrams to a frozen host wait in its socket.
    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (key, (from, to, datagram)) = entry.remove_entry();
            if self.hosts[to].mode == Mode::Frozen {
                self.in_flight
                    .insert((self.now + TICK_MS, key.1), (from, to, datagram));
            } else if self.hosts[to].mode == Mode::Running
                && self.hosts[from].side == self.hosts[to].side
            {
                self.receive(to, from, datagram);
            }
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

    /// Whether every running host sees `hosts` in `state` and all others alive.
    pub(crate) fn agrees(&self, hosts: &[usize], state: State) -> bool {
        let expected = |other| {
            if hosts.contains(&other) {
                state
            } else {
                State::Alive
            }
        };
        let sees = |one, other| one == other || self.state(one, other) == Some(expected(other));
        let mut viewers =
            (0..self.hosts.len()).filter(|&one| self.hosts[one].mode == Mode::Running);
        viewers.all(|one| (0..self.hosts.len()).all(|other| sees(one, other)))
    }

    pub(crate) fn all_alive(&self) -> bool {
        self.agrees(&[], State::Alive)
    }

    /// Prints the cost per running host in the last `ms`, starts to count anew, and returns the most bytes per second
    /// of any host.
    pub(crate) fn report_cost(&mut self, label: &str, ms: u64) -> u64 {
        let running = || self.hosts.iter().filter(|host| host.mode == Mode::Running);
        let (size, scale) = (
            self.hosts.len(),
            1_000.0 / ms as f64 / running().count() as f64,
        );
        let bytes = running().map(|host| host.sent_bytes).sum::<u64>() as f64 * scale;
        let count = running().map(|host| host.sent_count).sum::<u64>() as f64 * scale;
        let max = running().map(|host| host.sent_bytes).max().unwrap_or(0) * 1_000 / ms;
        println!(
            "{size} hosts, {label}: {bytes:.0} bytes/s ({max} at most), {count:.2} datagrams/s"
        );
        for host in &mut self.hosts {
            (host.sent_bytes, host.sent_count) = (0, 0);
        }
        max
    }
}
