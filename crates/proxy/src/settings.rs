//! Limits that the listener and the attempts share.

/// Limits of the caller-facing interface.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// A request that has waited this long for a slot is refused.
    pub queue_timeout_ms: u64,
    /// A backend server that sends no first byte within this time has failed.
    pub answer_timeout_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_body_bytes: 16 << 20,
            queue_timeout_ms: 60_000,
            answer_timeout_ms: 120_000,
        }
    }
}
