//! Finds out whether a server has ended after a connection to it broke.
//!
//! A connection also breaks if the server, or something on the way, gives up on that connection alone. Only if the server
//! no longer listens has it ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_fleet::message::Update;
use primrose_place::Server;
use tokio::net::TcpStream;

use crate::link;

/// Time from the break of a connection until the server is tried. The connections and the listener of a process that
/// ends are not closed at the same instant.
const DELAY: Duration = Duration::from_millis(20);

/// How long a server may take to accept or refuse a connection.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Breaks within this time, in ms, are answered by the same try: a server that ends breaks all its connections at once.
const INTERVAL_MS: u64 = 200;

/// How long a request whose connection broke is not sent to another server: until the core hosts know whether the first
/// one has ended. If the request is the reason, they may refuse it then.
pub(crate) const RESEND_DELAY: Duration = Duration::from_millis(50);

/// Tries to connect to servers whose connections broke.
#[derive(Clone, Debug, Default)]
pub(crate) struct Detector {
    /// The tries within [`INTERVAL_MS`].
    tries: Arc<Mutex<Vec<Try>>>,
}

#[derive(Debug)]
struct Try {
    /// Id of the server.
    server: Arc<str>,
    at: Time,
}

impl Detector {
    /// Reports a crash to the core hosts if the server refuses a connection. Returns at once.
    pub(crate) fn check(&self, link: &link::Handle, server: &Server) {
        if !self.is_due(Time::now(), &server.id) {
            return;
        }
        let (link, server) = (link.clone(), server.clone());
        tokio::spawn(async move {
            tokio::time::sleep(DELAY).await;
            let connect = TcpStream::connect(SocketAddr::V4(server.address));
            // A server that cannot be reached may be up.
            if let Ok(Err(error)) = tokio::time::timeout(TIMEOUT, connect).await
                && error.kind() == ErrorKind::ConnectionRefused
            {
                link.report(Update::Crashed(server.id));
            }
        });
    }

    fn is_due(&self, now: Time, server: &Arc<str>) -> bool {
        let mut tries = self.tries.lock().unwrap_or_else(PoisonError::into_inner);
        tries.retain(|known| now.since(known.at) < INTERVAL_MS);
        let is_due = !tries.iter().any(|known| known.server == *server);
        if is_due {
            tries.push(Try {
                server: Arc::clone(server),
                at: now,
            });
        }
        is_due
    }
}
