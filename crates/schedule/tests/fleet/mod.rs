//! Simulation of a fleet in virtual time: real dispatchers and allocators, simulated engines, and a network that
//! loses, duplicates and reorders messages.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_model::engine::{self, Work};
use primrose_model::timeline;
use primrose_schedule::allocator::{self, Allocator, Support};
use primrose_schedule::dispatcher::{self, Action, Dispatcher};
use primrose_schedule::ledger::{Origin, Share};
use primrose_schedule::message::{Answer, Report};
use primrose_schedule::queue::Request;
use primrose_schedule::settings::Settings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const POOL: id::Pool = id::Pool(1);
/// Interval at which utilisation and service gaps are sampled.
const SAMPLE_MS: u64 = 50;
/// Time from the failure of an owner until membership has replaced it.
const DETECTION_MS: u64 = 3_000;

/// Size of the fleet, its settings and the faults of its network.
#[derive(Clone)]
pub struct Plan {
    pub seed: u64,
    pub settings: Settings,
    pub domains: usize,
    pub hosts_per_domain: usize,
    pub servers: usize,
    /// Slots of each server.
    pub slots: u32,
    /// One share per account.
    pub shares: Vec<u64>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplication: f64,
    /// Greatest random delay of a message, in addition to the fixed one.
    pub jitter_ms: u64,
    /// Output tokens that callers expect, drawn from this range independently of the actual length of the answer.
    pub hint: std::ops::Range<u64>,
    pub max_tokens: u64,
}

impl Plan {
    /// A fleet of 9 hosts in 3 failure domains with 160 slots and a reliable network.
    pub fn standard(seed: u64) -> Plan {
        Plan {
            seed,
            settings: Settings::default(),
            domains: 3,
            hosts_per_domain: 3,
            servers: 20,
            slots: 8,
            shares: vec![4, 4, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1],
            loss: 0.0,
            duplication: 0.0,
            jitter_ms: 0,
            hint: 50..800,
            max_tokens: 4_000,
        }
    }

    /// Like [`Plan::standard`], with 24 slots, 4 accounts and short answers.
    pub fn small(seed: u64) -> Plan {
        Plan {
            servers: 6,
            slots: 4,
            max_tokens: 200,
            shares: vec![2, 1, 1, 1],
            ..Plan::standard(seed)
        }
    }
}

/// Keeps `depth` requests of an account waiting at one host, from `from_ms` until `until_ms`.
#[derive(Clone, Copy)]
pub struct Load {
    pub account: usize,
    pub host: usize,
    pub depth: usize,
    pub from_ms: u64,
    pub until_ms: u64,
}

/// A message that arrives, a chunk of an answer, or a change of owner.
enum Event {
    Report {
        to: usize,
        report: Report,
    },
    Answer {
        from: usize,
        to: usize,
        answer: Answer,
    },
    Chunk {
        run: u64,
    },
    Handover {
        domain: usize,
        owner: usize,
    },
}

/// A request that runs on an engine.
struct Run {
    id: u64,
    host: usize,
    account: usize,
    server: usize,
    answer: engine::Answer,
}

/// A request that waits at a host.
struct Queued {
    id: u64,
    host: usize,
    work: Work,
    since: u64,
}

pub struct Host {
    pub domain: usize,
    pub dispatcher: Dispatcher,
    pub allocator: Option<Allocator>,
    pub is_live: bool,
    pub is_frozen: bool,
    incarnation: u64,
    /// When the dispatcher must be polled next.
    wake: u64,
    /// When the allocator must be polled next.
    allocator_wake: u64,
    /// Requests that ended while the host was frozen, with their charge; the host has not read their ends yet.
    unread: Vec<(u64, u64)>,
}

/// Counts for one account over all hosts.
#[derive(Clone, Default)]
pub struct Tally {
    pub service: u64,
    pub dispatched: u64,
    pub expired: u64,
    pub running: u64,
    pub most_running: u64,
    pub longest_wait_ms: u64,
    pub backlogged_since: Option<u64>,
}

/// How far the normalised service of one account grows ahead of that of another while requests of both wait.
#[derive(Clone, Copy, Default)]
struct Pair {
    /// Since when requests of both accounts wait.
    since: Option<u64>,
    /// The lead at `since`.
    base: i64,
    /// The greatest increase of the lead after `since`.
    worst: u64,
}

