//! The actions that lead from one configuration to another.

use std::sync::Arc;

use crate::change::Action;
use crate::configuration::Configuration;
use crate::item::{Host, Server, State};

/// The actions that turn `old` into `new`.
///
/// Items are matched by name. Ids, versions and retired items are not compared. A difference that no single action
/// can make (another pool or address of a server, another failure domain of a host, a leaving server or host that
/// becomes active again) is expressed as retiring the item and adding it again.
pub fn difference(old: &Configuration, new: &Configuration) -> Vec<Action> {
    let mut actions = Vec::new();
    if old.settings != new.settings {
        actions.push(Action::PutSettings(new.settings.clone()));
    }
    compare_pools(old, new, &mut actions);
    compare_accounts(old, new, &mut actions);
    compare_servers(old, new, &mut actions);
    compare_hosts(old, new, &mut actions);
    // Only now, because a pool cannot be removed before its servers are retired.
    let is_removed = |name: &str| new.pools.get(name).is_none();
    for pool in old
        .pools
        .iter()
        .filter(|pool| is_removed(pool.name.as_str()))
    {
        actions.push(Action::RemovePool(pool.name.clone()));
    }
    actions
}

fn compare_pools(old: &Configuration, new: &Configuration, actions: &mut Vec<Action>) {
    for pool in &new.pools {
        let spec = pool.spec();
        let before = old.pools.get(pool.name.as_str()).map(|pool| pool.spec());
        if before.as_ref() != Some(&spec) {
            actions.push(Action::PutPool(spec));
        }
    }
}

fn compare_accounts(old: &Configuration, new: &Configuration, actions: &mut Vec<Action>) {
    for account in &old.accounts {
        if new.accounts.get(account.name.as_str()).is_none() {
            actions.push(Action::RemoveAccount(account.name.clone()));
        }
    }
    for account in &new.accounts {
        let before = old.accounts.get(account.name.as_str());
        let same = before
            .is_some_and(|before| Arc::ptr_eq(before, account) || before.spec() == account.spec());
        if !same {
            actions.push(Action::PutAccount(account.spec()));
        }
    }
}

fn unretired_server<'a>(configuration: &'a Configuration, name: &str) -> Option<&'a Arc<Server>> {
    let server = configuration.servers.get(name)?;
    (server.state != State::Retired).then_some(server)
}

fn unretired_host<'a>(configuration: &'a Configuration, name: &str) -> Option<&'a Arc<Host>> {
    let host = configuration.hosts.get(name)?;
    (host.state != State::Retired).then_some(host)
}

/// Whether actions other than retiring and adding turn `before` into `after`.
fn can_update_server(before: &Server, after: &Server) -> bool {
    before.pool == after.pool && before.address == after.address && before.state <= after.state
}

/// As [`can_update_server`], for hosts.
fn can_update_host(before: &Host, after: &Host) -> bool {
    before.domain == after.domain && before.state <= after.state
}

fn compare_servers(old: &Configuration, new: &Configuration, actions: &mut Vec<Action>) {
    for before in old.servers.iter().filter(|s| s.state != State::Retired) {
        let after = unretired_server(new, before.name.as_str());
        if !after.is_some_and(|after| can_update_server(before, after)) {
            actions.push(Action::RetireServer(before.name.clone()));
        }
    }
    for after in new.servers.iter().filter(|s| s.state != State::Retired) {
        let before = unretired_server(old, after.name.as_str());
        let state = match before.filter(|before| can_update_server(before, after)) {
            None => {
                actions.push(Action::AddServer(after.spec()));
                State::Active
            }
            Some(before) => {
                if before.spec() != after.spec() {
                    actions.push(Action::PutServer(after.spec()));
                }
                before.state
            }
        };
        if state < after.state {
            actions.push(Action::DrainServer(after.name.clone()));
        }
    }
}

fn compare_hosts(old: &Configuration, new: &Configuration, actions: &mut Vec<Action>) {
    for before in old.hosts.iter().filter(|h| h.state != State::Retired) {
        let after = unretired_host(new, before.name.as_str());
        if !after.is_some_and(|after| can_update_host(before, after)) {
            actions.push(Action::RetireHost(before.name.clone()));
        }
    }
    for after in new.hosts.iter().filter(|h| h.state != State::Retired) {
        let before = unretired_host(old, after.name.as_str());
        let state = match before.filter(|before| can_update_host(before, after)) {
            None => {
                actions.push(Action::AddHost(after.spec()));
                State::Active
            }
            Some(before) => {
                if before.spec() != after.spec() {
                    actions.push(Action::PutHost(after.spec()));
                }
                before.state
            }
        };
        if state < after.state {
            actions.push(Action::DrainHost(after.name.clone()));
        }
    }
}
