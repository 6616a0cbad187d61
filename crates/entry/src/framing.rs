//! Finds where the requests of a caller's connection begin, by the framing of HTTP/1.1 (RFC 9112).
//!
//! The HTTP library reads ahead and does not tell whether it has read a part of a further request while one is handled.
//! The connection should not be closed after an answer then. What is found here decides nothing else.

/// The bytes of a line of a head that are kept, if the line arrives in parts: enough for the length of a body.
const KEPT_LINE_BYTES: usize = 64;

/// Where in the requests of a connection the next byte is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Before a request. Empty lines are ignored there.
    Between,
    /// In a head. The body after it has this length.
    Head(Option<u64>),
    /// In a body of which this many bytes are left.
    Body(u64),
    /// The end of the request is not known, for example because its body is sent in chunks.
    Unknown,
}

/// Follows the bytes of a connection.
#[derive(Debug)]
pub struct Tracker {
    place: Place,
    /// The start of a line of a head whose end has not arrived.
    line: Vec<u8>,
    begun: u64,
}

impl Default for Tracker {
    fn default() -> Tracker {
        Tracker {
            place: Place::Between,
            line: Vec::new(),
            begun: 0,
        }
    }
}

impl Tracker {
    /// Number of requests of which at least one byte has arrived. Requests that follow one whose end is not known are
    /// not counted.
    pub const fn begun(&self) -> u64 {
        self.begun
    }

    /// Whether a part of the last request is known to be missing. A request whose end is not known, for example because
    /// its body is sent in chunks, may have arrived whole.
    pub const fn is_within_request(&self) -> bool {
        matches!(self.place, Place::Head(_) | Place::Body(_))
    }

    /// Follows the next bytes.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.place {
                Place::Unknown => return,
                Place::Between => self.skip_empty_lines(bytes),
                Place::Head(length) => self.read_line(bytes, length),
                Place::Body(left) => self.skip_body(bytes, left),
            };
        }
    }

    fn skip_empty_lines<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let is_text = |byte: &u8| !matches!(byte, b'\r' | b'\n');
        let Some(start) = bytes.iter().position(is_text) else {
            return &[];
        };
        self.begun += 1;
        self.place = Place::Head(Some(0));
        &bytes[start..]
    }

    fn read_line<'a>(&mut self, bytes: &'a [u8], length: Option<u64>) -> &'a [u8] {
        let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
            self.keep(bytes);
            return &[];
        };
        let length = if self.line.is_empty() {
            length_after(&bytes[..end], length)
        } else {
            self.keep(&bytes[..end]);
            let length = length_after(&self.line, length);
            self.line.clear();
            length
        };
        self.place = match length {
            Line::Header(length) => Place::Head(length),
            Line::End => Place::after_head(self.place),
        };
        &bytes[end + 1..]
    }

    fn keep(&mut self, bytes: &[u8]) {
        let room = KEPT_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn skip_body<'a>(&mut self, bytes: &'a [u8], left: u64) -> &'a [u8] {
        let here = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
        let left = left - here as u64;
        self.place = if left == 0 {
            Place::Between
        } else {
            Place::Body(left)
        };
        &bytes[here..]
    }
}

impl Place {
    /// The place after the end of a head.
    const fn after_head(self) -> Place {
        match self {
            Place::Head(Some(0)) => Place::Between,
            Place::Head(Some(length)) => Place::Body(length),
            _ => Place::Unknown,
        }
    }
}

/// What a line of a head says.
enum Line {
    /// The length of the body according to the lines so far, `None` if it is not known.
    Header(Option<u64>),
    /// The head ends.
    End,
}

/// Reads a line without its line feed. `length` is the length of the body according to the lines before.
fn length_after(line: &[u8], length: Option<u64>) -> Line {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.is_empty() {
        return Line::End;
    }
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        // The first line of the request.
        return Line::Header(length);
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    if name.eq_ignore_ascii_case(b"transfer-encoding") {
        return Line::Header(None);
    }
    if !name.eq_ignore_ascii_case(b"content-length") || length.is_none() {
        return Line::Header(length);
    }
    // The rest of a longer line was not kept.
    let is_whole = line.len() < KEPT_LINE_BYTES;
    let value = std::str::from_utf8(value).ok().filter(|_| is_whole);
    Line::Header(value.and_then(|value| value.trim().parse().ok()))
}
