//! Connections to other daemons.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use primrose_wire::frame::Traffic;
use primrose_wire::handshake;
use primrose_wire::key::Key;
use primrose_wire::peer::PeerClient;
use tarpc::client::Config;
use tokio::net::TcpStream;

/// Time to open a connection to another daemon.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// One connection to each daemon that was called, opened when it is needed.
#[derive(Clone)]
pub struct Links {
    key: Key,
    traffic: Traffic,
    /// Sorted by address.
    links: Arc<Mutex<Vec<Arc<Link>>>>,
}

struct Link {
    address: SocketAddr,
    /// `None` until the first call and after a failed one.
    client: tokio::sync::Mutex<Option<PeerClient>>,
}

impl Links {
    /// Links that authenticate with `key` and count their bytes in `traffic`.
    pub fn new(key: Key, traffic: Traffic) -> Links {
        Links {
            key,
            traffic,
            links: Arc::default(),
        }
    }

    /// A client for the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, or `PermissionDenied` if the other end does not have the fleet key.
    pub async fn client(&self, address: SocketAddr) -> io::Result<PeerClient> {
        let link = self.link(address);
        let mut slot = link.client.lock().await;
        if let Some(client) = &*slot {
            return Ok(client.clone());
        }
        let client = self.connect(address).await?;
        *slot = Some(client.clone());
        Ok(client)
    }

    /// Closes the connection to `address` after a call failed, so that the next call opens a new one.
    pub async fn reset(&self, address: SocketAddr) {
        *self.link(address).client.lock().await = None;
    }

    fn link(&self, address: SocketAddr) -> Arc<Link> {
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

    async fn connect(&self, address: SocketAddr) -> io::Result<PeerClient> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        let connection = handshake::connect(stream, &self.key, &self.traffic).await?;
        Ok(PeerClient::new(Config::default(), connection).spawn())
    }
}
