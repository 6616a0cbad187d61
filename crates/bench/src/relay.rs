//! Relay for TCP connections and UDP datagrams with a one-way delay, which can be cut and healed at run time.
//!
//! It stands for the network between processes on one machine. A cut relay neither forwards nor closes: bytes stay in
//! its buffers, as they do in a network that loses packets, and flow on after the cut heals. Datagrams are lost.
//!
//! Control is by lines of text over TCP, each answered with `ok` or `error ...`: `cut`, `heal`, `delay MS` and
//! `reset`, which closes all TCP connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16_384;

/// Chunks of one direction that are on their way at most; a sender that is faster is slowed down.
const CHUNKS_IN_TRANSIT: usize = 256;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 65_535;

/// Part of a delay that is not left to the timers of tokio.
const TIMER_SLACK: Duration = Duration::from_millis(2);

/// Pause after a failed accept or receive, in ms.
const FAILURE_PAUSE_MS: u64 = 10;

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for TCP and UDP; the kernel chooses the port if it is 0.
    pub address: SocketAddr,
    /// Address for control.
    pub control: SocketAddr,
    /// Where connections and datagrams go.
    pub target: SocketAddr,
    /// One-way delay in each direction, in ms.
    pub delay_ms: f64,
}

/// State that the control address changes.
#[derive(Clone, Copy, Debug)]
struct Link {
    delay: Duration,
    cut: bool,
    /// Number of resets; connections end when it changes.
    resets: u64,
    /// Datagrams lost in cuts.
    lost: u64,
}

type State = watch::Sender<Link>;

/// A running relay. Dropping it closes its connections.
#[derive(Debug)]
pub struct Handle {
    /// Address for TCP and UDP.
    pub address: SocketAddr,
    /// Address for control.
    pub control: SocketAddr,
    state: Arc<State>,
    tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Stops forwarding.
    pub fn cut(&self) {
        self.state.send_modify(|link| link.cut = true);
    }

    /// Goes on forwarding.
    pub fn heal(&self) {
        self.state.send_modify(|link| link.cut = false);
    }

    /// Changes the one-way delay.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|link| link.delay = delay);
    }

    /// Number of datagrams lost in cuts so far.
    pub fn lost(&self) -> u64 {
        self.state.borrow().lost
    }

    /// Closes all TCP connections.
    pub fn reset(&self) {
        self.state.send_modify(|link| link.resets += 1);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Binds the addresses and starts the relay.
///
/// # Errors
///
/// Returns the error of the system if an address cannot be bound.
pub async fn bind(settings: Settings) -> io::Result<Handle> {
    let (listener, socket) = bind_pair(settings.address).await?;
    let control = TcpListener::bind(settings.control).await?;
    let link = Link {
        delay: delay(settings.delay_ms),
        cut: false,
        resets: 0,
        lost: 0,
    };
    let state = Arc::new(watch::Sender::new(link));
    let address = listener.local_addr()?;
    Ok(Handle {
        address,
        control: control.local_addr()?,
        tasks: vec![
            tokio::spawn(accept(listener, settings.target, Arc::clone(&state))),
            tokio::spawn(datagrams(socket, settings.target, Arc::clone(&state))),
            tokio::spawn(controls(control, Arc::clone(&state))),
        ],
        state,
    })
}

/// Binds the same port for TCP and UDP.
async fn bind_pair(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // The kernel chose a TCP port whose UDP port is taken; the next one may be free.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && address.port() == 0 => {}
            Err(error) => return Err(error),
        }
    }
}

fn delay(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::ZERO)
}

/// Waits until `due`, to a few tenths of a ms.
///
/// The timers of tokio round up to a whole ms and made a delay of 1.5 ms one of 2.9 ms (median), so a thread sleeps for
/// the last part.
async fn wait(due: Instant) {
    let now = Instant::now();
    if due <= now {
        return;
    }
    if let Some(early) = due.checked_sub(TIMER_SLACK).filter(|early| *early > now) {
        tokio::time::sleep_until(early).await;
    }
    let rest = due.saturating_duration_since(Instant::now());
    // The task does not panic, and is only cancelled when the runtime ends.
    let _ = tokio::task::spawn_blocking(move || std::thread::sleep(rest)).await;
}

async fn failure_pause() {
    tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(connect(stream, target, Arc::clone(&state)));
            }
            Err(_) => failure_pause().await,
        }
    }
}

async fn connect(stream: TcpStream, target: SocketAddr, state: Arc<State>) {
    let mut link = state.subscribe();
    let resets = link.borrow().resets;
    // A connection that is made during a cut waits for its end.
    if link.wait_for(|link| !link.cut).await.is_err() {
        return;
    }
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    // Without this, Nagle's algorithm would add delays of its own.
    let _ = stream.set_nodelay(true).and(other.set_nodelay(true));
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = other.into_split();
    let there = direction(near_read, far_write, &state);
    let back = direction(far_read, near_write, &state);
    let both = async { tokio::join!(there, back) };
    tokio::select! {
        _ = both => {}
        _ = link.wait_for(|link| link.resets != resets) => {}
    }
}

