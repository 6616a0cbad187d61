//! Hop-by-hop headers of HTTP, which apply to one connection only and are not forwarded.

/// Headers that are always hop-by-hop (RFC 9110, section 7.6.1), and `Proxy-Authenticate` and `Proxy-Authorization`, which
/// are for the next proxy.
const FIXED: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the names of the hop-by-hop headers of a message, in any case: the fixed ones and those that its `Connection`
/// headers name. `connection` has the values of these headers. The message need not have a header of each name, and a
/// name may be invalid or occur several times.
pub fn names<'a>(connection: impl Iterator<Item = &'a [u8]>) -> impl Iterator<Item = &'a str> {
    let named = connection
        .flat_map(|value| value.split(|&byte| byte == b','))
        .filter_map(|name| str::from_utf8(name.trim_ascii()).ok());
    FIXED.into_iter().chain(named)
}
