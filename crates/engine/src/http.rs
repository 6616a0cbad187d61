//! HTTP/1.1 interface of the stand-in.

use std::convert::Infallible;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::batch::{Engine, Event, Load, Prefix, Sequence, lock};
use crate::record::{Execution, Log, Order, Progress};
use crate::{Faults, Kind, Settings, answer, batch};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Pause after a failed accept, in ms; the usual cause is too many open files.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// Range of the output length drawn for a request that sets none, in tokens.
const RANDOM_OUTPUT_TOKENS: std::ops::RangeInclusive<u32> = 16..=512;

type Body = UnsyncBoxBody<Bytes, io::Error>;
type Answer = Response<Body>;

/// The stand-in behind both addresses; all connections share it.
#[derive(Debug)]
pub(crate) struct Service {
    settings: Settings,
    engine: Engine,
    injector: Mutex<Injector>,
    /// Orders in order of arrival.
    orders: Mutex<Vec<Order>>,
    /// Number of times that all connections on the request address were closed.
    disconnects: watch::Sender<u64>,
}

/// Draws the faults of each request, and output lengths, from one seeded random number generator.
#[derive(Debug)]
struct Injector {
    random: StdRng,
    faults: Faults,
    /// Identity of the request that arrived last, for swapped answers.
    previous: Identity,
}

/// Request id and nonce, by which a client recognises the answer to its request.
#[derive(Clone, Debug)]
struct Identity {
    request_id: String,
    nonce: String,
}

/// Faults drawn for one answer.
#[derive(Debug)]
struct Plan {
    /// Identity whose request id and text the answer carries; that of the previous request if the answer is swapped.
    identity: Identity,
    /// Point at which the answer is cut, as a fraction of its length.
    cut: Option<f64>,
    /// Whether a cut stream ends like a complete HTTP body, just without `[DONE]`; otherwise it is aborted.
    clean_end: bool,
    /// Point at which the answer pauses, as a fraction of its length.
    stall: Option<f64>,
    /// Duration of the pause, in ms.
    stall_ms: u64,
}

/// Body of a chat completion request.
#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    /// Exact output length, in tokens; takes precedence over `max_tokens`.
    stand_in_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: Content,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
struct Cancellation {
    request_id: String,
}

#[derive(Debug, Deserialize)]
struct Resumption {
    request_id: String,
    /// Number of output tokens that the caller has already received.
    offset: u32,
}

/// A cached prefix that is transferred from one engine to another.
#[derive(Debug, Serialize, Deserialize)]
struct Transfer {
    prefix: Prefix,
    /// Placeholder for the key and value tensors.
    data: String,
}

/// Answer to a model request whose tokens are still arriving from the step loop.
struct Delivery {
    receiver: mpsc::UnboundedReceiver<Event>,
    plan: Plan,
    model: String,
    prompt_tokens: u32,
    /// Number of output tokens sent so far, including those that a resumed stream skips.
    sent: u32,
    /// Number of output tokens of the complete answer.
    total: u32,
}

impl Service {
    pub(crate) fn new(settings: Settings, engine: Engine) -> Service {
        let injector = Injector {
            random: StdRng::seed_from_u64(settings.seed),
            faults: settings.faults,
            previous: Identity {
                request_id: "no-request".to_owned(),
                nonce: String::new(),
            },
        };
        Service {
            settings,
            engine,
            injector: Mutex::new(injector),
            orders: Mutex::default(),
            disconnects: watch::Sender::new(0),
        }
    }

    pub(crate) fn log(&self) -> Log {
        let executions = self.engine.with_executions(|executions| executions.clone());
        Log::new(executions, lock(&self.orders).clone())
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        lock(&self.injector).faults = faults;
    }

    /// Closes all connections on the request address; those on the control address stay open.
    pub(crate) fn disconnect(&self) {
        self.disconnects.send_modify(|count| *count += 1);
    }

