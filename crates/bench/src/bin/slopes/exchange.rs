//! Measures the reports and answers between the hosts and the owners, with the dispatchers and allocators of
//! `primrose-schedule` in virtual time.

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
/// Input tokens of each request.
const INPUT_TOKENS: u64 = 85;
/// Output tokens of a request. Input and output are 385 tokens on average, which makes 5 million tokens/s at 13,000
/// requests/s.
const OUTPUT_TOKENS: std::ops::Range<u64> = 100..501;
/// Time between two output tokens of a request.
const MS_PER_TOKEN: u64 = 20;
/// Interval at which a host records the tokens of a running request.
const PROGRESS_MS: u64 = 500;
/// One-way network delay between a host and the owner of its own domain.
const DELAY_MS: u64 = 2;
/// One-way network delay between a host and the owner of another domain.
const REMOTE_DELAY_MS: u64 = 10;
/// Requests that a backlogged account keeps waiting at each of its hosts.
const BACKLOG_REQUESTS: usize = 8;
/// Time before a measurement. About twice the duration of a request, so that few of the requests that started
/// together at the beginning are left.
const WARM_UP_MS: u64 = 15_000;
/// Duration of a measurement.
const MEASUREMENT_MS: u64 = 8_000;
/// Interval between two samples of the busy slots.
const SAMPLE_MS: u64 = 100;

/// The size, load and settings of a simulated fleet.
#[derive(Clone, Copy, Debug)]
struct Parameters {
    domains: usize,
    /// Hosts of each domain.
    hosts: usize,
    /// Servers of each domain.
    servers: usize,
    /// Slots of each server.
    slots: u32,
    /// Accounts of the whole fleet.
    accounts: u32,
    /// Accounts that always have requests waiting; these have the lowest numbers.
    backlogged: u32,
    /// Number of hosts at which the requests of an account arrive.
    hosts_per_account: usize,
    /// Mean number of requests per second that arrive at each host from accounts that are not backlogged.
    rate: f64,
    /// Interval between regular reports of a host to an owner, in ms.
    exchange_ms: u64,
    /// Shortest interval between two reports of a host to an owner, in ms.
    urgent_ms: u64,
    /// Whether an owner sends a host the sums and offsets of only those accounts whose requests arrive at the host.
    filtered: bool,
}

/// The fleet of which the measurements vary one quantity: one domain with the servers and requests per host of the
/// target size. There a domain has 61 hosts and 209 servers, and 19.4 requests/s arrive at each host, a third of them
/// from accounts that are not backlogged.
const BASE: Parameters = Parameters {
    domains: 1,
    hosts: 12,
    servers: 41,
    slots: 36,
    accounts: 376,
    backlogged: 38,
    hosts_per_account: 1,
    rate: 6.5,
    exchange_ms: 500,
    urgent_ms: 20,
    filtered: false,
};

enum Event {
    /// A request of an account that is not backlogged arrives.
    Arrive,
    /// Tokens of a running request arrive: host, request and charge so far.
    Progress(usize, u64, u64),
    /// A request ends: host, request and charge.
    Finish(usize, u64, u64),
    /// A report arrives at the owner of this domain.
    Report(usize, Report),
    /// An answer arrives at a host: host, sender and answer.
    Answer(usize, id::Host, Answer),
    /// The dispatcher of this host must be polled.
    WakeDispatcher(usize),
    /// The allocator of this domain must be polled.
    WakeAllocator(usize),
}

/// Totals of a measurement over all hosts and owners.
#[derive(Default)]
struct Totals {
    reports: Traffic,
    answers: Traffic,
    /// Processor time of the dispatchers.
    dispatcher_ns: u64,
    /// Processor time of the allocators.
    allocator_ns: u64,
    /// Requests that started.
    dispatched: u64,
    /// Encoded size of the longest report.
    max_report_bytes: usize,
}

