//! Limits of placement, as operators may set them.

use serde::{Deserialize, Serialize};

use crate::engine::Speed;

/// Limits of the decisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How fast engines are.
    pub speed: Speed,
    /// A request is refused if its first event is expected later than this part of its objective.
    pub limit: f64,
    /// The same for accounts beyond their share.
    pub excess_limit: f64,
    /// How much of `excess_limit` is taken away for each share that an account has got beyond what all accounts could get.
    pub excess_slope: f64,
    /// The same for callers that were refused before and came back: they are late already, so that only their deadline
    /// counts, and a second refusal would have cost them the wait in vain.
    pub return_limit: f64,
    /// The most of the reading of its own prompt that counts against a request, in objectives: a long prompt is late by
    /// itself and must not be refused for it.
    pub own_cap: f64,
    /// Weight of the reading of a prompt against the wait ahead of it: over 1, because it delays others too.
    pub reading_weight: f64,
    /// A prompt whose shared parts are kept nowhere goes to the server that its hash names, unless others are better by
    /// this part of the time to read it: after a restart placers find the parts where they were.
    pub home_weight: f64,
    /// Added to the predicted time for a server of another failure domain, in ms.
    pub remote_ms: f64,
    /// How much the failure rate of a server adds to its predicted time: a server that fails half of its requests
    /// counts as several times slower.
    pub failure_weight: f64,
    /// Weight of the time in which kept parts are fetched from another engine, against waiting: the links are shared, but
    /// no engine works meanwhile.
    pub fetch_weight: f64,
    /// Fewer tokens are read again rather than fetched: setting a transfer up takes some ms.
    pub min_fetch_tokens: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            speed: Speed::default(),
            limit: 0.9,
            excess_limit: 0.35,
            excess_slope: 1.0,
            return_limit: 2.0,
            own_cap: 0.2,
            reading_weight: 3.0,
            home_weight: 0.0,
            remote_ms: 3.0,
            failure_weight: 6.0,
            fetch_weight: 0.5,
            min_fetch_tokens: 2_000,
        }
    }
}

impl Settings {
    /// Checks that all values are usable.
    ///
    /// # Errors
    ///
    /// Returns the name of the first value that is not.
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
            ("own_cap", self.own_cap),
            ("reading_weight", self.reading_weight),
            ("home_weight", self.home_weight),
            ("remote_ms", self.remote_ms),
            ("failure_weight", self.failure_weight),
            ("fetch_weight", self.fetch_weight),
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
