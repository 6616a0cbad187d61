//! The log: one JSON object per line, never blocking.
//!
//! Lines collect in a bounded buffer that a thread writes out several times a second, so that a request pays neither for
//! a system call nor for a reader that is slow. Lines beyond the buffer are dropped and their number is logged.

use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use slog::{Drain, Logger, o};

/// The most bytes that wait to be written: several seconds of lines of an entry host under a burst.
pub const MAX_WAITING_BYTES: usize = 512 << 10;

/// Interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// The longest time that [`Handle::flush`] waits for the reader of the log.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Lines that wait to be written.
#[derive(Clone, Default)]
pub struct Buffer {
    waiting: Arc<Mutex<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
    busy: Arc<AtomicBool>,
}

impl Buffer {
    /// Takes what waits, with a line on what was dropped.
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
        let mut waiting = self.lock();
        if waiting.len() + line.len() > MAX_WAITING_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            waiting.extend_from_slice(line);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Collects one line.
struct Line {
    buffer: Buffer,
    bytes: Vec<u8>,
}

impl Write for Line {
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

/// A log that collects its lines in `buffer`. `host` names the process in each line.
pub fn logger(buffer: &Buffer, host: &str) -> Logger {
    let line = Line {
        buffer: buffer.clone(),
        bytes: Vec::new(),
    };
    let drain = slog_json::Json::new(line).add_default_keys().build();
    // Writing to memory does not fail.
    let drain = Mutex::new(drain).map(slog::Fuse);
    Logger::root(drain, o!("host" => host.to_owned()))
}

/// A running log.
pub struct Handle {
    buffer: Buffer,
}

impl Handle {
    /// Waits until the lines so far are written, for the end of the process. Gives up after a short time if nobody reads.
    pub fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let is_done = || self.buffer.lock().is_empty() && !self.buffer.busy.load(Ordering::Acquire);
        while !is_done() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Opens the log on standard output.
///
/// # Errors
///
/// Returns the error if the thread that writes cannot be started.
pub fn open(host: &str) -> io::Result<(Logger, Handle)> {
    let buffer = Buffer::default();
    let log = logger(&buffer, host);
    let source = buffer.clone();
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&source))?;
    Ok((log, Handle { buffer }))
}

fn write(buffer: &Buffer) {
    loop {
        buffer.busy.store(true, Ordering::Release);
        let bytes = buffer.take();
        if !bytes.is_empty() {
            let mut output = io::stdout().lock();
            // A closed standard output leaves nowhere to report to.
            let _ = output.write_all(&bytes).and_then(|()| output.flush());
        }
        buffer.busy.store(false, Ordering::Release);
        thread::sleep(WRITE_INTERVAL);
    }
}
