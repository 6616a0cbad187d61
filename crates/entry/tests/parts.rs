//! Tests of the splitting of events, the retry budget, refusals, counters, load shedding and the listener.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use primrose_base::clock::Time;
use primrose_entry::body::Body;
use primrose_entry::budget::{Budget, Settings};
use primrose_entry::counter;
use primrose_entry::event::Splitter;
use primrose_entry::idle::Timeouts;
use primrose_entry::link;
use primrose_entry::listener::{self, Limits, Phase};
use primrose_entry::memory::Memory;
use primrose_entry::notice::Notice;
use primrose_entry::overload::Detector;
use primrose_entry::protocol::{Classification, Malformed, Protocol};
use primrose_entry::refusal::Refusal;
use primrose_entry::request::{self, Inputs, Shared};
use primrose_observe::Meter;
use primrose_wire::key::Key;
use slog::Logger;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

// A stream that is resumed on another server must neither lose, repeat nor split an event, wherever the chunks end.
#[test]
fn streams_are_split_between_events() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for cut in 0..stream.len() {
        let mut splitter = Splitter::default();
        let mut passed = splitter.push(&stream[..cut]).to_vec();
        let complete = cut
            - if splitter.has_partial_event() {
                cut - passed.len()
            } else {
                0
            };
        assert_eq!(passed, stream[..complete], "cut at {cut}");
        let ids = String::from_utf8_lossy(&passed).matches("id:").count();
        let last = splitter
            .last_id()
            .map_or(0, |id| id.parse().expect("the id is a number"));
        assert_eq!(last, ids, "cut at {cut}");
        passed.extend_from_slice(&splitter.push(&stream[cut..]));
        assert_eq!(passed, stream, "cut at {cut}");
        assert!(
            !splitter.has_partial_event(),
            "cut at {cut}: a partial event is left at the end of the stream"
        );
    }
}

// After an interruption the partial event must not be joined with the first event of the next server.
#[test]
fn partial_event_is_discarded() {
    let mut splitter = Splitter::default();
    assert_eq!(
        splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"),
        Bytes::from("id: 1\ndata: a\n\n")
    );
    let mut splitter = splitter.resumed();
    assert_eq!(splitter.last_id(), Some("1"));
    assert_eq!(
        splitter.push(b"id: 2\ndata: b\n\n"),
        Bytes::from("id: 2\ndata: b\n\n")
    );
}

// Events of the next server that do not continue the stream must not be returned, and must not move the position from
// which a further server resumes it. Ids that rise in larger steps hide no gap.
#[test_case("id: 1\n\nid: 2\n\n", "id: 2\ndata: b\n\n", false ; "repeated")]
#[test_case("id: 1\n\nid: 2\n\n", "id: 3\ndata: c\n\nid: 1\n\n", false ; "repeated later")]
#[test_case("id: 1\n\nid: 2\n\n", "id: 4\ndata: d\n\n", false ; "with a gap")]
#[test_case("id: 1\n\nid: 2\n\n", "data: c\n\n", false ; "without an id")]
#[test_case("id: a\n\nid: b\n\n", "id: b\n\n", false ; "repeated without a number")]
#[test_case("id: a\n\nid: b\n\n", "id: c\n\n", true ; "next without a number")]
#[test_case("id: 1\n\nid: 2\n\n", ": ping\n\nid: 3\n\n", true ; "next after a comment")]
#[test_case("id: 2\n\nid: 4\n\n", "id: 7\n\n", true ; "next of larger steps")]
fn only_events_that_continue_a_stream_are_returned(before: &str, next: &str, continues: bool) {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(before.as_bytes()), before);
    let last = splitter.last_id().map(str::to_owned);
    let mut splitter = splitter.resumed();
    let returned = splitter.push(next.as_bytes());
    assert_eq!(splitter.fault().is_none(), continues);
    if continues {
        assert_eq!(returned, next);
    } else {
        assert_eq!(returned, "");
        assert_eq!(splitter.last_id(), last.as_deref());
    }
}

