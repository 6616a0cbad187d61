//! Baselines: places where requests queue and from which they are started with full knowledge of that place.

use std::collections::VecDeque;

use primrose_model::engine::Work;

use crate::settings::{Deployment, Policy};

/// A request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) id: u64,
    pub(crate) host: usize,
    pub(crate) account: usize,
    pub(crate) work: Work,
    /// Weighted tokens.
    pub(crate) estimate: u64,
    /// Time of arrival, in us.
    pub(crate) since: u64,
}

/// The service of one account in the books of a desk.
#[derive(Clone, Default)]
struct Line {
    share: u64,
    /// Weighted tokens that flowed, were estimated but did not flow, and were added when the account came back.
    charged: u64,
    jobs: VecDeque<Job>,
}

/// A queue of a baseline: fair, or in order of arrival.
pub(crate) struct Desk {
    /// The host that decides.
    pub(crate) home: usize,
    pub(crate) servers: Vec<usize>,
    is_fair: bool,
    /// Slots of each server that the desk may use; `u64::MAX` if only the server limits them.
    parts: Vec<u64>,
    used: Vec<u64>,
    lines: Vec<Line>,
    running: Vec<(u64, usize)>,
}

impl Desk {
    pub(crate) fn all(policy: Policy, deployment: &Deployment) -> Vec<Desk> {
        let hosts = deployment.domains * deployment.hosts_per_domain;
        let all: Vec<usize> = (0..deployment.servers).collect();
        match policy {
            Policy::Ours => Vec::new(),
            Policy::LocalQueues => (0..hosts)
                .map(|host| Desk::local(deployment, host, hosts))
                .collect(),
            Policy::RoundRobin => (0..deployment.servers)
                .map(|server| Desk::new(deployment, 0, vec![server], false))
                .collect(),
            Policy::GrantPerRequest => (0..deployment.domains)
                .map(|domain| {
                    let servers = all.iter().copied();
                    let servers = servers.filter(|s| s % deployment.domains == domain);
                    let home = domain * deployment.hosts_per_domain;
                    Desk::new(deployment, home, servers.collect(), true)
                })
                .collect(),
            Policy::OneDispatcher => vec![Desk::new(deployment, 0, all, true)],
        }
    }

    fn new(deployment: &Deployment, home: usize, servers: Vec<usize>, is_fair: bool) -> Desk {
        let lines = deployment.shares.iter().map(|&share| Line {
            share,
            ..Line::default()
        });
        Desk {
            home,
            servers,
            is_fair,
            parts: vec![u64::MAX; deployment.servers],
            used: vec![0; deployment.servers],
            lines: lines.collect(),
            running: Vec::new(),
        }
    }

    /// A desk with every `hosts`-th slot of the pool.
    fn local(deployment: &Deployment, host: usize, hosts: usize) -> Desk {
        let servers = (0..deployment.servers).collect();
        let mut desk = Desk::new(deployment, host, servers, true);
        desk.parts.fill(0);
        let slots = deployment.slots as usize;
        for slot in (host..deployment.servers * slots).step_by(hosts) {
            desk.parts[slot / slots] += 1;
        }
        desk
    }

    pub(crate) fn push(&mut self, job: Job) {
        let waiting = self.lines.iter().filter(|line| !line.jobs.is_empty());
        let least = waiting.map(|line| line.charged / line.share).min();
        let line = &mut self.lines[job.account];
        if line.jobs.is_empty() {
            line.charged = line.charged.max(least.unwrap_or(0) * line.share);
        }
        line.jobs.push_back(job);
    }

    pub(crate) fn may_use(&self, server: usize) -> bool {
        self.used[server] < self.parts[server]
    }

    /// The request to start next among those that `can_start`.
    pub(crate) fn next(&self, can_start: impl Fn(&Job) -> bool) -> Option<Job> {
        let heads = self.lines.iter().filter_map(|line| {
            let job = line.jobs.iter().find(|&job| can_start(job))?;
            let v = line.charged / line.share;
            Some((if self.is_fair { v } else { 0 }, job))
        });
        let head = heads.min_by_key(|&(v, job)| (v, job.id));
        head.map(|(_, job)| *job)
    }

    pub(crate) fn start(&mut self, job: &Job, server: usize) {
        let line = &mut self.lines[job.account];
        line.jobs.retain(|other| other.id != job.id);
        line.charged += job.estimate;
        self.used[server] += 1;
        self.running.push((job.id, server));
    }

    /// Books what flowed since the last call; `total` is the charge so far.
    pub(crate) fn flow(&mut self, job: &Job, flowed: u64, total: u64, is_end: bool) {
        let Some(at) = self.running.iter().position(|r| r.0 == job.id) else {
            return;
        };
        let line = &mut self.lines[job.account];
        let over = total.saturating_sub(job.estimate);
        line.charged += over.min(flowed);
        if is_end {
            line.charged -= job.estimate.saturating_sub(total);
            let (_, server) = self.running.swap_remove(at);
            self.used[server] -= 1;
        }
    }

    pub(crate) fn remove_host(&mut self, host: usize) {
        for line in &mut self.lines {
            line.jobs.retain(|job| job.host != host);
        }
    }
}
