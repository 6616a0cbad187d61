//! Delivers updates on requests over TCP that do not fit into a datagram.
//!
//! A prompt of a long conversation has hundreds of parts. Core hosts that are not told that a server has such a request
//! place others there as if it were free, and do not find out which part of it crashes servers.
//!
//! Updates on the same request must arrive in order: one that overtakes the assignment would be ignored. All updates on such
//! requests therefore take this way, one call after the other.

use std::net::SocketAddrV4;
use std::sync::Arc;

use primrose_fleet::message::Update;
use primrose_fleet::peers::{self, Links};
use primrose_observe::Meter;
use tarpc::context;
use tokio::sync::mpsc;

/// The most updates that wait for one core host. Those of a core host that does not answer are dropped beyond that.
const MAX_WAITING: usize = 1_024;

/// Delivers updates to one core host.
pub(crate) struct Courier {
    pub(crate) address: SocketAddrV4,
    updates: mpsc::Sender<Update>,
    meter: Arc<Meter>,
}

impl Courier {
    /// Starts the task that calls the core host at `address`. It ends when the courier is dropped.
    pub(crate) fn spawn(links: Links, address: SocketAddrV4, meter: Arc<Meter>) -> Courier {
        let (updates, waiting) = mpsc::channel(MAX_WAITING);
        tokio::spawn(deliver(links, address, waiting, Arc::clone(&meter)));
        Courier {
            address,
            updates,
            meter,
        }
    }

    /// Delivers an update after all earlier ones.
    pub(crate) fn send(&self, update: Update) {
        if self.updates.try_send(update).is_err() {
            self.meter.count("update_lost");
        }
    }
}

async fn deliver(
    links: Links,
    address: SocketAddrV4,
    mut waiting: mpsc::Receiver<Update>,
    meter: Arc<Meter>,
) {
    let mut updates = Vec::new();
    while waiting.recv_many(&mut updates, MAX_WAITING).await > 0 {
        let group = std::mem::take(&mut updates);
        let count = group.len();
        let delivered = peers::call(&links, address, |client| async move {
            client.update(context::current(), group).await
        });
        if delivered.await.is_none() {
            for _ in 0..count {
                meter.count("update_lost");
            }
        }
    }
}
