//! The boundaries of events in streams from servers, which may send any bytes in pieces of any length.

use primrose_entry::event::Splitter;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

/// Uses a fixed seed. `PRIMROSE_CASES` sets the number of cases (default 256).
fn config() -> ProptestConfig {
    let cases = std::env::var("PRIMROSE_CASES").map_or(256, |text| text.parse().expect("a number"));
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Number of bytes up to the end of the last empty line.
fn complete_bytes(stream: &[u8]) -> usize {
    let is_end = |end: &usize| {
        let bytes = &stream[..*end];
        bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
    };
    (0..=stream.len()).rev().find(is_end).unwrap_or(0)
}

fn chunk() -> impl Strategy<Value = Vec<u8>> {
    let text = prop::sample::select(vec![
        "id: 7\n",
        "id:",
        "id",
        "data: x",
        "\n",
        "\n\n",
        "\r",
        "\r\n",
        "\r\n\r\n",
        ":",
        " ",
        "\u{feff}",
        "id: 9\r\n\r\n",
    ]);
    prop_oneof![
        4 => text.prop_map(|text| text.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..30),
    ]
}

proptest! {
    #![proptest_config(config())]

    // However a stream is cut into pieces, the same events come out of it, and no byte is lost or comes twice.
    #[test]
    fn pieces_of_a_stream_do_not_matter(chunks in prop::collection::vec(chunk(), 0..40)) {
        let stream = chunks.concat();
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for chunk in &chunks {
            events.extend_from_slice(&splitter.push(chunk));
        }
        // Empty lines that follow an event in later pieces are returned with the next event.
        prop_assert!(stream.starts_with(&events));
        let late = &stream[events.len()..complete_bytes(&stream)];
        prop_assert!(late.iter().all(|byte| b"\r\n".contains(byte)), "{:?} is late", late);
        prop_assert_eq!(splitter.has_partial_event(), events.len() < stream.len());
        let mut whole = Splitter::default();
        whole.push(&stream);
        prop_assert_eq!(whole.last_id(), splitter.last_id());
        events.extend_from_slice(&splitter.end(true).expect("the announced end is the end"));
        prop_assert_eq!(events, stream);
    }
}

// A server may send an event byte by byte. With a search from the start after each byte, an event of the size limit
// takes a processor core for minutes.
#[test]
fn long_event_in_single_bytes_takes_linear_time() {
    let mut splitter = Splitter::default();
    let mut length = 0;
    while splitter.fault().is_none() {
        assert!(splitter.push(b"x").is_empty());
        length += 1;
        assert!(
            length <= 1 << 20,
            "an event of {length} bytes is not too large"
        );
    }
    let end = splitter.push(b"\n\n");
    assert_eq!(end.len(), length + 2);
}

// A stream goes on at the last id on another server. Without an id that can be sent there, it would start again, and the
// caller would receive events twice.
#[test_case(b"data: x\n\n", None, false; "no id")]
#[test_case(b": comment\n\n", None, true; "only a comment")]
#[test_case(b"", None, true; "nothing")]
#[test_case(b"id: 7\ndata: x\n\n", Some("7"), true; "id")]
#[test_case(b"id: 7\r\ndata: x\r\n\r\n", Some("7"), true; "id with a carriage return")]
#[test_case(b"id: 7\n\nid: \xff\xfe\n\n", Some("7"), false; "newest id is not UTF-8")]
#[test_case(b"id: 7\n\nid: \xc3\xa9\n\n", Some("7"), false; "newest id is not ASCII")]
#[test_case(b"id: 7\n\nid: a\0b\n\n", Some("7"), false; "control character")]
#[test_case(b"id: 7\n\nid:\n\n", Some("7"), false; "empty id")]
#[test_case(b"id: \xff\n\nid: 8\n\n", Some("8"), true; "readable id after an unreadable one")]
fn stream_goes_on_only_at_a_known_event(stream: &[u8], id: Option<&str>, is_resumable: bool) {
    let mut splitter = Splitter::default();
    for byte in stream {
        splitter.push(&[*byte]);
    }
    assert_eq!(
        (splitter.last_id(), splitter.is_resumable()),
        (id, is_resumable)
    );
}

// An id is sent in a header, which has a limited length.
#[test]
fn id_that_is_too_long_for_a_header_is_not_used() {
    let mut splitter = Splitter::default();
    splitter.push(format!("id: {}\n\n", "7".repeat(100_000)).as_bytes());
    assert!(!splitter.is_resumable());
}

// The next server's part of a stream must not end before the event that the server before has begun, or leave it out.
#[test_case("id: 1\ndata: x\n\n", "", true; "between two events")]
#[test_case("id: 1\ndata: x\n\n: y", "", true; "in a comment")]
#[test_case("id: 1\ndata: x\n\nid: 2\nda", "", false; "in an event")]
#[test_case("id: 1\ndata: x\n\nid: 2\nda", ": y\n\n", false; "in an event before a comment")]
#[test_case("id: 1\ndata: x\n\nid: 2\nda", "id: 2\ndata: x\n\n", true; "in an event that comes")]
#[test_case("id: 1\ndata: x\n\nid: 2\nda", "id: 2\ndata: x", true; "in an event that comes without an empty line")]
#[test_case("id: 1\ndata: x\n\nid: 2\nda", "id: 3\ndata: x\n\n", false; "in an event that is left out")]
#[test_case("id: 1\ndata: x\n\nid: 4\nda", "id: 5\ndata: x\n\n", true; "in an event of a stream with gaps")]
#[test_case("id: a\ndata: x\n\nid: b\nda", "id: b\ndata: x\n\n", true; "in an event whose id is no number")]
#[test_case("id: 1\ndata: x\n\nid: 2", "id: 3\ndata: x\n\n", true; "in an id")]
#[test_case("da", "", false; "in the first event")]
fn next_part_does_not_end_before_an_event_that_has_begun(first: &str, next: &str, is_whole: bool) {
    let mut splitter = Splitter::default();
    splitter.push(first.as_bytes());
    // A server in between that sends no event changes nothing.
    let mut between = splitter.resumed();
    between.push(b": z\n\n");
    for mut resumed in [splitter.resumed(), between.resumed()] {
        resumed.push(next.as_bytes());
        let end = match resumed.fault() {
            Some(fault) => Err(fault),
            None => resumed.end(true).map(|_| ()),
        };
        assert_eq!(end.is_ok(), is_whole, "{end:?}");
    }
}
