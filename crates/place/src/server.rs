//! Backend servers as discovery describes them.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Server {
    /// The incarnation: another one at the same address has another id.
    pub id: Arc<str>,
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// Where it accepts connections.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at the same time; at least 1.
    pub slots: u32,
    /// Whether it leaves: it finishes what it has and must get nothing new.
    pub leaving: bool,
}
