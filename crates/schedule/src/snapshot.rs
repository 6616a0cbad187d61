//! The scheduling state as it is shown to operators.

use primrose_base::id;
use serde::{Deserialize, Serialize};

/// The state of a dispatcher or an allocator at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// One entry per pool, sorted by pool.
    pub pools: Vec<Pool>,
}

/// The state of one pool at a host (dispatcher) or an owner (allocator).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Unique identifier of the pool.
    pub pool: id::Pool,
    /// Virtual time, in weighted tokens per share.
    pub virtual_time: u64,
    /// One entry per account, sorted by account.
    pub accounts: Vec<Account>,
    /// One entry per server, sorted by server.
    pub servers: Vec<Server>,
}

/// The state of one account in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Unique identifier of the account.
    pub account: id::Account,
    /// Weight of the account; at least 1.
    pub share: u64,
    /// Normalised service, in weighted tokens per share.
    pub normalised_service: u64,
    /// Requests that wait for a slot: at this host (dispatcher) or at all hosts (allocator).
    pub waiting: u64,
    /// Weighted tokens that are estimated for requests in flight at all hosts and not yet processed, as far as known.
    pub in_flight: u64,
    /// Weighted tokens processed at all hosts, as far as known.
    pub service: u64,
}

/// The slots of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Unique identifier of the server.
    pub server: id::Server,
    /// Slots that this host holds (dispatcher) or that the owner may lease (allocator).
    pub slots: u32,
    /// Slots leased to hosts; for a dispatcher the same as `slots`.
    pub leased: u32,
    /// Leased slots without a request in flight.
    pub idle: u32,
    /// Whether the server is leaving, so that no new request may start on it.
    pub leaving: bool,
}
