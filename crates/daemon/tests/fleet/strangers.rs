//! Peers, callers and operators without a valid key, and malformed requests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use primrose_operator::api;
use primrose_wire::frame::Traffic;
use primrose_wire::key::Key;
use primrose_wire::{datagram, handshake};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

use crate::harness::{
    API_KEY, Answer, Fleet, OPERATOR_KEY, TIMEOUT, VOTERS, account_and_pools, chat, eventually,
    exchange, idempotent_call, plain_stand_in, server,
};

const WRONG_KEY: &[u8] = b"another fleet's key of 32 bytes or more";

/// Guards against a daemon that accepts data from peers without the fleet key, or does not count their attempts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_without_the_fleet_key_are_refused_and_counted() {
    let fleet = Fleet::start(&VOTERS[..1]).await;
    let host = &fleet.hosts[0];
    let key = Key::new(WRONG_KEY).expect("a long key");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let sealed = datagram::seal(&key, &"news").expect("a short datagram");
    for bytes in [&sealed[..], b"noise", b""] {
        socket
            .send_to(bytes, host.peers)
            .await
            .expect("the bytes are sent");
    }
    eventually("the datagrams are counted", async || {
        (host.counter("peer_datagram_refused").await == 3).then_some(())
    })
    .await;

    let stream = TcpStream::connect(host.peers).await.expect("a connection");
    let refused = handshake::connect::<(), ()>(stream, &key, &Traffic::default()).await;
    let error = refused.expect_err("the daemon does not have this key");
    assert_eq!(error.kind(), std::io::ErrorKind::PermissionDenied);
    let mut stream = TcpStream::connect(host.peers).await.expect("a connection");
    // An arbitrary nonce and an invalid proof.
    stream
        .write_all(&[7; 48])
        .await
        .expect("the bytes are sent");
    let mut answer = Vec::new();
    let closed = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    // If the daemon closes the connection with unread bytes, reading fails with a connection reset.
    let _ = closed.expect("the daemon closes the connection");
    eventually("the connections are counted", async || {
        (host.counter("peer_refused").await == 2).then_some(())
    })
    .await;
    assert_eq!(host.health("/readyz").await, Some(StatusCode::OK));
}

fn with_header(
    request: Request<Full<Bytes>>,
    header: &'static str,
    value: &str,
) -> Request<Full<Bytes>> {
    let mut request = request;
    let value = value.parse().expect("a header value");
    request.headers_mut().insert(header, value);
    request
}

fn without_key(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    request.headers_mut().remove("authorization");
    request
}

fn to_path(path: &str) -> Request<Full<Bytes>> {
    let mut request = idempotent_call("somewhere");
    *request.uri_mut() = path.parse().expect("a path");
    request
}

fn with_body(body: &'static str) -> Request<Full<Bytes>> {
    chat("", 1, false).map(|_| Full::from(body))
}

/// Guards against a refusal without a stable code or without the verdict "not-run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_get_a_code_and_a_verdict_with_every_refusal() {
    let fleet = Fleet::start(&VOTERS[..1]).await;
    let plain = plain_stand_in(1).await;
    let mut actions = account_and_pools();
    actions.push(server("p1", "payouts", "d1", &plain));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let host = &fleet.hosts[0];
    let valid = || idempotent_call("q");
    let long_key = "k".repeat(129);
    let cases = [
        (without_key(valid()), 401, "missing_key"),
        (
            with_header(valid(), "authorization", "Bearer nobody"),
            401,
            "unknown_key",
        ),
        (
            with_header(chat("", 1, false), "x-primrose-model", "pear"),
            404,
            "unknown_model",
        ),
        (with_body("{\"messages\": []}"), 400, "missing_model"),
        (with_body("{\"model\": 7}"), 400, "malformed_body"),
        (with_body("{"), 400, "malformed_body"),
        (
            with_header(valid(), "x-primrose-non-idempotent", "maybe"),
            400,
            "malformed_header",
        ),
        (
            with_header(valid(), "idempotency-key", &long_key),
            400,
            "malformed_header",
        ),
        (to_path("/plain/nothing/pay"), 404, "unknown_service"),
        (to_path("/somewhere"), 404, "unknown_path"),
    ];
    for (request, status, code) in cases {
        let before = host.counter(code).await;
        let answer = exchange(host.callers, request).await.expect("an answer");
        let status = StatusCode::from_u16(status).expect("a status");
        answer.assert_refused(status, code);
        assert!(
            answer.headers.contains_key("x-request-id"),
            "no x-request-id with {code}"
        );
        assert_eq!(host.counter(code).await, before + 1, "counter {code}");
    }
    let announced = "content-length: 99999999\r\n\r\n";
    let answer = send_raw(host.callers, announced).await;
    answer.assert_refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    assert!(plain.log().executions.is_empty(), "a refused request ran");
}

/// Sends only the header section of a request, without an HTTP client, and reads the complete answer.
async fn send_raw(address: SocketAddr, headers: &str) -> Answer {
    let head = format!(
        "POST /plain/payouts/pay HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {API_KEY}\r\n\
         connection: close\r\n{headers}"
    );
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the bytes are sent");
    let mut text = String::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_string(&mut text)).await;
    read.expect("an answer in time").expect("an answer");
    let (head, body) = text
        .split_once("\r\n\r\n")
        .expect("a complete header section");
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
        let name: hyper::header::HeaderName = name.parse().expect("a header name");
        headers.insert(name, value.parse().expect("a header value"));
    }
    Answer {
        status: status.expect("a status").parse().expect("a status"),
        headers,
        body: Bytes::from(body.to_owned()),
    }
}

/// Guards against an operator interface that answers requests without an operator key, also those with an API key.
#[test_case("GET", "/operator/configuration"; "configuration")]
#[test_case("GET", "/operator/status"; "status")]
#[test_case("GET", "/operator/counters"; "counters")]
#[test_case("POST", "/operator/changes"; "changes")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_need_a_key(method: &str, path: &str) {
    let fleet = Fleet::start(&VOTERS[..1]).await;
    let host = &fleet.hosts[0];
    let request = |key: &str| {
        Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", key)
            .body(Full::default())
            .expect("a request")
    };
    for key in ["Bearer nobody", "Bearer ", "nobody", API_KEY] {
        let answer = exchange(host.operators, request(key))
            .await
            .expect("an answer");
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{key}");
        let reply: api::ErrorReply = serde_json::from_slice(&answer.body).expect("a JSON error");
        assert_eq!(reply.error.code, "unknown_key");
    }
    assert_eq!(host.counter("operator_refused").await, 4);
    assert_eq!(
        host.version().await,
        Some(1),
        "the configuration was changed"
    );
}

/// Guards against a change with a misspelt key that is accepted while the key is ignored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_with_an_unknown_key_is_refused_and_names_the_key() {
    let fleet = Fleet::start(&VOTERS[..1]).await;
    let text =
        "id: c1\nbase: 1\nactions:\n- put_account:\n    name: a\n    shar: 1\n    keys: []\n";
    let request = Request::post("/operator/changes")
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(Full::from(text))
        .expect("a request");
    let answer = exchange(fleet.hosts[0].operators, request)
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    let submission: api::Submission = serde_json::from_slice(&answer.body).expect("a reply");
    let api::Submission::Refused(refused) = submission else {
        panic!("{submission:?}");
    };
    assert_eq!(refused.code, api::INVALID_TEXT);
    assert!(refused.message.contains("shar"), "{}", refused.message);
    assert_eq!(fleet.hosts[0].version().await, Some(1));
}