    /// Draws whether the next connection is refused.
    fn draw_refusal(&self) -> bool {
        let mut injector = lock(&self.injector);
        let probability = injector.faults.refuse;
        injector.draw(probability)
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        // The whole body is read first, so that a request that arrives only in part is not logged as an execution.
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return failure(
                StatusCode::BAD_REQUEST,
                "body",
                "the body could not be read",
            );
        };
        let body = body.to_bytes();
        let path = head.uri.path();
        match (&head.method, path) {
            (&Method::GET, "/healthz") => reply(&json!({"ok": true})),
            (&Method::GET, "/log") => reply(&self.log()),
            (&Method::GET, "/faults") => reply(&lock(&self.injector).faults),
            (&Method::POST, "/faults") => self.change_faults(&body),
            (&Method::POST, "/disconnect") => {
                self.disconnect();
                reply(&json!({"disconnected": true}))
            }
            _ if self.settings.kind == Kind::Plain => self.call_plain(&head, &body).await,
            (&Method::POST, "/v1/chat/completions") => {
                self.complete_chat(&head.headers, &body).await
            }
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::GET, "/load") => reply(&self.load()),
            (&Method::GET, "/cache-events") => self.cache_events(head.uri.query()),
            (&Method::POST, "/kv/export") => parse_then(&body, |prefix| self.export(prefix)),
            (&Method::POST, "/kv/import") => parse_then(&body, |transfer| self.import(&transfer)),
            (&Method::POST, "/cancel") => {
                parse_then(&body, |cancellation| self.cancel(&cancellation))
            }
            (&Method::POST, "/resume") => parse_then(&body, |resumption| self.resume(&resumption)),
            (&Method::POST, "/orders") => self.receive_order(&body).await,
            _ => failure(StatusCode::NOT_FOUND, "not_found", "no such path"),
        }
    }

    /// Replaces the faults that `body` names and keeps the others.
    fn change_faults(&self, body: &[u8]) -> Answer {
        let mut injector = lock(&self.injector);
        let merged = serde_json::to_value(injector.faults).and_then(|mut merged| {
            let changes: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
            if let Some(object) = merged.as_object_mut() {
                object.extend(changes);
            }
            serde_json::from_value(merged)
        });
        match merged {
            Ok(faults) => {
                injector.faults = faults;
                reply(&faults)
            }
            Err(error) => failure(StatusCode::BAD_REQUEST, "faults", &error.to_string()),
        }
    }

    /// Answers a call to the plain service.
    async fn call_plain(&self, head: &hyper::http::request::Parts, body: &[u8]) -> Answer {
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let text = String::from_utf8_lossy(body);
        let nonce = answer::find_nonce(target).or_else(|| answer::find_nonce(&text));
        let execution = new_execution(&head.headers, nonce.unwrap_or_default(), 0, 0);
        let plan = self.draw_plan(&execution);
        let index = self.engine.record_start(execution);
        // Like a payout or a booking, a call runs to its end even if its caller disconnects.
        let engine = self.engine.clone();
        let service_ms = self.settings.service_ms;
        let run = tokio::spawn(async move {
            sleep_ms(service_ms).await;
            engine.with_executions(|executions| executions[index].progress = Progress::Completed);
        });
        // The task does not panic and nothing aborts it, so there is no error to handle.
        let _ = run.await;
        if plan.stall.is_some() {
            sleep_ms(plan.stall_ms).await;
        }
        let Identity { request_id, nonce } = &plan.identity;
        let echo = json!({"nonce": nonce, "method": head.method.as_str(), "path": target});
        with_request_id(document(echo.to_string(), plan.cut), request_id)
    }

    async fn complete_chat(&self, headers: &HeaderMap, body: &[u8]) -> Answer {
        let request: Completion = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return failure(StatusCode::BAD_REQUEST, "body", &error.to_string()),
        };
        let prompt = request.prompt();
        let tokens = request.stand_in_tokens.or(request.max_tokens);
        let total = tokens.unwrap_or_else(|| self.random_output_tokens()).max(1);
        let nonce = answer::find_nonce(&prompt).unwrap_or_default();
        let execution = new_execution(headers, nonce, answer::count_tokens(&prompt), total);
        let plan = self.draw_plan(&execution);
        let id = plan.identity.request_id.clone();
        let prefixes = batch::prefixes(&prompt);
        let delivery = self.submit(execution, prefixes, plan, request.model);
        let answer = if request.stream {
            event_stream(delivery)
        } else {
            delivery.into_document().await
        };
        with_request_id(answer, &id)
    }

    /// Records the execution and queues its sequence.
    fn submit(
        &self,
        execution: Execution,
        prefixes: Vec<Prefix>,
        plan: Plan,
        model: String,
    ) -> Delivery {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (prompt_tokens, total) = (execution.prompt_tokens, execution.requested_tokens);
        let request_id = execution.request_id.clone();
        let sequence = Sequence {
            execution: self.engine.record_start(execution),
            request_id,
            prefixes,
            prompt_tokens,
            remaining_output: total,
            sender,
        };
        self.engine.submit(sequence);
        Delivery {
            receiver,
            plan,
            model,
            prompt_tokens,
            sent: 0,
            total,
        }
    }

    /// Draws the faults of the answer for `execution`.
    fn draw_plan(&self, execution: &Execution) -> Plan {
        let mut injector = lock(&self.injector);
        let faults = injector.faults;
        let own = Identity {
            request_id: execution.request_id.clone(),
            nonce: execution.nonce.clone(),
        };
        let previous = std::mem::replace(&mut injector.previous, own.clone());
        let swapped = injector.draw(faults.swap);
        Plan {
            identity: if swapped { previous } else { own },
            cut: injector.draw_position(faults.cut),
            clean_end: injector.draw(0.5),
            stall: injector.draw_position(faults.stall),
            stall_ms: faults.stall_ms,
        }
    }

    fn random_output_tokens(&self) -> u32 {
        lock(&self.injector)
            .random
            .random_range(RANDOM_OUTPUT_TOKENS)
    }

    /// Returns the load as of `load_lag_ms` ago; before that time, an idle engine.
    fn load(&self) -> Load {
        let load = self.engine.load(self.settings.load_lag_ms);
        load.unwrap_or(Load {
            slots: self.settings.slots,
            ..Load::default()
        })
    }

    /// Lists what the accepted load orders named.
    fn models(&self) -> Answer {
        let orders = lock(&self.orders);
        let loaded = orders
            .iter()
            .filter(|order| order.accepted && order.kind.starts_with("load-"));
        let models: Vec<_> = loaded
            .map(|order| json!({"id": order.value, "object": "model"}))
            .collect();
        reply(&json!({"object": "list", "data": models}))
    }

    fn cache_events(&self, query: Option<&str>) -> Answer {
        let since = query.and_then(|query| query.strip_prefix("since="));
        let since = since.map_or(Ok(0), str::parse);
        match since {
            Ok(since) => {
                let lag_ms = self.settings.cache_event_lag_ms;
                reply(&json!({"events": self.engine.cache_events(since, lag_ms)}))
            }
            Err(_) => failure(StatusCode::BAD_REQUEST, "since", "since is not a number"),
        }
    }

    fn export(&self, prefix: Prefix) -> Answer {
        if !self.engine.is_cached(&prefix) {
            return failure(
                StatusCode::NOT_FOUND,
                "not_cached",
                "the prefix is not cached",
            );
        }
        let data = tensor_data(&prefix);
        reply(&Transfer { prefix, data })
    }

    fn import(&self, transfer: &Transfer) -> Answer {
        if transfer.data != tensor_data(&transfer.prefix) {
            return failure(
                StatusCode::BAD_REQUEST,
                "data",
                "the data belong to another prefix",
            );
        }
        self.engine.import(&transfer.prefix);
        reply(&json!({"imported": true}))
    }

    fn cancel(&self, cancellation: &Cancellation) -> Answer {
        self.engine.cancel(&cancellation.request_id);
        reply(&json!({"accepted": true}))
    }

    /// Continues the newest execution with this request id from an offset. The log counts it as the same execution.
    fn resume(&self, resumption: &Resumption) -> Answer {
        let found = self.engine.with_executions(|executions| {
            let mut newest = executions.iter().enumerate().rev();
            let (index, _) =
                newest.find(|(_, execution)| execution.request_id == resumption.request_id)?;
            let execution = &mut executions[index];
            if resumption.offset >= execution.requested_tokens {
                return None;
            }
            execution.resumed += 1;
            execution.progress = Progress::Started;
            execution.output_tokens = resumption.offset;
            Some((index, execution.clone()))
        });
        let Some((index, execution)) = found else {
            return failure(StatusCode::NOT_FOUND, "not_found", "nothing to resume");
        };
        // An execution has at most one running sequence.
        self.engine.cancel(&execution.request_id);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.engine.submit(Sequence {
            execution: index,
            request_id: execution.request_id.clone(),
            prefixes: Vec::new(),
            prompt_tokens: 0,
            remaining_output: execution.requested_tokens - resumption.offset,
            sender,
        });
        let delivery = Delivery {
            receiver,
            plan: self.draw_plan(&execution),
            model: String::new(),
            prompt_tokens: execution.prompt_tokens,
            sent: resumption.offset,
            total: execution.requested_tokens,
        };
        let id = delivery.plan.identity.request_id.clone();
        with_request_id(event_stream(delivery), &id)
    }

    /// Records an order, refuses it if its fencing number is too low, and otherwise completes it.
    async fn receive_order(&self, body: &[u8]) -> Answer {
        let mut order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return failure(StatusCode::BAD_REQUEST, "order", &error.to_string()),
        };
        let highest = {
            let mut orders = lock(&self.orders);
            let highest = orders.iter().map(|order| order.fencing).max().unwrap_or(0);
            order.accepted = !self.settings.check_fencing || order.fencing >= highest;
            orders.push(order.clone());
            highest
        };
        if !order.accepted {
            let message = format!("fencing number {} is below {highest}", order.fencing);
            return failure(StatusCode::CONFLICT, "stale_fencing", &message);
        }
        sleep_ms(self.settings.order_ms).await;
        reply(&order)
    }
}

