//! What the head of an answer says about its body: whether the body is a stream of events, and which stream it may go on
//! with.

use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response;

/// The form of an answer. A stream may be continued only by an answer of the same form.
pub(crate) struct Form {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl Form {
    pub(crate) fn of(head: &response::Parts) -> Form {
        Form {
            status: head.status,
            content_type: head.headers.get(CONTENT_TYPE).cloned(),
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
