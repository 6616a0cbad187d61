//! The operators' settings of the placer.

use serde::{Deserialize, Serialize};

use crate::engine::Speed;

/// Limits and weights of the placer's decisions. A limit that is a share of the objective is
/// multiplied by the latency objective of the request's route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The speed of the engines.
    pub speed: Speed,
    /// A request is refused if its first event is expected later than this share of its objective.
    pub limit: f64,
    /// The value of `limit` for accounts beyond their share.
    pub excess_limit: f64,
    /// The fraction of `excess_limit` that is subtracted for each full share by which an account
    /// exceeds its share of the actual capacity.
    pub excess_slope: f64,
    /// The fraction of `excess_limit` that applies to a request of an account beyond its share that
    /// was refused before. Such a request is late already, and would take the place of one that is
    /// not.
    pub excess_return_part: f64,
    /// The value of `limit` for callers that were refused before and retry. They are late already,
    /// so only their deadline matters, and a second refusal would waste the time they waited.
    pub return_limit: f64,
    /// The most of a request's own prefill time that counts against it, as a share of the
    /// objective: a long prompt takes long on any server and must not be refused for that.
    pub own_cap: f64,
    /// Weight of a request's own prefill time relative to the wait before it: above 1, because the
    /// prefill also delays other requests.
    pub reading_weight: f64,
    /// A prompt whose shared parts are cached nowhere goes to the server that its hash selects,
    /// unless another server is better by this share of the prefill time. After a restart, placers
    /// then find the parts on the same servers as before.
    pub home_weight: f64,
    /// Added to the predicted time for a server in another failure domain, in ms.
    pub remote_ms: f64,
    /// Weight of the costs of requests that leave the failure domain, which are added to `remote_ms` in pools where a
    /// cached token is fetched in less than a quarter of the time in which it is read; 0 turns them off.
    pub crossing_weight: f64,
    /// How strongly the failure rate of a server increases its predicted time: a server that fails
    /// half of its requests counts as several times slower.
    pub failure_weight: f64,
    /// Weight of the time to fetch cached parts from another engine, relative to waiting: a transfer
    /// occupies the links, but no engine has to compute for it.
    pub fetch_weight: f64,
    /// Weight of the costs of copies of prompt parts, in pools where a cached token is fetched in less than a quarter of
    /// the time in which it is read. `fetch_weight` has no effect there unless this is 0, which turns the costs off.
    pub copy_weight: f64,
    /// What the operators pay for the transfer of 1 MB of prompt memory between engines, in tokens that an engine reads for
    /// the same money.
    pub transfer_tokens_per_mb: f64,
    /// What the operators pay for a request that leaves its failure domain, in tokens that an engine reads for the same
    /// money.
    pub leaving_tokens: f64,
    /// The engines that have the parts of a prompt are preferred while they are predicted to answer within this share of
    /// the objective.
    pub holder_limit: f64,
    /// The fewest tokens that are fetched from another engine. Fewer are prefilled again, because
    /// setting up a transfer takes some ms.
    pub min_fetch_tokens: u32,
    /// Whether requests may wait for spare engine time instead of being refused on arrival.
    pub waiting: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            speed: Speed::default(),
            limit: 0.9,
            excess_limit: 0.35,
            excess_slope: 1.0,
            excess_return_part: 0.5,
            return_limit: 2.0,
            own_cap: 0.2,
            reading_weight: 3.0,
            home_weight: 0.0,
            remote_ms: 3.0,
            crossing_weight: 1.0,
            failure_weight: 6.0,
            fetch_weight: 0.5,
            copy_weight: 1.0,
            holder_limit: 0.6,
            transfer_tokens_per_mb: 16.7,
            leaving_tokens: 385.0,
            min_fetch_tokens: 200,
            waiting: false,
        }
    }
}

impl Settings {
    /// Checks that all values are finite and in their ranges.
    ///
    /// # Errors
    ///
    /// Returns a message with the name, range and value of the first invalid setting.
    pub fn check(&self) -> Result<(), String> {
        let positive = [
            ("speed.tokens_per_ms", self.speed.tokens_per_ms),
            ("speed.chunk_tokens", self.speed.chunk_tokens),
            ("limit", self.limit),
            ("excess_limit", self.excess_limit),
            ("return_limit", self.return_limit),
        ];
        let not_negative = [
            (
                "speed.ms_per_million_pairs",
                self.speed.ms_per_million_pairs,
            ),
            ("speed.step_ms", self.speed.step_ms),
            (
                "speed.step_ms_per_thousand",
                self.speed.step_ms_per_thousand,
            ),
            ("speed.first_ms", self.speed.first_ms),
            ("excess_slope", self.excess_slope),
            ("excess_return_part", self.excess_return_part),
            ("own_cap", self.own_cap),
            ("reading_weight", self.reading_weight),
            ("home_weight", self.home_weight),
            ("remote_ms", self.remote_ms),
            ("crossing_weight", self.crossing_weight),
            ("failure_weight", self.failure_weight),
            ("fetch_weight", self.fetch_weight),
            ("copy_weight", self.copy_weight),
            ("transfer_tokens_per_mb", self.transfer_tokens_per_mb),
            ("leaving_tokens", self.leaving_tokens),
        ];
        for (name, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(format!("{name} must be greater than 0, got {value}"));
            }
        }
        for (name, value) in not_negative {
            if !value.is_finite() || value < 0.0 {
                return Err(format!("{name} must not be negative, got {value}"));
            }
        }
        Ok(())
    }
}
