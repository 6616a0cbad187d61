//! The configuration with the indexes that request routing needs.

use std::sync::Arc;

use primrose_base::id;
use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

use crate::change::Code;
use crate::item::{Account, Host, Kind, Pool, Server, State};
use crate::key::KeyHash;
use crate::table::{Item, Table};

/// Greatest number of voters in a fleet.
pub const MAX_VOTERS: usize = 9;

/// Settings that apply to the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Loads from the weight store that may be started per minute on average; with 0 none is started.
    pub weight_loads_per_minute: u32,
    /// Loads that may be started at once after a pause, at least 1: the capacity of the token bucket.
    pub weight_load_burst: u32,
    /// Requests of one account that may wait on one host, at least 1. An account can override it.
    pub waiting_limit: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            weight_loads_per_minute: 6,
            weight_load_burst: 2,
            waiting_limit: 256,
        }
    }
}

impl Settings {
    pub(crate) fn check(&self) -> Result<(), crate::spec::InvalidField> {
        let (field, value) = if self.weight_load_burst == 0 {
            ("weight_load_burst", 0)
        } else {
            ("waiting_limit", self.waiting_limit)
        };
        if value > 0 {
            return Ok(());
        }
        Err(crate::spec::InvalidField {
            field,
            message: format!("{field} must be at least 1"),
        })
    }
}

/// The ids that the next added items get. They only grow, so an id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NextIds {
    /// Id of the next account, from 1.
    pub account: id::Account,
    /// Id of the next pool, from 1.
    pub pool: id::Pool,
    /// Id of the next server, from 1.
    pub server: id::Server,
    /// Id of the next host, from 1.
    pub host: id::Host,
}

impl Default for NextIds {
    fn default() -> NextIds {
        NextIds {
            account: id::Account(1),
            pool: id::Pool(1),
            server: id::Server(1),
            host: id::Host(1),
        }
    }
}

/// A version of the configuration.
///
/// Cloning is cheap, because the tables and indexes are shared. Two values are equal if they print as the same text.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Document", into = "Document")]
pub struct Configuration {
    /// 0 for the empty configuration; each accepted change adds 1.
    pub version: u64,
    /// The ids that the next added items get.
    pub next_ids: NextIds,
    /// Settings that apply to the whole fleet.
    pub settings: Settings,
    /// Client accounts. Removed ones are not kept.
    pub accounts: Table<Account>,
    /// Pools of backend servers. Removed ones are not kept.
    pub pools: Table<Pool>,
    /// Backend servers, including leaving and the last [`crate::apply::MAX_RETIRED`] retired ones.
    pub servers: Table<Server>,
    /// Hosts, including leaving and the last [`crate::apply::MAX_RETIRED`] retired ones.
    pub hosts: Table<Host>,
    /// Index of `accounts`, ascending by key hash.
    keys: Arc<Vec<(KeyHash, Arc<Account>)>>,
    /// Index of the `pools` that serve a model, ascending by model name.
    models: Arc<Vec<(Arc<str>, Arc<Pool>)>>,
    /// Index of the active `servers`, ascending by pool and name.
    active: Arc<Vec<Arc<Server>>>,
}

impl PartialEq for Configuration {
    fn eq(&self, other: &Configuration) -> bool {
        self.version == other.version
            && self.next_ids == other.next_ids
            && self.settings == other.settings
            && self.accounts == other.accounts
            && self.pools == other.pools
            && self.servers == other.servers
            && self.hosts == other.hosts
    }
}

impl Eq for Configuration {}

impl Configuration {
    /// The account that an API key belongs to.
    ///
    /// The search compares hashes, so its duration reveals nothing about other keys.
    pub fn account_by_key(&self, key: &KeyHash) -> Option<&Arc<Account>> {
        let at = self
            .keys
            .binary_search_by_key(key, |(hash, _)| *hash)
            .ok()?;
        self.keys.get(at).map(|(_, account)| account)
    }

    /// The pool that serves the model with this name in requests.
    pub fn pool_by_model(&self, model: &str) -> Option<&Arc<Pool>> {
        let at = self
            .models
            .binary_search_by(|(name, _)| name.as_ref().cmp(model))
            .ok()?;
        self.models.get(at).map(|(_, pool)| pool)
    }

