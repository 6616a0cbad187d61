//! The task that owns the queue of this host and, if the host is an owner, the slots of its failure domain.
//!
//! It carries out what [`primrose_schedule`] and [`primrose_member::ownership`] decide: it feeds them the events of
//! request tasks, packets, the configuration and the membership view, and sends what they return.

mod calls;
mod exchange;
mod fleet;
mod owners;
mod pace;
mod refusals;
mod requests;

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
use primrose_schedule::settings::Settings as Tuning;
use primrose_schedule::snapshot::Snapshot;
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::counters::Counters;
use crate::membership::View;
use crate::packets::{Outbox, Received};
use crate::scheduler::calls::Calls;
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
    pub dispatcher: Snapshot,
    /// The leased slots, if this host is an owner.
    pub allocator: Option<Snapshot>,
    /// The owner of this failure domain.
    pub owner: Option<id::Host>,
    /// Requests in flight from this host.
    pub in_flight: usize,
}

/// Starts the scheduler.
pub fn spawn(inputs: Inputs) -> JoinHandle<()> {
    let now = Time::now();
    let mut scheduler = Scheduler {
        dispatcher: Dispatcher::new(inputs.origin, inputs.domain.clone(), Tuning::default()),
        allocator: None,
        ownership: Ownership::new(inputs.origin.host, inputs.origin.incarnation, now),
        owners: Owners::default(),
        calls: Calls::default(),
        estimator: Estimator::default(),
        budget: Budget::new(),
        prefixes: choice::Directory::default(),
        started: now,
        paces: Paces::default(),
        configuration: Arc::default(),
        domains: Arc::default(),
        view: Arc::default(),
        next_ask: now,
        allocator_incarnation: inputs.origin.incarnation,
        inputs,
    };
    scheduler.configure(now);
    scheduler.observe();
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
    paces: Paces,
    configuration: Arc<Configuration>,
    /// Failure domains of the configuration that have hosts, sorted; read with every decision.
    domains: Arc<[Name]>,
    view: Arc<View>,
    next_ask: Time,
    /// Incarnation of the latest allocator of this process; each new one gets a greater one.
    allocator_incarnation: u64,
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
            Input::Event(Event::Progress { id, usage }) => self.flow(id, usage),
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
        let mut wake = self.dispatcher.next_wake(now).min(self.next_ask);
        if let Some(allocator) = &self.allocator {
            wake = wake.min(allocator.next_wake(now));
        }
        wake.min(self.paces.next_wake(now))
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
