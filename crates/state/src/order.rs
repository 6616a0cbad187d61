//! Orders to engines, which are recorded in the log before they are sent.

use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Configuration, State as ServerState};
use serde::{Deserialize, Serialize};

pub use crate::dispatch::{Answer, Dispatcher, Lease, Output, Request, Settings};

/// Greatest number of pending orders. Further orders are refused.
pub const MAX_PENDING: usize = 4_096;

/// Number of finished orders that are kept, to be listed and to recognise an order that is submitted again.
pub const MAX_FINISHED: usize = 1_000;

/// Greatest length in bytes of the name of a model, adapter, version or role, and of the message of a failed order.
pub const MAX_TEXT_BYTES: usize = 256;

/// The operation that an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Load the weights of a model.
    LoadModel {
        /// Name of the model.
        model: String,
    },
    /// Load an adapter for a model.
    LoadAdapter {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: String,
    },
    /// Load another version of a model.
    LoadVersion {
        /// Name of the model.
        model: String,
        /// Name of the version.
        version: String,
    },
    /// Change the role, for example from prefill to decode.
    ChangeRole {
        /// Name of the new role.
        role: String,
    },
}

impl Work {
    /// Whether the engine reads from the weight store, whose use is limited.
    pub fn loads_weights(&self) -> bool {
        !matches!(self, Work::ChangeRole { .. })
    }

    /// The names in the operation. One that has a single name gives it twice.
    fn names(&self) -> [&str; 2] {
        match self {
            Work::LoadModel { model } => [model, model],
            Work::LoadAdapter { model, adapter } => [model, adapter],
            Work::LoadVersion { model, version } => [model, version],
            Work::ChangeRole { role } => [role, role],
        }
    }
}

/// An order as the operator submits it, with the server's id in place of its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Idempotency key, chosen by the operator. An order that is submitted again with the same id is not recorded
    /// again.
    pub id: Name,
    /// The backend server whose engine carries the order out.
    pub server: id::Server,
    /// The operation to carry out.
    pub work: Work,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Number of the order.
    pub number: u64,
    /// The engine's reason for refusing the order; none if the engine carried it out.
    pub failure: Option<String>,
}

/// The state of a recorded order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Not ended yet. The order is sent, again if needed, until the engine answers.
    Pending,
    /// The engine has carried the order out.
    Done,
    /// The engine has refused the order.
    Failed {
        /// The engine's reason, at most [`MAX_TEXT_BYTES`].
        message: String,
    },
    /// The server was drained or retired before the engine's answer was recorded. The engine may have carried the
    /// order out.
    Cancelled,
}

/// A recorded order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Position in the sequence of all orders, from 1.
    pub number: u64,
    /// The order as it was submitted.
    #[serde(rename = "draft")]
    pub spec: Spec,
    /// Whether the order is pending or how it ended.
    pub state: State,
}

/// Why an order was not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// There is no active server with this id.
    #[error("the server is unknown, leaving or retired")]
    NoServer,
    /// A kept order with other content has the same id.
    #[error("another order has the same id")]
    IdReused,
    /// [`MAX_PENDING`] orders are pending.
    #[error("{MAX_PENDING} orders are pending, no more are accepted")]
    Full,
    /// A name in the operation is empty or longer than [`MAX_TEXT_BYTES`].
    #[error(
        "a model, adapter, version or role name is empty or has more than {MAX_TEXT_BYTES} bytes"
    )]
    InvalidValue,
}

impl Refusal {
    /// The code as it is written in replies and counters.
    pub const fn code(self) -> &'static str {
        match self {
            Refusal::NoServer => "no_server",
            Refusal::IdReused => "id_reused",
            Refusal::Full => "full",
            Refusal::InvalidValue => "invalid_value",
        }
    }
}

/// The pending orders and the last [`MAX_FINISHED`] finished ones.
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
        if !spec.work.names().into_iter().all(fits) {
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

    pub(crate) fn complete(&mut self, completion: &Completion) -> bool {
        let found = self
            .orders
            .binary_search_by_key(&completion.number, |order| order.number);
        let Some(order) = found.ok().and_then(|at| self.orders.get_mut(at)) else {
            return false;
        };
        if order.state != State::Pending {
            return false;
        }
        order.state = match &completion.failure {
            None => State::Done,
            Some(message) => State::Failed {
                message: truncated(message),
            },
        };
        self.drop_oldest_finished();
        true
    }

    /// Cancels the pending orders to servers that are no longer active.
    pub(crate) fn cancel_to_inactive_servers(&mut self, configuration: &Configuration) {
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

/// The first [`MAX_TEXT_BYTES`] of a text at most, cut at a character boundary.
fn truncated(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
