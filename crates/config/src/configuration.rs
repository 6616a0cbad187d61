//! The configuration as a value, with the lookups of a router.

use std::sync::Arc;

use primrose_base::id;
use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

use crate::change::Code;
use crate::item::{Account, Host, Kind, Pool, Server, State};
use crate::key::KeyHash;
use crate::table::{Entry, Table};

/// Voters that the fleet has at most.
pub const MAX_VOTERS: usize = 9;

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Loads from the weight store that are started per minute in the long run; 0 starts none.
    pub weight_loads_per_minute: u32,
    /// Loads that may be started at once after a pause, at least 1.
    pub weight_load_burst: u32,
    /// Requests of one account that may wait on one host, for accounts without a limit of their own; at least 1.
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
    pub(crate) fn check(&self) -> Result<(), crate::spec::Invalid> {
        let (field, value) = if self.weight_load_burst == 0 {
            ("weight_load_burst", 0)
        } else {
            ("waiting_limit", self.waiting_limit)
        };
        if value > 0 {
            return Ok(());
        }
        Err(crate::spec::Invalid {
            field,
            message: format!("{field} is at least 1"),
        })
    }
}

/// The ids that the next new items receive. They only grow, so an id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NextIds {
    /// For an account.
    pub account: id::Account,
    /// For a pool.
    pub pool: id::Pool,
    /// For a server.
    pub server: id::Server,
    /// For a host.
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
/// Cloning is cheap. Two values are equal if they have the same text.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Document", into = "Document")]
pub struct Configuration {
    /// 0 for the empty configuration; each accepted change adds 1.
    pub version: u64,
    /// The ids that the next new items receive.
    pub next_ids: NextIds,
    /// Settings of the whole fleet.
    pub settings: Settings,
    /// Client accounts.
    pub accounts: Table<Account>,
    /// Pools.
    pub pools: Table<Pool>,
    /// Backend servers, also those that leave or are retired.
    pub servers: Table<Server>,
    /// Hosts, also those that leave or are retired.
    pub hosts: Table<Host>,
    /// Derived from `accounts`: ascending by key hash.
    keys: Arc<Vec<(KeyHash, Arc<Account>)>>,
    /// Derived from `pools`: those that serve a model, ascending by model name.
    models: Arc<Vec<(Arc<str>, Arc<Pool>)>>,
    /// Derived from `servers`: the active ones, ascending by pool and name.
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
    /// The search compares hashes, so its duration tells a caller nothing about other keys.
    pub fn account_by_key(&self, key: &KeyHash) -> Option<&Arc<Account>> {
        let at = self
            .keys
            .binary_search_by_key(key, |(hash, _)| *hash)
            .ok()?;
        self.keys.get(at).map(|(_, account)| account)
    }

    /// The pool that serves the model which callers know by this name.
    pub fn pool_by_model(&self, model: &str) -> Option<&Arc<Pool>> {
        let at = self
            .models
            .binary_search_by(|(name, _)| name.as_ref().cmp(model))
            .ok()?;
        self.models.get(at).map(|(_, pool)| pool)
    }

    /// The plain service with this name, the first part of the path after `/plain/`.
    pub fn plain_pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools
            .get(name)
            .filter(|pool| matches!(pool.kind, Kind::Plain))
    }

    /// The names of the models that callers can ask for, ascending, each with its pool.
    pub fn models(&self) -> &[(Arc<str>, Arc<Pool>)] {
        &self.models
    }

    /// The active servers of a pool in the order of their names.
    pub fn active_servers(&self, pool: &str) -> &[Arc<Server>] {
        let start = self
            .active
            .partition_point(|server| server.pool.as_str() < pool);
        let rest = self.active.get(start..).unwrap_or_default();
        let count = rest.partition_point(|server| server.pool.as_str() == pool);
        rest.get(..count).unwrap_or_default()
    }

    /// Requests of `account` that may wait on one host.
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

    /// Rebuilds the list of active servers.
    pub(crate) fn index_servers(&mut self) {
        let is_active = |server: &&Arc<Server>| server.state == State::Active;
        let mut active: Vec<_> = self.servers.iter().filter(is_active).cloned().collect();
        // The sort is stable: within a pool the order of names stays.
        active.sort_by(|a, b| a.pool.cmp(&b.pool));
        self.active = Arc::new(active);
    }

    /// The first pair of accounts with the same API key. Needs the index by key hash.
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

    /// The first pair of pools that serve the same model name. Needs the index by model name.
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

    /// The first pair of servers with the same address, apart from retired ones.
    pub(crate) fn server_conflict(&self) -> Option<Conflict> {
        let in_use = self.servers.iter().filter(|s| s.state != State::Retired);
        let addresses = in_use.map(|server| (server.address, &server.name));
        same_address("servers", "address", addresses.collect())
    }

    /// The first pair of hosts with the same address, apart from retired ones.
    pub(crate) fn host_conflict(&self) -> Option<Conflict> {
        let in_use = self.hosts.iter().filter(|h| h.state != State::Retired);
        let addresses = in_use.map(|host| (host.peer, &host.name));
        same_address("hosts", "peer", addresses.collect())
    }

    /// Hosts that keep a replica of the log, apart from retired ones.
    pub fn voters(&self) -> impl Iterator<Item = &Arc<Host>> {
        self.hosts
            .iter()
            .filter(|host| host.voter && host.state != State::Retired)
    }
}

