//! Tells where a request would go now and why, without placing or counting it.
//!
//! The decision is made by the functions that place requests, on a copy of the placer, so that the explanation cannot
//! differ from the decision. The copy is then dropped.

use std::net::SocketAddrV4;
use std::sync::Arc;

use primrose_base::clock::Time;

use crate::demand::Demand;
use crate::placer::{Candidate, Decision, Placer, Reason, Terms, parts_of};
use crate::share::Excess;

/// The most servers that a report lists. It bounds the size of an answer.
pub const MAX_SERVERS: usize = 256;

/// Why a server of the pool may not get the request. `Placer::usable` checks each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The list says that the server leaves.
    Leaving,
    /// Another server was found at the address.
    Replaced,
    /// A host of the request's failure domain could not connect to the server a short time ago.
    Unreachable,
    /// The server refused a request as full a short time ago.
    Full,
    /// The failure domain of the server is drained.
    Drained,
    /// The request was sent to the server before.
    Tried,
    /// The server is in another failure domain, which the request may not enter.
    Domain,
    /// The server warms up and has got as many requests as it tolerates.
    Warming,
    /// The engine has not enough free memory.
    Memory,
}

impl Exclusion {
    /// All causes.
    pub const ALL: [Exclusion; 9] = [
        Exclusion::Leaving,
        Exclusion::Replaced,
        Exclusion::Unreachable,
        Exclusion::Full,
        Exclusion::Drained,
        Exclusion::Tried,
        Exclusion::Domain,
        Exclusion::Warming,
        Exclusion::Memory,
    ];

    /// The name in answers.
    pub const fn name(self) -> &'static str {
        match self {
            Exclusion::Leaving => "leaving",
            Exclusion::Replaced => "replaced",
            Exclusion::Unreachable => "unreachable",
            Exclusion::Full => "full",
            Exclusion::Drained => "drained",
            Exclusion::Tried => "tried",
            Exclusion::Domain => "other_domain",
            Exclusion::Warming => "warming",
            Exclusion::Memory => "memory",
        }
    }
}

/// Which limit of the settings bounds the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// `limit`, for first attempts.
    Limit,
    /// `excess_limit`, for accounts beyond their share. It falls with the excess and for requests that return.
    ExcessLimit,
    /// `return_limit`, for callers that were refused before.
    ReturnLimit,
}

impl Rule {
    /// The name of the setting.
    pub const fn name(self) -> &'static str {
        match self {
            Rule::Limit => "limit",
            Rule::ExcessLimit => "excess_limit",
            Rule::ReturnLimit => "return_limit",
        }
    }
}

/// Why a server was chosen among the usable ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It has the lowest score.
    Score,
    /// It has the shared parts of the prompt and answers soon enough. Only in pools where copies of parts have a price.
    Holder,
    /// It answers first. For accounts beyond their share in pools where copies of parts have a price.
    Soonest,
}

impl Choice {
    /// The name in answers.
    pub const fn name(self) -> &'static str {
        match self {
            Choice::Score => "lowest_score",
            Choice::Holder => "holds_parts",
            Choice::Soonest => "soonest",
        }
    }
}

/// The limit that applies to the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Which limit of the settings applies.
    pub rule: Rule,
    /// The limit in ms: the setting multiplied by the objective. `excess_limit` is reduced by the excess and for requests
    /// that return before that.
    pub limit_ms: f64,
    /// What the limit leaves for the wait on the chosen server, or on the one with the lowest score, in ms, after the
    /// time that the request has waited and the server's own time. `None` if the limit does not decide, because all
    /// servers are excluded or the request is refused for its deadline.
    pub max_wait_ms: Option<f64>,
    /// Whether the wait on that server exceeds `max_wait_ms`. Such a request is placed, late, only if requests wait.
    pub is_exceeded: bool,
    /// How far the account is beyond its share, without this request, which is admitted after the decision; `None` if it
    /// has no share.
    pub excess: Option<Excess>,
}

/// The predicted times of the request on one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Id of the server.
    pub server: Arc<str>,
    /// Address of the server.
    pub address: SocketAddrV4,
    /// Failure domain of the server.
    pub domain: Arc<str>,
    /// Time until the server starts the request, in ms.
    pub wait_ms: f64,
    /// Prefill time, or the processing time of a plain service, in ms.
    pub own_ms: f64,
    /// Time to the first event, or to the whole answer of a plain service, in ms.
    pub first_event_ms: f64,
    /// Prompt tokens that the server has cached or fetches.
    pub cached_tokens: u32,
    /// Id of the engine from which cached parts would be fetched.
    pub fetch_from: Option<Arc<str>>,
    /// The lower, the better.
    pub score: f64,
    /// What excludes the server; empty if it may get the request.
    pub exclusions: Vec<Exclusion>,
}

/// Where a request would go and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// What the placer would decide.
    pub decision: Decision,
    /// Why the server of the decision was chosen, if there is one.
    pub choice: Option<Choice>,
    /// `None` if the request is refused because of a quarantined part, before any limit applies.
    pub limit: Option<Limit>,
    /// Added to the score of servers of other failure domains, in ms.
    pub leaving_ms: f64,
    /// The chosen server, then the usable servers by their scores, then the excluded ones by their scores; at most
    /// [`MAX_SERVERS`].
    pub servers: Vec<Entry>,
    /// Number of servers of the pool that are not listed.
    pub unlisted: usize,
}

