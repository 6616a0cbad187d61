//! Whether an answer is whole where it ends.
//!
//! The HTTP library reports an answer that ends before its announced end. Without an announced end, an answer ends with
//! its connection, which a server that crashes closes as well. It is whole only if its bytes show it.

use http_body::Body;
use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;
use primrose_wire::coding;
use primrose_wire::event::Tracker;

use crate::form::Form;

/// Follows the bytes of an answer and judges its end.
pub(crate) enum Ending {
    /// The HTTP library judges the end.
    Announced,
    /// A stream of events.
    Events(Tracker),
    /// Other bytes, which show only that the server has begun to send them.
    Document { is_empty: bool },
}

impl Ending {
    /// Begins before the first byte of the body. `is_stream` tells whether the route is one with streams.
    pub(crate) fn new(head: &response::Parts, body: &impl Body, is_stream: bool) -> Ending {
        // The status alone is the answer of a server that has failed.
        if is_announced(head, body) || head.status.is_server_error() {
            return Ending::Announced;
        }
        let form = Form::of(head);
        let is_success = head.status.is_success();
        if form.is_event_stream() || is_stream && is_success && form.has_events() {
            Ending::Events(Tracker::default())
        } else {
            Ending::Document {
                is_empty: is_success,
            }
        }
    }

    /// Follows the next bytes of the body.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        match self {
            Ending::Announced => {}
            Ending::Events(tracker) => tracker.push(bytes),
            Ending::Document { is_empty } => *is_empty &= bytes.is_empty(),
        }
    }

    /// Checks a body that ends here.
    ///
    /// # Errors
    ///
    /// Returns the reason why the answer is not whole.
    pub(crate) fn check(&self) -> Result<(), &'static str> {
        match self {
            Ending::Events(tracker) => tracker.check_end(),
            Ending::Document { is_empty: true } => {
                Err("the connection closed before the first byte")
            }
            Ending::Announced | Ending::Document { is_empty: false } => Ok(()),
        }
    }
}

/// Whether the head announces where the body ends: with a length or a last chunk, or because such an answer has no body.
/// Otherwise the body ends with its connection.
pub(crate) fn is_announced(head: &response::Parts, body: &impl Body) -> bool {
    let codings = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let has_framing = codings.map_or_else(
        || head.headers.contains_key(CONTENT_LENGTH),
        |codings| coding::is_chunked(codings.as_bytes()),
    );
    // The HTTP library knows which answers have no body, except one with the status 205 (RFC 9110, section 15.3.6).
    has_framing || body.is_end_stream() || head.status == StatusCode::RESET_CONTENT
}
