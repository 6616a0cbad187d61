//! Settings of the experiment, read from YAML.

use primrose_schedule::settings::Settings as Schedule;
use serde::Deserialize;

/// Everything that a run depends on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Seed of arrivals, lengths and network faults.
    pub(crate) seed: u64,
    /// Length of a run.
    pub(crate) duration_s: u64,
    /// Part of the messages that are lost.
    pub(crate) loss: f64,
    /// Settings of the scheduler.
    #[serde(default)]
    pub(crate) schedule: Schedule,
    pub(crate) deployments: Vec<Deployment>,
}

/// The sizes of one deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Deployment {
    pub(crate) name: String,
    pub(crate) domains: usize,
    pub(crate) hosts_per_domain: usize,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    /// One per account. The first half of the accounts is backlogged; the last one is the smallest.
    pub(crate) shares: Vec<u64>,
}

/// What goes wrong during a run, from [`FAULT_S`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    Steady,
    Flood,
    IdleAndBack,
    HostKilled,
    HostFrozen,
    HostRestarted,
    DomainCut,
    ServerDrained,
    OwnerKilled,
}

/// When the fault begins.
pub(crate) const FAULT_S: u64 = 30;
/// When a fault that passes is over.
pub(crate) const REPAIR_S: u64 = 60;

impl Scenario {
    pub(crate) const ALL: [Scenario; 9] = [
        Scenario::Steady,
        Scenario::Flood,
        Scenario::IdleAndBack,
        Scenario::HostKilled,
        Scenario::HostFrozen,
        Scenario::HostRestarted,
        Scenario::DomainCut,
        Scenario::ServerDrained,
        Scenario::OwnerKilled,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady",
            Scenario::Flood => "flood",
            Scenario::IdleAndBack => "idle-and-back",
            Scenario::HostKilled => "host-killed",
            Scenario::HostFrozen => "host-frozen",
            Scenario::HostRestarted => "host-restarted",
            Scenario::DomainCut => "domain-cut",
            Scenario::ServerDrained => "server-drained",
            Scenario::OwnerKilled => "owner-killed",
        }
    }
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Dispatchers and allocators of `primrose-schedule`.
    Ours,
    /// A fair queue per host with a fixed part of the slots.
    LocalQueues,
    /// Every host spreads its requests over all servers in turn; servers queue them in order of arrival.
    RoundRobin,
    /// A fair queue per failure domain; every request asks for a grant and gives it back.
    GrantPerRequest,
    /// One fair queue that knows everything without delay.
    OneDispatcher,
}

impl Policy {
    pub(crate) const ALL: [Policy; 5] = [
        Policy::Ours,
        Policy::LocalQueues,
        Policy::RoundRobin,
        Policy::GrantPerRequest,
        Policy::OneDispatcher,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Policy::Ours => "ours",
            Policy::LocalQueues => "local queues",
            Policy::RoundRobin => "round robin",
            Policy::GrantPerRequest => "grant per request",
            Policy::OneDispatcher => "one dispatcher",
        }
    }
}
