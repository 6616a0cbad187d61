//! The exchange with other hosts: handles their packets, and sends reports, answers and latencies.

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
    pub(super) fn handle_packet(&mut self, received: Received, now: Time) {
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
            Packet::Answer { from, answer } => self.receive_answer(from, &answer, now),
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
            Packet::Latency { servers, .. } => self.merge_latencies(&servers, now),
            Packet::Membership(_) | Packet::Consensus { .. } => {}
        }
    }

    pub(super) fn receive_answer(&mut self, from: id::Host, answer: &Answer, now: Time) {
        self.owners.record_answer(from, now);
        self.dispatcher.answer(now, from, answer);
    }

    pub(super) fn decide(&mut self, now: Time) {
        self.request_support(now);
        self.update_allocator(now);
        self.update_owners(now);
        if self.monitor.take_change(now) {
            self.set_servers(now);
        }
        self.send_latencies(now);
        // If this host is the owner, it reports to its own allocator, whose grants it can use at once.
        while self.poll_dispatcher(now) | self.poll_allocator(now) {}
    }

    pub(super) fn send_latencies(&mut self, now: Time) {
        let Some(latencies) = self.monitor.take_due(now) else {
            return;
        };
        for domain in Arc::clone(&self.domains).iter() {
            let of_domain = |latency: &&Latency| {
                let server = self.configuration.servers.by_id(latency.server);
                server.is_some_and(|server| server.domain == *domain)
            };
            let servers: Vec<Latency> = latencies.iter().filter(of_domain).copied().collect();
            match self.owner(domain, now) {
                _ if servers.is_empty() => {}
                Some(owner) if owner == self.inputs.origin.host => {
                    self.merge_latencies(&servers, now)
                }
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

    /// Adds the latencies and failures that one host measured on servers of this failure domain.
    pub(super) fn merge_latencies(&mut self, servers: &[Latency], now: Time) {
        let Some(allocator) = &self.allocator else {
            return;
        };
        for latency in servers {
            let configured = self
                .configuration
                .servers
                .by_id(latency.server)
                .map_or(1, |server| server.slots);
            let busy = allocator.leased_total(latency.server);
            self.monitor.merge(latency, configured, busy, now);
        }
    }

    /// Carries out the decisions of the dispatcher; returns whether the allocator of this host received a report.
    pub(super) fn poll_dispatcher(&mut self, now: Time) -> bool {
        let state = ChoiceState {
            calls: &self.calls,
            prefixes: &self.prefixes,
            configuration: &self.configuration,
        };
        let choose =
            |request: &Request, candidates: &[Candidate]| choose(&state, request, candidates, now);
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

    /// Sends the answers of the allocator; returns whether the dispatcher of this host received one.
    pub(super) fn poll_allocator(&mut self, now: Time) -> bool {
        let Some(allocator) = &mut self.allocator else {
            return false;
        };
        let own = self.inputs.origin.host;
        let mut has_answered = false;
        for envelope in allocator.poll(now) {
            if envelope.to == own {
                self.receive_answer(own, &envelope.answer, now);
                has_answered = true;
            } else {
                self.send(
                    envelope.to,
                    &Packet::Answer {
                        from: own,
                        answer: envelope.answer,
                    },
                );
            }
        }
        has_answered
    }
}

/// Chooses one of the servers with an idle slot, by prompt prefix. The server that has just failed the request is
/// chosen only if there is no other.
fn choose(
    state: &ChoiceState<'_>,
    request: &Request,
    candidates: &[Candidate],
    now: Time,
) -> id::Server {
    let avoid = state
        .calls
        .get(request.id)
        .and_then(|entry| entry.call.avoid);
    let is_alternative = |candidate: &&Candidate| Some(candidate.server) != avoid;
    let mut allowed: Vec<_> = candidates
        .iter()
        .filter(is_alternative)
        .map(|candidate| state.candidate(candidate))
        .collect();
    if allowed.is_empty() {
        allowed = candidates
            .iter()
            .map(|candidate| state.candidate(candidate))
            .collect();
    }
    let prefix = (request.affinity != 0).then_some(choice::Prefix(request.affinity));
    let choice = state.prefixes.choose(now, prefix, &allowed);
    choice.map_or(id::Server(0), |choice| choice.server)
}

/// The state from which [`choose`] chooses a server.
struct ChoiceState<'a> {
    calls: &'a Calls,
    prefixes: &'a choice::Directory,
    configuration: &'a Configuration,
}

impl ChoiceState<'_> {
    pub(super) fn candidate(&self, candidate: &Candidate) -> choice::Candidate {
        let server = self.configuration.servers.by_id(candidate.server);
        choice::Candidate {
            server: candidate.server,
            idle: candidate.idle,
            busy: candidate.running,
            slots: server.map_or(1, |server| server.slots),
        }
    }
}
