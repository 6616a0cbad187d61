//! Relay for TCP connections and UDP datagrams that adds a one-way delay and can simulate a network partition.
//!
//! It simulates the network between processes on one machine. While the relay is cut, it forwards nothing and keeps
//! connections open. As in a network that loses packets, TCP data stays in buffers and is delivered after the cut is
//! healed, whereas datagrams are lost.
//!
//! The control address accepts commands over TCP, one per line, and answers each with `ok` or `error ...`. The
//! commands are `cut`, `heal`, `delay MS`, and `reset`, which closes all TCP connections.

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

/// Maximum number of bytes read from a connection at once.
const CHUNK_BYTES: usize = 16_384;

/// Maximum number of chunks buffered per direction of a connection; when it is reached, the sender is slowed down.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// Size of the receive buffer for datagrams, in bytes; no UDP datagram is larger.
const DATAGRAM_BYTES: usize = 65_535;

/// Longest time that a thread sleeps at the end of a delay, because tokio timers round up to whole ms.
const MAX_THREAD_SLEEP: Duration = Duration::from_millis(2);

/// Pause after a failed accept or receive, in ms.
const RETRY_DELAY_MS: u64 = 10;

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for TCP and UDP; if the port is 0, the kernel chooses one.
    pub address: SocketAddr,
    /// Address for control commands over TCP; if the port is 0, the kernel chooses one.
    pub control: SocketAddr,
    /// Address to which connections and datagrams are forwarded.
    pub target: SocketAddr,
    /// One-way delay in each direction, in ms.
    pub delay_ms: f64,
}

/// State of the simulated network link, which control commands change.
#[derive(Clone, Copy, Debug)]
struct Link {
    /// One-way delay in each direction.
    delay: Duration,
    /// Whether forwarding is suspended.
    cut: bool,
    /// Number of resets so far; open connections are closed when it changes.
    resets: u64,
    /// Number of datagrams dropped during cuts.
    dropped_datagrams: u64,
}

/// Channel that publishes the link state to all connections.
type State = watch::Sender<Link>;

/// A running relay. Dropping the handle stops the relay and closes its connections.
#[derive(Debug)]
pub struct Handle {
    /// Bound address for TCP and UDP.
    pub address: SocketAddr,
    /// Bound address for control commands.
    pub control: SocketAddr,
    state: Arc<State>,
    tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Suspends forwarding: TCP data is buffered and datagrams are dropped until [`Handle::heal`].
    pub fn cut(&self) {
        self.state.send_modify(|link| link.cut = true);
    }

    /// Resumes forwarding after [`Handle::cut`].
    pub fn heal(&self) {
        self.state.send_modify(|link| link.cut = false);
    }

    /// Sets the one-way delay for data that arrives from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|link| link.delay = delay);
    }

    /// Returns the number of datagrams dropped during cuts so far.
    pub fn dropped_datagrams(&self) -> u64 {
        self.state.borrow().dropped_datagrams
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
/// Returns the error of the operating system if an address cannot be bound.
pub async fn bind(settings: Settings) -> io::Result<Handle> {
    let (listener, socket) = bind_pair(settings.address).await?;
    let control = TcpListener::bind(settings.control).await?;
    let link = Link {
        delay: duration_from_ms(settings.delay_ms),
        cut: false,
        resets: 0,
        dropped_datagrams: 0,
    };
    let state = Arc::new(watch::Sender::new(link));
    let address = listener.local_addr()?;
    Ok(Handle {
        address,
        control: control.local_addr()?,
        tasks: vec![
            tokio::spawn(accept_connections(
                listener,
                settings.target,
                Arc::clone(&state),
            )),
            tokio::spawn(relay_datagrams(socket, settings.target, Arc::clone(&state))),
            tokio::spawn(accept_control(control, Arc::clone(&state))),
        ],
        state,
    })
}

/// Binds a TCP listener and a UDP socket to the same port.
async fn bind_pair(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // The kernel chose a TCP port whose number is in use for UDP. Try again with another port.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && address.port() == 0 => {}
            Err(error) => return Err(error),
        }
    }
}

/// Converts a time in ms; a negative, too large or non-finite value becomes zero.
fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::ZERO)
}

/// Waits until `due`, with a precision of a few tenths of a ms.
///
/// The timers of tokio round up to whole ms: with them alone, a delay of 1.5 ms became 2.9 ms (median). For the last
/// part of the time, a thread therefore sleeps.
async fn wait_until(due: Instant) {
    let now = Instant::now();
    if due <= now {
        return;
    }
    if let Some(early) = due
        .checked_sub(MAX_THREAD_SLEEP)
        .filter(|early| *early > now)
    {
        tokio::time::sleep_until(early).await;
    }
    let rest = due.saturating_duration_since(Instant::now());
    // An error is possible only when the runtime shuts down, because the task does not panic.
    let _ = tokio::task::spawn_blocking(move || std::thread::sleep(rest)).await;
}

async fn retry_delay() {
    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
}

async fn accept_connections(listener: TcpListener, target: SocketAddr, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(relay_connection(stream, target, Arc::clone(&state)));
            }
            Err(_) => retry_delay().await,
        }
    }
}