/// The dispatchers and allocators of a fleet, with simulated requests and a simulated network.
struct Fleet {
    parameters: Parameters,
    rng: StdRng,
    /// By host.
    dispatchers: Vec<Dispatcher>,
    /// By domain.
    allocators: Vec<Allocator>,
    /// Time at which each dispatcher must be polled next.
    dispatcher_wakes: Vec<u64>,
    /// Time at which each allocator must be polled next.
    allocator_wakes: Vec<u64>,
    /// Time, number and index in `events` of each pending event. Events with the same time are handled by number.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    /// Free indices of `events`.
    free: Vec<usize>,
    /// Number of the last event.
    last_event: u64,
    next_request: u64,
    /// Account of each request, by request.
    accounts: Vec<u32>,
    now_ms: u64,
    totals: Totals,
}

fn domain(number: usize) -> Result<Name, Failure> {
    Ok(Name::new(&format!("domain-{number:02}"))?)
}

impl Fleet {
    fn new(parameters: Parameters, seed: u64) -> Result<Fleet, Failure> {
        let names: Result<Vec<Name>, Failure> = (0..parameters.domains).map(domain).collect();
        let names = names?;
        let servers =
            (0..parameters.domains * parameters.servers).map(|server| dispatcher::Server {
                server: id::Server(server as u32),
                pool: id::Pool(server as u32 % POOLS),
                domain: names[server / parameters.servers].clone(),
            });
        let servers: Vec<dispatcher::Server> = servers.collect();
        let settings = Settings {
            exchange_ms: parameters.exchange_ms,
            urgent_ms: parameters.urgent_ms,
            ..Settings::default()
        };
        let mut dispatchers = Vec::new();
        for host in 0..parameters.domains * parameters.hosts {
            let origin = Origin {
                host: id::Host(host as u32),
                incarnation: INCARNATION,
            };
            let own_domain = names[host / parameters.hosts].clone();
            let mut dispatcher = Dispatcher::new(origin, own_domain, settings.clone());
            dispatcher.set_servers(Time::ZERO, &servers);
            for (at, name) in names.iter().enumerate() {
                let owner = id::Host((at * parameters.hosts) as u32);
                dispatcher.set_owner(Time::ZERO, name, Some(owner));
            }
            dispatchers.push(dispatcher);
        }
        let mut allocators = Vec::new();
        for domain in 0..parameters.domains {
            let mut allocator = Allocator::new(Time::ZERO, INCARNATION, settings.clone());
            allocator.set_support(Support {
                supporters: parameters.hosts as u32,
                hosts: parameters.hosts as u32,
            });
            let own = &servers[domain * parameters.servers..(domain + 1) * parameters.servers];
            let own = own.iter().map(|server| allocator::Server {
                server: server.server,
                pool: server.pool,
                limit: parameters.slots,
                leaving: false,
            });
            allocator.set_servers(&own.collect::<Vec<_>>());
            allocators.push(allocator);
        }
        let mut fleet = Fleet {
            parameters,
            rng: StdRng::seed_from_u64(seed),
            dispatcher_wakes: vec![u64::MAX; dispatchers.len()],
            allocator_wakes: vec![u64::MAX; allocators.len()],
            dispatchers,
            allocators,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            last_event: 0,
            next_request: 0,
            accounts: Vec::new(),
            now_ms: 0,
            totals: Totals::default(),
        };
        fleet.start();
        Ok(fleet)
    }

    /// Fills the backlogs and schedules the first events.
    fn start(&mut self) {
        for account in 0..self.parameters.backlogged {
            for at in 0..self.parameters.hosts_per_account {
                for _ in 0..BACKLOG_REQUESTS {
                    let host = self.host_of(account, at);
                    self.arrive(host, account);
                }
            }
        }
        self.push(1, Event::Arrive);
        for host in 0..self.dispatchers.len() {
            let at = self.rng.random_range(1..500);
            self.wake_dispatcher(host, at);
        }
        for domain in 0..self.allocators.len() {
            self.wake_allocator(domain, 1);
        }
    }

    /// Returns the `at`-th host at which requests of the account arrive. Consecutive accounts use different hosts, so
    /// that each host gets requests for every pool.
    fn host_of(&self, account: u32, at: usize) -> usize {
        // No fleet measured here has a multiple of 5 hosts, so the hosts of an account differ if there are enough.
        (account as usize + at * 5) % self.dispatchers.len()
    }

