//! Tests of where a stream of events may end.

use primrose_wire::event::Tracker;
use test_case::test_case;

// A stream that its server broke off must not be taken for a whole one, in whatever pieces it arrives. A whole stream must
// not be taken for a broken one.
#[test_case("", Some("before the first event"); "nothing")]
#[test_case("\n\r\n", Some("before the first event"); "empty lines")]
#[test_case(": x\n\n", Some("before the first event"); "comment")]
#[test_case("retry: 7\n\n", Some("before the first event"); "reconnection time")]
#[test_case("event: x\n\n", Some("before the first event"); "event without id and data")]
#[test_case("database: x\n\n", Some("before the first event"); "another field")]
#[test_case("data: x\n\n", None; "event")]
#[test_case("data\r\n\r\n", None; "event without a value")]
#[test_case("id: 7\n\n", None; "id")]
#[test_case("data: x\n\n\n\r\n: y\nretry: 7\n", None; "lines of no event after an event")]
#[test_case("\u{feff}data: x\n\n", None; "event after a byte order mark")]
#[test_case("\u{feff}: x\n\n", Some("before the first event"); "comment after a byte order mark")]
#[test_case("version: 2\ndata: x\n\n", None; "event that begins with another field")]
#[test_case("data: x\n", Some("middle of an event"); "no empty line")]
#[test_case("data: x\n\r", Some("middle of an event"); "half of an empty line")]
#[test_case("data: x", Some("middle of an event"); "no end of the line")]
#[test_case("data: x\n\nd", Some("middle of an event"); "start of a name")]
#[test_case("data: x\n\nversion: 2\n", Some("middle of an event"); "first line of an event")]
#[test_case("data: x\n\nre", Some("middle of a line"); "start of a reconnection time")]
#[test_case("data: x\n\nretry: 7", Some("middle of a line"); "reconnection time without its end")]
#[test_case("data: x\n\nretried", Some("middle of an event"); "name that begins like a reconnection time")]
#[test_case("data: x\n\n: y", Some("middle of a line"); "comment without its end")]
#[test_case("data: x\n\n\r", Some("middle of a line"); "carriage return")]
fn stream_may_end_only_after_an_event(stream: &str, reason: Option<&str>) {
    for length in 1..=stream.len().max(1) {
        let mut tracker = Tracker::default();
        for piece in stream.as_bytes().chunks(length) {
            tracker.push(piece);
        }
        let seen = tracker.check_end();
        let is_expected = match reason {
            Some(reason) => seen.is_err_and(|seen| seen.ends_with(reason)),
            None => seen.is_ok(),
        };
        assert!(is_expected, "pieces of {length} bytes: {seen:?}");
    }
}
