//! Finds the ends of events in a stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// The largest event that is held until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Cuts a stream at the ends of its events, so that only complete ones are passed on and a stream can go on at another
/// server without a torn or doubled event.
#[derive(Debug, Default)]
pub struct Cutter {
    held: BytesMut,
    last_id: Option<String>,
}

impl Cutter {
    /// Takes a piece of the stream and returns the events that it completes.
    pub fn push(&mut self, piece: &[u8]) -> Bytes {
        self.held.extend_from_slice(piece);
        let Some(end) = last_event_end(&self.held) else {
            return Bytes::new();
        };
        let events = self.held.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Id of the last event that was returned.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an event has begun and is not complete.
    pub fn is_torn(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether the event that has begun is too large to hold.
    pub fn is_too_large(&self) -> bool {
        self.held.len() > MAX_EVENT_BYTES
    }

    /// Forgets the event that has begun, because its server broke off.
    pub fn discard(&mut self) {
        self.held.clear();
    }

    /// Takes what is held: the end of a stream that does not end with an empty line.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

/// Where the last complete event ends: behind an empty line.
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
