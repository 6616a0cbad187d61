//! The exchange between hosts and owners, from real dispatchers and allocators in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_schedule::allocator::{self, Allocator, Support};
use primrose_schedule::dispatcher::{self, Action, Dispatcher};
use primrose_schedule::ledger::Origin;
use primrose_schedule::message::{Answer, Lease, Report, Row, Sum, Summary, Usage};
use primrose_schedule::queue::Request;
use primrose_schedule::settings::Settings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::Failure;
use crate::meter::{Traffic, processor_ns, resident_bytes, timed};

const INCARNATION: u64 = 1_700_000_000_000;
const POOLS: u32 = 6;
const INPUT_TOKENS: u64 = 85;
/// With the input tokens 385 on average, the 5 million tokens/s of 13,000 requests/s.
const OUTPUT_TOKENS: std::ops::Range<u64> = 100..501;
const MS_PER_TOKEN: u64 = 20;
const FLOW_MS: u64 = 500;
const DELAY_MS: u64 = 2;
const REMOTE_DELAY_MS: u64 = 10;
/// Requests that a backlogged account keeps waiting at each of its hosts.
const DEPTH: usize = 8;
/// Two requests long, so that few of the requests that started together at the beginning are left.
const WARM_UP_MS: u64 = 15_000;
const SPAN_MS: u64 = 8_000;
const SAMPLE_MS: u64 = 100;

/// One fleet.
#[derive(Clone, Copy, Debug)]
struct Plan {
    domains: usize,
    /// Per domain.
    hosts: usize,
    /// Per domain.
    servers: usize,
    slots: u32,
    accounts: u32,
    backlogged: u32,
    /// Hosts of each account; requests of an account arrive at these only.
    homes: usize,
    /// Requests/s that arrive at each host from accounts that are not backlogged.
    rate: f64,
    /// Time between two regular reports of a host to an owner, in ms.
    exchange_ms: u64,
    /// Least time between two reports of a host to an owner, in ms.
    urgent_ms: u64,
    /// Whether an owner sends a host the figures of the accounts that have the host as a home, and no others.
    filtered: bool,
}

/// 61 hosts of one domain have 209 servers at the target size, and 19.4 requests/s arrive at each host. A third of that
/// comes from accounts that are not backlogged.
const BASE: Plan = Plan {
    domains: 1,
    hosts: 12,
    servers: 41,
    slots: 36,
    accounts: 376,
    backlogged: 38,
    homes: 1,
    rate: 6.5,
    exchange_ms: 500,
    urgent_ms: 20,
    filtered: false,
};

enum Event {
    Arrive,
    Flow(usize, u64, u64),
    Finish(usize, u64, u64),
    Report(usize, Report),
    Answer(usize, id::Host, Answer),
    WakeHost(usize),
    WakeOwner(usize),
}

#[derive(Default)]
struct Tally {
    reports: Traffic,
    answers: Traffic,
    dispatcher_ns: u64,
    allocator_ns: u64,
    dispatched: u64,
    most_reports: usize,
}

struct Fleet {
    plan: Plan,
    rng: StdRng,
    hosts: Vec<Dispatcher>,
    owners: Vec<Allocator>,
    host_wakes: Vec<u64>,
    owner_wakes: Vec<u64>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    number: u64,
    request: u64,
    /// Account of each request, by number.
    accounts: Vec<u32>,
    now: u64,
    tally: Tally,
}

fn domain(number: usize) -> Result<Name, Failure> {
    Ok(Name::new(&format!("domain-{number:02}"))?)
}

