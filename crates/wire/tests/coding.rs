//! Tests of how the body of an answer ends.

use primrose_wire::coding::is_chunked;
use test_case::test_case;

// Guards against a body that ends with its connection and is taken to announce its end: an answer that is cut off would
// look complete.
#[test_case("chunked", true)]
#[test_case(" gzip , Chunked ", true ; "last of two")]
#[test_case("chunked, gzip", false ; "chunked is not the last")]
#[test_case("gzip", false)]
#[test_case("chunked,", false ; "empty last coding")]
#[test_case("xchunked", false ; "another coding")]
#[test_case("", false ; "empty")]
fn chunked_as_the_last_coding_announces_the_end(codings: &str, expected: bool) {
    assert_eq!(is_chunked(codings.as_bytes()), expected);
}
