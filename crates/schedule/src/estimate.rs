//! Expected output tokens of a request.
//!
//! Hints are rough: `max_tokens` is a limit that most answers do not reach. The mean of an account's earlier answers in
//! the pool is closer; it is capped by the limit.

use primrose_base::id;

/// An answer moves the mean by one part in so many (as the smoothed round-trip time of RFC 6298 does).
const SMOOTHING: u64 = 8;

/// Means are kept in sixteenths of a token, so that integer division does not stall them.
const SCALE: u64 = 16;

/// Means of the output tokens per pool and account.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Sorted by pool and account.
    means: Vec<Mean>,
}

#[derive(Clone, Copy, Debug)]
struct Mean {
    pool: id::Pool,
    account: id::Account,
    scaled: u64,
}

impl Estimator {
    /// Expected output tokens of a request of `account`.
    ///
    /// `default` counts until the account has had an answer; `limit` is the caller's `max_tokens`.
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
