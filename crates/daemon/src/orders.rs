//! The task that sends recorded orders to engines while this replica leads the log.
//!
//! A [`Dispatcher`] decides what is sent; each term in which this replica leads has its own. The lease is checked by
//! the dispatcher and again before every write to a socket ([`send`]), because the process can be suspended in
//! between, for example while a connection is being opened.

pub mod api;
pub mod send;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_state::Command;
use primrose_state::order::{Answer, Completion, Dispatcher, Lease, Request, Settings};
use slog::{Logger, info, warn};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::counters::Counters;
use crate::replica;
use crate::submit::Submitter;
use send::Sender;

/// Interval between two checks of the recorded orders.
const POLL_INTERVAL_MS: u64 = 50;

/// Timeout of one submission of the completion of an order; the dispatcher proposes it again after the same time.
const COMPLETION_TIMEOUT_MS: u64 = 2_000;

/// The inputs of the task.
pub struct Inputs {
    /// The replica of this host.
    pub replica: replica::Handle,
    /// Submits the completions of orders.
    pub submitter: Submitter,
    /// Counts the outcomes of orders.
    pub counters: Arc<Counters>,
    /// Receives the log lines of the task.
    pub log: Logger,
}

/// Starts the task.
pub fn spawn(inputs: Inputs) {
    tokio::spawn(inputs.run());
}

/// The state that is kept while this replica leads in one term.
struct Leadership {
    term: u64,
    dispatcher: Dispatcher,
    sender: Arc<Sender>,
    /// Requests in flight. At the end of the term they are aborted and their connections closed.
    exchanges: JoinSet<Answered>,
}

struct Answered {
    number: u64,
    answer: Answer,
}

struct Addressed {
    address: SocketAddr,
    request: Request,
}

/// The requests to send and the completions to propose after one check of the recorded orders.
struct Work {
    requests: Vec<Addressed>,
    proposals: Vec<Completion>,
}

impl Inputs {
    async fn run(self) {
        let mut interval = tokio::time::interval(Duration::from_millis(POLL_INTERVAL_MS));
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leadership: Option<Leadership> = None;
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                answered = next_answer(&mut leadership) => {
                    if let (Some(leadership), Some(answered)) = (&mut leadership, answered) {
                        self.record_answer(leadership, answered);
                    }
                }
            }
            let lease = self.replica.lease();
            leadership = leadership.filter(|current| lease.is_some_and(|l| l.term == current.term));
            if let Some(lease) = lease {
                let current = leadership.get_or_insert_with(|| self.start_term(lease.term));
                self.advance(current, lease);
            }
        }
    }

    fn start_term(&self, term: u64) -> Leadership {
        let settings = Settings {
            answer_timeout_ms: send::RESEND_TIMEOUT_MS,
            ..Settings::default()
        };
        Leadership {
            term,
            dispatcher: Dispatcher::new(term, Time::now(), settings),
            sender: Arc::new(Sender::new(
                self.replica.clone(),
                term,
                Arc::clone(&self.counters),
            )),
            exchanges: JoinSet::new(),
        }
    }

    fn record_answer(&self, leadership: &mut Leadership, answered: Answered) {
        let Answered { number, answer } = answered;
        match &answer {
            Answer::Done => self.counters.count("order_done"),
            Answer::Lost => self.counters.count("order_lost"),
            Answer::Failed(message) => {
                self.counters.count("order_failed");
                info!(self.log, "an engine refused an order"; "number" => number, "message" => message);
            }
            Answer::Stale { .. } => {
                self.counters.count("order_fenced");
                warn!(self.log, "an engine has seen a later leader, sending no more orders in this term";
                    "number" => number, "term" => leadership.term);
            }
        }
        leadership
            .dispatcher
            .record_answer(Time::now(), number, answer);
    }

    /// Sends the requests and submits the completions that are due.
    fn advance(&self, leadership: &mut Leadership, lease: Lease) {
        let work = self.due(&mut leadership.dispatcher, lease);
        for Addressed { address, request } in work.requests {
            let sender = Arc::clone(&leadership.sender);
            leadership.exchanges.spawn(async move {
                Answered {
                    number: request.number,
                    answer: sender.send(address, &request).await,
                }
            });
        }
        for completion in work.proposals {
            // Not aborted at the end of the term, because a completion is valid under any leader.
            let submitter = self.submitter.clone();
            tokio::spawn(async move {
                submitter
                    .submit(Command::OrderDone(completion), COMPLETION_TIMEOUT_MS)
                    .await
            });
        }
    }

    fn due(&self, dispatcher: &mut Dispatcher, lease: Lease) -> Work {
        self.replica.read(|machine| {
            let configuration = machine.configuration();
            let output = dispatcher.poll(Time::now(), Some(lease), machine.orders(), configuration);
            let addressed = |request: Request| {
                let server = configuration.servers.by_id(request.server)?;
                Some(Addressed {
                    address: server.address,
                    request,
                })
            };
            Work {
                requests: output.requests.into_iter().filter_map(addressed).collect(),
                proposals: output.proposals,
            }
        })
    }
}

/// Waits for the next answer; waits forever if no request is in flight.
async fn next_answer(leadership: &mut Option<Leadership>) -> Option<Answered> {
    if let Some(leadership) = leadership
        && let Some(joined) = leadership.exchanges.join_next().await
    {
        return joined.ok();
    }
    std::future::pending().await
}