/// Two items that exclude each other.
pub(crate) struct Conflict {
    pub(crate) code: Code,
    /// The key of the list in the text.
    pub(crate) list: &'static str,
    /// Names of the two items.
    pub(crate) names: [Name; 2],
    /// The key of the field in the text.
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

/// The configuration as it is written in a text or a snapshot, not yet checked.
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

/// A document that is no valid configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Fault {
    pub(crate) message: String,
    /// The key of the list, or of the settings.
    pub(crate) list: &'static str,
    /// Index in the list.
    pub(crate) index: Option<usize>,
    /// The key of the field in the item.
    pub(crate) field: &'static str,
}

impl TryFrom<Document> for Configuration {
    type Error = Fault;

    fn try_from(document: Document) -> Result<Configuration, Fault> {
        document.check()?;
        let mut next_ids = document.next_ids;
        raise(&mut next_ids.account.0, &document.accounts, |a| a.id.0);
        raise(&mut next_ids.pool.0, &document.pools, |p| p.id.0);
        raise(&mut next_ids.server.0, &document.servers, |s| s.id.0);
        raise(&mut next_ids.host.0, &document.hosts, |h| h.id.0);
        let place = |list, names: &[&Name], name: &Name| {
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
        let first = place(conflict.list, &names, &conflict.names[0]).1;
        let second = place(conflict.list, &names, &conflict.names[1]).1;
        Err(Fault {
            message: conflict.message,
            list: conflict.list,
            index: first.max(second),
            field: conflict.field,
        })
    }
}

/// The accounts with the keys of each in ascending order, which the operator's text need not have.
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

fn raise<T>(next: &mut u32, items: &[Arc<T>], id: impl Fn(&T) -> u32) {
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

    /// Checks all that concerns a single item, and the references between the lists.
    fn check(&self) -> Result<(), Fault> {
        self.settings.check().map_err(|invalid| Fault {
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
            Some(index) => Err(Fault {
                message: format!("there is no pool {:?}", self.servers[index].pool),
                list: "servers",
                index: Some(index),
                field: "pool",
            }),
        }
    }
}

fn check_list<T: Entry>(
    list: &'static str,
    items: &[Arc<T>],
    check: impl Fn(&T) -> Result<(), crate::spec::Invalid>,
) -> Result<(), Fault>
where
    T::Id: Default + std::fmt::Display,
{
    let fault = |index, field, message| Fault {
        message,
        list,
        index: Some(index),
        field,
    };
    for (index, item) in items.iter().enumerate() {
        check(item).map_err(|invalid| fault(index, invalid.field, invalid.message))?;
    }
    let mut names: Vec<(&Name, usize)> = Vec::with_capacity(items.len());
    names.extend(items.iter().enumerate().map(|(at, item)| (item.name(), at)));
    names.sort_unstable();
    if let Some(pair) = names.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        let message = format!("the name {} is listed twice", pair[1].0);
        return Err(fault(pair[1].1, "name", message));
    }
    // Items without an id have id 0 and may be many.
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
        return Err(fault(pair[1].1, "id", message));
    }
    Ok(())
}
