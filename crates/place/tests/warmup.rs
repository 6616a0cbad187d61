//! Servers that warm up, in virtual time.

mod support;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_place::demand::{Demand, Key};
use primrose_place::placer::{Decision, Outcome, Placer, Reason};
use primrose_place::warmup::{self, Bound, SEND_WITHIN_MS, State, WINDOW_MS};
use primrose_place::{Server, Settings};
use primrose_route::Document;
use primrose_route::document::Warmup;
use support::{demand, document, engine, engines};

const BOUND: Bound = Bound {
    overshoot: 1.5,
    slack: 5.0,
};

/// The most requests in a second that the bound allows, with [`warming_document`].
const MOST_PER_S: usize = 12;

fn warming_document() -> Arc<Document> {
    let mut document = (*document(None)).clone();
    document.pools[0].warmup = Some(Warmup {
        duration_ms: 3_000,
        per_s: 5.0,
    });
    Arc::new(document)
}

/// A placer that knows the servers and may send to cold ones since long ago.
fn permitted(servers: &[Server]) -> Placer {
    let mut placer = Placer::new(Settings::default());
    placer.set_document(&warming_document());
    placer.set_servers(servers);
    placer.set_warmup_bound(Time::ZERO, Some(BOUND));
    placer
}

fn cold(server: Server) -> Server {
    Server {
        cold: true,
        ..server
    }
}

/// The reason and Retry-After of the refusal, or `None` if the request is placed.
fn refusal(decision: &Decision) -> Option<(Reason, u32)> {
    match *decision {
        Decision::Place { .. } => None,
        Decision::Refuse {
            reason,
            retry_after_ms,
            ..
        } => Some((reason, retry_after_ms)),
        Decision::Wait { .. } => panic!("waits although waiting is off"),
    }
}

fn place(placer: &mut Placer, at_ms: u64, sequence: u64) -> Decision {
    placer.place(Time::from_ms(at_ms), &demand(sequence, 1, 10, 10))
}

enum Event {
    Arrival(Demand, Arc<str>),
    /// A report that reaches the placer that was asked and the host that decides alone, or all placers.
    Assigned(Demand, Arc<str>, usize),
    Answered(Key, Arc<str>),
    Begun(Key),
    End(Key, Outcome),
    Broken(Arc<str>),
    /// The list as of the time `read` minus its lag.
    List {
        read: u64,
    },
}

/// Three domains of 20 servers each, two core hosts, and an entry host that decides alone and gets no lists.
struct Fleet {
    now: u64,
    placers: [Placer; 3],
    events: BTreeMap<u64, Vec<Event>>,
    /// Requests that servers received: the server, its domain and the time.
    arrivals: Vec<(Arc<str>, Arc<str>, u64)>,
    /// Requests that servers run.
    running: Vec<(Key, Arc<str>)>,
    random: u64,
    /// Whether the core hosts get only the reports on their own placements.
    is_split: bool,
    /// When the servers of the domain "west" crash, return and are warm again.
    crash: u64,
    back: u64,
    warm: u64,
}

const ALONE: usize = 2;

