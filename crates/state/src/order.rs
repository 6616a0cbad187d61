//! Orders to engines: recorded in the log before they are sent.

use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Configuration, State as ServerState};
use serde::{Deserialize, Serialize};

pub use crate::dispatch::{Answer, Dispatcher, Lease, Output, Request, Settings};

/// Orders that may be pending at once.
pub const MAX_PENDING: usize = 4_096;

/// Finished orders that are kept for queries and resends.
pub const MAX_FINISHED: usize = 1_000;

/// Bytes in a name of a model, adapter, version or role, and in the message of a failed order.
pub const MAX_TEXT_BYTES: usize = 256;

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Load a model.
    LoadModel {
        /// The name of the model.
        model: String,
    },
    /// Load an adapter for a model.
    LoadAdapter {
        /// The name of the model.
        model: String,
        /// The name of the adapter.
        adapter: String,
    },
    /// Load another version of a model.
    LoadVersion {
        /// The name of the model.
        model: String,
        /// The version.
        version: String,
    },
    /// Take another role, such as prefill or decode.
    ChangeRole {
        /// The role.
        role: String,
    },
}

impl Work {
    /// Whether the engine reads from the weight store.
    pub fn loads_weights(&self) -> bool {
        !matches!(self, Work::ChangeRole { .. })
    }

    fn texts(&self) -> [&str; 2] {
        match self {
            Work::LoadModel { model } => [model, model],
            Work::LoadAdapter { model, adapter } => [model, adapter],
            Work::LoadVersion { model, version } => [model, version],
            Work::ChangeRole { role } => [role, role],
        }
    }
}

/// An order as it is submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Chosen by the operator. An order that is submitted again with the same id is not recorded a second time.
    pub id: Name,
    /// The engine.
    pub server: id::Server,
    /// What it is to do.
    pub work: Work,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The number of the order.
    pub number: u64,
    /// Why the engine refused it, or none if it was carried out.
    pub failure: Option<String>,
}

/// The state of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// To be sent until the engine answers.
    Pending,
    /// Carried out.
    Done,
    /// Refused by the engine.
    Failed {
        /// What the engine said.
        message: String,
    },
    /// The server left before the order was carried out; the order may have been.
    Cancelled,
}

/// A recorded order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Ascending in the order of the log.
    pub number: u64,
    /// What was submitted.
    #[serde(rename = "draft")]
    pub spec: Spec,
    /// What became of it.
    pub state: State,
}

/// Why an order was not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The server is unknown, leaving or retired.
    #[error("the server is unknown, leaving or retired")]
    NoServer,
    /// The id was used before, for another order.
    #[error("the id was used before, for another order")]
    IdReused,
    /// Too many orders are pending.
    #[error("too many orders are pending")]
    Full,
    /// A text is empty or too long.
    #[error("a text is empty or has more than {MAX_TEXT_BYTES} bytes")]
    InvalidValue,
}

impl Refusal {
    /// The text used in replies and counters.
    pub const fn code(self) -> &'static str {
        match self {
            Refusal::NoServer => "no_server",
            Refusal::IdReused => "id_reused",
            Refusal::Full => "full",
            Refusal::InvalidValue => "invalid_value",
        }
    }
}

/// All orders that are kept.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Orders {
    /// Ascending by number.
    orders: Vec<Order>,
    last_number: u64,
}

impl Orders {
    pub(crate) fn list(&self) -> &[Order] {
        &self.orders
    }

    pub(crate) fn add(
        &mut self,
        spec: &Spec,
        configuration: &Configuration,
    ) -> Result<u64, Refusal> {
        if let Some(order) = self.orders.iter().find(|order| order.spec.id == spec.id) {
            let same = order.spec == *spec;
            return same.then_some(order.number).ok_or(Refusal::IdReused);
        }
        let fits = |text: &str| !text.is_empty() && text.len() <= MAX_TEXT_BYTES;
        if !spec.work.texts().into_iter().all(fits) {
            return Err(Refusal::InvalidValue);
        }
        if !is_active(configuration, spec.server) {
            return Err(Refusal::NoServer);
        }
        if self.count(true) >= MAX_PENDING {
            return Err(Refusal::Full);
        }
        self.last_number += 1;
        self.orders.push(Order {
            number: self.last_number,
            spec: spec.clone(),
            state: State::Pending,
        });
        Ok(self.last_number)
    }

    pub(crate) fn done(&mut self, done: &Done) -> bool {
        let found = self
            .orders
            .binary_search_by_key(&done.number, |order| order.number);
        let Some(order) = found.ok().and_then(|at| self.orders.get_mut(at)) else {
            return false;
        };
        if order.state != State::Pending {
            return false;
        }
        order.state = match &done.failure {
            None => State::Done,
            Some(message) => State::Failed {
                message: shortened(message),
            },
        };
        self.drop_oldest_finished();
        true
    }

    /// Cancels the orders to servers that are no longer active.
    pub(crate) fn cancel_departed(&mut self, configuration: &Configuration) {
        for order in &mut self.orders {
            let pending = order.state == State::Pending;
            if pending && !is_active(configuration, order.spec.server) {
                order.state = State::Cancelled;
            }
        }
        self.drop_oldest_finished();
    }

    fn count(&self, pending: bool) -> usize {
        let matching = |order: &&Order| (order.state == State::Pending) == pending;
        self.orders.iter().filter(matching).count()
    }

    fn drop_oldest_finished(&mut self) {
        let mut surplus = self.count(false).saturating_sub(MAX_FINISHED);
        self.orders.retain(|order| {
            let dropped = surplus > 0 && order.state != State::Pending;
            surplus -= usize::from(dropped);
            !dropped
        });
    }
}

fn is_active(configuration: &Configuration, server: id::Server) -> bool {
    let server = configuration.servers.by_id(server);
    server.is_some_and(|server| server.state == ServerState::Active)
}

/// At most [`MAX_TEXT_BYTES`] of a text, cut between characters.
fn shortened(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
