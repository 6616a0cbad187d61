//! Tests of refusals that are sent before the body of a request has been read.

use std::sync::Arc;

use primrose_proxy::dispatch::Client;
use primrose_proxy::server::{self, Inputs, Settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

// A refusal must reach a caller that still sends the body: closing the socket with unread bytes resets the connection.
#[tokio::test]
async fn refusal_reaches_caller_that_still_sends_the_body() {
    const BODY_BYTES: usize = 2 << 20;
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
    let handle = handle.expect("the address can be bound");
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
