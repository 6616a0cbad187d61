//! Connections to other daemons, kept open between calls.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;

/// Timeout of opening a TCP connection to another daemon.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Creates a client on a new TCP connection, for example after a handshake.
pub type Connector<C> =
    Arc<dyn Fn(TcpStream) -> Pin<Box<dyn Future<Output = io::Result<C>> + Send>> + Send + Sync>;

/// One connection to each daemon that was called, opened on the first call. Clones share the connections.
pub struct Links<C> {
    connector: Connector<C>,
    /// Sorted by address.
    links: Arc<Mutex<Vec<Arc<Link<C>>>>>,
}

struct Link<C> {
    address: SocketAddr,
    /// `None` before the first call and after [`Links::reset`].
    client: tokio::sync::Mutex<Option<C>>,
}

impl<C> Clone for Links<C> {
    fn clone(&self) -> Links<C> {
        Links {
            connector: Arc::clone(&self.connector),
            links: Arc::clone(&self.links),
        }
    }
}

impl<C: Clone> Links<C> {
    /// Creates an empty set of links. `connector` creates the client of each new connection.
    pub fn new(connector: Connector<C>) -> Links<C> {
        Links {
            connector,
            links: Arc::default(),
        }
    }

    /// The client for the daemon at `address`; opens a connection if there is none.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or of the connector, and `TimedOut` if the connection is not open within 1 s.
    pub async fn client(&self, address: SocketAddr) -> io::Result<C> {
        let link = self.link(address);
        let mut current = link.client.lock().await;
        if let Some(client) = &*current {
            return Ok(client.clone());
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        let client = (self.connector)(stream).await?;
        *current = Some(client.clone());
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
