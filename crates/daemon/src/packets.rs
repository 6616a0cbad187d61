//! The datagram socket: packets that may be lost.

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

/// Packets that wait for their task at most; more are dropped, as the network may drop them.
const QUEUE: usize = 4_096;

/// A packet and where it came from.
pub struct Received {
    /// Address of the sender.
    pub source: SocketAddr,
    /// The packet.
    pub packet: Packet,
}

/// Sends packets.
#[derive(Clone)]
pub struct Outbox {
    socket: Arc<UdpSocket>,
    key: Key,
    traffic: Traffic,
    links: Links,
}

/// Hands received packets to the tasks that own their subject.
#[derive(Clone)]
pub struct Inbox {
    membership: mpsc::Sender<Received>,
    scheduler: mpsc::Sender<Received>,
    replica: mpsc::Sender<Received>,
}

/// The receiving ends of an [`Inbox`].
pub struct Receivers {
    /// Packets of membership.
    pub membership: mpsc::Receiver<Received>,
    /// Messages of the replicated log.
    pub replica: mpsc::Receiver<Received>,
    /// All others.
    pub scheduler: mpsc::Receiver<Received>,
}

impl Inbox {
    /// An inbox and its receiving ends.
    pub fn new() -> (Inbox, Receivers) {
        let (membership, membership_receiver) = mpsc::channel(QUEUE);
        let (scheduler, scheduler_receiver) = mpsc::channel(QUEUE);
        let (replica, replica_receiver) = mpsc::channel(QUEUE);
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

    /// Hands over a packet; it is dropped if the queue of its task is full.
    pub fn deliver(&self, received: Received) {
        let queue = match received.packet {
            Packet::Membership(_) => &self.membership,
            Packet::Consensus { .. } => &self.replica,
            _ => &self.scheduler,
        };
        let _ = queue.try_send(received);
    }
}

/// Binds the datagram socket and starts to receive.
///
/// # Errors
///
/// Returns the error of the socket.
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
        // An error on a datagram socket reports an earlier datagram that could not be delivered.
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
    /// Sends a packet. It is lost if the socket has no room; one that is too long for a datagram goes over TCP.
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
