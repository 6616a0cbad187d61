//! Settings of the fair-sharing decisions.

use serde::{Deserialize, Serialize};

/// Weights, intervals and durations, with the defaults of the design page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Weighted tokens per input token.
    pub input_weight: u64,
    /// Weighted tokens per output token.
    pub output_weight: u64,
    /// How much lower the least `v` waiting elsewhere must be before a host gives up a slot, in weighted tokens per
    /// share.
    pub quantum: u64,
    /// How far `v` may lie behind the virtual time of the pool, in weighted tokens per share.
    pub cap: u64,
    /// Time between two regular reports to an owner, in ms.
    pub exchange_ms: u64,
    /// Least time between two reports to an owner, in ms.
    pub urgent_ms: u64,
    /// How long a host keeps a slot that it has no use for, in ms.
    pub hold_ms: u64,
    /// Duration of a lease on the holder's clock, measured from the time the renewal was sent, in ms.
    pub holder_lease_ms: u64,
    /// Duration of a lease on the owner's clock, measured from the time the renewal arrived, in ms.
    ///
    /// Invariant: longer than `holder_lease_ms`, by the drift of two clocks over one lease at least.
    pub owner_lease_ms: u64,
    /// How long an account must have nothing waiting to count as idle, in ms.
    pub grace_ms: u64,
    /// Least time between two grants to one host while grants are paced, in ms.
    pub pacing_ms: u64,
    /// How long grants are paced after a start or a rejoin, in ms.
    pub pacing_duration_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            input_weight: 1,
            output_weight: 2,
            quantum: 2_000,
            cap: 50_000,
            // 500 ms cost 42% more bytes for a gap that was 3% smaller; 1,000 ms left a restarted host with too old a view.
            exchange_ms: 750,
            urgent_ms: 20,
            hold_ms: 1_000,
            holder_lease_ms: 2_000,
            owner_lease_ms: 2_500,
            grace_ms: 1_000,
            pacing_ms: 50,
            pacing_duration_ms: 1_000,
        }
    }
}

impl Settings {
    /// The charge of a request, in weighted tokens.
    pub fn charge(&self, input_tokens: u64, output_tokens: u64) -> u64 {
        input_tokens * self.input_weight + output_tokens * self.output_weight
    }
}
