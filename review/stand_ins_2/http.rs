//! The small part of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message, and the bytes after it that have been read already.
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub rest: Vec<u8>,
}

impl Head {
    /// The value of a header, whose name is given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| &**value)
    }
}

/// Reads a head. `before` holds bytes that have been read already. `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream, before: Vec<u8>) -> io::Result<Option<Head>> {
    let mut bytes = before;
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let start = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Head {
                start,
                headers,
                rest: bytes.split_off(end + 4),
            }));
        }
        match stream.read(&mut buffer)? {
            0 => return Ok(None),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Reads a body of this length and returns what follows it.
pub fn read_body(
    stream: &mut TcpStream,
    mut rest: Vec<u8>,
    length: usize,
) -> io::Result<(Vec<u8>, Vec<u8>)> {
    let mut buffer = [0; 16 << 10];
    while rest.len() < length {
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => rest.extend_from_slice(&buffer[..count]),
        }
    }
    let after = rest.split_off(length);
    Ok((rest, after))
}

/// An answer to a caller or an operator.
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its length or its last chunk announced.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the whole answer. `None` if there is no whole head in time.
pub fn exchange(address: SocketAddrV4, request: &[u8], limit: Duration) -> Option<Answer> {
    let end = Instant::now() + limit;
    let mut stream =
        TcpStream::connect_timeout(&address.into(), limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    let head = read_head(&mut stream, Vec::new()).ok()??;
    let status = head.start.split(' ').nth(1)?.parse().ok()?;
    let length: Option<usize> = head
        .get("content-length")
        .and_then(|value| value.parse().ok());
    let mut body = head.rest.clone();
    let mut buffer = [0; 16 << 10];
    let is_whole = |body: &[u8]| match length {
        Some(length) => body.len() >= length,
        None => body.ends_with(b"0\r\n\r\n"),
    };
    while !is_whole(&body) {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            break;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => body.extend_from_slice(&buffer[..count]),
        }
    }
    Some(Answer {
        status,
        is_complete: is_whole(&body),
        body,
        head,
    })
}