    /// The pool of a plain service. `name` is the path segment after `/plain/`.
    pub fn plain_pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools
            .get(name)
            .filter(|pool| matches!(pool.kind, Kind::Plain))
    }

    /// The model names that requests can contain, ascending, each with its pool.
    pub fn models(&self) -> &[(Arc<str>, Arc<Pool>)] {
        &self.models
    }

    /// The active servers of a pool, ascending by name.
    pub fn active_servers(&self, pool: &str) -> &[Arc<Server>] {
        let start = self
            .active
            .partition_point(|server| server.pool.as_str() < pool);
        let rest = self.active.get(start..).unwrap_or_default();
        let count = rest.partition_point(|server| server.pool.as_str() == pool);
        rest.get(..count).unwrap_or_default()
    }

    /// Requests of `account` that may wait on one host: the account's own limit or else the fleet's.
    pub fn waiting_limit(&self, account: &Account) -> u32 {
        account.waiting_limit.unwrap_or(self.settings.waiting_limit)
    }

    /// Rebuilds the index by key hash.
    pub(crate) fn index_accounts(&mut self) {
        let entries = self
            .accounts
            .iter()
            .flat_map(|account| account.keys.iter().map(move |key| (*key, account.clone())));
        let mut keys: Vec<_> = entries.collect();
        keys.sort_unstable_by_key(|(key, _)| *key);
        self.keys = Arc::new(keys);
    }

    /// Rebuilds the index by model name.
    pub(crate) fn index_pools(&mut self) {
        let mut models: Vec<_> = self
            .pools
            .iter()
            .filter_map(|pool| match &pool.kind {
                Kind::Model { model, .. } => Some((model.clone(), pool.clone())),
                Kind::Plain => None,
            })
            .collect();
        models.sort_by(|a, b| a.0.cmp(&b.0));
        self.models = Arc::new(models);
    }

    /// Rebuilds the index of active servers.
    pub(crate) fn index_servers(&mut self) {
        let is_active = |server: &&Arc<Server>| server.state == State::Active;
        let mut active: Vec<_> = self.servers.iter().filter(is_active).cloned().collect();
        // The sort is stable: within a pool the order of names stays.
        active.sort_by(|a, b| a.pool.cmp(&b.pool));
        self.active = Arc::new(active);
    }

    /// The first pair of accounts with the same API key. The index by key hash must be current.
    pub(crate) fn key_conflict(&self) -> Option<Conflict> {
        let pair = self.keys.windows(2).find(|pair| pair[0].0 == pair[1].0)?;
        let names = [pair[0].1.name.clone(), pair[1].1.name.clone()];
        let message = format!(
            "accounts {} and {} have the same API key",
            names[0], names[1]
        );
        Some(Conflict::new(
            Code::DuplicateKey,
            "accounts",
            names,
            "keys",
            message,
        ))
    }

    /// The first pair of pools that serve the same model name. The index by model name must be current.
    pub(crate) fn model_conflict(&self) -> Option<Conflict> {
        let pair = self.models.windows(2).find(|pair| pair[0].0 == pair[1].0)?;
        let names = [pair[0].1.name.clone(), pair[1].1.name.clone()];
        let message = format!(
            "pools {} and {} serve the same model {:?}",
            names[0], names[1], pair[0].0
        );
        Some(Conflict::new(
            Code::DuplicateModel,
            "pools",
            names,
            "kind",
            message,
        ))
    }

    /// The first pair of servers with the same address, retired ones excepted.
    pub(crate) fn server_conflict(&self) -> Option<Conflict> {
        let in_use = self.servers.iter().filter(|s| s.state != State::Retired);
        let addresses = in_use.map(|server| (server.address, &server.name));
        same_address("servers", "address", addresses.collect())
    }

    /// The first pair of hosts with the same address, retired ones excepted.
    pub(crate) fn host_conflict(&self) -> Option<Conflict> {
        let in_use = self.hosts.iter().filter(|h| h.state != State::Retired);
        let addresses = in_use.map(|host| (host.peer, &host.name));
        same_address("hosts", "peer", addresses.collect())
    }

    /// Hosts that keep a voting replica of the log, retired ones excepted.
    pub fn voters(&self) -> impl Iterator<Item = &Arc<Host>> {
        self.hosts
            .iter()
            .filter(|host| host.voter && host.state != State::Retired)
    }
}

