//! The task that owns the queue of this host and, if the host is an owner, the slots of its failure domain.
//!
//! It carries out what [`primrose_schedule`] and [`primrose_member::ownership`] decide: it feeds them the events of
//! request tasks, packets, the configuration and the membership view, and sends what they return.

mod calls;
mod owners;
mod pace;
mod refusals;

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_base::verdict::Verdict;
use primrose_config::{Configuration, Kind, Server as ServerItem, State as Life};
use primrose_member::ownership::{ASK_INTERVAL_MS, Candidate as DomainHost, Ownership};
use primrose_member::view::State as Presence;
use primrose_proxy::failure::Failure;
use primrose_proxy::gate::{Call, End, Event, Slot, Usage};
use primrose_schedule::admission;
use primrose_schedule::borrower::{self, Action, Borrower, Candidate};
use primrose_schedule::choice;
use primrose_schedule::estimate::Estimator;
use primrose_schedule::ledger::{Origin, Share};
use primrose_schedule::lender::{self, Lender, Support};
use primrose_schedule::message::Answer;
use primrose_schedule::queue::Request;
use primrose_schedule::retry::{self, Budget};
use primrose_schedule::settings::Settings as Tuning;
use primrose_schedule::snapshot::Snapshot;
use primrose_wire::peer::{Pace, Packet};
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::counters::Counters;
use crate::membership::View;
use crate::packets::{Outbox, Received};
use crate::scheduler::calls::{Calls, Reply, Stage};
use crate::scheduler::owners::Owners;
use crate::scheduler::pace::Paces;
use crate::settings::Limits;

/// Events that are taken at once before decisions are made; more wait for the next round.
const BATCH: usize = 256;

/// Time for membership to find the other hosts, and for an owner to be chosen, after a start.
const STARTUP_MS: u64 = 5_000;

/// What the task needs.
pub struct Inputs {
    /// This host and the start time of its process in wall-clock ms.
    pub origin: Origin,
    /// The failure domain of this host.
    pub domain: Name,
    /// Limits for callers.
    pub limits: Limits,
    /// Events of request tasks.
    pub events: mpsc::UnboundedReceiver<Event>,
    /// Packets of scheduling and ownership.
    pub packets: mpsc::Receiver<Received>,
    /// Questions of operators.
    pub queries: mpsc::Receiver<Query>,
    /// The configuration.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// The membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// True once the daemon is leaving.
    pub draining: watch::Receiver<bool>,
    /// Sends packets.
    pub outbox: Outbox,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Log.
    pub log: Logger,
}

/// A question of an operator.
pub struct Query {
    /// Receives the answer.
    pub reply: oneshot::Sender<State>,
}

/// What operators can read.
#[derive(Clone, Debug)]
pub struct State {
    /// The queue and the held slots of this host.
    pub borrower: Snapshot,
    /// The lent slots, if this host is an owner.
    pub lender: Option<Snapshot>,
    /// The owner of this failure domain.
    pub owner: Option<id::Host>,
    /// Requests in flight from this host.
    pub in_flight: usize,
}

/// Starts the scheduler.
pub fn spawn(inputs: Inputs) -> JoinHandle<()> {
    let now = Time::now();
    let mut scheduler = Scheduler {
        borrower: Borrower::new(inputs.origin, inputs.domain.clone(), Tuning::default()),
        lender: None,
        ownership: Ownership::new(inputs.origin.host, inputs.origin.incarnation, now),
        owners: Owners::default(),
        calls: Calls::default(),
        estimator: Estimator::default(),
        budget: Budget::new(),
        prefixes: choice::Directory::default(),
        started: now,
        paces: Paces::default(),
        configuration: Arc::default(),
        view: Arc::default(),
        next_ask: now,
        lender_incarnation: inputs.origin.incarnation,
        inputs,
    };
    scheduler.configure(now);
    scheduler.observe();
    tokio::spawn(scheduler.run())
}