pub struct Fleet {
    pub plan: Plan,
    pub now: u64,
    pub hosts: Vec<Host>,
    pub owners: Vec<usize>,
    pub loads: Vec<Load>,
    pub tallies: Vec<Tally>,
    pub largest_charge: u64,
    pub largest_estimate: u64,
    pub is_cut: Vec<bool>,
    pub leaving: Vec<bool>,
    /// When the last request was dispatched to each server.
    pub started_at: Vec<u64>,
    /// Number of slots summed over all samples in which a request waited.
    pub capacity: u64,
    /// Number of slots in use, summed over the same samples.
    pub used: u64,
    /// Utilisation and service gaps are sampled from this time on.
    pub measure_from: u64,
    pairs: Vec<Pair>,
    runs: Vec<Run>,
    events: timeline::Queue<Event>,
    queued: Vec<Queued>,
    next_request: u64,
    rng: StdRng,
}

fn domain_name(domain: usize) -> Name {
    Name::new(&format!("d{domain}")).expect("valid name")
}

impl Fleet {
    pub fn new(plan: Plan) -> Fleet {
        println!("seed {}", plan.seed);
        let count = plan.domains * plan.hosts_per_domain;
        let accounts = plan.shares.len();
        let mut fleet = Fleet {
            now: 1,
            hosts: Vec::new(),
            owners: (0..plan.domains)
                .map(|d| d * plan.hosts_per_domain)
                .collect(),
            loads: Vec::new(),
            tallies: vec![Tally::default(); accounts],
            largest_charge: 0,
            largest_estimate: 0,
            is_cut: vec![false; plan.domains],
            leaving: vec![false; plan.servers],
            started_at: vec![0; plan.servers],
            capacity: 0,
            used: 0,
            measure_from: 0,
            pairs: vec![Pair::default(); accounts * accounts],
            runs: Vec::new(),
            events: timeline::Queue::default(),
            queued: Vec::new(),
            next_request: 1,
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
        };
        for host in 0..count {
            let new = fleet.start_host(host, 1);
            fleet.hosts.push(new);
        }
        for domain in 0..fleet.plan.domains {
            fleet.set_owner(domain, fleet.owners[domain]);
        }
        fleet
    }

    fn domain_of_server(&self, server: usize) -> usize {
        server % self.plan.domains
    }

    fn shares(&self) -> Vec<Share> {
        let shares = self.plan.shares.iter().enumerate();
        let shares = shares.map(|(account, &share)| Share {
            account: id::Account(account as u32),
            share,
        });
        shares.collect()
    }

    fn start_host(&self, host: usize, incarnation: u64) -> Host {
        let now = Time::from_ms(self.now);
        let domain = host / self.plan.hosts_per_domain;
        let origin = Origin {
            host: id::Host(host as u32),
            incarnation,
        };
        let settings = self.plan.settings.clone();
        let mut dispatcher = Dispatcher::new(origin, domain_name(domain), settings);
        dispatcher.set_shares(&self.shares());
        let servers = (0..self.plan.servers).map(|server| dispatcher::Server {
            server: id::Server(server as u32),
            pool: POOL,
            domain: domain_name(self.domain_of_server(server)),
        });
        dispatcher.set_servers(now, &servers.collect::<Vec<_>>());
        for (domain, &owner) in self.owners.iter().enumerate() {
            let owner = Some(id::Host(owner as u32));
            dispatcher.set_owner(now, &domain_name(domain), owner);
        }
        Host {
            domain,
            dispatcher,
            allocator: None,
            is_live: true,
            is_frozen: false,
            incarnation,
            wake: 0,
            allocator_wake: 0,
            unread: Vec::new(),
        }
    }

