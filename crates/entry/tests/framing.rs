//! Tests of finding the requests in the bytes of a connection.

use primrose_entry::framing::Tracker;
use test_case::test_case;

const GET: &str = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const POST: &str =
    "POST /a HTTP/1.1\r\nHost: a\r\nCONTENT-LENGTH:  12 \r\nX: y: z\r\n\r\nGET / HTTP\r\n";
const CHUNKED: &str =
    "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";

// Guards against a connection that is closed with a further request, and one that is kept although there is none,
// wherever the bytes are divided.
#[test_case(&[GET], 1 ; "no body")]
#[test_case(&[POST], 1 ; "body")]
#[test_case(&[GET, GET, POST, GET], 4 ; "further requests")]
#[test_case(&[GET, "P"], 2 ; "first byte of a further request")]
#[test_case(&[GET, "\r\n\n\r\n"], 1 ; "empty lines after a request")]
#[test_case(&["\r\n", GET], 1 ; "empty line before a request")]
#[test_case(&["GET / HTTP/1.1\nHost: a\n\n", GET], 2 ; "line feeds only")]
#[test_case(&[GET, CHUNKED, GET], 2 ; "the end of a chunked body is not known")]
#[test_case(&["POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", GET], 1 ; "the length is no number")]
fn requests_are_counted(parts: &[&str], expected: u64) {
    let bytes = parts.concat().into_bytes();
    for size in 1..=bytes.len() {
        let mut tracker = Tracker::default();
        for part in bytes.chunks(size) {
            tracker.read(part);
        }
        assert_eq!(tracker.begun(), expected, "in parts of {size} bytes");
    }
}

// A caller whose request has arrived whole must not be taken for one that still sends, and the other way round. Of a body
// in chunks, neither is known, and the caller is not taken for one that still sends.
#[test_case(GET, false ; "no body")]
#[test_case(POST, false ; "body")]
#[test_case(&GET[..GET.len() - 1], true ; "part of a head")]
#[test_case(&POST[..POST.len() - 1], true ; "part of a body")]
#[test_case(CHUNKED, false ; "whole body in chunks")]
#[test_case(&CHUNKED[..CHUNKED.len() - 1], false ; "part of a body in chunks")]
#[test_case(&CHUNKED[..CHUNKED.len() - "\n0\r\n\r\n".len()], true ; "part of the head of a body in chunks")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", false ; "the length is no number")]
fn end_of_a_request_is_found(text: &str, is_within: bool) {
    let mut tracker = Tracker::default();
    assert!(!tracker.is_within_request());
    tracker.read(text.as_bytes());
    assert_eq!(tracker.is_within_request(), is_within);
}

// A caller chooses the lengths.
#[test]
fn largest_length_does_not_overflow() {
    let mut tracker = Tracker::default();
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", u64::MAX);
    tracker.read(head.as_bytes());
    tracker.read(GET.as_bytes());
    assert_eq!(tracker.begun(), 1);
}

// A request with many headers must not make the tracker keep them.
#[test]
fn long_line_in_parts_is_no_length() {
    let mut tracker = Tracker::default();
    tracker.read(b"GET / HTTP/1.1\r\nA: ");
    for _ in 0..1_000 {
        tracker.read(b"content-length: 9");
    }
    tracker.read(b"\r\n\r\n");
    tracker.read(GET.as_bytes());
    assert_eq!(tracker.begun(), 2);
}

// The HTTP library takes any number of zeros before a length. A body that is taken for a further request would keep the
// connection of a host that stops.
#[test]
fn body_after_a_long_line_is_no_request() {
    let zeros = "0".repeat(100);
    let request = format!("POST / HTTP/1.1\r\nContent-Length: {zeros}5\r\n\r\nG\r\n\r\n");
    for size in 1..=request.len() {
        let mut tracker = Tracker::default();
        for part in request.as_bytes().chunks(size) {
            tracker.read(part);
        }
        assert_eq!(tracker.begun(), 1, "in parts of {size} bytes");
    }
}