    fn push(&mut self, at: u64, event: Event) {
        let index = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[index] = Some(event);
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event, index)));
    }

    fn wake_dispatcher(&mut self, host: usize, at: u64) {
        let at = at.max(self.now_ms + 1);
        if at < self.dispatcher_wakes[host] {
            self.dispatcher_wakes[host] = at;
            self.push(at, Event::WakeDispatcher(host));
        }
    }

    fn wake_allocator(&mut self, domain: usize, at: u64) {
        let at = at.max(self.now_ms + 1);
        if at < self.allocator_wakes[domain] {
            self.allocator_wakes[domain] = at;
            self.push(at, Event::WakeAllocator(domain));
        }
    }

    fn arrive(&mut self, host: usize, account: u32) {
        let id = self.next_request;
        self.next_request += 1;
        self.accounts.push(account);
        let now = Time::from_ms(self.now_ms);
        let request = Request {
            id,
            account: id::Account(account),
            // Consecutive accounts use different pools, and so do consecutive accounts of one host.
            pool: id::Pool((account / self.dispatchers.len() as u32 + account) % POOLS),
            estimate: INPUT_TOKENS + 2 * 300,
            deadline: now.plus_ms(60_000),
            affinity: id,
        };
        let dispatcher = &mut self.dispatchers[host];
        timed(&mut self.totals.dispatcher_ns, || {
            dispatcher.enqueue(now, request)
        });
    }

    fn run(&mut self, duration_ms: u64) -> Result<(), Failure> {
        let end = self.now_ms + duration_ms;
        while self.queue.peek().is_some_and(|entry| entry.0.0 < end) {
            let Some(Reverse((at, _, index))) = self.queue.pop() else {
                break;
            };
            self.now_ms = at;
            self.free.push(index);
            if let Some(event) = self.events[index].take() {
                self.handle(event)?;
            }
        }
        self.now_ms = end;
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<(), Failure> {
        let now = Time::from_ms(self.now_ms);
        match event {
            Event::Arrive => {
                let rate = self.parameters.rate * self.dispatchers.len() as f64;
                let account = self
                    .rng
                    .random_range(self.parameters.backlogged..self.parameters.accounts);
                let at = self.rng.random_range(0..self.parameters.hosts_per_account);
                let host = self.host_of(account, at);
                self.arrive(host, account);
                // The interval is exponentially distributed. A random fraction of a millisecond is added before it is
                // rounded down, so that it keeps its mean. Several requests can arrive in the same millisecond.
                let uniform: f64 = self.rng.random();
                let interval_ms = -(1.0 - uniform).ln() * 1e3 / rate;
                let fraction: f64 = self.rng.random();
                self.push(self.now_ms + (interval_ms + fraction) as u64, Event::Arrive);
                self.poll_dispatcher(host)?;
            }
            Event::Progress(host, request, total) => {
                let dispatcher = &mut self.dispatchers[host];
                timed(&mut self.totals.dispatcher_ns, || {
                    dispatcher.record_progress(request, total)
                });
            }
            Event::Finish(host, request, charge) => {
                let dispatcher = &mut self.dispatchers[host];
                timed(&mut self.totals.dispatcher_ns, || {
                    dispatcher.finish(now, request, charge)
                });
                self.poll_dispatcher(host)?;
            }
            Event::Report(domain, report) => {
                let allocator = &mut self.allocators[domain];
                timed(&mut self.totals.allocator_ns, || {
                    allocator.report(now, &report)
                });
                self.poll_allocator(domain)?;
            }
            Event::Answer(host, from, answer) => {
                let dispatcher = &mut self.dispatchers[host];
                timed(&mut self.totals.dispatcher_ns, || {
                    dispatcher.answer(now, from, &answer)
                });
                self.poll_dispatcher(host)?;
            }
            Event::WakeDispatcher(host) if self.dispatcher_wakes[host] <= self.now_ms => {
                self.poll_dispatcher(host)?;
            }
            Event::WakeAllocator(domain) if self.allocator_wakes[domain] <= self.now_ms => {
                self.poll_allocator(domain)?;
            }
            Event::WakeDispatcher(_) | Event::WakeAllocator(_) => {}
        }
        Ok(())
    }

    /// One-way network delay between a host and the owner of a domain.
    fn delay_ms(&self, host: usize, domain: usize) -> u64 {
        match host / self.parameters.hosts == domain {
            true => DELAY_MS,
            false => REMOTE_DELAY_MS,
        }
    }

    fn poll_dispatcher(&mut self, host: usize) -> Result<(), Failure> {
        let now = Time::from_ms(self.now_ms);
        let dispatcher = &mut self.dispatchers[host];
        let (actions, wake) = timed(&mut self.totals.dispatcher_ns, || {
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
                    self.totals.reports.add(encoded);
                    self.totals.max_report_bytes = self.totals.max_report_bytes.max(encoded);
                    let domain = to.0 as usize / self.parameters.hosts;
                    let at = self.now_ms + self.delay_ms(host, domain);
                    self.push(at, Event::Report(domain, report));
                }
            }
        }
        self.dispatcher_wakes[host] = u64::MAX;
        self.wake_dispatcher(host, wake.as_ms());
        for request in starts {
            self.dispatch(host, request);
        }
        Ok(())
    }

    /// Starts a request and schedules its progress and its end. A backlogged account gets a new waiting request.
    fn dispatch(&mut self, host: usize, request: u64) {
        self.totals.dispatched += 1;
        let account = self.accounts[request as usize];
        let tokens = self.rng.random_range(OUTPUT_TOKENS);
        let end = tokens * MS_PER_TOKEN;
        for at in (PROGRESS_MS..end).step_by(PROGRESS_MS as usize) {
            let total = INPUT_TOKENS + 2 * at / MS_PER_TOKEN;
            self.push(self.now_ms + at, Event::Progress(host, request, total));
        }
        let charge = INPUT_TOKENS + 2 * tokens;
        self.push(self.now_ms + end, Event::Finish(host, request, charge));
        if account < self.parameters.backlogged {
            self.arrive(host, account);
            self.wake_dispatcher(host, self.now_ms + 1);
        }
    }

    fn poll_allocator(&mut self, domain: usize) -> Result<(), Failure> {
        let now = Time::from_ms(self.now_ms);
        let allocator = &mut self.allocators[domain];
        let (envelopes, wake) = timed(&mut self.totals.allocator_ns, || {
            (allocator.poll(now), allocator.next_wake(now))
        });
        for mut envelope in envelopes {
            if self.parameters.filtered {
                self.filter(&mut envelope);
            }
            self.totals
                .answers
                .add(postcard::to_stdvec(&envelope.answer)?.len());
            let to = envelope.to.0 as usize;
            let from = id::Host((domain * self.parameters.hosts) as u32);
            let at = self.now_ms + self.delay_ms(to, domain);
            self.push(at, Event::Answer(to, from, envelope.answer));
        }
        self.allocator_wakes[domain] = u64::MAX;
        self.wake_allocator(domain, wake.as_ms());
        Ok(())
    }
}