impl Fleet {
    fn new(crash: u64, back: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            placers: [(); 3].map(|()| Placer::new(Settings::default())),
            events: BTreeMap::new(),
            arrivals: Vec::new(),
            running: Vec::new(),
            random: 1,
            is_split: false,
            crash,
            back,
            warm: back + 3_000,
        };
        let servers = fleet.servers(0);
        for placer in &mut fleet.placers {
            placer.set_document(&warming_document());
            placer.set_servers(&servers);
        }
        fleet.later(900, Event::List { read: 900 });
        fleet
    }

    /// The list as it was made at a time. It still names servers that are down.
    fn servers(&self, at: u64) -> Vec<Server> {
        let domains = ["east", "north", "west"];
        let numbers = (0..60).map(|number| (number, domains[number as usize / 20]));
        let servers = numbers.map(|(number, domain)| Server {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number as u8), 80),
            domain: domain.into(),
            cold: domain == "west" && (self.back..self.warm).contains(&at),
            ..engine(number + 1)
        });
        servers.collect()
    }

    fn is_down(&self, server: &str, at: u64) -> bool {
        server > "engine-40" && (self.crash..self.back).contains(&at)
    }

    fn random(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005) + 1_442_695;
        range.start + (self.random >> 33) % (range.end - range.start)
    }

    fn later(&mut self, delay: u64, event: Event) {
        self.events.entry(self.now + delay).or_default().push(event);
    }

    /// Places a request that `placer` is asked for by a host of `domain`, and sends it. Returns whether it was placed.
    fn ask(&mut self, placer: usize, domain: &str, sequence: u64) -> bool {
        let demand = Demand {
            domain: domain.into(),
            ..demand(sequence, sequence % 50, 500, 6_000)
        };
        let now = Time::from_ms(self.now);
        let decision = self.placers[placer].place(now, &demand);
        let Decision::Place {
            server,
            send_within_ms,
            ..
        } = decision
        else {
            return false;
        };
        // One host in 50 is frozen for longer than its placement is valid, and does not send.
        let sending = match self.random(0..50) {
            0 => 2_000,
            _ => self.random(0..90),
        };
        if sending > u64::from(send_within_ms.expect("the pool has a warm-up")) {
            self.later(sending, Event::End(demand.key, Outcome::Cancelled));
            return true;
        }
        let report = sending + self.random(12..50);
        self.later(
            report,
            Event::Assigned(demand.clone(), server.id.clone(), placer),
        );
        let transit = self.random(0..10);
        self.later(sending + transit, Event::Arrival(demand, server.id));
        true
    }

    /// Advances the time by 1 ms.
    fn step(&mut self) {
        self.now += 1;
        let now = Time::from_ms(self.now);
        if self.now == self.crash {
            let is_hit = |server: &str| server > "engine-40";
            let lost = self.running.extract_if(.., |(_, server)| is_hit(server));
            for (key, server) in lost.collect::<Vec<_>>() {
                self.later(15, Event::Broken(server));
                let outcome = Outcome::Answered { failed: true };
                self.later(15, Event::End(key, outcome));
            }
        }
        for event in self.events.remove(&self.now).unwrap_or_default() {
            match event {
                Event::Arrival(demand, server) if self.is_down(&server, self.now) => {
                    let report = self.random(12..50);
                    self.later(report, Event::End(demand.key, Outcome::Unreachable));
                }
                Event::Arrival(demand, server) => {
                    let all = self.servers(0);
                    let at = all.iter().position(|known| known.id == server);
                    let domain = all[at.expect("a known server")].domain.clone();
                    self.arrivals.push((server.clone(), domain, self.now));
                    self.running.push((demand.key, server.clone()));
                    self.later(150, Event::Answered(demand.key, server));
                }
                Event::Answered(key, server) => {
                    if let Some(at) = self.running.iter().position(|run| run.0 == key) {
                        self.running.swap_remove(at);
                        assert!(!self.is_down(&server, self.now));
                        let report = self.random(12..50);
                        self.later(report, Event::Begun(key));
                        self.later(report, Event::End(key, Outcome::Answered { failed: false }));
                    }
                }
                Event::Assigned(demand, server, asked) => {
                    for (at, placer) in self.placers.iter_mut().enumerate() {
                        if self.is_split && at != asked && at != ALONE {
                            continue;
                        }
                        placer.record_assignment(now, &demand, &server);
                    }
                }
                Event::Begun(key) => {
                    for placer in &mut self.placers {
                        placer.record_first_event(now, key);
                    }
                }
                Event::End(key, outcome) => {
                    for placer in &mut self.placers {
                        placer.record_end(now, key, outcome);
                    }
                }
                Event::Broken(server) => {
                    for placer in &mut self.placers {
                        placer.record_broken(now, &server);
                    }
                }
                Event::List { read } => {
                    let servers = self.servers(read.saturating_sub(800));
                    for placer in &mut self.placers[..ALONE] {
                        placer.set_servers(&servers);
                        placer.record_list_read(now, Time::from_ms(read));
                    }
                    self.later(
                        900,
                        Event::List {
                            read: self.now + 870,
                        },
                    );
                }
            }
        }
    }

    /// The most requests that one server of "west" received within a second of the given time.
    fn most_per_s(&self, from: u64, to: u64) -> usize {
        let mut times: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for (server, domain, at) in &self.arrivals {
            if **domain == *"west" && (from..to).contains(at) {
                times.entry(server).or_default().push(*at);
            }
        }
        let most = |times: &Vec<u64>| {
            let counts = times.iter().map(|start| {
                let within = |at: &&u64| (*start..=start + 1_000).contains(*at);
                times.iter().filter(within).count()
            });
            counts.max().unwrap_or(0)
        };
        times.values().map(most).max().unwrap_or(0)
    }

    /// The requests that the servers of "west" received in a time.
    fn moved(&self, from: u64, to: u64) -> usize {
        let is_moved = |(_, domain, at): &&(Arc<str>, Arc<str>, u64)| {
            **domain == *"west" && (from..to).contains(at)
        };
        self.arrivals.iter().filter(is_moved).count()
    }
}

