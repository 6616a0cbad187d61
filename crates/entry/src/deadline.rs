//! Recognises callers that come back after a refusal by their deadlines.

use std::sync::Arc;

/// A caller whose deadline is below this fraction of the longest deadline of its route counts as refused before: the
/// deadlines of first attempts differ by up to 15 %.
const RETURNING_FRACTION: f64 = 0.84;

/// A deadline longer than this multiple of the route's timeout is not recorded. The caller gets an answer or a refusal by
/// the timeout, so such a deadline says nothing about those of others.
const MAX_TIMEOUTS: u64 = 10;

/// The deadlines that callers set on each route.
#[derive(Debug, Default)]
pub struct History {
    /// The longest recorded deadline of each route in ms. Sorted by route.
    longest: Vec<(Arc<str>, u64)>,
}

impl History {
    /// Whether a caller has spent a part of its deadline in an earlier attempt, as far as its deadline shows. Also
    /// records the deadline. All times are in ms.
    pub fn is_returning(&mut self, route: &Arc<str>, timeout_ms: u64, deadline_ms: u64) -> bool {
        let at = self
            .longest
            .binary_search_by(|(name, _)| name.cmp(route))
            .unwrap_or_else(|at| {
                self.longest.insert(at, (Arc::clone(route), 0));
                at
            });
        let longest = &mut self.longest[at].1;
        if deadline_ms <= timeout_ms.saturating_mul(MAX_TIMEOUTS) {
            *longest = (*longest).max(deadline_ms);
        }
        (deadline_ms as f64) < *longest as f64 * RETURNING_FRACTION
    }
}
