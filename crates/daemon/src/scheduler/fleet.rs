//! The configuration, the membership view and who owns which failure domain.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Configuration, Server as ServerItem, State as Life};
use primrose_member::ownership::{Candidate as DomainHost, REQUEST_INTERVAL_MS};
use primrose_schedule::borrower;
use primrose_schedule::ledger::Share;
use primrose_schedule::lender::{self, Lender, Support};
use primrose_schedule::settings::Settings as Tuning;
use primrose_wire::peer::Packet;
use slog::info;

use crate::scheduler::Scheduler;

impl Scheduler {
    pub(super) fn configure(&mut self, now: Time) {
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
        self.borrower.set_shares(&shares);
        self.budget.expire(now);
        self.configuration = configuration;
        self.domains = domains_of(&self.configuration);
        self.set_servers(now);
        if let Some(lender) = &mut self.lender {
            lender.set_shares(&shares);
        }
        let hosts = self.configuration.hosts.iter();
        let own =
            hosts.filter(|host| host.domain == self.inputs.domain && host.state == Life::Active);
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
            .filter(|server| server.state != Life::Retired);
        let mut borrowed = Vec::new();
        let mut lent = Vec::new();
        for server in in_use {
            let Some(pool) = pool_of(server) else {
                continue;
            };
            if server.state == Life::Active && !self.paces.is_paused(server.id, now) {
                borrowed.push(borrower::Server {
                    server: server.id,
                    pool,
                    domain: server.domain.clone(),
                });
            }
            if server.domain == self.inputs.domain {
                let limit = self.paces.limit(server.id, server.slots, now);
                lent.push(lender::Server {
                    server: server.id,
                    pool,
                    limit,
                    leaving: server.state != Life::Active,
                });
            }
        }
        borrowed.sort_unstable_by_key(|server| server.server);
        lent.sort_unstable_by_key(|server| server.server);
        self.borrower.set_servers(now, &borrowed);
        if let Some(lender) = &mut self.lender {
            lender.set_servers(&lent);
        }
    }

    pub(super) fn observe(&mut self) {
        self.view = self.inputs.view.borrow_and_update().clone();
        self.ownership.set_live(self.view.live(&self.inputs.domain));
    }

    /// Live hosts of `domain`, the preferred owner first.
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

// Ownership of the backend servers of a failure domain.
impl Scheduler {
    pub(super) fn follow_owners(&mut self, now: Time) {
        for domain in Arc::clone(&self.domains).iter() {
            let owner = self.owner(domain, now);
            self.borrower.set_owner(now, domain, owner);
        }
    }

    pub(super) fn owner(&mut self, domain: &Name, now: Time) -> Option<id::Host> {
        if *domain == self.inputs.domain {
            return self.ownership.owner(now);
        }
        let candidates = self.candidates(domain);
        self.owners.update(domain, &candidates, now)
    }

    pub(super) fn ask(&mut self, now: Time) {
        if now < self.next_ask {
            return;
        }
        self.next_ask = now.plus_ms(REQUEST_INTERVAL_MS);
        if let Some(request) = self.ownership.request(now) {
            self.send_to_domain(&Packet::SupportRequest(request));
        }
    }

    /// Starts or ends lending as the support of this host changes.
    pub(super) fn lend(&mut self, now: Time) {
        let Some(share) = self.ownership.share(now) else {
            if self.lender.take().is_some() {
                info!(self.inputs.log, "no longer the owner of the failure domain");
            }
            return;
        };
        let support = Support {
            supporters: share.supporters,
            hosts: share.hosts,
        };
        if self.lender.is_none() {
            self.lender_incarnation += 1;
            self.lender = Some(Lender::new(now, self.lender_incarnation, Tuning::default()));
            self.configure(now);
            info!(self.inputs.log, "owner of the failure domain";
                "supporters" => share.supporters, "hosts" => share.hosts);
        }
        if let Some(lender) = &mut self.lender {
            lender.set_support(support);
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

/// Failure domains that have hosts, sorted.
fn domains_of(configuration: &Configuration) -> Arc<[Name]> {
    let active = configuration
        .hosts
        .iter()
        .filter(|host| host.state == Life::Active);
    let mut domains: Vec<Name> = active.map(|host| host.domain.clone()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.into()
}
