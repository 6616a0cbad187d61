//! The bytes that wait for callers that read slowly.
//!
//! Load pattern: several hundred callers read at 1 KB/s. What they have not read waits in the buffers of hyper, of the
//! answers and of the kernel, and all of it counts toward the memory of this host, which is killed if it exceeds its
//! limit. While [`crate::pressure`] is on, the sum is bounded, and the slowest readers are disconnected first.
//!
//! [`Readers`] decides, without input or output; [`Register`] measures the connections and disconnects.

use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use primrose_base::clock::Time;
use rustix::ioctl::{Getter, ioctl};
use rustix::net::{Shutdown, shutdown};
use slog::{Logger, info};
use socket2::SockRef;

use crate::overload::Detector;

/// Size of the kernel's buffers for the data of one connection while the part is on, in bytes. The kernel would let them
/// grow to several MiB for each slow reader. This is enough for 16 MB/s at a round trip of 4 ms.
pub(crate) const SOCKET_BYTES: usize = 64 << 10;

/// The most bytes that wait behind a forwarded answer whose caller does not read: in the channel, in hyper's buffer for
/// the server and in the kernel's buffer for the server.
const BEHIND_BYTES: u64 = (64 + 32 + 64) << 10;

/// Interval at which connections are measured.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time over which the speed of a reader is measured, in ms.
const WINDOW_MS: u64 = 1_000;

/// Speed that a reader is taken to have before it was measured, in bytes per second. Readers that are known to be slower
/// are disconnected before, those that are known to be faster after it.
const ASSUMED_SPEED: u64 = 16 << 10;

/// `SIOCOUTQ`: the bytes in the send queue of a socket that the peer has not acknowledged.
const SEND_QUEUE: u32 = 0x5411;

/// What waits for one reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Identifies the connection.
    pub id: u64,
    /// Bytes that wait for the reader.
    pub waiting: u64,
    /// Bytes that the reader has taken since it connected.
    pub taken: u64,
}

/// A reader for which bytes wait.
#[derive(Clone, Debug)]
struct Reader {
    id: u64,
    /// Start of the window, and the bytes taken until then.
    window: (Time, u64),
    /// Bytes per second in the latest complete window, `None` before the first one.
    speed: Option<u64>,
}

/// Decides which readers are disconnected.
#[derive(Clone, Debug)]
pub struct Readers {
    /// The most bytes that may wait for all readers together.
    limit: u64,
    /// Sorted by id; only readers for which bytes waited in the latest sweep.
    readers: Vec<Reader>,
}

impl Readers {
    /// Creates the state for a limit in bytes.
    pub fn new(limit: u64) -> Readers {
        Readers {
            limit,
            readers: Vec::new(),
        }
    }

    /// Takes the samples of all connections, sorted by id, and returns the ids of those to disconnect, slowest first, so
    /// that the rest is within the limit. Of equally slow readers, the one with the most bytes waiting comes first.
    pub fn sweep(&mut self, now: Time, samples: &[Sample]) -> Vec<u64> {
        let mut readers = Vec::new();
        for sample in samples.iter().filter(|sample| sample.waiting > 0) {
            let known = self.readers.binary_search_by_key(&sample.id, |r| r.id);
            let mut reader = known.map_or_else(
                |_| Reader {
                    id: sample.id,
                    window: (now, sample.taken),
                    speed: None,
                },
                |at| self.readers[at].clone(),
            );
            let (start, taken) = reader.window;
            let elapsed = now.since(start);
            if elapsed >= WINDOW_MS {
                reader.speed = Some(sample.taken.saturating_sub(taken) * 1_000 / elapsed);
                reader.window = (now, sample.taken);
            }
            readers.push(reader);
        }
        self.readers = readers;
        let mut total: u64 = samples.iter().map(|sample| sample.waiting).sum();
        if total <= self.limit {
            return Vec::new();
        }
        let waiting = samples.iter().filter(|sample| sample.waiting > 0);
        let mut order: Vec<(&Reader, u64)> = self
            .readers
            .iter()
            .zip(waiting.map(|sample| sample.waiting))
            .collect();
        order.sort_by_key(|(reader, waiting)| {
            (reader.speed.unwrap_or(ASSUMED_SPEED), u64::MAX - waiting)
        });
        let mut cut = Vec::new();
        // Readers with less than their even part of the limit are not disconnected: they are callers of streams that read
        // everything, and disconnecting them frees little. The rest is within the limit without the others.
        let count = order.len() as u64;
        order.retain(|(_, waiting)| waiting.saturating_mul(count) > self.limit);
        for (reader, waiting) in order {
            if total <= self.limit {
                break;
            }
            total -= waiting;
            cut.push(reader.id);
        }
        cut
    }
}

/// The bytes of one connection on their way to the caller. Clones of the `Arc` share it.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    /// Bytes that the kernel has taken.
    written: AtomicU64,
    /// `written` when the current request arrived.
    written_before: AtomicU64,
    /// Bytes of the body of the current answer that hyper has taken.
    pulled: AtomicU64,
    /// Whether the current answer is forwarded as it arrives and has not ended.
    is_forwarding: AtomicBool,
    is_cut: AtomicBool,
    /// The socket. Invariant: `None` before the socket is closed.
    socket: Mutex<Option<RawFd>>,
}

impl Flow {
    pub(crate) fn set_socket(&self, socket: Option<RawFd>) {
        *lock(&self.socket) = socket;
    }

