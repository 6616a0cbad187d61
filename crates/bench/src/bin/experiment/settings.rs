//! Settings of the experiment, read from YAML.

use primrose_schedule::settings::Settings as Schedule;
use serde::Deserialize;

/// Everything that a run depends on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Seed of the random numbers for arrivals, request sizes and message losses.
    pub(crate) seed: u64,
    /// Virtual duration of a run, in s.
    pub(crate) duration_s: u64,
    /// Fraction of the messages that the network loses.
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
    /// Servers in all domains together.
    pub(crate) servers: usize,
    /// Slots of each server.
    pub(crate) slots: u32,
    /// Shares of the accounts. The first half of the accounts is backlogged; the last account must have the smallest
    /// share.
    pub(crate) shares: Vec<u64>,
}

/// What happens during a run at [`FAULT_S`], and in some scenarios again at [`REPAIR_S`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Nothing.
    Steady,
    /// An account that had few requests keeps 1,000 requests waiting at each of three hosts until the repair.
    Flood,
    /// A backlogged account sends no requests until the repair, and is then backlogged at two hosts.
    IdleAndBack,
    /// A host that is not an owner crashes.
    HostKilled,
    /// A host stops processing until the repair and keeps its state.
    HostFrozen,
    /// A host crashes and starts again at once, with a new incarnation.
    HostRestarted,
    /// The network separates one failure domain from the others until the repair.
    DomainCut,
    /// A server starts leaving.
    ServerDrained,
    /// The owner of a failure domain crashes.
    OwnerKilled,
}

/// Time at which the fault begins, in s from the start of the run.
pub(crate) const FAULT_S: u64 = 30;
/// Time at which a temporary fault ends, in s from the start of the run.
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

/// The scheduler of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The dispatchers and allocators of `primrose-schedule`.
    Ours,
    /// Each host has a fair queue and a fixed fraction of the slots.
    LocalQueues,
    /// Each host sends its requests to all servers in turn, and each server queues them in order of arrival.
    RoundRobin,
    /// Each failure domain has a fair queue. A host asks for a grant for each request, and returns it at the end.
    GrantPerRequest,
    /// One fair queue for the whole fleet, which knows all requests and slots without delay.
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
