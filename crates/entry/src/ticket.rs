//! A booking of a request that was sent.

use std::sync::Arc;

use primrose_fleet::message::Note;
use primrose_place::demand::{Demand, Key};
use primrose_place::placer::Outcome;

use crate::link;

/// Tells the placers what becomes of a request. Invariant: exactly one end is told, also if the request is dropped.
pub(crate) struct Ticket {
    link: link::Handle,
    key: Key,
    is_open: bool,
    has_first: bool,
}

impl Ticket {
    pub(crate) fn open(link: &link::Handle, demand: &Demand, server: &Arc<str>) -> Ticket {
        link.note(Note::Booked {
            demand: demand.clone(),
            server: Arc::clone(server),
        });
        Ticket {
            link: link.clone(),
            key: demand.key,
            is_open: true,
            has_first: false,
        }
    }

    /// The first event has arrived.
    pub(crate) fn first(&mut self) {
        if !std::mem::replace(&mut self.has_first, true) {
            self.link.note(Note::First(self.key));
        }
    }

    pub(crate) fn end(mut self, outcome: Outcome) {
        self.close(outcome);
    }

    fn close(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.is_open, false) {
            let key = self.key;
            self.link.note(Note::End { key, outcome });
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.close(Outcome::Cancelled);
    }
}
