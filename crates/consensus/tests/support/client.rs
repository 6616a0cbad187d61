//! Clients that read and write registers, and a check that the results are linearizable.

use primrose_base::clock::Time;
use primrose_consensus::entry::Position;
use primrose_consensus::replica::{Output, Replica};
use rand::RngExt;
use rand::rngs::SmallRng;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::cluster::{KEYS, Machine, Oracle};

const SHORTEST_TIMEOUT_MS: u64 = 200;
const LONGEST_TIMEOUT_MS: u64 = 2000;
/// The chance per ms that a client turns to another host if its current host does not take the operation. Other
/// clients keep waiting, so that a leader that was stopped receives operations as soon as it runs again.
const SWITCH_HOST_PROBABILITY_PER_MS: f64 = 0.01;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    /// The value that was read; `None` before the response.
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

/// An operation that took effect or may have taken effect.
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
    /// The host to which the next operation is submitted.
    host: usize,
    next: u64,
}

pub(crate) struct Clients {
    clients: Vec<Client>,
    events: Vec<Event>,
    /// The number of the latest call or response; they are numbered in their order.
    last_event: usize,
    last_value: u32,
    last_context: u64,
    /// When a write was last acknowledged.
    last_write: u64,
    paused: bool,
}

impl Clients {
    pub(crate) fn new(count: usize) -> Clients {
        Clients {
            clients: (0..count).map(|_| Client::default()).collect(),
            events: Vec::new(),
            last_event: 0,
            last_value: 0,
            last_context: 0,
            last_write: 0,
            paused: false,
        }
    }

    /// Stops or resumes the start of new operations. Operations in progress continue.
    pub(crate) fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    fn next_event(&mut self) -> usize {
        self.last_event += 1;
        self.last_event
    }

    /// Abandons operations that have reached their deadline. Their clients, and at random clients whose host is down
    /// or frozen, turn to another host.
    pub(crate) fn time_out(&mut self, rng: &mut SmallRng, now: u64) {
        for at in 0..self.clients.len() {
            let client = &self.clients[at];
            let switches = match &client.pending {
                Some(pending) => now >= pending.deadline,
                None => now > client.next && rng.random_bool(SWITCH_HOST_PROBABILITY_PER_MS),
            };
            if switches {
                self.abandon(at);
                self.clients[at].host = rng.random_range(0..5);
            }
        }
    }

    /// Submits an operation of each client that is due to this host. Returns whether there was any.
    pub(crate) fn submit(
        &mut self,
        rng: &mut SmallRng,
        now: u64,
        clock: Time,
        host: usize,
        replica: &mut Replica,
    ) -> bool {
        let mut submitted = false;
        for at in 0..self.clients.len() {
            let client = &self.clients[at];
            let idle = client.pending.is_none() && client.host == host && now >= client.next;
            if idle && !self.paused {
                self.submit_one(rng, now, clock, at, replica);
                submitted = true;
            }
        }
        submitted
    }

    fn submit_one(
        &mut self,
        rng: &mut SmallRng,
        now: u64,
        clock: Time,
        at: usize,
        replica: &mut Replica,
    ) {
        let key = rng.random_range(0..KEYS);
        let (operation, wait) = if rng.random_bool(0.5) {
            self.last_value += 1;
            let mut data = vec![key as u8];
            data.extend(self.last_value.to_le_bytes());
            let result = replica.propose(clock, data);
            (Operation::Write(self.last_value), result.map(Wait::Write))
        } else {
            self.last_context += 1;
            let result = replica.read_barrier(clock, self.last_context);
            (
                Operation::Read(None),
                result.map(|()| Wait::Read(self.last_context)),
            )
        };
        let client = &mut self.clients[at];
        client.next = now + rng.random_range(1..60);
        match wait {
            Ok(wait) => {
                let host = client.host;
                let call = self.next_event();
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

    /// Ends an operation without an answer. A write may still take effect at any later time, so it is recorded. A
    /// read without an answer has no result to check.
    fn abandon(&mut self, at: usize) {
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

    /// Abandons the operations on a host that crashed. Its clients turn to the next host.
    pub(crate) fn leave_host(&mut self, host: usize) {
        for at in 0..self.clients.len() {
            let client = &mut self.clients[at];
            if client.pending.as_ref().is_some_and(|p| p.host == host) {
                self.abandon(at);
            }
        }
        let waiting = self.clients.iter_mut().filter(|c| c.host == host);
        waiting.for_each(|client| client.host = (host + 1) % 5);
    }

    pub(crate) fn handle_output(
        &mut self,
        now: u64,
        host: usize,
        output: &Output,
        machine: &Machine,
        oracle: &Oracle,
    ) {
        for at in 0..self.clients.len() {
            let Some(pending) = self.clients[at].pending.take_if(|p| p.host == host) else {
                continue;
            };
            // A dropped write must never take effect, so it is not part of the history.
            if let (Wait::Write(position), Some(dropped)) = (&pending.wait, output.dropped)
                && position.index >= dropped
            {
                continue;
            }
            let operation = match pending.wait {
                Wait::Write(position) if output.applied >= position.index => {
                    let committed = oracle.committed[position.index as usize - 1].position;
                    Some(pending.operation).filter(|_| committed == position)
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
            if matches!(operation, Some(Operation::Write(_))) {
                self.last_write = now;
            }
            let response = Some(self.next_event());
            self.events.extend(operation.map(|operation| Event {
                key: pending.key,
                operation,
                call: pending.call,
                response,
            }));
        }
    }

    /// When a write was last acknowledged.
    pub(crate) fn last_write(&self) -> u64 {
        self.last_write
    }

    /// The number of operations that were answered.
    pub(crate) fn answered(&self) -> usize {
        self.events.iter().filter(|e| e.response.is_some()).count()
    }

    /// Checks that each register is linearizable. Together they are then linearizable too, because linearizability is
    /// a local property.
    pub(crate) fn check(&mut self, seed: u64) {
        for at in 0..self.clients.len() {
            self.abandon(at);
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

/// The history of calls and responses in the order of their time, with each operation as a process of its own. A
/// write without an answer ends after everything else if its value was read. Otherwise it is left out: values are
/// unique, so the history is also valid if the write did not happen.
fn actions(events: &[&Event]) -> Vec<(usize, Action<Operation>)> {
    let was_read = |value: u32| {
        let read = Operation::Read(Some(value));
        events.iter().any(|e| e.operation == read)
    };
    let mut timed = Vec::new();
    for (process, event) in events.iter().enumerate() {
        let is_relevant = match event.operation {
            Operation::Write(value) => event.response.is_some() || was_read(value),
            Operation::Read(_) => true,
        };
        if !is_relevant {
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
