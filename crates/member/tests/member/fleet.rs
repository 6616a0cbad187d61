//! A simulated fleet in virtual time, with packet loss, partitions, suspended processes, restarts and clocks that run
//! at different rates.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_member::detector::{Detector, Event, Output, Settings};
use primrose_member::message::{Body, Datagram, MAX_BYTES, Update};
use primrose_member::ownership::{
    Answer, Candidate, Ownership, REQUEST_INTERVAL_MS, Release, Request, Share,
};
use primrose_member::view::{Location, Member, State};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

pub(crate) const TICK_MS: u64 = 100;
/// Bytes that are counted for a datagram besides its postcard encoding: 32 for authentication, of which the tag of
/// `primrose_wire` takes 16, and 28 for IP and UDP headers.
pub(crate) const OVERHEAD_BYTES: u64 = 60;
const FIRST_PORT: u16 = 7_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Mode {
    Running,
    /// The process is stopped but not ended; datagrams queue in its socket.
    Suspended,
    Down,
}

#[derive(Clone)]
enum Message {
    Datagram(Datagram),
    Request(Request),
    Answer(Answer),
    Release(Release),
}

pub(crate) struct Host {
    pub(crate) detector: Detector,
    pub(crate) ownership: Ownership,
    pub(crate) mode: Mode,
    /// Rate of the clock in units of 0.1% of the rate of virtual time.
    rate: u64,
    /// Hosts reach each other only within the same partition of the network.
    pub(crate) partition: usize,
    pub(crate) events: Vec<Event>,
    pub(crate) sent_bytes: u64,
    pub(crate) sent_count: u64,
}

pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    /// Virtual time in ms.
    pub(crate) now: u64,
    /// Packet loss in percent.
    pub(crate) loss: u32,
    /// Maximum delay of a message; the actual delay is random.
    pub(crate) delay_ms: u64,
    /// Running and reachable hosts that were declared dead, as (declaring host, declared host, time in ms).
    pub(crate) false_deaths: Vec<(usize, usize, u64)>,
    /// Whether the hosts form one failure domain and elect its owner.
    elects_owner: bool,
    /// Sender, receiver and message, by time of arrival and number of the message.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    rng: Xoshiro256PlusPlus,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + host as u16))
}

pub(crate) fn domain() -> Name {
    Name::new("kumamoto").expect("valid")
}

pub(crate) fn candidates(hosts: std::ops::Range<usize>) -> Vec<Candidate> {
    let name = |host| Name::new(&format!("host-{host}")).expect("valid");
    let pair = |host| (id::Host(host as u32), name(host));
    hosts
        .map(pair)
        .map(|(host, name)| Candidate { host, name })
        .collect()
}

pub(crate) fn ownership(host: usize, size: usize, now: Time) -> Ownership {
    let mut ownership = Ownership::new(id::Host(host as u32), now.as_ms(), now);
    ownership.set_candidates(candidates(0..size));
    ownership
}

