//! The log: one JSON object per line. Logging never blocks.
//!
//! Lines are collected in a bounded buffer, which a thread writes to standard output several times a second. A
//! request therefore waits neither for a system call nor for a slow reader of the log. Lines that do not fit into the
//! buffer are dropped, and their number is logged.

use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use slog::{Drain, Logger, o};

/// The most bytes that are buffered: several seconds of log lines of an entry host during a burst.
pub const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// Interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// The longest time that [`Handle::flush`] waits for the reader of the log.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The lines that are not written yet. Clones share the same buffer.
#[derive(Clone, Default)]
pub struct Buffer {
    lines: Arc<Mutex<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
    is_writing: Arc<AtomicBool>,
}

impl Buffer {
    /// Takes all lines out of the buffer, followed by a line with the number of dropped lines if there are any.
    pub fn take(&self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut *self.lock());
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!(
                "{{\"msg\":\"log lines dropped\",\"level\":\"WARN\",\"lines\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    fn push(&self, line: &[u8]) {
        let mut lines = self.lock();
        if lines.len() + line.len() > MAX_BUFFERED_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            lines.extend_from_slice(line);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Collects the bytes of one line and adds the complete line to the buffer.
struct LineWriter {
    buffer: Buffer,
    bytes: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        if self.bytes.ends_with(b"\n") {
            self.buffer.push(&self.bytes);
            self.bytes.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Creates a logger that writes to `buffer`. `host` names the process in each line.
pub fn logger(buffer: &Buffer, host: &str) -> Logger {
    let writer = LineWriter {
        buffer: buffer.clone(),
        bytes: Vec::new(),
    };
    let drain = slog_json::Json::new(writer).add_default_keys().build();
    // Writing to memory cannot fail.
    let drain = Mutex::new(drain).map(slog::Fuse);
    Logger::root(drain, o!("host" => host.to_owned()))
}

/// A handle to the thread that writes the log.
pub struct Handle {
    buffer: Buffer,
    writer: Thread,
}

impl Handle {
    /// Waits until all lines so far are written. To be called before the process ends. Gives up after a short timeout
    /// if the log is not read, and at `latest` in any case.
    pub fn flush(&self, latest: Instant) {
        let end = latest.min(Instant::now() + FLUSH_TIMEOUT);
        // The pause between two writes may be longer than the time until `latest`.
        self.writer.unpark();
        let is_done =
            || self.buffer.lock().is_empty() && !self.buffer.is_writing.load(Ordering::Acquire);
        while !is_done() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Creates a logger and starts the thread that writes its lines to standard output. `host` names the process in each
/// line.
///
/// # Errors
///
/// Returns an error if the thread that writes the log cannot be started.
pub fn open(host: &str) -> io::Result<(Logger, Handle)> {
    open_output(host, io::stdout())
}

/// Does the same as [`open`] with another output.
///
/// # Errors
///
/// Returns an error if the thread that writes the log cannot be started.
pub fn open_output<W: Write + Send + 'static>(
    host: &str,
    output: W,
) -> io::Result<(Logger, Handle)> {
    let buffer = Buffer::default();
    let log = logger(&buffer, host);
    let source = buffer.clone();
    let thread = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&source, output))?;
    let writer = thread.thread().clone();
    Ok((log, Handle { buffer, writer }))
}

fn write<W: Write>(buffer: &Buffer, mut output: W) {
    loop {
        buffer.is_writing.store(true, Ordering::Release);
        let bytes = buffer.take();
        if !bytes.is_empty() {
            // If the output is closed, there is nowhere to report the error.
            let _ = output.write_all(&bytes).and_then(|()| output.flush());
        }
        buffer.is_writing.store(false, Ordering::Release);
        thread::park_timeout(WRITE_INTERVAL);
    }
}
