//! Mutual authentication at the start of a connection.
//!
//! Both ends send a random nonce and prove knowledge of the fleet key over both nonces; labels differ by role, so a
//! proof cannot be reflected. Each direction then gets its own session key.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::frame::{Frame, Traffic};
use crate::key::{Key, TAG_BYTES};

/// Time for the whole handshake; a stranger who sends nothing is disconnected after it.
pub const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;

const NONCE_BYTES: usize = 32;
const CLIENT_PROOF: &[u8] = b"primrose client proof v1";
const SERVER_PROOF: &[u8] = b"primrose server proof v1";
const CLIENT_TO_SERVER: &[u8] = b"primrose client to server v1";
const SERVER_TO_CLIENT: &[u8] = b"primrose server to client v1";

/// An authenticated connection on which `Out` is sent and `In` received.
pub type Connection<In, Out> = Framed<TcpStream, Frame<In, Out>>;

/// Authenticates a connection that this process opened.
///
/// # Errors
///
/// `PermissionDenied` if the other end does not have the fleet key, `TimedOut` after [`HANDSHAKE_TIMEOUT_MS`], or the
/// error of the socket.
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
    let own: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&own).await?;
    let other = read_nonce(&mut stream).await?;
    read_proof(&mut stream, key, &[SERVER_PROOF, &own, &other]).await?;
    stream
        .write_all(&key.code(&[CLIENT_PROOF, &own, &other]))
        .await?;
    count_handshake(traffic);
    let send = key.derive(CLIENT_TO_SERVER, [&own, &other]);
    let receive = key.derive(SERVER_TO_CLIENT, [&own, &other]);
    Ok(Framed::new(
        stream,
        Frame::new(send, receive, traffic.clone()),
    ))
}

async fn accept_untimed<In, Out>(
    mut stream: TcpStream,
    key: &Key,
    traffic: &Traffic,
) -> io::Result<Connection<In, Out>> {
    stream.set_nodelay(true)?;
    let other = read_nonce(&mut stream).await?;
    let own: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&own).await?;
    stream
        .write_all(&key.code(&[SERVER_PROOF, &other, &own]))
        .await?;
    read_proof(&mut stream, key, &[CLIENT_PROOF, &other, &own]).await?;
    count_handshake(traffic);
    let send = key.derive(SERVER_TO_CLIENT, [&other, &own]);
    let receive = key.derive(CLIENT_TO_SERVER, [&other, &own]);
    Ok(Framed::new(
        stream,
        Frame::new(send, receive, traffic.clone()),
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
        "the other end does not have the fleet key",
    ))
}

async fn within_timeout<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    match tokio::time::timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), work).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the other end did not complete the handshake in time",
        )),
    }
}
