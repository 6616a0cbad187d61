//! What a daemon passes on of requests and answers, and what it keeps back.

use hyper::StatusCode;

use crate::harness::{Fleet, VOTERS, account_and_pools, eventually, exchange, idempotent_call};
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
