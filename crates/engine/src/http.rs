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

/// Pause after a failed accept (usually: too many open files), in ms.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Output lengths that are drawn when a request names none.
const OPEN_LENGTH: std::ops::RangeInclusive<u32> = 16..=512;

type Body = UnsyncBoxBody<Bytes, io::Error>;
type Answer = Response<Body>;

/// State that the connections share.
#[derive(Debug)]
pub(crate) struct Service {
    settings: Settings,
    engine: Engine,
    chance: Mutex<Chance>,
    orders: Mutex<Vec<Order>>,
    /// Number of times that all connections for requests were broken.
    breaks: watch::Sender<u64>,
}

#[derive(Debug)]
struct Chance {
    random: StdRng,
    faults: Faults,
    /// The request before.
    previous: Identity,
}

/// What tells requests apart.
#[derive(Clone, Debug)]
struct Identity {
    request_id: String,
    nonce: String,
}

/// The faults of one answer.
#[derive(Debug)]
struct Plan {
    /// The request whose id and text the answer carries.
    identity: Identity,
    /// Share of the answer after which it is cut.
    cut: Option<f64>,
    /// Whether a cut stream ends like a complete body, without `[DONE]`.
    orderly: bool,
    /// Share of the answer after which it pauses.
    stall: Option<f64>,
    stall_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
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
    /// Output tokens that the caller has.
    offset: u32,
}

/// A prefix in transit between two engines.
#[derive(Debug, Serialize, Deserialize)]
struct Cached {
    prefix: Prefix,
    /// Stands for the tensors.
    data: String,
}

/// An answer under way.
struct Delivery {
    receiver: mpsc::UnboundedReceiver<Event>,
    plan: Plan,
    model: String,
    prompt: u32,
    /// Output tokens sent or skipped.
    sent: u32,
    total: u32,
}

impl Service {
    pub(crate) fn new(settings: Settings, engine: Engine) -> Service {
        let chance = Chance {
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
            chance: Mutex::new(chance),
            orders: Mutex::default(),
            breaks: watch::Sender::new(0),
        }
    }

    pub(crate) fn log(&self) -> Log {
        let executions = self.engine.with_executions(|executions| executions.clone());
        Log::new(executions, lock(&self.orders).clone())
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        lock(&self.chance).faults = faults;
    }

    /// Breaks all connections for requests; those to the control address stay.
    pub(crate) fn disconnect(&self) {
        self.breaks.send_modify(|breaks| *breaks += 1);
    }

