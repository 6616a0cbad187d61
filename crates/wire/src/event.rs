//! Follows the lines of a stream of server-sent events, to tell whether it may end where it does.

/// A stream may begin with this mark, which does not belong to its first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// The number of bytes of a line that are kept: enough to recognise the names of all fields.
const START_BYTES: usize = BYTE_ORDER_MARK.len() + b"retry:".len();

/// What a line of a stream means for the event that it is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// Ends the event.
    Empty,
    /// Belongs to no event: a comment or a reconnection time.
    Aside,
    /// The id or data of an event. Lines that contain neither are no event.
    Content,
    /// Another field of an event.
    Field,
}

impl Line {
    /// Reads a line without its line feed, or as much of it as the name of its field needs.
    pub fn of(line: &[u8]) -> Line {
        let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return Line::Empty;
        }
        match line.split(|&byte| byte == b':').next() {
            Some(b"" | b"retry") => Line::Aside,
            Some(b"id" | b"data") => Line::Content,
            _ => Line::Field,
        }
    }
}

/// The position in a stream after the bytes that have arrived.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// The first bytes of the line that has not ended.
    start: [u8; START_BYTES],
    /// Number of bytes in `start`.
    length: usize,
    /// Whether a whole line of the event that has not ended has arrived.
    is_begun: bool,
    /// Whether that event has an id or data.
    has_content: bool,
    /// Whether an event has ended.
    has_event: bool,
}

impl Tracker {
    /// Begins between two events. `has_event` tells whether one came before.
    pub fn between_events(has_event: bool) -> Tracker {
        Tracker {
            has_event,
            ..Tracker::default()
        }
    }

    /// Follows the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            self.keep(&rest[..end]);
            self.end_line();
            rest = &rest[end + 1..];
        }
        self.keep(rest);
    }

    fn keep(&mut self, bytes: &[u8]) {
        let kept = bytes.len().min(START_BYTES - self.length);
        self.start[self.length..][..kept].copy_from_slice(&bytes[..kept]);
        self.length += kept;
    }

    fn end_line(&mut self) {
        let line = Line::of(&self.start[..self.length]);
        self.length = 0;
        match line {
            Line::Aside => {}
            Line::Content => (self.is_begun, self.has_content) = (true, true),
            Line::Field => self.is_begun = true,
            Line::Empty => {
                self.has_event |= self.has_content;
                (self.is_begun, self.has_content) = (false, false);
            }
        }
    }

    /// Whether an event has begun that has not ended.
    pub fn has_begun(&self) -> bool {
        let line = &self.start[..self.length];
        let may_be_aside =
            b"retry".starts_with(line) || matches!(Line::of(line), Line::Aside | Line::Empty);
        self.is_begun || !may_be_aside
    }

    /// Checks a stream that ends here with its connection. Only a whole event with no part of a further line after it
    /// shows that the server has not ended before its stream.
    ///
    /// # Errors
    ///
    /// Returns the reason why the stream is not whole.
    pub fn check_end(&self) -> Result<(), &'static str> {
        if self.has_begun() {
            Err("the connection closed in the middle of an event")
        } else if self.length > 0 {
            Err("the connection closed in the middle of a line")
        } else if !self.has_event {
            Err("the connection closed before the first event")
        } else {
            Ok(())
        }
    }
}
