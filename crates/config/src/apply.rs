//! Applies a change to a configuration.

use std::sync::Arc;

use primrose_base::name::Name;

use crate::change::{Action, Change, Code, EMPTY_MESSAGE, Refusal};
use crate::configuration::{Configuration, Conflict, MAX_VOTERS};
use crate::item::{Account, Host, Pool, Server, State};
use crate::spec::{self, InvalidField};
use crate::table::{Item, Table};

/// Retired servers that are kept, and as many retired hosts: about a week of replacements in a fleet of the target
/// size. Without a bound the list would grow with every replaced machine.
pub const MAX_RETIRED: usize = 256;

/// Why an action is refused.
struct Reason {
    code: Code,
    message: String,
    field: Option<&'static str>,
}

/// The result of applying an action or a part of it.
type Outcome = Result<(), Reason>;

impl From<InvalidField> for Reason {
    fn from(invalid: InvalidField) -> Reason {
        Reason {
            code: Code::InvalidValue,
            message: invalid.message,
            field: Some(invalid.field),
        }
    }
}

fn reason(code: Code, message: String) -> Reason {
    Reason {
        code,
        message,
        field: None,
    }
}

impl Configuration {
    /// Returns the configuration after `change`, with the next version.
    ///
    /// Actions are applied in order. Constraints between items (distinct keys, model names and addresses; at least
    /// one active host and one voter) are checked only on the result, so that a change can swap keys or replace a
    /// host.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] of the whole change. Its `action` is the first action that cannot be applied or, if a
    /// constraint between items is violated, the last action that contributed to it.
    pub fn apply(&self, change: &Change) -> Result<Configuration, Refusal> {
        if change.base != self.version {
            let message = format!(
                "the change was written against version {}, the current version is {}",
                change.base, self.version
            );
            return Err(Refusal::of_change(Code::BaseVersion, message));
        }
        if change.actions.is_empty() {
            return Err(Refusal::of_change(Code::Empty, EMPTY_MESSAGE));
        }
        let mut next = self.clone();
        for (index, action) in change.actions.iter().enumerate() {
            next.apply_action(action)
                .map_err(|reason| refusal(reason, Some(index)))?;
        }
        next.reindex_and_check(self, &change.actions)?;
        next.version = self.version + 1;
        Ok(next)
    }

    fn apply_action(&mut self, action: &Action) -> Outcome {
        match action {
            Action::PutSettings(settings) => {
                settings.check()?;
                self.settings = settings.clone();
                Ok(())
            }
            Action::PutAccount(spec) => self.put_account(spec),
            Action::RemoveAccount(name) => remove(&mut self.accounts, "account", name),
            Action::PutPool(spec) => self.put_pool(spec),
            Action::RemovePool(name) => self.remove_pool(name),
            Action::AddServer(spec) => self.add_server(spec),
            Action::PutServer(spec) => self.put_server(spec),
            Action::DrainServer(name) => self.advance_server(name, State::Leaving),
            Action::RetireServer(name) => self.advance_server(name, State::Retired),
            Action::AddHost(spec) => self.add_host(spec),
            Action::PutHost(spec) => self.put_host(spec),
            Action::DrainHost(name) => self.advance_host(name, State::Leaving),
            Action::RetireHost(name) => self.advance_host(name, State::Retired),
        }
    }

    fn put_account(&mut self, spec: &spec::Account) -> Outcome {
        let mut spec = spec.clone();
        spec.normalise();
        spec.check()?;
        let id = match self.accounts.get(spec.name.as_str()) {
            Some(account) => account.id,
            None => assign_id(&mut self.next_ids.account, |id| &mut id.0)?,
        };
        self.accounts.put(Account::from_spec(id, spec));
        Ok(())
    }

    fn put_pool(&mut self, spec: &spec::Pool) -> Outcome {
        spec.check()?;
        let id = match self.pools.get(spec.name.as_str()) {
            Some(pool) => pool.id,
            None => assign_id(&mut self.next_ids.pool, |id| &mut id.0)?,
        };
        self.pools.put(Pool::from_spec(id, spec.clone()));
        Ok(())
    }

    fn remove_pool(&mut self, name: &Name) -> Outcome {
        let uses = |server: &&Arc<Server>| server.state != State::Retired && server.pool == *name;
        if let Some(server) = self.servers.iter().find(uses) {
            let message = format!(
                "pool {name} still has server {}; retire its servers first",
                server.name
            );
            return Err(reason(Code::InUse, message));
        }
        remove(&mut self.pools, "pool", name)
    }

