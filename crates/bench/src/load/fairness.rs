//! Fairness gap between accounts, from the service that their callers saw.

use serde::{Deserialize, Serialize};

/// Cumulative service of one account.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the account.
    pub account: String,
    /// Accounts are compared within a group, that is, a model.
    pub group: String,
    /// Weighted tokens per share up to the end of each interval.
    pub service: Vec<f64>,
}

/// The greatest gap of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gap {
    /// Weighted tokens per share.
    pub gap: f64,
    /// The account that got more.
    pub ahead: String,
    /// The account that got less.
    pub behind: String,
    /// First interval of the time in which the gap arose.
    pub from: usize,
    /// Last interval of that time.
    pub to: usize,
}

/// The greatest difference between the normalised service that two backlogged accounts of a group received in the same
/// span of time, over all spans.
///
/// For each pair this is the greatest rise of the difference of the two series, found in one pass.
pub fn worst(series: &[Series]) -> Gap {
    let mut worst = Gap::default();
    for ahead in series {
        for behind in series {
            if ahead.account != behind.account && ahead.group == behind.group {
                let gap = rise(ahead, behind);
                if gap.gap > worst.gap {
                    worst = gap;
                }
            }
        }
    }
    worst
}

fn rise(ahead: &Series, behind: &Series) -> Gap {
    let mut gap = Gap {
        ahead: ahead.account.clone(),
        behind: behind.account.clone(),
        ..Gap::default()
    };
    let mut lowest = (0, f64::INFINITY);
    for (at, (a, b)) in ahead.service.iter().zip(&behind.service).enumerate() {
        let difference = a - b;
        if difference < lowest.1 {
            lowest = (at, difference);
        }
        if difference - lowest.1 > gap.gap {
            gap.gap = difference - lowest.1;
            (gap.from, gap.to) = (lowest.0, at);
        }
    }
    gap
}