impl Injector {
    /// Returns true with the given probability.
    fn draw(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability.clamp(0.0, 1.0))
    }

    /// With the given probability, returns a uniformly random point in the answer, as a fraction of its length.
    fn draw_position(&mut self, probability: f64) -> Option<f64> {
        let position = self.random.random_range(0.0..1.0);
        self.draw(probability).then_some(position)
    }
}

impl Completion {
    /// Concatenates the texts of all messages.
    fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            match &message.content {
                Content::Text(text) => prompt.push_str(text),
                Content::Parts(parts) => parts.iter().for_each(|part| prompt.push_str(&part.text)),
            }
        }
        prompt
    }
}

impl Plan {
    /// Converts a point in the answer from a fraction of its length to a number of tokens.
    fn to_tokens(position: Option<f64>, total: u32) -> Option<u32> {
        position.map(|position| (position * f64::from(total)) as u32)
    }
}

impl Delivery {
    /// Waits for the last token and answers with one JSON document.
    async fn into_document(mut self) -> Answer {
        loop {
            match self.receiver.recv().await {
                Some(Event::Tokens(_)) => {}
                Some(Event::Done) => break,
                None => {
                    return failure(
                        StatusCode::CONFLICT,
                        "cancelled",
                        "the request was cancelled",
                    );
                }
            }
        }
        if self.plan.stall.is_some() {
            sleep_ms(self.plan.stall_ms).await;
        }
        let Identity { request_id, nonce } = &self.plan.identity;
        let message = json!({"role": "assistant", "content": answer::full_text(nonce, self.total)});
        let completion = json!({
            "id": request_id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self.usage(),
        });
        document(completion.to_string(), self.plan.cut)
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total,
            "total_tokens": u64::from(self.prompt_tokens) + u64::from(self.total),
        })
    }

    /// Returns the next part of the event stream, `None` to end the body, or an error to abort the connection.
    async fn next_part(&mut self) -> Option<io::Result<Bytes>> {
        let event = self.receiver.recv().await;
        if Plan::to_tokens(self.plan.cut, self.total).is_some_and(|tokens| self.sent >= tokens) {
            // The step loop cancels the sequence because its receiver is closed.
            self.receiver.close();
            if self.plan.clean_end {
                return None;
            }
            yield_to_connection().await;
            return Some(Err(aborted()));
        }
        if Plan::to_tokens(self.plan.stall, self.total).is_some_and(|tokens| self.sent >= tokens) {
            self.plan.stall = None;
            sleep_ms(self.plan.stall_ms).await;
        }
        Some(match event {
            Some(Event::Tokens(count)) => Ok(self.token_event(count)),
            Some(Event::Done) => Ok(self.final_events()),
            None => Err(aborted()),
        })
    }

    /// Formats the next `count` tokens as an event.
    fn token_event(&mut self, count: u32) -> Bytes {
        let mut content = String::new();
        answer::append_tokens(
            &mut content,
            &self.plan.identity.nonce,
            self.sent,
            self.sent + count,
        );
        self.sent += count;
        // The text consists of spaces and hexadecimal digits and needs no escaping; the id and the model may need it.
        let id = json!(self.plan.identity.request_id);
        let model = json!(self.model);
        Bytes::from(format!(
            "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"model\":{model},\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":null}}]}}\n\n"
        ))
    }

    /// Formats the last event, with the usage, and the end marker.
    fn final_events(&self) -> Bytes {
        let chunk = json!({
            "id": self.plan.identity.request_id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": self.usage(),
        });
        Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
    }
}

