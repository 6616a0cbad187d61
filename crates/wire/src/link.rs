//! Connections to other daemons, kept open between calls.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;

/// Time to open a connection to another daemon.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Makes a client of a new connection.
pub type Open<C> =
    Arc<dyn Fn(TcpStream) -> Pin<Box<dyn Future<Output = io::Result<C>> + Send>> + Send + Sync>;

/// One connection to each daemon that was called, opened when it is needed.
pub struct Links<C> {
    open: Open<C>,
    /// Sorted by address.
    links: Arc<Mutex<Vec<Arc<Link<C>>>>>,
}

struct Link<C> {
    address: SocketAddr,
    /// `None` until the first call and after a failed one.
    client: tokio::sync::Mutex<Option<C>>,
}

impl<C> Clone for Links<C> {
    fn clone(&self) -> Links<C> {
        Links {
            open: Arc::clone(&self.open),
            links: Arc::clone(&self.links),
        }
    }
}

impl<C: Clone> Links<C> {
    /// Links whose clients are made by `open`.
    pub fn new(open: Open<C>) -> Links<C> {
        Links {
            open,
            links: Arc::default(),
        }
    }

    /// A client for the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or of `open`.
    pub async fn client(&self, address: SocketAddr) -> io::Result<C> {
        let link = self.link(address);
        let mut slot = link.client.lock().await;
        if let Some(client) = &*slot {
            return Ok(client.clone());
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        let client = (self.open)(stream).await?;
        *slot = Some(client.clone());
        Ok(client)
    }

    /// Closes the connection to `address` after a call failed, so that the next call opens a new one.
    pub async fn reset(&self, address: SocketAddr) {
        *self.link(address).client.lock().await = None;
    }

    fn link(&self, address: SocketAddr) -> Arc<Link<C>> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let at = links
            .binary_search_by_key(&address, |link| link.address)
            .unwrap_or_else(|at| {
                let client = tokio::sync::Mutex::new(None);
                links.insert(at, Arc::new(Link { address, client }));
                at
            });
        Arc::clone(&links[at])
    }
}
