//! The handlers of the caller-facing HTTP interface.

use std::hash::BuildHasher;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use foldhash::fast::FixedState;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use primrose_base::clock::Time;
use primrose_base::stop::Grace;
use primrose_config::{Account, Configuration, KeyHash, Kind, Pool};
use primrose_schedule::claim::{DEADLINE_MS, Guard};
use salvo::http::{Method, StatusCode};
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use crate::attempt::{Answer, Forwarder, Job, REQUEST_ID_HEADER, forwarded_headers};
use crate::body::{Body, Fields};
use crate::claim;
use crate::dispatch::{Call, Claim};
use crate::failure::Failure;

/// The caller sets this header to `true` for a request that must not run twice.
const NON_IDEMPOTENT_HEADER: HeaderName = HeaderName::from_static("x-primrose-non-idempotent");

/// This header identifies a request; the caller repeats its value when it sends the request again.
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Model of the request, which takes precedence over the body. The header is needed if the `model` field is not in
/// the buffered start of the body.
const MODEL_HEADER: HeaderName = HeaderName::from_static("x-primrose-model");

/// Name of the account that a request belongs to; set on requests to backend servers.
const ACCOUNT_HEADER: HeaderName = HeaderName::from_static("x-primrose-account");

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Length of the start of a body whose hash is the affinity, in bytes. Requests with equal affinity probably share a
/// prompt prefix that a server has cached.
const AFFINITY_BYTES: usize = 1 << 10;

/// Bytes of text per input token, a usual estimate for chat models. The engine's own count replaces the estimated
/// number of tokens at the end of the answer.
const BYTES_PER_TOKEN: u64 = 4;

/// State that all handlers of the listener share.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) forwarder: Forwarder,
    pub(crate) configuration: watch::Receiver<Option<Arc<Configuration>>>,
    pub(crate) draining: watch::Receiver<bool>,
}

/// Serves `POST /v1/chat/completions`.
pub(crate) struct Chat(pub(crate) State);

/// Serves every method below `/plain/POOL/`.
pub(crate) struct Plain(pub(crate) State);

/// Serves `GET /v1/models`.
pub(crate) struct Models(pub(crate) State);

/// An authenticated caller, and the configuration in force when the request arrived.
struct Caller {
    configuration: Arc<Configuration>,
    account: Arc<Account>,
}

/// Pool, path and body of a request.
struct Target {
    pool: Arc<Pool>,
    path: String,
    body: Body,
    max_output_tokens: Option<u64>,
    /// Value of `x-request-id` in the request to the backend server and in the answer to the caller.
    id: HeaderValue,
}

#[async_trait]
impl salvo::Handler for Chat {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let id = new_request_id();
        let sent = Arc::default();
        let result = self.0.chat(request, &id, &sent);
        let result = self.0.answer_in_time(result, &sent).await;
        self.0.respond(result, id, response);
    }
}

#[async_trait]
impl salvo::Handler for Plain {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let id = new_request_id();
        let sent = Arc::default();
        let result = self.0.plain(request, &id, &sent);
        let result = self.0.answer_in_time(result, &sent).await;
        self.0.respond(result, id, response);
    }
}

#[async_trait]
impl salvo::Handler for Models {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.0.authenticate(request) {
            Ok(caller) => response.render(Json(ModelList::new(&caller.configuration))),
            Err(failure) => self.0.render_failure(&failure, response),
        }
    }
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
}

impl ModelList {
    fn new(configuration: &Configuration) -> ModelList {
        let models = configuration
            .pools
            .iter()
            .filter_map(|pool| match &pool.kind {
                Kind::Model { model, .. } => Some(ModelEntry {
                    id: model.to_string(),
                    object: "model",
                }),
                Kind::Plain => None,
            });
        ModelList {
            object: "list",
            data: models.collect(),
        }
    }
}

impl State {
    /// Waits for the answer to a request, but not longer than the grace period of this host lets it.
    async fn answer_in_time(
        &self,
        answer: impl Future<Output = Result<Answer, Failure>>,
        sent: &AtomicBool,
    ) -> Result<Answer, Failure> {
        tokio::select! {
            biased;
            answer = answer => answer,
            () = self.wait_until_given_up() => Err(if sent.load(Ordering::Relaxed) {
                Failure::stopped()
            } else {
                Failure::draining()
            }),
        }
    }

    /// Returns when requests without an answer get one because this host ends soon. Without a grace period it never
    /// returns.
    async fn wait_until_given_up(&self) {
        let mut draining = self.draining.clone();
        let is_stopping = draining.wait_for(|is_draining| *is_draining).await.is_ok();
        let (Some(grace_ms), true) = (self.forwarder.settings.grace_ms, is_stopping) else {
            return std::future::pending().await;
        };
        let now = Time::now();
        let grace = Grace::new(now, grace_ms);
        tokio::time::sleep(grace.answer_by().until(now)).await;
    }

