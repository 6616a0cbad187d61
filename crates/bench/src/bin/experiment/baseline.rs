//! Queues of the baselines. A baseline starts waiting requests from one or several queues, and each queue knows all
//! requests in it without delay.

use std::collections::VecDeque;

use primrose_model::engine::Work;

use crate::settings::{Deployment, Policy};

/// A simulated request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) id: u64,
    /// The host at which the request arrived.
    pub(crate) host: usize,
    pub(crate) account: usize,
    /// The actual size, which the scheduler does not know in advance.
    pub(crate) work: Work,
    /// Estimated charge, in weighted tokens.
    pub(crate) estimate: u64,
    /// Time of arrival, in us.
    pub(crate) arrived_us: u64,
}

/// The waiting requests and the charge of one account in one queue.
#[derive(Clone, Default)]
struct Account {
    share: u64,
    /// Sum of the weighted tokens that the requests of the account used, of the part of the estimates of its running
    /// requests that they have not used yet, and of what was added each time the account started to wait again.
    charged: u64,
    jobs: VecDeque<Job>,
}

/// A queue of a baseline, either fair among accounts or in order of arrival, and the slots that it uses.
pub(crate) struct Queue {
    /// The host that runs the queue.
    pub(crate) host: usize,
    pub(crate) servers: Vec<usize>,
    is_fair: bool,
    /// Slots that the queue may use, by server; `u64::MAX` if only the slots of the server limit it.
    slots: Vec<u64>,
    /// Slots that the queue uses, by server.
    used: Vec<u64>,
    accounts: Vec<Account>,
    /// Identifiers of the running requests, each with its server.
    running: Vec<(u64, usize)>,
}

impl Queue {
    /// Creates the queues of a policy. [`Policy::Ours`] has none.
    pub(crate) fn for_policy(policy: Policy, deployment: &Deployment) -> Vec<Queue> {
        let hosts = deployment.domains * deployment.hosts_per_domain;
        let all: Vec<usize> = (0..deployment.servers).collect();
        match policy {
            Policy::Ours => Vec::new(),
            Policy::LocalQueues => (0..hosts)
                .map(|host| Queue::local(deployment, host, hosts))
                .collect(),
            Policy::RoundRobin => (0..deployment.servers)
                .map(|server| Queue::new(deployment, 0, vec![server], false))
                .collect(),
            Policy::GrantPerRequest => (0..deployment.domains)
                .map(|domain| {
                    let servers = all.iter().copied();
                    let servers = servers.filter(|s| s % deployment.domains == domain);
                    let host = domain * deployment.hosts_per_domain;
                    Queue::new(deployment, host, servers.collect(), true)
                })
                .collect(),
            Policy::OneDispatcher => vec![Queue::new(deployment, 0, all, true)],
        }
    }

    fn new(deployment: &Deployment, host: usize, servers: Vec<usize>, is_fair: bool) -> Queue {
        let accounts = deployment.shares.iter().map(|&share| Account {
            share,
            ..Account::default()
        });
        Queue {
            host,
            servers,
            is_fair,
            slots: vec![u64::MAX; deployment.servers],
            used: vec![0; deployment.servers],
            accounts: accounts.collect(),
            running: Vec::new(),
        }
    }

    /// Creates the queue of one host, which may use every `hosts`-th slot of the pool.
    fn local(deployment: &Deployment, host: usize, hosts: usize) -> Queue {
        let servers = (0..deployment.servers).collect();
        let mut queue = Queue::new(deployment, host, servers, true);
        queue.slots.fill(0);
        let slots = deployment.slots as usize;
        for slot in (host..deployment.servers * slots).step_by(hosts) {
            queue.slots[slot / slots] += 1;
        }
        queue
    }

    /// Adds a request. If its account had none waiting, the normalised service of the account is raised to the least
    /// of the accounts that wait.
    pub(crate) fn push(&mut self, job: Job) {
        let waiting = self.accounts.iter();
        let waiting = waiting.filter(|account| !account.jobs.is_empty());
        let least = waiting.map(|account| account.charged / account.share).min();
        let account = &mut self.accounts[job.account];
        if account.jobs.is_empty() {
            account.charged = account.charged.max(least.unwrap_or(0) * account.share);
        }
        account.jobs.push_back(job);
    }

    /// Whether the queue may use another slot of the server.
    pub(crate) fn may_use(&self, server: usize) -> bool {
        self.used[server] < self.slots[server]
    }

    /// Returns the request to start next among those for which `can_start` returns true.
    pub(crate) fn next(&self, can_start: impl Fn(&Job) -> bool) -> Option<Job> {
        let heads = self.accounts.iter().filter_map(|account| {
            let job = account.jobs.iter().find(|&job| can_start(job))?;
            let normalised_service = account.charged / account.share;
            Some((if self.is_fair { normalised_service } else { 0 }, job))
        });
        let head = heads.min_by_key(|&(service, job)| (service, job.id));
        head.map(|(_, job)| *job)
    }

    /// Removes a request that starts on `server` and charges its estimate.
    pub(crate) fn start(&mut self, job: &Job, server: usize) {
        let account = &mut self.accounts[job.account];
        account.jobs.retain(|other| other.id != job.id);
        account.charged += job.estimate;
        self.used[server] += 1;
        self.running.push((job.id, server));
    }

    /// Charges a chunk of `weighted_tokens` as far as it exceeds the estimate. `total` is the charge of the request
    /// up to the end of the chunk. The last chunk frees the slot and refunds the unused part of the estimate.
    pub(crate) fn record_chunk(
        &mut self,
        job: &Job,
        weighted_tokens: u64,
        total: u64,
        is_end: bool,
    ) {
        let Some(at) = self.running.iter().position(|r| r.0 == job.id) else {
            return;
        };
        let account = &mut self.accounts[job.account];
        let over = total.saturating_sub(job.estimate);
        account.charged += over.min(weighted_tokens);
        if is_end {
            account.charged -= job.estimate.saturating_sub(total);
            let (_, server) = self.running.swap_remove(at);
            self.used[server] -= 1;
        }
    }

    /// Removes the waiting requests of a host.
    pub(crate) fn remove_host(&mut self, host: usize) {
        for account in &mut self.accounts {
            account.jobs.retain(|job| job.host != host);
        }
    }
}
