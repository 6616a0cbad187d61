//! Decides on the log leader which recorded orders are sent to the engines, and when.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_config::{Configuration, Server, State as ServerState};

use crate::order::{Completion, Order, State, Work};

/// Units that one load takes from the token bucket. Each millisecond adds as many units as loads are allowed per
/// minute, which avoids fractions.
const UNITS_PER_LOAD: u64 = 60_000;

/// Durations that a [`Dispatcher`] uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Duration of the leader lease, in milliseconds.
    pub lease_ms: u64,
    /// Additional wait in milliseconds, for orders of an earlier leader that are in transit when its lease ends.
    pub transit_margin_ms: u64,
    /// Time in milliseconds after which an order whose answer was lost is sent again, and the completion of an order
    /// that is still pending in the log is proposed again.
    pub resend_ms: u64,
    /// Time in milliseconds after which an order without an answer is sent again, but at least `resend_ms`. Longer
    /// than the sender waits for an answer, so that a long load is not started twice.
    pub answer_timeout_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease_ms: 500,
            transit_margin_ms: 250,
            resend_ms: 2_000,
            answer_timeout_ms: 2_000,
        }
    }
}

/// The right of the log leader to send orders, as the log reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The term that the lease belongs to.
    pub term: u64,
    /// When the lease ends, exclusive.
    pub until: Time,
    /// Whether the leader has applied an entry of this term. Before that it may not know that an order is done, and
    /// would send the order again after a later one.
    pub caught_up: bool,
}

/// An order to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number of the order, by which an engine can recognise an order that is sent again.
    pub number: u64,
    /// The backend server to send the order to.
    pub server: id::Server,
    /// The fencing number, which is the term of the leader.
    pub fencing: u64,
    /// The operation that the engine is to carry out.
    pub work: Work,
}

/// The result of sending a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The engine carried the order out.
    Done,
    /// The engine refused the order, which is not sent again. The text is its human-readable reason.
    Failed(String),
    /// No answer came, and the connection is closed. The engine may have carried the order out.
    Lost,
    /// The engine has seen a greater fencing number.
    Stale {
        /// A fencing number that the engine has seen.
        seen: u64,
    },
}

/// What the log leader has to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Orders to send to engines.
    pub requests: Vec<Request>,
    /// Completions to propose to the log.
    pub proposals: Vec<Completion>,
}

/// The order that was last sent to a server and is still pending in the log.
#[derive(Clone, Debug)]
struct InFlight {
    server: id::Server,
    number: u64,
    /// When the order is sent again, or its completion is proposed.
    due: Time,
    /// How the order ended; none until the engine has answered.
    completion: Option<Completion>,
}

