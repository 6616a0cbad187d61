//! Tests of how the listener ends connections whose caller still sends, or does not read.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use primrose_entry::body::Body;
use primrose_entry::idle::Timeouts;
use primrose_entry::listener::{self, Limits, Phase};
use primrose_entry::overload::Detector;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Length of the answers. It fits into the send buffer of the kernel only in part.
const ANSWER_BYTES: usize = 8 << 20;

const IDLE_MS: u64 = 300;

/// An idle limit that is longer than a caller of these tests takes to read an answer.
const LONG_IDLE_MS: u64 = 5_000;

async fn open(phase: Phase, idle_ms: u64) -> (listener::Handle, watch::Sender<Phase>) {
    let limits = Limits {
        timeouts: Arc::new(move || Timeouts {
            idle_ms,
            head_ms: idle_ms,
        }),
        max_connections: 100,
        overload: Detector::default(),
        closings: None,
        readers: None,
    };
    let (sender, phases) = watch::channel(phase);
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let handle = listener::bind(address, limits, phases, |_| async {
        Response::new(Body::full(vec![b'x'; ANSWER_BYTES]))
    });
    (handle.await.expect("the address can be bound"), sender)
}

/// Reads until the connection ends. Returns the bytes and the error that ended it, if any.
async fn read_all(stream: &mut TcpStream, pause: Duration) -> (Vec<u8>, Option<std::io::Error>) {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return (bytes, None),
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) => return (bytes, Some(error)),
        }
        tokio::time::sleep(pause).await;
    }
}

// An answer that announces the end of its connection must arrive whole, although the caller has already sent a part of
// its next request: closing the socket with unread bytes resets the connection.
#[tokio::test]
async fn last_answer_is_whole_if_the_next_request_has_begun() {
    let (handle, _phase) = open(Phase::Leaving, LONG_IDLE_MS).await;
    let mut stream = TcpStream::connect(handle.address).await.expect("accepted");
    let first = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(first.as_bytes()).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let second = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n";
    stream.write_all(second.as_bytes()).await.expect("sent");
    // The connection may have been closed by now.
    let _ = stream.write_all(&vec![b'y'; 100_000]).await;
    let (bytes, error) = read_all(&mut stream, Duration::from_millis(2)).await;
    assert!(
        bytes.len() > ANSWER_BYTES,
        "{} of more than {ANSWER_BYTES} bytes arrived: {error:?}",
        bytes.len()
    );
}

// A refusal of a head that is too large must reach a caller that still sends it.
#[tokio::test]
async fn refusal_of_a_large_head_reaches_the_caller() {
    let (handle, _phase) = open(Phase::Serving, IDLE_MS).await;
    let mut lost = Vec::new();
    for _ in 0..8 {
        let stream = TcpStream::connect(handle.address).await.expect("accepted");
        let (mut reader, mut writer) = stream.into_split();
        let sending = tokio::spawn(async move {
            let start = "GET / HTTP/1.1\r\nHost: a\r\n";
            writer.write_all(start.as_bytes()).await?;
            for _ in 0..100 {
                let line = format!("a: {}\r\n", "b".repeat(8 << 10));
                writer.write_all(line.as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            writer.write_all(b"\r\n").await?;
            Ok::<_, std::io::Error>(writer)
        });
        // A caller that reads the answer only once its request is sent or refused by the socket.
        let sent = sending.await.expect("no panic");
        let mut bytes = Vec::new();
        let read = reader.read_to_end(&mut bytes).await;
        if !bytes.starts_with(b"HTTP/1.1 431") || sent.is_err() || read.is_err() {
            lost.push((sent.err(), read.err(), bytes.len()));
        }
    }
    assert!(lost.is_empty(), "{} of 8 were lost: {lost:?}", lost.len());
}

// A caller that does not read the rest of its answer must not hold a connection and the answer's memory for ever.
#[tokio::test]
async fn connection_of_a_caller_that_does_not_read_is_closed() {
    let (handle, _phase) = open(Phase::Serving, IDLE_MS).await;
    let mut stream = TcpStream::connect(handle.address).await.expect("accepted");
    let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(20 * IDLE_MS)).await;
    assert_eq!(handle.connections(), 0, "the connection is still open");
}