    fn add_server(&mut self, spec: &spec::Server) -> Outcome {
        spec.check()?;
        if let Some(server) = self.servers.get(spec.name.as_str()) {
            must_be_retired("server", &server.name, server.state)?;
        }
        self.require_pool(&spec.pool)?;
        let id = assign_id(&mut self.next_ids.server, |id| &mut id.0)?;
        self.servers
            .put(Server::from_spec(id, spec.clone(), State::Active));
        Ok(())
    }

    fn put_server(&mut self, spec: &spec::Server) -> Outcome {
        spec.check()?;
        let old = find(&self.servers, "server", &spec.name)?;
        must_not_be_retired("server", &spec.name, old.state)?;
        must_be_unchanged("server", "pool", old.pool == spec.pool)?;
        must_be_unchanged("server", "address", old.address == spec.address)?;
        let server = Server::from_spec(old.id, spec.clone(), old.state);
        self.servers.put(server);
        Ok(())
    }

    fn advance_server(&mut self, name: &Name, state: State) -> Outcome {
        let old = find(&self.servers, "server", name)?;
        must_advance("server", name, old.state, state)?;
        let mut server = Server::clone(old);
        server.state = state;
        self.servers.put(server);
        drop_oldest_retired(&mut self.servers, |server| server.state);
        Ok(())
    }

    fn add_host(&mut self, spec: &spec::Host) -> Outcome {
        spec.check()?;
        if let Some(host) = self.hosts.get(spec.name.as_str()) {
            must_be_retired("host", &host.name, host.state)?;
        }
        let id = assign_id(&mut self.next_ids.host, |id| &mut id.0)?;
        self.hosts
            .put(Host::from_spec(id, spec.clone(), State::Active));
        Ok(())
    }

    fn put_host(&mut self, spec: &spec::Host) -> Outcome {
        spec.check()?;
        let old = find(&self.hosts, "host", &spec.name)?;
        must_not_be_retired("host", &spec.name, old.state)?;
        must_be_unchanged("host", "domain", old.domain == spec.domain)?;
        let host = Host::from_spec(old.id, spec.clone(), old.state);
        self.hosts.put(host);
        Ok(())
    }

    fn advance_host(&mut self, name: &Name, state: State) -> Outcome {
        let old = find(&self.hosts, "host", name)?;
        must_advance("host", name, old.state, state)?;
        let mut host = Host::clone(old);
        host.state = state;
        self.hosts.put(host);
        drop_oldest_retired(&mut self.hosts, |host| host.state);
        Ok(())
    }

    fn require_pool(&self, pool: &Name) -> Outcome {
        if self.pools.get(pool.as_str()).is_some() {
            return Ok(());
        }
        Err(Reason {
            code: Code::UnknownName,
            message: format!("there is no pool {pool}"),
            field: Some("pool"),
        })
    }

    /// Rebuilds the indexes of the lists that `actions` change, and checks the constraints between items.
    fn reindex_and_check(
        &mut self,
        old: &Configuration,
        actions: &[Action],
    ) -> Result<(), Refusal> {
        let changes = |list| actions.iter().any(|action| target(action).0 == list);
        let refuse = |conflict: Option<Conflict>| match conflict {
            None => Ok(()),
            Some(conflict) => Err(conflict_refusal(conflict, actions)),
        };
        if changes("accounts") {
            self.index_accounts();
            refuse(self.key_conflict())?;
        }
        if changes("pools") {
            self.index_pools();
            refuse(self.model_conflict())?;
        }
        if changes("servers") {
            self.index_servers();
            refuse(self.server_conflict())?;
        }
        if changes("hosts") {
            refuse(self.host_conflict())?;
            self.check_hosts(old)
                .map_err(|reason| refusal(reason, last_host_action(actions)))?;
        }
        Ok(())
    }

    fn check_hosts(&self, old: &Configuration) -> Outcome {
        let has_active = |configuration: &Configuration| {
            let mut hosts = configuration.hosts.iter();
            hosts.any(|host| host.state == State::Active)
        };
        if has_active(old) && !has_active(self) {
            let message = "the fleet must keep at least one active host".to_owned();
            return Err(reason(Code::LastHost, message));
        }
        let voters = self.voters().count();
        if old.voters().count() > 0 && voters == 0 {
            let message = "the fleet must keep at least one voter".to_owned();
            return Err(reason(Code::Voters, message));
        }
        if voters > MAX_VOTERS {
            let message =
                format!("the fleet can have at most {MAX_VOTERS} voters, but would have {voters}");
            return Err(reason(Code::Voters, message));
        }
        Ok(())
    }
}

fn refusal(reason: Reason, index: Option<usize>) -> Refusal {
    Refusal {
        code: reason.code,
        message: reason.message,
        action: index.map(|index| index as u32),
        field: reason.field.map(str::to_owned),
    }
}