    pub(crate) fn record_request(&self) {
        let written = self.written.load(Ordering::Relaxed);
        self.written_before.store(written, Ordering::Relaxed);
        self.pulled.store(0, Ordering::Relaxed);
    }

    pub(crate) fn set_forwarding(&self, is_forwarding: bool) {
        self.is_forwarding.store(is_forwarding, Ordering::Relaxed);
    }

    pub(crate) fn record_pulled(&self, bytes: usize) {
        self.pulled.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Whether the connection was closed because its caller read too slowly.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    /// What waits for the caller; `None` after the connection was closed.
    fn sample(&self, id: u64) -> Option<Sample> {
        let socket = lock(&self.socket);
        let fd = (*socket)?;
        let written = self.written.load(Ordering::Relaxed);
        // SAFETY: The descriptor is open, because its owner clears the field before it closes it and the field is locked.
        let fd = unsafe { BorrowedFd::borrow_raw(fd) };
        let queued = if written == 0 { 0 } else { send_queue(fd) };
        let of_answer = written - self.written_before.load(Ordering::Relaxed).min(written);
        let buffered = self
            .pulled
            .load(Ordering::Relaxed)
            .saturating_sub(of_answer);
        let is_blocked = buffered > 0 && self.is_forwarding.load(Ordering::Relaxed);
        Some(Sample {
            id,
            waiting: queued + buffered + if is_blocked { BEHIND_BYTES } else { 0 },
            taken: written.saturating_sub(queued),
        })
    }

    /// Ends the connection and discards what waits for the caller.
    fn cut(&self) {
        let socket = lock(&self.socket);
        let Some(fd) = *socket else {
            return;
        };
        // SAFETY: As in `sample`.
        let fd = unsafe { BorrowedFd::borrow_raw(fd) };
        self.is_cut.store(true, Ordering::Relaxed);
        // An error means that the connection has ended already.
        let _ = SockRef::from(&fd).set_linger(Some(Duration::ZERO));
        let _ = shutdown(fd, Shutdown::Both);
    }
}

/// Bytes in the send queue of a socket; 0 if it cannot be determined.
fn send_queue(socket: BorrowedFd<'_>) -> u64 {
    // SAFETY: The call writes an `int` and nothing else.
    let queued = unsafe { ioctl(socket, Getter::<SEND_QUEUE, i32>::new()) };
    queued.map_or(0, |bytes| u64::try_from(bytes).unwrap_or(0))
}

/// Bounds the kernel's buffers of a socket.
pub(crate) fn bound_buffers(socket: &impl AsFd) {
    let socket = SockRef::from(socket);
    // Without the bound the socket works too, and an error means that the connection has ended.
    let _ = socket.set_send_buffer_size(SOCKET_BYTES);
    let _ = socket.set_recv_buffer_size(SOCKET_BYTES);
}

/// An open connection.
#[derive(Debug)]
struct Open {
    id: u64,
    flow: Arc<Flow>,
}

/// The open connections of a listener, of which the slowest readers are disconnected if too much waits for them. Clones
/// share it.
#[derive(Clone, Debug)]
pub struct Register {
    /// Sorted by id. Closed connections are removed at the next measurement.
    open: Arc<Mutex<Vec<Open>>>,
    overload: Detector,
}

impl Register {
    /// Starts the task that measures the connections. At most `limit` bytes wait for all readers while the part is on,
    /// beyond what arrives between two measurements.
    pub fn spawn(limit: u64, overload: Detector, log: &Logger) -> Register {
        let register = Register {
            open: Arc::default(),
            overload,
        };
        let (swept, log) = (register.clone(), log.clone());
        tokio::spawn(async move {
            let mut readers = Readers::new(limit);
            loop {
                tokio::time::sleep(INTERVAL).await;
                swept.sweep(&mut readers, &log);
            }
        });
        register
    }

    fn sweep(&self, readers: &mut Readers, log: &Logger) {
        let mut open = lock(&self.open);
        let is_on = self.is_on();
        let mut samples = Vec::new();
        open.retain(|Open { id, flow }| {
            if !is_on {
                return lock(&flow.socket).is_some();
            }
            let sample = flow.sample(*id);
            samples.extend(sample);
            sample.is_some()
        });
        let cut = readers.sweep(Time::now(), &samples);
        for id in &cut {
            if let Ok(at) = open.binary_search_by_key(id, |open| open.id) {
                open[at].flow.cut();
            }
        }
        if !cut.is_empty() {
            let waiting: u64 = samples.iter().map(|sample| sample.waiting).sum();
            info!(log, "slowest readers disconnected"; "connections" => cut.len(), "waiting_bytes" => waiting,
                "limit_bytes" => readers.limit);
        }
    }

    /// Whether the part is on.
    pub(crate) fn is_on(&self) -> bool {
        self.overload.thresholds().is_some()
    }

    /// Adds a connection that was just opened.
    pub(crate) fn add(&self, socket: &impl AsRawFd, flow: &Arc<Flow>) {
        flow.set_socket(Some(socket.as_raw_fd()));
        let mut open = lock(&self.open);
        let id = open.last().map_or(0, |open| open.id + 1);
        let flow = Arc::clone(flow);
        open.push(Open { id, flow });
    }
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    // Nothing can panic between two changes, so the value is valid even after a panic.
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
