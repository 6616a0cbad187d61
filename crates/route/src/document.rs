//! The content of a document and the rules that it keeps.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Everything that entry hosts need to know about routes, pools and accounts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Orders documents; the highest one is in force.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// The pools that routes may name.
    pub pools: Vec<Pool>,
    /// What callers may send.
    pub limits: Limits,
    /// The client accounts, or `None` if requests carry no key.
    pub accounts: Option<Vec<Account>>,
}

/// What may be repeated, and how an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// The answer is a series of events. Runs at most once unless it is resumed.
    Stream {
        /// Whether a stream that broke off may go on at another backend server.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may be sent again although it may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A set of requests that are handled alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for people and logs.
    pub name: Arc<str>,
    /// The host that a request names, in lower case.
    pub host: Arc<str>,
    /// How the path of a request begins. Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a request is kept waiting, in ms; at least 1.
    pub timeout_ms: u64,
    /// The time within which an answer, or its first event, is on time, in ms.
    pub objective_ms: u64,
    /// The longest pause between events of a stream that is still on time, in ms.
    pub max_gap_ms: Option<u64>,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Pools with weights. The weights add up to at least 1.
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
    /// Share among the targets of the route.
    pub weight: u32,
}

/// Backend servers that can serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: Arc<str>,
    /// The most connections that each server accepts from all callers together.
    pub max_connections: u32,
    /// `Some` if the servers are model engines.
    pub engine: Option<Engine>,
}

/// Sizes of the model engines of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine runs at the same time.
    pub slots: u32,
    /// Tokens that running requests and cached prompt parts share.
    pub cache_tokens: u64,
    /// Memory of one token, in bytes; `None` if an engine cannot fetch kept parts from another one.
    pub token_bytes: Option<u64>,
    /// Bandwidth between engines, in Mbit/s.
    pub link_mbps: f64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time for the head of a request, in ms.
    pub header_timeout_ms: u64,
    /// How long a caller's connection may stay idle, in ms.
    pub idle_timeout_ms: u64,
    /// Tokens per second that all engines handle together: each token read counts once, each generated one twice.
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

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name.
    pub name: Arc<str>,
    /// The keys that name this account. No key belongs to two accounts.
    pub keys: Vec<Arc<str>>,
    /// Rank that goes before that of the route.
    pub priority: Option<u32>,
}

/// Why a document is refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// A route has nowhere to go.
    #[error("route {route:?} names the unknown pool {pool:?}")]
    UnknownPool {
        /// The route.
        route: Arc<str>,
        /// The name that is not among the pools.
        pool: Arc<str>,
    },
    /// A request could not be assigned to one route.
    #[error("routes {first:?} and {second:?} share the host {host:?} and the prefix {prefix:?}")]
    SamePlace {
        /// A route.
        first: Arc<str>,
        /// The other one.
        second: Arc<str>,
        /// Their host.
        host: Arc<str>,
        /// Their prefix.
        prefix: Arc<str>,
    },
    /// No target of a route would be chosen.
    #[error("the weights of route {route:?} add up to 0")]
    NoWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A request would be ended as soon as it arrives.
    #[error("the timeout of route {route:?} is 0")]
    NoTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// A prefix that does not end at a path segment.
    #[error("the prefix {prefix:?} of route {route:?} must begin and end with a slash")]
    Prefix {
        /// The route.
        route: Arc<str>,
        /// Its prefix.
        prefix: Arc<str>,
    },
    /// A key would name two accounts.
    #[error("accounts {first:?} and {second:?} share a key")]
    SharedKey {
        /// An account.
        first: Arc<str>,
        /// The other one.
        second: Arc<str>,
    },
}

impl Document {
    /// Checks the relations between the parts.
    ///
    /// # Errors
    ///
    /// Returns the first rule that does not hold.
    pub fn check(&self) -> Result<(), Invalid> {
        for route in &self.routes {
            self.check_route(route)?;
        }
        self.check_places()?;
        self.check_keys()
    }

    fn check_route(&self, route: &Route) -> Result<(), Invalid> {
        let name = || Arc::clone(&route.name);
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            let prefix = Arc::clone(&route.prefix);
            return Err(Invalid::Prefix {
                route: name(),
                prefix,
            });
        }
        if route.timeout_ms == 0 {
            return Err(Invalid::NoTimeout { route: name() });
        }
        let is_known = |target: &&Target| self.pools.iter().any(|pool| pool.name == target.pool);
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
            return Err(Invalid::NoWeight { route: name() });
        }
        Ok(())
    }

    fn check_places(&self) -> Result<(), Invalid> {
        let mut places: Vec<&Route> = self.routes.iter().collect();
        places.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        for pair in places.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            if first.host == second.host && first.prefix == second.prefix {
                return Err(Invalid::SamePlace {
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
                return Err(Invalid::SharedKey {
                    first: Arc::clone(first),
                    second: Arc::clone(second),
                });
            }
        }
        Ok(())
    }
}
