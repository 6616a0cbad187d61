//! Speed figures that are learnt for whole pools.
//!
//! The engines of a pool may all differ from the operators' figures. Without the experience with the others, the placer
//! sends a new engine the load of a default one, and a wrong fixed time of the first event makes it refuse requests
//! that would be in time, or admit ones that would not. Only pools of [`transfer::is_cheap`] have learnt figures.

use std::sync::Arc;

use primrose_route::Document;

use crate::engine::Speed;
use crate::transfer;

/// Step by which one sample moves the learnt `first_ms`, in ms. The step does not depend on how far away the sample is, so
/// that the value approaches the median and single late reports have no effect.
const FIRST_STEP_MS: f64 = 0.5;

/// Bounds of the learnt `first_ms` as factors of the setting: outside of them, something other than the engines delays the
/// first events.
const FIRST_RANGE: std::ops::RangeInclusive<f64> = 0.3..=3.0;

/// The smallest slowdown of an engine of a pool with learnt figures. Some pools have engines that take 0.49 of the default
/// time.
pub const MIN_SLOWDOWN: f64 = 0.3;

/// The learnt figures of one pool.
#[derive(Clone, Debug)]
struct Figure {
    pool: Arc<str>,
    /// Finite and within [`FIRST_RANGE`] of the setting.
    first_ms: f64,
}

/// The learnt figures of all pools that have any.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// Sorted by pool.
    figures: Vec<Figure>,
}

impl Register {
    /// Sets the pools of a new document. Pools that stay retain their figures.
    pub fn set_document(&mut self, document: &Document, speed: &Speed) {
        let old = std::mem::take(&mut self.figures);
        let is_on = |engine| transfer::is_cheap(engine, speed);
        let pools = document.pools.iter();
        let pools = pools.filter(|pool| pool.engine.as_ref().is_some_and(is_on));
        self.figures = pools
            .map(|pool| Figure {
                pool: Arc::clone(&pool.name),
                first_ms: old
                    .iter()
                    .find(|figure| figure.pool == pool.name)
                    .map_or(speed.first_ms, |figure| figure.first_ms),
            })
            .collect();
        self.figures.sort_by(|a, b| a.pool.cmp(&b.pool));
    }

    /// Whether the pool has learnt figures.
    pub fn is_on(&self, pool: &str) -> bool {
        self.position(pool).is_ok()
    }

    /// The speed of an average engine of the pool, apart from the slowdown of each.
    pub fn speed(&self, pool: &str, default: &Speed) -> Speed {
        let mut speed = *default;
        if let Ok(at) = self.position(pool) {
            speed.first_ms = self.figures[at].first_ms;
        }
        speed
    }

    /// Records the fixed time of one first event.
    pub fn record_first(&mut self, pool: &str, first_ms: f64, default: &Speed) {
        if let Ok(at) = self.position(pool) {
            let learnt = &mut self.figures[at].first_ms;
            *learnt += (first_ms - *learnt).clamp(-FIRST_STEP_MS, FIRST_STEP_MS);
            let (least, most) = (*FIRST_RANGE.start(), *FIRST_RANGE.end());
            *learnt = learnt.clamp(least * default.first_ms, most * default.first_ms);
        }
    }

    fn position(&self, pool: &str) -> Result<usize, usize> {
        self.figures
            .binary_search_by(|figure| (*figure.pool).cmp(pool))
    }
}

/// The median of the slowdowns that were measured in a pool, or `None` if there is none.
pub fn median(mut slowdowns: Vec<f64>) -> Option<f64> {
    slowdowns.sort_unstable_by(f64::total_cmp);
    slowdowns.get(slowdowns.len() / 2).copied()
}
