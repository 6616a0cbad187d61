//! Accepts connections of callers, and closes them so that callers do not lose the last answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use primrose_wire::linger;
use salvo::conn::tcp::{TcpAcceptor, TcpCoupler};
use salvo::conn::{Accepted, Holding, StraightStream};
use salvo::fuse::ArcFusePolicy;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, watch};

/// The most connections that are closed with [`linger::discard`] at the same time. Each holds a socket and a buffer of
/// a few KiB; one beyond them is closed at once.
const MAX_LINGERING: u32 = 256;

/// The connections that the host has ended and whose callers have not closed yet.
#[derive(Clone)]
pub(crate) struct Lingering {
    /// One permit for each connection that may still linger.
    permits: Arc<Semaphore>,
}

impl Default for Lingering {
    fn default() -> Lingering {
        Lingering {
            permits: Arc::new(Semaphore::new(MAX_LINGERING as usize)),
        }
    }
}

impl Lingering {
    /// Waits until no connection lingers, which takes [`linger::MAX_TIME`] at most.
    pub(crate) async fn ended(&self) {
        // The semaphore is never closed, and no further connection asks for a permit once the server has stopped.
        let _ = self.permits.acquire_many(MAX_LINGERING).await;
    }

    /// Discards what the caller still sends on a connection whose own direction was ended.
    fn linger(&self, mut socket: StraightStream<TcpStream>) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            return;
        };
        // Without a runtime the process is ending.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            linger::discard(&mut socket).await;
            drop(socket);
            drop(permit);
        });
    }
}

/// The connections from which bytes have arrived that were not answered yet. salvo closes a kept connection at a graceful
/// stop although a part of a head has arrived on it, so the stop waits until there is none.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unanswered {
    /// Number of these connections.
    connections: watch::Sender<usize>,
    /// Whether no further connections are accepted.
    is_closing: watch::Sender<bool>,
}

impl Unanswered {
    /// Accepts no further connections, and waits until all that has arrived on the others has been answered at least in
    /// part.
    pub(crate) async fn close_and_wait(&self) {
        self.is_closing.send_replace(true);
        // The sender is not dropped meanwhile.
        let _ = self
            .connections
            .subscribe()
            .wait_for(|count| *count == 0)
            .await;
    }
}

/// Accepts TCP connections as [`Stream`]s.
pub(crate) struct Acceptor {
    inner: TcpAcceptor,
    lingering: Lingering,
    unanswered: Unanswered,
}

impl Acceptor {
    pub(crate) fn new(
        listener: TcpListener,
        lingering: Lingering,
        unanswered: Unanswered,
    ) -> io::Result<Acceptor> {
        let inner = TcpAcceptor::try_from(listener)?;
        Ok(Acceptor {
            inner,
            lingering,
            unanswered,
        })
    }
}

impl salvo::conn::Acceptor for Acceptor {
    type Coupler = TcpCoupler<Stream>;
    type Stream = Stream;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<TcpCoupler<Stream>, Stream>> {
        let mut is_closing = self.unanswered.is_closing.subscribe();
        let closing = async {
            // The sender is not dropped meanwhile.
            let _ = is_closing.wait_for(|is_closing| *is_closing).await;
        };
        let accepted = tokio::select! {
            accepted = self.inner.accept(fuse_policy) => Some(accepted?),
            () = closing => None,
        };
        let Some(accepted) = accepted else {
            return std::future::pending().await;
        };
        let (lingering, unanswered) = (self.lingering.clone(), self.unanswered.clone());
        Ok(accepted.map_into(
            |_| TcpCoupler::new(),
            |socket| Stream {
                socket: Some(socket),
                is_shut_down: false,
                lingering,
                is_unanswered: false,
                unanswered,
            },
        ))
    }
}

/// A connection of a caller. If it is dropped after the server has ended its direction, what the caller still sends is
/// discarded before the socket is closed.
pub(crate) struct Stream {
    /// Invariant: `None` only while the stream is dropped.
    socket: Option<StraightStream<TcpStream>>,
    /// Whether the server has ended its direction, which it does after its last answer.
    is_shut_down: bool,
    lingering: Lingering,
    /// Whether bytes have arrived since the server wrote last. Invariant: the connection is counted in `unanswered` if so.
    is_unanswered: bool,
    unanswered: Unanswered,
}

impl Stream {
    fn set_unanswered(&mut self, is_unanswered: bool) {
        if std::mem::replace(&mut self.is_unanswered, is_unanswered) != is_unanswered {
            self.unanswered
                .connections
                .send_modify(|count| match is_unanswered {
                    true => *count += 1,
                    false => *count -= 1,
                });
        }
    }

    fn socket(self: Pin<&mut Self>) -> io::Result<Pin<&mut StraightStream<TcpStream>>> {
        let socket = self.get_mut().socket.as_mut();
        socket
            .map(Pin::new)
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.set_unanswered(false);
        if let (true, Some(socket)) = (self.is_shut_down, self.socket.take()) {
            self.lingering.linger(socket);
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = self.as_mut().socket()?.poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.set_unanswered(true);
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.set_unanswered(false);
        self.socket()?.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_unanswered(false);
        self.socket()?.poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket
            .as_ref()
            .is_some_and(StraightStream::is_write_vectored)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_shut_down = true;
        self.socket()?.poll_shutdown(context)
    }
}