/// Decides which orders are sent, and when.
///
/// A server gets one order at a time, in the sequence of the log. The next one is sent when the log has recorded the
/// end of the one before. A dispatcher belongs to one term; the log leader creates a new one after each election.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    term: u64,
    elected: Time,
    settings: Settings,
    /// Ascending by server.
    in_flight: Vec<InFlight>,
    /// Token bucket that limits loads from the weight store; one load takes [`UNITS_PER_LOAD`]. Starts empty, because
    /// an earlier leader may just have used up its own bucket.
    bucket: u64,
    refilled: Time,
    /// Whether an engine has seen a later term.
    stale: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of a leader that was elected in `term` at `now`.
    pub fn new(term: u64, now: Time, settings: Settings) -> Dispatcher {
        Dispatcher {
            term,
            elected: now,
            settings,
            in_flight: Vec::new(),
            bucket: 0,
            refilled: now,
            stale: false,
        }
    }

    /// Returns what to send and to propose at `now`. `orders` are those of the state machine, ascending by number.
    ///
    /// Nothing is sent or proposed unless `lease` is of the dispatcher's term, caught up and not ended at `now`.
    /// Requests and proposals are repeated until the order is no longer pending in the state machine.
    pub fn poll(
        &mut self,
        now: Time,
        lease: Option<Lease>,
        orders: &[Order],
        configuration: &Configuration,
    ) -> Output {
        self.refill(now, configuration);
        self.remove_finished(orders);
        let holds_lease = lease
            .is_some_and(|lease| lease.term == self.term && lease.caught_up && now < lease.until);
        if !holds_lease || self.stale {
            return Output::default();
        }
        let proposals = self.proposals(now);
        let mut requests = Vec::new();
        let mut visited: Vec<id::Server> = Vec::new();
        for order in orders.iter().filter(|o| o.state == State::Pending) {
            let server = order.spec.server;
            let Err(at) = visited.binary_search(&server) else {
                continue;
            };
            visited.insert(at, server);
            if self.may_send(now, order, configuration) {
                self.record_sent(now, order);
                requests.push(self.request(order));
            }
        }
        Output {
            requests,
            proposals,
        }
    }

    /// Records the answer to order `number`, which the next [`Dispatcher::poll`] takes into account.
    pub fn record_answer(&mut self, now: Time, number: u64, answer: Answer) {
        let resend = now.plus_ms(self.settings.resend_ms);
        let Some(sent) = self.in_flight.iter_mut().find(|f| f.number == number) else {
            return;
        };
        let failure = match answer {
            Answer::Done => None,
            Answer::Failed(message) => Some(message),
            Answer::Lost => {
                // The order is not sent again at once, to avoid a tight loop with a server that refuses connections.
                sent.due = sent.due.min(resend);
                return;
            }
            Answer::Stale { seen } => {
                self.stale |= seen > self.term;
                return;
            }
        };
        sent.due = now;
        sent.completion = Some(Completion { number, failure });
    }

    /// The completions that are due to be proposed, for the first time or again.
    fn proposals(&mut self, now: Time) -> Vec<Completion> {
        let resend = now.plus_ms(self.settings.resend_ms);
        let mut proposals = Vec::new();
        for sent in self.in_flight.iter_mut().filter(|f| f.due <= now) {
            if let Some(done) = &sent.completion {
                proposals.push(done.clone());
                sent.due = resend;
            }
        }
        proposals
    }

    fn refill(&mut self, now: Time, configuration: &Configuration) {
        let settings = &configuration.settings;
        let loads_per_minute = u64::from(settings.weight_loads_per_minute);
        let added = now.since(self.refilled).saturating_mul(loads_per_minute);
        let capacity = UNITS_PER_LOAD * u64::from(settings.weight_load_burst);
        self.bucket = self.bucket.saturating_add(added).min(capacity);
        self.refilled = self.refilled.max(now);
    }

    fn remove_finished(&mut self, orders: &[Order]) {
        let is_pending = |number: u64| {
            let found = orders.binary_search_by_key(&number, |order| order.number);
            found.is_ok_and(|at| orders[at].state == State::Pending)
        };
        self.in_flight.retain(|sent| is_pending(sent.number));
    }

    /// Whether to send the order now. If it is a load, its units are taken from the bucket.
    fn may_send(&mut self, now: Time, order: &Order, configuration: &Configuration) -> bool {
        let Some(server) = configuration.servers.by_id(order.spec.server) else {
            return false;
        };
        if server.state != ServerState::Active || !self.is_safe_to_send(now, server) {
            return false;
        }
        if let Some(sent) = self.last_sent(order.spec.server) {
            // The order is sent again only if no answer came in time.
            if sent.completion.is_some() || now < sent.due {
                return false;
            }
        }
        if !order.spec.work.loads_weights() {
            return true;
        }
        // A load that is sent again reads the weights again, so it takes from the bucket again.
        match self.bucket.checked_sub(UNITS_PER_LOAD) {
            Some(rest) => {
                self.bucket = rest;
                true
            }
            None => false,
        }
    }

    /// Whether the server can no longer carry out an order of an earlier leader after one of this leader. An engine
    /// that checks fencing numbers refuses such an order; for any other, the earlier leader's lease must have ended.
    fn is_safe_to_send(&self, now: Time, server: &Server) -> bool {
        let wait = self.settings.lease_ms + self.settings.transit_margin_ms;
        server.checks_fencing || now.since(self.elected) >= wait
    }

    fn last_sent(&self, server: id::Server) -> Option<&InFlight> {
        let at = self.in_flight.binary_search_by_key(&server, |f| f.server);
        at.ok().and_then(|at| self.in_flight.get(at))
    }

    fn record_sent(&mut self, now: Time, order: &Order) {
        let server = order.spec.server;
        let sent = InFlight {
            server,
            number: order.number,
            due: now.plus_ms(self.settings.answer_timeout_ms.max(self.settings.resend_ms)),
            completion: None,
        };
        match self.in_flight.binary_search_by_key(&server, |f| f.server) {
            Ok(at) => self.in_flight[at] = sent,
            Err(at) => self.in_flight.insert(at, sent),
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