struct Scheduler {
    inputs: Inputs,
    borrower: Borrower,
    /// `Some` while this host is the owner of its failure domain.
    lender: Option<Lender>,
    ownership: Ownership,
    owners: Owners,
    calls: Calls,
    estimator: Estimator,
    budget: Budget,
    prefixes: choice::Directory,
    started: Time,
    paces: Paces,
    configuration: Arc<Configuration>,
    view: Arc<View>,
    next_ask: Time,
    /// Incarnation of the latest lender of this process; each new one gets a greater one.
    lender_incarnation: u64,
}

/// What woke the task.
enum Input {
    Event(Event),
    Packet(Received),
    Query(Query),
    Configuration,
    View,
    Draining,
    Timer,
    Closed,
}

impl Scheduler {
    async fn run(mut self) {
        loop {
            let wake = self.next_wake(Time::now());
            let input = self.next_input(wake).await;
            if matches!(input, Input::Closed) {
                return;
            }
            let now = Time::now();
            self.take(input, now);
            self.take_waiting(now);
            self.decide(now);
        }
    }

    async fn next_input(&mut self, wake: Time) -> Input {
        let delay = wake.until(Time::now());
        let inputs = &mut self.inputs;
        let is_draining = *inputs.draining.borrow();
        tokio::select! {
            event = inputs.events.recv() => event.map_or(Input::Closed, Input::Event),
            packet = inputs.packets.recv() => packet.map_or(Input::Closed, Input::Packet),
            Some(query) = inputs.queries.recv() => Input::Query(query),
            Ok(()) = inputs.configuration.changed() => Input::Configuration,
            Ok(()) = inputs.view.changed() => Input::View,
            Ok(()) = inputs.draining.changed(), if !is_draining => Input::Draining,
            () = tokio::time::sleep(delay) => Input::Timer,
        }
    }

    /// Takes what else has arrived, so that one decision covers it all.
    fn take_waiting(&mut self, now: Time) {
        for _ in 0..BATCH {
            if let Ok(event) = self.inputs.events.try_recv() {
                self.take(Input::Event(event), now);
            } else if let Ok(packet) = self.inputs.packets.try_recv() {
                self.take(Input::Packet(packet), now);
            } else {
                return;
            }
        }
    }

    fn take(&mut self, input: Input, now: Time) {
        match input {
            Input::Event(Event::Arrive { call, reply }) => self.arrive(call, reply, now),
            Input::Event(Event::Flow { id, usage }) => self.flow(id, usage),
            Input::Event(Event::End { id, end }) => self.end(id, end, now),
            Input::Packet(received) => self.packet(received, now),
            Input::Query(query) => {
                let _ = query.reply.send(self.state(now));
            }
            Input::Configuration => self.configure(now),
            Input::View => self.observe(),
            Input::Draining => self.drain(now),
            Input::Timer | Input::Closed => {}
        }
    }

    fn next_wake(&self, now: Time) -> Time {
        let mut wake = self.borrower.next_wake(now).min(self.next_ask);
        if let Some(lender) = &self.lender {
            wake = wake.min(lender.next_wake(now));
        }
        wake.min(self.paces.next_wake(now))
    }

    fn state(&self, now: Time) -> State {
        State {
            borrower: self.borrower.snapshot(),
            lender: self.lender.as_ref().map(Lender::snapshot),
            owner: self.ownership.owner(now),
            in_flight: self.borrower.in_flight_total(),
        }
    }
}

// Requests.
impl Scheduler {
    fn arrive(&mut self, call: Call, reply: Reply, now: Time) {
        if let Err(failure) = self.admit(&call, now) {
            // The caller may have left; then nobody needs the answer.
            let _ = reply.send(Err(failure));
            return;
        }
        let request = Request {
            id: call.id,
            account: call.account,
            pool: call.pool,
            estimate: self.estimate(&call),
            deadline: call.deadline,
            affinity: call.affinity,
        };
        self.calls.insert(call, reply);
        self.borrower.arrive(now, request);
    }

    /// Admission control.
    fn admit(&mut self, call: &Call, now: Time) -> Result<(), Failure> {
        match &call.retry {
            Some(failure) => self.admit_retry(call.account, failure, now)?,
            None => self.budget.count_request(now, call.account),
        }
        let account = self.configuration.accounts.by_id(call.account);
        let limit = account.map_or(0, |account| self.configuration.waiting_limit(account));
        let limits = admission::Limits {
            account_waiting: limit as usize,
            host_waiting: self.inputs.limits.waiting_per_host as usize,
            deadline_ms: self.inputs.limits.queue_timeout_ms,
            ..admission::Limits::default()
        };
        let load = self.load(call, now);
        admission::check(&limits, &load).map_err(refusals::of_admission)
    }

