//! Tests that the memory of the log is bounded and that all counters are listed.

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use primrose_observe::log::{Buffer, MAX_BUFFERED_BYTES, logger, open_output};
use primrose_observe::meter::Meter;
use slog::info;

// A burst of lines while the log is not read must neither block nor use unbounded memory.
#[test]
fn lines_beyond_the_buffer_are_dropped_and_counted() {
    let buffer = Buffer::default();
    let log = logger(&buffer, "entry-1");
    for request in 0..20_000 {
        info!(log, "request ended"; "id" => request, "outcome" => "served");
    }
    let bytes = buffer.take();
    assert!(
        bytes.len() <= MAX_BUFFERED_BYTES + 200,
        "{} bytes are buffered",
        bytes.len()
    );
    let text = String::from_utf8(bytes).expect("the log is UTF-8");
    assert!(text.starts_with('{') && text.contains("entry-1"));
    let last = text.lines().last().expect("the log has lines");
    assert!(last.contains("log lines dropped"), "{last}");
    assert!(buffer.take().is_empty());
}

/// An output whose reader takes nothing until the other end of `blocked` is dropped. Passes on what is written.
struct Output {
    blocked: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.blocked.recv();
        let _ = self.written.send(bytes.to_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// A process whose log is not read must not wait for it beyond the end that it was given, which is the end of its grace
// period.
#[test]
fn flush_ends_in_time_if_the_log_is_not_read() {
    let (blocker, blocked) = mpsc::channel();
    let (written, _reader) = mpsc::channel();
    let opened = open_output("entry-1", Output { blocked, written });
    let (log, handle) = opened.expect("the thread can be started");
    info!(log, "stopped");
    let start = Instant::now();
    handle.flush(start + Duration::from_millis(60));
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(60), "{elapsed:?}");
    // Without the given end, the flush takes 300 ms.
    assert!(elapsed < Duration::from_millis(250), "{elapsed:?}");
    drop(blocker);
}

// The time until the given end may be shorter than the interval between writes. The last lines must be written nevertheless.
#[test]
fn flush_does_not_wait_for_the_next_write() {
    let is_written = || {
        let (blocker, blocked) = mpsc::channel();
        drop(blocker);
        let (written, reader) = mpsc::channel();
        let opened = open_output("entry-1", Output { blocked, written });
        let (log, handle) = opened.expect("the thread can be started");
        // The thread has found nothing to write and pauses for 200 ms.
        thread::sleep(Duration::from_millis(30));
        info!(log, "stopped");
        handle.flush(Instant::now() + Duration::from_millis(130));
        let text = reader.try_recv().unwrap_or_default();
        String::from_utf8(text).is_ok_and(|text| text.contains("stopped"))
    };
    // On a busy machine the thread may not run within the 130 ms.
    assert!((0..5).any(|_| is_written()), "the line is never written");
}

// A counter that is still 0 must be listed, or its absence looks like a misspelt name.
#[test]
fn declared_names_are_listed() {
    let meter = Meter::new(&["served", "overload"], &["first_event"]);
    meter.count("served");
    meter.record("first_event", 120);
    let text = meter.text();
    assert!(text.contains("primrose_overload 0\n"), "{text}");
    assert!(text.contains("primrose_served 1\n"), "{text}");
    assert!(text.contains("primrose_first_event_ms_count 1\n"), "{text}");
}