impl Fleet {
    /// Removes the sums and offsets of accounts whose requests do not arrive at the receiver.
    fn filter(&self, envelope: &mut allocator::Envelope) {
        let host = envelope.to.0 as usize;
        let arrives_here = |account: id::Account| {
            (0..self.parameters.hosts_per_account).any(|at| self.host_of(account.0, at) == host)
        };
        for summary in &mut envelope.answer.pools {
            summary.sums.retain(|sum| arrives_here(sum.account));
            summary
                .offsets
                .retain(|offset| arrives_here(offset.account));
        }
    }

    /// Runs for `duration_ms` and returns the mean percentage of the slots that were busy.
    fn run_sampled(&mut self, duration_ms: u64) -> Result<f64, Failure> {
        let mut busy = 0;
        for _ in 0..duration_ms / SAMPLE_MS {
            self.run(SAMPLE_MS)?;
            let running = self.dispatchers.iter().map(Dispatcher::in_flight_total);
            busy += running.sum::<usize>();
        }
        let slots =
            self.parameters.domains * self.parameters.servers * self.parameters.slots as usize;
        Ok(100.0 * busy as f64 / (duration_ms / SAMPLE_MS) as f64 / slots as f64)
    }
}

/// Measures one fleet and prints the result.
fn measure_fleet(label: &str, parameters: Parameters, seed: u64) -> Result<(), Failure> {
    let mut fleet = Fleet::new(parameters, seed)?;
    fleet.run(WARM_UP_MS)?;
    fleet.totals = Totals::default();
    let busy = fleet.run_sampled(MEASUREMENT_MS)?;
    let totals = &fleet.totals;
    let hosts = fleet.dispatchers.len() as f64;
    let owners = fleet.allocators.len() as f64;
    let seconds = MEASUREMENT_MS as f64 / 1e3;
    let rate_per = |value: u64, count: f64| value as f64 / seconds / count;
    println!(
        "{label}: {:.1} requests/s per host, {busy:.1}% of the slots busy; host: {:.1} reports/s, {:.0} bytes/s, longest {} bytes, {:.0} us/s; owner: {:.1} \
         answers/s, {:.0} bytes/s, {:.0} us/s",
        rate_per(totals.dispatched, hosts),
        rate_per(totals.reports.messages, hosts),
        rate_per(totals.reports.bytes, hosts),
        totals.max_report_bytes,
        rate_per(totals.dispatcher_ns, hosts) / 1e3,
        rate_per(totals.answers.messages, owners),
        rate_per(totals.answers.bytes, owners),
        rate_per(totals.allocator_ns, owners) / 1e3,
    );
    Ok(())
}