    fn refuses(&self) -> bool {
        let mut chance = lock(&self.chance);
        let probability = chance.faults.refuse;
        chance.draw(probability)
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        // The body is read to its end first: a request that arrives only in part has not started.
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
            (&Method::GET, "/faults") => reply(&lock(&self.chance).faults),
            (&Method::POST, "/faults") => self.change_faults(&body),
            (&Method::POST, "/disconnect") => {
                self.disconnect();
                reply(&json!({"disconnected": true}))
            }
            _ if self.settings.kind == Kind::Plain => self.plain(&head, &body).await,
            (&Method::POST, "/v1/chat/completions") => self.complete(&head.headers, &body).await,
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::GET, "/load") => reply(&self.load()),
            (&Method::GET, "/cache-events") => self.cache_events(head.uri.query()),
            (&Method::POST, "/kv/export") => parsed(&body, |prefix| self.export(prefix)),
            (&Method::POST, "/kv/import") => parsed(&body, |cached| self.import(&cached)),
            (&Method::POST, "/cancel") => parsed(&body, |one| self.cancel(&one)),
            (&Method::POST, "/resume") => parsed(&body, |one| self.resume(&one)),
            (&Method::POST, "/orders") => self.order(&body).await,
            _ => failure(StatusCode::NOT_FOUND, "not_found", "no such path"),
        }
    }

    /// Changes the faults that `body` names and keeps the others.
    fn change_faults(&self, body: &[u8]) -> Answer {
        let mut chance = lock(&self.chance);
        let merged = serde_json::to_value(chance.faults).and_then(|mut merged| {
            let changes: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
            if let Some(object) = merged.as_object_mut() {
                object.extend(changes);
            }
            serde_json::from_value(merged)
        });
        match merged {
            Ok(faults) => {
                chance.faults = faults;
                reply(&faults)
            }
            Err(error) => failure(StatusCode::BAD_REQUEST, "faults", &error.to_string()),
        }
    }

    async fn plain(&self, head: &hyper::http::request::Parts, body: &[u8]) -> Answer {
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let text = String::from_utf8_lossy(body);
        let nonce = answer::find_nonce(target).or_else(|| answer::find_nonce(&text));
        let execution = execution(&head.headers, nonce.unwrap_or_default(), 0, 0);
        let plan = self.plan(&execution);
        let at = self.engine.record_start(execution);
        // A call runs to its end even if its caller disconnects, as a payout or a booking would.
        let engine = self.engine.clone();
        let service_ms = self.settings.service_ms;
        let run = tokio::spawn(async move {
            pause(service_ms).await;
            engine.with_executions(|executions| executions[at].progress = Progress::Completed);
        });
        // The task neither panics nor is aborted.
        let _ = run.await;
        if plan.stall.is_some() {
            pause(plan.stall_ms).await;
        }
        let Identity { request_id, nonce } = &plan.identity;
        let text = json!({"nonce": nonce, "method": head.method.as_str(), "path": target});
        identified(whole(text.to_string(), plan.cut), request_id)
    }

    async fn complete(&self, headers: &HeaderMap, body: &[u8]) -> Answer {
        let request: Completion = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return failure(StatusCode::BAD_REQUEST, "body", &error.to_string()),
        };
        let prompt = request.prompt();
        let tokens = request.stand_in_tokens.or(request.max_tokens);
        let total = tokens.unwrap_or_else(|| self.open_length()).max(1);
        let nonce = answer::find_nonce(&prompt).unwrap_or_default();
        let execution = execution(headers, nonce, answer::count_tokens(&prompt), total);
        let plan = self.plan(&execution);
        let id = plan.identity.request_id.clone();
        let prefixes = batch::prefixes(&prompt);
        let delivery = self.run(execution, prefixes, plan, request.model);
        let answer = if request.stream {
            events(delivery)
        } else {
            delivery.whole().await
        };
        identified(answer, &id)
    }

    fn run(
        &self,
        execution: Execution,
        prefixes: Vec<Prefix>,
        plan: Plan,
        model: String,
    ) -> Delivery {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (prompt, total) = (execution.prompt_tokens, execution.requested_tokens);
        let request_id = execution.request_id.clone();
        let sequence = Sequence {
            execution: self.engine.record_start(execution),
            request_id,
            prefixes,
            prompt,
            output: total,
            sender,
        };
        self.engine.submit(sequence);
        Delivery {
            receiver,
            plan,
            model,
            prompt,
            sent: 0,
            total,
        }
    }

    fn plan(&self, execution: &Execution) -> Plan {
        let mut chance = lock(&self.chance);
        let faults = chance.faults;
        let own = Identity {
            request_id: execution.request_id.clone(),
            nonce: execution.nonce.clone(),
        };
        let previous = std::mem::replace(&mut chance.previous, own.clone());
        let swapped = chance.draw(faults.swap);
        Plan {
            identity: if swapped { previous } else { own },
            cut: chance.draw_share(faults.cut),
            orderly: chance.draw(0.5),
            stall: chance.draw_share(faults.stall),
            stall_ms: faults.stall_ms,
        }
    }

    fn open_length(&self) -> u32 {
        lock(&self.chance).random.random_range(OPEN_LENGTH)
    }

    fn load(&self) -> Load {
        let load = self.engine.load(self.settings.load_lag_ms);
        load.unwrap_or(Load {
            slots: self.settings.slots,
            ..Load::default()
        })
    }

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
        let data = seal(&prefix);
        reply(&Cached { prefix, data })
    }

    fn import(&self, cached: &Cached) -> Answer {
        if cached.data != seal(&cached.prefix) {
            return failure(
                StatusCode::BAD_REQUEST,
                "data",
                "the data belong to another prefix",
            );
        }
        self.engine.import(&cached.prefix);
        reply(&json!({"imported": true}))
    }

    fn cancel(&self, cancellation: &Cancellation) -> Answer {
        self.engine.cancel(&cancellation.request_id);
        reply(&json!({"accepted": true}))
    }

    /// Continues the last execution with this request id from an offset, as part of the same execution.
    fn resume(&self, resumption: &Resumption) -> Answer {
        let found = self.engine.with_executions(|executions| {
            let mut newest = executions.iter().enumerate().rev();
            let (at, _) = newest.find(|(_, one)| one.request_id == resumption.request_id)?;
            let execution = &mut executions[at];
            if resumption.offset >= execution.requested_tokens {
                return None;
            }
            execution.resumed += 1;
            execution.progress = Progress::Started;
            execution.output_tokens = resumption.offset;
            Some((at, execution.clone()))
        });
        let Some((at, execution)) = found else {
            return failure(StatusCode::NOT_FOUND, "not_found", "nothing to resume");
        };
        // Only one stream of an execution runs at a time.
        self.engine.cancel(&execution.request_id);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.engine.submit(Sequence {
            execution: at,
            request_id: execution.request_id.clone(),
            prefixes: Vec::new(),
            prompt: 0,
            output: execution.requested_tokens - resumption.offset,
            sender,
        });
        let delivery = Delivery {
            receiver,
            plan: self.plan(&execution),
            model: String::new(),
            prompt: execution.prompt_tokens,
            sent: resumption.offset,
            total: execution.requested_tokens,
        };
        let id = delivery.plan.identity.request_id.clone();
        identified(events(delivery), &id)
    }

    async fn order(&self, body: &[u8]) -> Answer {
        let mut order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return failure(StatusCode::BAD_REQUEST, "order", &error.to_string()),
        };
        let highest = {
            let mut orders = lock(&self.orders);
            let highest = orders.iter().map(|one| one.fencing).max().unwrap_or(0);
            order.accepted = !self.settings.check_fencing || order.fencing >= highest;
            orders.push(order.clone());
            highest
        };
        if !order.accepted {
            let message = format!("fencing number {} is below {highest}", order.fencing);
            return failure(StatusCode::CONFLICT, "stale_fencing", &message);
        }
        pause(self.settings.order_ms).await;
        reply(&order)
    }
}

