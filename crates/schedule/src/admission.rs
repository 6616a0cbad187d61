//! Admission control: whether a host takes on a request, and why not.
//!
//! A refusal is made before any byte of the request leaves the host, so every [`Reason`] has the verdict "not run".

use std::fmt;

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Why a request was refused or dropped from the queue without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The host is shutting down.
    Draining,
    /// The host has no configuration yet.
    NotReady,
    /// The model or plain service is not configured.
    UnknownPool,
    /// The pool has no backend server that is not leaving.
    NoServer,
    /// No owner of the pool's backend servers can be reached, and the host holds no slot.
    Partitioned,
    /// The account has too many requests waiting at this host.
    AccountQueueFull,
    /// Too many requests are waiting at this host.
    HostQueueFull,
    /// The request would wait longer than its deadline.
    Overload,
    /// The request waited until its deadline.
    QueueDeadline,
    /// The voters did not answer, so the idempotency key could not be claimed.
    ClaimUnavailable,
    /// The claim of the idempotency key was too old when the request could have been sent.
    ClaimExpired,
    /// The idempotency key was used for another request.
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

    /// The code in errors and the name of the counter. Callers depend on it, so it never changes.
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

    /// What is known about the execution of the request.
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

/// Limits of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Requests of one account that wait at this host.
    pub account_waiting: usize,
    /// Requests that wait at this host.
    pub host_waiting: usize,
    /// Further requests of accounts that have nothing waiting, so that a few accounts that fill the host's queue do not
    /// shut out the others.
    pub reserve: usize,
    /// How long a request may wait.
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

/// What a host knows when a request arrives.
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
    /// How long the request is expected to wait, if the host has an estimate.
    pub expected_wait_ms: Option<u64>,
}

/// Decides on a request that has just arrived.
///
/// # Errors
///
/// Returns the first [`Reason`] that applies. The limit of the account comes before that of the host, so that a flood is
/// counted as the account's.
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

/// Decides on a request that has waited since `queued`; called when a timer runs out and before each dispatch.
///
/// A host that drains lets its waiting requests run, and a request waits through a partition until its deadline.
///
/// # Errors
///
/// Returns [`Reason::NoServer`] if the last server of the pool has left, and [`Reason::QueueDeadline`].
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
