//! What the head of an answer says about its body: whether the body is a stream of events, and how it ends.

use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response;
use primrose_wire::coding;

/// The form of an answer. A stream may be continued only by an answer of the same form.
pub(crate) struct Form {
    status: StatusCode,
    content_type: Option<HeaderValue>,
    /// Whether the answer announces its end with a length or a last chunk. Otherwise it ends with its connection.
    pub(crate) has_announced_end: bool,
}

impl Form {
    pub(crate) fn of(head: &response::Parts) -> Form {
        let headers = &head.headers;
        Form {
            status: head.status,
            content_type: headers.get(CONTENT_TYPE).cloned(),
            has_announced_end: has_announced_end(headers),
        }
    }

    /// Whether the body may consist of events. An answer without a content type counts as a stream on a route with
    /// streams.
    pub(crate) fn has_events(&self) -> bool {
        self.content_type.is_none() || self.is_event_stream()
    }

    /// Whether the head says that the body consists of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let media_type = self.media_type();
        media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(b"text/event-stream"))
    }

    /// Whether the events of an answer with the form `next` may follow those of this one. An error or a document of
    /// another type must not get into the stream.
    pub(crate) fn can_be_continued_by(&self, next: &Form) -> bool {
        let is_same_type = match (self.media_type(), next.media_type()) {
            (Some(first), Some(next)) => first.eq_ignore_ascii_case(next),
            (first, next) => first == next,
        };
        self.status == next.status && is_same_type
    }

    /// The content type without its parameters.
    fn media_type(&self) -> Option<&[u8]> {
        let value = self.content_type.as_ref()?.as_bytes();
        let end = value.iter().position(|&byte| byte == b';');
        Some(value[..end.unwrap_or(value.len())].trim_ascii())
    }
}

/// Whether a length or a last chunk announces the end of the body.
fn has_announced_end(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    codings.map_or_else(
        || headers.contains_key(CONTENT_LENGTH),
        |codings| coding::is_chunked(codings.as_bytes()),
    )
}

/// The last bytes of a stream of events whose end is not announced, which tell whether it ended in the middle of an
/// event.
#[derive(Default)]
pub(crate) struct Tail {
    /// The last bytes of the stream, zeros before its start.
    last: [u8; 3],
}

impl Tail {
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        let kept = &chunk[chunk.len().saturating_sub(self.last.len())..];
        self.last.rotate_left(kept.len());
        let start = self.last.len() - kept.len();
        self.last[start..].copy_from_slice(kept);
    }

    /// Whether the bytes end with an empty line. A stream without an event is not whole.
    pub(crate) fn ends_event(&self) -> bool {
        self.last.ends_with(b"\n\n") || self.last == *b"\n\r\n"
    }
}
