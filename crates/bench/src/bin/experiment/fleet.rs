//! A simulation of one run in virtual time: the dispatchers and allocators of `primrose-schedule` or a baseline, with
//! a simulated engine and a simulated network.

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
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::baseline::{self, Job};
use crate::metrics::Metrics;
use crate::settings::{Deployment, FAULT_S, Policy, REPAIR_S, Scenario, Settings};

const POOL: id::Pool = id::Pool(1);
const SECOND_US: u64 = 1_000_000;
/// Interval between two samples of the metrics.
const SAMPLE_US: u64 = 50_000;
/// One-way network delay between hosts of one domain.
const WITHIN_DOMAIN_US: u64 = 200;
/// One-way network delay between hosts of different domains.
const ACROSS_DOMAINS_US: u64 = 1_500;
const MS_US: u64 = 1_000;
/// Maximum output tokens of a request.
const MAX_TOKENS: u64 = 4_000;
/// Time from the crash of an owner until another host becomes the owner.
const DETECTION_US: u64 = 3 * SECOND_US;
/// Requests that a backlogged account keeps waiting at each of its hosts.
const BACKLOG_REQUESTS: usize = 20;
/// Time between two requests of an account that is not backlogged. At this rate even the account with the smallest
/// share uses less than its share.
const ARRIVAL_INTERVAL_US: std::ops::Range<u64> = 8 * SECOND_US..16 * SECOND_US;
/// Size assumed for a message about one request, in bytes.
const REQUEST_MESSAGE_BYTES: usize = 24;

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
    /// The engine delivers a chunk of a running request.
    Chunk {
        job: u64,
    },
    /// A request from a queue of a baseline starts on the server.
    Start {
        job: Job,
        server: usize,
    },
    /// A slot that was granted for one request returns to the queue of the domain.
    ReturnSlot {
        server: usize,
    },
    ChangeOwner {
        domain: usize,
        owner: usize,
    },
    /// A request of an account that is not backlogged arrives.
    Arrival {
        account: usize,
    },
}

/// A request that runs on a server.
struct Execution {
    job: Job,
    server: usize,
    answer: engine::Answer,
}

struct Host {
    domain: usize,
    dispatcher: Dispatcher,
    allocator: Option<Allocator>,
    is_live: bool,
    is_frozen: bool,
    incarnation: u64,
    /// Time at which the dispatcher must be polled next.
    dispatcher_wake_us: u64,
    /// Time at which the allocator must be polled next, if the host is an owner.
    allocator_wake_us: u64,
    /// Requests that ended while the host was frozen, each with its charge.
    unprocessed_ends: Vec<(u64, u64)>,
    /// Counter with which the host chooses the server or the queue for each request in turn; used by baselines only.
    round_robin: usize,
}

impl Host {
    fn is_up(&self) -> bool {
        self.is_live && !self.is_frozen
    }
}

struct Server {
    domain: usize,
    running: u64,
    /// Slots that are in use as far as the queue of a baseline knows, including those whose grant or return is still
    /// in transit.
    taken: u64,
    is_leaving: bool,
    /// Times at which slots became free, oldest first.
    freed_us: Vec<u64>,
}

/// All hosts and servers of a deployment under one policy and one scenario.
pub(crate) struct Fleet<'a> {
    settings: &'a Settings,
    deployment: &'a Deployment,
    policy: Policy,
    scenario: Scenario,
    now_us: u64,
    pub(crate) metrics: Metrics,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    /// The queues of the baseline; empty for [`Policy::Ours`].
    queues: Vec<baseline::Queue>,
    /// The host that is the owner, by domain.
    owners: Vec<usize>,
    /// Requests that wait in dispatchers.
    jobs: Vec<Job>,
    /// Number of waiting requests, by account and host.
    waiting: Vec<Vec<usize>>,
    /// Number of requests that a backlogged account keeps waiting, by account and host; otherwise 0.
    backlog: Vec<Vec<usize>>,
    /// Time since which requests wait, as of the last sample; `None` if none waits.
    contended_since_us: Option<u64>,
    /// The domain that the network separates from the others.
    cut_domain: Option<usize>,
    /// Sorted by the identifier of the request.
    executions: Vec<Execution>,
    events: timeline::Queue<Event>,
    next_job: u64,
    arrivals: StdRng,
    network: StdRng,
}

