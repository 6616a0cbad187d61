//! Counts the tokens of an answer while it is relayed, and detects whether the answer is complete.

use primrose_base::clock::Time;
use primrose_schedule::limit::SLOW_GAP_MS;
use primrose_wire::event::Tracker;
use serde::Deserialize;

use crate::dispatch::Usage;

/// Length to which a line of an event stream is buffered for parsing, in bytes. The rest of a longer line is relayed
/// unparsed, and the line counts as one token.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Length of the end of a JSON answer that is buffered to find its `usage` object, in bytes.
const TAIL_BYTES: usize = 4 << 10;

const DONE: &[u8] = b"[DONE]";

/// Format of the body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Server-sent events of a chat completion, ended by `data: [DONE]`.
    Events,
    /// A JSON chat completion.
    Json,
    /// The answer of a plain service, which is not parsed and counts as one output token.
    Opaque,
    /// The same, but the service says that it consists of server-sent events.
    OpaqueEvents,
}

/// Token counts and timing of one answer.
#[derive(Debug)]
pub(crate) struct Meter {
    format: Format,
    usage: Usage,
    sent_at: Time,
    last_token_at: Time,
    /// The incomplete last line of an event stream, or the last [`TAIL_BYTES`] of a JSON answer.
    buffer: Vec<u8>,
    /// Whether the answer announces its end. Otherwise a lost connection ends it too.
    has_announced_end: bool,
    /// Whether `data: [DONE]` has been received.
    done: bool,
    /// Whether the empty line after `data: [DONE]`, which ends the event, has been received.
    done_ended: bool,
    nesting: Nesting,
    events: Tracker,
}

/// Finds the end of a JSON document without reading its values.
#[derive(Debug, Default)]
struct Nesting {
    /// Number of objects and arrays that are open.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
    /// Whether the outermost object or array has ended.
    has_ended: bool,
}

impl Nesting {
    fn feed(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            match byte {
                _ if std::mem::take(&mut self.is_escaped) => {}
                b'\\' if self.in_string => self.is_escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    self.has_ended = self.depth == 0;
                }
                _ => {}
            }
        }
    }
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<EngineUsage>,
}

/// The token counts that the engine reports.
#[derive(Deserialize)]
struct EngineUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

impl Meter {
    /// Creates a meter for the answer to a request that was sent at `sent_at`; `input_tokens` is an estimate.
    pub(crate) fn new(
        format: Format,
        has_announced_end: bool,
        input_tokens: u64,
        sent_at: Time,
    ) -> Meter {
        let usage = Usage {
            input_tokens,
            ..Usage::default()
        };
        Meter {
            format,
            usage,
            sent_at,
            last_token_at: sent_at,
            buffer: Vec::new(),
            has_announced_end,
            done: false,
            done_ended: false,
            nesting: Nesting::default(),
            events: Tracker::default(),
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        self.usage
    }

    /// Whether the end of the answer has arrived, as far as the contents show it. Those of a plain service do not: if its
    /// answer announces no end, it ends when the server closes the connection.
    pub(crate) fn is_complete(&self) -> bool {
        match self.format {
            Format::Events if self.has_announced_end => self.done,
            Format::Events => self.done_ended,
            Format::Json => self.has_announced_end || self.nesting.has_ended,
            Format::OpaqueEvents => self.has_announced_end || self.events.check_end().is_ok(),
            Format::Opaque => true,
        }
    }

    /// Counts the tokens in bytes that arrived at `now`.
    pub(crate) fn feed(&mut self, bytes: &[u8], now: Time) {
        match self.format {
            Format::Events => self.feed_events(bytes, now),
            Format::Json => self.feed_json(bytes, now),
            Format::Opaque => self.usage.output_tokens = 1,
            Format::OpaqueEvents => {
                self.usage.output_tokens = 1;
                self.events.push(bytes);
            }
        }
    }

    /// Reads the token counts at the end of a JSON answer. Must be called after the last byte.
    pub(crate) fn finish(&mut self) {
        if self.format == Format::Json {
            self.read_json_usage();
        }
    }

    fn feed_events(&mut self, bytes: &[u8], now: Time) {
        let mut lines = bytes.split(|&byte| byte == b'\n').peekable();
        while let Some(part) = lines.next() {
            if lines.peek().is_none() {
                self.append_to_line(part);
                return;
            }
            if self.buffer.is_empty() {
                self.process_line(part, now);
                continue;
            }
            self.append_to_line(part);
            let line = std::mem::take(&mut self.buffer);
            self.process_line(&line, now);
        }
    }

    fn append_to_line(&mut self, part: &[u8]) {
        let room = MAX_LINE_BYTES.saturating_sub(self.buffer.len());
        self.buffer.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn process_line(&mut self, line: &[u8], now: Time) {
        let Some(data) = line.strip_prefix(b"data:") else {
            self.done_ended |= self.done && line.trim_ascii().is_empty();
            return;
        };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
            return;
        }
        if let Some(reported) = find_usage(data) {
            self.apply(&reported);
            return;
        }
        self.usage.output_tokens += 1;
        self.record_gap(now);
    }

    fn record_gap(&mut self, now: Time) {
        if self.usage.first_token_ms.is_none() {
            self.usage.first_token_ms = Some(now.since(self.sent_at));
        } else {
            self.usage.gaps += 1;
            self.usage.slow_gaps += u32::from(now.since(self.last_token_at) > SLOW_GAP_MS);
        }
        self.last_token_at = now;
    }

    fn feed_json(&mut self, bytes: &[u8], _now: Time) {
        if !self.has_announced_end {
            self.nesting.feed(bytes);
        }
        self.buffer.extend_from_slice(bytes);
        let excess = self.buffer.len().saturating_sub(TAIL_BYTES);
        self.buffer.drain(..excess);
    }

    fn read_json_usage(&mut self) {
        const FIELD: &[u8] = b"\"usage\":";
        let Some(at) = self
            .buffer
            .windows(FIELD.len())
            .rposition(|window| window == FIELD)
        else {
            return;
        };
        let mut values = serde_json::Deserializer::from_slice(&self.buffer[at + FIELD.len()..])
            .into_iter::<EngineUsage>();
        if let Some(Ok(reported)) = values.next() {
            self.apply(&reported);
        }
    }

    fn apply(&mut self, reported: &EngineUsage) {
        self.usage.input_tokens = reported.prompt_tokens;
        self.usage.output_tokens = reported.completion_tokens;
    }
}

/// Parses an event only if it may contain token counts: parsing every token event would cost more than relaying it.
fn find_usage(data: &[u8]) -> Option<EngineUsage> {
    const FIELD: &[u8] = b"\"usage\":";
    if !data.windows(FIELD.len()).any(|window| window == FIELD) {
        return None;
    }
    serde_json::from_slice::<Chunk>(data).ok()?.usage
}
