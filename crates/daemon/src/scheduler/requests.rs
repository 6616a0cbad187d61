//! The requests of this host, from admission to their end.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_base::verdict::Verdict;
use primrose_config::Kind;
use primrose_member::view::State as Presence;
use primrose_proxy::dispatch::{Call, End, Slot, Usage};
use primrose_proxy::failure::Failure;
use primrose_schedule::admission;
use primrose_schedule::dispatcher;
use primrose_schedule::queue::Request;
use primrose_schedule::retry;
use primrose_wire::peer::Packet;

use crate::scheduler::calls::{Reply, Stage};
use crate::scheduler::{STARTUP_MS, Scheduler, refusals};

impl Scheduler {
    pub(super) fn arrive(&mut self, call: Call, reply: Reply, now: Time) {
        if let Err(failure) = self.admit(&call, now) {
            // Fails if the caller has disconnected, so that the answer is not needed.
            let _ = reply.send(Err(failure));
            return;
        }
        let request = Request {
            id: call.id,
            account: call.account,
            pool: call.pool,
            estimate: self.estimate(&call),
            deadline: call.deadline,
            affinity: call.affinity,
        };
        self.calls.insert(call, reply);
        self.dispatcher.enqueue(now, request);
    }

    /// Decides whether to accept the request, and charges a retry to the retry budget of its account.
    pub(super) fn admit(&mut self, call: &Call, now: Time) -> Result<(), Failure> {
        match &call.retry {
            Some(failure) => self.admit_retry(call.account, failure, now)?,
            None => self.budget.count_request(now, call.account),
        }
        let account = self.configuration.accounts.by_id(call.account);
        let limit = account.map_or(0, |account| self.configuration.waiting_limit(account));
        let limits = admission::Limits {
            account_waiting: limit as usize,
            host_waiting: self.inputs.limits.waiting_per_host as usize,
            deadline_ms: self.inputs.limits.queue_timeout_ms,
            ..admission::Limits::default()
        };
        let load = self.admission_load(call, now);
        admission::check(&limits, &load).map_err(refusals::of_admission)
    }

    pub(super) fn admit_retry(
        &mut self,
        account: id::Account,
        failure: &retry::Failure,
        now: Time,
    ) -> Result<(), Failure> {
        match self.budget.decide(now, account, failure) {
            Ok(reason) => {
                self.inputs.counters.count(reason.code());
                Ok(())
            }
            Err(refusal) => {
                self.inputs.counters.count(refusal.code());
                Err(refusals::of_retry(refusal))
            }
        }
    }

    pub(super) fn admission_load(&self, call: &Call, now: Time) -> admission::Load {
        let pool = self.configuration.pools.by_id(call.pool);
        admission::Load {
            draining: *self.inputs.draining.borrow(),
            ready: true,
            account_waiting: self.dispatcher.waiting(call.pool, call.account),
            host_waiting: self.dispatcher.waiting_total(),
            servers: pool.map(|pool| self.configuration.active_servers(pool.name.as_str()).len()),
            reaches_slots: pool.is_some_and(|pool| self.can_reach_pool(&pool.name, now)),
            expected_wait_ms: None,
        }
    }

    /// Whether this host can reach a host in a failure domain that has servers of the pool.
    pub(super) fn can_reach_pool(&self, pool: &Name, now: Time) -> bool {
        // Until membership has had the time to find the other hosts, requests wait instead of being refused.
        if now.since(self.started) < STARTUP_MS {
            return true;
        }
        let servers = self.configuration.active_servers(pool.as_str());
        let mut hosts = servers
            .iter()
            .flat_map(|server| self.view.live(&server.domain));
        hosts.any(|host| self.is_reachable(host))
    }

    pub(super) fn is_reachable(&self, host: id::Host) -> bool {
        host == self.inputs.origin.host
            || self
                .view
                .member(host)
                .is_some_and(|member| member.state == Presence::Alive)
    }

    pub(super) fn estimate(&self, call: &Call) -> u64 {
        let default = self
            .configuration
            .pools
            .by_id(call.pool)
            .map_or(1, |pool| u64::from(pool.output_estimate));
        let output =
            self.estimator
                .output_tokens(call.pool, call.account, default, call.max_output_tokens);
        self.charge(call.pool, call.input_tokens, output)
    }

    /// Returns the charge for the tokens in weighted tokens, with the weights of the pool.
    pub(super) fn charge(&self, pool: id::Pool, input_tokens: u64, output_tokens: u64) -> u64 {
        let pool = self.configuration.pools.by_id(pool);
        match pool.map(|pool| &pool.kind) {
            Some(Kind::Model {
                input_weight,
                output_weight,
                ..
            }) => {
                input_tokens * u64::from(*input_weight) + output_tokens * u64::from(*output_weight)
            }
            Some(Kind::Plain) | None => output_tokens,
        }
    }

    pub(super) fn record_usage(&mut self, id: u64, usage: Usage) {
        let Some(entry) = self.calls.get(id) else {
            return;
        };
        let total = self.charge(entry.call.pool, usage.input_tokens, usage.output_tokens);
        self.dispatcher.record_progress(id, total);
    }

    pub(super) fn end_request(&mut self, id: u64, end: End, now: Time) {
        let Some(entry) = self.calls.remove(id) else {
            return;
        };
        let call = entry.call;
        let Stage::Running { server } = entry.stage else {
            self.dispatcher.cancel(now, id);
            return;
        };
        let charge = self.charge(call.pool, end.usage.input_tokens, end.usage.output_tokens);
        self.dispatcher.finish(now, id, charge);
        self.monitor.record(server, &end, now);
        if end.verdict == Verdict::Complete {
            self.inputs.counters.count("served");
            self.estimator
                .record(call.pool, call.account, end.usage.output_tokens);
        }
    }

    pub(super) fn dispatch(&mut self, id: u64, server: id::Server) {
        let Some(reply) = self.calls.start(id, server) else {
            return;
        };
        self.inputs.counters.count("dispatched");
        let address = self
            .configuration
            .servers
            .by_id(server)
            .map(|server| server.address);
        let answer = match address {
            Some(address) => Ok(Slot { server, address }),
            None => Err(refusals::of_admission(admission::Reason::NoServer)),
        };
        // Fails if the caller has disconnected. The request task then sends the `End` event of the request.
        let _ = reply.send(answer);
    }

    pub(super) fn refuse(&mut self, id: u64, reason: dispatcher::Reason) {
        let Some(entry) = self.calls.remove(id) else {
            return;
        };
        let Stage::Waiting { reply } = entry.stage else {
            return;
        };
        let reason = match reason {
            dispatcher::Reason::Expired => admission::Reason::QueueDeadline,
            dispatcher::Reason::NoServer => admission::Reason::NoServer,
        };
        let failure = refusals::of_admission(reason);
        let _ = reply.send(Err(failure));
    }

    pub(super) fn drain(&mut self, now: Time) {
        for id in self.calls.waiting() {
            self.dispatcher.cancel(now, id);
            let Some(entry) = self.calls.remove(id) else {
                continue;
            };
            if let Stage::Waiting { reply } = entry.stage {
                let _ = reply.send(Err(Failure::draining()));
            }
        }
        self.dispatcher.leave();
        self.allocator = None;
        if let Some(release) = self.ownership.leave(now) {
            self.send_to_domain(&Packet::SupportRelease(release));
        }
    }
}