fn domain_name(domain: usize) -> Name {
    Name::new(&format!("domain-{domain}")).unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl<'a> Fleet<'a> {
    pub(crate) fn new(
        settings: &'a Settings,
        deployment: &'a Deployment,
        policy: Policy,
        scenario: Scenario,
    ) -> Fleet<'a> {
        let hosts = deployment.domains * deployment.hosts_per_domain;
        let accounts = deployment.shares.len();
        let servers = (0..deployment.servers).map(|server| Server {
            domain: server % deployment.domains,
            running: 0,
            taken: 0,
            is_leaving: false,
            freed_us: Vec::new(),
        });
        let mut fleet = Fleet {
            settings,
            deployment,
            policy,
            scenario,
            now_us: 1_000,
            metrics: Metrics::new(&deployment.shares, hosts),
            hosts: Vec::new(),
            servers: servers.collect(),
            queues: baseline::Queue::for_policy(policy, deployment),
            owners: (0..deployment.domains)
                .map(|domain| domain * deployment.hosts_per_domain)
                .collect(),
            jobs: Vec::new(),
            waiting: vec![vec![0; hosts]; accounts],
            backlog: vec![vec![0; hosts]; accounts],
            contended_since_us: None,
            cut_domain: None,
            executions: Vec::new(),
            events: timeline::Queue::default(),
            next_job: 1,
            arrivals: StdRng::seed_from_u64(settings.seed),
            network: StdRng::seed_from_u64(settings.seed + 1),
        };
        for host in 0..hosts {
            let new = fleet.new_host(host, 1);
            fleet.hosts.push(new);
        }
        for domain in 0..deployment.domains {
            fleet.change_owner(domain, fleet.owners[domain]);
        }
        fleet.set_demand();
        fleet
    }

    /// Sets where requests arrive. Account 0 is backlogged at all hosts, account 1 at one, and the other accounts of
    /// the first half at up to two hosts each. The second half of the accounts sends single requests to random hosts.
    fn set_demand(&mut self) {
        let hosts = self.hosts.len();
        let accounts = self.deployment.shares.len();
        self.backlog[0].fill(BACKLOG_REQUESTS);
        self.backlog[1][4 % hosts] = 3 * BACKLOG_REQUESTS;
        for account in 2..accounts / 2 {
            self.backlog[account][account % hosts] = BACKLOG_REQUESTS;
            self.backlog[account][(account * 5 + 1) % hosts] = BACKLOG_REQUESTS;
        }
        for account in accounts / 2..accounts {
            self.schedule(SECOND_US, Event::Arrival { account });
        }
    }

    fn shares(&self) -> Vec<Share> {
        let shares = self.deployment.shares.iter().enumerate();
        let shares = shares.map(|(account, &share)| Share {
            account: id::Account(account as u32),
            share,
        });
        shares.collect()
    }

    fn time(&self) -> Time {
        Time::from_ms(self.now_us / 1_000)
    }

    fn new_host(&self, host: usize, incarnation: u64) -> Host {
        let domain = host / self.deployment.hosts_per_domain;
        let origin = Origin {
            host: id::Host(host as u32),
            // As large as a wall-clock time in ms, because the encoded length of a message depends on it.
            incarnation: 1_800_000_000_000 + incarnation,
        };
        let schedule = self.settings.schedule.clone();
        let mut dispatcher = Dispatcher::new(origin, domain_name(domain), schedule);
        dispatcher.set_shares(&self.shares());
        let servers = self.servers.iter().enumerate();
        let servers = servers.map(|(at, server)| dispatcher::Server {
            server: id::Server(at as u32),
            pool: POOL,
            domain: domain_name(server.domain),
        });
        dispatcher.set_servers(self.time(), &servers.collect::<Vec<_>>());
        for (domain, &owner) in self.owners.iter().enumerate() {
            let owner = Some(id::Host(owner as u32));
            dispatcher.set_owner(self.time(), &domain_name(domain), owner);
        }
        Host {
            domain,
            dispatcher,
            allocator: None,
            is_live: true,
            is_frozen: false,
            incarnation,
            dispatcher_wake_us: 0,
            allocator_wake_us: 0,
            unprocessed_ends: Vec::new(),
            round_robin: host,
        }
    }

    fn change_owner(&mut self, domain: usize, owner: usize) {
        let now = self.time();
        let schedule = self.settings.schedule.clone();
        let incarnation = 1_800_000_000_000 + now.as_ms();
        let mut allocator = Allocator::new(now, incarnation, schedule);
        allocator.set_shares(&self.shares());
        let hosts = self.deployment.hosts_per_domain as u32;
        let all = Support {
            supporters: hosts,
            hosts,
        };
        allocator.set_support(all);
        let servers = self.servers.iter().enumerate();
        let servers = servers.filter(|(_, server)| server.domain == domain);
        let servers = servers.map(|(at, server)| allocator::Server {
            server: id::Server(at as u32),
            pool: POOL,
            limit: self.deployment.slots,
            leaving: server.is_leaving,
        });
        allocator.set_servers(&servers.collect::<Vec<_>>());
        let old = std::mem::replace(&mut self.owners[domain], owner);
        if old != owner
            && let Some(allocator) = &mut self.hosts[old].allocator
        {
            allocator.set_support(Support {
                supporters: 0,
                hosts,
            });
        }
        self.hosts[owner].allocator = Some(allocator);
        self.hosts[owner].allocator_wake_us = 0;
        for host in &mut self.hosts {
            let owner = Some(id::Host(owner as u32));
            host.dispatcher.set_owner(now, &domain_name(domain), owner);
            host.dispatcher_wake_us = 0;
        }
        for queue in self.queues.iter_mut().filter(|queue| queue.host == old) {
            queue.host = owner;
        }
    }

    /// Runs the simulation for the duration in the settings.
    pub(crate) fn run(&mut self) {
        let end = self.settings.duration_s * SECOND_US;
        let mut next_sample = SAMPLE_US;
        let mut fault_times = vec![FAULT_S * SECOND_US, REPAIR_S * SECOND_US];
        while self.now_us < end {
            self.now_us = self.next_time().min(next_sample).max(self.now_us + 1);
            while let Some(event) = self.events.pop_due(self.now_us) {
                self.handle(event);
            }
            if fault_times.first().is_some_and(|&at| at <= self.now_us) {
                fault_times.remove(0);
                let is_repair = fault_times.is_empty();
                self.apply_scenario(is_repair);
            }
            self.fill_backlogs();
            match self.policy {
                Policy::Ours => self.poll(),
                _ => self.poll_queues(),
            }
            if self.now_us >= next_sample {
                next_sample += SAMPLE_US;
                self.sample();
            }
        }
    }

    fn next_time(&self) -> u64 {
        let event = self.events.next_at().unwrap_or(u64::MAX);
        if self.policy != Policy::Ours {
            return event;
        }
        let up = self.hosts.iter().filter(|host| host.is_up());
        let wakes = up.map(|host| match host.allocator {
            Some(_) => host.dispatcher_wake_us.min(host.allocator_wake_us),
            None => host.dispatcher_wake_us,
        });
        wakes.min().unwrap_or(u64::MAX).min(event)
    }

    /// Starts the fault of the scenario, or ends it if `is_repair` is set.
    fn apply_scenario(&mut self, is_repair: bool) {
        let last = self.hosts.len() - 1;
        match (self.scenario, is_repair) {
            (Scenario::Steady, _) => {}
            (Scenario::Flood, false) => self.backlog[8][..3].fill(1_000),
            (Scenario::Flood, true) => self.backlog[8].fill(0),
            (Scenario::IdleAndBack, false) => self.backlog[2].fill(0),
            (Scenario::IdleAndBack, true) => self.backlog[2][2..4].fill(BACKLOG_REQUESTS),
            (Scenario::HostKilled, false) => self.kill(last),
            (Scenario::OwnerKilled, false) => self.kill(self.owners[1]),
            (Scenario::HostRestarted, false) => {
                self.kill(last);
                self.hosts[last] = self.new_host(last, self.hosts[last].incarnation + 1);
            }
            (Scenario::HostFrozen, is_repair) => self.set_frozen(last, !is_repair),
            (Scenario::DomainCut, false) => self.cut_off(2),
            (Scenario::DomainCut, true) => self.cut_domain = None,
            (Scenario::ServerDrained, false) => self.drain(0),
            (_, true) => {}
        }
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].is_live = false;
        self.hosts[host].allocator = None;
        self.abort_executions(|execution, _| execution.job.host == host);
        self.jobs.retain(|job| job.host != host);
        for queue in &mut self.queues {
            queue.remove_host(host);
        }
        for waiting in &mut self.waiting {
            waiting[host] = 0;
        }
        let domain = self.hosts[host].domain;
        if self.owners[domain] == host {
            let owner = host + 1;
            self.schedule(DETECTION_US, Event::ChangeOwner { domain, owner });
        }
    }

    fn set_frozen(&mut self, host: usize, is_frozen: bool) {
        let now = self.time();
        let host = &mut self.hosts[host];
        host.is_frozen = is_frozen;
        if !is_frozen {
            for (request, charge) in std::mem::take(&mut host.unprocessed_ends) {
                host.dispatcher.finish(now, request, charge);
            }
        }
    }

    /// Separates a domain from the others. Requests whose host and server are on different sides are aborted, because
    /// their connections break.
    fn cut_off(&mut self, domain: usize) {
        self.cut_domain = Some(domain);
        let hosts_per_domain = self.deployment.hosts_per_domain;
        let aborted = self.abort_executions(|execution, server| {
            (execution.job.host / hosts_per_domain == domain) != (server.domain == domain)
        });
        let now = self.time();
        for execution in aborted {
            let host = &mut self.hosts[execution.job.host];
            host.dispatcher.cancel(now, execution.job.id);
            host.dispatcher_wake_us = 0;
        }
    }

    fn drain(&mut self, server: usize) {
        self.servers[server].is_leaving = true;
        let owner = &mut self.hosts[self.owners[self.servers[server].domain]];
        owner.allocator_wake_us = 0;
        if let Some(allocator) = &mut owner.allocator {
            allocator.set_leaving(id::Server(server as u32), true);
        }
    }

    /// Removes and returns the running requests for which `is_aborted` returns true.
    fn abort_executions(
        &mut self,
        is_aborted: impl Fn(&Execution, &Server) -> bool,
    ) -> Vec<Execution> {
        let servers = &mut self.servers;
        let aborted = self.executions.extract_if(.., |execution| {
            is_aborted(execution, &servers[execution.server])
        });
        let aborted: Vec<Execution> = aborted.collect();
        for execution in &aborted {
            self.metrics.accounts[execution.job.account].running -= 1;
            let server = &mut self.servers[execution.server];
            server.running -= 1;
            server.taken = server.taken.saturating_sub(1);
        }
        aborted
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.events.push(self.now_us + delay_us, event);
    }

    /// Whether the network separates two domains.
    fn is_separated(&self, a: usize, b: usize) -> bool {
        a != b && self.cut_domain.is_some_and(|cut| cut == a || cut == b)
    }

    /// One-way network delay between hosts of two domains.
    fn delay_us(a: usize, b: usize) -> u64 {
        if a == b {
            WITHIN_DOMAIN_US
        } else {
            ACROSS_DOMAINS_US
        }
    }

    /// Sends a message, which may be lost.
    fn send(&mut self, from: usize, to: usize, bytes: usize, event: Event) {
        self.metrics.count_message(from, bytes);
        let (a, b) = (self.hosts[from].domain, self.hosts[to].domain);
        if !self.is_separated(a, b) && !self.network.random_bool(self.settings.loss) {
            self.schedule(Self::delay_us(a, b), event);
        }
    }

    fn fill_backlogs(&mut self) {
        for account in 0..self.backlog.len() {
            for host in 0..self.hosts.len() {
                let target = self.backlog[account][host];
                while self.hosts[host].is_live && self.waiting[account][host] < target {
                    self.arrive(account, host);
                }
            }
        }
    }

    fn arrive(&mut self, account: usize, host: usize) {
        let work = Work::draw(&mut self.arrivals, MAX_TOKENS);
        let estimate = work.input + 2 * self.arrivals.random_range(50..800);
        let job = Job {
            id: self.next_job,
            host,
            account,
            work,
            estimate,
            arrived_us: self.now_us,
        };
        self.next_job += 1;
        self.metrics.largest_estimate = self.metrics.largest_estimate.max(estimate);
        self.waiting[account][host] += 1;
        if self.policy != Policy::Ours {
            self.enqueue(job);
            return;
        }
        let request = Request {
            id: job.id,
            account: id::Account(account as u32),
            pool: POOL,
            estimate,
            deadline: Time::from_ms(u64::MAX),
            affinity: job.id,
        };
        self.jobs.push(job);
        let now = self.time();
        self.hosts[host].dispatcher.enqueue(now, request);
        self.hosts[host].dispatcher_wake_us = 0;
    }

    fn handle(&mut self, event: Event) {
        let now = self.time();
        match event {
            Event::Report { to, report } => {
                let host = &mut self.hosts[to];
                if host.is_up()
                    && let Some(allocator) = &mut host.allocator
                {
                    allocator.report(now, &report);
                    host.allocator_wake_us = 0;
                }
            }
            Event::Answer { from, to, answer } => {
                let host = &mut self.hosts[to];
                if host.is_up() {
                    host.dispatcher.answer(now, id::Host(from as u32), &answer);
                    host.dispatcher_wake_us = 0;
                }
            }
            Event::Chunk { job } => self.deliver_chunk(job),
            Event::Start { job, server } => self.start(job, server),
            Event::ReturnSlot { server } => self.servers[server].taken -= 1,
            Event::ChangeOwner { domain, owner } => self.change_owner(domain, owner),
            Event::Arrival { account } => {
                let host = self.arrivals.random_range(0..self.hosts.len());
                let interval_us = self.arrivals.random_range(ARRIVAL_INTERVAL_US);
                if self.hosts[host].is_up() {
                    self.arrive(account, host);
                }
                self.schedule(interval_us, Event::Arrival { account });
            }
        }
    }

    /// Delivers the next chunk of a request, unless the request was aborted.
    fn deliver_chunk(&mut self, job: u64) {
        let Ok(at) = self.executions.binary_search_by_key(&job, |e| e.job.id) else {
            return;
        };
        let execution = &mut self.executions[at];
        let job = execution.job;
        let chunk = execution.answer.next_chunk();
        let server = execution.server;
        self.metrics.accounts[job.account].service += chunk.weighted_tokens;
        for queue in &mut self.queues {
            queue.record_chunk(&job, chunk.weighted_tokens, chunk.total, chunk.is_end);
        }
        let now = self.time();
        let host = &mut self.hosts[job.host];
        match (host.is_frozen, chunk.is_end) {
            (true, true) => host.unprocessed_ends.push((job.id, chunk.total)),
            (true, false) => {}
            (false, true) => host.dispatcher.finish(now, job.id, chunk.total),
            (false, false) => host.dispatcher.record_progress(job.id, chunk.total),
        }
        if chunk.is_end {
            host.dispatcher_wake_us = 0;
            self.finish(at, chunk.total);
        } else {
            let interval_us = engine::chunk_interval_ms(server) * MS_US;
            self.schedule(interval_us, Event::Chunk { job: job.id });
        }
    }

    /// Removes the execution at the index `at`, which has ended, and frees its slot.
    fn finish(&mut self, at: usize, charge: u64) {
        let execution = self.executions.remove(at);
        self.metrics.accounts[execution.job.account].running -= 1;
        self.metrics.largest_charge = self.metrics.largest_charge.max(charge);
        let server = &mut self.servers[execution.server];
        server.running -= 1;
        if server.running < u64::from(self.deployment.slots) {
            server.freed_us.push(self.now_us);
        }
        match self.policy {
            Policy::Ours => {}
            Policy::GrantPerRequest => {
                let domain = server.domain;
                let delay_us = Self::delay_us(self.hosts[execution.job.host].domain, domain);
                let server = execution.server;
                self.metrics
                    .count_message(execution.job.host, REQUEST_MESSAGE_BYTES);
                self.schedule(delay_us, Event::ReturnSlot { server });
            }
            _ => server.taken -= 1,
        }
    }

    fn poll(&mut self) {
        for at in 0..self.hosts.len() {
            if !self.hosts[at].is_up() {
                continue;
            }
            if self.hosts[at].dispatcher_wake_us <= self.now_us {
                self.poll_dispatcher(at);
            }
            if self.hosts[at].allocator_wake_us <= self.now_us {
                self.poll_allocator(at);
            }
        }
    }

    fn poll_dispatcher(&mut self, at: usize) {
        let now = self.time();
        let host = &mut self.hosts[at];
        let actions = host.dispatcher.poll(now, |request, candidates| {
            let at = request.affinity as usize % candidates.len();
            candidates[at].server
        });
        // The dispatcher counts in whole ms, so its next wake time can be earlier than the current time in us.
        host.dispatcher_wake_us =
            (host.dispatcher.next_wake(now).as_ms() * 1_000).max(self.now_us + 1);
        for action in actions {
            match action {
                Action::Dispatch { request, server } => {
                    let job = self.jobs.iter().position(|job| job.id == request);
                    if let Some(job) = job {
                        let job = self.jobs.swap_remove(job);
                        self.start(job, server.0 as usize);
                    }
                }
                Action::Refuse { request, .. } => self.jobs.retain(|job| job.id != request),
                Action::Send { to, report } => {
                    let to = to.0 as usize;
                    let bytes = postcard::to_stdvec(&report).map_or(0, |b| b.len());
                    self.send(at, to, bytes, Event::Report { to, report });
                }
            }
        }
    }

    fn poll_allocator(&mut self, at: usize) {
        let now = self.time();
        let host = &mut self.hosts[at];
        let Some(allocator) = &mut host.allocator else {
            return;
        };
        let envelopes = allocator.poll(now);
        host.allocator_wake_us = allocator.next_wake(now).as_ms() * 1_000;
        for envelope in envelopes {
            let to = envelope.to.0 as usize;
            let answer = envelope.answer;
            let bytes = postcard::to_stdvec(&answer).map_or(0, |b| b.len());
            let event = Event::Answer {
                from: at,
                to,
                answer,
            };
            self.send(at, to, bytes, event);
        }
    }

    /// Puts a request into the queue of a baseline.
    fn enqueue(&mut self, job: Job) {
        let servers = self.servers.len();
        let host = &mut self.hosts[job.host];
        let at = match self.policy {
            Policy::LocalQueues => job.host,
            Policy::RoundRobin => {
                host.round_robin = (host.round_robin + 1) % servers;
                host.round_robin
            }
            Policy::GrantPerRequest => {
                host.round_robin += 1;
                host.round_robin % self.queues.len()
            }
            Policy::Ours | Policy::OneDispatcher => 0,
        };
        if matches!(self.policy, Policy::GrantPerRequest | Policy::OneDispatcher) {
            self.metrics.count_message(job.host, REQUEST_MESSAGE_BYTES);
        }
        self.queues[at].push(job);
    }

    fn poll_queues(&mut self) {
        for at in 0..self.queues.len() {
            while let Some((job, server)) = self.next_start(at) {
                self.servers[server].taken += 1;
                let queue = &mut self.queues[at];
                queue.start(&job, server);
                let queue_host = queue.host;
                let mut delay_us = 0;
                if matches!(self.policy, Policy::GrantPerRequest | Policy::OneDispatcher) {
                    self.metrics
                        .count_message(queue_host, REQUEST_MESSAGE_BYTES);
                }
                if self.policy == Policy::GrantPerRequest {
                    let domain = self.hosts[queue_host].domain;
                    delay_us = Self::delay_us(domain, self.hosts[job.host].domain);
                }
                self.schedule(delay_us, Event::Start { job, server });
            }
        }
    }

    /// Returns the request that the queue at the index `at` starts next, and the server for it.
    fn next_start(&self, at: usize) -> Option<(Job, usize)> {
        let queue = &self.queues[at];
        if self.policy != Policy::RoundRobin && !self.hosts[queue.host].is_up() {
            return None;
        }
        let domain = self.hosts[queue.host].domain;
        let is_free = |server: usize| {
            let is_full = self.servers[server].taken >= u64::from(self.deployment.slots);
            !is_full && !self.servers[server].is_leaving && queue.may_use(server)
        };
        let server = queue.servers.iter().copied().find(|&server| {
            is_free(server) && !self.is_separated(domain, self.servers[server].domain)
        })?;
        let job = queue.next(|job| {
            let host = &self.hosts[job.host];
            let is_reachable =
                self.policy == Policy::RoundRobin || !self.is_separated(domain, host.domain);
            host.is_up()
                && is_reachable
                && !self.is_separated(host.domain, self.servers[server].domain)
        })?;
        Some((job, server))
    }

    fn start(&mut self, job: Job, server: usize) {
        let host = &self.hosts[job.host];
        self.waiting[job.account][job.host] = self.waiting[job.account][job.host].saturating_sub(1);
        if !host.is_live {
            self.servers[server].taken = self.servers[server].taken.saturating_sub(1);
            return;
        }
        let account = &mut self.metrics.accounts[job.account];
        account.running += 1;
        account.max_running = account.max_running.max(account.running);
        account.max_wait_us = account.max_wait_us.max(self.now_us - job.arrived_us);
        let state = &mut self.servers[server];
        state.running += 1;
        if state.is_leaving {
            let after_us = self.now_us.saturating_sub(FAULT_S * SECOND_US);
            self.metrics.last_start_on_drained_us = Some(after_us);
        }
        // A slot that has not been used before has no time at which it became free.
        if !state.freed_us.is_empty() {
            let freed_us = state.freed_us.remove(0);
            if let Some(since_us) = self.contended_since_us {
                let handover_us = self.now_us - freed_us.max(since_us);
                self.metrics.max_handover_us = self.metrics.max_handover_us.max(handover_us);
            }
        }
        let at = self.executions.binary_search_by_key(&job.id, |e| e.job.id);
        let id = job.id;
        let execution = Execution {
            job,
            server,
            answer: engine::Answer::new(job.work),
        };
        self.executions
            .insert(at.unwrap_or_else(|at| at), execution);
        self.schedule(engine::FIRST_TOKEN_MS * MS_US, Event::Chunk { job: id });
    }

    fn sample(&mut self) {
        if self.now_us / SECOND_US != (self.now_us - SAMPLE_US) / SECOND_US {
            self.metrics.sample_rate();
        }
        let up = |host: usize| self.hosts[host].is_up();
        let waits = |waiting: &Vec<usize>| {
            let mut waiting = waiting.iter().enumerate();
            waiting.any(|(host, &count)| count > 0 && up(host))
        };
        let mut backlogged: Vec<bool> = self.waiting.iter().map(waits).collect();
        if backlogged.contains(&true) {
            self.contended_since_us.get_or_insert(self.now_us);
            let slots = u64::from(self.deployment.slots);
            for server in self.servers.iter().filter(|server| !server.is_leaving) {
                self.metrics.sample_slots(slots, server.running.min(slots));
            }
        } else {
            self.contended_since_us = None;
        }
        if self.cut_domain.is_some() {
            // No scheduler can equalise the normalised service of accounts that wait on one side of the cut only.
            backlogged.fill(false);
        }
        self.metrics.sample_gaps(&backlogged);
    }
}