impl Fleet {
    /// Starts `size` hosts; the first three are their seeds.
    pub(crate) fn start(size: usize, seed: u64) -> Fleet {
        println!("{size} hosts, seed {seed}");
        let mut fleet = Fleet {
            hosts: Vec::new(),
            now: 1_000,
            loss: 0,
            delay_ms: 3,
            false_deaths: Vec::new(),
            elects_owner: false,
            in_flight: BTreeMap::new(),
            sent: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        for host in 0..size {
            // Clocks differ by up to 0.8%; the leases allow for 1%.
            let rate = fleet.rng.random_range(996..=1_004);
            let now = Time::from_ms(fleet.now * rate / 1_000);
            let detector = fleet.detector(host, now, 0);
            fleet.hosts.push(Host {
                detector,
                ownership: ownership(host, size, now),
                mode: Mode::Running,
                rate,
                partition: 0,
                events: Vec::new(),
                sent_bytes: 0,
                sent_count: 0,
            });
        }
        fleet
    }

    /// Starts a fleet of one failure domain and waits until it has an owner.
    pub(crate) fn start_domain(size: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::start(size, seed);
        fleet.elects_owner = true;
        fleet.share_views();
        fleet.run_until(10_000, |fleet| fleet.sole_owner().is_some());
        assert_eq!(fleet.sole_owner(), Some(0));
        fleet.run(1_000);
        fleet
    }

    fn detector(&mut self, host: usize, now: Time, set_back_ms: u64) -> Detector {
        let (address, domain) = (address(host), domain());
        let local = Member {
            host: id::Host(host as u32),
            incarnation: 1_790_000_000_000 + self.now - set_back_ms,
            state: State::Alive,
            location: Location { address, domain },
        };
        let (seeds, seed) = ((0..3).map(self::address).collect(), self.rng.random());
        Detector::new(local, seeds, Settings::default(), now, seed)
    }

    pub(crate) fn clock(&self, host: usize) -> Time {
        Time::from_ms(self.now * self.hosts[host].rate / 1_000)
    }

    pub(crate) fn is_running(&self, host: usize) -> bool {
        let host = self.hosts.get(host);
        host.is_some_and(|host| host.mode == Mode::Running)
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(|&host| self.is_running(host))
    }

    /// Sends every host the complete view, as a seed does when a host joins.
    pub(crate) fn share_views(&mut self) {
        let local = |host: &Host| Update::record(host.detector.local());
        let all: Vec<Update> = self.hosts.iter().map(local).collect();
        for records in all.chunks(20) {
            for to in 0..self.hosts.len() {
                let records = records.to_vec();
                self.deliver((to + 1) % self.hosts.len(), to, Body::View { records });
            }
        }
    }

    /// Delivers a datagram at once, without loss.
    pub(crate) fn deliver(&mut self, from: usize, to: usize, body: Body) {
        let local = self.hosts[from].detector.local();
        let datagram = Datagram {
            from: local.host,
            incarnation: local.incarnation,
            state: local.state,
            body,
            updates: Vec::new(),
        };
        self.receive(to, from, Message::Datagram(datagram));
    }

    /// Replaces the process of the host by a new one without state, whose wall clock is set back by `set_back_ms`.
    pub(crate) fn restart(&mut self, host: usize, set_back_ms: u64) {
        let now = self.clock(host);
        self.hosts[host].detector = self.detector(host, now, set_back_ms);
        self.hosts[host].ownership = ownership(host, self.hosts.len(), now);
        self.hosts[host].mode = Mode::Running;
    }

    pub(crate) fn leave(&mut self, host: usize) {
        let now = self.clock(host);
        let release = self.hosts[host].ownership.leave(now);
        self.broadcast(host, release.map(Message::Release));
        let output = self.hosts[host].detector.leave(now);
        self.process(host, output);
    }

    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            self.deliver_due();
            let phase = (self.now % TICK_MS) as usize;
            for host in (phase..self.hosts.len()).step_by(TICK_MS as usize) {
                if self.is_running(host) {
                    self.tick(host);
                }
            }
            if self.elects_owner {
                self.check_owners();
            }
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.clock(host);
        let output = self.hosts[host].detector.tick(now);
        self.process(host, output);
        if !self.elects_owner {
            return;
        }
        let live = self.hosts[host].detector.live_in(&domain());
        self.hosts[host].ownership.set_live(live);
        // Hosts send their requests in different ticks.
        let tick = self.now / TICK_MS + host as u64;
        if tick.is_multiple_of(REQUEST_INTERVAL_MS / TICK_MS) {
            let request = self.hosts[host].ownership.request(now);
            self.broadcast(host, request.map(Message::Request));
        }
    }

