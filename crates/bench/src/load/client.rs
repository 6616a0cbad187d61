//! One attempt of a call: sends it, reads the answer and verifies it.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use miette::{IntoDiagnostic, Result, WrapErr};
use primrose_base::verdict::Verdict;
use primrose_engine::answer;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::history::{Kind, Outcome};
use super::workload::Call;

/// Connections to all targets.
pub type Pool = Client<HttpConnector, Full<Bytes>>;

/// Opens a pool of connections that never sends a request twice.
pub fn pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Time after which a stand-in counts as not readable, in s.
const READ_TIMEOUT_S: u64 = 20;

/// Reads a JSON document.
///
/// # Errors
///
/// Returns an error if the address does not answer with such a document in time.
pub async fn get<T: DeserializeOwned>(pool: &Pool, address: SocketAddr, path: &str) -> Result<T> {
    let url = format!("http://{address}{path}");
    let what = || format!("{url} cannot be read");
    let request = Request::get(&url).body(Full::default()).into_diagnostic()?;
    let read = async {
        let response = pool.request(request).await.into_diagnostic()?;
        let body = response.into_body().collect().await.into_diagnostic()?;
        serde_json::from_slice(&body.to_bytes()).into_diagnostic()
    };
    tokio::time::timeout(Duration::from_secs(READ_TIMEOUT_S), read)
        .await
        .into_diagnostic()
        .and_then(|result| result)
        .wrap_err_with(what)
}

/// What has arrived of an answer; it stays readable when the attempt is given up.
#[derive(Debug, Default)]
pub struct Received {
    /// HTTP status, 0 before the head.
    pub status: u16,
    /// The `x-request-id`.
    pub request_id: Option<String>,
    /// Code of the error.
    pub code: Option<String>,
    /// Verdict of the error.
    pub verdict: Option<Verdict>,
    /// Whether header and body carry different verdicts.
    pub contradiction: bool,
    /// When the first token arrived.
    pub first: Option<Instant>,
    /// When the last token arrived.
    pub last: Option<Instant>,
    /// Time between two events with tokens, in µs.
    pub gaps_us: Vec<u64>,
    /// Output tokens.
    pub tokens: u32,
    content: String,
    done: bool,
    usage: Option<u32>,
    malformed: bool,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, alias = "message")]
    delta: Delta<'a>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u32,
}

#[derive(Deserialize)]
struct Echo {
    nonce: String,
}

#[derive(Deserialize)]
struct Failure {
    error: Detail,
}

#[derive(Deserialize)]
struct Detail {
    code: String,
    verdict: Option<Verdict>,
}

/// Sends `call` to `target` and reads the answer into `received`. `progress` is told the tokens that arrive.
pub async fn exchange(
    pool: &Pool,
    target: SocketAddr,
    key: &str,
    call: &Call,
    received: &mut Received,
    progress: &impl Fn(u32),
) -> Outcome {
    let Ok(request) = request(target, key, call) else {
        return Outcome::Unreachable;
    };
    let response = match pool.request(request).await {
        Ok(response) => response,
        Err(error) => return lost(&error),
    };
    received.head(&response);
    let mut body = response.into_body();
    if received.status >= 300 {
        return received.read_failure(body).await;
    }
    if call.kind == Kind::Stream {
        let whole = received.read_events(&mut body, progress).await;
        return received.judge_events(call, whole);
    }
    match body.collect().await {
        Ok(body) => received.judge_document(call, &body.to_bytes(), progress),
        Err(_) => Outcome::Broken,
    }
}

fn request(
    target: SocketAddr,
    key: &str,
    call: &Call,
) -> hyper::http::Result<Request<Full<Bytes>>> {
    let mut builder = Request::post(format!("http://{target}{}", call.path))
        .header(CONTENT_TYPE, "application/json")
        .header(AUTHORIZATION, format!("Bearer {key}"));
    if call.non_idempotent {
        builder = builder.header("x-primrose-non-idempotent", "true");
    }
    if let Some(key) = &call.key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::new(call.body.clone()))
}