/// Two items have the same value in a field that must be unique.
pub(crate) struct Conflict {
    pub(crate) code: Code,
    /// Key of the list in the YAML text.
    pub(crate) list: &'static str,
    /// The names of the two items.
    pub(crate) names: [Name; 2],
    /// Key of the field in the YAML text.
    pub(crate) field: &'static str,
    pub(crate) message: String,
}

impl Conflict {
    fn new(
        code: Code,
        list: &'static str,
        names: [Name; 2],
        field: &'static str,
        message: String,
    ) -> Conflict {
        Conflict {
            code,
            list,
            names,
            field,
            message,
        }
    }
}

fn same_address(
    list: &'static str,
    field: &'static str,
    mut addresses: Vec<(std::net::SocketAddr, &Name)>,
) -> Option<Conflict> {
    addresses.sort_unstable();
    let pair = addresses.windows(2).find(|pair| pair[0].0 == pair[1].0)?;
    let names = [pair[0].1.clone(), pair[1].1.clone()];
    let message = format!(
        "{list} {} and {} have the same address {}",
        names[0], names[1], pair[0].0
    );
    Some(Conflict::new(
        Code::DuplicateAddress,
        list,
        names,
        field,
        message,
    ))
}

/// The serialized form of a configuration, not yet validated.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Document {
    version: u64,
    next_ids: NextIds,
    settings: Settings,
    accounts: Vec<Arc<Account>>,
    pools: Vec<Arc<Pool>>,
    servers: Vec<Arc<Server>>,
    hosts: Vec<Arc<Host>>,
}

impl From<Configuration> for Document {
    fn from(value: Configuration) -> Document {
        Document {
            version: value.version,
            next_ids: value.next_ids,
            settings: value.settings,
            accounts: value.accounts.items().to_vec(),
            pools: value.pools.items().to_vec(),
            servers: value.servers.items().to_vec(),
            hosts: value.hosts.items().to_vec(),
        }
    }
}

/// A document is not a valid configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct DocumentError {
    pub(crate) message: String,
    /// Key of the list in the YAML text, or `settings`.
    pub(crate) list: &'static str,
    /// Index of the item in the list, from 0; none for the settings.
    pub(crate) index: Option<usize>,
    /// Key of the field in the YAML text.
    pub(crate) field: &'static str,
}

impl TryFrom<Document> for Configuration {
    type Error = DocumentError;

    fn try_from(document: Document) -> Result<Configuration, DocumentError> {
        document.check()?;
        let mut next_ids = document.next_ids;
        raise_next_id(&mut next_ids.account.0, &document.accounts, |a| a.id.0);
        raise_next_id(&mut next_ids.pool.0, &document.pools, |p| p.id.0);
        raise_next_id(&mut next_ids.server.0, &document.servers, |s| s.id.0);
        raise_next_id(&mut next_ids.host.0, &document.hosts, |h| h.id.0);
        let find = |list, names: &[&Name], name: &Name| {
            let index = names.iter().position(|other| *other == name);
            (list, index)
        };
        let mut configuration = Configuration {
            version: document.version,
            next_ids,
            settings: document.settings.clone(),
            accounts: Table::new(sorted_keys(&document.accounts)),
            pools: Table::new(document.pools.clone()),
            servers: Table::new(document.servers.clone()),
            hosts: Table::new(document.hosts.clone()),
            ..Configuration::default()
        };
        configuration.index_accounts();
        configuration.index_pools();
        configuration.index_servers();
        let conflict = configuration
            .key_conflict()
            .or_else(|| configuration.model_conflict())
            .or_else(|| configuration.server_conflict())
            .or_else(|| configuration.host_conflict());
        let Some(conflict) = conflict else {
            return Ok(configuration);
        };
        let names = document.names(conflict.list);
        let first = find(conflict.list, &names, &conflict.names[0]).1;
        let second = find(conflict.list, &names, &conflict.names[1]).1;
        Err(DocumentError {
            message: conflict.message,
            list: conflict.list,
            index: first.max(second),
            field: conflict.field,
        })
    }
}

