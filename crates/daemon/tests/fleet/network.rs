//! The network between the daemons: relays that forward what one failure domain sends to another unless it is cut off.
//!
//! A relay stands in front of each daemon's address for its peers. Unlike the relay of `primrose-bench` it has to know
//! the sender, since the cut depends on both ends.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A daemon as relays see it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Node {
    /// Where it sends datagrams from and listens.
    pub(crate) address: SocketAddr,
    pub(crate) domain: &'static str,
    /// Process id, 0 while it does not run.
    pub(crate) process: u32,
}

/// All daemons of a fleet and the failure domain that is cut off from the others, if one is.
#[derive(Clone, Default)]
pub(crate) struct Network {
    nodes: Arc<Mutex<Vec<Node>>>,
    isolated: Arc<watch::Sender<Option<&'static str>>>,
}

impl Network {
    /// Cuts `domain` off from the others. Bytes under way are held back, datagrams are lost.
    pub(crate) fn isolate(&self, domain: &'static str) {
        self.isolated.send_replace(Some(domain));
    }

    /// Ends the cut.
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

    fn is_cut(&self, from: &str, to: &str) -> bool {
        cuts(*self.isolated.borrow(), from, to)
    }

    /// The daemon that opened a connection whose own end is `source`.
    fn opener(&self, source: SocketAddr, relay: SocketAddr) -> Option<Node> {
        let inode = socket_inode(source, relay)?;
        let nodes = self.nodes.lock().expect("no panic").clone();
        nodes
            .into_iter()
            .find(|node| node.process != 0 && holds_socket(node.process, &inode))
    }
}

fn cuts(isolated: Option<&str>, from: &str, to: &str) -> bool {
    from != to && isolated.is_some_and(|domain| domain == from || domain == to)
}

/// The inode of the client's end of a connection, from the table of the kernel.
fn socket_inode(source: SocketAddr, target: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (source, target) = (kernel_form(source)?, kernel_form(target)?);
    table.lines().find_map(|line| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let is_it = fields.next()? == source && fields.next()? == target;
        is_it.then(|| fields.nth(6).map(str::to_owned))?
    })
}

/// An address as `/proc/net/tcp` shows it: the bytes of the address in host order, and the port.
fn kernel_form(address: SocketAddr) -> Option<String> {
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

/// Adds a daemon to the network. Returns the address on which others reach it, and the tasks of its relay.
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
    tasks.spawn(accept(network.clone(), node, listener));
    tasks.spawn(datagrams(network.clone(), node, socket));
    (address, tasks)
}

async fn accept(network: Network, node: Node, listener: TcpListener) {
    let relay = listener.local_addr().expect("a bound socket");
    let mut connections = JoinSet::new();
    while let Ok((stream, source)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(connect(network.clone(), node, stream, source, relay));
    }
}

async fn connect(
    network: Network,
    node: Node,
    near: TcpStream,
    source: SocketAddr,
    relay: SocketAddr,
) {
    let Some(opener) = network.opener(source, relay) else {
        return;
    };
    wait_open(&network, opener.domain, node.domain).await;
    let Ok(far) = TcpStream::connect(node.address).await else {
        return;
    };
    let _ = near.set_nodelay(true).and(far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(&network, (opener.domain, node.domain), near_read, far_write),
        copy(&network, (opener.domain, node.domain), far_read, near_write),
    );
}

async fn wait_open(network: &Network, from: &str, to: &str) {
    let mut isolated = network.isolated.subscribe();
    // The sender lives as long as the network.
    let _ = isolated
        .wait_for(|isolated| !cuts(*isolated, from, to))
        .await;
}

async fn copy(
    network: &Network,
    (from, to): (&str, &str),
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(length @ 1..) = read.read(&mut buffer).await {
        wait_open(network, from, to).await;
        if write.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    wait_open(network, from, to).await;
    // The other side may have closed already.
    let _ = write.shutdown().await;
}

async fn datagrams(network: Network, node: Node, socket: Arc<UdpSocket>) {
    let mut senders: Vec<(SocketAddr, Arc<UdpSocket>)> = Vec::new();
    let mut answers = JoinSet::new();
    let mut buffer = vec![0; 65_535];
    loop {
        // An error reports an earlier datagram that could not be delivered.
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        let nodes = network.nodes.lock().expect("no panic").clone();
        let Some(sender) = nodes.iter().find(|other| other.address == source) else {
            continue;
        };
        if network.is_cut(sender.domain, node.domain) {
            continue;
        }
        let known = senders.iter().position(|(address, _)| *address == source);
        let at = match known {
            Some(at) => at,
            None => {
                let own = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
                let own = Arc::new(own.expect("a free port"));
                answers.spawn(answer(
                    network.clone(),
                    (node, *sender),
                    Arc::clone(&own),
                    Arc::clone(&socket),
                ));
                senders.push((source, own));
                senders.len() - 1
            }
        };
        // A datagram that cannot be sent is lost.
        let _ = senders[at].1.send_to(&buffer[..length], node.address).await;
    }
}

/// Carries what `node` sends back to `sender`.
async fn answer(
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
        if !network.is_cut(node.domain, sender.domain) {
            let _ = socket.send_to(&buffer[..length], sender.address).await;
        }
    }
}