    fn admit_retry(
        &mut self,
        account: id::Account,
        failure: &retry::Failure,
        now: Time,
    ) -> Result<(), Failure> {
        match self.budget.decide(now, account, failure) {
            Ok(ground) => {
                self.inputs.counters.count(ground.code());
                Ok(())
            }
            Err(refusal) => {
                self.inputs.counters.count(refusal.code());
                Err(refusals::of_retry(refusal))
            }
        }
    }

    fn load(&self, call: &Call, now: Time) -> admission::Load {
        let pool = self.configuration.pools.by_id(call.pool);
        admission::Load {
            draining: *self.inputs.draining.borrow(),
            ready: true,
            account_waiting: self.borrower.waiting(call.pool, call.account),
            host_waiting: self.borrower.waiting_total(),
            servers: pool.map(|pool| self.configuration.active_servers(pool.name.as_str()).len()),
            reaches_slots: pool.is_some_and(|pool| self.reaches(&pool.name, now)),
            expected_wait_ms: None,
        }
    }

    /// Whether a host of a failure domain with servers of the pool can be reached.
    fn reaches(&self, pool: &Name, now: Time) -> bool {
        // Until membership has found the other hosts, a request waits instead of being refused.
        if now.since(self.started) < STARTUP_MS {
            return true;
        }
        let servers = self.configuration.active_servers(pool.as_str());
        let mut hosts = servers
            .iter()
            .flat_map(|server| self.view.live(&server.domain));
        hosts.any(|host| self.is_reachable(host))
    }

    fn is_reachable(&self, host: id::Host) -> bool {
        host == self.inputs.origin.host
            || self
                .view
                .member(host)
                .is_some_and(|member| member.state == Presence::Alive)
    }

    fn estimate(&self, call: &Call) -> u64 {
        let default = self
            .configuration
            .pools
            .by_id(call.pool)
            .map_or(1, |pool| u64::from(pool.output_estimate));
        let output =
            self.estimator
                .output_tokens(call.pool, call.account, default, call.max_output_tokens);
        self.charge(call.pool, call.input_tokens, output)
    }

    /// Weighted tokens, by the weights of the pool.
    fn charge(&self, pool: id::Pool, input_tokens: u64, output_tokens: u64) -> u64 {
        let pool = self.configuration.pools.by_id(pool);
        match pool.map(|pool| &pool.kind) {
            Some(Kind::Model {
                input_weight,
                output_weight,
                ..
            }) => {
                input_tokens * u64::from(*input_weight) + output_tokens * u64::from(*output_weight)
            }
            Some(Kind::Plain) | None => output_tokens,
        }
    }

    fn flow(&mut self, id: u64, usage: Usage) {
        let Some(entry) = self.calls.get(id) else {
            return;
        };
        let total = self.charge(entry.call.pool, usage.input_tokens, usage.output_tokens);
        self.borrower.flow(id, total);
    }

    fn end(&mut self, id: u64, end: End, now: Time) {
        let Some(entry) = self.calls.remove(id) else {
            return;
        };
        let call = entry.call;
        let Stage::Running { server } = entry.stage else {
            self.borrower.cancel(now, id);
            return;
        };
        let charge = self.charge(call.pool, end.usage.input_tokens, end.usage.output_tokens);
        self.borrower.finish(now, id, charge);
        self.paces.record(server, &end, now);
        if end.verdict == Verdict::Complete {
            self.inputs.counters.count("served");
            self.estimator
                .record(call.pool, call.account, end.usage.output_tokens);
        }
    }

