//! Clients that read and write registers, and the check of what they saw.

use primrose_base::clock::Time;
use primrose_consensus::entry::Position;
use primrose_consensus::replica::{Output, Replica};
use rand::RngExt;
use rand::rngs::SmallRng;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::cluster::{KEYS, Machine, Truth};

const SHORTEST_TIMEOUT_MS: u64 = 200;
const LONGEST_TIMEOUT_MS: u64 = 2000;
/// Chance per ms that a client whose host does not take its operation turns to another one. The others wait, and ask a
/// leader that was stopped as soon as it runs again.
const TURN_AWAY: f64 = 0.01;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    /// The value is known with the response.
    Read(Option<u32>),
    Write(u32),
}

struct Register;

impl Specification for Register {
    type State = u32;
    type Operation = Operation;

    fn init() -> u32 {
        0
    }

    fn apply(operation: &Operation, state: &u32) -> (bool, u32) {
        match operation {
            Operation::Read(value) => (*value == Some(*state), *state),
            Operation::Write(value) => (true, *value),
        }
    }
}

/// An operation that took effect or may have.
struct Event {
    key: usize,
    operation: Operation,
    call: usize,
    response: Option<usize>,
}

enum Wait {
    Write(Position),
    Read(u64),
}

struct Pending {
    host: usize,
    key: usize,
    operation: Operation,
    call: usize,
    wait: Wait,
    deadline: u64,
}

#[derive(Default)]
struct Client {
    pending: Option<Pending>,
    /// The host that it asks next.
    host: usize,
    next: u64,
}

pub(crate) struct Clients {
    clients: Vec<Client>,
    events: Vec<Event>,
    /// Counts calls and responses, in their order.
    clock: usize,
    values: u32,
    contexts: u64,
    paused: bool,
}

impl Clients {
    pub(crate) fn new(count: usize) -> Clients {
        Clients {
            clients: (0..count).map(|_| Client::default()).collect(),
            events: Vec::new(),
            clock: 0,
            values: 0,
            contexts: 0,
            paused: false,
        }
    }

    /// Starts no operations until further notice.
    pub(crate) fn pause(&mut self, pause: bool) {
        self.paused = pause;
    }

    fn tick(&mut self) -> usize {
        self.clock += 1;
        self.clock
    }

    /// Lets clients that wait too long turn to another host.
    pub(crate) fn time_out(&mut self, rng: &mut SmallRng, now: u64) {
        for at in 0..self.clients.len() {
            let client = &self.clients[at];
            let waits = match &client.pending {
                Some(pending) => now >= pending.deadline,
                None => now > client.next && rng.random_bool(TURN_AWAY),
            };
            if waits {
                self.give_up(at);
                self.clients[at].host = rng.random_range(0..5);
            }
        }
    }

    /// Lets the clients whose turn it is ask this host. Returns whether any did.
    pub(crate) fn ask(
        &mut self,
        rng: &mut SmallRng,
        now: u64,
        clock: Time,
        host: usize,
        replica: &mut Replica,
    ) -> bool {
        let mut asked = false;
        for at in 0..self.clients.len() {
            let client = &self.clients[at];
            let idle = client.pending.is_none() && client.host == host && now >= client.next;
            if idle && !self.paused {
                self.ask_one(rng, now, clock, at, replica);
                asked = true;
            }
        }
        asked
    }

    fn ask_one(
        &mut self,
        rng: &mut SmallRng,
        now: u64,
        clock: Time,
        at: usize,
        replica: &mut Replica,
    ) {
        let key = rng.random_range(0..KEYS);
        let (operation, wait) = if rng.random_bool(0.5) {
            self.values += 1;
            let mut data = vec![key as u8];
            data.extend(self.values.to_le_bytes());
            let result = replica.propose(clock, data);
            (Operation::Write(self.values), result.map(Wait::Write))
        } else {
            self.contexts += 1;
            let result = replica.read_barrier(clock, self.contexts);
            (
                Operation::Read(None),
                result.map(|()| Wait::Read(self.contexts)),
            )
        };
        let client = &mut self.clients[at];
        client.next = now + rng.random_range(1..60);
        match wait {
            Ok(wait) => {
                let host = client.host;
                let call = self.tick();
                let deadline = now + rng.random_range(SHORTEST_TIMEOUT_MS..LONGEST_TIMEOUT_MS);
                self.clients[at].pending = Some(Pending {
                    host,
                    key,
                    operation,
                    call,
                    wait,
                    deadline,
                });
            }
            Err(_) => client.host = rng.random_range(0..5),
        }
    }

