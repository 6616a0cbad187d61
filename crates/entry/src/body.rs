//! Bodies of answers to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke off: the connection to the caller ends without the end of the answer, so that it does not look
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Broken {
        match never {}
    }
}

/// A body.
pub enum Body {
    /// All of it is known.
    Whole(Option<Bytes>),
    /// Pieces that are passed on as they come.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
    /// An answer that is read as it is written.
    Direct(Pin<Box<dyn HttpBody<Data = Bytes, Error = Broken> + Send>>),
}

impl Body {
    /// A body of these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Body {
        let bytes = bytes.into();
        Body::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Pieces(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
            Body::Direct(answer) => answer.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Pieces(_) | Body::Direct(_) => SizeHint::default(),
        }
    }
}
