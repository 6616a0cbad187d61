//! Tests of the counters and log lines for the ends of callers' connections.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use primrose_entry::body::{Body, Interrupted};
use primrose_entry::closing::{self, Exchange};
use primrose_entry::counter;
use primrose_entry::idle::Timeouts;
use primrose_entry::listener::{self, Limits, Phase};
use primrose_entry::overload::Detector;
use primrose_observe::Meter;
use primrose_observe::log::{Buffer, logger};
use primrose_route::{Document, Table};
use socket2::SockRef;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// The limits of the listener. Longer than any other step of a test.
const TIMEOUTS: Timeouts = Timeouts {
    idle_ms: 400,
    head_ms: 400,
};

/// The longest wait for the end of a connection.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A listener whose ends of connections are counted and logged.
struct Host {
    phase: watch::Sender<Phase>,
    handle: listener::Handle,
    meter: Arc<Meter>,
    log: Buffer,
}

impl Host {
    async fn open() -> Host {
        let meter = Arc::new(Meter::new(&counter::ALL, &counter::LATENCIES));
        let log = Buffer::default();
        let document = Document {
            version: 7,
            ..Document::default()
        };
        let (_, table) = watch::channel(Some(Arc::new(Table::new(Arc::new(document)))));
        let limits = Limits {
            timeouts: Arc::new(|| TIMEOUTS),
            max_connections: 100,
            overload: Detector::default(),
            closings: Some(closing::Log {
                meter: Arc::clone(&meter),
                log: logger(&log, "host"),
                table,
            }),
            readers: None,
        };
        let (phase, receiver) = watch::channel(Phase::Serving);
        let address = "127.0.0.1:0".parse().expect("the address is valid");
        let handle = listener::bind(address, limits, receiver, answer)
            .await
            .expect("the address can be bound");
        Host {
            phase,
            handle,
            meter,
            log,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.handle.address)
            .await
            .expect("the listener accepts")
    }

    /// Waits for the end of the only connection. Returns the names of the counters that it incremented and its log
    /// line.
    async fn end(&self) -> (Vec<&'static str>, Option<serde_json::Value>) {
        let wait = async {
            while self.counted().is_empty() || self.handle.connections() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, wait)
            .await
            .expect("the connection ends within the timeout");
        let text = String::from_utf8(self.log.take()).expect("the log is text");
        let line = text.lines().find(|line| line.contains("connection closed"));
        let line = line.map(|line| serde_json::from_str(line).expect("the line is JSON"));
        (self.counted(), line)
    }

    /// The counters of ends of connections, each as often as it was incremented.
    fn counted(&self) -> Vec<&'static str> {
        let names = counter::ALL
            .iter()
            .filter(|name| name.starts_with("closed_"));
        names
            .flat_map(|&name| std::iter::repeat_n(name, self.meter.value(name) as usize))
            .collect()
    }
}

