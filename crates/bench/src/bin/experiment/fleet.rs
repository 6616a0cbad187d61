//! One run: real decision state machines or a baseline, a fake engine and a network, in virtual time.

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

use crate::desk::{Desk, Job};
use crate::measure::Measure;
use crate::settings::{Deployment, FAULT_S, Policy, REPAIR_S, Scenario, Settings};

const POOL: id::Pool = id::Pool(1);
const SECOND_US: u64 = 1_000_000;
const SAMPLE_US: u64 = 50_000;
const WITHIN_DOMAIN_US: u64 = 200;
const ACROSS_DOMAINS_US: u64 = 1_500;
const MS_US: u64 = 1_000;
const MAX_TOKENS: u64 = 4_000;
/// The domains notice the death of an owner after this time.
const DETECTION_US: u64 = 3 * SECOND_US;
/// Requests of a backlogged account that wait at each of its hosts.
const DEPTH: usize = 20;
/// Time between two requests of an account that is not backlogged; less than the smallest share allows.
const TRICKLE_US: std::ops::Range<u64> = 8 * SECOND_US..16 * SECOND_US;
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
    Flow {
        run: u64,
    },
    Begin {
        job: Job,
        server: usize,
    },
    Release {
        server: usize,
    },
    Appoint {
        domain: usize,
        owner: usize,
    },
    Trickle {
        account: usize,
    },
}

struct Run {
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
    wake_us: u64,
    allocator_wake_us: u64,
    unread: Vec<(u64, u64)>,
    next_server: usize,
}

impl Host {
    fn is_up(&self) -> bool {
        self.is_live && !self.is_frozen
    }
}

struct Server {
    domain: usize,
    running: u64,
    /// Slots taken in the books of a desk, including grants and returns on their way.
    taken: u64,
    is_leaving: bool,
    /// When slots became free, oldest first.
    freed: Vec<u64>,
}