/// Prints the cost per host and per owner for fleets that differ from [`BASE`] in one quantity at a time.
pub(crate) fn measure(seed: u64) -> Result<(), Failure> {
    println!("\n# exchange: with headers, owners and hosts apart");
    for hosts in [6, 12, 24, 61] {
        let scale = |value: usize| value * hosts / 12;
        let parameters = Parameters {
            hosts,
            servers: scale(41),
            accounts: scale(376) as u32,
            backlogged: scale(38) as u32,
            ..BASE
        };
        measure_fleet(&format!("{hosts} hosts in the domain"), parameters, seed)?;
    }
    for accounts in [188, 376, 752, 1_504] {
        let parameters = Parameters { accounts, ..BASE };
        measure_fleet(&format!("{accounts} accounts"), parameters, seed)?;
    }
    for backlogged in [12, 38, 76, 152, 304] {
        let parameters = Parameters { backlogged, ..BASE };
        measure_fleet(&format!("{backlogged} backlogged"), parameters, seed)?;
    }
    for hosts_per_account in [1, 2, 4, 12] {
        let parameters = Parameters {
            hosts_per_account,
            ..BASE
        };
        let label = format!("{hosts_per_account} hosts per account");
        measure_fleet(&label, parameters, seed)?;
    }
    for servers in [20, 41, 82] {
        // The total number of slots stays the same.
        let slots = (41 * 36 / servers) as u32;
        let parameters = Parameters {
            servers,
            slots,
            ..BASE
        };
        measure_fleet(&format!("{servers} servers"), parameters, seed)?;
    }
    for part in [2, 4, 8, 12] {
        let parameters = Parameters {
            slots: 3 * part,
            rate: 6.5 * f64::from(part) / 12.0,
            ..BASE
        };
        measure_fleet(&format!("{} slots per server", 3 * part), parameters, seed)?;
    }
    for domains in [1, 3, 6, 11] {
        let parameters = Parameters {
            domains,
            hosts: 4,
            servers: 14,
            accounts: 125 * domains as u32,
            backlogged: 13 * domains as u32,
            ..BASE
        };
        measure_fleet(&format!("{domains} domains of 4 hosts"), parameters, seed)?;
    }
    measure_progress(seed)
}