/// Answers according to the path of the request.
async fn answer(request: Request<Incoming>) -> Response<Body> {
    let exchange = request.extensions().get::<Exchange>().cloned();
    let exchange = exchange.expect("the listener adds an exchange");
    exchange.set_attempt(&"a-1".into());
    exchange.set_version(6);
    let path = request.uri().path().to_owned();
    let mut response = Response::new(Body::full("here"));
    match &*path {
        // The answer is sent before the body of the request was read.
        "/unread" => return response,
        "/panic" => panic!("a test of a panic"),
        "/hang" => std::future::pending::<()>().await,
        _ => {}
    }
    if request.into_body().collect().await.is_ok() {
        exchange.set_body_read();
    }
    match &*path {
        "/close" => {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        "/cut" | "/endless" => {
            let is_endless = path == "/endless";
            let (sender, receiver) = mpsc::channel(1);
            let task = tokio::spawn(async move {
                let chunk = Bytes::from(vec![b'x'; 64 << 10]);
                while sender.send(Ok(chunk.clone())).await.is_ok() && is_endless {}
                if !is_endless {
                    exchange.set_code("stream_broken");
                    // The connection may be closed already.
                    let _ = sender.send(Err(Interrupted)).await;
                }
            });
            *response.body_mut() = Body::Channel {
                chunks: receiver,
                task,
            };
        }
        _ => {}
    }
    response
}

/// What the caller does after it has written its bytes.
enum Next {
    /// It reads until the host closes the connection.
    Read,
    /// It closes the connection after this time.
    Close(Duration),
    /// It resets the connection after this time.
    Reset(Duration),
}

const PAUSE: Duration = Duration::from_millis(100);

const GET: &str = "GET /ok HTTP/1.1\r\nHost: a\r\n\r\n";

const CLOSE: &str = "GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// The fields `unanswered`, `partial_head` and `answered` of a log line.
type Fields = (bool, bool, u64);

// During an incident the reason of each end must be known, or a refusal that was lost cannot be told from a
// connection that was closed as idle, from an answer that was interrupted or from a caller that gave up.
#[test_case(GET, Next::Read, "closed_idle", Some((false, false, 1)); "idle limit")]
#[test_case("", Next::Read, "closed_idle", Some((false, false, 0)); "idle limit before the first request")]
#[test_case("GET /ok HT", Next::Read, "closed_partial_head", Some((true, true, 0)); "partial head")]
#[test_case(GET, Next::Close(PAUSE), "closed_by_caller_idle", None; "caller closes while idle")]
#[test_case(GET, Next::Reset(PAUSE), "closed_by_caller_idle", None; "caller resets while idle")]
#[test_case("GET /ok HT", Next::Close(PAUSE), "closed_by_caller", Some((true, true, 0)); "caller closes during a head")]
#[test_case(
    "GET /hang HTTP/1.1\r\nHost: a\r\n\r\n", Next::Close(PAUSE),
    "closed_by_caller", Some((true, false, 0)); "caller closes during a request"
)]
#[test_case(
    "POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{", Next::Close(PAUSE),
    "closed_by_caller", Some((false, false, 1)); "caller closes during a body and is answered"
)]
#[test_case(
    "GET /cut HTTP/1.1\r\nHost: a\r\n\r\n", Next::Read,
    "closed_interrupted", Some((true, false, 0)); "interrupted answer"
)]
#[test_case(
    "GET /close HTTP/1.1\r\nHost: a\r\n\r\n", Next::Read,
    "closed_announced", Some((false, false, 1)); "announced close"
)]
#[test_case(CLOSE, Next::Read, "closed_as_asked", None; "close that the caller asked for")]
#[test_case("nonsense\r\n\r\n", Next::Read, "closed_protocol", Some((true, true, 0)); "protocol error")]
#[test_case(
    "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{", Next::Read,
    "closed_body_unread", Some((false, false, 1)); "unread body"
)]
// hyper discards a body that has arrived whole, and keeps the connection.
#[test_case(
    "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n{", Next::Close(PAUSE),
    "closed_by_caller_idle", None; "caller closes after a discarded body"
)]
#[test_case(
    "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n{", Next::Read,
    "closed_idle", Some((false, false, 1)); "idle limit after a discarded body"
)]
#[test_case(
    "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n{GET /ok", Next::Read,
    "closed_partial_head", Some((true, true, 1)); "partial head after a discarded body"
)]
#[test_case(
    "GET /panic HTTP/1.1\r\nHost: a\r\n\r\n", Next::Read,
    "closed_panic", Some((true, false, 0)); "panic"
)]
// With the start of a further request in its buffer, hyper does not notice the reset until it writes.
#[test_case(
    "GET /endless HTTP/1.1\r\nHost: a\r\n\r\nGET /ok", Next::Reset(PAUSE),
    "closed_write_error", Some((true, false, 0)); "write error"
)]
#[tokio::test]
async fn end_is_counted_once(bytes: &str, next: Next, reason: &str, fields: Option<Fields>) {
    let host = Host::open().await;
    let mut stream = host.connect().await;
    stream
        .write_all(bytes.as_bytes())
        .await
        .expect("the bytes are sent");
    match next {
        Next::Read => {
            // A reset counts as a close.
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        Next::Close(pause) => {
            tokio::time::sleep(pause).await;
            stream.shutdown().await.expect("the stream is shut down");
        }
        Next::Reset(pause) => {
            tokio::time::sleep(pause).await;
            let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.expect("the option is set");
            drop(stream);
        }
    }
    let (counted, line) = host.end().await;
    assert_eq!(counted, [reason]);
    let found = line.as_ref().map(|line| {
        assert_eq!(line["reason"], reason, "{line}");
        assert_eq!(line["version_at_end"], 7, "{line}");
        assert_eq!(line["idle_limit_ms"], 15_000, "{line}");
        let flag = |name: &str| line[name].as_bool().expect("a flag");
        let answered = line["answered"].as_u64().expect("a number");
        (flag("unanswered"), flag("partial_head"), answered)
    });
    assert_eq!(found, fields, "{line:?}");
}

// The line must name the request that got no answer and the code with which it ended, or it cannot be found in the
// log of the request.
#[tokio::test]
async fn line_names_the_request() {
    let host = Host::open().await;
    let mut stream = host.connect().await;
    let request = "GET /cut HTTP/1.1\r\nHost: a\r\n\r\n";
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    // A reset counts as a close.
    let _ = stream.read_to_end(&mut Vec::new()).await;
    let (_, line) = host.end().await;
    let line = line.expect("a line");
    assert_eq!(line["id"], "a-1", "{line}");
    assert_eq!(line["code"], "stream_broken", "{line}");
    assert_eq!(line["version"], 6, "{line}");
}

// A caller whose request arrives while the host closes the connection as idle must be visible: the bytes that the
// host has not read are logged, for an unread body and for a request that follows an announced close.
#[test_case(
    "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n",
    300_000,
    "closed_body_unread"
)]
#[test_case("GET /close HTTP/1.1\r\nHost: a\r\n\r\n", 300_000, "closed_announced")]
#[tokio::test]
async fn unread_bytes_are_logged(head: &str, further: usize, reason: &str) {
    let host = Host::open().await;
    let mut stream = host.connect().await;
    let mut bytes = head.as_bytes().to_vec();
    bytes.resize(head.len() + further, b'x');
    // The host may reset the connection before all bytes are sent.
    let _ = stream.write_all(&bytes).await;
    let _ = stream.read_to_end(&mut Vec::new()).await;
    let (counted, line) = host.end().await;
    assert_eq!(counted, [reason]);
    let line = line.expect("a line");
    assert!(
        line["unread"].as_u64().is_some_and(|unread| unread > 0),
        "{line}"
    );
}