    /// Makes `owner` the owner of `domain` at all hosts.
    ///
    /// If `owner` was the owner of the domain before and has not restarted, it uses its old allocator.
    pub fn set_owner(&mut self, domain: usize, owner: usize) {
        let now = Time::from_ms(self.now);
        let settings = self.plan.settings.clone();
        let old = self.hosts[owner].allocator.take();
        let new = || Allocator::new(now, 1_000_000 + self.now, settings);
        let mut allocator = old.unwrap_or_else(new);
        allocator.set_shares(&self.shares());
        let hosts = self.plan.hosts_per_domain as u32;
        allocator.set_support(Support {
            supporters: hosts,
            hosts,
        });
        let servers = (0..self.plan.servers).filter(|&s| self.domain_of_server(s) == domain);
        let servers = servers.map(|server| allocator::Server {
            server: id::Server(server as u32),
            pool: POOL,
            limit: self.plan.slots,
            leaving: self.leaving[server],
        });
        allocator.set_servers(&servers.collect::<Vec<_>>());
        let old = self.owners[domain];
        if old != owner
            && let Some(allocator) = &mut self.hosts[old].allocator
        {
            allocator.set_support(Support {
                supporters: 0,
                hosts,
            });
        }
        self.hosts[owner].allocator = Some(allocator);
        self.hosts[owner].allocator_wake = 0;
        self.owners[domain] = owner;
        for host in &mut self.hosts {
            let owner = Some(id::Host(owner as u32));
            host.dispatcher.set_owner(now, &domain_name(domain), owner);
            host.wake = 0;
        }
    }

    /// Adds a [`Load`] for the time range `at`, in ms.
    pub fn load(&mut self, account: usize, host: usize, depth: usize, at: std::ops::Range<u64>) {
        self.loads.push(Load {
            account,
            host,
            depth,
            from_ms: at.start,
            until_ms: at.end,
        });
    }

    /// Adds eight accounts with waiting requests: account 0 on all hosts, account 1 on one host, the others on two
    /// each.
    pub fn load_unevenly(&mut self) {
        for host in 0..9 {
            self.load(0, host, 20, 0..u64::MAX);
        }
        self.load(1, 4, 60, 0..u64::MAX);
        for account in 2..8 {
            self.load(account, account, 20, 0..u64::MAX);
            self.load(account, (account * 5 + 1) % 9, 20, 0..u64::MAX);
        }
    }