/// Prints the cost per host and per owner for cells: groups of hosts with an owner of their own, with less frequent
/// reports and filtered answers.
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
    for (hosts_per_account, exchange_ms, urgent_ms, filtered) in variants {
        for (hosts, servers) in [(4, 14), (6, 21), (12, 41), (61, 209)] {
            let parameters = Parameters {
                hosts,
                servers,
                accounts: hosts as u32 * 31,
                backlogged: hosts as u32 * 31 / 10,
                hosts_per_account,
                exchange_ms,
                urgent_ms,
                filtered,
                ..BASE
            };
            let label = format!(
                "{hosts} hosts, {hosts_per_account} per account, reports every {exchange_ms} ms and {urgent_ms} ms apart, filtered \
                 {filtered}"
            );
            measure_fleet(&label, parameters, seed)?;
        }
    }
    Ok(())
}

/// Prints the processor time for recording the progress of one request at a host with many requests in flight.
fn measure_progress(seed: u64) -> Result<(), Failure> {
    let mut fleet = Fleet::new(BASE, seed)?;
    fleet.run(WARM_UP_MS)?;
    let host = &mut fleet.dispatchers[1];
    let in_flight =
        (0..fleet.next_request).filter(|&request| host.account_in_flight(request).is_some());
    let in_flight: Vec<u64> = in_flight.collect();
    const ROUNDS: u64 = 1_000;
    let start = processor_ns();
    for round in 0..ROUNDS {
        for &request in &in_flight {
            host.record_progress(request, 10_000 + round);
        }
    }
    let used_ns = processor_ns() - start;
    let calls = ROUNDS * in_flight.len() as u64;
    println!(
        "one flow with {} requests in flight: {} ns",
        in_flight.len(),
        used_ns / calls
    );
    Ok(())
}

/// Prints the resident memory per account of a dispatcher, and per account and host of an allocator, with one pool.
pub(crate) fn measure_memory() -> Result<(), Failure> {
    println!("\n# ledger: resident memory, one pool");
    // Dispatchers and allocators are not dropped, so that the next one does not reuse their memory, which would
    // distort the resident memory measured for it.
    let mut kept = (Vec::new(), Vec::new());
    for accounts in [21_000, 42_000, 84_000] {
        let before = resident_bytes()?;
        let dispatcher = dispatcher_with_accounts(accounts)?;
        let used = resident_bytes()?.saturating_sub(before);
        println!(
            "host, {accounts} accounts: {} bytes each",
            used / u64::from(accounts)
        );
        kept.0.push(dispatcher);
    }
    for (accounts, hosts) in [(21_000, 1), (21_000, 2), (21_000, 4), (2_100, 61)] {
        let before = resident_bytes()?;
        let mut allocator = Allocator::new(Time::ZERO, INCARNATION, Settings::default());
        for host in 0..hosts {
            allocator.report(Time::from_ms(1), &report_with_accounts(host, accounts));
        }
        let used = resident_bytes()?.saturating_sub(before);
        println!(
            "owner, {accounts} accounts at {hosts} hosts each: {} bytes per account, {} KiB in all",
            used / u64::from(accounts),
            used >> 10
        );
        kept.1.push(allocator);
    }
    black_box(&kept);
    Ok(())
}

/// Creates a dispatcher that has received an answer with the sums of `accounts` accounts.
fn dispatcher_with_accounts(accounts: u32) -> Result<Dispatcher, Failure> {
    let owner = id::Host(0);
    let origin = Origin {
        host: id::Host(1),
        incarnation: INCARNATION,
    };
    let domain = domain(0)?;
    let mut dispatcher = Dispatcher::new(origin, domain.clone(), Settings::default());
    let server = dispatcher::Server {
        server: id::Server(0),
        pool: id::Pool(0),
        domain: domain.clone(),
    };
    dispatcher.set_servers(Time::ZERO, &[server]);
    dispatcher.set_owner(Time::ZERO, &domain, Some(owner));
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
    dispatcher.answer(Time::from_ms(1), owner, &answer);
    let pools = dispatcher.snapshot().pools;
    let known = pools.iter().map(|p| p.accounts.len()).sum();
    match accounts as usize == known {
        true => Ok(dispatcher),
        false => Err(format!("the dispatcher has {known} of {accounts} accounts").into()),
    }
}

/// Creates the first report of a host, with a row for each of `accounts` accounts.
fn report_with_accounts(host: u32, accounts: u32) -> Report {
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
