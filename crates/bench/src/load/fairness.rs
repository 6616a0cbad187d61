//! Fairness gap between accounts, computed from the service that their callers received.

use serde::{Deserialize, Serialize};

/// Cumulative service that one account received.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the account.
    pub account: String,
    /// Model of the account. Only accounts of the same group are compared.
    pub group: String,
    /// Weighted tokens divided by the share, from the start up to the end of each interval.
    pub service: Vec<f64>,
}

/// The largest fairness gap of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gap {
    /// Size of the gap, in weighted tokens per share.
    pub gap: f64,
    /// Account that received more service.
    pub ahead: String,
    /// Account that received less service.
    pub behind: String,
    /// Index of the point in the series at which the gap began to grow.
    pub from: usize,
    /// Index of the point in the series at which the gap was largest.
    pub to: usize,
}

/// Returns the largest difference between the normalised service that two accounts of the same group received in the
/// same time span, over all pairs of accounts and all time spans.
///
/// All series must belong to backlogged accounts. For each pair, the result is the largest increase of the difference
/// between the two series, which one pass over them finds.
pub fn largest_gap(series: &[Series]) -> Gap {
    let mut largest = Gap::default();
    for ahead in series {
        for behind in series {
            if ahead.account != behind.account && ahead.group == behind.group {
                let gap = largest_lead(ahead, behind);
                if gap.gap > largest.gap {
                    largest = gap;
                }
            }
        }
    }
    largest
}

/// Returns the largest lead that `ahead` gained over `behind` in any time span.
fn largest_lead(ahead: &Series, behind: &Series) -> Gap {
    let mut gap = Gap {
        ahead: ahead.account.clone(),
        behind: behind.account.clone(),
        ..Gap::default()
    };
    let mut lowest = (0, f64::INFINITY);
    for (index, (a, b)) in ahead.service.iter().zip(&behind.service).enumerate() {
        let difference = a - b;
        if difference < lowest.1 {
            lowest = (index, difference);
        }
        if difference - lowest.1 > gap.gap {
            gap.gap = difference - lowest.1;
            (gap.from, gap.to) = (lowest.0, index);
        }
    }
    gap
}
