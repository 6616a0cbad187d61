//! Finds the boundaries of events in a stream of server-sent events.

use bytes::{Bytes, BytesMut};
use primrose_wire::event::{Line, Tracker};

/// The largest event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The longest id that is sent to another server, in bytes. It travels in a header, and servers limit the size of heads.
const MAX_ID_BYTES: usize = 1 << 10;

/// Splits a stream at the ends of its events, so that only complete events are forwarded and a stream can be resumed
/// on another server without a partial, repeated or missing event.
#[derive(Debug, Default)]
pub struct Splitter {
    /// The start of the next event. Contains no empty line.
    partial: BytesMut,
    position: Position,
    /// Whether the events come from another server than the first ones.
    is_resumed: bool,
    /// Whether the server has sent an event.
    has_event: bool,
    /// Why the events do not continue those before. Invariant: no event is returned once it is set, until the stream
    /// is resumed.
    fault: Option<&'static str>,
}

/// The events that were returned, and what is known of the next one.
#[derive(Clone, Debug, Default)]
struct Position {
    /// Whether an earlier server broke off in the event that follows, so that the stream does not end before it.
    has_begun: bool,
    /// The id of that event, if it had arrived.
    begun_id: Option<String>,
    last_id: Option<String>,
    /// Whether an event without an id that can be sent has followed the one with `last_id`. The caller's position is then
    /// unknown.
    has_unnamed: bool,
    /// Number of events with an id.
    named: u64,
    /// Whether all events so far had numbers as ids, each one higher than the one before.
    is_consecutive: bool,
}

impl Splitter {
    /// Adds a chunk of the stream and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        let searched = self.partial.len();
        self.partial.extend_from_slice(chunk);
        let Some(end) = last_event_end(&self.partial, searched) else {
            return Bytes::new();
        };
        let events = self.partial.split_to(end).freeze();
        self.check(events)
    }

    /// Records the events and returns them if they continue those before.
    fn check(&mut self, events: Bytes) -> Bytes {
        // Only events of a further server can be wrong.
        let before = self.is_resumed.then(|| self.position.clone());
        match self.record_all(&events) {
            Ok(()) => events,
            Err(fault) => {
                self.fault = Some(fault);
                self.position = before.unwrap_or_default();
                Bytes::new()
            }
        }
    }

    fn record_all(&mut self, events: &[u8]) -> Result<(), &'static str> {
        let mut id = None;
        let mut has_event = false;
        // The last event need not end with an empty line.
        for line in events.split(|&byte| byte == b'\n').chain([&b""[..]]) {
            match Line::of(line) {
                Line::Content => {
                    has_event = true;
                    if let Some(value) = line.strip_prefix(b"id:") {
                        id = readable_id(value);
                    }
                }
                Line::Empty if std::mem::take(&mut has_event) => self.record(id.take())?,
                _ => {}
            }
        }
        Ok(())
    }

    /// Records an event. The error is the reason why it does not continue those before.
    fn record(&mut self, id: Option<&str>) -> Result<(), &'static str> {
        let is_at_joint = self.is_resumed && !self.has_event;
        self.has_event = true;
        let position = &mut self.position;
        position.has_begun = false;
        let begun_id = position.begun_id.take();
        let last = position.last_id.as_deref();
        let Some(id) = id else {
            if is_at_joint && last.is_some() {
                return Err("the first event of the next server has no id");
            }
            position.has_unnamed = true;
            return Ok(());
        };
        let last_number = last.and_then(number);
        let next_number = last_number.and_then(|last| last.checked_add(1));
        let is_next = next_number.is_some() && number(id) == next_number;
        if self.is_resumed {
            let numbers = last_number.zip(number(id));
            if numbers.map_or(last == Some(id), |(last, id)| id <= last) {
                return Err("the next server repeats events");
            }
            // Ids may rise in larger steps, so a gap shows only if they have not done so before.
            let begun_number = begun_id.as_deref().and_then(number);
            let has_begun_next = begun_number.is_some() && begun_number == next_number;
            let is_consecutive = position.is_consecutive && (position.named > 1 || has_begun_next);
            if is_at_joint && is_consecutive && !is_next {
                return Err("the next server leaves out events");
            }
        }
        position.is_consecutive = position.named == 0 || (position.is_consecutive && is_next);
        position.named += 1;
        position.has_unnamed = false;
        position.last_id = Some(id.to_owned());
        Ok(())
    }

    /// The last id among the returned events that can be sent to another server, or `None` if there was none.
    pub fn last_id(&self) -> Option<&str> {
        self.position.last_id.as_deref()
    }

    /// Whether [`Splitter::last_id`] tells which events were returned, so that the stream can be resumed after them.
    pub fn is_resumable(&self) -> bool {
        !self.position.has_unnamed
    }

    /// Length of the start of an event that is buffered, in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Whether the start of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Why the stream must not be forwarded any further: the partial event is too large to buffer, or the events do not
    /// continue those of the server before.
    pub fn fault(&self) -> Option<&'static str> {
        let is_too_large = self.partial.len() > MAX_EVENT_BYTES;
        self.fault
            .or(is_too_large.then_some("an event exceeds the size limit"))
    }

    /// The splitter for the rest of an interrupted stream, which another server sends from the last complete event on.
    pub fn resumed(&self) -> Splitter {
        let mut resumed = Splitter {
            partial: BytesMut::new(),
            position: self.position.clone(),
            is_resumed: true,
            has_event: false,
            fault: None,
        };
        resumed.record_begun(self);
        resumed
    }

    /// Records the event that the server before, which `before` follows, has begun since [`Splitter::resumed`].
    pub fn record_begun(&mut self, before: &Splitter) {
        if self.has_event || !before.tail().has_begun() {
            return;
        }
        self.position.has_begun = true;
        // The last line has not ended.
        let mut lines = before.partial.rsplit(|&byte| byte == b'\n').skip(1);
        let id = lines.find_map(|line| line.strip_prefix(b"id:"));
        self.position.begun_id = id.and_then(readable_id).map(str::to_owned);
    }

    /// Ends the part of the stream that the server has sent. Returns what has arrived after the last empty line, which an
    /// announced end makes a complete event.
    ///
    /// # Errors
    ///
    /// Returns the reason why the stream does not end there. Another server may go on with it.
    pub fn end(&mut self, has_announced_end: bool) -> Result<Bytes, &'static str> {
        if !has_announced_end {
            self.tail().check_end()?;
        }
        let rest = self.partial.split().freeze();
        let rest = self.check(rest);
        if let Some(fault) = self.fault() {
            return Err(fault);
        }
        if self.position.has_begun {
            return Err("the server left out an event that the one before had begun");
        }
        Ok(rest)
    }

    /// What has arrived after the last event.
    fn tail(&self) -> Tracker {
        let mut tail = Tracker::between_events(self.has_event);
        tail.push(&self.partial);
        tail
    }
}

/// The end of the last complete event, which is after an empty line. The first `searched` bytes contain no such end.
fn last_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let mut end = bytes.len();
    while end > searched {
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

fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}

/// The id in the rest of an `id:` line, or `None` if it cannot be sent in a header.
fn readable_id(rest: &[u8]) -> Option<&str> {
    let id = rest.trim_ascii();
    let is_sendable = !id.is_empty()
        && id.len() <= MAX_ID_BYTES
        && id.iter().all(|byte| matches!(byte, b' '..=b'~'));
    if !is_sendable {
        return None;
    }
    std::str::from_utf8(id).ok()
}
