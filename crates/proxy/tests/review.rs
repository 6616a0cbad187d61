//! Tests of refusals that are sent before the body of a request has been read.

use std::sync::Arc;
use std::time::Duration;

use primrose_proxy::dispatch::Client;
use primrose_proxy::server::{self, Handle, Inputs, Settings};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A listener without a configuration, which refuses every request.
async fn refusing() -> Handle {
    let (dispatch, _events, _claims) = Client::new();
    let (_configuration, configuration) = watch::channel(None);
    let (_draining, draining) = watch::channel(false);
    let inputs = Inputs {
        dispatch,
        configuration,
        draining,
        count: Arc::new(|_| {}),
    };
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let handle = server::bind(address, Settings::default(), inputs).await;
    handle.expect("the address can be bound")
}

// A refusal must reach a caller that still sends the body: closing the socket with unread bytes resets the connection.
#[tokio::test]
async fn refusal_reaches_caller_that_still_sends_the_body() {
    const BODY_BYTES: usize = 2 << 20;
    let handle = refusing().await;
    let mut lost = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(handle.address())
            .await
            .expect("accepted");
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        let mut sent = Ok(());
        for chunk in vec![b'y'; BODY_BYTES].chunks(16 << 10) {
            sent = stream.write_all(chunk).await;
            if sent.is_err() {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        let mut bytes = Vec::new();
        let read = tokio::time::timeout(
            std::time::Duration::from_millis(500),
            stream.read_to_end(&mut bytes),
        )
        .await;
        if !bytes.starts_with(b"HTTP/1.1 503") || sent.is_err() || !matches!(read, Ok(Ok(_))) {
            lost.push((sent.err(), read, bytes.len()));
        }
    }
    assert!(lost.is_empty(), "{} of 8 were lost: {lost:?}", lost.len());
}

// A caller that never stops sending must not hold its connection for ever after the refusal.
#[test_case(64 << 10, Duration::ZERO ; "as fast as the host reads")]
#[test_case(1, Duration::from_millis(20) ; "a byte now and then")]
#[tokio::test]
async fn caller_that_sends_without_end_is_closed(chunk_bytes: usize, pause: Duration) {
    let handle = refusing().await;
    let mut stream = TcpStream::connect(handle.address())
        .await
        .expect("accepted");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
        u64::MAX / 4
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("a refusal");
    assert_eq!(&status, b"HTTP/1.1 503");
    let chunk = vec![b'y'; chunk_bytes];
    let send = async {
        while stream.write_all(&chunk).await.is_ok() {
            tokio::time::sleep(pause).await;
        }
    };
    let sent = tokio::time::timeout(Duration::from_secs(60), send).await;
    assert!(sent.is_ok(), "the connection is still open");
}

// A host that stops must not end before callers that still send have got their refusals.
#[tokio::test]
async fn stop_waits_for_callers_that_still_send() {
    const CHUNKS: usize = 100;
    let handle = refusing().await;
    let mut stream = TcpStream::connect(handle.address())
        .await
        .expect("accepted");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {CHUNKS}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut bytes = vec![0; 12];
    stream.read_exact(&mut bytes).await.expect("a refusal");
    let stop = tokio::spawn(handle.drain());
    for _ in 0..CHUNKS {
        stream.write_all(b"y").await.expect("sent");
        assert!(!stop.is_finished(), "the host has stopped");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    stream
        .read_to_end(&mut bytes)
        .await
        .expect("a whole refusal");
    drop(stream);
    stop.await.expect("the host stops");
}

// A request of whose head a part has arrived when the host begins to stop must be answered, also on a connection that
// has carried a request before: closing it would leave its caller without an answer.
#[test_case(false ; "first request")]
#[test_case(true ; "further request")]
#[tokio::test]
async fn stop_answers_a_request_that_has_arrived_in_part(is_kept: bool) {
    const REQUEST: &str = "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n";
    let handle = refusing().await;
    let mut stream = TcpStream::connect(handle.address())
        .await
        .expect("accepted");
    let mut bytes = vec![0; 4 << 10];
    if is_kept {
        stream.write_all(REQUEST.as_bytes()).await.expect("sent");
        let count = stream.read(&mut bytes).await.expect("an answer");
        assert!(bytes[..count].starts_with(b"HTTP/1.1 503"));
    }
    let (first, rest) = REQUEST.split_at(20);
    stream.write_all(first.as_bytes()).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stop = tokio::spawn(handle.drain());
    tokio::time::sleep(Duration::from_millis(100)).await;
    // The host may have closed the connection; then the read says so.
    let _ = stream.write_all(rest.as_bytes()).await;
    let count = stream.read(&mut bytes).await.unwrap_or(0);
    assert!(bytes[..count].starts_with(b"HTTP/1.1 503"), "no answer");
    drop(stream);
    stop.await.expect("the host stops");
}
