//! Opens connections to backend servers and records whether their answers had request ids.
//!
//! The client of `hyper-util` does not say which answers came on the same connection. It copies the extra information of
//! a connection into every answer, so [`Record`] is passed that way.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

/// Time limit for opening a connection, in ms. Failure domains are a few milliseconds apart, so the host of a server
/// that exceeds it is assumed to be down.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Opens connections to backend servers.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    http: HttpConnector,
}

/// Whether a connection has carried an answer with its request id. Clones share the state of their connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    has_id: Arc<AtomicBool>,
}

/// A connection with its record.
#[derive(Debug)]
pub(crate) struct Stream {
    tcp: TokioIo<TcpStream>,
    record: Record,
}

type Opening<E> = Pin<Box<dyn Future<Output = Result<Stream, E>> + Send>>;

impl Connector {
    pub(crate) fn new() -> Connector {
        let mut http = HttpConnector::new();
        http.set_nodelay(true);
        http.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        Connector { http }
    }
}

impl Record {
    /// Records an answer with its request id.
    pub(crate) fn mark_id(&self) {
        self.has_id.store(true, Ordering::Relaxed);
    }

    /// Whether an answer with its request id has been recorded.
    pub(crate) fn has_id(&self) -> bool {
        self.has_id.load(Ordering::Relaxed)
    }
}

impl Service<Uri> for Connector {
    type Response = Stream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Opening<Self::Error>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let opening = self.http.call(uri);
        Box::pin(async move {
            Ok(Stream {
                tcp: opening.await?,
                record: Record::default(),
            })
        })
    }
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        self.tcp.connected().extra(self.record.clone())
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(context, buffer)
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(context, slices)
    }
}