    fn dispatch(&mut self, id: u64, server: id::Server) {
        let Some(reply) = self.calls.start(id, server) else {
            return;
        };
        self.inputs.counters.count("dispatched");
        let address = self
            .configuration
            .servers
            .by_id(server)
            .map(|server| server.address);
        let answer = match address {
            Some(address) => Ok(Slot { server, address }),
            None => Err(refusals::of_admission(admission::Reason::NoServer)),
        };
        // A caller that left has dropped its ticket, and the end of the request is on its way.
        let _ = reply.send(answer);
    }

    fn refuse(&mut self, id: u64, reason: borrower::Reason) {
        let Some(entry) = self.calls.remove(id) else {
            return;
        };
        let Stage::Waiting { reply } = entry.stage else {
            return;
        };
        let reason = match reason {
            borrower::Reason::Expired => admission::Reason::QueueDeadline,
            borrower::Reason::NoServer => admission::Reason::NoServer,
        };
        let failure = refusals::of_admission(reason);
        let _ = reply.send(Err(failure));
    }

    fn drain(&mut self, now: Time) {
        for id in self.calls.waiting() {
            self.borrower.cancel(now, id);
            let Some(entry) = self.calls.remove(id) else {
                continue;
            };
            if let Stage::Waiting { reply } = entry.stage {
                let _ = reply.send(Err(Failure::draining()));
            }
        }
        self.borrower.leave();
        self.lender = None;
        if let Some(release) = self.ownership.leave(now) {
            self.send_to_domain(&Packet::Release(release));
        }
    }
}

// Configuration and membership.
impl Scheduler {
    fn configure(&mut self, now: Time) {
        let Some(configuration) = self.inputs.configuration.borrow_and_update().clone() else {
            return;
        };
        let shares: Vec<Share> = configuration
            .accounts
            .iter()
            .map(|account| Share {
                account: account.id,
                share: u64::from(account.share),
            })
            .collect();
        self.borrower.set_shares(&shares);
        self.budget.expire(now);
        self.configuration = configuration;
        self.set_servers(now);
        if let Some(lender) = &mut self.lender {
            lender.set_shares(&shares);
        }
        let hosts = self.configuration.hosts.iter();
        let own =
            hosts.filter(|host| host.domain == self.inputs.domain && host.state == Life::Active);
        self.ownership.configure(
            own.map(|host| DomainHost {
                host: host.id,
                name: host.name.clone(),
            })
            .collect(),
        );
    }

    fn set_servers(&mut self, now: Time) {
        let pool_of = |server: &ServerItem| {
            self.configuration
                .pools
                .get(server.pool.as_str())
                .map(|pool| pool.id)
        };
        let in_use = self
            .configuration
            .servers
            .iter()
            .filter(|server| server.state != Life::Retired);
        let mut borrowed = Vec::new();
        let mut lent = Vec::new();
        for server in in_use {
            let Some(pool) = pool_of(server) else {
                continue;
            };
            if server.state == Life::Active && !self.paces.is_paused(server.id, now) {
                borrowed.push(borrower::Server {
                    server: server.id,
                    pool,
                    domain: server.domain.clone(),
                });
            }
            if server.domain == self.inputs.domain {
                let limit = self.paces.limit(server.id, server.slots, now);
                lent.push(lender::Server {
                    server: server.id,
                    pool,
                    limit,
                    leaving: server.state != Life::Active,
                });
            }
        }
        borrowed.sort_unstable_by_key(|server| server.server);
        lent.sort_unstable_by_key(|server| server.server);
        self.borrower.set_servers(now, &borrowed);
        if let Some(lender) = &mut self.lender {
            lender.set_servers(&lent);
        }
    }

    fn observe(&mut self) {
        self.view = self.inputs.view.borrow_and_update().clone();
        self.ownership.observe(self.view.live(&self.inputs.domain));
    }