    /// `sent` is set before the first byte is sent to a backend server.
    async fn chat(
        &self,
        request: &mut Request,
        id: &HeaderValue,
        sent: &Arc<AtomicBool>,
    ) -> Result<Answer, Failure> {
        let caller = self.authenticate(request)?;
        let body = Body::read(request.take_body(), self.forwarder.settings.max_body_bytes).await?;
        let fields = body.fields()?;
        let model = model_name(request.headers(), &fields)?;
        let Some(pool) = caller.configuration.pool_by_model(&model) else {
            let message =
                format!("model {model:?} is not served here; GET /v1/models lists the models");
            return Err(Failure::refuse(
                "unknown_model",
                StatusCode::NOT_FOUND,
                message,
            ));
        };
        let pool = Arc::clone(pool);
        let path = request.uri().path().to_owned();
        let limit = fields.max_completion_tokens.or(fields.max_tokens);
        let target = Target {
            pool,
            path,
            body,
            max_output_tokens: limit,
            id: id.clone(),
        };
        self.forward(request, &caller, target, sent).await
    }

    /// `sent` is set before the first byte is sent to a backend server.
    async fn plain(
        &self,
        request: &mut Request,
        id: &HeaderValue,
        sent: &Arc<AtomicBool>,
    ) -> Result<Answer, Failure> {
        let caller = self.authenticate(request)?;
        let (name, path) = plain_target(request)?;
        let Some(pool) = caller.configuration.plain_pool(&name) else {
            let message = format!("there is no plain service named {name:?}");
            return Err(Failure::refuse(
                "unknown_service",
                StatusCode::NOT_FOUND,
                message,
            ));
        };
        let pool = Arc::clone(pool);
        let body = Body::read(request.take_body(), self.forwarder.settings.max_body_bytes).await?;
        let target = Target {
            pool,
            path,
            body,
            max_output_tokens: Some(1),
            id: id.clone(),
        };
        self.forward(request, &caller, target, sent).await
    }

    async fn forward(
        &self,
        request: &Request,
        caller: &Caller,
        target: Target,
        sent: &Arc<AtomicBool>,
    ) -> Result<Answer, Failure> {
        let idempotent = is_idempotent(request.headers())?;
        let key = idempotency_key(request.headers())?;
        let claim = match key {
            Some(key) if !idempotent => {
                Some(self.claim(request.method(), &target, caller, key).await?)
            }
            _ => None,
        };
        let mut deadline = Time::now().plus_ms(self.forwarder.settings.queue_timeout_ms);
        if claim.is_some() {
            // The request must not be sent under an older claim, so there is no use in waiting longer.
            deadline = deadline.min(Time::now().plus_ms(DEADLINE_MS));
        }
        let call = Call {
            id: self.forwarder.dispatch.next_id(),
            account: caller.account.id,
            pool: target.pool.id,
            input_tokens: input_tokens(request.headers(), &target.body),
            max_output_tokens: target.max_output_tokens,
            affinity: affinity(&target.body),
            deadline,
            retry: None,
            avoid: None,
        };
        let job = Job {
            call,
            method: request.method().clone(),
            path: target.path,
            headers: headers_for_server(request.headers(), &caller.account),
            body: target.body,
            idempotent,
            plain: matches!(target.pool.kind, Kind::Plain),
            request_id: target.id,
            claim,
            sent: Arc::clone(sent),
        };
        self.forwarder.forward(job).await
    }

    /// Finds the account of the API key.
    ///
    /// # Errors
    ///
    /// Fails if the daemon shuts down, if this host has no configuration yet, or without the API key of an account.
    fn authenticate(&self, request: &Request) -> Result<Caller, Failure> {
        if *self.draining.borrow() {
            return Err(Failure::draining());
        }
        let Some(configuration) = self.configuration.borrow().clone() else {
            return Err(Failure::refuse(
                "no_configuration",
                StatusCode::SERVICE_UNAVAILABLE,
                "this host has no configuration yet; send the request again to reach another host",
            ));
        };
        let key = bearer_key(request.headers())?;
        let account = configuration
            .account_by_key(&KeyHash::of(key))
            .map(Arc::clone);
        let account = account.ok_or_else(|| {
            Failure::refuse(
                "unknown_key",
                StatusCode::UNAUTHORIZED,
                "the API key belongs to no account",
            )
        })?;
        Ok(Caller {
            configuration,
            account,
        })
    }

