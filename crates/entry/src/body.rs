//! The bodies of answers to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// The answer was interrupted. The connection to the caller is closed without the end of the answer, so that the
/// answer does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interrupted;

impl fmt::Display for Interrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was interrupted")
    }
}

impl std::error::Error for Interrupted {}

impl From<Infallible> for Interrupted {
    fn from(error: Infallible) -> Interrupted {
        match error {}
    }
}

/// The body of an answer.
pub enum Body {
    /// A body that is completely known, or `None` if nothing is left to send.
    Full(Option<Bytes>),
    /// Chunks that another task sends as they arrive from the server.
    Channel {
        /// The chunks. The channel closes at the end of the answer.
        chunks: mpsc::Receiver<Result<Bytes, Interrupted>>,
        /// The task that sends the chunks. If it panics, the channel closes too, but the answer is not complete.
        task: JoinHandle<()>,
    },
    /// A body that is read from the server when the caller's connection is written.
    Stream(Pin<Box<dyn HttpBody<Data = Bytes, Error = Interrupted> + Send>>),
}

impl Body {
    /// Creates a body of these bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Body {
        let bytes = bytes.into();
        Body::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        let body = self.get_mut();
        match body {
            Body::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Channel { chunks, task } => match ready!(chunks.poll_recv(context)) {
                Some(chunk) => Poll::Ready(Some(chunk.map(Frame::data))),
                None => {
                    let result = ready!(Pin::new(task).poll(context));
                    // A task must not be polled again after its end.
                    *body = Body::Full(None);
                    Poll::Ready(result.err().map(|_| Err(Interrupted)))
                }
            },
            Body::Stream(answer) => answer.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Channel { .. } | Body::Stream(_) => SizeHint::default(),
        }
    }
}
