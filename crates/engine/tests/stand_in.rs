//! Tests of the stand-in through its HTTP interface and of its program.

#![allow(clippy::unwrap_used, reason = "a step that fails also fails the test")]

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use primrose_engine::record::Progress;
use primrose_engine::{Faults, Handle, Kind, Settings, answer, batch, bind};
use serde_json::{Value, json};
use test_case::test_case;

/// Answer of the stand-in: status, `x-request-id`, body, and whether the body ended without an error.
struct Reply {
    status: StatusCode,
    id: String,
    text: String,
    complete: bool,
}

/// Settings without delays and lost events, so that tests run quickly.
fn fast_settings() -> Settings {
    Settings {
        step_base_ms: 0.1,
        step_sequence_ms: 0.0,
        prefill_ms: 0.0,
        cache_event_lag_ms: 0,
        cache_event_loss: 0.0,
        order_ms: 0,
        service_ms: 0,
        ..Settings::default()
    }
}

fn settings_with_faults(faults: Faults) -> Settings {
    Settings {
        faults,
        ..fast_settings()
    }
}

async fn call(
    handle: &Handle,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Reply {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let uri = format!("http://{}{path}", handle.address);
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(body)).unwrap();
    let (head, mut body) = client.request(request).await.unwrap().into_parts();
    let mut reply = Reply {
        status: head.status,
        id: head
            .headers
            .get("x-request-id")
            .map_or("", |id| id.to_str().unwrap())
            .to_owned(),
        text: String::new(),
        complete: true,
    };
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => reply.text += std::str::from_utf8(frame.data_ref().unwrap()).unwrap(),
            Err(_) => reply.complete = false,
        }
    }
    reply
}

async fn complete(handle: &Handle, nonce: &str, tokens: u32, stream: bool) -> Reply {
    let body = completion(&answer::format_nonce(nonce), tokens, stream);
    call(
        handle,
        "POST",
        "/v1/chat/completions",
        &[("x-request-id", nonce)],
        body,
    )
    .await
}

fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    let messages = [json!({"role": "user", "content": prompt})];
    json!({"model": "m", "messages": messages, "stand_in_tokens": tokens, "stream": stream})
        .to_string()
}

async fn post(handle: &Handle, path: &str, body: Value) -> Reply {
    call(handle, "POST", path, &[], body.to_string()).await
}