    async fn claim(
        &self,
        method: &Method,
        target: &Target,
        caller: &Caller,
        key: &str,
    ) -> Result<claim::Handle, Failure> {
        let claim = Claim {
            request: self.forwarder.dispatch.next_id(),
            account: caller.account.id,
            key: key.into(),
            digest: digest(method, &target.path, &target.body.buffered),
        };
        let mut guard = Guard::default();
        guard.claim(Time::now());
        let reply = self.forwarder.dispatch.claim(claim.clone()).await;
        match guard.on_reply(Time::now(), reply) {
            Some(outcome) => Err(claim::failure(&outcome)),
            None => Ok(claim::Handle::new(
                self.forwarder.dispatch.clone(),
                claim,
                guard,
            )),
        }
    }

    fn respond(&self, result: Result<Answer, Failure>, id: HeaderValue, response: &mut Response) {
        match result {
            Ok(answer) => {
                response.status_code(answer.status);
                *response.headers_mut() = answer.headers;
                response.stream(answer.relay);
            }
            Err(failure) => self.render_failure(&failure, response),
        }
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }

    /// Counts the failure and makes it the answer.
    fn render_failure(&self, failure: &Failure, response: &mut Response) {
        (self.forwarder.count)(failure.code);
        failure.render(response);
    }
}

fn bearer_key(headers: &HeaderMap) -> Result<&str, Failure> {
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    value
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            Failure::refuse(
                "missing_key",
                StatusCode::UNAUTHORIZED,
                "the request needs the header 'Authorization: Bearer KEY'",
            )
        })
}

fn model_name(headers: &HeaderMap, fields: &Fields) -> Result<String, Failure> {
    let named = headers
        .get(MODEL_HEADER)
        .and_then(|value| value.to_str().ok());
    if let Some(model) = named.map(str::to_owned).or_else(|| fields.model.clone()) {
        return Ok(model);
    }
    let message = "the request names no model; if the body is longer than 256 KiB, its first 256 KiB must contain \
                   the 'model' field, or the header 'x-primrose-model' must be set";
    Err(Failure::refuse(
        "missing_model",
        StatusCode::BAD_REQUEST,
        message,
    ))
}

fn plain_target(request: &Request) -> Result<(String, String), Failure> {
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let rest = target.strip_prefix("/plain/").unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    if name.is_empty() {
        let message = "the path must have the form /plain/SERVICE/...";
        return Err(Failure::refuse(
            "unknown_path",
            StatusCode::NOT_FOUND,
            message,
        ));
    }
    Ok((name.to_owned(), format!("/{path}")))
}

fn is_idempotent(headers: &HeaderMap) -> Result<bool, Failure> {
    match headers
        .get(NON_IDEMPOTENT_HEADER)
        .map(HeaderValue::as_bytes)
    {
        None | Some(b"false") => Ok(true),
        Some(b"true") => Ok(false),
        Some(_) => Err(Failure::refuse(
            "malformed_header",
            StatusCode::BAD_REQUEST,
            "the header x-primrose-non-idempotent must be 'true' or 'false'",
        )),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .filter(|key| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()));
    key.map(Some).ok_or_else(|| {
        let message = format!(
            "the header idempotency-key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} ASCII characters"
        );
        Failure::refuse("malformed_header", StatusCode::BAD_REQUEST, message)
    })
}

fn input_tokens(headers: &HeaderMap, body: &Body) -> u64 {
    let announced = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    announced.unwrap_or(body.buffered.len() as u64) / BYTES_PER_TOKEN
}

/// Hash of the start of the body. Callers serialise a conversation the same way each time, so prompts that start
/// alike give bodies that start alike.
fn affinity(body: &Body) -> u64 {
    let start = &body.buffered[..body.buffered.len().min(AFFINITY_BYTES)];
    FixedState::default().hash_one(start)
}

fn headers_for_server(headers: &HeaderMap, account: &Account) -> HeaderMap {
    let mut headers = forwarded_headers(headers.clone());
    headers.remove(NON_IDEMPOTENT_HEADER);
    headers.remove(MODEL_HEADER);
    headers.remove(header::EXPECT);
    if let Ok(name) = HeaderValue::from_str(account.name.as_str()) {
        headers.insert(ACCOUNT_HEADER, name);
    }
    headers
}

pub(crate) fn new_request_id() -> HeaderValue {
    let id = format!("{:032x}", rand::random::<u128>());
    HeaderValue::from_str(&id).expect("hexadecimal digits are valid in a header")
}

fn digest(method: &Method, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [method.as_str().as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}