impl Fleet {
    fn new(plan: Plan, seed: u64) -> Result<Fleet, Failure> {
        let names: Result<Vec<Name>, Failure> = (0..plan.domains).map(domain).collect();
        let names = names?;
        let servers = (0..plan.domains * plan.servers).map(|server| dispatcher::Server {
            server: id::Server(server as u32),
            pool: id::Pool(server as u32 % POOLS),
            domain: names[server / plan.servers].clone(),
        });
        let servers: Vec<dispatcher::Server> = servers.collect();
        let settings = Settings {
            exchange_ms: plan.exchange_ms,
            urgent_ms: plan.urgent_ms,
            ..Settings::default()
        };
        let mut hosts = Vec::new();
        for number in 0..plan.domains * plan.hosts {
            let origin = Origin {
                host: id::Host(number as u32),
                incarnation: INCARNATION,
            };
            let home = names[number / plan.hosts].clone();
            let mut host = Dispatcher::new(origin, home, settings.clone());
            host.set_servers(Time::ZERO, &servers);
            for (at, name) in names.iter().enumerate() {
                let owner = id::Host((at * plan.hosts) as u32);
                host.set_owner(Time::ZERO, name, Some(owner));
            }
            hosts.push(host);
        }
        let mut owners = Vec::new();
        for number in 0..plan.domains {
            let mut owner = Allocator::new(Time::ZERO, INCARNATION, settings.clone());
            owner.set_support(Support {
                supporters: plan.hosts as u32,
                hosts: plan.hosts as u32,
            });
            let own = &servers[number * plan.servers..(number + 1) * plan.servers];
            let own = own.iter().map(|server| allocator::Server {
                server: server.server,
                pool: server.pool,
                limit: plan.slots,
                leaving: false,
            });
            owner.set_servers(&own.collect::<Vec<_>>());
            owners.push(owner);
        }
        let mut fleet = Fleet {
            plan,
            rng: StdRng::seed_from_u64(seed),
            host_wakes: vec![u64::MAX; hosts.len()],
            owner_wakes: vec![u64::MAX; owners.len()],
            hosts,
            owners,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            number: 0,
            request: 0,
            accounts: Vec::new(),
            now: 0,
            tally: Tally::default(),
        };
        fleet.start();
        Ok(fleet)
    }

    fn start(&mut self) {
        for account in 0..self.plan.backlogged {
            for home in 0..self.plan.homes {
                for _ in 0..DEPTH {
                    let host = self.home(account, home);
                    self.arrive(host, account);
                }
            }
        }
        self.push(1, Event::Arrive);
        for host in 0..self.hosts.len() {
            let phase = self.rng.random_range(1..500);
            self.wake_host(host, phase);
        }
        for owner in 0..self.owners.len() {
            self.wake_owner(owner, 1);
        }
    }

    /// Consecutive accounts are at different hosts, so that each host has some of every pool.
    fn home(&self, account: u32, at: usize) -> usize {
        // No plan has a multiple of 5 hosts, so the homes of an account differ as long as there are enough hosts.
        (account as usize + at * 5) % self.hosts.len()
    }

    fn push(&mut self, at: u64, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.number += 1;
        self.queue.push(Reverse((at, self.number, slot)));
    }

    fn wake_host(&mut self, host: usize, at: u64) {
        let at = at.max(self.now + 1);
        if at < self.host_wakes[host] {
            self.host_wakes[host] = at;
            self.push(at, Event::WakeHost(host));
        }
    }

    fn wake_owner(&mut self, owner: usize, at: u64) {
        let at = at.max(self.now + 1);
        if at < self.owner_wakes[owner] {
            self.owner_wakes[owner] = at;
            self.push(at, Event::WakeOwner(owner));
        }
    }

    fn arrive(&mut self, host: usize, account: u32) {
        let id = self.request;
        self.request += 1;
        self.accounts.push(account);
        let now = Time::from_ms(self.now);
        let request = Request {
            id,
            account: id::Account(account),
            // Both at one host and over the hosts, consecutive accounts use different pools.
            pool: id::Pool((account / self.hosts.len() as u32 + account) % POOLS),
            estimate: INPUT_TOKENS + 2 * 300,
            deadline: now.plus_ms(60_000),
            affinity: id,
        };
        let dispatcher = &mut self.hosts[host];
        timed(&mut self.tally.dispatcher_ns, || {
            dispatcher.enqueue(now, request)
        });
    }

