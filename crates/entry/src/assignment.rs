//! Reports on a request that was assigned to a server.

use std::sync::Arc;

use primrose_fleet::message::Update;
use primrose_place::demand::{Demand, Key};
use primrose_place::placer::Outcome;

use crate::link;

/// Reports the progress of one request to the placers. Invariant: exactly one end is reported, even if the request is
/// dropped before it ends.
pub(crate) struct Assignment {
    link: link::Handle,
    key: Key,
    is_open: bool,
    has_first_event: bool,
}

impl Assignment {
    pub(crate) fn open(link: &link::Handle, demand: &Demand, server: &Arc<str>) -> Assignment {
        link.report(Update::Assigned {
            demand: demand.clone(),
            server: Arc::clone(server),
        });
        Assignment {
            link: link.clone(),
            key: demand.key,
            is_open: true,
            has_first_event: false,
        }
    }

    /// Reports that the first event has arrived; later calls do nothing.
    pub(crate) fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.has_first_event, true) {
            self.link.report(Update::FirstEvent(self.key));
        }
    }

    pub(crate) fn end(mut self, outcome: Outcome) {
        self.close(outcome);
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
