//! The scheduler task, which owns the request queue of this host and, if the host is the owner of its failure domain,
//! the slots of the domain.
//!
//! The task passes the events of request tasks, packets, the configuration and the membership view to
//! [`primrose_schedule`] and [`primrose_member::ownership`], and carries out the decisions that they return.

mod calls;
mod exchange;
mod monitor;
mod owners;
mod refusals;
mod requests;
mod topology;

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::Configuration;
use primrose_member::ownership::Ownership;
use primrose_proxy::dispatch::Event;
use primrose_schedule::allocator::Allocator;
use primrose_schedule::choice;
use primrose_schedule::dispatcher::Dispatcher;
use primrose_schedule::estimate::Estimator;
use primrose_schedule::ledger::Origin;
use primrose_schedule::retry::Budget;
use primrose_schedule::settings::Settings as ScheduleSettings;
use primrose_schedule::snapshot::Snapshot;
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::counters::Counters;
use crate::membership::View;
use crate::packets::{Outbox, Received};
use crate::scheduler::calls::Calls;
use crate::scheduler::monitor::Monitor;
use crate::scheduler::owners::Owners;
use crate::settings::Limits;

/// Maximum number of inputs that are handled together before decisions are made. Further inputs stay in their
/// channels.
const MAX_BATCH: usize = 256;

/// Time after the start in which membership finds the other hosts and an owner is elected.
const STARTUP_MS: u64 = 5_000;

/// The inputs of the scheduler.
pub struct Inputs {
    /// Id of this host and the start time of its process in wall-clock ms.
    pub origin: Origin,
    /// The failure domain of this host.
    pub domain: Name,
    /// Limits on requests of callers, from the settings.
    pub limits: Limits,
    /// Events of request tasks. The task ends when all senders are dropped.
    pub events: mpsc::UnboundedReceiver<Event>,
    /// Packets of other hosts about scheduling and ownership. The task ends when all senders are dropped.
    pub packets: mpsc::Receiver<Received>,
    /// Requests for the state, from the operators' interface and from the shutdown of the daemon.
    pub queries: mpsc::Receiver<Query>,
    /// The configuration in force on this host; `None` until the first one arrives.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// The latest membership view of the failure detector.
    pub view: watch::Receiver<Arc<View>>,
    /// Becomes true when the daemon starts to drain.
    pub draining: watch::Receiver<bool>,
    /// Sends packets to other hosts.
    pub outbox: Outbox,
    /// Counts dispatched and served requests and the decisions on retries.
    pub counters: Arc<Counters>,
    /// Receives the log lines of the scheduler.
    pub log: Logger,
}

/// A request for the state of the scheduler.
pub struct Query {
    /// Receives the state.
    pub reply: oneshot::Sender<State>,
}

/// The state of the scheduler, as shown to operators.
#[derive(Clone, Debug)]
pub struct State {
    /// Waiting requests and held slots of this host, by pool.
    pub dispatcher: Snapshot,
    /// Waiting requests and leased slots of all hosts, by pool; `None` if this host is not the owner of its failure
    /// domain.
    pub allocator: Option<Snapshot>,
    /// Owner of the failure domain of this host, if it has one.
    pub owner: Option<id::Host>,
    /// Number of requests in flight from this host, in all pools.
    pub in_flight: usize,
}

/// Starts the scheduler task.
pub fn spawn(inputs: Inputs) -> JoinHandle<()> {
    let now = Time::now();
    let mut scheduler = Scheduler {
        dispatcher: Dispatcher::new(
            inputs.origin,
            inputs.domain.clone(),
            ScheduleSettings::default(),
        ),
        allocator: None,
        ownership: Ownership::new(inputs.origin.host, inputs.origin.incarnation, now),
        owners: Owners::default(),
        calls: Calls::default(),
        estimator: Estimator::default(),
        budget: Budget::new(),
        prefixes: choice::Directory::default(),
        started: now,
        monitor: Monitor::default(),
        configuration: Arc::default(),
        domains: Arc::default(),
        view: Arc::default(),
        next_support_request: now,
        allocator_incarnation: inputs.origin.incarnation,
        inputs,
    };
    scheduler.update_configuration(now);
    scheduler.update_view();
    tokio::spawn(scheduler.run())
}

struct Scheduler {
    inputs: Inputs,
    dispatcher: Dispatcher,
    /// `Some` while this host is the owner of its failure domain.
    allocator: Option<Allocator>,
    ownership: Ownership,
    owners: Owners,
    calls: Calls,
    estimator: Estimator,
    budget: Budget,
    prefixes: choice::Directory,
    started: Time,
    monitor: Monitor,
    configuration: Arc<Configuration>,
    /// Failure domains that have active hosts in the configuration, sorted. Kept here because every decision reads
    /// them.
    domains: Arc<[Name]>,
    view: Arc<View>,
    next_support_request: Time,
    /// Incarnation of the latest allocator of this process; each new allocator gets a greater one.
    allocator_incarnation: u64,
}

/// An input of the task.
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
            self.handle(input, now);
            self.handle_pending(now);
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

    /// Handles the inputs that have arrived in the meantime, so that the next decisions take all of them into
    /// account.
    fn handle_pending(&mut self, now: Time) {
        for _ in 0..MAX_BATCH {
            if let Ok(event) = self.inputs.events.try_recv() {
                self.handle(Input::Event(event), now);
            } else if let Ok(packet) = self.inputs.packets.try_recv() {
                self.handle(Input::Packet(packet), now);
            } else {
                return;
            }
        }
    }

    fn handle(&mut self, input: Input, now: Time) {
        match input {
            Input::Event(Event::Arrive { call, reply }) => self.arrive(call, reply, now),
            Input::Event(Event::Progress { id, usage }) => self.record_usage(id, usage),
            Input::Event(Event::End { id, end }) => self.end_request(id, end, now),
            Input::Packet(received) => self.handle_packet(received, now),
            Input::Query(query) => {
                let _ = query.reply.send(self.state(now));
            }
            Input::Configuration => self.update_configuration(now),
            Input::View => self.update_view(),
            Input::Draining => self.drain(now),
            Input::Timer | Input::Closed => {}
        }
    }

    fn next_wake(&self, now: Time) -> Time {
        let mut wake = self
            .dispatcher
            .next_wake(now)
            .min(self.next_support_request);
        if let Some(allocator) = &self.allocator {
            wake = wake.min(allocator.next_wake(now));
        }
        wake.min(self.monitor.next_wake(now))
    }

    fn state(&self, now: Time) -> State {
        State {
            dispatcher: self.dispatcher.snapshot(),
            allocator: self.allocator.as_ref().map(Allocator::snapshot),
            owner: self.ownership.owner(now),
            in_flight: self.dispatcher.in_flight_total(),
        }
    }
}
