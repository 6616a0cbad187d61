//! The content of a document and its validation.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The configuration of routes, pools and accounts that entry hosts use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The document with the highest version is in force.
    pub version: u64,
    /// The routes; no two have the same host and prefix.
    pub routes: Vec<Route>,
    /// The pools to which the targets of routes refer by name.
    pub pools: Vec<Pool>,
    /// Limits that apply to all requests.
    pub limits: Limits,
    /// The client accounts, or `None` if requests need no key.
    pub accounts: Option<Vec<Account>>,
}

/// Whether requests of a route may run more than once, and whether answers are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of a caller.
    NonIdempotent,
    /// The answer is a stream of events. The request runs at most once unless it is resumed.
    Stream {
        /// Whether an interrupted stream may be resumed on another backend server.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may be sent again even though it may have run already.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// The requests for one host and path prefix, and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name in logs and error messages; not used to match requests.
    pub name: Arc<str>,
    /// The value of the `Host` header that the route matches, without a port and in lower case.
    pub host: Arc<str>,
    /// The path prefix that the route matches. Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated and answers are streams.
    pub kind: Kind,
    /// The longest time that a caller waits for an answer, in ms; at least 1.
    pub timeout_ms: u64,
    /// Latency objective for an answer, or for the first event of a stream, in ms.
    pub objective_ms: u64,
    /// Objective for the longest gap between two events of a stream, in ms.
    pub max_gap_ms: Option<u64>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// The pools among which requests are divided. The weights add up to at least 1.
    pub targets: Vec<Target>,
    /// The most backend servers that one attempt of a caller may be sent to; at least 1.
    pub max_servers: u32,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
}

/// A pool that serves a share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// The target gets this weight divided by the sum of the weights of the route.
    pub weight: u32,
}

/// A group of backend servers that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name by which targets refer to the pool.
    pub name: Arc<str>,
    /// The most connections that each server accepts in total.
    pub max_connections: u32,
    /// `Some` if the servers are model engines, `None` for a plain service.
    pub engine: Option<Engine>,
    /// How the servers warm up after a start, or `None` if they need no time for it.
    pub warmup: Option<Warmup>,
}

/// The time in which a server that has just started tolerates few requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long a server is cold after its start, in ms; above 0.
    pub duration_ms: u64,
    /// Requests per second that a cold server tolerates; finite and above 0.
    pub per_s: f64,
}

/// The capacity of each model engine of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine runs at the same time.
    pub slots: u32,
    /// Capacity of the key-value cache in tokens, which running requests and cached prompt parts
    /// share.
    pub cache_tokens: u64,
    /// Size of one token in the key-value cache, in bytes; `None` if an engine cannot fetch cached
    /// parts from another one.
    pub token_bytes: Option<u64>,
    /// Bandwidth of the links between engines, in Mbit/s.
    pub link_mbps: f64,
}

/// Limits on the requests and connections of callers, and the capacity that accounts share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head (request line and headers) of a request, in bytes.
    pub max_header_bytes: u64,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time within which the head of a request must arrive, in ms.
    pub header_timeout_ms: u64,
    /// How long a caller's connection may stay idle, in ms.
    pub idle_timeout_ms: u64,
    /// Guaranteed capacity of all engines together, in weighted tokens per second: each input token
    /// counts once, each output token twice. `None` if accounts have no shares.
    pub tokens_per_s: Option<f64>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            tokens_per_s: None,
        }
    }
}

/// A client account and its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Identifies the account in logs, in shares and to backend servers.
    pub name: Arc<str>,
    /// The API keys of this account. No key belongs to two accounts.
    pub keys: Vec<Arc<str>>,
    /// Overrides the priority of the route for requests of this account.
    pub priority: Option<u32>,
}

/// Why a document is invalid. An invalid document is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// A target of a route refers to a pool that the document lacks.
    #[error("route {route:?} names the unknown pool {pool:?}")]
    UnknownPool {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the missing pool.
        pool: Arc<str>,
    },
    /// Two routes match the same requests.
    #[error("routes {first:?} and {second:?} share the host {host:?} and the prefix {prefix:?}")]
    DuplicateRoute {
        /// Name of one of the routes.
        first: Arc<str>,
        /// Name of the other route.
        second: Arc<str>,
        /// The host of both routes.
        host: Arc<str>,
        /// The prefix of both routes.
        prefix: Arc<str>,
    },
    /// The weights of a route add up to 0, so no target could be chosen.
    #[error("the weights of route {route:?} add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The timeout of a route is 0, so every request would time out on arrival.
    #[error("the timeout of route {route:?} is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The prefix of a route does not begin and end with a slash, so it would match a part of a
    /// path segment.
    #[error("the prefix {prefix:?} of route {route:?} must begin and end with a slash")]
    MalformedPrefix {
        /// Name of the route.
        route: Arc<str>,
        /// The prefix of the route.
        prefix: Arc<str>,
    },
    /// A key belongs to two accounts.
    #[error("accounts {first:?} and {second:?} share a key")]
    DuplicateKey {
        /// Name of one of the accounts.
        first: Arc<str>,
        /// Name of the other account.
        second: Arc<str>,
    },
}

impl Document {
    /// Validates the document.
    ///
    /// # Errors
    ///
    /// Returns the first violation found, in the order routes, pairs of routes, keys.
    pub fn check(&self) -> Result<(), Invalid> {
        let mut pools: Vec<&Arc<str>> = self.pools.iter().map(|pool| &pool.name).collect();
        pools.sort_unstable();
        for route in &self.routes {
            check_route(route, &pools)?;
        }
        self.check_duplicate_routes()?;
        self.check_keys()
    }

    fn check_duplicate_routes(&self) -> Result<(), Invalid> {
        let mut routes: Vec<&Route> = self.routes.iter().collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        for pair in routes.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            if first.host == second.host && first.prefix == second.prefix {
                return Err(Invalid::DuplicateRoute {
                    first: Arc::clone(&first.name),
                    second: Arc::clone(&second.name),
                    host: Arc::clone(&first.host),
                    prefix: Arc::clone(&first.prefix),
                });
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), Invalid> {
        let mut keys: Vec<(&Arc<str>, &Arc<str>)> = Vec::new();
        for account in self.accounts.iter().flatten() {
            keys.extend(account.keys.iter().map(|key| (key, &account.name)));
        }
        keys.sort();
        for pair in keys.windows(2) {
            let ((first_key, first), (second_key, second)) = (pair[0], pair[1]);
            if first_key == second_key && first != second {
                return Err(Invalid::DuplicateKey {
                    first: Arc::clone(first),
                    second: Arc::clone(second),
                });
            }
        }
        Ok(())
    }
}

/// Validates one route. `pools` are the names of all pools, sorted.
fn check_route(route: &Route, pools: &[&Arc<str>]) -> Result<(), Invalid> {
    let name = || Arc::clone(&route.name);
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let prefix = Arc::clone(&route.prefix);
        return Err(Invalid::MalformedPrefix {
            route: name(),
            prefix,
        });
    }
    if route.timeout_ms == 0 {
        return Err(Invalid::ZeroTimeout { route: name() });
    }
    let is_known = |target: &&Target| pools.binary_search(&&target.pool).is_ok();
    if let Some(unknown) = route.targets.iter().find(|target| !is_known(target)) {
        let pool = Arc::clone(&unknown.pool);
        return Err(Invalid::UnknownPool {
            route: name(),
            pool,
        });
    }
    let weight: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    if weight == 0 {
        return Err(Invalid::ZeroWeight { route: name() });
    }
    Ok(())
}
