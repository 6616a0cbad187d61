//! What the head of an answer says about its body: whether the body is a stream of events, and how it ends.

use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response;

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
            has_announced_end: headers.contains_key(CONTENT_LENGTH)
                || headers.contains_key(TRANSFER_ENCODING),
        }
    }

    /// Whether the body consists of events. An answer without a content type counts as a stream on a route with
    /// streams.
    pub(crate) fn has_events(&self) -> bool {
        let media_type = self.media_type();
        media_type.is_none_or(|media_type| media_type.eq_ignore_ascii_case(b"text/event-stream"))
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
