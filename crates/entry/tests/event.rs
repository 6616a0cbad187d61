//! The boundaries of events in streams from servers, which may send any bytes in pieces of any length.

use primrose_entry::event::Splitter;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

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
        events.extend_from_slice(&splitter.take_partial());
        prop_assert_eq!(events, stream);
    }
}

// A server may send an event byte by byte. With a search from the start after each byte, an event of the size limit
// takes a processor core for minutes.
#[test]
fn long_event_in_single_bytes_takes_linear_time() {
    let mut splitter = Splitter::default();
    let mut length = 0;
    while !splitter.is_too_large() {
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
