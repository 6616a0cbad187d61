//! Tests of frames, datagrams and the handshake.

use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use primrose_wire::datagram::{self, Error, MAX_DATAGRAM_BYTES};
use primrose_wire::frame::Traffic;
use primrose_wire::handshake;
use primrose_wire::key::Key;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn key(secret: u8) -> Key {
    Key::new(&[secret; 32]).expect("32 bytes are enough")
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Accepts one connection with `key` and answers every number with its successor. Returns the kind of the error that
/// ended the connection, or `None` if the client closed it.
async fn serve(listener: TcpListener, key: Key) -> Option<std::io::ErrorKind> {
    let (stream, _) = listener.accept().await.expect("a connection");
    let connection = handshake::accept::<u64, u64>(stream, &key, &Traffic::default()).await;
    let mut connection = match connection {
        Ok(connection) => connection,
        Err(error) => return Some(error.kind()),
    };
    while let Some(number) = connection.next().await {
        match number {
            Ok(number) => connection.send(number + 1).await.expect("sent"),
            Err(error) => return Some(error.kind()),
        }
    }
    None
}

/// Guards against a key that is too short to be secure.
#[test]
fn short_keys_are_refused() {
    assert_eq!(Key::new(&[1; 31]).expect_err("too short").bytes, 31);
}

/// Guards against messages that arrive changed, and against traffic that is not counted.
#[tokio::test]
async fn messages_pass_in_both_directions() {
    let (listener, address) = listener().await;
    let server = tokio::spawn(serve(listener, key(1)));
    let traffic = Traffic::default();
    let stream = TcpStream::connect(address).await.expect("connected");
    let mut connection = handshake::connect::<u64, u64>(stream, &key(1), &traffic)
        .await
        .expect("accepted");
    for number in [0, 300, u64::MAX - 1] {
        connection.send(number).await.expect("sent");
        let answer = connection.next().await.expect("open").expect("authentic");
        assert_eq!(answer, number + 1);
    }
    assert!(traffic.sent() > 0 && traffic.received() > 0);
    drop(connection);
    assert_eq!(server.await.expect("ended"), None);
}

/// Guards against a client without the fleet key that is accepted, and against a server without it that is trusted.
#[tokio::test]
async fn another_key_is_refused_by_both_sides() {
    let (listener, address) = listener().await;
    let server = tokio::spawn(serve(listener, key(1)));
    let stream = TcpStream::connect(address).await.expect("connected");
    let connection = handshake::connect::<u64, u64>(stream, &key(2), &Traffic::default()).await;
    let error = connection.expect_err("the server has another key");
    assert_eq!(error.kind(), std::io::ErrorKind::PermissionDenied);
    assert!(server.await.expect("ended").is_some());
}

/// Guards against bytes that an attacker on the path injects into an authenticated connection, here a replayed frame.
#[tokio::test]
async fn replayed_frame_ends_the_connection() {
    let (listener, address) = listener().await;
    let server = tokio::spawn(serve(listener, key(1)));
    let (relay, relay_address) = self::listener().await;
    tokio::spawn(async move {
        let (mut client, _) = relay.accept().await.expect("a connection");
        let mut server = TcpStream::connect(address).await.expect("connected");
        // The nonce of the client, the nonce and proof of the server, the proof of the client.
        copy_exactly(&mut client, &mut server, 32).await;
        copy_exactly(&mut server, &mut client, 48).await;
        copy_exactly(&mut client, &mut server, 16).await;
        // A frame with the number 7: length, one byte and the tag.
        let mut frame = [0; 21];
        client.read_exact(&mut frame).await.expect("a frame");
        server.write_all(&frame).await.expect("sent");
        server.write_all(&frame).await.expect("sent again");
        let _ = server.read_to_end(&mut Vec::new()).await;
    });
    let stream = TcpStream::connect(relay_address).await.expect("connected");
    let mut connection = handshake::connect::<u64, u64>(stream, &key(1), &Traffic::default())
        .await
        .expect("accepted");
    connection.send(7).await.expect("sent");
    let ended = server.await.expect("ended");
    assert_eq!(ended, Some(std::io::ErrorKind::PermissionDenied));
}

async fn copy_exactly(from: &mut TcpStream, to: &mut TcpStream, bytes: usize) {
    let mut buffer = vec![0; bytes];
    from.read_exact(&mut buffer).await.expect("bytes");
    to.write_all(&buffer).await.expect("sent");
}

/// Guards against datagrams that are accepted with another key or after damage, and against datagrams that are too
/// long for an Ethernet frame.
#[test]
fn datagrams_are_authenticated_and_bounded() {
    let sealed = datagram::seal(&key(1), &(5_u32, "five")).expect("short enough");
    let opened: (u32, String) = datagram::open(&key(1), &sealed).expect("authentic");
    assert_eq!(opened, (5, "five".to_owned()));
    let opened = datagram::open::<(u32, String)>(&key(2), &sealed);
    assert_eq!(opened.expect_err("another key"), Error::Authentication);
    for at in 0..sealed.len() {
        let mut damaged = sealed.clone();
        damaged[at] ^= 1;
        let opened = datagram::open::<(u32, String)>(&key(1), &damaged);
        assert_eq!(
            opened.expect_err("damaged"),
            Error::Authentication,
            "byte {at}"
        );
    }
    let long = datagram::seal(&key(1), &vec![0_u8; MAX_DATAGRAM_BYTES]);
    assert!(matches!(long, Err(Error::TooLong { .. })));
}
