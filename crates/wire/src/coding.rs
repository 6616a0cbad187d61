//! How the body of an HTTP answer ends.

/// Whether `codings`, the value of the last `Transfer-Encoding` header, makes the last chunk announce the end of the
/// body. With any other last coding, the body ends with its connection, whatever its length is said to be (RFC 9112,
/// section 6.3).
pub fn is_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|&byte| byte == b',').next();
    last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
