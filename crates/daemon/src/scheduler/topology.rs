//! Updates from the configuration and the membership view, and the ownership of the failure domains.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Configuration, Server as ServerItem, State as Lifecycle};
use primrose_member::ownership::{Candidate as DomainHost, REQUEST_INTERVAL_MS};
use primrose_schedule::allocator::{self, Allocator, Support};
use primrose_schedule::dispatcher;
use primrose_schedule::ledger::Share;
use primrose_schedule::settings::Settings as ScheduleSettings;
use primrose_wire::peer::Packet;
use slog::info;

use crate::scheduler::Scheduler;

impl Scheduler {
    pub(super) fn update_configuration(&mut self, now: Time) {
        let Some(configuration) = self.inputs.configuration.borrow_and_update().clone() else {
            return;
        };
        let shares: Vec<Share> = configuration
            .accounts
            .iter()
            .map(|account| Share {
                account: account.id,
                share: u64::from(account.share),
            })
            .collect();
        self.dispatcher.set_shares(&shares);
        self.budget.expire(now);
        self.configuration = configuration;
        self.domains = domains_of(&self.configuration);
        self.set_servers(now);
        if let Some(allocator) = &mut self.allocator {
            allocator.set_shares(&shares);
        }
        let hosts = self.configuration.hosts.iter();
        let own = hosts
            .filter(|host| host.domain == self.inputs.domain && host.state == Lifecycle::Active);
        self.ownership.set_candidates(
            own.map(|host| DomainHost {
                host: host.id,
                name: host.name.clone(),
            })
            .collect(),
        );
    }

    pub(super) fn set_servers(&mut self, now: Time) {
        let pool_of = |server: &ServerItem| {
            self.configuration
                .pools
                .get(server.pool.as_str())
                .map(|pool| pool.id)
        };
        let in_use = self
            .configuration
            .servers
            .iter()
            .filter(|server| server.state != Lifecycle::Retired);
        let mut usable = Vec::new();
        let mut owned = Vec::new();
        for server in in_use {
            let Some(pool) = pool_of(server) else {
                continue;
            };
            if server.state == Lifecycle::Active && !self.monitor.is_backing_off(server.id, now) {
                usable.push(dispatcher::Server {
                    server: server.id,
                    pool,
                    domain: server.domain.clone(),
                });
            }
            if server.domain == self.inputs.domain {
                let limit = self.monitor.limit(server.id, server.slots, now);
                owned.push(allocator::Server {
                    server: server.id,
                    pool,
                    limit,
                    leaving: server.state != Lifecycle::Active,
                });
            }
        }
        usable.sort_unstable_by_key(|server| server.server);
        owned.sort_unstable_by_key(|server| server.server);
        self.dispatcher.set_servers(now, &usable);
        if let Some(allocator) = &mut self.allocator {
            allocator.set_servers(&owned);
        }
    }

    pub(super) fn update_view(&mut self) {
        self.view = self.inputs.view.borrow_and_update().clone();
        self.ownership.set_live(self.view.live(&self.inputs.domain));
    }

    /// Returns the configured hosts of `domain` that are alive, sorted by name: the first one is preferred as owner.
    pub(super) fn candidates(&self, domain: &Name) -> Vec<id::Host> {
        let live = self.view.live(domain);
        let configured = self.configuration.hosts.iter();
        let mut hosts: Vec<_> = configured
            .filter(|host| live.binary_search(&host.id).is_ok())
            .collect();
        hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        hosts.into_iter().map(|host| host.id).collect()
    }
}

// Ownership of the failure domains.
impl Scheduler {
    pub(super) fn update_owners(&mut self, now: Time) {
        for domain in Arc::clone(&self.domains).iter() {
            let owner = self.owner(domain, now);
            self.dispatcher.set_owner(now, domain, owner);
        }
    }

    pub(super) fn owner(&mut self, domain: &Name, now: Time) -> Option<id::Host> {
        if *domain == self.inputs.domain {
            return self.ownership.owner(now);
        }
        let candidates = self.candidates(domain);
        self.owners.update(domain, &candidates, now)
    }

    pub(super) fn request_support(&mut self, now: Time) {
        if now < self.next_support_request {
            return;
        }
        self.next_support_request = now.plus_ms(REQUEST_INTERVAL_MS);
        if let Some(request) = self.ownership.request(now) {
            self.send_to_domain(&Packet::SupportRequest(request));
        }
    }

    /// Creates or drops the allocator when this host becomes or ceases to be the owner, and passes the current
    /// support to it.
    pub(super) fn update_allocator(&mut self, now: Time) {
        let Some(share) = self.ownership.share(now) else {
            if self.allocator.take().is_some() {
                info!(self.inputs.log, "no longer the owner of the failure domain");
            }
            return;
        };
        let support = Support {
            supporters: share.supporters,
            hosts: share.hosts,
        };
        if self.allocator.is_none() {
            self.allocator_incarnation += 1;
            self.allocator = Some(Allocator::new(
                now,
                self.allocator_incarnation,
                ScheduleSettings::default(),
            ));
            self.update_configuration(now);
            info!(self.inputs.log, "became the owner of the failure domain";
                "supporters" => share.supporters, "hosts" => share.hosts);
        }
        if let Some(allocator) = &mut self.allocator {
            allocator.set_support(support);
        }
    }

    pub(super) fn send_to_domain(&self, packet: &Packet) {
        for host in self.view.live(&self.inputs.domain) {
            self.send(host, packet);
        }
    }

    pub(super) fn send(&self, to: id::Host, packet: &Packet) {
        if to == self.inputs.origin.host {
            return;
        }
        if let Some(address) = self.view.address(to) {
            self.inputs.outbox.send(address, packet);
        }
    }
}

/// Returns the failure domains that have active hosts, sorted.
fn domains_of(configuration: &Configuration) -> Arc<[Name]> {
    let active = configuration
        .hosts
        .iter()
        .filter(|host| host.state == Lifecycle::Active);
    let mut domains: Vec<Name> = active.map(|host| host.domain.clone()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.into()
}