/// The accounts with sorted keys. In the operator's text the keys may be in any order.
fn sorted_keys(accounts: &[Arc<Account>]) -> Vec<Arc<Account>> {
    let sort = |account: &Arc<Account>| {
        if account.keys.is_sorted() {
            return account.clone();
        }
        let mut sorted = Account::clone(account);
        sorted.keys.sort_unstable();
        Arc::new(sorted)
    };
    accounts.iter().map(sort).collect()
}

/// Raises `next` above the greatest id in `items`.
fn raise_next_id<T>(next: &mut u32, items: &[Arc<T>], id: impl Fn(&T) -> u32) {
    let greatest = items.iter().map(|item| id(item)).max().unwrap_or(0);
    *next = (*next).max(greatest.saturating_add(1));
}

impl Document {
    fn names(&self, list: &str) -> Vec<&Name> {
        match list {
            "accounts" => self.accounts.iter().map(|a| &a.name).collect(),
            "pools" => self.pools.iter().map(|p| &p.name).collect(),
            "servers" => self.servers.iter().map(|s| &s.name).collect(),
            _ => self.hosts.iter().map(|h| &h.name).collect(),
        }
    }

    /// Checks each item and list on its own, and that the pool of each server exists.
    fn check(&self) -> Result<(), DocumentError> {
        self.settings.check().map_err(|invalid| DocumentError {
            message: invalid.message,
            list: "settings",
            index: None,
            field: invalid.field,
        })?;
        check_list("accounts", &self.accounts, |account| {
            let mut spec = account.spec();
            spec.normalise();
            spec.check()
        })?;
        check_list("pools", &self.pools, |pool| pool.spec().check())?;
        check_list("servers", &self.servers, |server| server.spec().check())?;
        check_list("hosts", &self.hosts, |host| host.spec().check())?;
        let mut pools: Vec<&Name> = self.pools.iter().map(|pool| &pool.name).collect();
        pools.sort_unstable();
        let known = |server: &Server| {
            server.state == State::Retired || pools.binary_search(&&server.pool).is_ok()
        };
        match self.servers.iter().position(|server| !known(server)) {
            None => Ok(()),
            Some(index) => Err(DocumentError {
                message: format!("there is no pool {:?}", self.servers[index].pool),
                list: "servers",
                index: Some(index),
                field: "pool",
            }),
        }
    }
}

fn check_list<T: Item>(
    list: &'static str,
    items: &[Arc<T>],
    check: impl Fn(&T) -> Result<(), crate::spec::InvalidField>,
) -> Result<(), DocumentError>
where
    T::Id: Default + std::fmt::Display,
{
    let error = |index, field, message| DocumentError {
        message,
        list,
        index: Some(index),
        field,
    };
    for (index, item) in items.iter().enumerate() {
        check(item).map_err(|invalid| error(index, invalid.field, invalid.message))?;
    }
    let mut names: Vec<(&Name, usize)> = Vec::with_capacity(items.len());
    names.extend(items.iter().enumerate().map(|(at, item)| (item.name(), at)));
    names.sort_unstable();
    if let Some(pair) = names.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        let message = format!("the name {} is listed twice", pair[1].0);
        return Err(error(pair[1].1, "name", message));
    }
    // Any number of items may have id 0, which means that no id is assigned.
    let unassigned = T::Id::default();
    let mut ids: Vec<(T::Id, usize)> = items
        .iter()
        .enumerate()
        .map(|(at, item)| (item.id(), at))
        .filter(|(id, _)| *id != unassigned)
        .collect();
    ids.sort_unstable();
    if let Some(pair) = ids.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        let message = format!("the id {} is listed twice", pair[1].0);
        return Err(error(pair[1].1, "id", message));
    }
    Ok(())
}