/// The refusal for a conflict between two items. Its `action` is the last action on one of them, which caused the
/// conflict.
fn conflict_refusal(conflict: Conflict, actions: &[Action]) -> Refusal {
    let involved = |action: &Action| {
        let (list, name) = target(action);
        list == conflict.list && name.is_some_and(|name| conflict.names.contains(name))
    };
    let index = actions.iter().rposition(involved);
    Refusal {
        code: conflict.code,
        message: conflict.message,
        action: index.map(|index| index as u32),
        field: Some(conflict.field.to_owned()),
    }
}

fn last_host_action(actions: &[Action]) -> Option<usize> {
    actions
        .iter()
        .rposition(|action| target(action).0 == "hosts")
}

/// The list that an action changes, and the name of the item in it.
fn target(action: &Action) -> (&'static str, Option<&Name>) {
    match action {
        Action::PutSettings(_) => ("settings", None),
        Action::PutAccount(spec) => ("accounts", Some(&spec.name)),
        Action::RemoveAccount(name) => ("accounts", Some(name)),
        Action::PutPool(spec) => ("pools", Some(&spec.name)),
        Action::RemovePool(name) => ("pools", Some(name)),
        Action::AddServer(spec) | Action::PutServer(spec) => ("servers", Some(&spec.name)),
        Action::DrainServer(name) | Action::RetireServer(name) => ("servers", Some(name)),
        Action::AddHost(spec) | Action::PutHost(spec) => ("hosts", Some(&spec.name)),
        Action::DrainHost(name) | Action::RetireHost(name) => ("hosts", Some(name)),
    }
}

/// Returns the id in `next` and increments `next`. `number` gets the number in an id.
fn assign_id<T: Copy>(next: &mut T, number: impl Fn(&mut T) -> &mut u32) -> Result<T, Reason> {
    let id = *next;
    let number = number(next);
    match number.checked_add(1) {
        Some(after) => *number = after,
        None => {
            let message = "all ids of this type have been used".to_owned();
            return Err(reason(Code::InvalidValue, message));
        }
    }
    Ok(id)
}

fn unknown(noun: &str, name: &Name) -> Reason {
    reason(Code::UnknownName, format!("there is no {noun} {name}"))
}

fn find<'a, T: Item>(table: &'a Table<T>, noun: &str, name: &Name) -> Result<&'a Arc<T>, Reason> {
    table.get(name.as_str()).ok_or_else(|| unknown(noun, name))
}

fn remove<T: Item>(table: &mut Table<T>, noun: &str, name: &Name) -> Outcome {
    match table.remove(name.as_str()) {
        Some(_) => Ok(()),
        None => Err(unknown(noun, name)),
    }
}

fn must_be_retired(noun: &str, name: &Name, state: State) -> Outcome {
    if state == State::Retired {
        return Ok(());
    }
    Err(Reason {
        code: Code::DuplicateName,
        message: format!("there is already a {noun} {name}"),
        field: Some("name"),
    })
}

fn must_not_be_retired(noun: &str, name: &Name, state: State) -> Outcome {
    if state != State::Retired {
        return Ok(());
    }
    let message = format!("{noun} {name} is retired; add it again to use it");
    Err(reason(Code::WrongState, message))
}

fn must_be_unchanged(noun: &str, field: &'static str, unchanged: bool) -> Outcome {
    if unchanged {
        return Ok(());
    }
    Err(Reason {
        code: Code::InvalidValue,
        message: format!(
            "the {field} of a {noun} cannot change; retire the {noun} and add it again"
        ),
        field: Some(field),
    })
}

fn must_advance(noun: &str, name: &Name, from: State, to: State) -> Outcome {
    if to > from {
        return Ok(());
    }
    let state = match from {
        State::Active => "active",
        State::Leaving => "leaving",
        State::Retired => "retired",
    };
    let message = format!("{noun} {name} is already {state}");
    Err(reason(Code::WrongState, message))
}

/// Removes the retired item with the least id if there are more than [`MAX_RETIRED`]. One removal is enough, because
/// an action retires at most one item.
fn drop_oldest_retired<T: Item>(table: &mut Table<T>, state: impl Fn(&T) -> State) {
    let retired = |item: &&Arc<T>| state(item) == State::Retired;
    let count = table.iter().filter(retired).count();
    if count <= MAX_RETIRED {
        return;
    }
    let oldest = table.iter().filter(retired).min_by_key(|item| item.id());
    if let Some(name) = oldest.map(|item| item.name().clone()) {
        table.remove(name.as_str());
    }
}