impl Chance {
    fn draw(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability.clamp(0.0, 1.0))
    }

    fn draw_share(&mut self, probability: f64) -> Option<f64> {
        let share = self.random.random_range(0.0..1.0);
        self.draw(probability).then_some(share)
    }
}

impl Completion {
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
    /// Number of the token before which a share of the answer ends.
    fn position(share: Option<f64>, total: u32) -> Option<u32> {
        share.map(|share| (share * f64::from(total)) as u32)
    }
}

impl Delivery {
    /// Waits for the last token and answers with one JSON document.
    async fn whole(mut self) -> Answer {
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
            pause(self.plan.stall_ms).await;
        }
        let Identity { request_id, nonce } = &self.plan.identity;
        let message = json!({"role": "assistant", "content": answer::full_text(nonce, self.total)});
        let text = json!({
            "id": request_id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self.usage(),
        });
        whole(text.to_string(), self.plan.cut)
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.total,
            "total_tokens": u64::from(self.prompt) + u64::from(self.total),
        })
    }

    /// The next part of the stream: `None` at its end, an error to break it off.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let event = self.receiver.recv().await;
        if Plan::position(self.plan.cut, self.total).is_some_and(|at| self.sent >= at) {
            // The closed receiver cancels the sequence.
            self.receiver.close();
            if self.plan.orderly {
                return None;
            }
            flush().await;
            return Some(Err(broken()));
        }
        if Plan::position(self.plan.stall, self.total).is_some_and(|at| self.sent >= at) {
            self.plan.stall = None;
            pause(self.plan.stall_ms).await;
        }
        Some(match event {
            Some(Event::Tokens(count)) => Ok(self.chunk(count)),
            Some(Event::Done) => Ok(self.last()),
            None => Err(broken()),
        })
    }

    fn chunk(&mut self, count: u32) -> Bytes {
        let mut content = String::new();
        answer::append_tokens(
            &mut content,
            &self.plan.identity.nonce,
            self.sent,
            self.sent + count,
        );
        self.sent += count;
        // The text consists of spaces and hexadecimal digits, which need no escape; the id and the model may need it.
        let id = json!(self.plan.identity.request_id);
        let model = json!(self.model);
        Bytes::from(format!(
            "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"model\":{model},\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":null}}]}}\n\n"
        ))
    }

    fn last(&self) -> Bytes {
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

/// Accepts connections until the task is aborted, which breaks them all.
pub(crate) async fn accept(listener: TcpListener, service: Arc<Service>, can_refuse: bool) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            pause(ACCEPT_PAUSE_MS).await;
            continue;
        };
        if can_refuse && service.refuses() {
            continue;
        }
        connections.spawn(serve(stream, Arc::clone(&service), can_refuse));
    }
}

