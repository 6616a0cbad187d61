//! HTTP for operators: changes, status, accounts, counters, health and readiness.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Configuration, Host as HostItem, KeyHash, State as Life, text};
use primrose_schedule::snapshot::Snapshot;
use primrose_state::api::{
    Account, Accounts, Counter, Counters as CountersReply, ErrorBody, ErrorReply, Host,
    INVALID_TEXT, OrderSubmission, Role, Status, Submission, UNAVAILABLE,
};
use primrose_state::{Command, Reply};
use primrose_wire::peer::Description;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::writing::{Json, Text};
use salvo::{Depot, FlowCtrl, Request, Response, Router, Server, async_trait};
use tarpc::context;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use crate::counters::Counters;
use crate::links::Links;
use crate::membership::View;
use crate::orders::page as orders;
use crate::peers::describe;
use crate::replica;
use crate::scheduler::{Query, State};
use crate::settings::Settings;
use crate::submit::{Outcome, Submitter};

/// The largest change, in bytes; the whole configuration at the target size is a few megabytes.
const MAX_CHANGE_BYTES: usize = 32 << 20;

/// Time for a change; an election takes less.
const CHANGE_TIMEOUT_MS: u64 = 5_000;

/// Time for another host to describe itself.
const DESCRIBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A host and, if it keeps a replica, the term it knows.
struct Row {
    term: Option<u64>,
    host: Host,
}

/// What the interface shows and does.
#[derive(Clone)]
pub struct Inputs {
    /// Settings of this daemon.
    pub settings: Arc<Settings>,
    /// The configuration in force here.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// The membership view, once membership runs.
    pub view: watch::Receiver<Arc<View>>,
    /// Whether the scheduler runs.
    pub ready: watch::Receiver<bool>,
    /// True once the daemon is leaving.
    pub draining: watch::Receiver<bool>,
    /// Asks the scheduler.
    pub queries: mpsc::Sender<Query>,
    /// Connections to other hosts.
    pub links: Links,
    /// Submits changes.
    pub submitter: Submitter,
    /// `Some` on hosts that keep a replica of the log.
    pub replica: Option<replica::Handle>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Bytes on the control connections.
    pub traffic: primrose_wire::frame::Traffic,
}

/// Starts to serve operators.
///
/// # Errors
///
/// Returns the error of the socket if the address cannot be bound.
pub async fn bind(inputs: Inputs) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(inputs.settings.operator_address).await?;
    let address = listener.local_addr()?;
    let acceptor = TcpAcceptor::try_from(listener)?;
    tokio::spawn(Server::new(acceptor).serve(router(inputs)));
    Ok(address)
}

fn router(inputs: Inputs) -> Router {
    let page = |page: Page| Endpoint {
        page,
        inputs: inputs.clone(),
    };
    let operator = Router::with_path("operator")
        .push(Router::with_path("changes").post(page(Page::Changes)))
        .push(Router::with_path("configuration").get(page(Page::Configuration)))
        .push(Router::with_path("status").get(page(Page::Status)))
        .push(Router::with_path("accounts").get(page(Page::Accounts)))
        .push(Router::with_path("counters").get(page(Page::Counters)))
        .push(
            Router::with_path("orders")
                .get(page(Page::Orders))
                .post(page(Page::Order)),
        );
    Router::new()
        .push(operator)
        .push(Router::with_path("healthz").get(page(Page::Health)))
        .push(Router::with_path("readyz").get(page(Page::Readiness)))
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Page {
    Changes,
    Configuration,
    Status,
    Accounts,
    Counters,
    Orders,
    Order,
    Health,
    Readiness,
}

struct Endpoint {
    page: Page,
    inputs: Inputs,
}

#[async_trait]
impl salvo::Handler for Endpoint {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let inputs = &self.inputs;
        match self.page {
            Page::Health => response.render(Text::Plain("alive\n")),
            Page::Readiness => inputs.readiness(response),
            _ if !inputs.is_operator(request) => {
                inputs.counters.count("operator_refused");
                let message = "the request needs the header 'Authorization: Bearer KEY' with an operator's key";
                render_error(response, StatusCode::UNAUTHORIZED, "unknown_key", message);
            }
            Page::Changes => inputs.change(request, response).await,
            Page::Configuration => inputs.render_configuration(response),
            Page::Status => response.render(Json(inputs.status().await)),
            Page::Accounts => inputs.accounts(response).await,
            Page::Counters => response.render(Json(inputs.counters())),
            Page::Orders => inputs.orders(response),
            Page::Order => inputs.order(request, response).await,
        }
    }
}

fn render_error(response: &mut Response, status: StatusCode, code: &str, message: &str) {
    response.status_code(status);
    let error = ErrorBody {
        code: code.to_owned(),
        message: message.to_owned(),
    };
    response.render(Json(ErrorReply { error }));
}