/// Forwards one direction until its end, which is delayed like its bytes.
async fn direction(mut read: OwnedReadHalf, mut write: OwnedWriteHalf, state: &State) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_IN_TRANSIT);
    let reader = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let length = read.read(&mut chunk).await.unwrap_or(0);
            chunk.truncate(length);
            let due = Instant::now() + state.borrow().delay;
            // An empty chunk carries the end.
            if sender.send((due, chunk)).await.is_err() || length == 0 {
                return;
            }
        }
    };
    let writer = async move {
        let mut link = state.subscribe();
        while let Some((due, chunk)) = receiver.recv().await {
            wait(due).await;
            let healed = link.wait_for(|link| !link.cut).await.is_ok();
            if !healed || chunk.is_empty() || write.write_all(&chunk).await.is_err() {
                break;
            }
        }
        // The other side may have closed already.
        let _ = write.shutdown().await;
    };
    tokio::join!(reader, writer);
}

/// Where a datagram leaves the relay.
#[derive(Clone)]
struct Exit {
    socket: Arc<UdpSocket>,
    to: SocketAddr,
}

/// A sender of datagrams and the socket that stands for it towards the target.
struct Peer {
    address: SocketAddr,
    socket: Arc<UdpSocket>,
}

async fn datagrams(socket: UdpSocket, target: SocketAddr, state: Arc<State>) {
    let socket = Arc::new(socket);
    let mut tasks = JoinSet::new();
    // Sorted by address.
    let mut peers: Vec<Peer> = Vec::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            failure_pause().await;
            continue;
        };
        let at = match peers.binary_search_by_key(&from, |peer| peer.address) {
            Ok(at) => at,
            Err(at) => {
                let Ok(own) = peer_socket(target).await else {
                    continue;
                };
                let own = Arc::new(own);
                let back = Exit {
                    socket: Arc::clone(&socket),
                    to: from,
                };
                tasks.spawn(answers(Arc::clone(&own), back, Arc::clone(&state)));
                let peer = Peer {
                    address: from,
                    socket: own,
                };
                peers.insert(at, peer);
                at
            }
        };
        let exit = Exit {
            socket: Arc::clone(&peers[at].socket),
            to: target,
        };
        forward(&mut tasks, &state, exit, &buffer[..length]);
    }
}

async fn peer_socket(target: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = match target {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0; 16], 0).into(),
    };
    UdpSocket::bind(any).await
}

/// Sends the datagrams of the target back to one sender.
async fn answers(own: Arc<UdpSocket>, exit: Exit, state: Arc<State>) {
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        while tasks.try_join_next().is_some() {}
        match own.recv_from(&mut buffer).await {
            Ok((length, _)) => forward(&mut tasks, &state, exit.clone(), &buffer[..length]),
            Err(_) => failure_pause().await,
        }
    }
}

fn forward(tasks: &mut JoinSet<()>, state: &Arc<State>, exit: Exit, data: &[u8]) {
    let link = *state.borrow();
    if link.cut {
        state.send_modify(|link| link.lost += 1);
        return;
    }
    let due = Instant::now() + link.delay;
    let (state, data) = (Arc::clone(state), data.to_vec());
    tasks.spawn(async move {
        wait(due).await;
        if state.borrow().cut {
            state.send_modify(|link| link.lost += 1);
            return;
        }
        // A datagram that cannot be sent is lost.
        let _ = exit.socket.send_to(&data, exit.to).await;
    });
}

async fn controls(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(control(stream, Arc::clone(&state)));
            }
            Err(_) => failure_pause().await,
        }
    }
}

async fn control(stream: TcpStream, state: Arc<State>) {
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let answer = match command(&line, &state) {
            Ok(()) => "ok\n".to_owned(),
            Err(message) => format!("error {message}\n"),
        };
        if write.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn command(line: &str, state: &State) -> Result<(), String> {
    let mut words = line.split_ascii_whitespace();
    match (words.next(), words.next()) {
        (Some("cut"), None) => state.send_modify(|link| link.cut = true),
        (Some("heal"), None) => state.send_modify(|link| link.cut = false),
        (Some("reset"), None) => state.send_modify(|link| link.resets += 1),
        (Some("delay"), Some(ms)) => {
            let ms: f64 = ms
                .parse()
                .map_err(|_| format!("{ms:?} is not a number of ms"))?;
            state.send_modify(|link| link.delay = delay(ms));
        }
        _ => {
            return Err(format!(
                "unknown command {line:?}; known: cut, heal, reset, delay MS"
            ));
        }
    }
    Ok(())
}
