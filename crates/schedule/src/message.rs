//! Messages between hosts and the owners of slots.
//!
//! Both directions synchronise state instead of passing events: every message carries a number that increases with
//! each message, and everything that changed since the last message that the receiver has acknowledged. The newest
//! message therefore contains everything that a lost or reordered one contained, and a receiver drops messages that
//! are not newer than the last one. Slots are counted by totals that never decrease (`granted`, `returned`) within
//! one epoch of the lease, so that a duplicate message changes nothing.

use primrose_base::clock::Time;
use primrose_base::id;
use serde::{Deserialize, Serialize};

/// Message from a host to an owner: the demand and usage of the host, and the slots that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The host that sends the report.
    pub host: id::Host,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of this report; increases with every report of this incarnation.
    pub number: u64,
    /// Incarnation of the owner's daemon in its last answer, or 0 if the host has received none.
    pub owner_incarnation: u64,
    /// The lease under which the host holds slots of this owner.
    pub lease: Lease,
    /// When the report was sent, on the clock of the host. The holder's lease starts at this time.
    pub sent: Time,
    /// Number of the last answer that the host received from this owner, or 0.
    pub acknowledged_answer: u64,
    /// Number of the last answer with sums that the host received from this owner, or 0; `None` if the host does not
    /// want sums from this owner.
    pub acknowledged_sums: Option<u64>,
    /// Accounts whose usage changed, by pool.
    pub pools: Vec<Usage>,
    /// Servers whose slot counts changed.
    pub slots: Vec<Slots>,
    /// Counters of origins that no longer report; sent until the owner has acknowledged a report in this epoch.
    pub retired: Vec<Retired>,
}

/// The lease under which one host holds slots of one owner, as the host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lease {
    /// The host has not received an answer from this owner.
    None,
    /// The host holds slots of this epoch.
    Held(u32),
    /// The lease of this epoch ended on the host's clock; the host no longer starts requests on its slots.
    Expired(u32),
}

/// Usage of one pool at one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The pool to which all entries refer.
    pub pool: id::Pool,
    /// The virtual time of the pool as the host knows it, in weighted tokens per share.
    pub virtual_time: u64,
    /// Accounts whose charge or demand changed.
    pub accounts: Vec<Row>,
    /// Offsets that changed.
    pub offsets: Vec<Offset>,
}

/// Charge and demand of one account in one pool at one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The account that is charged.
    pub account: id::Account,
    /// Weighted tokens processed at this host in this incarnation; never decreases.
    pub charge: u64,
    /// Sum over the requests in flight of the estimate minus the tokens already processed, in weighted tokens.
    pub in_flight: u64,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Estimate of the request that is dispatched next, in weighted tokens; 0 if none waits.
    pub estimate: u64,
    /// How long the oldest waiting request has waited, in s.
    pub age_s: u32,
}

/// Slot counts of one server at one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    /// A server of the failure domain of the owner.
    pub server: id::Server,
    /// Slots granted in this epoch, according to the last answer that the host received.
    pub granted: u32,
    /// Slots returned in this epoch.
    pub returned: u32,
    /// Requests in flight from this host, including those whose slot the host no longer holds.
    pub running: u32,
}

/// The charge counter of an origin that no longer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retired {
    /// The pool in which the account was charged.
    pub pool: id::Pool,
    /// The account that was charged.
    pub account: id::Account,
    /// The host of the origin.
    pub host: id::Host,
    /// Incarnation of the host's daemon.
    pub incarnation: u64,
    /// Weighted tokens processed at the origin.
    pub charge: u64,
}

/// The offset of one account, which is raised when the account starts to wait ([`crate::ledger::Ledger::lift`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offset {
    /// The account whose service the offset increases.
    pub account: id::Account,
    /// Weighted tokens that are added to the service of the account; never decreases.
    pub offset: u64,
}

/// Message from an owner to a host, either in reply to a report or on the owner's initiative.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Incarnation of the host that the answer is for; a process with any other incarnation ignores the answer.
    pub host_incarnation: u64,
    /// Incarnation of the owner's daemon.
    pub incarnation: u64,
    /// Number of this answer; increases with every answer of this incarnation.
    pub number: u64,
    /// Epoch of the lease. The host no longer holds any slots of earlier epochs.
    pub epoch: u32,
    /// If the lease is renewed, the start of the new lease: [`Report::sent`] of the newest report.
    pub renewed_from: Option<Time>,
    /// Number of the last report whose rows the owner has, or 0 if the host must send all rows again.
    pub acknowledged_report: u64,
    /// Whether `pools` contains all sums that changed.
    pub has_sums: bool,
    /// Pools with a change or with accounts that wait at other hosts.
    pub pools: Vec<Summary>,
    /// Servers whose grants or recalls changed.
    pub grants: Vec<Grant>,
    /// Counters of origins that no longer report.
    pub retired: Vec<Retired>,
}

/// State of one pool at the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The pool to which all entries refer.
    pub pool: id::Pool,
    /// The virtual time of the pool, in weighted tokens per share.
    pub virtual_time: u64,
    /// Least normalised service among the accounts with requests waiting at other hosts, in weighted tokens per
    /// share; `None` if nothing waits at other hosts.
    pub remote_minimum: Option<u64>,
    /// Accounts whose charge, amount in flight or waiting flag at other hosts changed.
    pub sums: Vec<Sum>,
    /// Offsets that changed.
    pub offsets: Vec<Offset>,
}

/// Sums for one account in one pool over all origins except the receiver of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// The account that is charged.
    pub account: id::Account,
    /// Weighted tokens processed; never decreases.
    pub charge: u64,
    /// Twice the sum of the amounts in flight, in weighted tokens, plus 1 if requests of the account wait at other
    /// hosts. Both are in one field because that saves one byte per account and answer.
    pub in_flight_and_waiting: u64,
}

impl Sum {
    /// Sum of the amounts in flight at other hosts, in weighted tokens.
    pub fn in_flight(&self) -> u64 {
        self.in_flight_and_waiting >> 1
    }

    /// Whether requests of the account wait at other hosts.
    pub fn is_waiting(&self) -> bool {
        self.in_flight_and_waiting & 1 == 1
    }
}

/// Slots of one server that the owner has granted to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// A server of the failure domain of the owner.
    pub server: id::Server,
    /// Slots granted in this epoch; never decreases.
    pub granted: u32,
    /// Set while slots are recalled: the host returns slots as soon as they are free until it holds at most this
    /// many.
    pub keep: Option<u32>,
    /// Whether the server is leaving: no new request may start on it.
    pub leaving: bool,
}
