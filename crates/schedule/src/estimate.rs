//! Estimates the output tokens of a request.
//!
//! `max_tokens` of the request is a poor estimate because most answers are shorter. The mean of the account's earlier
//! answers in the pool is closer to the actual number. It is capped by `max_tokens`.

use primrose_base::id;

/// Reciprocal of the weight of a new answer in the moving average; the same as for the smoothed round-trip time of
/// RFC 6298.
const SMOOTHING: u64 = 8;

/// Means are kept in sixteenths of a token. With whole tokens, integer division would keep a mean from following
/// small differences.
const SCALE: u64 = 16;

/// Moving averages of the output tokens per pool and account.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Sorted by pool and account.
    means: Vec<Mean>,
}

#[derive(Clone, Copy, Debug)]
struct Mean {
    pool: id::Pool,
    account: id::Account,
    /// Mean in units of 1 / `SCALE` tokens.
    scaled: u64,
}

impl Estimator {
    /// Returns the expected output tokens of a request of `account`.
    ///
    /// `default` is used until an answer of the account is recorded; `limit` is `max_tokens` of the request.
    pub fn output_tokens(
        &self,
        pool: id::Pool,
        account: id::Account,
        default: u64,
        limit: Option<u64>,
    ) -> u64 {
        let mean = match self.position(pool, account) {
            Ok(at) => self.means[at].scaled.div_ceil(SCALE),
            Err(_) => default,
        };
        limit.map_or(mean, |limit| mean.min(limit))
    }

    /// Records the output tokens of a complete answer.
    pub fn record(&mut self, pool: id::Pool, account: id::Account, output_tokens: u64) {
        let scaled = output_tokens * SCALE;
        match self.position(pool, account) {
            Ok(at) => {
                let mean = &mut self.means[at].scaled;
                *mean = (*mean * (SMOOTHING - 1) + scaled) / SMOOTHING;
            }
            Err(at) => self.means.insert(
                at,
                Mean {
                    pool,
                    account,
                    scaled,
                },
            ),
        }
    }

    fn position(&self, pool: id::Pool, account: id::Account) -> Result<usize, usize> {
        self.means
            .binary_search_by_key(&(pool, account), |mean| (mean.pool, mean.account))
    }
}