// Guards against the crash of a whole failure domain that returns cold under load: two core hosts that do not hear of each
// other's placements place at the same time because the leader changes, and hosts that decide alone know nothing of the return.
#[test]
fn domain_that_returns_cold_gets_few_requests() {
    let (crash, back) = (4_000, 6_000);
    let (overlap, handover) = (6_300, 8_600);
    let mut fleet = Fleet::new(crash, back);
    let mut refused = 0;
    let mut sequence = 0;
    for at in 0..16_000 {
        fleet.step();
        fleet.is_split = (overlap..handover).contains(&at);
        let bound = |may_send: bool| may_send.then_some(BOUND);
        fleet.placers[0].set_warmup_bound(Time::from_ms(at), bound(at < handover));
        fleet.placers[1].set_warmup_bound(Time::from_ms(at), bound(at >= overlap));
        // 600 requests in a second, 120 of them from hosts that decide alone.
        for _ in 0..(at * 3 / 5 - (at.max(1) - 1) * 3 / 5) {
            sequence += 1;
            let placer = match (sequence % 5, at) {
                (0, _) => ALONE,
                (_, ..8_600) if at < overlap || sequence % 2 == 0 => 0,
                _ => 1,
            };
            let domain = ["east", "north", "west"][sequence as usize % 3];
            refused += u64::from(!fleet.ask(placer, domain, sequence));
        }
    }
    let most = fleet.most_per_s(back, fleet.warm);
    assert!(most <= MOST_PER_S, "{most} requests in a second");
    // The load moves back: within the bound at once, and in full afterwards.
    let early = fleet.moved(back, fleet.warm);
    let late = fleet.moved(13_000, 15_000);
    assert!(early >= 100, "{early} requests while cold");
    assert!(late >= 200, "{late} of 1,200 requests after the warm-up");
    assert!(refused < sequence / 100, "{refused} of {sequence} refused");
}

// Guards against a server that becomes cold without a failure and gets the load of a warm one, or is forgotten when it is
// warm again.
#[test]
fn server_that_becomes_cold_again_is_limited_from_the_list_on() {
    let mut placer = permitted(&engines(1));
    let mut sequence = 0;
    let mut placed = |placer: &mut Placer, from: u64, to: u64| {
        let mut count = 0;
        for at in (from..to).step_by(20) {
            sequence += 1;
            let decision = place(placer, at, sequence);
            count += usize::from(refusal(&decision).is_none());
            placer.record_end(
                Time::from_ms(at),
                Key { entry: 1, sequence },
                Outcome::Cancelled,
            );
        }
        count
    };
    assert_eq!(placed(&mut placer, 10_000, 11_000), 50);
    placer.set_servers(&[cold(engine(1))]);
    // The requests from just before may not have arrived.
    assert_eq!(placed(&mut placer, 11_000, 10_900 + WINDOW_MS - 20), 0);
    let limited = placed(&mut placer, 13_000, 14_000);
    assert!((1..=MOST_PER_S / 2).contains(&limited), "{limited}");
    placer.set_servers(&engines(1));
    assert_eq!(placed(&mut placer, 15_000, 16_000), 50);
    let states: Vec<State> = placer
        .take_warmup_changes()
        .iter()
        .map(|c| c.state)
        .collect();
    assert_eq!(states, [State::Cold, State::Warm]);
}

// A caller that is told to retry too early is refused again and gives up; one that is told to retry too late waits in vain.
#[test]
fn retry_after_lasts_until_a_place_is_free() {
    let mut placer = permitted(&[cold(engine(1))]);
    for sequence in 0..6 {
        let decision = place(&mut placer, 10_000 + sequence * 10, sequence);
        assert!(matches!(
            decision,
            Decision::Place {
                send_within_ms: Some(SEND_WITHIN_MS),
                ..
            }
        ));
    }
    let refused = place(&mut placer, 10_100, 6);
    let wait = WINDOW_MS as u32 - 100;
    assert_eq!(refusal(&refused), Some((Reason::Warming, wait)));
    assert!(refusal(&place(&mut placer, 10_099 + u64::from(wait), 7)).is_some());
    assert!(refusal(&place(&mut placer, 10_100 + u64::from(wait), 8)).is_none());
}

