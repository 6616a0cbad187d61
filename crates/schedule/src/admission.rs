//! Admission control: decides whether a host accepts a request.
//!
//! A request is refused before any byte of it is sent to a backend server, so every [`Reason`] has the verdict "not
//! run".

use std::fmt;

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Why a request was refused or dropped from the queue without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The host is shutting down and accepts no new requests.
    Draining,
    /// The host has no configuration yet.
    NotReady,
    /// The model or plain service of the request is not configured.
    UnknownPool,
    /// All backend servers of the pool are leaving, or it has none.
    NoServer,
    /// No owner of the pool's backend servers can be reached, and the host holds no slot of the pool.
    Partitioned,
    /// The account has too many requests waiting at this host.
    AccountQueueFull,
    /// Too many requests are waiting at this host.
    HostQueueFull,
    /// The request is expected to wait longer than its deadline.
    Overload,
    /// The request waited until its deadline.
    QueueDeadline,
    /// The voters did not answer, so the idempotency key could not be claimed.
    ClaimUnavailable,
    /// The claim of the idempotency key was too old by the time the request could be sent.
    ClaimExpired,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The caller disconnected while the request was waiting.
    CallerGone,
}

impl Reason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Reason; 13] = [
        Reason::Draining,
        Reason::NotReady,
        Reason::UnknownPool,
        Reason::NoServer,
        Reason::Partitioned,
        Reason::AccountQueueFull,
        Reason::HostQueueFull,
        Reason::Overload,
        Reason::QueueDeadline,
        Reason::ClaimUnavailable,
        Reason::ClaimExpired,
        Reason::KeyReused,
        Reason::CallerGone,
    ];

    /// Returns the code in error messages, which is also the name of the counter. Clients depend on it, so it must
    /// never change.
    pub const fn code(self) -> &'static str {
        match self {
            Reason::Draining => "draining",
            Reason::NotReady => "not_ready",
            Reason::UnknownPool => "unknown_pool",
            Reason::NoServer => "no_server",
            Reason::Partitioned => "partitioned",
            Reason::AccountQueueFull => "account_queue_full",
            Reason::HostQueueFull => "host_queue_full",
            Reason::Overload => "overload",
            Reason::QueueDeadline => "queue_deadline",
            Reason::ClaimUnavailable => "claim_unavailable",
            Reason::ClaimExpired => "claim_expired",
            Reason::KeyReused => "key_reused",
            Reason::CallerGone => "caller_gone",
        }
    }

    /// Returns what is known about the execution of the request: it has not run.
    pub const fn verdict(self) -> Verdict {
        Verdict::NotRun
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.code())
    }
}

impl std::error::Error for Reason {}

/// Limits on the requests that wait at one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Most requests of one account that may wait at this host.
    pub account_waiting: usize,
    /// Most requests that may wait at this host.
    pub host_waiting: usize,
    /// Additional requests that may wait at this host, only for accounts that have none waiting. A few accounts that
    /// fill the queue of the host thus cannot shut out the others.
    pub reserve: usize,
    /// How long a request may wait, in ms.
    pub deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            account_waiting: 256,
            host_waiting: 2_048,
            reserve: 512,
            deadline_ms: 30_000,
        }
    }
}

/// What a host knows about itself and the pool when it decides on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Whether the host has a configuration.
    pub ready: bool,
    /// Requests of the account that wait at this host.
    pub account_waiting: usize,
    /// Requests that wait at this host.
    pub host_waiting: usize,
    /// Backend servers of the pool that are not leaving; `None` if the pool is not configured.
    pub servers: Option<usize>,
    /// Whether an owner of servers of the pool can be reached or the host holds a slot of the pool.
    pub reaches_slots: bool,
    /// How long the request is expected to wait, in ms, if the host has an estimate.
    pub expected_wait_ms: Option<u64>,
}

/// Decides whether to accept a request that has just arrived.
///
/// # Errors
///
/// Returns the first [`Reason`] that applies. The limit of the account is checked before that of the host, so that a
/// flood of requests is attributed to its account.
pub fn check(limits: &Limits, load: &Load) -> Result<(), Reason> {
    if load.draining {
        return Err(Reason::Draining);
    }
    if !load.ready {
        return Err(Reason::NotReady);
    }
    check_pool(load)?;
    if load.account_waiting >= limits.account_waiting {
        return Err(Reason::AccountQueueFull);
    }
    if load.host_waiting >= host_limit(limits, load) {
        return Err(Reason::HostQueueFull);
    }
    if load
        .expected_wait_ms
        .is_some_and(|ms| ms > limits.deadline_ms)
    {
        return Err(Reason::Overload);
    }
    Ok(())
}

/// Decides whether a request that has waited since `queued` may continue to wait or be dispatched. Called when a
/// timer fires and before each dispatch.
///
/// Waiting requests are not refused because the host is shutting down or partitioned; in a partition they wait until
/// their deadline.
///
/// # Errors
///
/// Returns [`Reason::QueueDeadline`] if the deadline has passed, or else [`Reason::NoServer`] if the pool has no
/// server any more.
pub fn check_waiting(limits: &Limits, load: &Load, queued: Time, now: Time) -> Result<(), Reason> {
    if now.since(queued) >= limits.deadline_ms {
        return Err(Reason::QueueDeadline);
    }
    match load.servers {
        None | Some(0) => Err(Reason::NoServer),
        Some(_) => Ok(()),
    }
}

fn check_pool(load: &Load) -> Result<(), Reason> {
    match load.servers {
        None => Err(Reason::UnknownPool),
        Some(0) => Err(Reason::NoServer),
        Some(_) if !load.reaches_slots => Err(Reason::Partitioned),
        Some(_) => Ok(()),
    }
}

fn host_limit(limits: &Limits, load: &Load) -> usize {
    if load.account_waiting == 0 {
        limits.host_waiting + limits.reserve
    } else {
        limits.host_waiting
    }
}
