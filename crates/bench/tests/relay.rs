//! Tests of the relay over real sockets.

#![allow(clippy::unwrap_used, reason = "a step that fails also fails the test")]

use std::net::SocketAddr;

use primrose_bench::relay::{Handle, Settings, bind};
use test_case::test_case;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

const ANY_PORT: &str = "127.0.0.1:0";

async fn start_relay(target: SocketAddr, delay_ms: f64) -> Handle {
    let any_port = ANY_PORT.parse().unwrap();
    let settings = Settings {
        address: any_port,
        control: any_port,
        target,
        delay_ms,
    };
    bind(settings).await.unwrap()
}

/// Starts a relay and returns it with both ends of a connection through it.
async fn connection(delay_ms: f64) -> (Handle, TcpStream, TcpStream) {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let relay = start_relay(listener.local_addr().unwrap(), delay_ms).await;
    let near = TcpStream::connect(relay.address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (relay, near, far)
}

async fn check_delivery(from: &mut TcpStream, to: &mut TcpStream) {
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

/// Guards against a relay that loses data or the end of the stream in one direction.
#[test_case(0.0)]
#[test_case(2.0)]
#[tokio::test]
async fn data_and_end_of_stream_are_forwarded_in_both_directions(delay_ms: f64) {
    let (_relay, mut near, mut far) = connection(delay_ms).await;
    check_delivery(&mut near, &mut far).await;
    check_delivery(&mut far, &mut near).await;
    near.shutdown().await.unwrap();
    assert_eq!(far.read(&mut [0; 1]).await.unwrap(), 0);
    check_delivery(&mut far, &mut near).await;
}

/// Guards against a cut during which TCP data is forwarded or lost.
#[tokio::test]
async fn tcp_data_is_held_until_the_cut_is_healed() {
    let (relay, mut near, mut far) = connection(0.0).await;
    assert_eq!(command(&relay, "cut").await, "ok\n");
    near.write_all(b"data").await.unwrap();
    // Traffic through another relay takes long enough for the data to arrive if the cut had no effect.
    let (_other, mut near_other, mut far_other) = connection(1.0).await;
    for _ in 0..20 {
        check_delivery(&mut near_other, &mut far_other).await;
    }
    assert!(
        far.try_read(&mut [0; 4]).is_err(),
        "data arrived during the cut"
    );
    assert_eq!(command(&relay, "heal").await, "ok\n");
    let mut buffer = [0; 4];
    far.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"data");
}

/// Guards against connections that stay open after a reset.
#[tokio::test]
async fn reset_closes_connections() {
    let (relay, mut near, mut far) = connection(0.0).await;
    check_delivery(&mut near, &mut far).await;
    assert_eq!(command(&relay, "reset").await, "ok\n");
    assert_eq!(near.read(&mut [0; 1]).await.unwrap_or(0), 0);
    assert_eq!(far.read(&mut [0; 1]).await.unwrap_or(0), 0);
}

/// Guards against a mistyped command that is answered with `ok`.
#[test_case("cot")]
#[test_case("delay")]
#[test_case("delay soon")]
#[test_case("cut now")]
#[tokio::test]
async fn unknown_commands_are_refused(line: &str) {
    let relay = start_relay(ANY_PORT.parse().unwrap(), 0.0).await;
    let answer = command(&relay, line).await;
    assert!(answer.starts_with("error "), "{line:?}: {answer:?}");
}

/// Guards against datagrams that are forwarded during a cut, and answers that are lost or reach the wrong sender.
#[tokio::test]
async fn datagrams_are_forwarded_unless_cut() {
    let target = UdpSocket::bind(ANY_PORT).await.unwrap();
    let relay = start_relay(target.local_addr().unwrap(), 0.0).await;
    let (one, two) = (
        UdpSocket::bind(ANY_PORT).await.unwrap(),
        UdpSocket::bind(ANY_PORT).await.unwrap(),
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
    while relay.dropped_datagrams() == 0 {
        tokio::task::yield_now().await;
    }
    relay.heal();
    one.send_to(b"kept", relay.address).await.unwrap();
    let (length, _) = target.recv_from(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"kept");
}
