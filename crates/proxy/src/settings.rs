//! Limits on requests and answers.

/// Limits on the requests of callers and on the answers of backend servers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Time after which a request that waits for a slot is refused, in ms.
    pub queue_timeout_ms: u64,
    /// Time limit for the header section of an answer and, after it, for the first bytes of the body, in ms each.
    pub answer_timeout_ms: u64,
    /// Time from the start of the shutdown until the process ends, in ms; `None` if it ends once all requests have
    /// finished.
    pub grace_ms: Option<u64>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_body_bytes: 16 << 20,
            queue_timeout_ms: 60_000,
            answer_timeout_ms: 120_000,
            grace_ms: None,
        }
    }
}
