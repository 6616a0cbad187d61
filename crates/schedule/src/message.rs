//! Messages between hosts and owners.
//!
//! Both directions synchronise state instead of passing events: every message carries a number that only grows and all
//! that changed since the last number the receiver has confirmed. The newest message therefore contains everything
//! that a lost or overtaken one contained, and a receiver drops messages that are not newer than the last one.
//! Slots are counted by totals that only grow (`granted`, `returned`) within an epoch of the lease, so that a message
//! that arrives twice changes nothing.

use primrose_base::clock::Time;
use primrose_base::id;
use serde::{Deserialize, Serialize};

/// What a host tells an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub host: id::Host,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of this report; grows with every report of this incarnation.
    pub number: u64,
    /// Incarnation of the owner's daemon as the host knows it, or 0.
    pub lender: u64,
    /// The lease under which the host holds slots of this owner.
    pub lease: Lease,
    /// When the report was sent, on the clock of the host. The lease is measured from here.
    pub sent: Time,
    /// Number of the last answer that the host received from this owner, or 0.
    pub seen: u64,
    /// If the host wants the sums of charges from this owner: the number of the last answer that had them, or 0.
    pub sums: Option<u64>,
    /// Accounts whose figures changed.
    pub pools: Vec<Usage>,
    /// Servers whose slot counts changed.
    pub slots: Vec<Slots>,
    /// Counters of origins that no longer report; sent only to an owner that is new to the host.
    pub retired: Vec<Retired>,
}

/// The state of the lease of one host with one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lease {
    /// The host has not received an answer from this owner.
    None,
    /// The host holds slots of this epoch.
    Held(u32),
    /// The lease of this epoch ended on the host's clock; the host will not use its slots any more.
    Void(u32),
}

/// Figures of one pool at one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The pool.
    pub pool: id::Pool,
    /// The virtual time of the pool as the host knows it, in weighted tokens per share.
    pub virtual_time: u64,
    /// Accounts whose figures changed.
    pub accounts: Vec<Row>,
    /// Offsets that changed.
    pub offsets: Vec<Offset>,
}

/// Figures of one account in one pool at one host: its counter and its entry in the demand list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The account.
    pub account: id::Account,
    /// Charge that has flowed at this host in this incarnation, in weighted tokens; only grows.
    pub charge: u64,
    /// Estimates of the requests in flight less what has flowed of each, in weighted tokens.
    pub in_flight: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Estimate of the request that is dispatched next, in weighted tokens; 0 if none waits.
    pub estimate: u64,
    /// Age of the request that has waited longest, in s.
    pub age_s: u32,
}

/// Slots of one server at one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    /// The server.
    pub server: id::Server,
    /// Slots granted in this epoch, as far as the host knows.
    pub granted: u32,
    /// Slots returned in this epoch.
    pub returned: u32,
    /// Requests in flight from this host, also those whose slot is no longer held.
    pub running: u32,
}

/// The counter of an origin that no longer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retired {
    /// The pool.
    pub pool: id::Pool,
    /// The account.
    pub account: id::Account,
    /// The host that charged.
    pub host: id::Host,
    /// Its incarnation.
    pub incarnation: u64,
    /// Charge, in weighted tokens.
    pub charge: u64,
}

/// The lift of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offset {
    /// The account.
    pub account: id::Account,
    /// Weighted tokens that count as service; only grows.
    pub offset: u64,
}

/// What an owner tells a host, in reply to a report or unasked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Incarnation of the host that the answer is for; any other incarnation ignores it.
    pub to: u64,
    /// Incarnation of the owner's daemon.
    pub incarnation: u64,
    /// Number of this answer; grows with every answer of this incarnation.
    pub number: u64,
    /// Epoch of the lease. All slots of earlier epochs are void.
    pub epoch: u32,
    /// `sent` of the newest report, if the lease is renewed.
    pub renewed: Option<Time>,
    /// Number of the last report whose rows the owner has, or 0 if the host must send all rows again.
    pub seen: u64,
    /// Whether `pools` contains all sums that changed.
    pub has_sums: bool,
    /// Figures per pool.
    pub pools: Vec<Level>,
    /// Servers whose grants or recalls changed.
    pub grants: Vec<Grant>,
    /// Counters of origins that no longer report.
    pub retired: Vec<Retired>,
}

/// Figures of one pool at the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Level {
    /// The pool.
    pub pool: id::Pool,
    /// The virtual time of the pool, in weighted tokens per share.
    pub virtual_time: u64,
    /// The least `v` of the accounts that wait at other hosts, in weighted tokens per share.
    pub floor: Option<u64>,
    /// Accounts whose charge at other hosts changed.
    pub sums: Vec<Sum>,
    /// Offsets that changed.
    pub offsets: Vec<Offset>,
}

/// Figures of one account in one pool over all origins but the receiver of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// The account.
    pub account: id::Account,
    /// Sum of the counters, in weighted tokens; only grows.
    pub charge: u64,
    /// Twice the sum of the amounts in flight, in weighted tokens, plus 1 if requests of the account wait at other
    /// hosts. One field, because it saves a byte per account and answer.
    pub in_flight_and_waiting: u64,
}

impl Sum {
    /// Amount in flight, in weighted tokens.
    pub fn in_flight(&self) -> u64 {
        self.in_flight_and_waiting >> 1
    }

    /// Whether requests of the account wait at other hosts.
    pub fn is_waiting(&self) -> bool {
        self.in_flight_and_waiting & 1 == 1
    }
}

/// Slots of one server that a host may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The server.
    pub server: id::Server,
    /// Slots granted in this epoch; only grows.
    pub granted: u32,
    /// If set, the host returns slots as soon as they are free until it holds no more than this.
    pub keep: Option<u32>,
    /// The server is leaving: nothing new may start on it.
    pub leaving: bool,
}