impl Placer {
    /// Explains what [`Placer::place`] would decide.
    pub fn explain(&self, now: Time, demand: &Demand) -> Report {
        let mut placer = self.clone();
        placer.begin(now, demand);
        let quarantined = placer.quarantined(now, demand);
        if quarantined.is_none() {
            placer.record_asked(now, demand);
        }
        let parts = parts_of(demand);
        // All predictions come before the choice, which counts the request.
        let candidates = placer.candidates(now, demand, &parts);
        let terms = placer.terms(now, demand, &parts);
        let mut servers: Vec<Entry> = candidates
            .iter()
            .map(|candidate| placer.entry(now, demand, &terms, candidate))
            .collect();
        let leaving_ms = placer.remote_ms(demand);
        let (decision, choice, limit) = match quarantined {
            Some(refusal) => (refusal, None, None),
            None => placer.chosen(now, demand, &parts, &candidates),
        };
        let chosen = match &decision {
            Decision::Place { server, .. } => Some(&server.id),
            Decision::Refuse { .. } | Decision::Wait { .. } => None,
        };
        servers.sort_by(|a, b| {
            let rank =
                |entry: &Entry| (Some(&entry.server) != chosen, !entry.exclusions.is_empty());
            rank(a).cmp(&rank(b)).then(a.score.total_cmp(&b.score))
        });
        let unlisted = servers.len().saturating_sub(MAX_SERVERS);
        servers.truncate(MAX_SERVERS);
        Report {
            decision,
            choice,
            limit,
            leaving_ms,
            servers,
            unlisted,
        }
    }

    /// The predictions for all servers of the pool, whether they may get the request or not.
    fn candidates(&self, now: Time, demand: &Demand, parts: &[(u64, u32)]) -> Vec<Candidate> {
        let common = self.common_with_source(now, demand, parts);
        let servers = self.servers.iter().enumerate();
        let in_pool = servers.filter(|(_, state)| state.server.pool == demand.pool);
        in_pool
            .map(|(at, state)| {
                let cached_tokens = state.cache.cached_tokens(parts);
                let mut candidate = self.candidate(now, demand, parts, at, cached_tokens, common);
                candidate.score += self.eviction_ms(demand, at, cached_tokens);
                candidate
            })
            .collect()
    }

    fn entry(&self, now: Time, demand: &Demand, terms: &Terms<'_>, candidate: &Candidate) -> Entry {
        let state = &self.servers[candidate.server];
        let causes = Exclusion::ALL.into_iter();
        let fetch = candidate.fetch.as_ref();
        Entry {
            server: Arc::clone(&state.server.id),
            address: state.server.address,
            domain: Arc::clone(&state.server.domain),
            wait_ms: candidate.wait_ms,
            own_ms: candidate.own_ms,
            first_event_ms: candidate.total_ms(),
            cached_tokens: candidate.cached_tokens,
            fetch_from: fetch.map(|fetch| Arc::clone(&self.servers[fetch.from].server.id)),
            score: candidate.score,
            exclusions: causes
                .filter(|cause| self.is_excluded(now, demand, terms, state, *cause))
                .collect(),
        }
    }

    /// Decides about a request that was counted, and tells why.
    fn chosen(
        &mut self,
        now: Time,
        demand: &Demand,
        parts: &[(u64, u32)],
        candidates: &[Candidate],
    ) -> (Decision, Option<Choice>, Option<Limit>) {
        let has_returned = self.has_returned(now, demand, parts);
        let applied = self.limit(now, demand, has_returned);
        let scan = self.scan(now, demand, parts);
        let holder = self.best_holder(now, demand, parts, &scan);
        let usable = self.usable_candidates(now, demand, parts, &scan);
        let best = self.best(demand, &scan, &usable);
        let decision = self.choose(now, demand);
        let id = |candidate: &Candidate| &self.servers[candidate.server].server.id;
        let (choice, considered) = match &decision {
            Decision::Place { server, .. } => {
                let is_chosen = |candidate: &Candidate| *id(candidate) == server.id;
                if let Some(holder) = holder.filter(is_chosen) {
                    (Some(Choice::Holder), Some(holder))
                } else if let Some(best) = best.filter(is_chosen) {
                    (Some(Choice::Score), Some(best))
                } else {
                    let soonest = candidates.iter().copied().find(is_chosen);
                    (Some(Choice::Soonest), soonest)
                }
            }
            Decision::Refuse { .. } | Decision::Wait { .. } => (None, best),
        };
        let is_hopeless = matches!(
            decision,
            Decision::Refuse {
                reason: Reason::Deadline,
                ..
            }
        );
        let decisive = considered.filter(|_| !is_hopeless);
        let wait_limits = decisive.map(|it| (it.wait_ms, self.max_wait_ms(demand, &it, &applied)));
        let limit = Limit {
            rule: applied.rule,
            limit_ms: applied.objectives * f64::from(demand.objective_ms),
            max_wait_ms: wait_limits.map(|(_, max_wait_ms)| max_wait_ms),
            is_exceeded: wait_limits.is_some_and(|(wait_ms, max_wait_ms)| wait_ms > max_wait_ms),
            excess: applied.excess,
        };
        (decision, choice, Some(limit))
    }
}
