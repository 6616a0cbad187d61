//! Tests of the names of hop-by-hop headers.

use primrose_wire::hop;
use test_case::test_case;

// A header that is named beside something unusual must not be forwarded.
#[test_case(&[b"x-hop"] ; "alone")]
#[test_case(&[b"close,x-hop\t, keep-alive"] ; "in a list")]
#[test_case(&[b"close", b"x-hop"] ; "in a second header")]
#[test_case(&[b" , x-hop,"] ; "beside empty elements")]
#[test_case(&[b"\xff, x-hop"] ; "beside an element that is not ascii")]
fn named_headers_are_found(connection: &[&[u8]]) {
    let names: Vec<&str> = hop::names(connection.iter().copied()).collect();
    assert!(names.contains(&"x-hop"), "{names:?}");
    assert!(names.contains(&"transfer-encoding"), "{names:?}");
    assert!(!names.contains(&"x-kept"), "{names:?}");
}