impl Inputs {
    fn is_operator(&self, request: &Request) -> bool {
        let header = request
            .headers()
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        let Some(key) = header.and_then(|value| value.strip_prefix("Bearer ")) else {
            return false;
        };
        // Hashes are compared, so the time of the comparison tells nothing about a key.
        self.settings
            .operator_key_sha256
            .contains(&KeyHash::of(key))
    }

    fn readiness(&self, response: &mut Response) {
        let (status, text) = if *self.draining.borrow() {
            (StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
        } else if !*self.ready.borrow() {
            (StatusCode::SERVICE_UNAVAILABLE, "no configuration\n")
        } else {
            (StatusCode::OK, "ready\n")
        };
        response.status_code(status);
        response.render(Text::Plain(text));
    }

    async fn change(&self, request: &mut Request, response: &mut Response) {
        let submission = self.submit(request).await;
        let counter = match &submission {
            Submission::Accepted { .. } => "change_accepted",
            Submission::Refused(_) => "change_refused",
            Submission::Unknown { .. } => "change_unknown",
        };
        self.counters.count(counter);
        let status = StatusCode::from_u16(submission.http_status());
        response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        response.render(Json(submission));
    }

    async fn submit(&self, request: &mut Request) -> Submission {
        let version = self
            .configuration
            .borrow()
            .as_ref()
            .map(|configuration| configuration.version);
        let refused = |message: String| Submission::refused(INVALID_TEXT, message, version);
        let body = match request.payload_with_max_size(MAX_CHANGE_BYTES).await {
            Ok(body) => body,
            Err(error) => return refused(format!("the change could not be read: {error}")),
        };
        let Ok(body) = std::str::from_utf8(body) else {
            return refused("the change is not UTF-8 text".to_owned());
        };
        let change = match text::read_change("change", body) {
            Ok(change) => change,
            Err(error) => return refused(error.to_string()),
        };
        match self.submitter.submit(Command::Change(change), CHANGE_TIMEOUT_MS).await {
            Outcome::Applied(Reply::Change(reply)) => reply.into(),
            Outcome::Unavailable => {
                let message = "no voter with a majority could be reached; the change was not proposed";
                Submission::refused(UNAVAILABLE, message, version)
            }
            Outcome::Applied(_) | Outcome::Unknown => Submission::Unknown {
                message: "the leader of the log did not answer; submit the same text again to learn the outcome"
                    .to_owned(),
            },
        }
    }

    async fn order(&self, request: &mut Request, response: &mut Response) {
        let configuration = self.configuration.borrow().clone().unwrap_or_default();
        let submission = match request.payload_with_max_size(orders::MAX_BYTES).await {
            Ok(body) => orders::submit(body, &configuration, &self.submitter).await,
            Err(error) => {
                let message = format!("the order could not be read: {error}");
                OrderSubmission::refused(INVALID_TEXT, message)
            }
        };
        let counter = match &submission {
            OrderSubmission::Recorded { .. } => "order_recorded",
            OrderSubmission::Refused(_) => "order_refused",
            OrderSubmission::Unknown { .. } => "order_unknown",
        };
        self.counters.count(counter);
        let status = StatusCode::from_u16(submission.http_status());
        response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        response.render(Json(submission));
    }

    fn orders(&self, response: &mut Response) {
        match &self.replica {
            Some(replica) => response.render(Json(orders::list(&self.settings.host, replica))),
            None => {
                let message = "this host keeps no replica of the log; ask a voter";
                render_error(
                    response,
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no_replica",
                    message,
                );
            }
        }
    }

    fn render_configuration(&self, response: &mut Response) {
        match &*self.configuration.borrow() {
            Some(configuration) => {
                response.render(Text::Plain(text::print_configuration(configuration)))
            }
            None => {
                let message = "this host has no configuration yet";
                render_error(
                    response,
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no_configuration",
                    message,
                );
            }
        }
    }

    /// The state of the fleet. Other hosts are asked now, since a running exchange of versions would cost traffic that
    /// nobody reads most of the time.
    async fn status(&self) -> Status {
        let configuration = self.configuration.borrow().clone().unwrap_or_default();
        let view = self.view.borrow().clone();
        let leader = self.submitter.leader();
        let status = self.replica.as_ref().map(replica::Handle::status);
        let in_use = configuration
            .hosts
            .iter()
            .filter(|host| host.state != Life::Retired);
        let described = in_use.map(|host| async {
            let is_self = host.name == self.settings.host;
            let member = view.member(host.id);
            // A host that membership has not found yet is asked too.
            let is_present = member.is_none_or(|member| member.state.is_present());
            let description = if is_self {
                Some(self.describe())
            } else if is_present {
                self.ask(host.peer).await
            } else {
                None
            };
            Row {
                term: description.and_then(|description| description.term),
                host: Host {
                    name: host.name.clone(),
                    domain: host.domain.clone(),
                    reachable: description.is_some(),
                    version: description.map(|description| description.version),
                    incarnation: member.map(|member| member.incarnation),
                    role: self.role(host, leader.as_ref(), status.as_ref()),
                    ready: description.is_some_and(|description| description.ready),
                },
            }
        });
        let rows = futures::future::join_all(described).await;
        let term = rows
            .iter()
            .filter_map(|row| row.term)
            .max()
            .unwrap_or_default();
        let hosts: Vec<Host> = rows.into_iter().map(|row| row.host).collect();
        let voters = hosts.iter().filter(|host| host.role != Role::Follower);
        let counting = voters.clone().filter(|host| host.role != Role::Learner);
        Status {
            host: self.settings.host.clone(),
            version: configuration.version,
            leader,
            term,
            reachable_voters: counting.filter(|host| host.reachable).count() as u32,
            voters: voters.count() as u32,
            hosts,
        }
    }

    fn describe(&self) -> Description {
        describe(
            &self.configuration,
            self.replica.as_ref(),
            &self.ready,
            &self.draining,
        )
    }

    async fn ask(&self, address: SocketAddr) -> Option<Description> {
        let call = async {
            let client = self.links.client(address).await.ok()?;
            client.describe(context::current()).await.ok()
        };
        let description = tokio::time::timeout(DESCRIBE_TIMEOUT, call)
            .await
            .ok()
            .flatten();
        if description.is_none() {
            self.links.reset(address).await;
        }
        description
    }

    /// What `host` does for the log. A host that keeps no replica knows only what the configuration says.
    fn role(
        &self,
        host: &HostItem,
        leader: Option<&Name>,
        status: Option<&replica::Status>,
    ) -> Role {
        if leader == Some(&host.name) {
            return Role::Leader;
        }
        if !host.voter {
            return Role::Follower;
        }
        let Some(status) = status else {
            return Role::Voter;
        };
        let is_self = host.name == self.settings.host;
        let mut replicas = status.members.iter().filter(|member| {
            member.host == host.name && (!is_self || member.id == status.introduction.replica)
        });
        // An empty replica knows no members, but knows that it does not count.
        let counts = replicas.clone().next().is_some() && replicas.all(|member| member.voter);
        if counts || (status.members.is_empty() && !is_self) {
            Role::Voter
        } else {
            Role::Learner
        }
    }

    async fn accounts(&self, response: &mut Response) {
        let (reply, state) = oneshot::channel();
        let is_sent = self.queries.send(Query { reply }).await.is_ok();
        let state = if is_sent { state.await.ok() } else { None };
        let configuration = self.configuration.borrow().clone().unwrap_or_default();
        match state {
            Some(state) => {
                let accounts = account_rows(&state, &configuration);
                response.render(Json(Accounts {
                    host: self.settings.host.clone(),
                    accounts,
                }));
            }
            None => {
                let message = "the scheduler of this host does not run yet";
                render_error(
                    response,
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no_configuration",
                    message,
                );
            }
        }
    }

    fn counters(&self) -> CountersReply {
        let counters = self.counters.values();
        let mut counters: Vec<Counter> = counters
            .map(|(name, value)| Counter {
                name: name.to_owned(),
                value,
            })
            .collect();
        let gauges = [
            ("control_bytes_received", self.traffic.received()),
            ("control_bytes_sent", self.traffic.sent()),
            (
                "log_syncs",
                self.replica
                    .as_ref()
                    .map_or(0, |replica| replica.status().log_syncs),
            ),
        ];
        counters.extend(gauges.map(|(name, value)| Counter {
            name: name.to_owned(),
            value,
        }));
        counters.sort_by(|a, b| a.name.cmp(&b.name));
        CountersReply {
            host: self.settings.host.clone(),
            counters,
        }
    }
}

/// The figures of an owner cover the fleet; those of another host cover its own queue and what owners told it.
fn account_rows(state: &State, configuration: &Configuration) -> Vec<Account> {
    let snapshot: &Snapshot = state.allocator.as_ref().unwrap_or(&state.dispatcher);
    let mut rows = Vec::new();
    for pool in &snapshot.pools {
        let Some(pool_item) = configuration.pools.by_id(pool.pool) else {
            continue;
        };
        for figures in &pool.accounts {
            let Some(account) = account_name(configuration, figures.account) else {
                continue;
            };
            rows.push(Account {
                account,
                pool: pool_item.name.clone(),
                share: u32::try_from(figures.share).unwrap_or(u32::MAX),
                waiting: figures.waiting,
                in_flight: figures.in_flight,
                service: figures.service,
                normalised_service: figures.normalised_service,
            });
        }
    }
    rows.sort_by(|a, b| (&a.account, &a.pool).cmp(&(&b.account, &b.pool)));
    rows
}

fn account_name(
    configuration: &Configuration,
    account: id::Account,
) -> Option<primrose_base::name::Name> {
    Some(configuration.accounts.by_id(account)?.name.clone())
}