// All hosts together must stay within the budget of the fleet, and the budget must be available again when the window
// has passed.
#[test]
fn retries_stay_within_the_budget() {
    let settings = Settings {
        ratio: 0.2,
        slack: 90.0,
        window_ms: 10_000,
    };
    let pool = "desk".into();
    let mut budget = Budget::new(settings);
    let now = Time::from_ms(100_000);
    for _ in 0..100 {
        budget.record_request(now, &pool);
    }
    let retries = (0..200)
        .filter(|_| budget.take_retry(now, &pool, 9))
        .count();
    assert!(
        retries > 10 && retries <= 30,
        "{retries} retries allowed, expected 11 to 30 (100 x 0.2 + 90 / 9)"
    );
    let later = now.plus_ms(10_001);
    let retries = (0..200)
        .filter(|_| budget.take_retry(later, &pool, 9))
        .count();
    assert!(
        retries > 0 && retries <= 10,
        "{retries} retries allowed in the next window, expected 1 to 10 (90 / 9)"
    );
}

// A refusal must say that the request has not run and when to retry; a failure must not promise either.
#[tokio::test]
async fn refusals_have_a_verdict() {
    let refusal = Refusal::not_run("overload", 1_250, "busy").response();
    assert_eq!(refusal.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal.headers()["retry-after"], "1.250");
    let body = refusal
        .into_body()
        .collect()
        .await
        .expect("the body can be read")
        .to_bytes();
    let text = String::from_utf8_lossy(&body);
    assert!(
        text.contains("not-run") && text.contains("overload"),
        "{text}"
    );
    let failure = Refusal::may_have_run("timeout", StatusCode::GATEWAY_TIMEOUT, "late").response();
    assert!(!failure.headers().contains_key("retry-after"));
}

// Every counter must be documented, or operators cannot interpret it during an incident.
#[test]
fn documentation_lists_all_counters() {
    let page = include_str!("../../../docs/platform-counters.md");
    let names = counter::ALL
        .iter()
        .chain(&counter::LATENCIES)
        .chain(&primrose_fleet::counter::ALL);
    for name in names {
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} is missing in docs/platform-counters.md"
        );
    }
}

// An overloaded host must refuse the part of its requests that it cannot serve, and no more. A request waits several
// times to be scheduled, so even a small scheduling delay uses up an objective of 100 ms.
#[test]
fn overloaded_host_sheds_a_part_of_the_requests() {
    let shed_count = |delay_ms| {
        let overload = Detector::fixed(delay_ms);
        (0..100).filter(|_| overload.sheds_request()).count()
    };
    assert_eq!([shed_count(1), shed_count(7), shed_count(12)], [0, 50, 100]);
    assert!(!Detector::fixed(6).is_overloaded() && Detector::fixed(10).is_overloaded());
}

// An overloaded host must close a new connection without reading from it. Reading and refusing the request took
// processor time from requests that the host could have served.
#[tokio::test]
async fn overloaded_host_closes_connections_unread() {
    let (_phase, listener) = listen(Detector::fixed(50)).await;
    let mut stream = connect(&listener).await;
    assert_eq!(send_request(&mut stream).await, "");
    assert_eq!(listener.connections(), 0);
}

