//! Sends the recorded orders to the engines, on the log leader only.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_config::{Configuration, Server, State as ServerState};

use crate::order::{Done, Order, State, Work};

/// Bucket units in one load. One unit is added per millisecond and load per minute, so there are no fractions.
const UNITS_PER_LOAD: u64 = 60_000;

/// Intervals of a [`Dispatcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Duration of the leader lease, in milliseconds.
    pub lease_ms: u64,
    /// Allowance for orders of an earlier leader that are still in the network, in milliseconds.
    pub margin_ms: u64,
    /// An order whose answer was lost, or whose end the log does not know, is repeated after this time, in milliseconds.
    pub resend_ms: u64,
    /// An order without an answer is sent again after this time, in milliseconds, but not before `resend_ms`. Longer
    /// than the sender waits for an answer, so that a long load is not started twice.
    pub answer_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease_ms: 500,
            margin_ms: 250,
            resend_ms: 2_000,
            answer_ms: 2_000,
        }
    }
}

/// The right of the log leader to act, as the log reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The term that the lease belongs to.
    pub term: u64,
    /// The lease holds before this time.
    pub until: Time,
    /// Whether an entry of this term is applied. Before that the leader may not know that an order is done, and would
    /// send it after a later one.
    pub applied: bool,
}

/// An order to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The number of the order, by which an engine can recognise a repetition.
    pub number: u64,
    /// The engine.
    pub server: id::Server,
    /// The fencing number: the term of the leader.
    pub fencing: u64,
    /// What the engine is to do.
    pub work: Work,
}

/// What came back for a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The engine carried the order out.
    Done,
    /// The engine refused the order for good.
    Failed(String),
    /// There was no answer; the connection is closed.
    Lost,
    /// The engine has seen a greater fencing number.
    Stale {
        /// The number that it has seen.
        seen: u64,
    },
}

/// What the log leader has to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// To be sent to engines.
    pub requests: Vec<Request>,
    /// To be proposed to the log.
    pub proposals: Vec<Done>,
}

/// The order that a server was sent last and that the log does not know to be done.
#[derive(Clone, Debug)]
struct Flight {
    server: id::Server,
    number: u64,
    /// When it is sent, or proposed as done, again.
    due: Time,
    /// How the order ended, once the engine has answered.
    done: Option<Done>,
}

/// Decides which orders are sent when.
///
/// A server gets one order at a time, in the order of the log, until the log says that it is done. A dispatcher belongs
/// to one term; the log leader makes a new one after each election.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    term: u64,
    elected: Time,
    settings: Settings,
    /// Ascending by server.
    flights: Vec<Flight>,
    /// Units for loads from the weight store. Starts empty, because an earlier leader may just have used its own.
    bucket: u64,
    filled: Time,
    /// An engine has seen a later term.
    stale: bool,
}

impl Dispatcher {
    /// The dispatcher of a leader that was elected in `term` at `now`.
    pub fn new(term: u64, now: Time, settings: Settings) -> Dispatcher {
        Dispatcher {
            term,
            elected: now,
            settings,
            flights: Vec::new(),
            bucket: 0,
            filled: now,
            stale: false,
        }
    }

    /// What to send and to propose at `now`. `orders` are those of the state machine, ascending by number.
    ///
    /// Nothing is sent without a lease of the dispatcher's own term that holds at `now`. Requests and proposals are
    /// repeated until the state machine says that the order is done.
    pub fn poll(
        &mut self,
        now: Time,
        lease: Option<Lease>,
        orders: &[Order],
        configuration: &Configuration,
    ) -> Output {
        self.fill(now, configuration);
        self.forget_finished(orders);
        let leads = lease
            .is_some_and(|lease| lease.term == self.term && lease.applied && now < lease.until);
        if !leads || self.stale {
            return Output::default();
        }
        let proposals = self.proposals(now);
        let mut requests = Vec::new();
        let mut served: Vec<id::Server> = Vec::new();
        for order in orders.iter().filter(|o| o.state == State::Pending) {
            let server = order.spec.server;
            let Err(at) = served.binary_search(&server) else {
                continue;
            };
            served.insert(at, server);
            if self.may_send(now, order, configuration) {
                self.note_sent(now, order);
                requests.push(self.request(order));
            }
        }
        Output {
            requests,
            proposals,
        }
    }