    /// Failure domains that have hosts, sorted.
    fn domains(&self) -> Vec<Name> {
        let hosts = self
            .configuration
            .hosts
            .iter()
            .filter(|host| host.state == Life::Active);
        let mut domains: Vec<Name> = hosts.map(|host| host.domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Live hosts of `domain`, the preferred owner first.
    fn candidates(&self, domain: &Name) -> Vec<id::Host> {
        let live = self.view.live(domain);
        let configured = self.configuration.hosts.iter();
        let mut hosts: Vec<_> = configured
            .filter(|host| live.binary_search(&host.id).is_ok())
            .collect();
        hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        hosts.into_iter().map(|host| host.id).collect()
    }
}

// Ownership.
impl Scheduler {
    fn follow_owners(&mut self, now: Time) {
        for domain in self.domains() {
            let owner = self.owner(&domain, now);
            self.borrower.set_owner(now, &domain, owner);
        }
    }

    fn owner(&mut self, domain: &Name, now: Time) -> Option<id::Host> {
        if *domain == self.inputs.domain {
            return self.ownership.owner(now);
        }
        let candidates = self.candidates(domain);
        self.owners.update(domain, &candidates, now)
    }

    fn ask(&mut self, now: Time) {
        if now < self.next_ask {
            return;
        }
        self.next_ask = now.plus_ms(ASK_INTERVAL_MS);
        if let Some(ask) = self.ownership.ask(now) {
            self.send_to_domain(&Packet::Ask(ask));
        }
    }

    /// Starts or ends lending as the support of this host changes.
    fn lend(&mut self, now: Time) {
        let Some(share) = self.ownership.share(now) else {
            if self.lender.take().is_some() {
                info!(self.inputs.log, "no longer the owner of the failure domain");
            }
            return;
        };
        let support = Support {
            supporters: share.supporters,
            hosts: share.hosts,
        };
        if self.lender.is_none() {
            self.lender_incarnation += 1;
            self.lender = Some(Lender::new(now, self.lender_incarnation, Tuning::default()));
            self.configure(now);
            info!(self.inputs.log, "owner of the failure domain";
                "supporters" => share.supporters, "hosts" => share.hosts);
        }
        if let Some(lender) = &mut self.lender {
            lender.set_support(support);
        }
    }

    fn send_to_domain(&self, packet: &Packet) {
        for host in self.view.live(&self.inputs.domain) {
            self.send(host, packet);
        }
    }

    fn send(&self, to: id::Host, packet: &Packet) {
        if to == self.inputs.origin.host {
            return;
        }
        if let Some(address) = self.view.address(to) {
            self.inputs.outbox.send(address, packet);
        }
    }
}

// Packets and decisions.
impl Scheduler {
    fn packet(&mut self, received: Received, now: Time) {
        match received.packet {
            Packet::Report(report) => match &mut self.lender {
                Some(lender) => lender.report(now, &report),
                None => {
                    let owner = self
                        .ownership
                        .owner(now)
                        .filter(|owner| *owner != self.inputs.origin.host);
                    let redirect = Packet::Redirect {
                        from: self.inputs.origin.host,
                        owner,
                    };
                    self.send(report.host, &redirect);
                }
            },
            Packet::Answer { from, answer } => self.answer(from, &answer, now),
            Packet::Redirect {
                from,
                owner: Some(owner),
            } => self.owners.redirect(from, owner, now),
            Packet::Redirect { owner: None, .. } => {}
            Packet::Ask(ask) => {
                let response = self.ownership.on_ask(now, &ask);
                let support = Packet::Support {
                    from: self.inputs.origin.host,
                    answer: response.answer,
                };
                self.send(ask.owner, &support);
                if let Some(release) = response.release {
                    self.send_to_domain(&Packet::Release(release));
                }
            }
            Packet::Support { from, answer } => self.ownership.on_answer(now, from, &answer),
            Packet::Release(release) => self.ownership.on_release(now, &release),
            Packet::Pace { servers, .. } => {
                self.merge_paces(&servers, now);
                self.set_servers(now);
            }
            Packet::Member(_) | Packet::Step { .. } => {}
        }
    }

    fn answer(&mut self, from: id::Host, answer: &Answer, now: Time) {
        self.owners.heard(from, now);
        self.borrower.answer(now, from, answer);
    }

    fn decide(&mut self, now: Time) {
        self.ask(now);
        self.lend(now);
        self.follow_owners(now);
        if self.paces.take_change(now) {
            self.set_servers(now);
        }
        self.send_paces(now);
        // What this host reports to itself can lead to grants that it can use at once.
        while self.borrow(now) | self.answer_reports(now) {}
    }

    fn send_paces(&mut self, now: Time) {
        let Some(paces) = self.paces.due(now) else {
            return;
        };
        for domain in self.domains() {
            let of_domain = |pace: &&Pace| {
                let server = self.configuration.servers.by_id(pace.server);
                server.is_some_and(|server| server.domain == domain)
            };
            let servers: Vec<Pace> = paces.iter().filter(of_domain).copied().collect();
            match self.owner(&domain, now) {
                _ if servers.is_empty() => {}
                Some(owner) if owner == self.inputs.origin.host => self.merge_paces(&servers, now),
                Some(owner) => self.send(
                    owner,
                    &Packet::Pace {
                        from: self.inputs.origin.host,
                        servers,
                    },
                ),
                None => {}
            }
        }
    }

    /// Takes in how servers of this failure domain served one host.
    fn merge_paces(&mut self, servers: &[Pace], now: Time) {
        let Some(lender) = &self.lender else {
            return;
        };
        for pace in servers {
            let configured = self
                .configuration
                .servers
                .by_id(pace.server)
                .map_or(1, |server| server.slots);
            let busy = lender.lent_total(pace.server);
            self.paces.merge(pace, configured, busy, now);
        }
    }

    /// Carries out the decisions of the borrower; returns whether the lender has got something to decide.
    fn borrow(&mut self, now: Time) -> bool {
        let chooser = Chooser {
            calls: &self.calls,
            prefixes: &self.prefixes,
            configuration: &self.configuration,
        };
        let choose = |request: &Request, candidates: &[Candidate]| {
            choose(&chooser, request, candidates, now)
        };
        let mut has_reported = false;
        for action in self.borrower.poll(now, choose) {
            match action {
                Action::Dispatch { request, server } => self.dispatch(request, server),
                Action::Refuse { request, reason } => self.refuse(request, reason),
                Action::Send { to, report } if to == self.inputs.origin.host => {
                    if let Some(lender) = &mut self.lender {
                        lender.report(now, &report);
                        has_reported = true;
                    }
                }
                Action::Send { to, report } => self.send(to, &Packet::Report(report)),
            }
        }
        has_reported
    }

    /// Sends the answers of the lender; returns whether the borrower has got something to decide.
    fn answer_reports(&mut self, now: Time) -> bool {
        let Some(lender) = &mut self.lender else {
            return false;
        };
        let me = self.inputs.origin.host;
        let mut has_answered = false;
        for push in lender.poll(now) {
            if push.to == me {
                self.answer(me, &push.answer, now);
                has_answered = true;
            } else {
                self.send(
                    push.to,
                    &Packet::Answer {
                        from: me,
                        answer: push.answer,
                    },
                );
            }
        }
        has_answered
    }
}

/// Chooses among the servers with an idle slot: by prompt prefix, but not the one that has just failed the request.
fn choose(
    chooser: &Chooser<'_>,
    request: &Request,
    candidates: &[Candidate],
    now: Time,
) -> id::Server {
    let avoid = chooser
        .calls
        .get(request.id)
        .and_then(|entry| entry.call.avoid);
    let is_alternative = |candidate: &&Candidate| Some(candidate.server) != avoid;
    let mut offered: Vec<_> = candidates
        .iter()
        .filter(is_alternative)
        .map(|other| chooser.offer(other))
        .collect();
    if offered.is_empty() {
        offered = candidates
            .iter()
            .map(|candidate| chooser.offer(candidate))
            .collect();
    }
    let prefix = (request.affinity != 0).then_some(choice::Prefix(request.affinity));
    let pick = chooser.prefixes.choose(now, prefix, &offered);
    pick.map_or(id::Server(0), |pick| pick.server)
}

/// What the choice of a server looks at.
struct Chooser<'a> {
    calls: &'a Calls,
    prefixes: &'a choice::Directory,
    configuration: &'a Configuration,
}

impl Chooser<'_> {
    fn offer(&self, candidate: &Candidate) -> choice::Candidate {
        let server = self.configuration.servers.by_id(candidate.server);
        choice::Candidate {
            server: candidate.server,
            idle: candidate.idle,
            busy: candidate.running,
            slots: server.map_or(1, |server| server.slots),
        }
    }
}
