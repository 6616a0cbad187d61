//! Hop-by-hop headers, which apply to one connection only.

use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use primrose_wire::hop;

/// Removes all hop-by-hop headers, including those that the `Connection` header names.
pub(crate) fn remove(headers: &mut HeaderMap) {
    let values = headers.get_all(CONNECTION).iter();
    let names: Vec<HeaderName> = hop::names(values.map(HeaderValue::as_bytes))
        .filter_map(|name| name.parse().ok())
        .collect();
    for name in names {
        headers.remove(name);
    }
}