/// Accepts connections until the task is aborted, which also closes all of them.
pub(crate) async fn accept(listener: TcpListener, service: Arc<Service>, can_refuse: bool) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            sleep_ms(ACCEPT_RETRY_DELAY_MS).await;
            continue;
        };
        if can_refuse && service.draw_refusal() {
            continue;
        }
        connections.spawn(serve(stream, Arc::clone(&service), can_refuse));
    }
}

async fn serve(stream: TcpStream, service: Arc<Service>, can_disconnect: bool) {
    let mut disconnects = service.disconnects.subscribe();
    // Without this option, Nagle's algorithm delays small events; a failure to set it only costs speed.
    let _ = stream.set_nodelay(true);
    let handler = service_fn(|request| {
        let service = Arc::clone(&service);
        async move { Ok::<_, Infallible>(service.handle(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // The default timeout of 30 s also closes idle connections, sometimes just as the other side reuses one.
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), handler);
    tokio::select! {
        // An error means a broken connection; the execution log then shows the execution as cancelled.
        _ = connection => {}
        _ = disconnects.changed(), if can_disconnect => {}
    }
}

fn new_execution(
    headers: &HeaderMap,
    nonce: &str,
    prompt_tokens: u32,
    requested_tokens: u32,
) -> Execution {
    Execution {
        request_id: header(headers, "x-request-id").unwrap_or_default(),
        key: header(headers, "idempotency-key"),
        nonce: nonce.to_owned(),
        account: header(headers, "x-primrose-account"),
        progress: Progress::Started,
        prompt_tokens,
        requested_tokens,
        output_tokens: 0,
        resumed: 0,
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Placeholder for the key and value tensors of a cached prefix.
fn tensor_data(prefix: &Prefix) -> String {
    format!("{:016x}", answer::hash(prefix.hash.as_bytes()))
}

/// Error that makes hyper abort the connection.
fn aborted() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "the answer was aborted before its end",
    )
}

/// Yields so that hyper sends the data it has buffered: it discards unsent data when a body ends with an error.
async fn yield_to_connection() {
    tokio::task::yield_now().await;
}

async fn sleep_ms(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// A JSON answer. If it is cut, it has the content length of the whole text, but is aborted after a part of it.
fn document(text: String, cut: Option<f64>) -> Answer {
    let Some(position) = cut else {
        return json_answer(StatusCode::OK, text);
    };
    let length = text.len();
    let part = Bytes::from(text).slice(..(length as f64 * position) as usize);
    let end = stream::once(async {
        yield_to_connection().await;
        Err(aborted())
    });
    let parts = stream::iter([Ok(Frame::data(part))]).chain(end);
    let mut answer = Response::new(StreamBody::new(parts).boxed_unsync());
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    answer
}

fn event_stream(delivery: Delivery) -> Answer {
    let parts = event_parts(delivery).map(|part| part.map(Frame::data));
    let mut answer = Response::new(StreamBody::new(parts).boxed_unsync());
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

fn event_parts(delivery: Delivery) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(delivery), |delivery| async {
        let mut delivery = delivery?;
        let ended = delivery.sent == delivery.total;
        let part = delivery.next_part().await?;
        let rest = (!ended && part.is_ok()).then_some(delivery);
        Some((part, rest))
    })
}

/// Parses `body` as JSON and passes it to `then`; answers with status 400 if it is not valid.
fn parse_then<T: for<'a> Deserialize<'a>>(body: &[u8], then: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => failure(StatusCode::BAD_REQUEST, "body", &error.to_string()),
    }
}

fn reply(value: &impl Serialize) -> Answer {
    match serde_json::to_string(value) {
        Ok(text) => json_answer(StatusCode::OK, text),
        Err(error) => failure(
            StatusCode::INTERNAL_SERVER_ERROR,
            "encoding",
            &error.to_string(),
        ),
    }
}

fn failure(status: StatusCode, code: &str, message: &str) -> Answer {
    let error = json!({"error": {"code": code, "message": message}});
    json_answer(status, error.to_string())
}

fn json_answer(status: StatusCode, text: String) -> Answer {
    let body = Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// Sets the `x-request-id` header, unless `id` is empty or not valid in a header.
fn with_request_id(mut answer: Answer, id: &str) -> Answer {
    if let Ok(value) = HeaderValue::from_str(id)
        && !id.is_empty()
    {
        answer.headers_mut().insert("x-request-id", value);
    }
    answer
}