// A connection that is closed by the shutdown must not look like one that was closed as idle.
#[tokio::test]
async fn shutdown_is_counted() {
    let host = Host::open().await;
    let mut stream = host.connect().await;
    let sent = stream.write_all(GET.as_bytes()).await;
    sent.expect("the request is sent");
    tokio::time::sleep(PAUSE).await;
    host.phase.send_replace(Phase::Closing);
    let (counted, line) = host.end().await;
    assert_eq!(counted, ["closed_shutdown"]);
    assert!(line.is_some_and(|line| line["unanswered"] == false));
}

// A request that is open when the process ends, or of whose head a part was read, must be visible as unanswered.
#[test_case("GET /hang HTTP/1.1\r\nHost: a\r\n\r\n", false ; "whole request")]
#[test_case("GET /hang HTTP/1.1\r\n", true ; "part of a head")]
fn end_of_the_process_is_counted(request: &str, is_partial: bool) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let host = runtime.block_on(async {
        let host = Host::open().await;
        let mut stream = host.connect().await;
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the request is sent");
        tokio::time::sleep(PAUSE).await;
        std::mem::forget(stream);
        host
    });
    drop(runtime);
    assert_eq!(host.counted(), ["closed_at_stop"]);
    let text = String::from_utf8(host.log.take()).expect("the log is text");
    assert!(text.contains("\"unanswered\":true"), "{text}");
    let partial = format!("\"partial_head\":{is_partial}");
    assert!(text.contains(&partial), "{text}");
}