// During a flood of connections an overloaded host must not spend its time on closing them. It stops listening for a
// while and then listens again.
#[tokio::test]
async fn flood_closes_the_listener_temporarily() {
    let (_phase, listener) = listen(Detector::fixed(50)).await;
    let mut is_refused = false;
    for _ in 0..100 {
        let mut flood = JoinSet::new();
        for _ in 0..32 {
            flood.spawn(TcpStream::connect(listener.address));
        }
        let connected = flood.join_all().await;
        is_refused |= connected.iter().any(is_connection_refused);
        if is_refused {
            break;
        }
    }
    assert!(is_refused, "the host continues to accept connections");
    let mut stream = loop {
        match TcpStream::connect(listener.address).await {
            Ok(stream) => break stream,
            refused => assert!(is_connection_refused(&refused), "{refused:?}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert_eq!(send_request(&mut stream).await, "");
}

fn is_connection_refused(connected: &io::Result<TcpStream>) -> bool {
    let error = connected.as_ref().err();
    error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

// The first request of an accepted connection must not be refused for overload, because that was decided when the
// connection was accepted. When both were checked, the host refused half of the requests whose connections it had
// already accepted.
#[tokio::test]
async fn first_request_of_an_accepted_connection_is_not_shed() {
    let overload = Detector::fixed(7);
    let meter = Arc::new(Meter::new(&counter::ALL, &counter::LATENCIES));
    let shared = shared(overload.clone(), &meter).await;
    let (_phase, listener) = bind(overload, 100, move |request| {
        request::handle(Arc::clone(&shared), request)
    })
    .await;
    let mut heads = Vec::new();
    for _ in 0..40 {
        let mut stream = connect(&listener).await;
        heads.push(send_request(&mut stream).await);
    }
    let accepted = heads.iter().filter(|head| !head.is_empty()).count();
    assert_eq!(accepted, 20);
    // The requests are refused for another reason: there is no configuration yet.
    let counts = ["host_behind", "not_ready"].map(|name| meter.value(name));
    assert_eq!(counts, [0, 20]);
}

/// The shared state of a host that knows no other host.
async fn shared(overload: Detector, meter: &Arc<Meter>) -> Arc<Shared> {
    let log = Logger::root(slog::Discard, slog::o!());
    let (_, seeds) = watch::channel(Vec::new());
    let link = link::bind(link::Inputs {
        address: "127.0.0.1:0".parse().expect("the address is valid"),
        domain: "north".into(),
        capacity: 1,
        core_port: 1,
        seeds,
        key: Key::new(&[7; 32]).expect("the key is valid"),
        placer_settings: primrose_place::Settings::default(),
        meter: Arc::clone(meter),
        log: log.clone(),
    });
    let protocol = Protocol {
        read: |_| Err(Malformed("not understood".to_owned())),
        write: |_, _| {},
        classify: |_, _, _| Classification::Invalid,
        notice: |_, _| Notice::default(),
    };
    let budget = Budget::new(Settings {
        ratio: 0.2,
        slack: 10.0,
        window_ms: 10_000,
    });
    Arc::new(Shared::new(Inputs {
        link: link.await.expect("the address can be bound"),
        protocol,
        domain: "north".into(),
        budget,
        overload,
        request_memory: Memory::new(0),
        answer_memory: Memory::new(0),
        meter: Arc::clone(meter),
        log,
    }))
}

// Only the first request of a connection is exempt from load shedding.
#[tokio::test]
async fn only_the_first_request_of_a_connection_is_marked() {
    let (_phase, listener) = listen(Detector::default()).await;
    let mut stream = connect(&listener).await;
    assert!(send_request(&mut stream).await.contains("first: true"));
    assert!(send_request(&mut stream).await.contains("first: false"));
}

// Callers must not use up the file descriptors and memory of a host. Above half of the limit, answers close their
// connections, and beyond the limit a connection is closed unread.
#[tokio::test]
async fn connections_are_limited() {
    let (_phase, listener) = listen(Detector::default()).await;
    let mut open = Vec::new();
    let mut heads = Vec::new();
    for _ in 0..4 {
        let mut stream = connect(&listener).await;
        heads.push(send_request(&mut stream).await);
        open.push(stream);
    }
    assert!(!heads[0].contains("connection: close"), "{}", heads[0]);
    assert!(heads[2].contains("connection: close"), "{}", heads[2]);
    let others: Vec<TcpStream> = {
        let mut others = Vec::new();
        while listener.connections() < 4 {
            others.push(connect(&listener).await);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        others
    };
    let mut beyond = connect(&listener).await;
    assert_eq!(send_request(&mut beyond).await, "");
    drop(others);
}

/// Starts a listener for at most four connections, which serves until the returned sender is dropped.
async fn listen(overload: Detector) -> (watch::Sender<Phase>, listener::Handle) {
    bind(overload, 4, |request| async move {
        let is_first = request
            .extensions()
            .get::<listener::FirstRequest>()
            .is_some();
        let mut response = Response::new(Body::full("here"));
        let value = HeaderValue::from_static(if is_first { "true" } else { "false" });
        response.headers_mut().insert("first", value);
        response
    })
    .await
}

async fn bind<F, R>(
    overload: Detector,
    max_connections: usize,
    handle: F,
) -> (watch::Sender<Phase>, listener::Handle)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let limits = Limits {
        timeouts: Arc::new(|| Timeouts {
            idle_ms: 5_000,
            head_ms: 5_000,
        }),
        max_connections,
        overload,
        closings: None,
        readers: None,
    };
    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = listener::bind(address, limits, phase_receiver, handle);
    (phase, listener.await.expect("the address can be bound"))
}

async fn connect(listener: &listener::Handle) -> TcpStream {
    TcpStream::connect(listener.address)
        .await
        .expect("the listener accepts")
}

/// Sends a request and returns the answer in lower case; empty if the connection was closed unread.
async fn send_request(stream: &mut TcpStream) -> String {
    let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut bytes = Vec::new();
    if stream.write_all(request).await.is_ok() {
        while !bytes.ends_with(b"here") && !bytes.ends_with(b"}") {
            // A reset of the connection counts as a close here.
            if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                break;
            }
        }
    }
    String::from_utf8_lossy(&bytes).to_lowercase()
}