    /// Runs until `done` returns true and returns the time that this took in ms. Panics after `limit_ms`.
    pub(crate) fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Fleet) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now < start + limit_ms,
                "the condition did not hold within {limit_ms} ms"
            );
            self.run(TICK_MS);
        }
        self.now - start
    }

    /// Sends the datagrams of an output and records its events.
    pub(crate) fn process(&mut self, host: usize, output: Output) {
        for envelope in output.datagrams {
            let encoded = postcard::to_stdvec(&envelope.datagram).expect("encodes");
            assert!(
                encoded.len() <= MAX_BYTES,
                "datagram too long: {:?}",
                envelope.datagram
            );
            self.hosts[host].sent_bytes += encoded.len() as u64 + OVERHEAD_BYTES;
            self.hosts[host].sent_count += 1;
            let to = usize::from(envelope.to.port()) - usize::from(FIRST_PORT);
            self.send(host, to, Message::Datagram(envelope.datagram));
        }
        for event in output.events {
            if let Event::Changed { member, .. } = &event {
                self.check_death(host, member);
            }
            self.hosts[host].events.push(event);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent += 1;
        let is_lost = self.rng.random_range(0..100) < self.loss;
        if !is_lost && to < self.hosts.len() {
            let at = self.now + self.rng.random_range(1..=self.delay_ms);
            self.in_flight.insert((at, self.sent), (from, to, message));
        }
    }

    fn broadcast(&mut self, from: usize, message: Option<Message>) {
        for to in (0..self.hosts.len()).filter(|&to| to != from) {
            if let Some(message) = &message {
                self.send(from, to, message.clone());
            }
        }
    }

    fn check_death(&mut self, host: usize, member: &Member) {
        let (partition, declared) = (self.hosts[host].partition, member.host.0 as usize);
        let reachable = self.is_running(declared) && self.hosts[declared].partition == partition;
        if member.state == State::Dead && reachable {
            self.false_deaths.push((host, declared, self.now));
        }
    }

    /// Delivers the messages that have arrived. Those to a suspended host wait in its socket.
    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (key, (from, to, message)) = entry.remove_entry();
            if self.hosts[to].mode == Mode::Suspended {
                let later = (self.now + TICK_MS, key.1);
                self.in_flight.insert(later, (from, to, message));
            } else if self.is_running(to) && self.hosts[from].partition == self.hosts[to].partition
            {
                self.receive(to, from, message);
            }
        }
    }

    fn receive(&mut self, host: usize, from: usize, message: Message) {
        let now = self.clock(host);
        let ownership = &mut self.hosts[host].ownership;
        match message {
            Message::Datagram(datagram) => {
                let detector = &mut self.hosts[host].detector;
                let output = detector.receive(now, address(from), datagram);
                self.process(host, output);
            }
            Message::Request(request) => {
                let output = ownership.on_request(now, &request);
                self.send(host, from, Message::Answer(output.answer));
                self.broadcast(host, output.release.map(Message::Release));
            }
            Message::Answer(answer) => ownership.on_answer(now, id::Host(from as u32), &answer),
            Message::Release(release) => ownership.on_release(now, &release),
        }
    }

    /// Checks that at most one owner has a majority, and that the owners together count no more supporters than
    /// hosts.
    fn check_owners(&self) {
        let shares = self.shares();
        let supporters: u32 = shares.iter().map(|(_, share)| share.supporters).sum();
        let majorities = shares
            .iter()
            .filter(|(_, share)| share.has_majority())
            .count();
        let fits = majorities <= 1 && supporters as usize <= self.hosts.len();
        assert!(
            fits,
            "owners with too many supporters at {} ms: {shares:?}",
            self.now
        );
    }

    pub(crate) fn share(&self, host: usize) -> Option<Share> {
        self.hosts[host].ownership.share(self.clock(host))
    }

    pub(crate) fn shares(&self) -> Vec<(usize, Share)> {
        let share = |host| Some((host, self.share(host)?));
        self.running().filter_map(share).collect()
    }

    /// The owner, if it is the only one, has a majority and is supported by all running hosts.
    pub(crate) fn sole_owner(&self) -> Option<usize> {
        let [(owner, share)] = self.shares()[..] else {
            return None;
        };
        let expected = Some(id::Host(owner as u32));
        let supports = |host: usize| self.hosts[host].ownership.owner(self.clock(host)) == expected;
        (share.has_majority() && self.running().all(supports)).then_some(owner)
    }

    /// State of `host` in the view of `viewer`.
    pub(crate) fn state(&self, viewer: usize, host: usize) -> Option<State> {
        let member = self.hosts[viewer].detector.member(id::Host(host as u32));
        member.map(|member| member.state)
    }

    /// Whether in the view of every running host `hosts` are in `state` and all others are alive.
    pub(crate) fn agrees(&self, hosts: &[usize], state: State) -> bool {
        let expected = |other| [State::Alive, state][usize::from(hosts.contains(&other))];
        let sees =
            |viewer, other| viewer == other || self.state(viewer, other) == Some(expected(other));
        let all = 0..self.hosts.len();
        self.running()
            .all(|viewer| all.clone().all(|other| sees(viewer, other)))
    }

    pub(crate) fn all_alive(&self) -> bool {
        self.agrees(&[], State::Alive)
    }

    /// Prints the traffic per running host in the last `ms`, resets the counts, and returns the bytes per second of
    /// the host that sent most.
    pub(crate) fn report_cost(&mut self, label: &str, ms: u64) -> u64 {
        let running: Vec<&Host> = self.running().map(|host| &self.hosts[host]).collect();
        let scale = 1_000.0 / ms as f64 / running.len() as f64;
        let bytes = running.iter().map(|host| host.sent_bytes).sum::<u64>() as f64 * scale;
        let count = running.iter().map(|host| host.sent_count).sum::<u64>() as f64 * scale;
        let max = running
            .iter()
            .map(|host| host.sent_bytes)
            .max()
            .unwrap_or(0)
            * 1_000
            / ms;
        println!("{label}: {bytes:.0} bytes/s ({max} at most), {count:.2} datagrams/s per host");
        for host in &mut self.hosts {
            (host.sent_bytes, host.sent_count) = (0, 0);
        }
        max
    }
}
