//! Counters of refusals, retries and other events.
//!
//! Every counter is declared in [`ALL`], which `docs/counters.md` lists; a test compares the two. Counters are kept
//! in memory for the operators' interface. If the settings contain a statsd address, `cadence` also sends them to it.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

/// Names of all counters, in ascending order for binary search.
pub const ALL: [&str; COUNT] = [
    "account_queue_full",
    "answer_cut_short",
    "answer_timeout",
    "answer_wrong_request",
    "backend_unreachable",
    "body_too_large",
    "body_unreadable",
    "caller_gone",
    "change_accepted",
    "change_refused",
    "change_unknown",
    "claim_expired",
    "claim_granted",
    "claim_unavailable",
    "disk_full",
    "disk_has_room",
    "dispatched",
    "draining",
    "duplicate_request",
    "freeze_detected",
    "host_queue_full",
    "interrupted",
    "key_reused",
    "leader_changed",
    "malformed_body",
    "malformed_header",
    "malformed_path",
    "missing_key",
    "missing_model",
    "no_configuration",
    "no_retry_attempts",
    "no_retry_budget",
    "no_retry_complete",
    "no_retry_delivered",
    "no_retry_non_idempotent",
    "no_server",
    "not_ready",
    "operator_refused",
    "order_done",
    "order_failed",
    "order_fenced",
    "order_lease_ended",
    "order_lost",
    "order_recorded",
    "order_refused",
    "order_sent",
    "order_unknown",
    "overload",
    "partitioned",
    "peer_datagram_refused",
    "peer_refused",
    "queue_deadline",
    "retry_idempotent",
    "retry_not_run",
    "served",
    "stopped",
    "unknown_key",
    "unknown_model",
    "unknown_path",
    "unknown_pool",
    "unknown_service",
    "wrong_answer",
];

const COUNT: usize = 62;

/// Prefix of the counter names that `cadence` sends.
const PREFIX: &str = "primrose";

/// The counters of one daemon since the start of its process.
pub struct Counters {
    /// In the order of [`ALL`].
    values: [AtomicU64; COUNT],
    statsd: StatsdClient,
}

impl Counters {
    /// Creates the counters, all 0. If `statsd` is an address, they are also sent there in the statsd format.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot be opened.
    pub fn open(statsd: Option<SocketAddr>) -> io::Result<Counters> {
        let statsd = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => sending_client(address)?,
        };
        Ok(Counters {
            values: std::array::from_fn(|_| AtomicU64::new(0)),
            statsd,
        })
    }

    /// Adds one to the counter `name`, which must be declared in [`ALL`].
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `amount` to the counter `name`, which must be declared in [`ALL`].
    pub fn add(&self, name: &'static str, amount: u64) {
        let position = ALL.binary_search(&name);
        debug_assert!(position.is_ok(), "the counter {name:?} is not declared");
        if let Ok(position) = position {
            self.values[position].fetch_add(amount, Ordering::Relaxed);
        }
        // A counter that cannot be sent must not make a request fail.
        let _ = self.statsd.count(name, amount);
    }

    /// Returns the name and value of every counter, in the order of [`ALL`].
    pub fn values(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let values = self
            .values
            .iter()
            .map(|value| value.load(Ordering::Relaxed));
        ALL.into_iter().zip(values)
    }
}

fn sending_client(address: SocketAddr) -> io::Result<StatsdClient> {
    let local: SocketAddr = if address.is_ipv4() {
        ([0, 0, 0, 0], 0).into()
    } else {
        (std::net::Ipv6Addr::UNSPECIFIED, 0).into()
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(
        PREFIX,
        QueuingMetricSink::from(sink),
    ))
}