async fn serve(stream: TcpStream, service: Arc<Service>, can_break: bool) {
    let mut breaks = service.breaks.subscribe();
    // Without this, Nagle's algorithm delays small events; a failure only costs speed.
    let _ = stream.set_nodelay(true);
    let answer = service_fn(|request| {
        let service = Arc::clone(&service);
        async move { Ok::<_, Infallible>(service.answer(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // The default of 30 s also closes idle connections, at times just when the other side reuses one.
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), answer);
    tokio::select! {
        // Errors are broken connections, which the execution log shows as cancelled.
        _ = connection => {}
        _ = breaks.changed(), if can_break => {}
    }
}

fn execution(headers: &HeaderMap, nonce: &str, prompt: u32, output: u32) -> Execution {
    Execution {
        request_id: header(headers, "x-request-id").unwrap_or_default(),
        key: header(headers, "idempotency-key"),
        nonce: nonce.to_owned(),
        account: header(headers, "x-primrose-account"),
        progress: Progress::Started,
        prompt_tokens: prompt,
        requested_tokens: output,
        output_tokens: 0,
        resumed: 0,
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Stands for the content of a cached prefix.
fn seal(prefix: &Prefix) -> String {
    format!("{:016x}", answer::hash(prefix.hash.as_bytes()))
}

fn broken() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "the answer was broken off",
    )
}

/// Lets the connection send what it holds: hyper discards unsent data when a body ends with an error.
async fn flush() {
    tokio::task::yield_now().await;
}

async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// A JSON answer, or its first part with the content length of the whole.
fn whole(text: String, cut: Option<f64>) -> Answer {
    let Some(share) = cut else {
        return json_answer(StatusCode::OK, text);
    };
    let length = text.len();
    let part = Bytes::from(text).slice(..(length as f64 * share) as usize);
    let end = stream::once(async {
        flush().await;
        Err(broken())
    });
    let parts = stream::iter([Ok(Frame::data(part))]).chain(end);
    let mut answer = Response::new(StreamBody::new(parts).boxed_unsync());
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    answer
}

fn events(delivery: Delivery) -> Answer {
    let parts = parts(delivery).map(|part| part.map(Frame::data));
    let mut answer = Response::new(StreamBody::new(parts).boxed_unsync());
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

fn parts(delivery: Delivery) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(delivery), |delivery| async {
        let mut delivery = delivery?;
        let ended = delivery.sent == delivery.total;
        let part = delivery.next().await?;
        let rest = (!ended && part.is_ok()).then_some(delivery);
        Some((part, rest))
    })
}

fn parsed<T: for<'a> Deserialize<'a>>(body: &[u8], then: impl FnOnce(T) -> Answer) -> Answer {
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
    let text = json!({"error": {"code": code, "message": message}});
    json_answer(status, text.to_string())
}

fn json_answer(status: StatusCode, text: String) -> Answer {
    let body = Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn identified(mut answer: Answer, id: &str) -> Answer {
    if let Ok(value) = HeaderValue::from_str(id)
        && !id.is_empty()
    {
        answer.headers_mut().insert("x-request-id", value);
    }
    answer
}