    /// Ends the process of a host. If it is an owner, another host of the domain replaces it later.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].is_live = false;
        self.hosts[host].allocator = None;
        self.abort_runs(|run| run.host == host);
        self.queued.retain(|queued| queued.host != host);
        self.replace_owner(host);
    }

    fn replace_owner(&mut self, host: usize) {
        let domain = self.hosts[host].domain;
        if self.owners[domain] != host {
            return;
        }
        let first = domain * self.plan.hosts_per_domain;
        let mut others = (first..first + self.plan.hosts_per_domain).filter(|&h| h != host);
        let owner = others.next().expect("the domain has another host");
        self.schedule(DETECTION_MS, Event::Handover { domain, owner });
    }

    /// Starts a new process of a host, without the state of the old one.
    pub fn restart(&mut self, host: usize) {
        if self.hosts[host].is_live {
            self.kill(host);
        }
        let incarnation = self.hosts[host].incarnation + 1;
        self.hosts[host] = self.start_host(host, incarnation);
    }

    /// Suspends the process of a host. If it is an owner, another host of the domain replaces it later.
    pub fn freeze(&mut self, host: usize) {
        self.hosts[host].is_frozen = true;
        self.replace_owner(host);
    }

    pub fn unfreeze(&mut self, host: usize) {
        self.hosts[host].is_frozen = false;
        let now = Time::from_ms(self.now);
        for (request, charge) in std::mem::take(&mut self.hosts[host].unread) {
            self.hosts[host].dispatcher.finish(now, request, charge);
        }
    }

    /// Separates a domain from the others by a network partition, which also breaks the connections to engines.
    pub fn cut(&mut self, domain: usize) {
        self.is_cut[domain] = true;
        let now = Time::from_ms(self.now);
        let domains = self.plan.domains;
        let hosts_per_domain = self.plan.hosts_per_domain;
        let broken =
            |run: &Run| (run.host / hosts_per_domain == domain) != (run.server % domains == domain);
        for run in self.abort_runs(broken) {
            self.hosts[run.host].dispatcher.cancel(now, run.id);
            self.hosts[run.host].wake = 0;
        }
    }

    pub fn heal(&mut self, domain: usize) {
        self.is_cut[domain] = false;
    }

    /// Marks a server as leaving.
    pub fn drain(&mut self, server: usize) {
        self.leaving[server] = true;
        let owner = self.owners[self.domain_of_server(server)];
        let host = &mut self.hosts[owner];
        host.allocator_wake = 0;
        if let Some(allocator) = &mut host.allocator {
            allocator.set_leaving(id::Server(server as u32), true);
        }
    }

    pub fn set_limit(&mut self, server: usize, limit: u32) {
        let host = &mut self.hosts[self.owners[server % self.plan.domains]];
        host.allocator_wake = 0;
        if let Some(allocator) = &mut host.allocator {
            allocator.set_limit(id::Server(server as u32), limit);
        }
    }

    fn abort_runs(&mut self, broken: impl Fn(&Run) -> bool) -> Vec<Run> {
        let dropped: Vec<Run> = self.runs.extract_if(.., |run| broken(run)).collect();
        for run in &dropped {
            self.tallies[run.account].running -= 1;
        }
        dropped
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push(self.now + delay, event);
    }

    /// Sends a message over the network, with the faults of the plan. Delays are rounded up to whole ms.
    fn send(&mut self, from: usize, to: usize, make: impl Fn() -> Event) {
        let (a, b) = (self.hosts[from].domain, self.hosts[to].domain);
        let is_cut = a != b && (self.is_cut[a] || self.is_cut[b]);
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.duplication));
        for _ in 0..copies {
            if is_cut || self.rng.random_bool(self.plan.loss) {
                continue;
            }
            let jitter = self.rng.random_range(0..=self.plan.jitter_ms);
            let delay = if a == b { 1 } else { 2 };
            self.schedule(delay + jitter, make());
        }
    }

    /// Adds a request of an account to the queue of a host and returns its id.
    pub fn arrive(&mut self, account: usize, host: usize, wait_ms: u64) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        let work = Work::draw(&mut self.rng, self.plan.max_tokens);
        let estimate = work.input + 2 * self.rng.random_range(self.plan.hint.clone());
        self.largest_estimate = self.largest_estimate.max(estimate);
        let request = Request {
            id,
            account: id::Account(account as u32),
            pool: POOL,
            estimate,
            deadline: Time::from_ms(self.now + wait_ms),
            affinity: id,
        };
        self.queued.push(Queued {
            id,
            host,
            work,
            since: self.now,
        });
        let now = Time::from_ms(self.now);
        self.hosts[host].dispatcher.enqueue(now, request);
        self.hosts[host].wake = 0;
        id
    }

    pub fn run_until(&mut self, until_ms: u64) {
        while self.now < until_ms {
            self.now = self.next_time().min(until_ms);
            self.step();
        }
    }

    /// Returns the time of the next event, poll or sample.
    fn next_time(&self) -> u64 {
        let running = self.hosts.iter().filter(|h| h.is_live && !h.is_frozen);
        let wakes = running.map(|host| match host.allocator {
            Some(_) => host.wake.min(host.allocator_wake),
            None => host.wake,
        });
        let event = self.events.next_at();
        let sample = (self.now / SAMPLE_MS + 1) * SAMPLE_MS;
        let next = wakes.chain(event).min().unwrap_or(sample);
        next.min(sample).max(self.now + 1)
    }

    fn step(&mut self) {
        while let Some(event) = self.events.pop_due(self.now) {
            self.handle(event);
        }
        self.refill_queues();
        for host in 0..self.hosts.len() {
            let is_running = self.hosts[host].is_live && !self.hosts[host].is_frozen;
            if is_running {
                self.poll_dispatcher(host);
                self.poll_allocator(host);
            }
        }
        if self.now.is_multiple_of(SAMPLE_MS) {
            self.sample();
        }
    }

    fn refill_queues(&mut self) {
        for at in 0..self.loads.len() {
            let load = self.loads[at];
            let is_on = (load.from_ms..load.until_ms).contains(&self.now);
            if !is_on || !self.hosts[load.host].is_live {
                continue;
            }
            let account = id::Account(load.account as u32);
            while self.hosts[load.host].dispatcher.waiting(POOL, account) < load.depth {
                self.arrive(load.account, load.host, 600_000);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Time::from_ms(self.now);
        match event {
            Event::Report { to, report } => {
                let host = &mut self.hosts[to];
                if host.is_live
                    && !host.is_frozen
                    && let Some(allocator) = &mut host.allocator
                {
                    allocator.report(now, &report);
                    host.allocator_wake = 0;
                }
            }
            Event::Answer { from, to, answer } => {
                let host = &mut self.hosts[to];
                if host.is_live && !host.is_frozen {
                    host.dispatcher.answer(now, id::Host(from as u32), &answer);
                    host.wake = 0;
                }
            }
            Event::Chunk { run } => self.receive_chunk(run),
            Event::Handover { domain, owner } => self.set_owner(domain, owner),
        }
    }

    fn receive_chunk(&mut self, run: u64) {
        let Ok(at) = self.runs.binary_search_by_key(&run, |r| r.id) else {
            return;
        };
        let now = Time::from_ms(self.now);
        let run = &mut self.runs[at];
        let chunk = run.answer.next_chunk();
        let (id, host, account, server) = (run.id, run.host, run.account, run.server);
        self.tallies[account].service += chunk.weighted_tokens;
        let host = &mut self.hosts[host];
        match (host.is_frozen, chunk.is_end) {
            (true, true) => host.unread.push((id, chunk.total)),
            (true, false) => {}
            (false, true) => host.dispatcher.finish(now, id, chunk.total),
            (false, false) => host.dispatcher.record_progress(id, chunk.total),
        }
        if chunk.is_end {
            host.wake = 0;
            self.runs.remove(at);
            self.tallies[account].running -= 1;
            self.largest_charge = self.largest_charge.max(chunk.total);
        } else {
            self.schedule(engine::chunk_interval_ms(server), Event::Chunk { run: id });
        }
    }

    fn poll_dispatcher(&mut self, at: usize) {
        if self.hosts[at].wake > self.now {
            return;
        }
        let now = Time::from_ms(self.now);
        let host = &mut self.hosts[at];
        let actions = host.dispatcher.poll(now, |request, candidates| {
            let at = request.affinity as usize % candidates.len();
            candidates[at].server
        });
        host.wake = host.dispatcher.next_wake(now).as_ms();
        for action in actions {
            match action {
                Action::Dispatch { request, server } => self.start(at, request, server),
                Action::Refuse { request, .. } => self.remove_queued(request),
                Action::Send { to, report } => {
                    let to = to.0 as usize;
                    self.send(at, to, || Event::Report {
                        to,
                        report: report.clone(),
                    });
                }
            }
        }
    }

    fn poll_allocator(&mut self, at: usize) {
        let now = Time::from_ms(self.now);
        let host = &mut self.hosts[at];
        let Some(allocator) = host
            .allocator
            .as_mut()
            .filter(|_| host.allocator_wake <= self.now)
        else {
            return;
        };
        let envelopes = allocator.poll(now);
        host.allocator_wake = allocator.next_wake(now).as_ms();
        for envelope in envelopes {
            let to = envelope.to.0 as usize;
            self.send(at, to, || Event::Answer {
                from: at,
                to,
                answer: envelope.answer.clone(),
            });
        }
    }

    fn remove_queued(&mut self, request: u64) {
        if let Some(at) = self.queued.iter().position(|queued| queued.id == request) {
            self.queued.swap_remove(at);
        }
    }

    fn start(&mut self, host: usize, request: u64, server: id::Server) {
        let at = self.queued.iter().position(|queued| queued.id == request);
        let queued = self.queued.swap_remove(at.expect("request is queued"));
        let id = queued.id;
        let server = server.0 as usize;
        let account = self.account_of(host, id);
        let tally = &mut self.tallies[account];
        tally.dispatched += 1;
        tally.running += 1;
        tally.most_running = tally.most_running.max(tally.running);
        tally.longest_wait_ms = tally.longest_wait_ms.max(self.now - queued.since);
        self.started_at[server] = self.now;
        let run = Run {
            id,
            host,
            account,
            server,
            answer: engine::Answer::new(queued.work),
        };
        let at = self.runs.binary_search_by_key(&id, |r| r.id);
        self.runs
            .insert(at.expect_err("request has not started before"), run);
        self.schedule(engine::FIRST_TOKEN_MS, Event::Chunk { run: id });
    }

    fn account_of(&self, host: usize, request: u64) -> usize {
        let account = self.hosts[host].dispatcher.account_in_flight(request);
        account.expect("request is in flight").0 as usize
    }

    pub fn running_on(&self, server: usize) -> u64 {
        self.runs.iter().filter(|r| r.server == server).count() as u64
    }

    fn is_waiting(&self, account: usize) -> bool {
        let account = id::Account(account as u32);
        let mut live = self.hosts.iter().filter(|h| h.is_live);
        live.any(|h| h.dispatcher.waiting(POOL, account) > 0)
    }

    fn sample(&mut self) {
        let waiting: Vec<bool> = (0..self.tallies.len())
            .map(|a| self.is_waiting(a))
            .collect();
        if self.now < self.measure_from {
            return;
        }
        if waiting.contains(&true) {
            for server in 0..self.plan.servers {
                if !self.leaving[server] {
                    self.capacity += u64::from(self.plan.slots);
                    self.used += self.running_on(server).min(u64::from(self.plan.slots));
                }
            }
        }
        let accounts = self.tallies.len();
        let normalised =
            |account: usize| (self.tallies[account].service / self.plan.shares[account]) as i64;
        for i in 0..accounts {
            for j in 0..accounts {
                let lead = normalised(i) - normalised(j);
                let pair = &mut self.pairs[i * accounts + j];
                if !waiting[i] || !waiting[j] {
                    pair.since = None;
                } else if pair.since.is_none() {
                    pair.since = Some(self.now);
                    pair.base = lead;
                } else {
                    pair.worst = pair.worst.max((lead - pair.base).max(0) as u64);
                }
            }
        }
    }

    /// Returns the utilisation of the slots while requests waited, in per mille.
    pub fn utilisation(&self) -> u64 {
        self.used * 1_000 / self.capacity.max(1)
    }

    /// Returns the bound of section 6 of the design page for the lead of account `i` over account `j`.
    pub fn gap_bound(&self, i: usize, j: usize) -> u64 {
        let settings = &self.plan.settings;
        let (share_i, share_j) = (self.plan.shares[i], self.plan.shares[j]);
        let slots = self.plan.servers as u64 * u64::from(self.plan.slots);
        // Weighted tokens per s: a slot produces one output token, which is two weighted tokens, every 20 ms, and
        // half as many are added for input tokens.
        let rate = slots * 150;
        let staleness_ms = settings.exchange_ms + 4 + 20 + settings.urgent_ms;
        let unknown = rate * staleness_ms / 1_000;
        let ahead = self.tallies[i].most_running * self.largest_charge;
        let charged = self.tallies[j].most_running * self.largest_estimate;
        settings.quantum + (ahead + unknown) / share_i + charged / share_j
    }

    /// Checks that the lead of every account over every other one is within its bound.
    pub fn check_gaps(&self) {
        let accounts = self.tallies.len();
        for i in 0..accounts {
            for j in 0..accounts {
                let gap = self.pairs[i * accounts + j].worst;
                let bound = self.gap_bound(i, j);
                assert!(
                    gap <= bound,
                    "lead of account {i} over account {j}: {gap}, more than the bound {bound}"
                );
            }
        }
    }

    /// Prints the measured service gap, utilisation and service.
    pub fn report(&self) {
        let worst = self.pairs.iter().map(|pair| pair.worst).max();
        println!("worst gap {worst:?}, utilisation {}", self.utilisation());
        for (account, tally) in self.tallies.iter().enumerate() {
            let (service, running) = (tally.service, tally.most_running);
            println!("account {account}: service {service}, most in flight {running}");
        }
    }

    /// Returns the slots of a server that its owner has leased.
    pub fn leased(&self, server: usize) -> u32 {
        let owner = self.owners[self.domain_of_server(server)];
        let allocator = self.hosts[owner].allocator.as_ref();
        allocator.map_or(0, |a| a.leased_total(id::Server(server as u32)))
    }

    /// Checks that no server has more requests in flight than slots.
    pub fn check_running(&self) {
        for server in 0..self.plan.servers {
            let running = self.running_on(server);
            let slots = u64::from(self.plan.slots);
            assert!(
                running <= slots,
                "server {server} with {slots} slots runs {running} requests"
            );
        }
    }

    /// Checks that no owner has leased more slots of a server than there are.
    pub fn check_leased_slots(&self) {
        for server in 0..self.plan.servers {
            let leased = self.leased(server);
            assert!(
                leased <= self.plan.slots,
                "server {server}: {leased} slots leased, more than it has"
            );
        }
    }
}
