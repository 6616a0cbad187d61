//! The operators' HTTP interface: changes, orders, status, accounts, counters, health and readiness.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Configuration, Host as HostItem, KeyHash, State as Lifecycle, text};
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
use crate::orders::api as orders;
use crate::peers::describe;
use crate::replica;
use crate::scheduler::{Query, State};
use crate::settings::Settings;
use crate::submit::{Outcome, Submitter};

/// Maximum size of the body of a change; the whole configuration at the target size is a few megabytes.
const MAX_CHANGE_BYTES: usize = 32 << 20;

/// Timeout of the submission of a change, longer than an election.
const CHANGE_TIMEOUT_MS: u64 = 5_000;

/// Timeout of a call that asks another host for its status.
const DESCRIBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A host in the status and, if it keeps a replica, its current term.
struct HostRow {
    term: Option<u64>,
    host: Host,
}

/// The inputs of the interface.
#[derive(Clone)]
pub struct Inputs {
    /// Settings of this daemon, with the address to bind and the hashes of the operators' keys.
    pub settings: Arc<Settings>,
    /// The configuration in force on this host; `None` until the first one arrives.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// The latest membership view; empty until this host has joined the fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// Becomes true when the scheduler runs.
    pub ready: watch::Receiver<bool>,
    /// Becomes true when the daemon starts to drain.
    pub draining: watch::Receiver<bool>,
    /// Asks the scheduler for its state.
    pub queries: mpsc::Sender<Query>,
    /// Connections to the other hosts, for their status.
    pub links: Links,
    /// Submits changes and orders to the log.
    pub submitter: Submitter,
    /// The replica of this host, if it keeps one.
    pub replica: Option<replica::Handle>,
    /// The counters to show; also counts refused requests and the outcomes of changes and orders.
    pub counters: Arc<Counters>,
    /// Number of bytes sent to and received from other hosts.
    pub traffic: primrose_wire::frame::Traffic,
}

/// Binds the operators' address and starts to serve requests; returns the bound address.
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
    let endpoint = |route: Route| Endpoint {
        route,
        inputs: inputs.clone(),
    };
    let operator = Router::with_path("operator")
        .push(Router::with_path("changes").post(endpoint(Route::Changes)))
        .push(Router::with_path("configuration").get(endpoint(Route::Configuration)))
        .push(Router::with_path("status").get(endpoint(Route::Status)))
        .push(Router::with_path("accounts").get(endpoint(Route::Accounts)))
        .push(Router::with_path("counters").get(endpoint(Route::Counters)))
        .push(
            Router::with_path("orders")
                .get(endpoint(Route::Orders))
                .post(endpoint(Route::Order)),
        );
    Router::new()
        .push(operator)
        .push(Router::with_path("healthz").get(endpoint(Route::Health)))
        .push(Router::with_path("readyz").get(endpoint(Route::Readiness)))
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Route {
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
    route: Route,
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
        match self.route {
            Route::Health => response.render(Text::Plain("alive\n")),
            Route::Readiness => inputs.readiness(response),
            _ if !inputs.is_operator(request) => {
                inputs.counters.count("operator_refused");
                let message = "the request needs the header 'Authorization: Bearer KEY' with an operator's key";
                render_error(response, StatusCode::UNAUTHORIZED, "unknown_key", message);
            }
            Route::Changes => inputs.change(request, response).await,
            Route::Configuration => inputs.render_configuration(response),
            Route::Status => response.render(Json(inputs.status().await)),
            Route::Accounts => inputs.accounts(response).await,
            Route::Counters => response.render(Json(inputs.counters())),
            Route::Orders => inputs.orders(response),
            Route::Order => inputs.order(request, response).await,
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
        // The hashes are compared, so the duration of the comparison reveals nothing about a key.
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
            Err(error) => {
                return refused(format!("the body of the change could not be read: {error}"));
            }
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
        let submission = match request.payload_with_max_size(orders::MAX_BODY_BYTES).await {
            Ok(body) => orders::submit(body, &configuration, &self.submitter).await,
            Err(error) => {
                let message = format!("the body of the order could not be read: {error}");
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
                let message = "this host keeps no replica of the log; send the request to a voter";
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

    /// Returns the status of the fleet. The other hosts are asked for each request, because a regular exchange of
    /// versions would cause constant traffic for rare requests.
    async fn status(&self) -> Status {
        let configuration = self.configuration.borrow().clone().unwrap_or_default();
        let view = self.view.borrow().clone();
        let leader = self.submitter.leader();
        let status = self.replica.as_ref().map(replica::Handle::status);
        let in_use = configuration
            .hosts
            .iter()
            .filter(|host| host.state != Lifecycle::Retired);
        let described = in_use.map(|host| async {
            let is_self = host.name == self.settings.host;
            let member = view.member(host.id);
            // A host that membership does not know yet is asked, too.
            let is_present = member.is_none_or(|member| member.state.is_present());
            let description = if is_self {
                Some(self.describe())
            } else if is_present {
                self.ask(host.peer).await
            } else {
                None
            };
            HostRow {
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
        let full_voters = voters.clone().filter(|host| host.role != Role::Learner);
        Status {
            host: self.settings.host.clone(),
            version: configuration.version,
            leader,
            term,
            reachable_voters: full_voters.filter(|host| host.reachable).count() as u32,
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

    /// Returns the role of `host` in the replication of the log. If this host keeps no replica, it knows only the
    /// configuration.
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
        // An empty replica knows no members. It shows itself as a learner, because it does not count towards a
        // majority.
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
                let message = "the scheduler of this host has not started yet";
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

/// Returns one row per account and pool. The figures of an owner include all hosts; those of another host include its
/// own queue and the sums that it received from owners.
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