    /// A write that was not answered may still take effect at any later time; a read without an answer says nothing.
    fn give_up(&mut self, at: usize) {
        let Some(pending) = self.clients[at].pending.take() else {
            return;
        };
        if let Wait::Write(_) = pending.wait {
            self.events.push(Event {
                key: pending.key,
                operation: pending.operation,
                call: pending.call,
                response: None,
            });
        }
    }

    pub(crate) fn lose_host(&mut self, host: usize) {
        for at in 0..self.clients.len() {
            let client = &mut self.clients[at];
            if client.pending.as_ref().is_some_and(|p| p.host == host) {
                self.give_up(at);
            }
        }
        let waiting = self.clients.iter_mut().filter(|c| c.host == host);
        waiting.for_each(|client| client.host = (host + 1) % 5);
    }

    pub(crate) fn answer(
        &mut self,
        now: u64,
        host: usize,
        output: &Output,
        machine: &Machine,
        truth: &Truth,
    ) {
        for at in 0..self.clients.len() {
            let Some(pending) = self.clients[at].pending.take_if(|p| p.host == host) else {
                continue;
            };
            let operation = match pending.wait {
                Wait::Write(position) if output.applied >= position.index => {
                    let winner = truth.committed[position.index as usize - 1].position;
                    Some(pending.operation).filter(|_| winner == position)
                }
                Wait::Read(context) if output.reads.contains(&context) => {
                    Some(Operation::Read(Some(machine.registers[pending.key])))
                }
                Wait::Read(context) if output.aborted_reads.contains(&context) => None,
                Wait::Write(_) | Wait::Read(_) => {
                    self.clients[at].pending = Some(pending);
                    continue;
                }
            };
            self.clients[at].next = self.clients[at].next.max(now + 1);
            let response = Some(self.tick());
            self.events.extend(operation.map(|operation| Event {
                key: pending.key,
                operation,
                call: pending.call,
                response,
            }));
        }
    }

    /// The number of operations that were answered.
    pub(crate) fn answered(&self) -> usize {
        self.events.iter().filter(|e| e.response.is_some()).count()
    }

    /// Checks each register by itself, which suffices: linearizability is a local property.
    pub(crate) fn check(&mut self, seed: u64) {
        for at in 0..self.clients.len() {
            self.give_up(at);
        }
        for key in 0..KEYS {
            let events: Vec<&Event> = self.events.iter().filter(|e| e.key == key).collect();
            let history = History::from_actions(actions(&events));
            let linearizable = WGLChecker::<Register>::is_linearizable(history);
            assert!(
                linearizable,
                "seed {seed}: register {key} is not linearizable"
            );
        }
    }
}

/// Each operation is a process of its own. A write without an answer is left out if nobody read its value (values are
/// unique, so it can be taken not to have happened), and otherwise ends after everything else.
fn actions(events: &[&Event]) -> Vec<(usize, Action<Operation>)> {
    let was_read = |value: u32| {
        let read = Operation::Read(Some(value));
        events.iter().any(|e| e.operation == read)
    };
    let mut timed = Vec::new();
    for (process, event) in events.iter().enumerate() {
        let matters = match event.operation {
            Operation::Write(value) => event.response.is_some() || was_read(value),
            Operation::Read(_) => true,
        };
        if !matters {
            continue;
        }
        let call = match event.operation {
            Operation::Read(_) => Operation::Read(None),
            write @ Operation::Write(_) => write,
        };
        let response = event.response.unwrap_or(usize::MAX);
        timed.push((event.call, process, Action::Call(call)));
        timed.push((response, process, Action::Response(event.operation)));
    }
    timed.sort_by_key(|(time, process, _)| (*time, *process));
    let untimed = timed.into_iter();
    untimed
        .map(|(_, process, action)| (process, action))
        .collect()
}
