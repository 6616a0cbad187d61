//! The actions that lead from one configuration to another.

use std::sync::Arc;

use crate::change::Action;
use crate::configuration::Configuration;
use crate::item::{Host, Server, State};

/// The actions that turn `old` into `new`.
///
/// Items are matched by name. Ids, versions and retired items are not compared. A change that an item cannot undergo
/// (another pool or address of a server, another failure domain of a host, the return of a leaving one) is expressed as
/// its retirement and a new start.
pub fn difference(old: &Configuration, new: &Configuration) -> Vec<Action> {
    let mut actions = Vec::new();
    if old.settings != new.settings {
        actions.push(Action::PutSettings(new.settings.clone()));
    }
    put_pools(old, new, &mut actions);
    accounts(old, new, &mut actions);
    servers(old, new, &mut actions);
    hosts(old, new, &mut actions);
    let gone = |name: &str| new.pools.get(name).is_none();
    for pool in old.pools.iter().filter(|pool| gone(pool.name.as_str())) {
        actions.push(Action::RemovePool(pool.name.clone()));
    }
    actions
}

fn put_pools(old: &Configuration, new: &Configuration, actions: &mut Vec<Action>) {
    for pool in &new.pools {
        let spec = pool.spec();
        let before = old.pools.get(pool.name.as_str()).map(|pool| pool.spec());
        if before.as_ref() != Some(&spec) {
            actions.push(Action::PutPool(spec));
        }
    }
}

fn accounts(old: &Configuration, new: &Configuration, actions: &mut Vec<Action>) {
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

fn present_server<'a>(configuration: &'a Configuration, name: &str) -> Option<&'a Arc<Server>> {
    let server = configuration.servers.get(name)?;
    (server.state != State::Retired).then_some(server)
}

fn present_host<'a>(configuration: &'a Configuration, name: &str) -> Option<&'a Arc<Host>> {
    let host = configuration.hosts.get(name)?;
    (host.state != State::Retired).then_some(host)
}

fn keeps_server(before: &Server, after: &Server) -> bool {
    before.pool == after.pool && before.address == after.address && before.state <= after.state
}

fn keeps_host(before: &Host, after: &Host) -> bool {
    before.domain == after.domain && before.state <= after.state
}

fn servers(old: &Configuration, new: &Configuration, actions: &mut Vec<Action>) {
    for before in old.servers.iter().filter(|s| s.state != State::Retired) {
        let after = present_server(new, before.name.as_str());
        if !after.is_some_and(|after| keeps_server(before, after)) {
            actions.push(Action::RetireServer(before.name.clone()));
        }
    }
    for after in new.servers.iter().filter(|s| s.state != State::Retired) {
        let before = present_server(old, after.name.as_str());
        let state = match before.filter(|before| keeps_server(before, after)) {
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

fn hosts(old: &Configuration, new: &Configuration, actions: &mut Vec<Action>) {
    for before in old.hosts.iter().filter(|h| h.state != State::Retired) {
        let after = present_host(new, before.name.as_str());
        if !after.is_some_and(|after| keeps_host(before, after)) {
            actions.push(Action::RetireHost(before.name.clone()));
        }
    }
    for after in new.hosts.iter().filter(|h| h.state != State::Retired) {
        let before = present_host(old, after.name.as_str());
        let state = match before.filter(|before| keeps_host(before, after)) {
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
