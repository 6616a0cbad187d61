//! HTTP client: sends one attempt of a call, reads the answer and verifies it.

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

/// HTTP client that pools its connections to all targets.
pub type Pool = Client<HttpConnector, Full<Bytes>>;

/// Creates a connection pool that never resends a request by itself.
pub fn pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Timeout for reading a document from a stand-in, in s.
const READ_TIMEOUT_S: u64 = 20;

/// Reads a JSON document with a GET request.
///
/// # Errors
///
/// Returns an error if the address does not answer within `READ_TIMEOUT_S`, or not with a JSON document of type `T`.
pub async fn get<T: DeserializeOwned>(pool: &Pool, address: SocketAddr, path: &str) -> Result<T> {
    let url = format!("http://{address}{path}");
    let context = || format!("{url} cannot be read");
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
        .wrap_err_with(context)
}

/// The part of an answer received so far. It stays readable if the attempt is cancelled.
#[derive(Debug, Default)]
pub struct Received {
    /// HTTP status; 0 until the response headers have arrived.
    pub status: u16,
    /// The `x-request-id` header.
    pub request_id: Option<String>,
    /// Error code from the body of an error answer.
    pub code: Option<String>,
    /// Verdict from the `x-primrose-verdict` header of an error answer.
    pub verdict: Option<Verdict>,
    /// Whether the header and the body carry different verdicts.
    pub contradiction: bool,
    /// Time at which the first token arrived.
    pub first_token: Option<Instant>,
    /// Time at which the last token so far arrived.
    pub last_token: Option<Instant>,
    /// Times between consecutive events with tokens, in µs.
    pub gaps_us: Vec<u64>,
    /// Number of output tokens.
    pub tokens: u32,
    /// Text of the answer.
    content: String,
    /// Whether the end marker of the stream has arrived.
    done: bool,
    /// Number of output tokens according to the answer.
    usage: Option<u32>,
    /// Whether the stream contained something that does not follow the protocol.
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

/// Answer of the plain service; only the field that is checked.
#[derive(Deserialize)]
struct Echo {
    nonce: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Detail,
}

#[derive(Deserialize)]
struct Detail {
    code: String,
    verdict: Option<Verdict>,
}

/// Sends `call` to `target` and reads the answer into `received`.
///
/// `progress` is called for each event with text, with the number of tokens in it. A JSON answer counts as one event.
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
        Err(error) => return error_outcome(&error),
    };
    received.read_head(&response);
    let mut body = response.into_body();
    if received.status >= 300 {
        return received.read_error(body).await;
    }
    if call.kind == Kind::Stream {
        let ended = received.read_events(&mut body, progress).await;
        return received.classify_stream(call, ended);
    }
    match body.collect().await {
        Ok(body) => received.classify_document(call, &body.to_bytes(), progress),
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

/// Returns the outcome of an attempt that failed before the response headers arrived.
fn error_outcome(error: &Error) -> Outcome {
    if error.is_connect() {
        Outcome::Unreachable
    } else {
        Outcome::Broken
    }
}

/// Returns the value of a header, or `None` if it is missing or not visible ASCII.
fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

impl Received {
    fn read_head(&mut self, response: &Response<Incoming>) {
        self.status = response.status().as_u16();
        self.request_id = header(response.headers(), "x-request-id");
        let verdict = header(response.headers(), "x-primrose-verdict");
        // An unknown verdict counts as none, so that it contradicts a verdict in the body.
        self.verdict = verdict.and_then(|text| serde_json::from_value(text.into()).ok());
    }

    async fn read_error(&mut self, body: Incoming) -> Outcome {
        let Ok(body) = body.collect().await else {
            return Outcome::Broken;
        };
        if let Ok(answer) = serde_json::from_slice::<ErrorBody>(&body.to_bytes()) {
            self.contradiction = answer.error.verdict != self.verdict;
            self.code = Some(answer.error.code);
        }
        Outcome::Refused
    }

    /// Reads an event stream and returns whether its body ended without an error.
    async fn read_events(&mut self, body: &mut Incoming, progress: &impl Fn(u32)) -> bool {
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            if let Some(data) = frame.data_ref() {
                buffer.extend_from_slice(data);
                self.parse_lines(&mut buffer, progress);
            }
        }
        self.malformed |= !buffer.is_empty() && !self.done;
        true
    }

    /// Parses the complete lines in `buffer` and removes them from it.
    fn parse_lines(&mut self, buffer: &mut Vec<u8>, progress: &impl Fn(u32)) {
        let mut parsed = 0;
        while let Some(length) = buffer[parsed..].iter().position(|byte| *byte == b'\n') {
            let line = buffer[parsed..parsed + length].trim_ascii_end();
            parsed += length + 1;
            if let Some(data) = line.strip_prefix(b"data:") {
                self.parse_event(data.trim_ascii_start(), progress);
            }
        }
        buffer.drain(..parsed);
    }

    fn parse_event(&mut self, data: &[u8], progress: &impl Fn(u32)) {
        // No event may follow the end marker.
        self.malformed |= self.done;
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        match serde_json::from_slice::<Chunk<'_>>(data) {
            Ok(chunk) => self.record_chunk(&chunk, progress),
            Err(_) => self.malformed = true,
        }
    }

    /// Records the usage, the text and the arrival time of a chunk.
    fn record_chunk(&mut self, chunk: &Chunk<'_>, progress: &impl Fn(u32)) {
        if let Some(usage) = &chunk.usage {
            self.usage = Some(usage.completion_tokens);
        }
        let choice = chunk.choices.first();
        let content = choice.and_then(|choice| choice.delta.content.as_deref());
        let Some(content) = content.filter(|content| !content.is_empty()) else {
            return;
        };
        let now = Instant::now();
        if let Some(last) = self.last_token.replace(now) {
            self.gaps_us.push((now - last).as_micros() as u64);
        }
        self.first_token.get_or_insert(now);
        self.content.push_str(content);
        let tokens = (self.content.len() / TOKEN_BYTES) as u32;
        progress(tokens - self.tokens);
        self.tokens = tokens;
    }

    /// Classifies an event stream. `ended` says whether its body ended without an error.
    fn classify_stream(&self, call: &Call, ended: bool) -> Outcome {
        let expected = answer::full_text(&call.nonce, call.output);
        // Text of another answer counts even if the stream broke afterwards, because the caller has received it.
        if self.malformed || !expected.starts_with(&self.content) {
            return Outcome::Foreign;
        }
        if !ended {
            return Outcome::Broken;
        }
        if self.done && self.content == expected && self.usage == Some(call.output) {
            Outcome::Complete
        } else {
            Outcome::Truncated
        }
    }

    /// Classifies a JSON answer, whose tokens all arrive at once.
    fn classify_document(&mut self, call: &Call, body: &[u8], progress: &impl Fn(u32)) -> Outcome {
        let now = Instant::now();
        self.first_token = Some(now);
        self.last_token = Some(now);
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
        self.record_chunk(&chunk, progress);
        self.done = true;
        self.classify_stream(call, true)
    }
}

/// Length of one token in the text of an answer, in bytes.
const TOKEN_BYTES: usize = 5;
