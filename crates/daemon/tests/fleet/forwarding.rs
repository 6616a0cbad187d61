//! What a daemon passes on of requests and answers, and what it keeps back.

use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{
    API_KEY, Fleet, VOTERS, account_and_pools, eventually, exchange, idempotent_call,
};
use crate::scripted::{Receipt, Servers, Step, complete};

/// Headers of one connection only, and `x-kept`, which is for the receiver of the message. `Connection` names one of them
/// that no standard lists.
const HEADERS: [(&str, &str); 5] = [
    ("connection", "close, X-Hop , keep-alive"),
    ("keep-alive", "timeout=5"),
    ("proxy-connection", "keep-alive"),
    ("x-hop", "1"),
    ("x-kept", "1"),
];

fn answer_with_headers(receipt: &Receipt) -> Vec<Step> {
    let id = format!("x-request-id: {}\r\n", receipt.request_id);
    let lines = HEADERS.map(|(name, value)| format!("{name}: {value}\r\n"));
    vec![
        Step::Send(complete(&(id + &lines.concat()), "done")),
        Step::Close,
    ]
}

async fn start(servers: &Servers) -> Fleet {
    let fleet = Fleet::start(&VOTERS[..1]).await;
    let mut actions = account_and_pools();
    actions.extend(servers.actions("payouts"));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    fleet
}

// Headers of one connection must not reach the next one (RFC 9110, section 7.6.1): a receiver would take the time limit of
// another connection for that of its own, or act on a header that its sender meant for the router only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_of_one_connection_are_not_passed_on() {
    let servers = Servers::open(1, answer_with_headers).await;
    let fleet = start(&servers).await;
    let answer = eventually("an answer", async || {
        let mut request = idempotent_call("hop");
        for (name, value) in HEADERS {
            let value = value.parse().expect("a header value");
            request.headers_mut().insert(name, value);
        }
        let answer = exchange(fleet.hosts[0].callers, request).await.ok()?;
        (answer.status == StatusCode::OK).then_some(answer)
    })
    .await;
    let head = servers.first("hop").expect("a request").head;
    for name in ["keep-alive", "proxy-connection", "x-hop"] {
        assert!(!head.contains(&format!("\r\n{name}:")), "{name}: {head}");
        assert!(!answer.headers.contains_key(name), "{name}: {answer:?}");
    }
    assert!(head.contains("\r\nx-kept: 1"), "{head}");
    assert_eq!(answer.headers["x-kept"], "1");
}

/// Larger than what is held of a body, so that the end of a longer one is streamed.
const MAX_BODY_BYTES: usize = 1 << 20;

fn answer_done(receipt: &Receipt) -> Vec<Step> {
    let id = format!("x-request-id: {}\r\n", receipt.request_id);
    vec![Step::Send(complete(&id, "done"))]
}

// The limit must hold for the whole body, also if its length is not announced and its end is streamed to the server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_body_does_not_exceed_the_limit() {
    let servers = Servers::open(1, answer_done).await;
    let mut fleet = start(&servers).await;
    let limits = format!("limits: {{max_body_bytes: {MAX_BODY_BYTES}}}\n");
    fleet.hosts[0].restart_with(&limits).await;
    eventually("the server is in use", async || {
        let answer = exchange(fleet.hosts[0].callers, idempotent_call("small")).await;
        (answer.ok()?.status == StatusCode::OK).then_some(())
    })
    .await;
    let most = send_chunked(&fleet, "y", MAX_BODY_BYTES).await;
    assert!(most.starts_with("HTTP/1.1 200 "), "{most}");
    let more = send_chunked(&fleet, "z", MAX_BODY_BYTES + 1).await;
    assert!(!more.starts_with("HTTP/1.1 200 "), "{more}");
    assert_eq!(servers.count("zzz"), 0, "the longer body has arrived whole");
}

/// Sends a body of `length` letters in chunks, and returns the answer.
async fn send_chunked(fleet: &Fleet, letter: &str, length: usize) -> String {
    let mut stream = TcpStream::connect(fleet.hosts[0].callers)
        .await
        .expect("a connection");
    let mut bytes = format!(
        "POST /plain/payouts/pay HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {API_KEY}\r\n\
         Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    );
    let body = letter.repeat(length);
    for chunk in body.as_bytes().chunks(16 << 10) {
        let chunk = String::from_utf8_lossy(chunk);
        bytes.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    bytes.push_str("0\r\n\r\n");
    // Fails if the daemon answers before it has read the body.
    let _ = stream.write_all(bytes.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