    /// Notes the answer to order `number`; the next poll acts on it.
    pub fn answered(&mut self, now: Time, number: u64, answer: Answer) {
        let resend = now.plus_ms(self.settings.resend_ms);
        let Some(flight) = self.flights.iter_mut().find(|f| f.number == number) else {
            return;
        };
        let failure = match answer {
            Answer::Done => None,
            Answer::Failed(message) => Some(message),
            Answer::Lost => {
                // Not at once: a server that refuses connections would be called in a tight loop.
                flight.due = flight.due.min(resend);
                return;
            }
            Answer::Stale { seen } => {
                self.stale |= seen > self.term;
                return;
            }
        };
        flight.due = now;
        flight.done = Some(Done { number, failure });
    }

    /// The answers that the log does not know and that are due for a proposal.
    fn proposals(&mut self, now: Time) -> Vec<Done> {
        let resend = now.plus_ms(self.settings.resend_ms);
        let mut proposals = Vec::new();
        for flight in self.flights.iter_mut().filter(|f| f.due <= now) {
            if let Some(done) = &flight.done {
                proposals.push(done.clone());
                flight.due = resend;
            }
        }
        proposals
    }

    fn fill(&mut self, now: Time, configuration: &Configuration) {
        let settings = &configuration.settings;
        let loads_per_minute = u64::from(settings.weight_loads_per_minute);
        let added = now.since(self.filled).saturating_mul(loads_per_minute);
        let capacity = UNITS_PER_LOAD * u64::from(settings.weight_load_burst);
        self.bucket = self.bucket.saturating_add(added).min(capacity);
        self.filled = self.filled.max(now);
    }

    fn forget_finished(&mut self, orders: &[Order]) {
        let is_pending = |number: u64| {
            let found = orders.binary_search_by_key(&number, |order| order.number);
            found.is_ok_and(|at| orders[at].state == State::Pending)
        };
        self.flights.retain(|flight| is_pending(flight.number));
    }

    fn may_send(&mut self, now: Time, order: &Order, configuration: &Configuration) -> bool {
        let Some(server) = configuration.servers.by_id(order.spec.server) else {
            return false;
        };
        if server.state != ServerState::Active || !self.is_safe(now, server) {
            return false;
        }
        if let Some(flight) = self.flight(order.spec.server) {
            // A repetition is due only if no answer came in time.
            if flight.done.is_some() || now < flight.due {
                return false;
            }
        }
        if !order.spec.work.loads_weights() {
            return true;
        }
        // A repeated load reads the weights again, so it takes from the bucket again.
        match self.bucket.checked_sub(UNITS_PER_LOAD) {
            Some(rest) => {
                self.bucket = rest;
                true
            }
            None => false,
        }
    }

    /// An engine that ignores fencing numbers must not hear two leaders, so the lease of the earlier one has to end.
    fn is_safe(&self, now: Time, server: &Server) -> bool {
        let wait = self.settings.lease_ms + self.settings.margin_ms;
        server.checks_fencing || now.since(self.elected) >= wait
    }

    fn flight(&self, server: id::Server) -> Option<&Flight> {
        let at = self.flights.binary_search_by_key(&server, |f| f.server);
        at.ok().and_then(|at| self.flights.get(at))
    }

    fn note_sent(&mut self, now: Time, order: &Order) {
        let server = order.spec.server;
        let flight = Flight {
            server,
            number: order.number,
            due: now.plus_ms(self.settings.answer_ms.max(self.settings.resend_ms)),
            done: None,
        };
        match self.flights.binary_search_by_key(&server, |f| f.server) {
            Ok(at) => self.flights[at] = flight,
            Err(at) => self.flights.insert(at, flight),
        }
    }

    fn request(&self, order: &Order) -> Request {
        Request {
            number: order.number,
            server: order.spec.server,
            fencing: self.term,
            work: order.spec.work.clone(),
        }
    }
}