// Guards against two hosts that both spend the whole bound, and a host that does not know what its predecessor has sent.
#[test]
fn only_hosts_with_a_settled_permission_send_to_cold_servers() {
    let mut placer = permitted(&[cold(engine(1))]);
    placer.set_warmup_bound(Time::from_ms(10_000), None);
    let reason = |decision| refusal(&decision).map(|refusal| refusal.0);
    assert_eq!(reason(place(&mut placer, 10_000, 1)), Some(Reason::Warming));
    placer.set_warmup_bound(Time::from_ms(10_000), Some(BOUND));
    assert_eq!(
        reason(place(&mut placer, 9_999 + WINDOW_MS, 2)),
        Some(Reason::Warming)
    );
    assert_eq!(reason(place(&mut placer, 10_000 + WINDOW_MS, 3)), None);
}

// Guards against a server that is taken to be warm by a list that does not show its restart yet, and one that is never
// taken to be warm again.
#[test]
fn failed_server_is_confirmed_by_a_later_list_and_an_answer() {
    let mut placer = permitted(&engines(1));
    let mut failed = placer.clone();
    failed.record_broken(Time::from_ms(10_000), "engine-01");
    let is_warm = |placer: &mut Placer| {
        let changes = placer.take_warmup_changes();
        changes.last().map(|change| change.state == State::Warm)
    };
    assert_eq!(is_warm(&mut failed), Some(false));
    assert!(refusal(&place(&mut failed, 11_500, 1)).is_none());
    let key = Key {
        entry: 1,
        sequence: 1,
    };
    failed.record_first_event(Time::from_ms(11_600), key);
    for (read, expected) in [(10_900, None), (12_600, None), (12_601, Some(true))] {
        failed.record_list_read(Time::from_ms(read + 50), Time::from_ms(read));
        assert_eq!(is_warm(&mut failed), expected, "list of {read}");
    }
    // A domain that returned is confirmed without an answer.
    placer.record_domain_returned(Time::from_ms(10_000), "south");
    assert_eq!(is_warm(&mut placer), None);
    placer.record_domain_returned(Time::from_ms(10_000), "north");
    assert_eq!(is_warm(&mut placer), Some(false));
    placer.record_list_read(Time::from_ms(11_050), Time::from_ms(11_001));
    assert_eq!(is_warm(&mut placer), Some(true));
}

// The servers of other deployments must get requests as before, whatever the list says.
#[test]
fn pool_without_warmup_is_unchanged() {
    let mut placer = Placer::new(Settings::default());
    placer.set_document(&document(None));
    placer.set_servers(&[cold(engine(1))]);
    placer.record_broken(Time::from_ms(5_000), "engine-01");
    placer.record_domain_returned(Time::from_ms(5_000), "north");
    for sequence in 0..40 {
        let decision = place(&mut placer, 10_000, sequence);
        assert!(matches!(
            decision,
            Decision::Place {
                send_within_ms: None,
                ..
            }
        ));
    }
    assert!(placer.take_warmup_changes().is_empty());
}