fn lost(error: &Error) -> Outcome {
    if error.is_connect() {
        Outcome::Unreachable
    } else {
        Outcome::Broken
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

impl Received {
    fn head(&mut self, response: &Response<Incoming>) {
        self.status = response.status().as_u16();
        self.request_id = header(response.headers(), "x-request-id");
        let verdict = header(response.headers(), "x-primrose-verdict");
        // A text that is no verdict counts as none and then contradicts the body.
        self.verdict = verdict.and_then(|text| serde_json::from_value(text.into()).ok());
    }

    async fn read_failure(&mut self, body: Incoming) -> Outcome {
        let Ok(body) = body.collect().await else {
            return Outcome::Broken;
        };
        if let Ok(failure) = serde_json::from_slice::<Failure>(&body.to_bytes()) {
            self.contradiction = failure.error.verdict != self.verdict;
            self.code = Some(failure.error.code);
        }
        Outcome::Refused
    }

    /// Reads an event stream and returns whether it ended properly.
    async fn read_events(&mut self, body: &mut Incoming, progress: &impl Fn(u32)) -> bool {
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            if let Some(data) = frame.data_ref() {
                buffer.extend_from_slice(data);
                self.take_lines(&mut buffer, progress);
            }
        }
        self.malformed |= !buffer.is_empty() && !self.done;
        true
    }

    fn take_lines(&mut self, buffer: &mut Vec<u8>, progress: &impl Fn(u32)) {
        let mut taken = 0;
        while let Some(length) = buffer[taken..].iter().position(|byte| *byte == b'\n') {
            let line = buffer[taken..taken + length].trim_ascii_end();
            taken += length + 1;
            if let Some(data) = line.strip_prefix(b"data:") {
                self.take_event(data.trim_ascii_start(), progress);
            }
        }
        buffer.drain(..taken);
    }

    fn take_event(&mut self, data: &[u8], progress: &impl Fn(u32)) {
        // Nothing may follow the end mark.
        self.malformed |= self.done;
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        match serde_json::from_slice::<Chunk<'_>>(data) {
            Ok(chunk) => self.take_chunk(&chunk, progress),
            Err(_) => self.malformed = true,
        }
    }

    fn take_chunk(&mut self, chunk: &Chunk<'_>, progress: &impl Fn(u32)) {
        if let Some(usage) = &chunk.usage {
            self.usage = Some(usage.completion_tokens);
        }
        let choice = chunk.choices.first();
        let content = choice.and_then(|choice| choice.delta.content.as_deref());
        let Some(content) = content.filter(|content| !content.is_empty()) else {
            return;
        };
        let now = Instant::now();
        if let Some(last) = self.last.replace(now) {
            self.gaps_us.push((now - last).as_micros() as u64);
        }
        self.first.get_or_insert(now);
        self.content.push_str(content);
        let tokens = (self.content.len() / TOKEN_BYTES) as u32;
        progress(tokens - self.tokens);
        self.tokens = tokens;
    }

    /// Judges an event stream; `whole` says whether the body ended properly.
    fn judge_events(&self, call: &Call, whole: bool) -> Outcome {
        let expected = answer::full_text(&call.nonce, call.output);
        // Foreign text counts even in a stream that broke, because it has reached the caller.
        if self.malformed || !expected.starts_with(&self.content) {
            return Outcome::Foreign;
        }
        if !whole {
            return Outcome::Broken;
        }
        if self.done && self.content == expected && self.usage == Some(call.output) {
            Outcome::Complete
        } else {
            Outcome::Truncated
        }
    }

    fn judge_document(&mut self, call: &Call, body: &[u8], progress: &impl Fn(u32)) -> Outcome {
        let now = Instant::now();
        self.first = Some(now);
        self.last = Some(now);
        if call.kind == Kind::Plain {
            return match serde_json::from_slice::<Echo>(body) {
                Ok(echo) if echo.nonce == call.nonce => Outcome::Complete,
                Ok(_) => Outcome::Foreign,
                Err(_) => Outcome::Truncated,
            };
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(body) else {
            return Outcome::Truncated;
        };
        self.take_chunk(&chunk, progress);
        self.done = true;
        self.judge_events(call, true)
    }
}

/// Length of a token in the text of an answer.
const TOKEN_BYTES: usize = 5;
