//! The socket and the answers of a caller's connection, which record what happens on it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use rustix::io::ioctl_fionread;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::body::{Body, Interrupted};
use crate::closing::Record;

/// A socket that records reads and errors.
pub(crate) struct Socket {
    stream: TcpStream,
    record: Record,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, record: Record) -> Socket {
        Socket { stream, record }
    }

    /// Number of bytes that the kernel has received but this process has not read; 0 if it cannot be determined.
    pub(crate) fn unread(&self) -> u64 {
        ioctl_fionread(&self.stream).unwrap_or(0)
    }

    /// Makes the drop of the socket reset the connection.
    pub(crate) fn reset_on_drop(&self) {
        // If the option cannot be set, the connection has ended already.
        let _ = self.stream.set_zero_linger();
    }

    /// Records the result of a write.
    fn check(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(bytes)) => self.record.record_written(*bytes),
            Poll::Ready(Err(_)) => self.record.record_write_error(),
            Poll::Pending => {}
        }
        result
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        let before = buffer.filled().len();
        let result = Pin::new(&mut socket.stream).poll_read(context, buffer);
        match &result {
            Poll::Ready(Ok(())) => socket.record.record_read(&buffer.filled()[before..]),
            // A reset by the caller, for example.
            Poll::Ready(Err(_)) => socket.record.record_read(&[]),
            Poll::Pending => {}
        }
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let result = Pin::new(&mut socket.stream).poll_write(context, bytes);
        socket.check(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let result = Pin::new(&mut socket.stream).poll_write_vectored(context, slices);
        socket.check(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.record.flow.set_socket(None);
    }
}

/// The body of an answer, which records its end. hyper drops it when it has taken all of it.
pub(crate) struct Answer {
    body: Body,
    record: Record,
}

impl Answer {
    pub(crate) fn new(body: Body, record: Record) -> Answer {
        let is_full = matches!(body, Body::Full(_));
        record.flow.set_forwarding(!is_full);
        Answer { body, record }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.record.flow.set_forwarding(false);
        self.record.record_answer_end();
    }
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        let answer = self.get_mut();
        let frame = Pin::new(&mut answer.body).poll_frame(context);
        match &frame {
            Poll::Ready(Some(Err(_))) => answer.record.record_interrupted(),
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                answer.record.flow.record_pulled(bytes);
            }
            Poll::Ready(None) | Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