// Guards against an engine that crashes because its requests need more memory than it has, although their prompts are
// prefilled quickly.
#[test]
fn engine_holds_no_more_than_its_memory() {
    let mut document = (*warming_document()).clone();
    let memory = 20_000;
    document.pools[0]
        .engine
        .as_mut()
        .expect("engines")
        .cache_tokens = memory;
    let mut placer = permitted(&engines(2));
    placer.set_document(&Arc::new(document));
    // The requests of each engine: the engine crashes when their parts and outputs exceed its memory.
    let mut held: BTreeMap<Arc<str>, Vec<Demand>> = BTreeMap::new();
    let (mut placed, mut refused) = (0, 0);
    for sequence in 0..200 {
        let now = Time::from_ms(10_000 + sequence * 20);
        // Every request shares one part of three with others.
        let request = demand(sequence, sequence % 3, 2_000, 700);
        match placer.place(now, &request) {
            Decision::Place { server, .. } => {
                placed += 1;
                let running = held.entry(server.id.clone()).or_default();
                running.push(request);
                let shared: std::collections::BTreeSet<u64> =
                    running.iter().map(|r| r.key.sequence % 3).collect();
                let tokens = shared.len() as u64 * 2_000 + running.len() as u64 * 800;
                assert!(tokens <= memory, "{} holds {tokens} tokens", server.id);
            }
            Decision::Refuse { reason, .. } => {
                refused += 1;
                assert_eq!(reason, Reason::Memory);
                let oldest = held.values_mut().map(|running| running.remove(0));
                for ended in oldest.collect::<Vec<_>>() {
                    placer.record_end(now, ended.key, Outcome::Answered { failed: false });
                }
            }
            Decision::Wait { .. } => panic!("waits although waiting is off"),
        }
    }
    assert!(
        placed > 100 && refused > 10,
        "{placed} placed, {refused} refused"
    );
    // A request that is larger than the memory would crash any engine.
    let huge = demand(1_000, 1_000, 15_000, 6_000);
    let decision = placer.place(Time::from_ms(20_000), &huge);
    assert_eq!(refusal(&decision).map(|r| r.0), Some(Reason::Memory));
}

// A partition must not limit all servers on its other side for as long as it lasts.
#[test]
fn broken_path_limits_a_server_once() {
    let mut placer = permitted(&engines(1));
    let mut sequence = 0;
    let mut end = |placer: &mut Placer, at_ms: u64, domain: &str, outcome| {
        sequence += 1;
        let request = Demand {
            domain: domain.into(),
            ..demand(sequence, 1, 10, 10)
        };
        let now = Time::from_ms(at_ms);
        assert!(refusal(&placer.place(now, &request)).is_none(), "{at_ms}");
        placer.record_end(now.plus_ms(10), request.key, outcome);
    };
    let answered = Outcome::Answered { failed: false };
    end(&mut placer, 10_000, "south", Outcome::Unreachable);
    end(&mut placer, 10_500, "north", answered);
    placer.record_list_read(Time::from_ms(12_000), Time::from_ms(11_600));
    end(&mut placer, 12_100, "north", answered);
    end(&mut placer, 12_200, "south", Outcome::Unreachable);
    let states: Vec<State> = placer
        .take_warmup_changes()
        .iter()
        .map(|c| c.state)
        .collect();
    assert_eq!(states, [State::Unconfirmed, State::Warm]);
    // A server that answers nobody may have crashed.
    end(&mut placer, 15_000, "south", Outcome::Unreachable);
    assert_eq!(placer.take_warmup_changes().len(), 1);
}

// Lists that differ only in a statement without effect must count as equal, or every start of a server would make all hosts
// of other deployments fetch the list.
#[test]
fn statement_is_removed_where_it_has_no_effect() {
    let other = Server {
        pool: "other".into(),
        ..engine(2)
    };
    let mut servers = [cold(engine(1)), cold(other)];
    warmup::clear_unused(&warming_document(), &mut servers);
    assert_eq!(servers.map(|server| server.cold), [true, false]);
}

// A server that resets single connections, or is slow, goes on to answer its other requests. If each of these faults
// limited it, the requests that it could serve would be refused, and its cached parts would be read again elsewhere.
#[test]
fn server_that_goes_on_to_answer_has_not_restarted() {
    let mut placer = permitted(&engines(1));
    let key = |sequence| Key { entry: 1, sequence };
    assert!(refusal(&place(&mut placer, 9_900, 1)).is_none());
    placer.record_broken(Time::from_ms(10_000), "engine-01");
    let last_state = |placer: &mut Placer| placer.take_warmup_changes().pop().map(|c| c.state);
    assert_eq!(last_state(&mut placer), Some(State::Unconfirmed));
    let mut restarted = placer.clone();
    // The report of an answer that was sent before the event takes some time.
    placer.record_first_event(Time::from_ms(10_050), key(1));
    assert_eq!(last_state(&mut placer), None);
    placer.record_end(
        Time::from_ms(10_150),
        key(1),
        Outcome::Answered { failed: false },
    );
    assert_eq!(last_state(&mut placer), Some(State::Warm));
    // An answer to a later request does not show that the server is the same one.
    assert!(refusal(&place(&mut restarted, 10_100, 2)).is_none());
    restarted.record_first_event(Time::from_ms(10_200), key(2));
    assert_eq!(last_state(&mut restarted), None);
}
