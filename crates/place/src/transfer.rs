//! What a copy of prompt parts on another engine costs.
//!
//! Where links are fast, a transfer delays its own request little, so a comparison of times alone copies parts to
//! whichever engine is idle. Each copy is paid for by the operators and evicts other parts from engines whose memory is
//! full, which are then read again. A copy is therefore made only if the engines that have the parts cannot answer the
//! request in time, and its costs are compared with those of reading the tokens again. All costs are expressed in the
//! unit of the placer's score: ms, weighted by [`Settings::reading_weight`] for the time that an engine computes.

use primrose_route::document::Engine;

use crate::demand::Demand;
use crate::engine::Speed;
use crate::settings::Settings;

/// How many tokens are read again for each token of a part used more than once that a copy evicts: on one day 14.6 M
/// tokens were read again and 35.6 M tokens transferred.
const EVICTION_WEIGHT: f64 = 0.4;

/// An engine that fails this share of its requests has no preference as the one that has the parts: an engine that fails
/// at once always looks idle, and would get all requests for its parts.
pub const MAX_HOLDER_FAILURE_RATE: f64 = 0.15;

/// Costs apply if fetching a cached token takes less than this share of the time in which it is read. With slower
/// links, the time that a transfer takes is its main cost.
const MAX_FETCH_SHARE: f64 = 0.25;

/// Whether an engine of a pool can fetch a cached token in less than a quarter of the time in which it reads one, by the
/// figures of the document and the settings.
pub fn is_cheap(engine: &Engine, speed: &Speed) -> bool {
    let Some(token_bytes) = engine.token_bytes else {
        return false;
    };
    let fetch_ms = token_bytes as f64 * 8.0 / (engine.link_mbps * 1_000.0);
    engine.link_mbps > 0.0 && fetch_ms * speed.tokens_per_ms < MAX_FETCH_SHARE
}

/// The costs of copies between the engines of one pool.
#[derive(Clone, Copy, Debug)]
pub struct Price {
    /// Cost of reading one token; above 0.
    token_ms: f64,
    /// Cost of transferring one token relative to reading it, as the operators set it.
    transfer: f64,
}

impl Price {
    /// The costs for a pool, or `None` if transfers are slow there, so that their time is their cost, or if
    /// [`Settings::copy_weight`] is 0.
    pub fn of(engine: &Engine, settings: &Settings) -> Option<Price> {
        let token_bytes = engine.token_bytes?;
        let is_on = settings.copy_weight > 0.0 && is_cheap(engine, &settings.speed);
        is_on.then(|| Price {
            token_ms: settings.copy_weight * settings.reading_weight / settings.speed.tokens_per_ms,
            transfer: token_bytes as f64 / 1e6 * settings.transfer_tokens_per_mb,
        })
    }

    /// Cost of transferring `tokens` tokens.
    pub fn transfer_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.transfer * self.token_ms
    }

    /// Cost of evicting `tokens` tokens of parts that were used more than once.
    pub fn eviction_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * EVICTION_WEIGHT * self.token_ms
    }

    /// Cost of an answer `total_ms` from now, which is 0 if it is in time: a caller whose answer is late has lost the time
    /// of the objective.
    pub fn late_ms(&self, total_ms: f64, demand: &Demand, settings: &Settings) -> f64 {
        if f64::from(demand.waited_ms) + total_ms <= settings.limit * objective_ms(demand, settings)
        {
            return 0.0;
        }
        settings.copy_weight * f64::from(demand.objective_ms)
    }

    /// Cost of the requests that an engine is expected to fail: the caller has lost the time of the objective.
    pub fn failure_ms(&self, failure_rate: f64, demand: &Demand) -> f64 {
        failure_rate * f64::from(demand.objective_ms)
    }
}

/// Whether an engine that has the parts of the prompt and would answer `total_ms` from now is to get the request, even
/// if another engine would answer earlier with a copy.
pub fn is_soon_enough(total_ms: f64, demand: &Demand, settings: &Settings) -> bool {
    f64::from(demand.waited_ms) + total_ms <= settings.holder_limit * objective_ms(demand, settings)
}

/// The objective of a request in ms. A caller that was refused before is late already.
fn objective_ms(demand: &Demand, settings: &Settings) -> f64 {
    let factor = if demand.returning {
        settings.return_limit
    } else {
        1.0
    };
    f64::from(demand.objective_ms) * factor
}
