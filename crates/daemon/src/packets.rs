//! Sending and receiving of packets, which may be lost, on the datagram socket.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use primrose_wire::datagram::{self, MAX_DATAGRAM_BYTES};
use primrose_wire::frame::Traffic;
use primrose_wire::key::Key;
use primrose_wire::peer::Packet;
use tarpc::context;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::counters::Counters;
use crate::links::Links;

/// Maximum number of packets that wait for one task. Further packets are dropped, as they may be by the network.
const QUEUE_CAPACITY: usize = 4_096;

/// A packet from another daemon, whose authenticity has been checked.
pub struct Received {
    /// Address from which the packet was sent.
    pub source: SocketAddr,
    /// The decoded packet.
    pub packet: Packet,
}

/// Sends packets to other daemons. Clones share the socket.
#[derive(Clone)]
pub struct Outbox {
    socket: Arc<UdpSocket>,
    key: Key,
    traffic: Traffic,
    links: Links,
}

/// Passes each received packet to the task that handles its kind.
#[derive(Clone)]
pub struct Inbox {
    membership: mpsc::Sender<Received>,
    scheduler: mpsc::Sender<Received>,
    replica: mpsc::Sender<Received>,
}

/// The receiving ends of an [`Inbox`].
pub struct Receivers {
    /// Packets between failure detectors.
    pub membership: mpsc::Receiver<Received>,
    /// Messages of the replicated log without entries.
    pub replica: mpsc::Receiver<Received>,
    /// All other packets.
    pub scheduler: mpsc::Receiver<Received>,
}

impl Inbox {
    /// Creates an inbox and its receiving ends.
    pub fn new() -> (Inbox, Receivers) {
        let (membership, membership_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (scheduler, scheduler_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (replica, replica_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let receivers = Receivers {
            membership: membership_receiver,
            replica: replica_receiver,
            scheduler: scheduler_receiver,
        };
        (
            Inbox {
                membership,
                scheduler,
                replica,
            },
            receivers,
        )
    }

    /// Passes a packet to its task, or drops it if the queue of the task is full.
    pub fn deliver(&self, received: Received) {
        let queue = match received.packet {
            Packet::Membership(_) => &self.membership,
            Packet::Consensus { .. } => &self.replica,
            _ => &self.scheduler,
        };
        let _ = queue.try_send(received);
    }
}

/// Binds the datagram socket to `address` and starts to pass received packets to `inbox`.
///
/// # Errors
///
/// Returns the error of the socket if the address cannot be bound.
pub async fn bind(
    address: SocketAddr,
    key: Key,
    traffic: Traffic,
    links: Links,
    inbox: Inbox,
    counters: Arc<Counters>,
) -> io::Result<Outbox> {
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let outbox = Outbox {
        socket: Arc::clone(&socket),
        key: key.clone(),
        traffic: traffic.clone(),
        links,
    };
    tokio::spawn(receive(socket, key, traffic, inbox, counters));
    Ok(outbox)
}

async fn receive(
    socket: Arc<UdpSocket>,
    key: Key,
    traffic: Traffic,
    inbox: Inbox,
    counters: Arc<Counters>,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An error of `recv_from` reports that an earlier datagram could not be delivered.
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        traffic.add_received(length);
        match datagram::open(&key, &buffer[..length]) {
            Ok(packet) => inbox.deliver(Received { source, packet }),
            Err(_) => counters.count("peer_datagram_refused"),
        }
    }
}

impl Outbox {
    /// Sends a packet. A packet that is too long for a datagram is sent over TCP. A packet is lost if the send buffer
    /// of the socket is full.
    pub fn send(&self, to: SocketAddr, packet: &Packet) {
        match datagram::seal(&self.key, packet) {
            Ok(bytes) => {
                if self.socket.try_send_to(&bytes, to).is_ok() {
                    self.traffic.add_sent(bytes.len());
                }
            }
            Err(datagram::Error::TooLong { .. }) => {
                tokio::spawn(deliver(self.links.clone(), to, packet.clone()));
            }
            Err(_) => {}
        }
    }
}

async fn deliver(links: Links, to: SocketAddr, packet: Packet) {
    let Ok(client) = links.client(to).await else {
        return;
    };
    if client.deliver(context::current(), packet).await.is_err() {
        links.reset(to).await;
    }
}
