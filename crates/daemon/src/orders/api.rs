//! Submission and listing of orders in the operators' interface.

use primrose_base::name::Name;
use primrose_config::Configuration;
use primrose_state::api::{
    INVALID_TEXT, Order, OrderRequest, OrderSubmission, Orders, UNAVAILABLE,
};
use primrose_state::order::{Order as Recorded, Spec};
use primrose_state::{Command, Reply};

use crate::replica;
use crate::submit::{Outcome, Submitter};

/// Maximum size of the body of a submitted order; each text in it has at most 256 bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;

/// Timeout of a submission, longer than an election.
const TIMEOUT_MS: u64 = 5_000;

/// Submits the order in `body` to the log.
///
/// An order for a server name that is not in the configuration of this host is refused without asking the log. The
/// code [`INVALID_TEXT`] and the version in the message tell the operator so, because another host may already have a
/// newer configuration.
pub async fn submit(
    body: &[u8],
    configuration: &Configuration,
    submitter: &Submitter,
) -> OrderSubmission {
    let request: OrderRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => {
            return OrderSubmission::refused(
                INVALID_TEXT,
                format!("the body is not a valid order: {error}"),
            );
        }
    };
    let Some(server) = configuration.servers.get(request.server.as_str()) else {
        let message = format!(
            "configuration version {} of this host has no server {}",
            configuration.version, request.server
        );
        return OrderSubmission::refused(INVALID_TEXT, message);
    };
    let spec = Spec {
        id: request.id,
        server: server.id,
        work: request.work,
    };
    match submitter.submit(Command::Order(spec), TIMEOUT_MS).await {
        Outcome::Applied(Reply::Order(outcome)) => OrderSubmission::of(outcome),
        Outcome::Unavailable => {
            let message = "no voter with a majority could be reached; the order was not proposed";
            OrderSubmission::refused(UNAVAILABLE, message)
        }
        Outcome::Applied(_) | Outcome::Unknown => OrderSubmission::Unknown {
            message: "the leader of the log did not answer; submit the same order again to learn the outcome"
                .to_owned(),
        },
    }
}

/// Returns the orders that the replica of this host has recorded.
pub fn list(host: &Name, replica: &replica::Handle) -> Orders {
    let orders = replica.read(|machine| {
        let configuration = machine.configuration();
        let row = |order: &Recorded| row(order, configuration);
        machine.orders().iter().map(row).collect()
    });
    Orders {
        host: host.clone(),
        orders,
    }
}

fn row(order: &Recorded, configuration: &Configuration) -> Order {
    let server = configuration.servers.by_id(order.spec.server);
    Order {
        number: order.number,
        id: order.spec.id.clone(),
        server: server.map(|server| server.name.clone()),
        work: order.spec.work.clone(),
        state: order.state.clone(),
    }
}