/// Connects to the target and forwards both directions until they end or the relay is reset.
async fn relay_connection(stream: TcpStream, target: SocketAddr, state: Arc<State>) {
    let mut link = state.subscribe();
    let resets = link.borrow().resets;
    // During a cut, the connection to the target is made only after the cut is healed.
    if link.wait_for(|link| !link.cut).await.is_err() {
        return;
    }
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    // Without this option, Nagle's algorithm would add further delays.
    let _ = stream
        .set_nodelay(true)
        .and(target_stream.set_nodelay(true));
    let (client_read, client_write) = stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let to_target = forward_direction(client_read, target_write, &state);
    let to_client = forward_direction(target_read, client_write, &state);
    let both = async { tokio::join!(to_target, to_client) };
    tokio::select! {
        _ = both => {}
        _ = link.wait_for(|link| link.resets != resets) => {}
    }
}

/// Forwards one direction of a connection until it ends. The end of the stream is delayed like the data.
async fn forward_direction(mut read: OwnedReadHalf, mut write: OwnedWriteHalf, state: &State) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_BUFFERED_CHUNKS);
    let reader = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let length = read.read(&mut chunk).await.unwrap_or(0);
            chunk.truncate(length);
            let due = Instant::now() + state.borrow().delay;
            // An empty chunk marks the end of the stream.
            if sender.send((due, chunk)).await.is_err() || length == 0 {
                return;
            }
        }
    };
    let writer = async move {
        let mut link = state.subscribe();
        while let Some((due, chunk)) = receiver.recv().await {
            wait_until(due).await;
            let healed = link.wait_for(|link| !link.cut).await.is_ok();
            if !healed || chunk.is_empty() || write.write_all(&chunk).await.is_err() {
                break;
            }
        }
        // The shutdown fails if the other side has already closed the connection.
        let _ = write.shutdown().await;
    };
    tokio::join!(reader, writer);
}

/// Socket and destination address with which a datagram is sent on.
#[derive(Clone)]
struct Route {
    socket: Arc<UdpSocket>,
    to: SocketAddr,
}

/// A sender of datagrams, with the socket from which its datagrams are sent to the target.
struct Sender {
    address: SocketAddr,
    socket: Arc<UdpSocket>,
}

/// Forwards datagrams to the target, with one socket per sender so that answers reach the right sender.
async fn relay_datagrams(socket: UdpSocket, target: SocketAddr, state: Arc<State>) {
    let socket = Arc::new(socket);
    let mut tasks = JoinSet::new();
    // In ascending order of address.
    let mut senders: Vec<Sender> = Vec::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            retry_delay().await;
            continue;
        };
        let at = match senders.binary_search_by_key(&from, |sender| sender.address) {
            Ok(at) => at,
            Err(at) => {
                let Ok(own) = sender_socket(target).await else {
                    continue;
                };
                let own = Arc::new(own);
                let route = Route {
                    socket: Arc::clone(&socket),
                    to: from,
                };
                tasks.spawn(return_datagrams(
                    Arc::clone(&own),
                    route,
                    Arc::clone(&state),
                ));
                let sender = Sender {
                    address: from,
                    socket: own,
                };
                senders.insert(at, sender);
                at
            }
        };
        let route = Route {
            socket: Arc::clone(&senders[at].socket),
            to: target,
        };
        forward_datagram(&mut tasks, &state, route, &buffer[..length]);
    }
}

/// Opens the socket from which the datagrams of one sender are sent to `target`.
async fn sender_socket(target: SocketAddr) -> io::Result<UdpSocket> {
    let unspecified: SocketAddr = match target {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0; 16], 0).into(),
    };
    UdpSocket::bind(unspecified).await
}

/// Forwards the datagrams that the target sends to the socket `own` back to the sender for which it was opened.
async fn return_datagrams(own: Arc<UdpSocket>, route: Route, state: Arc<State>) {
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        while tasks.try_join_next().is_some() {}
        match own.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                forward_datagram(&mut tasks, &state, route.clone(), &buffer[..length])
            }
            Err(_) => retry_delay().await,
        }
    }
}

/// Sends a datagram on after the delay, unless the relay is cut when it arrives or when it is due.
fn forward_datagram(tasks: &mut JoinSet<()>, state: &Arc<State>, route: Route, data: &[u8]) {
    let link = *state.borrow();
    if link.cut {
        state.send_modify(|link| link.dropped_datagrams += 1);
        return;
    }
    let due = Instant::now() + link.delay;
    let (state, data) = (Arc::clone(state), data.to_vec());
    tasks.spawn(async move {
        wait_until(due).await;
        if state.borrow().cut {
            state.send_modify(|link| link.dropped_datagrams += 1);
            return;
        }
        // A datagram that cannot be sent is lost, as on a real network.
        let _ = route.socket.send_to(&data, route.to).await;
    });
}

async fn accept_control(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_control(stream, Arc::clone(&state)));
            }
            Err(_) => retry_delay().await,
        }
    }
}

/// Executes the commands on a control connection.
async fn serve_control(stream: TcpStream, state: Arc<State>) {
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let answer = match execute_command(&line, &state) {
            Ok(()) => "ok\n".to_owned(),
            Err(message) => format!("error {message}\n"),
        };
        if write.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn execute_command(line: &str, state: &State) -> Result<(), String> {
    let mut words = line.split_ascii_whitespace();
    match (words.next(), words.next()) {
        (Some("cut"), None) => state.send_modify(|link| link.cut = true),
        (Some("heal"), None) => state.send_modify(|link| link.cut = false),
        (Some("reset"), None) => state.send_modify(|link| link.resets += 1),
        (Some("delay"), Some(ms)) => {
            let ms: f64 = ms
                .parse()
                .map_err(|_| format!("{ms:?} is not a number of ms"))?;
            state.send_modify(|link| link.delay = duration_from_ms(ms));
        }
        _ => {
            return Err(format!(
                "unknown command {line:?}; known: cut, heal, reset, delay MS"
            ));
        }
    }
    Ok(())
}
