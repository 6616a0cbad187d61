//! Reports on a request that was assigned to a server.

use primrose_base::clock::Time;
use primrose_fleet::message::Update;
use primrose_place::Server;
use primrose_place::demand::{Demand, Key, Prompt};
use primrose_place::placer::Outcome;
use primrose_place::quarantine::BEGINNING_MS;

use crate::link;
use crate::notice::Block;

/// Reports the progress of one request to the placers. Invariant: exactly one end is reported, even if the request is
/// dropped before it ends.
pub(crate) struct Assignment {
    link: link::Handle,
    key: Key,
    server: Server,
    /// Whether the prompt has parts that may crash servers.
    has_shared_parts: bool,
    is_open: bool,
    first_event: Option<Time>,
    /// Whether the answer reports no success, so that its events say nothing about the prompt.
    is_refusal: bool,
}

impl Assignment {
    pub(crate) fn open(link: &link::Handle, demand: &Demand, server: &Server) -> Assignment {
        link.report(Update::Assigned {
            demand: demand.clone(),
            server: server.id.clone(),
        });
        let prompt = demand.prompt.as_ref();
        Assignment {
            link: link.clone(),
            key: demand.key,
            server: server.clone(),
            has_shared_parts: prompt.is_some_and(|prompt| !Prompt::shared_parts(prompt).is_empty()),
            is_open: true,
            first_event: None,
            is_refusal: false,
        }
    }

    /// Records that the answer reports no success. Its first event is then not reported.
    pub(crate) fn record_refusal(&mut self) {
        self.is_refusal = true;
    }

    /// Reports that the first event has arrived; later calls do nothing.
    pub(crate) fn record_first_event(&mut self) {
        if self.first_event.is_none() && !self.is_refusal {
            self.first_event = Some(Time::now());
            self.link.report(Update::FirstEvent(self.key));
        }
    }

    pub(crate) fn end(mut self, outcome: Outcome) {
        self.close(outcome);
    }

    /// Reports that the connection to the server broke, and finds out whether the server has ended if the request may be
    /// the reason.
    pub(crate) fn end_broken(mut self) {
        self.report_broken();
        let has_gone_on = self
            .first_event
            .is_some_and(|first_event| Time::now().since(first_event) >= BEGINNING_MS);
        if self.has_shared_parts && !has_gone_on && !self.is_leaving() {
            self.link.crashes.check(&self.link, &self.server);
        }
        self.close(Outcome::Answered { failed: true });
    }

    /// Reports that the server was silent for too long.
    pub(crate) fn end_silent(self) {
        self.report_broken();
        self.end(Outcome::Answered { failed: true });
    }

    /// Reports that the server may restart, unless it has said that it leaves.
    fn report_broken(&self) {
        if !self.is_leaving() {
            self.link.report(Update::Broken(self.server.id.clone()));
        }
    }

    /// Whether the server has said that it leaves: it then ends as planned.
    fn is_leaving(&self) -> bool {
        let notices = self.link.notices();
        notices.block(Time::now(), &self.server.id) == Some(Block::Leaving)
    }

    fn close(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.is_open, false) {
            let key = self.key;
            self.link.report(Update::End { key, outcome });
        }
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        self.close(Outcome::Cancelled);
    }
}
