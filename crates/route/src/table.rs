//! The index over a document in which requests are looked up.

use std::sync::Arc;

use crate::document::{Account, Document, Pool, Route};

/// Finds the route, account and pool of a request by binary search.
#[derive(Clone, Debug, Default)]
pub struct Table {
    document: Arc<Document>,
    /// Indices of routes, sorted by host and then by prefix.
    routes: Vec<usize>,
    /// Keys with the index of their account, sorted by key.
    keys: Vec<(Arc<str>, usize)>,
    /// Indices of pools, sorted by name.
    pools: Vec<usize>,
}

/// The sender of a request, as its key identifies it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Caller<'a> {
    /// The document has no accounts, or the route allows anonymous requests and the request has no
    /// known key.
    Anonymous,
    /// The account to which the key belongs.
    Account(&'a Account),
    /// The key is missing or unknown, and the route requires one.
    Unknown,
}

impl Table {
    /// Builds the index of a document, which must be valid.
    pub fn new(document: Arc<Document>) -> Table {
        let host_and_prefix = |&at: &usize| {
            let route = &document.routes[at];
            (Arc::clone(&route.host), Arc::clone(&route.prefix))
        };
        let mut routes: Vec<usize> = (0..document.routes.len()).collect();
        routes.sort_by_key(host_and_prefix);
        let mut keys = Vec::new();
        for (at, account) in document.accounts.iter().flatten().enumerate() {
            keys.extend(account.keys.iter().map(|key| (Arc::clone(key), at)));
        }
        keys.sort();
        let mut pools: Vec<usize> = (0..document.pools.len()).collect();
        pools.sort_by_key(|&at| Arc::clone(&document.pools[at].name));
        Table {
            document,
            routes,
            keys,
            pools,
        }
    }

    /// The document from which this table was built.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the route of `host` with the longest prefix of `path`. The port of the host and the
    /// query of the path are ignored, and the host is compared without regard to case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        // Every prefix of a route ends with a slash, so it can end only where the path has one.
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| self.exact(&host, &path[..end]))
            .next()
    }

    /// Returns the route with exactly this host and prefix.
    fn exact(&self, host: &str, prefix: &str) -> Option<&Route> {
        let routes = &self.document.routes;
        let at = self
            .routes
            .binary_search_by(|&at| (&*routes[at].host, &*routes[at].prefix).cmp(&(host, prefix)))
            .ok()?;
        Some(&routes[self.routes[at]])
    }

    /// Identifies the sender of a request on `route` that carries `key`.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller<'_> {
        let Some(accounts) = &self.document.accounts else {
            return Caller::Anonymous;
        };
        let known = key.and_then(|key| {
            let at = self
                .keys
                .binary_search_by(|(other, _)| (**other).cmp(key))
                .ok()?;
            Some(&accounts[self.keys[at].1])
        });
        match known {
            Some(account) => Caller::Account(account),
            None if route.allows_anonymous => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Returns the pool with this name, or `None` if the document has none.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let pools = &self.document.pools;
        let at = self
            .pools
            .binary_search_by(|&at| (*pools[at].name).cmp(name))
            .ok()?;
        Some(&pools[self.pools[at]])
    }
}

/// Chooses the pool for a request on `route` by the weights of the targets. Over many requests,
/// `draw` must be uniformly distributed. Returns `None` only if the weights add up to 0.
pub fn choose_pool(route: &Route, draw: u64) -> Option<&Arc<str>> {
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let mut rest = draw.checked_rem(total)?;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if rest < weight {
            return Some(&target.pool);
        }
        rest -= weight;
    }
    None
}
