//! The fake engine: how much callers ask for, and how it flows.

use rand::{Rng, RngExt};

/// Time until the first tokens flow, in ms.
pub const FIRST_TOKEN_MS: u64 = 200;

/// Output tokens that flow at once.
pub const TOKENS_PER_FLOW: u64 = 10;

/// Time between two flows of a server, in ms: 20 to 30 ms a token, so that servers differ.
pub fn flow_interval_ms(server: usize) -> u64 {
    TOKENS_PER_FLOW * (20 + server as u64 % 11)
}

/// What a request turns out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Input tokens.
    pub input: u64,
    /// Output tokens.
    pub output: u64,
}

impl Work {
    /// Draws a request with at most `max_tokens` output tokens. Their number follows a Pareto distribution with a shape of
    /// 1.1: most answers are short, and a few take most of the tokens.
    pub fn draw(rng: &mut impl Rng, max_tokens: u64) -> Work {
        let input = rng.random_range(50..2_000);
        let uniform: f64 = rng.random_range(1e-6..1.0);
        let output = (100.0 * uniform.powf(-1.0 / 1.1)) as u64;
        Work {
            input,
            output: output.min(max_tokens),
        }
    }

    /// Weighted tokens after `tokens` output tokens. The input is charged with the first of them.
    pub fn charge(&self, tokens: u64) -> u64 {
        if tokens == 0 {
            return 0;
        }
        self.input + 2 * tokens
    }
}

/// An answer on its way.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    work: Work,
    tokens: u64,
}

/// What flowed at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Weighted tokens since the last flow.
    pub flowed: u64,
    /// Weighted tokens since the start.
    pub total: u64,
    /// Whether the answer is complete.
    pub is_end: bool,
}

impl Answer {
    /// An answer of which nothing has flowed.
    pub fn new(work: Work) -> Answer {
        Answer { work, tokens: 0 }
    }

    /// Lets the next tokens flow.
    pub fn flow(&mut self) -> Flow {
        let before = self.work.charge(self.tokens);
        self.tokens = (self.tokens + TOKENS_PER_FLOW).min(self.work.output);
        let total = self.work.charge(self.tokens);
        Flow {
            flowed: total - before,
            total,
            is_end: self.tokens == self.work.output,
        }
    }
}
