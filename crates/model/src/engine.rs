//! A simulated engine: the sizes of requests, and the timing of the generated tokens.

use rand::{Rng, RngExt};

/// Time from the start of a request to its first chunk, in ms.
pub const FIRST_TOKEN_MS: u64 = 200;

/// Output tokens in a chunk; the last chunk of an answer may be shorter.
pub const TOKENS_PER_CHUNK: u64 = 10;

/// Time between two chunks of an answer from the server with the index `server`, in ms. It is 20 to
/// 30 ms per token, so that servers differ in speed.
pub fn chunk_interval_ms(server: usize) -> u64 {
    TOKENS_PER_CHUNK * (20 + server as u64 % 11)
}

/// The actual size of a request, which the scheduler does not know in advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Input tokens.
    pub input: u64,
    /// Output tokens.
    pub output: u64,
}

impl Work {
    /// Draws a random request with at most `max_tokens` output tokens. Their number follows a
    /// Pareto distribution with a shape of 1.1: most answers are short, and a few have most of the
    /// tokens.
    pub fn draw(rng: &mut impl Rng, max_tokens: u64) -> Work {
        let input = rng.random_range(50..2_000);
        let uniform: f64 = rng.random_range(1e-6..1.0);
        let output = (100.0 * uniform.powf(-1.0 / 1.1)) as u64;
        Work {
            input,
            output: output.min(max_tokens),
        }
    }

    /// Weighted tokens of the request after `output` output tokens: an input token counts once, an
    /// output token twice. The input counts as soon as there is an output token.
    pub fn weighted_tokens(&self, output: u64) -> u64 {
        if output == 0 {
            return 0;
        }
        self.input + 2 * output
    }
}

/// An answer that the simulated engine is generating.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    work: Work,
    /// Output tokens generated so far.
    output: u64,
}

/// Tokens that an engine delivers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Weighted tokens of this chunk; the first chunk includes the input.
    pub weighted_tokens: u64,
    /// Weighted tokens of the answer up to the end of this chunk.
    pub total: u64,
    /// Whether this chunk completes the answer.
    pub is_end: bool,
}

impl Answer {
    /// Creates an answer of which no token has been generated.
    pub fn new(work: Work) -> Answer {
        Answer { work, output: 0 }
    }

    /// Generates the next chunk.
    pub fn next_chunk(&mut self) -> Chunk {
        let before = self.work.weighted_tokens(self.output);
        self.output = (self.output + TOKENS_PER_CHUNK).min(self.work.output);
        let total = self.work.weighted_tokens(self.output);
        Chunk {
            weighted_tokens: total - before,
            total,
            is_end: self.output == self.work.output,
        }
    }
}
