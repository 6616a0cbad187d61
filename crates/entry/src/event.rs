//! Finds the boundaries of events in a stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// The largest event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream at the ends of its events, so that only complete events are forwarded and a stream can be resumed
/// on another server without a partial or repeated event.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Adds a chunk of the stream and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.partial.extend_from_slice(chunk);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Id of the last event that was returned, or `None` if no event had an id.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the start of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether the partial event is too large to buffer.
    pub fn is_too_large(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// The splitter for the rest of an interrupted stream, which another server sends from the last complete event on.
    pub fn resumed(&self) -> Splitter {
        Splitter {
            partial: BytesMut::new(),
            last_id: self.last_id.clone(),
        }
    }

    /// Takes the partial event, at the end of a stream that does not end with an empty line.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// The end of the last complete event, which is after an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end >= 2 {
        if bytes[end - 1] == b'\n' {
            let before = &bytes[..end - 1];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(end);
            }
        }
        end -= 1;
    }
    None
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