    fn run(&mut self, ms: u64) -> Result<(), Failure> {
        let end = self.now + ms;
        while self.queue.peek().is_some_and(|entry| entry.0.0 < end) {
            let Some(Reverse((at, _, slot))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.free.push(slot);
            if let Some(event) = self.events[slot].take() {
                self.handle(event)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<(), Failure> {
        let now = Time::from_ms(self.now);
        match event {
            Event::Arrive => {
                let rate = self.plan.rate * self.hosts.len() as f64;
                let account = self
                    .rng
                    .random_range(self.plan.backlogged..self.plan.accounts);
                let home = self.rng.random_range(0..self.plan.homes);
                let host = self.home(account, home);
                self.arrive(host, account);
                // Several arrivals in a millisecond are possible, as times are rounded down.
                let unit: f64 = self.rng.random();
                let gap = -(1.0 - unit).ln() * 1e3 / rate;
                let early: f64 = self.rng.random();
                self.push(self.now + (gap + early) as u64, Event::Arrive);
                self.poll_host(host)?;
            }
            Event::Flow(host, request, total) => {
                let dispatcher = &mut self.hosts[host];
                timed(&mut self.tally.dispatcher_ns, || {
                    dispatcher.record_progress(request, total)
                });
            }
            Event::Finish(host, request, charge) => {
                let dispatcher = &mut self.hosts[host];
                timed(&mut self.tally.dispatcher_ns, || {
                    dispatcher.finish(now, request, charge)
                });
                self.poll_host(host)?;
            }
            Event::Report(owner, report) => {
                let allocator = &mut self.owners[owner];
                timed(&mut self.tally.allocator_ns, || {
                    allocator.report(now, &report)
                });
                self.poll_owner(owner)?;
            }
            Event::Answer(host, from, answer) => {
                let dispatcher = &mut self.hosts[host];
                timed(&mut self.tally.dispatcher_ns, || {
                    dispatcher.answer(now, from, &answer)
                });
                self.poll_host(host)?;
            }
            Event::WakeHost(host) if self.host_wakes[host] <= self.now => self.poll_host(host)?,
            Event::WakeOwner(owner) if self.owner_wakes[owner] <= self.now => {
                self.poll_owner(owner)?;
            }
            Event::WakeHost(_) | Event::WakeOwner(_) => {}
        }
        Ok(())
    }

    fn delay(&self, host: usize, owner: usize) -> u64 {
        match host / self.plan.hosts == owner {
            true => DELAY_MS,
            false => REMOTE_DELAY_MS,
        }
    }

    fn poll_host(&mut self, host: usize) -> Result<(), Failure> {
        let now = Time::from_ms(self.now);
        let dispatcher = &mut self.hosts[host];
        let (actions, wake) = timed(&mut self.tally.dispatcher_ns, || {
            let actions = dispatcher.poll(now, |_, candidates| candidates[0].server);
            (actions, dispatcher.next_wake(now))
        });
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Dispatch { request, .. } => starts.push(request),
                Action::Refuse { .. } => {}
                Action::Send { to, report } => {
                    let encoded = postcard::to_stdvec(&report)?.len();
                    self.tally.reports.add(encoded);
                    self.tally.most_reports = self.tally.most_reports.max(encoded);
                    let owner = to.0 as usize / self.plan.hosts;
                    let at = self.now + self.delay(host, owner);
                    self.push(at, Event::Report(owner, report));
                }
            }
        }
        self.host_wakes[host] = u64::MAX;
        self.wake_host(host, wake.as_ms());
        for request in starts {
            self.dispatch(host, request);
        }
        Ok(())
    }

    fn dispatch(&mut self, host: usize, request: u64) {
        self.tally.dispatched += 1;
        let account = self.accounts[request as usize];
        let tokens = self.rng.random_range(OUTPUT_TOKENS);
        let end = tokens * MS_PER_TOKEN;
        for at in (FLOW_MS..end).step_by(FLOW_MS as usize) {
            let total = INPUT_TOKENS + 2 * at / MS_PER_TOKEN;
            self.push(self.now + at, Event::Flow(host, request, total));
        }
        let charge = INPUT_TOKENS + 2 * tokens;
        self.push(self.now + end, Event::Finish(host, request, charge));
        if account < self.plan.backlogged {
            self.arrive(host, account);
            self.wake_host(host, self.now + 1);
        }
    }

    fn poll_owner(&mut self, owner: usize) -> Result<(), Failure> {
        let now = Time::from_ms(self.now);
        let allocator = &mut self.owners[owner];
        let (pushes, wake) = timed(&mut self.tally.allocator_ns, || {
            (allocator.poll(now), allocator.next_wake(now))
        });
        for mut push in pushes {
            if self.plan.filtered {
                self.filter(&mut push);
            }
            self.tally
                .answers
                .add(postcard::to_stdvec(&push.answer)?.len());
            let to = push.to.0 as usize;
            let from = id::Host((owner * self.plan.hosts) as u32);
            let at = self.now + self.delay(to, owner);
            self.push(at, Event::Answer(to, from, push.answer));
        }
        self.owner_wakes[owner] = u64::MAX;
        self.wake_owner(owner, wake.as_ms());
        Ok(())
    }
}

impl Fleet {
    /// Removes the figures of accounts that have no home at the receiver.
    fn filter(&self, push: &mut allocator::Envelope) {
        let host = push.to.0 as usize;
        let is_home = |account: id::Account| {
            (0..self.plan.homes).any(|home| self.home(account.0, home) == host)
        };
        for summary in &mut push.answer.pools {
            summary.sums.retain(|sum| is_home(sum.account));
            summary.offsets.retain(|offset| is_home(offset.account));
        }
    }

    /// Runs for `ms` and returns the part of the slots that were busy, in percent.
    fn run_sampled(&mut self, ms: u64) -> Result<f64, Failure> {
        let mut busy = 0;
        for _ in 0..ms / SAMPLE_MS {
            self.run(SAMPLE_MS)?;
            let running = self.hosts.iter().map(Dispatcher::in_flight_total);
            busy += running.sum::<usize>();
        }
        let slots = self.plan.domains * self.plan.servers * self.plan.slots as usize;
        Ok(100.0 * busy as f64 / (ms / SAMPLE_MS) as f64 / slots as f64)
    }
}

fn print(label: &str, plan: Plan, seed: u64) -> Result<(), Failure> {
    let mut fleet = Fleet::new(plan, seed)?;
    fleet.run(WARM_UP_MS)?;
    fleet.tally = Tally::default();
    let busy = fleet.run_sampled(SPAN_MS)?;
    let tally = &fleet.tally;
    let hosts = fleet.hosts.len() as f64;
    let owners = fleet.owners.len() as f64;
    let seconds = SPAN_MS as f64 / 1e3;
    let each = |value: u64, count: f64| value as f64 / seconds / count;
    println!(
        "{label}: {:.1} requests/s per host, {busy:.1}% of the slots busy; host: {:.1} reports/s, {:.0} bytes/s, longest {} bytes, {:.0} us/s; owner: {:.1} \
         answers/s, {:.0} bytes/s, {:.0} us/s",
        each(tally.dispatched, hosts),
        each(tally.reports.messages, hosts),
        each(tally.reports.bytes, hosts),
        tally.most_reports,
        each(tally.dispatcher_ns, hosts) / 1e3,
        each(tally.answers.messages, owners),
        each(tally.answers.bytes, owners),
        each(tally.allocator_ns, owners) / 1e3,
    );
    Ok(())
}

/// Cost per host and per owner; one quantity grows at a time.
pub(crate) fn measure(seed: u64) -> Result<(), Failure> {
    println!("\n# exchange: with headers, owners and hosts apart");
    for hosts in [6, 12, 24, 61] {
        let scale = |value: usize| value * hosts / 12;
        let plan = Plan {
            hosts,
            servers: scale(41),
            accounts: scale(376) as u32,
            backlogged: scale(38) as u32,
            ..BASE
        };
        print(&format!("{hosts} hosts in the domain"), plan, seed)?;
    }
    for accounts in [188, 376, 752, 1_504] {
        let plan = Plan { accounts, ..BASE };
        print(&format!("{accounts} accounts"), plan, seed)?;
    }
    for backlogged in [12, 38, 76, 152, 304] {
        let plan = Plan { backlogged, ..BASE };
        print(&format!("{backlogged} backlogged"), plan, seed)?;
    }
    for homes in [1, 2, 4, 12] {
        let plan = Plan { homes, ..BASE };
        print(&format!("{homes} hosts per account"), plan, seed)?;
    }
    for servers in [20, 41, 82] {
        // The same number of slots on more servers.
        let slots = (41 * 36 / servers) as u32;
        let plan = Plan {
            servers,
            slots,
            ..BASE
        };
        print(&format!("{servers} servers"), plan, seed)?;
    }
    for part in [2, 4, 8, 12] {
        let plan = Plan {
            slots: 3 * part,
            rate: 6.5 * f64::from(part) / 12.0,
            ..BASE
        };
        print(&format!("{} slots per server", 3 * part), plan, seed)?;
    }
    for domains in [1, 3, 6, 11] {
        let plan = Plan {
            domains,
            hosts: 4,
            servers: 14,
            accounts: 125 * domains as u32,
            backlogged: 13 * domains as u32,
            ..BASE
        };
        print(&format!("{domains} domains of 4 hosts"), plan, seed)?;
    }
    measure_flow(seed)
}

/// Groups of hosts with an owner of their own, with rarer reports and filtered answers.
pub(crate) fn measure_cells(seed: u64) -> Result<(), Failure> {
    println!("\n# cells: as the exchange, at other intervals");
    let variants = [
        (3, 500, 20, true),
        (3, 500, 250, true),
        (3, 500, 500, false),
        (3, 500, 500, true),
        (1, 500, 500, true),
        (2, 1_000, 1_000, true),
        (1, 1_000, 1_000, true),
    ];
    for (homes, exchange_ms, urgent_ms, filtered) in variants {
        for (hosts, servers) in [(4, 14), (6, 21), (12, 41), (61, 209)] {
            let plan = Plan {
                hosts,
                servers,
                accounts: hosts as u32 * 31,
                backlogged: hosts as u32 * 31 / 10,
                homes,
                exchange_ms,
                urgent_ms,
                filtered,
                ..BASE
            };
            let label = format!(
                "{hosts} hosts, {homes} per account, reports every {exchange_ms} ms and {urgent_ms} ms apart, filtered \
                 {filtered}"
            );
            print(&label, plan, seed)?;
        }
    }
    Ok(())
}

/// Processor time of one token at a host with many requests in flight.
fn measure_flow(seed: u64) -> Result<(), Failure> {
    let mut fleet = Fleet::new(BASE, seed)?;
    fleet.run(WARM_UP_MS)?;
    let host = &mut fleet.hosts[1];
    let own = (0..fleet.request).filter(|&request| host.account_in_flight(request).is_some());
    let own: Vec<u64> = own.collect();
    const ROUNDS: u64 = 1_000;
    let start = processor_ns();
    for round in 0..ROUNDS {
        for &request in &own {
            host.record_progress(request, 10_000 + round);
        }
    }
    let used_ns = processor_ns() - start;
    let calls = ROUNDS * own.len() as u64;
    println!(
        "one flow with {} requests in flight: {} ns",
        own.len(),
        used_ns / calls
    );
    Ok(())
}

/// Resident memory per account of a host, and per account and host of an owner; one pool.
pub(crate) fn measure_memory() -> Result<(), Failure> {
    println!("\n# ledger: resident memory, one pool");
    let mut kept = (Vec::new(), Vec::new());
    for accounts in [21_000, 42_000, 84_000] {
        let before = resident_bytes()?;
        let host = full_host(accounts)?;
        let used = resident_bytes()?.saturating_sub(before);
        println!(
            "host, {accounts} accounts: {} bytes each",
            used / u64::from(accounts)
        );
        kept.0.push(host);
    }
    for (accounts, hosts) in [(21_000, 1), (21_000, 2), (21_000, 4), (2_100, 61)] {
        let before = resident_bytes()?;
        let mut owner = Allocator::new(Time::ZERO, INCARNATION, Settings::default());
        for host in 0..hosts {
            owner.report(Time::from_ms(1), &full_report(host, accounts));
        }
        let used = resident_bytes()?.saturating_sub(before);
        println!(
            "owner, {accounts} accounts at {hosts} hosts each: {} bytes per account, {} KiB in all",
            used / u64::from(accounts),
            used >> 10
        );
        kept.1.push(owner);
    }
    black_box(&kept);
    Ok(())
}

fn full_host(accounts: u32) -> Result<Dispatcher, Failure> {
    let owner = id::Host(0);
    let origin = Origin {
        host: id::Host(1),
        incarnation: INCARNATION,
    };
    let home = domain(0)?;
    let mut host = Dispatcher::new(origin, home.clone(), Settings::default());
    let server = dispatcher::Server {
        server: id::Server(0),
        pool: id::Pool(0),
        domain: home.clone(),
    };
    host.set_servers(Time::ZERO, &[server]);
    host.set_owner(Time::ZERO, &home, Some(owner));
    let sums = (0..accounts).map(|account| Sum {
        account: id::Account(account),
        charge: 1_000_000,
        in_flight_and_waiting: 1,
    });
    let summary = Summary {
        pool: id::Pool(0),
        virtual_time: 1,
        remote_minimum: None,
        sums: sums.collect(),
        offsets: Vec::new(),
    };
    let answer = Answer {
        host_incarnation: INCARNATION,
        incarnation: INCARNATION,
        number: 1,
        epoch: 1,
        renewed_from: None,
        acknowledged_report: 0,
        has_sums: true,
        pools: vec![summary],
        grants: Vec::new(),
        retired: Vec::new(),
    };
    host.answer(Time::from_ms(1), owner, &answer);
    let known = host.snapshot().pools.iter().map(|p| p.accounts.len()).sum();
    match accounts as usize == known {
        true => Ok(host),
        false => Err("the host did not take the answer".into()),
    }
}

fn full_report(host: u32, accounts: u32) -> Report {
    let rows = (0..accounts).map(|account| Row {
        account: id::Account(account),
        charge: 1_000_000,
        in_flight: 1_000,
        waiting: 1,
        estimate: 685,
        age_s: 1,
    });
    Report {
        host: id::Host(host),
        incarnation: INCARNATION,
        number: 1,
        owner_incarnation: 0,
        lease: Lease::None,
        sent: Time::from_ms(1),
        acknowledged_answer: 0,
        acknowledged_sums: None,
        pools: vec![Usage {
            pool: id::Pool(0),
            virtual_time: 1,
            accounts: rows.collect(),
            offsets: Vec::new(),
        }],
        slots: Vec::new(),
        retired: Vec::new(),
    }
}