/// Returns the text of the answer in an event stream and the last JSON document of the stream.
fn parse_events(text: &str) -> (String, Value) {
    let mut content = String::new();
    let mut last = Value::Null;
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    for line in data.filter(|line| *line != "[DONE]") {
        last = serde_json::from_str(line).unwrap();
        content += last["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or("");
    }
    (content, last)
}

/// Guards against an answer that a client cannot distinguish from the answer to another request.
#[tokio::test]
async fn json_answer_belongs_to_its_request() {
    let handle = bind(fast_settings()).await.unwrap();
    let reply = complete(&handle, "a-1", 30, false).await;
    let body: Value = serde_json::from_str(&reply.text).unwrap();
    assert_eq!(
        body["choices"][0]["message"]["content"],
        answer::full_text("a-1", 30)
    );
    assert_eq!(body["usage"]["completion_tokens"], 30);
    assert_eq!(reply.id, "a-1");
    assert_ne!(answer::full_text("a-1", 30), answer::full_text("a-2", 30));
}

/// Guards against a stream without some of its tokens, the usage or the end marker.
#[test_case(1)]
#[test_case(7; "tokens that do not fill the last step")]
#[tokio::test]
async fn stream_is_complete(tokens_per_step: u32) {
    let settings = Settings {
        tokens_per_step,
        ..fast_settings()
    };
    let handle = bind(settings).await.unwrap();
    let reply = complete(&handle, "s-1", 30, true).await;
    let (content, last) = parse_events(&reply.text);
    assert_eq!(content, answer::full_text("s-1", 30));
    assert_eq!(last["usage"]["completion_tokens"], 30);
    assert!(reply.text.ends_with("data: [DONE]\n\n"), "{}", reply.text);
    assert!(reply.complete, "the body must end without an error");
}

/// Guards against a `cut` fault without effect, with which every test of broken answers would pass.
#[test_case(true)]
#[test_case(false)]
#[tokio::test]
async fn cut_answer_is_incomplete(stream: bool) {
    let handle = bind(settings_with_faults(Faults {
        cut: 1.0,
        ..Faults::default()
    }))
    .await
    .unwrap();
    for index in 0..20 {
        let reply = complete(&handle, &format!("c-{index}"), 30, stream).await;
        assert!(
            !reply.complete || (stream && !reply.text.contains("[DONE]")),
            "answer {index} is complete: {}",
            reply.text
        );
    }
}

/// Guards against a `swap` fault that does not change the request id or the text of the answer.
#[tokio::test]
async fn swapped_answer_belongs_to_the_previous_request() {
    let handle = bind(settings_with_faults(Faults {
        swap: 1.0,
        ..Faults::default()
    }))
    .await
    .unwrap();
    complete(&handle, "first", 5, true).await;
    let reply = complete(&handle, "second", 5, true).await;
    assert_eq!(reply.id, "first");
    assert_eq!(parse_events(&reply.text).0, answer::full_text("first", 5));
}

/// Guards against a `refuse` fault that cannot be turned off because the control address refuses connections too.
#[tokio::test]
async fn control_address_never_refuses() {
    let mut handle = bind(settings_with_faults(Faults {
        refuse: 1.0,
        ..Faults::default()
    }))
    .await
    .unwrap();
    let requests = handle.address;
    handle.address = handle.control;
    let reply = post(&handle, "/faults", json!({"refuse": 0.0})).await;
    assert_eq!(reply.status, StatusCode::OK);
    handle.address = requests;
    assert_eq!(
        complete(&handle, "n", 1, false).await.status,
        StatusCode::OK
    );
}

/// Guards against a simulated crash after which connections stay open or sequences continue.
#[tokio::test]
async fn disconnect_aborts_answers() {
    let handle = bind(fast_settings()).await.unwrap();
    let stream = complete(&handle, "d-1", 1_000_000, true);
    let disconnect = async {
        while handle
            .log()
            .executions
            .first()
            .is_none_or(|execution| execution.output_tokens == 0)
        {
            tokio::task::yield_now().await;
        }
        handle.disconnect();
    };
    let (reply, ()) = tokio::join!(stream, disconnect);
    assert!(!reply.complete, "the answer must be aborted");
    while handle.log().executions[0].progress != Progress::Cancelled {
        tokio::task::yield_now().await;
    }
}

/// Guards against a sequence that keeps its slot after its caller has disconnected.
#[tokio::test]
async fn caller_disconnect_cancels_the_sequence() {
    let handle = bind(fast_settings()).await.unwrap();
    let body = completion("nonce:gone", 1_000_000, true);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let uri = format!("http://{}/v1/chat/completions", handle.address);
    let request = Request::post(uri).body(Full::from(body)).unwrap();
    let mut answer = client.request(request).await.unwrap();
    answer.frame().await.unwrap().unwrap();
    drop((answer, client));
    while handle.log().executions[0].progress != Progress::Cancelled {
        tokio::task::yield_now().await;
    }
}

/// Guards against a resumed stream that repeats or skips tokens, or that the log counts as a second execution.
#[tokio::test]
async fn resume_continues_at_the_offset() {
    let handle = bind(fast_settings()).await.unwrap();
    complete(&handle, "r-1", 20, true).await;
    let reply = post(
        &handle,
        "/resume",
        json!({"request_id": "r-1", "offset": 12}),
    )
    .await;
    let (content, _) = parse_events(&reply.text);
    assert_eq!(
        answer::full_text("r-1", 12) + &content,
        answer::full_text("r-1", 20)
    );
    let log = handle.log();
    assert_eq!((log.requests[0].started, log.requests[0].completed), (1, 1));
    assert_eq!(log.executions[0].resumed, 1);
}

/// Guards against a cancellation after which the stream stays open or ends like a complete answer.
#[tokio::test]
async fn cancel_aborts_the_stream() {
    let handle = bind(fast_settings()).await.unwrap();
    let stream = complete(&handle, "x-1", 1_000_000, true);
    let cancel = async {
        while handle.log().executions.is_empty() {
            tokio::task::yield_now().await;
        }
        post(&handle, "/cancel", json!({"request_id": "x-1"})).await
    };
    let (reply, _) = tokio::join!(stream, cancel);
    assert!(!reply.complete, "the answer must be aborted");
}

/// Guards against a prefix cache that grows without limit or publishes no evictions.
#[tokio::test]
async fn cache_capacity_is_limited() {
    let settings = Settings {
        cache_prefixes: 2,
        ..fast_settings()
    };
    let handle = bind(settings).await.unwrap();
    for letter in ["a", "b", "a"] {
        let prompt = letter.repeat(2 * batch::PREFIX_BYTES);
        call(
            &handle,
            "POST",
            "/v1/chat/completions",
            &[],
            completion(&prompt, 1, false),
        )
        .await;
    }
    let reply = call(&handle, "GET", "/cache-events?since=2", &[], String::new()).await;
    let body: Value = serde_json::from_str(&reply.text).unwrap();
    let events: Vec<batch::Change> = serde_json::from_value(body["events"].clone()).unwrap();
    assert_eq!(events[0].number, 2);
    assert_eq!(events.iter().filter(|event| event.stored).count(), 4);
    assert_eq!(events.iter().filter(|event| !event.stored).count(), 4);
}

/// Guards against an engine that imports data under the hash of another prefix.
#[tokio::test]
async fn prefix_is_imported_only_with_its_own_data() {
    let handle = bind(fast_settings()).await.unwrap();
    complete(&handle, "kv", 1, false).await;
    let prefix = &batch::prefixes(&answer::format_nonce("kv"))[0];
    let reply = post(&handle, "/kv/export", json!(prefix)).await;
    let mut exported: Value = serde_json::from_str(&reply.text).unwrap();
    assert_eq!(
        post(&handle, "/kv/import", exported.clone()).await.status,
        StatusCode::OK
    );
    exported["prefix"]["hash"] = json!("0000000000000000");
    assert_eq!(
        post(&handle, "/kv/import", exported).await.status,
        StatusCode::BAD_REQUEST
    );
}

/// Guards against an engine that ignores its `check_fencing` setting.
#[test_case(true, StatusCode::CONFLICT)]
#[test_case(false, StatusCode::OK)]
#[tokio::test]
async fn low_fencing_number_is_refused_if_checked(check_fencing: bool, expected: StatusCode) {
    let settings = Settings {
        check_fencing,
        ..fast_settings()
    };
    let handle = bind(settings).await.unwrap();
    let order = |fencing: u64| json!({"fencing": fencing, "kind": "load-model", "value": "m"});
    assert_eq!(
        post(&handle, "/orders", order(7)).await.status,
        StatusCode::OK
    );
    assert_eq!(post(&handle, "/orders", order(6)).await.status, expected);
    assert_eq!(handle.log().orders[1].accepted, !check_fencing);
}

/// Guards against an execution log that does not show that a call ran twice.
#[tokio::test]
async fn plain_calls_are_counted_by_key() {
    let settings = Settings {
        kind: Kind::Plain,
        ..fast_settings()
    };
    let handle = bind(settings).await.unwrap();
    for id in ["one", "two"] {
        let headers = [("idempotency-key", "k"), ("x-request-id", id)];
        let reply = call(
            &handle,
            "PUT",
            "/payouts/nonce:p-1",
            &headers,
            String::new(),
        )
        .await;
        let body: Value = serde_json::from_str(&reply.text).unwrap();
        assert_eq!(
            (body["nonce"].as_str(), reply.id.as_str()),
            (Some("p-1"), id)
        );
    }
    let log = handle.log();
    assert_eq!((log.keys[0].started, log.keys[0].completed), (2, 2));
    assert_eq!(log.requests.len(), 2);
}

/// Guards against a program that does not print its address or ignores SIGTERM.
#[test_case("model")]
#[test_case("plain")]
fn program_ends_on_sigterm(kind: &str) {
    let program = env!("CARGO_BIN_EXE_primrose-stand-in");
    let mut child = Command::new(program)
        .arg(kind)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    assert!(line.starts_with("address=127.0.0.1:"), "{line:?}");
    let kill = Command::new("kill")
        .arg(child.id().to_string())
        .status()
        .unwrap();
    assert!(kill.success());
    assert!(child.wait().unwrap().success());
}
