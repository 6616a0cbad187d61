//! Relays that forward the traffic between daemons unless one of their failure domains is isolated.
//!
//! There is one relay for each daemon. The other daemons have the address of the relay, not that of the daemon, in
//! their settings. Unlike the relay of `primrose-bench`, it must identify the sender, because the failure domains of
//! both ends decide whether traffic is forwarded.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What relays know about a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Node {
    /// The address on which the daemon listens and from which it sends datagrams.
    pub(crate) address: SocketAddr,
    pub(crate) domain: &'static str,
    /// Process id; 0 before the daemon is started.
    pub(crate) process: u32,
}

/// All daemons of a fleet, and the failure domain that is isolated from the others, if any.
#[derive(Clone, Default)]
pub(crate) struct Network {
    nodes: Arc<Mutex<Vec<Node>>>,
    isolated: Arc<watch::Sender<Option<&'static str>>>,
}

impl Network {
    /// Isolates `domain` from the others. Data on connections is delayed until [`Network::heal`]; datagrams are
    /// dropped.
    pub(crate) fn isolate(&self, domain: &'static str) {
        self.isolated.send_replace(Some(domain));
    }

    /// Ends the isolation.
    pub(crate) fn heal(&self) {
        self.isolated.send_replace(None);
    }

    pub(crate) fn set_process(&self, address: SocketAddr, process: u32) {
        let mut nodes = self.nodes.lock().expect("no panic");
        let node = nodes.iter_mut().find(|node| node.address == address);
        if let Some(node) = node {
            node.process = process;
        }
    }

    fn is_blocked(&self, from: &str, to: &str) -> bool {
        blocks(*self.isolated.borrow(), from, to)
    }

    /// Finds the daemon that opened the connection from `source` to the relay at `relay`.
    fn opener(&self, source: SocketAddr, relay: SocketAddr) -> Option<Node> {
        let inode = socket_inode(source, relay)?;
        let nodes = self.nodes.lock().expect("no panic").clone();
        nodes
            .into_iter()
            .find(|node| node.process != 0 && holds_socket(node.process, &inode))
    }
}

/// Whether traffic between two failure domains is blocked while `isolated` is isolated.
fn blocks(isolated: Option<&str>, from: &str, to: &str) -> bool {
    from != to && isolated.is_some_and(|domain| domain == from || domain == to)
}

/// Finds the inode of the client's socket of a connection in `/proc/net/tcp`.
fn socket_inode(source: SocketAddr, target: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (source, target) = (proc_net_form(source)?, proc_net_form(target)?);
    table.lines().find_map(|line| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let is_match = fields.next()? == source && fields.next()? == target;
        is_match.then(|| fields.nth(6).map(str::to_owned))?
    })
}

/// Formats an address as in `/proc/net/tcp`: the four bytes as a hexadecimal number in host byte order, and the port.
fn proc_net_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn holds_socket(process: u32, inode: &str) -> bool {
    let wanted = format!("socket:[{inode}]");
    let files = std::fs::read_dir(format!("/proc/{process}/fd"));
    files.into_iter().flatten().flatten().any(|file| {
        std::fs::read_link(file.path()).is_ok_and(|target| target.to_str() == Some(&wanted))
    })
}

/// Adds a daemon to the network and starts its relay on `ip`. Returns the address of the relay and its tasks.
pub(crate) async fn attach(
    network: &Network,
    node: Node,
    ip: Ipv4Addr,
) -> (SocketAddr, JoinSet<()>) {
    network.nodes.lock().expect("no panic").push(node);
    let (listener, socket) = loop {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        if let Ok(socket) = UdpSocket::bind(address).await {
            break (listener, Arc::new(socket));
        }
    };
    let address = listener.local_addr().expect("a bound socket");
    let mut tasks = JoinSet::new();
    tasks.spawn(accept_connections(network.clone(), node, listener));
    tasks.spawn(forward_datagrams(network.clone(), node, socket));
    (address, tasks)
}

async fn accept_connections(network: Network, node: Node, listener: TcpListener) {
    let relay = listener.local_addr().expect("a bound socket");
    let mut connections = JoinSet::new();
    while let Ok((stream, source)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(forward_connection(
            network.clone(),
            node,
            stream,
            source,
            relay,
        ));
    }
}

async fn forward_connection(
    network: Network,
    node: Node,
    near: TcpStream,
    source: SocketAddr,
    relay: SocketAddr,
) {
    let Some(opener) = network.opener(source, relay) else {
        return;
    };
    wait_unblocked(&network, opener.domain, node.domain).await;
    let Ok(far) = TcpStream::connect(node.address).await else {
        return;
    };
    let _ = near.set_nodelay(true).and(far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        forward_bytes(&network, (opener.domain, node.domain), near_read, far_write),
        forward_bytes(&network, (opener.domain, node.domain), far_read, near_write),
    );
}

async fn wait_unblocked(network: &Network, from: &str, to: &str) {
    let mut isolated = network.isolated.subscribe();
    // `wait_for` fails only if the sender is dropped, and `network` keeps it.
    let _ = isolated
        .wait_for(|isolated| !blocks(*isolated, from, to))
        .await;
}

async fn forward_bytes(
    network: &Network,
    (from, to): (&str, &str),
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(length @ 1..) = read.read(&mut buffer).await {
        wait_unblocked(network, from, to).await;
        if write.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    wait_unblocked(network, from, to).await;
    // Fails if the other end has closed the connection already.
    let _ = write.shutdown().await;
}

async fn forward_datagrams(network: Network, node: Node, socket: Arc<UdpSocket>) {
    let mut senders: Vec<(SocketAddr, Arc<UdpSocket>)> = Vec::new();
    let mut reply_tasks = JoinSet::new();
    let mut buffer = vec![0; 65_535];
    loop {
        // The kernel reports here that an earlier datagram could not be delivered.
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        let nodes = network.nodes.lock().expect("no panic").clone();
        let Some(sender) = nodes.iter().find(|other| other.address == source) else {
            continue;
        };
        if network.is_blocked(sender.domain, node.domain) {
            continue;
        }
        let known = senders.iter().position(|(address, _)| *address == source);
        let at = match known {
            Some(at) => at,
            None => {
                let own = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
                let own = Arc::new(own.expect("a free port"));
                reply_tasks.spawn(forward_replies(
                    network.clone(),
                    (node, *sender),
                    Arc::clone(&own),
                    Arc::clone(&socket),
                ));
                senders.push((source, own));
                senders.len() - 1
            }
        };
        // A datagram that cannot be sent is dropped.
        let _ = senders[at].1.send_to(&buffer[..length], node.address).await;
    }
}

/// Forwards the datagrams that `node` sends back to `sender`.
async fn forward_replies(
    network: Network,
    (node, sender): (Node, Node),
    own: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
) {
    let mut buffer = vec![0; 65_535];
    loop {
        let Ok((length, _)) = own.recv_from(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        if !network.is_blocked(node.domain, sender.domain) {
            let _ = socket.send_to(&buffer[..length], sender.address).await;
        }
    }
}
