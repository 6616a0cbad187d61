//! Packets of other hosts and the decisions that follow from them.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_config::Configuration;
use primrose_schedule::choice;
use primrose_schedule::dispatcher::{Action, Candidate};
use primrose_schedule::message::Answer;
use primrose_schedule::queue::Request;
use primrose_wire::peer::{Latency, Packet};

use crate::packets::Received;
use crate::scheduler::Scheduler;
use crate::scheduler::calls::Calls;

impl Scheduler {
    pub(super) fn packet(&mut self, received: Received, now: Time) {
        match received.packet {
            Packet::Report(report) => match &mut self.allocator {
                Some(allocator) => allocator.report(now, &report),
                None => {
                    let owner = self
                        .ownership
                        .owner(now)
                        .filter(|owner| *owner != self.inputs.origin.host);
                    let redirect = Packet::Redirect {
                        from: self.inputs.origin.host,
                        owner,
                    };
                    self.send(report.host, &redirect);
                }
            },
            Packet::Answer { from, answer } => self.answer(from, &answer, now),
            Packet::Redirect {
                from,
                owner: Some(owner),
            } => self.owners.redirect(from, owner, now),
            Packet::Redirect { owner: None, .. } => {}
            Packet::SupportRequest(request) => {
                let output = self.ownership.on_request(now, &request);
                let support = Packet::SupportAnswer {
                    from: self.inputs.origin.host,
                    answer: output.answer,
                };
                self.send(request.owner, &support);
                if let Some(release) = output.release {
                    self.send_to_domain(&Packet::SupportRelease(release));
                }
            }
            Packet::SupportAnswer { from, answer } => self.ownership.on_answer(now, from, &answer),
            Packet::SupportRelease(release) => self.ownership.on_release(now, &release),
            Packet::Latency { servers, .. } => self.merge_paces(&servers, now),
            Packet::Membership(_) | Packet::Consensus { .. } => {}
        }
    }

    pub(super) fn answer(&mut self, from: id::Host, answer: &Answer, now: Time) {
        self.owners.heard(from, now);
        self.dispatcher.answer(now, from, answer);
    }

    pub(super) fn decide(&mut self, now: Time) {
        self.ask(now);
        self.update_allocator(now);
        self.follow_owners(now);
        if self.paces.take_change(now) {
            self.set_servers(now);
        }
        self.send_paces(now);
        // What this host reports to itself can lead to grants that it can use at once.
        while self.poll_dispatcher(now) | self.poll_allocator(now) {}
    }

    pub(super) fn send_paces(&mut self, now: Time) {
        let Some(paces) = self.paces.due(now) else {
            return;
        };
        for domain in Arc::clone(&self.domains).iter() {
            let of_domain = |pace: &&Latency| {
                let server = self.configuration.servers.by_id(pace.server);
                server.is_some_and(|server| server.domain == *domain)
            };
            let servers: Vec<Latency> = paces.iter().filter(of_domain).copied().collect();
            match self.owner(domain, now) {
                _ if servers.is_empty() => {}
                Some(owner) if owner == self.inputs.origin.host => self.merge_paces(&servers, now),
                Some(owner) => self.send(
                    owner,
                    &Packet::Latency {
                        from: self.inputs.origin.host,
                        servers,
                    },
                ),
                None => {}
            }
        }
    }

    /// Takes in how servers of this failure domain served one host.
    pub(super) fn merge_paces(&mut self, servers: &[Latency], now: Time) {
        let Some(allocator) = &self.allocator else {
            return;
        };
        for pace in servers {
            let configured = self
                .configuration
                .servers
                .by_id(pace.server)
                .map_or(1, |server| server.slots);
            let busy = allocator.leased_total(pace.server);
            self.paces.merge(pace, configured, busy, now);
        }
    }

    /// Carries out the decisions of the dispatcher; returns whether the allocator has got something to decide.
    pub(super) fn poll_dispatcher(&mut self, now: Time) -> bool {
        let chooser = Chooser {
            calls: &self.calls,
            prefixes: &self.prefixes,
            configuration: &self.configuration,
        };
        let choose = |request: &Request, candidates: &[Candidate]| {
            choose(&chooser, request, candidates, now)
        };
        let mut has_reported = false;
        for action in self.dispatcher.poll(now, choose) {
            match action {
                Action::Dispatch { request, server } => self.dispatch(request, server),
                Action::Refuse { request, reason } => self.refuse(request, reason),
                Action::Send { to, report } if to == self.inputs.origin.host => {
                    if let Some(allocator) = &mut self.allocator {
                        allocator.report(now, &report);
                        has_reported = true;
                    }
                }
                Action::Send { to, report } => self.send(to, &Packet::Report(report)),
            }
        }
        has_reported
    }

    /// Sends the answers of the allocator; returns whether the dispatcher has got something to decide.
    pub(super) fn poll_allocator(&mut self, now: Time) -> bool {
        let Some(allocator) = &mut self.allocator else {
            return false;
        };
        let me = self.inputs.origin.host;
        let mut has_answered = false;
        for push in allocator.poll(now) {
            if push.to == me {
                self.answer(me, &push.answer, now);
                has_answered = true;
            } else {
                self.send(
                    push.to,
                    &Packet::Answer {
                        from: me,
                        answer: push.answer,
                    },
                );
            }
        }
        has_answered
    }
}

/// Chooses among the servers with an idle slot: by prompt prefix, but not the one that has just failed the request.
fn choose(
    chooser: &Chooser<'_>,
    request: &Request,
    candidates: &[Candidate],
    now: Time,
) -> id::Server {
    let avoid = chooser
        .calls
        .get(request.id)
        .and_then(|entry| entry.call.avoid);
    let is_alternative = |candidate: &&Candidate| Some(candidate.server) != avoid;
    let mut offered: Vec<_> = candidates
        .iter()
        .filter(is_alternative)
        .map(|other| chooser.offer(other))
        .collect();
    if offered.is_empty() {
        offered = candidates
            .iter()
            .map(|candidate| chooser.offer(candidate))
            .collect();
    }
    let prefix = (request.affinity != 0).then_some(choice::Prefix(request.affinity));
    let pick = chooser.prefixes.choose(now, prefix, &offered);
    pick.map_or(id::Server(0), |pick| pick.server)
}

/// What the choice of a server looks at.
struct Chooser<'a> {
    calls: &'a Calls,
    prefixes: &'a choice::Directory,
    configuration: &'a Configuration,
}

impl Chooser<'_> {
    pub(super) fn offer(&self, candidate: &Candidate) -> choice::Candidate {
        let server = self.configuration.servers.by_id(candidate.server);
        choice::Candidate {
            server: candidate.server,
            idle: candidate.idle,
            busy: candidate.running,
            slots: server.map_or(1, |server| server.slots),
        }
    }
}
