//! Mutual authentication at the start of a connection.
//!
//! Each side sends a random nonce and then a proof that it knows the fleet key: the tag of both nonces. The label in
//! the tag differs between client and server, so that a proof cannot be reflected. Each direction has its own session
//! key.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::frame::{Codec, Traffic};
use crate::key::{Key, TAG_BYTES};

/// Timeout of the whole handshake, so that a peer that sends nothing does not hold the connection.
pub const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;

const NONCE_BYTES: usize = 32;
const CLIENT_PROOF: &[u8] = b"primrose client proof v1";
const SERVER_PROOF: &[u8] = b"primrose server proof v1";
const CLIENT_TO_SERVER: &[u8] = b"primrose client to server v1";
const SERVER_TO_CLIENT: &[u8] = b"primrose server to client v1";

/// An authenticated connection on which `Out` is sent and `In` received.
pub type Connection<In, Out> = Framed<TcpStream, Codec<In, Out>>;

/// Authenticates a connection that this process opened.
///
/// # Errors
///
/// Returns `PermissionDenied` if the peer does not have the fleet key, `TimedOut` after [`HANDSHAKE_TIMEOUT_MS`], or
/// the error of the socket.
pub async fn connect<In, Out>(
    stream: TcpStream,
    key: &Key,
    traffic: &Traffic,
) -> io::Result<Connection<In, Out>> {
    within_timeout(connect_untimed(stream, key, traffic)).await
}

/// Authenticates a connection that another process opened.
///
/// # Errors
///
/// As for [`connect`].
pub async fn accept<In, Out>(
    stream: TcpStream,
    key: &Key,
    traffic: &Traffic,
) -> io::Result<Connection<In, Out>> {
    within_timeout(accept_untimed(stream, key, traffic)).await
}

async fn connect_untimed<In, Out>(
    mut stream: TcpStream,
    key: &Key,
    traffic: &Traffic,
) -> io::Result<Connection<In, Out>> {
    stream.set_nodelay(true)?;
    let local_nonce: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&local_nonce).await?;
    let remote_nonce = read_nonce(&mut stream).await?;
    read_proof(
        &mut stream,
        key,
        &[SERVER_PROOF, &local_nonce, &remote_nonce],
    )
    .await?;
    stream
        .write_all(&key.tag(&[CLIENT_PROOF, &local_nonce, &remote_nonce]))
        .await?;
    count_handshake(traffic);
    let send = key.derive(CLIENT_TO_SERVER, [&local_nonce, &remote_nonce]);
    let receive = key.derive(SERVER_TO_CLIENT, [&local_nonce, &remote_nonce]);
    Ok(Framed::new(
        stream,
        Codec::new(send, receive, traffic.clone()),
    ))
}

async fn accept_untimed<In, Out>(
    mut stream: TcpStream,
    key: &Key,
    traffic: &Traffic,
) -> io::Result<Connection<In, Out>> {
    stream.set_nodelay(true)?;
    let remote_nonce = read_nonce(&mut stream).await?;
    let local_nonce: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&local_nonce).await?;
    stream
        .write_all(&key.tag(&[SERVER_PROOF, &remote_nonce, &local_nonce]))
        .await?;
    read_proof(
        &mut stream,
        key,
        &[CLIENT_PROOF, &remote_nonce, &local_nonce],
    )
    .await?;
    count_handshake(traffic);
    let send = key.derive(SERVER_TO_CLIENT, [&remote_nonce, &local_nonce]);
    let receive = key.derive(CLIENT_TO_SERVER, [&remote_nonce, &local_nonce]);
    Ok(Framed::new(
        stream,
        Codec::new(send, receive, traffic.clone()),
    ))
}

fn count_handshake(traffic: &Traffic) {
    traffic.add_sent(NONCE_BYTES + TAG_BYTES);
    traffic.add_received(NONCE_BYTES + TAG_BYTES);
}

async fn read_nonce(stream: &mut TcpStream) -> io::Result<[u8; NONCE_BYTES]> {
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    Ok(nonce)
}

async fn read_proof(stream: &mut TcpStream, key: &Key, parts: &[&[u8]]) -> io::Result<()> {
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    if key.verify(parts, &proof) {
        return Ok(());
    }
    Err(io::Error::new(
        io::ErrorKind::PermissionDenied,
        "the peer does not have the fleet key",
    ))
}

async fn within_timeout<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    match tokio::time::timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), work).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("the peer did not complete the handshake within {HANDSHAKE_TIMEOUT_MS} ms"),
        )),
    }
}
