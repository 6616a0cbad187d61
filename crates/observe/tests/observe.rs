//! Tests that the memory of the log is bounded and that all counters are listed.

use primrose_observe::log::{Buffer, MAX_BUFFERED_BYTES, logger};
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
