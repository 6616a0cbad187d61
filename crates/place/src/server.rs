//! Backend servers as service discovery describes them.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Server {
    /// Identifies the incarnation: another server at the same address has another id.
    pub id: Arc<str>,
    /// Name of the pool that the server belongs to.
    pub pool: Arc<str>,
    /// Where the server accepts connections.
    pub address: SocketAddrV4,
    /// Name of the server's failure domain.
    pub domain: Arc<str>,
    /// Requests that the server runs at the same time; at least 1.
    pub slots: u32,
    /// Whether the server is draining: it finishes its requests and must get no new ones.
    pub draining: bool,
    /// Whether the list says that the server is cold: it has just started, or has become cold again, and tolerates few
    /// requests per second.
    pub cold: bool,
}