pub(crate) struct Fleet<'a> {
    settings: &'a Settings,
    deployment: &'a Deployment,
    policy: Policy,
    scenario: Scenario,
    now: u64,
    pub(crate) measure: Measure,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    desks: Vec<Desk>,
    owners: Vec<usize>,
    /// Requests that wait in dispatchers.
    jobs: Vec<Job>,
    /// Waiting requests by account and host.
    waiting: Vec<Vec<usize>>,
    /// Requests kept waiting by account and host.
    depth: Vec<Vec<usize>>,
    contended_since: Option<u64>,
    cut: Option<usize>,
    runs: Vec<Run>,
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
            freed: Vec::new(),
        });
        let mut fleet = Fleet {
            settings,
            deployment,
            policy,
            scenario,
            now: 1_000,
            measure: Measure::new(&deployment.shares, hosts),
            hosts: Vec::new(),
            servers: servers.collect(),
            desks: Desk::all(policy, deployment),
            owners: (0..deployment.domains)
                .map(|domain| domain * deployment.hosts_per_domain)
                .collect(),
            jobs: Vec::new(),
            waiting: vec![vec![0; hosts]; accounts],
            depth: vec![vec![0; hosts]; accounts],
            contended_since: None,
            cut: None,
            runs: Vec::new(),
            events: timeline::Queue::default(),
            next_job: 1,
            arrivals: StdRng::seed_from_u64(settings.seed),
            network: StdRng::seed_from_u64(settings.seed + 1),
        };
        for host in 0..hosts {
            let new = fleet.boot(host, 1);
            fleet.hosts.push(new);
        }
        for domain in 0..deployment.domains {
            fleet.appoint(domain, fleet.owners[domain]);
        }
        fleet.spread();
        fleet
    }

    /// Account 0 waits on all hosts, account 1 on one, the rest of the first half on two each; the others trickle.
    fn spread(&mut self) {
        let hosts = self.hosts.len();
        let accounts = self.deployment.shares.len();
        self.depth[0].fill(DEPTH);
        self.depth[1][4 % hosts] = 3 * DEPTH;
        for account in 2..accounts / 2 {
            self.depth[account][account % hosts] = DEPTH;
            self.depth[account][(account * 5 + 1) % hosts] = DEPTH;
        }
        for account in accounts / 2..accounts {
            self.schedule(SECOND_US, Event::Trickle { account });
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
        Time::from_ms(self.now / 1_000)
    }

    fn boot(&self, host: usize, incarnation: u64) -> Host {
        let domain = host / self.deployment.hosts_per_domain;
        let origin = Origin {
            host: id::Host(host as u32),
            // Of the size of wall-clock ms, which determines the length of messages.
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
            wake_us: 0,
            allocator_wake_us: 0,
            unread: Vec::new(),
            next_server: host,
        }
    }

    fn appoint(&mut self, domain: usize, owner: usize) {
        let now = self.time();
        let schedule = self.settings.schedule.clone();
        let incarnation = 1_800_000_000_000 + now.as_ms();
        let mut allocator = Allocator::new(now, incarnation, schedule);
        allocator.set_shares(&self.shares());
        let hosts = self.deployment.hosts_per_domain as u32;
        let full = Support {
            supporters: hosts,
            hosts,
        };
        allocator.set_support(full);
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
            host.wake_us = 0;
        }
        for desk in self.desks.iter_mut().filter(|desk| desk.home == old) {
            desk.home = owner;
        }
    }

    /// Runs to the end.
    pub(crate) fn run(&mut self) {
        let end = self.settings.duration_s * SECOND_US;
        let mut next_sample = SAMPLE_US;
        let mut marks = vec![FAULT_S * SECOND_US, REPAIR_S * SECOND_US];
        while self.now < end {
            self.now = self.next_time().min(next_sample).max(self.now + 1);
            while let Some(event) = self.events.pop_due(self.now) {
                self.handle(event);
            }
            if marks.first().is_some_and(|&mark| mark <= self.now) {
                marks.remove(0);
                self.disturb(marks.is_empty());
            }
            self.top_up();
            match self.policy {
                Policy::Ours => self.poll(),
                _ => self.serve_desks(),
            }
            if self.now >= next_sample {
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
            Some(_) => host.wake_us.min(host.allocator_wake_us),
            None => host.wake_us,
        });
        wakes.min().unwrap_or(u64::MAX).min(event)
    }

    fn disturb(&mut self, is_repair: bool) {
        let last = self.hosts.len() - 1;
        match (self.scenario, is_repair) {
            (Scenario::Steady, _) => {}
            (Scenario::Flood, false) => self.depth[8][..3].fill(1_000),
            (Scenario::Flood, true) => self.depth[8].fill(0),
            (Scenario::IdleAndBack, false) => self.depth[2].fill(0),
            (Scenario::IdleAndBack, true) => self.depth[2][2..4].fill(DEPTH),
            (Scenario::HostKilled, false) => self.kill(last),
            (Scenario::OwnerKilled, false) => self.kill(self.owners[1]),
            (Scenario::HostRestarted, false) => {
                self.kill(last);
                self.hosts[last] = self.boot(last, self.hosts[last].incarnation + 1);
            }
            (Scenario::HostFrozen, is_repair) => self.set_frozen(last, !is_repair),
            (Scenario::DomainCut, false) => self.cut(2),
            (Scenario::DomainCut, true) => self.cut = None,
            (Scenario::ServerDrained, false) => self.drain(0),
            (_, true) => {}
        }
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].is_live = false;
        self.hosts[host].allocator = None;
        self.drop_runs(|run, _| run.job.host == host);
        self.jobs.retain(|job| job.host != host);
        for desk in &mut self.desks {
            desk.remove_host(host);
        }
        for waiting in &mut self.waiting {
            waiting[host] = 0;
        }
        let domain = self.hosts[host].domain;
        if self.owners[domain] == host {
            let owner = host + 1;
            self.schedule(DETECTION_US, Event::Appoint { domain, owner });
        }
    }

    fn set_frozen(&mut self, host: usize, is_frozen: bool) {
        let now = self.time();
        let host = &mut self.hosts[host];
        host.is_frozen = is_frozen;
        if !is_frozen {
            for (request, charge) in std::mem::take(&mut host.unread) {
                host.dispatcher.finish(now, request, charge);
            }
        }
    }

    /// Connections to engines across the cut break.
    fn cut(&mut self, domain: usize) {
        self.cut = Some(domain);
        let hosts_per_domain = self.deployment.hosts_per_domain;
        let broken = self.drop_runs(|run, server| {
            (run.job.host / hosts_per_domain == domain) != (server.domain == domain)
        });
        let now = self.time();
        for run in broken {
            let host = &mut self.hosts[run.job.host];
            host.dispatcher.cancel(now, run.job.id);
            host.wake_us = 0;
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

    fn drop_runs(&mut self, is_broken: impl Fn(&Run, &Server) -> bool) -> Vec<Run> {
        let servers = &mut self.servers;
        let dropped = self
            .runs
            .extract_if(.., |run| is_broken(run, &servers[run.server]));
        let dropped: Vec<Run> = dropped.collect();
        for run in &dropped {
            self.measure.tallies[run.job.account].running -= 1;
            let server = &mut self.servers[run.server];
            server.running -= 1;
            server.taken = server.taken.saturating_sub(1);
        }
        dropped
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push(self.now + delay, event);
    }

    fn is_apart(&self, a: usize, b: usize) -> bool {
        a != b && self.cut.is_some_and(|cut| cut == a || cut == b)
    }

    fn delay(a: usize, b: usize) -> u64 {
        if a == b {
            WITHIN_DOMAIN_US
        } else {
            ACROSS_DOMAINS_US
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: usize, event: Event) {
        self.measure.count_message(from, bytes);
        let (a, b) = (self.hosts[from].domain, self.hosts[to].domain);
        if !self.is_apart(a, b) && !self.network.random_bool(self.settings.loss) {
            self.schedule(Self::delay(a, b), event);
        }
    }

    fn top_up(&mut self) {
        for account in 0..self.depth.len() {
            for host in 0..self.hosts.len() {
                let depth = self.depth[account][host];
                while self.hosts[host].is_live && self.waiting[account][host] < depth {
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
            since: self.now,
        };
        self.next_job += 1;
        self.measure.largest_estimate = self.measure.largest_estimate.max(estimate);
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
        self.hosts[host].wake_us = 0;
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
                    host.wake_us = 0;
                }
            }
            Event::Flow { run } => self.flow(run),
            Event::Begin { job, server } => self.begin(job, server),
            Event::Release { server } => self.servers[server].taken -= 1,
            Event::Appoint { domain, owner } => self.appoint(domain, owner),
            Event::Trickle { account } => {
                let host = self.arrivals.random_range(0..self.hosts.len());
                let gap = self.arrivals.random_range(TRICKLE_US);
                if self.hosts[host].is_up() {
                    self.arrive(account, host);
                }
                self.schedule(gap, Event::Trickle { account });
            }
        }
    }

    fn flow(&mut self, run: u64) {
        let Ok(at) = self.runs.binary_search_by_key(&run, |r| r.job.id) else {
            return;
        };
        let run = &mut self.runs[at];
        let job = run.job;
        let flow = run.answer.next_chunk();
        let server = run.server;
        self.measure.tallies[job.account].service += flow.weighted_tokens;
        for desk in &mut self.desks {
            desk.flow(&job, flow.weighted_tokens, flow.total, flow.is_end);
        }
        let now = self.time();
        let host = &mut self.hosts[job.host];
        match (host.is_frozen, flow.is_end) {
            (true, true) => host.unread.push((job.id, flow.total)),
            (true, false) => {}
            (false, true) => host.dispatcher.finish(now, job.id, flow.total),
            (false, false) => host.dispatcher.record_progress(job.id, flow.total),
        }
        if flow.is_end {
            host.wake_us = 0;
            self.end(at, flow.total);
        } else {
            let interval = engine::chunk_interval_ms(server) * MS_US;
            self.schedule(interval, Event::Flow { run: job.id });
        }
    }

    fn end(&mut self, at: usize, charge: u64) {
        let run = self.runs.remove(at);
        self.measure.tallies[run.job.account].running -= 1;
        self.measure.largest_charge = self.measure.largest_charge.max(charge);
        let server = &mut self.servers[run.server];
        server.running -= 1;
        if server.running < u64::from(self.deployment.slots) {
            server.freed.push(self.now);
        }
        match self.policy {
            Policy::Ours => {}
            Policy::GrantPerRequest => {
                let domain = server.domain;
                let delay = Self::delay(self.hosts[run.job.host].domain, domain);
                let server = run.server;
                self.measure
                    .count_message(run.job.host, REQUEST_MESSAGE_BYTES);
                self.schedule(delay, Event::Release { server });
            }
            _ => server.taken -= 1,
        }
    }

    fn poll(&mut self) {
        for at in 0..self.hosts.len() {
            if !self.hosts[at].is_up() {
                continue;
            }
            if self.hosts[at].wake_us <= self.now {
                self.poll_dispatcher(at);
            }
            if self.hosts[at].allocator_wake_us <= self.now {
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
        // Wakes are whole ms, so that the next one is later than this one.
        host.wake_us = (host.dispatcher.next_wake(now).as_ms() * 1_000).max(self.now + 1);
        for action in actions {
            match action {
                Action::Dispatch { request, server } => {
                    let job = self.jobs.iter().position(|job| job.id == request);
                    if let Some(job) = job {
                        let job = self.jobs.swap_remove(job);
                        self.begin(job, server.0 as usize);
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
        let pushes = allocator.poll(now);
        host.allocator_wake_us = allocator.next_wake(now).as_ms() * 1_000;
        for push in pushes {
            let to = push.to.0 as usize;
            let answer = push.answer;
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
                host.next_server = (host.next_server + 1) % servers;
                host.next_server
            }
            Policy::GrantPerRequest => {
                host.next_server += 1;
                host.next_server % self.desks.len()
            }
            Policy::Ours | Policy::OneDispatcher => 0,
        };
        if matches!(self.policy, Policy::GrantPerRequest | Policy::OneDispatcher) {
            self.measure.count_message(job.host, REQUEST_MESSAGE_BYTES);
        }
        self.desks[at].push(job);
    }

    fn serve_desks(&mut self) {
        for at in 0..self.desks.len() {
            while let Some((job, server)) = self.next_start(at) {
                self.servers[server].taken += 1;
                let desk = &mut self.desks[at];
                desk.start(&job, server);
                let home = desk.home;
                let mut delay = 0;
                if matches!(self.policy, Policy::GrantPerRequest | Policy::OneDispatcher) {
                    self.measure.count_message(home, REQUEST_MESSAGE_BYTES);
                }
                if self.policy == Policy::GrantPerRequest {
                    delay = Self::delay(self.hosts[home].domain, self.hosts[job.host].domain);
                }
                self.schedule(delay, Event::Begin { job, server });
            }
        }
    }

    /// The request that a desk starts next, and where.
    fn next_start(&self, at: usize) -> Option<(Job, usize)> {
        let desk = &self.desks[at];
        if self.policy != Policy::RoundRobin && !self.hosts[desk.home].is_up() {
            return None;
        }
        let home = self.hosts[desk.home].domain;
        let is_free = |server: usize| {
            let is_full = self.servers[server].taken >= u64::from(self.deployment.slots);
            !is_full && !self.servers[server].is_leaving && desk.may_use(server)
        };
        let server =
            desk.servers.iter().copied().find(|&server| {
                is_free(server) && !self.is_apart(home, self.servers[server].domain)
            })?;
        let job = desk.next(|job| {
            let host = &self.hosts[job.host];
            let is_near = self.policy == Policy::RoundRobin || !self.is_apart(home, host.domain);
            host.is_up() && is_near && !self.is_apart(host.domain, self.servers[server].domain)
        })?;
        Some((job, server))
    }

    fn begin(&mut self, job: Job, server: usize) {
        let host = &self.hosts[job.host];
        self.waiting[job.account][job.host] = self.waiting[job.account][job.host].saturating_sub(1);
        if !host.is_live {
            self.servers[server].taken = self.servers[server].taken.saturating_sub(1);
            return;
        }
        let tally = &mut self.measure.tallies[job.account];
        tally.running += 1;
        tally.most_running = tally.most_running.max(tally.running);
        tally.longest_wait_us = tally.longest_wait_us.max(self.now - job.since);
        let state = &mut self.servers[server];
        state.running += 1;
        if state.is_leaving {
            let after = self.now.saturating_sub(FAULT_S * SECOND_US);
            self.measure.last_start_on_drained_us = Some(after);
        }
        // Slots that were never used have no time of release.
        if !state.freed.is_empty() {
            let freed = state.freed.remove(0);
            if let Some(since) = self.contended_since {
                let handover = self.now - freed.max(since);
                self.measure.worst_handover_us = self.measure.worst_handover_us.max(handover);
            }
        }
        let at = self.runs.binary_search_by_key(&job.id, |r| r.job.id);
        let id = job.id;
        let run = Run {
            job,
            server,
            answer: engine::Answer::new(job.work),
        };
        self.runs.insert(at.unwrap_or_else(|at| at), run);
        self.schedule(engine::FIRST_TOKEN_MS * MS_US, Event::Flow { run: id });
    }

    fn sample(&mut self) {
        if self.now / SECOND_US != (self.now - SAMPLE_US) / SECOND_US {
            self.measure.sample_rate();
        }
        let up = |host: usize| self.hosts[host].is_up();
        let waits = |waiting: &Vec<usize>| {
            let mut waiting = waiting.iter().enumerate();
            waiting.any(|(host, &count)| count > 0 && up(host))
        };
        let mut backlogged: Vec<bool> = self.waiting.iter().map(waits).collect();
        if backlogged.contains(&true) {
            self.contended_since.get_or_insert(self.now);
            let slots = u64::from(self.deployment.slots);
            for server in self.servers.iter().filter(|server| !server.is_leaving) {
                self.measure.sample_slots(slots, server.running.min(slots));
            }
        } else {
            self.contended_since = None;
        }
        if self.cut.is_some() {
            // No scheduler can keep accounts level that wait on one side of a cut only.
            backlogged.fill(false);
        }
        self.measure.sample_gaps(&backlogged);
    }
}
