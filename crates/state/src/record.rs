//! The first replies to the change ids of the recent past.

use std::collections::VecDeque;

use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

use crate::command::ChangeReply;

/// Change ids that are remembered: four days at the target of 2,500 changes a day.
pub const MAX_REPLIES: usize = 10_000;

/// The first reply to a change id.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Record {
    id: Name,
    /// SHA-256 of the encoded change, which tells a resend from another change with the same id.
    pub(crate) digest: [u8; 32],
    pub(crate) reply: ChangeReply,
}

/// The last [`MAX_REPLIES`] records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Records {
    /// Ascending by id.
    records: Vec<Record>,
    /// The same ids, oldest first.
    ages: VecDeque<Name>,
}

impl Records {
    pub(crate) fn get(&self, id: &Name) -> Option<&Record> {
        let at = self.position(id).ok()?;
        self.records.get(at)
    }

    /// Adds the reply to an id that is not yet there.
    pub(crate) fn add(&mut self, id: Name, digest: [u8; 32], reply: ChangeReply) {
        let Err(at) = self.position(&id) else {
            return;
        };
        let record = Record {
            id: id.clone(),
            digest,
            reply,
        };
        self.records.insert(at, record);
        self.ages.push_back(id);
        if self.ages.len() > MAX_REPLIES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(id) = self.ages.pop_front() else {
            return;
        };
        if let Ok(at) = self.position(&id) {
            self.records.remove(at);
        }
    }

    fn position(&self, id: &Name) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.id.cmp(id))
    }
}
