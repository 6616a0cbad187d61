//! Tests of the relay with real sockets.

#![allow(clippy::unwrap_used, reason = "a step that fails also fails the test")]

use std::net::SocketAddr;

use primrose_bench::relay::{Handle, Settings, bind};
use test_case::test_case;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

const ANY: &str = "127.0.0.1:0";

async fn relay(target: SocketAddr, delay_ms: f64) -> Handle {
    let any = ANY.parse().unwrap();
    let settings = Settings {
        address: any,
        control: any,
        target,
        delay_ms,
    };
    bind(settings).await.unwrap()
}

/// Both ends of a connection through a relay.
async fn connection(delay_ms: f64) -> (Handle, TcpStream, TcpStream) {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let relay = relay(listener.local_addr().unwrap(), delay_ms).await;
    let near = TcpStream::connect(relay.address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (relay, near, far)
}

async fn pass(from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(b"data").await.unwrap();
    let mut buffer = [0; 4];
    to.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"data");
}

async fn command(relay: &Handle, line: &str) -> String {
    let mut control = TcpStream::connect(relay.control).await.unwrap();
    control
        .write_all(format!("{line}\n").as_bytes())
        .await
        .unwrap();
    let mut answer = String::new();
    BufReader::new(control)
        .read_line(&mut answer)
        .await
        .unwrap();
    answer
}

/// Guards against a relay that loses bytes, or the end of a connection, in one of the directions.
#[test_case(0.0)]
#[test_case(2.0)]
#[tokio::test]
async fn both_directions_and_the_end_pass(delay_ms: f64) {
    let (_relay, mut near, mut far) = connection(delay_ms).await;
    pass(&mut near, &mut far).await;
    pass(&mut far, &mut near).await;
    near.shutdown().await.unwrap();
    assert_eq!(far.read(&mut [0; 1]).await.unwrap(), 0);
    pass(&mut far, &mut near).await;
}

/// Guards against a cut that lets bytes pass or loses them.
#[tokio::test]
async fn cut_holds_bytes_until_it_heals() {
    let (relay, mut near, mut far) = connection(0.0).await;
    assert_eq!(command(&relay, "cut").await, "ok\n");
    near.write_all(b"data").await.unwrap();
    // Traffic through another relay gives the bytes the time to pass if they could.
    let (_other, mut near_other, mut far_other) = connection(1.0).await;
    for _ in 0..20 {
        pass(&mut near_other, &mut far_other).await;
    }
    assert!(far.try_read(&mut [0; 4]).is_err());
    assert_eq!(command(&relay, "heal").await, "ok\n");
    let mut buffer = [0; 4];
    far.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"data");
}

/// Guards against connections that survive a reset.
#[tokio::test]
async fn reset_closes_connections() {
    let (relay, mut near, mut far) = connection(0.0).await;
    pass(&mut near, &mut far).await;
    assert_eq!(command(&relay, "reset").await, "ok\n");
    assert_eq!(near.read(&mut [0; 1]).await.unwrap_or(0), 0);
    assert_eq!(far.read(&mut [0; 1]).await.unwrap_or(0), 0);
}

/// Guards against a mistyped command that is taken for a success.
#[test_case("cot")]
#[test_case("delay")]
#[test_case("delay soon")]
#[test_case("cut now")]
#[tokio::test]
async fn unknown_commands_are_refused(line: &str) {
    let relay = relay(ANY.parse().unwrap(), 0.0).await;
    assert!(command(&relay, line).await.starts_with("error "));
}

/// Guards against datagrams that pass a cut, reach the wrong sender or are not answered.
#[tokio::test]
async fn datagrams_pass_unless_cut() {
    let target = UdpSocket::bind(ANY).await.unwrap();
    let relay = relay(target.local_addr().unwrap(), 0.0).await;
    let (one, two) = (
        UdpSocket::bind(ANY).await.unwrap(),
        UdpSocket::bind(ANY).await.unwrap(),
    );
    let mut buffer = [0; 8];
    for (socket, text) in [(&one, b"1"), (&two, b"2")] {
        socket.send_to(text, relay.address).await.unwrap();
        let (length, from) = target.recv_from(&mut buffer).await.unwrap();
        assert_eq!(&buffer[..length], text);
        target.send_to(text, from).await.unwrap();
        let (length, from) = socket.recv_from(&mut buffer).await.unwrap();
        assert_eq!((&buffer[..length], from), (text.as_slice(), relay.address));
    }
    relay.cut();
    one.send_to(b"lost", relay.address).await.unwrap();
    while relay.lost() == 0 {
        tokio::task::yield_now().await;
    }
    relay.heal();
    one.send_to(b"kept", relay.address).await.unwrap();
    let (length, _) = target.recv_from(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"kept");
}