/// A request of which only the first byte of its body has arrived. It is answered at once.
const UNREAD: &str = "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{";

// A host that ends must not lose the answer of a caller that reads only once it has sent its body, nor wait for any
// other connection.
#[tokio::test]
async fn last_phase_leaves_only_callers_that_still_send() {
    let host = Host::open().await;
    let mut hanging = host.connect().await;
    let sent = hanging.write_all(b"GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
    sent.await.expect("the request is sent");
    let mut sending = host.connect().await;
    let sent = sending.write_all(UNREAD.as_bytes()).await;
    sent.expect("the start of the request is sent");
    tokio::time::sleep(PAUSE).await;
    host.phase.send_replace(Phase::Closing);
    host.phase.send_replace(Phase::Ended);
    // A reset counts as a close.
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(TIMEOUT, hanging.read_to_end(&mut rest));
    let _ = ended.await.expect("the connection is closed");
    tokio::time::sleep(PAUSE).await;
    assert_eq!(host.handle.connections(), 1);
    assert_eq!(host.counted(), ["closed_at_stop", "closed_body_unread"]);
    for _ in 0..4 {
        let sent = sending.write_all(b"{}").await;
        sent.expect("the rest of the request is sent");
        tokio::time::sleep(PAUSE).await;
    }
    let mut answer = String::new();
    let read = sending.read_to_string(&mut answer).await;
    read.expect("the answer is read");
    assert!(answer.ends_with("here"), "{answer}");
    drop(sending);
    host.end().await;
    assert_eq!(host.meter.value("sending_cut_off"), 0);
}

// A caller that may have lost its answer because the process ended while it sent must be in the log, and one that had
// sent everything must not.
#[test_case(&["{"], 1 ; "part of a body")]
#[test_case(&["{", "{}{}{}{}"], 0 ; "whole body")]
fn caller_that_still_sends_at_the_end_is_counted(parts: &[&str], expected: u64) {
    count_caller_at_the_end(UNREAD.trim_end_matches('{'), parts, expected);
}

// The same for a body in chunks, whose end the host does not follow: a caller that had sent everything must not be counted.
#[test]
fn caller_that_has_sent_its_chunks_is_not_counted() {
    let head = "POST /unread HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    count_caller_at_the_end(head, &["2\r\n{}\r\n", "0\r\n\r\n"], 0);
}

/// Sends the parts of a request that is answered at once, and checks how often the caller is counted and logged as still
/// sending when the process ends.
fn count_caller_at_the_end(head: &str, parts: &[&str], expected: u64) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let host = runtime.block_on(async {
        let host = Host::open().await;
        let mut stream = host.connect().await;
        for part in std::iter::once(&head).chain(parts) {
            let sent = stream.write_all(part.as_bytes()).await;
            sent.expect("a part is sent");
            tokio::time::sleep(PAUSE).await;
        }
        std::mem::forget(stream);
        host
    });
    drop(runtime);
    assert_eq!(host.counted(), ["closed_body_unread"]);
    assert_eq!(host.meter.value("sending_cut_off"), expected);
    let text = String::from_utf8(host.log.take()).expect("the log is text");
    let mut lines = text.lines();
    let line = lines.find(|line| line.contains("caller still sent when its connection was closed"));
    assert_eq!(line.is_some(), expected > 0, "{text}");
    assert!(
        line.is_none_or(|line| line.contains("\"id\":\"a-1\"")),
        "{text}"
    );
}
