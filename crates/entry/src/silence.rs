//! Decides when a request is also sent to another server because its server is silent.
//!
//! Two load patterns look alike while they last. An engine that stalls, for example to preempt requests, goes on with
//! all its answers after a second or so; a server that is gone never does. So silence never ends an answer: the request
//! is sent to another server as well, and the server that goes on first serves it. If there is no other server to ask,
//! the host waits until the deadline of the request.

use primrose_base::clock::Time;

/// Silence before the head of an answer after which another server is asked, in multiples of the latency objective, or
/// of the predicted time to the answer if that is longer.
const HEAD_OBJECTIVES: u64 = 2;

/// Silence within a stream after which another server is asked, in multiples of the objective for its longest gap.
const STREAM_GAPS: u64 = 4;

/// Lower bound of the silence within a stream, in ms: an engine that preempts a request prefills it again and sends
/// nothing until then. Callers give up after 2 s or more.
const MIN_STREAM_MS: u64 = 1_200;

/// Measures the silence of the servers that have one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// `None` if no other server is asked.
    limit_ms: Option<u64>,
    /// When the servers last sent something that the caller can use, or when the request was last sent.
    since: Time,
}

impl Watch {
    /// Watches for the head of an answer whose time is predicted.
    pub const fn head(now: Time, objective_ms: u64, predicted_ms: u64) -> Watch {
        let expected_ms = if predicted_ms > objective_ms {
            predicted_ms
        } else {
            objective_ms
        };
        Watch {
            limit_ms: Some(expected_ms.saturating_mul(HEAD_OBJECTIVES)),
            since: now,
        }
    }

    /// Watches the events of a stream with this objective for the longest gap between two events. Without an objective,
    /// no other server is asked.
    pub fn stream(now: Time, max_gap_ms: Option<u64>) -> Watch {
        let limit_ms = max_gap_ms.map(|gap| gap.saturating_mul(STREAM_GAPS).max(MIN_STREAM_MS));
        Watch {
            limit_ms,
            since: now,
        }
    }

    /// Starts a new silence.
    pub const fn restart(&mut self, now: Time) {
        self.since = now;
    }

    /// Asks no other server any more: there is none, or none may be asked.
    pub const fn stop(&mut self) {
        self.limit_ms = None;
    }

    /// Whether another server is to be asked now.
    pub fn is_due(&self, now: Time) -> bool {
        self.due().is_some_and(|due| due <= now)
    }

    /// When another server is to be asked, or `None` if none is asked.
    pub fn due(&self) -> Option<Time> {
        self.limit_ms.map(|limit| self.since.plus_ms(limit))
    }
}
