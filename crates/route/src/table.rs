//! A document in the form in which requests are looked up.

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

/// What a key says about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Caller<'a> {
    /// The document has no accounts, or the route needs no key and the request has none that is known.
    Anonymous,
    /// The account that holds the key.
    Account(&'a Account),
    /// The key is missing or unknown, and the route needs one.
    Unknown,
}

impl Table {
    /// Builds the indices of a valid document.
    pub fn new(document: Arc<Document>) -> Table {
        let place = |&at: &usize| {
            let route = &document.routes[at];
            (Arc::clone(&route.host), Arc::clone(&route.prefix))
        };
        let mut routes: Vec<usize> = (0..document.routes.len()).collect();
        routes.sort_by_key(place);
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

    /// The document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The route of `host` with the longest prefix that begins `path`. The host is compared without its port and without
    /// regard to case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        // Each prefix ends with a slash, so only the positions of slashes can end one.
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| self.exact(&host, &path[..end]))
            .next()
    }

    fn exact(&self, host: &str, prefix: &str) -> Option<&Route> {
        let routes = &self.document.routes;
        let at = self
            .routes
            .binary_search_by(|&at| (&*routes[at].host, &*routes[at].prefix).cmp(&(host, prefix)))
            .ok()?;
        Some(&routes[self.routes[at]])
    }

    /// Whose request it is on `route`.
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

    /// The pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let pools = &self.document.pools;
        let at = self
            .pools
            .binary_search_by(|&at| (*pools[at].name).cmp(name))
            .ok()?;
        Some(&pools[self.pools[at]])
    }
}

/// The pool of a route for one request: `draw` is any number that is spread evenly over requests.
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
