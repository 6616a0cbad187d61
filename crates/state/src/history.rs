//! The last accepted changes, by which hosts without a replica of the log update their configuration.

use std::collections::VecDeque;
use std::sync::Arc;

use primrose_config::{Change, Configuration, Refusal};
use serde::{Deserialize, Serialize};

/// Greatest number of changes that are kept: two and a half hours at the target of 2,500 changes a day.
pub const MAX_CHANGES: usize = 256;

/// Greatest number of actions in the changes that are kept. A host that lacks more actions gets the whole
/// configuration, which is then shorter than the changes.
pub const MAX_ACTIONS: usize = 4_096;

/// The last accepted changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct History {
    /// Oldest first, of consecutive versions: the base of each change is the version that the one before made.
    changes: VecDeque<Arc<Change>>,
    /// Number of actions in `changes`.
    actions: usize,
}

impl History {
    pub(crate) fn add(&mut self, change: Change) {
        self.actions += change.actions.len();
        self.changes.push_back(Arc::new(change));
        while self.changes.len() > MAX_CHANGES || self.actions > MAX_ACTIONS {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.actions -= oldest.actions.len();
        }
    }

    /// The changes after `version`, or none if not all of them are kept.
    fn since(&self, version: u64) -> Option<Vec<Arc<Change>>> {
        let first = self.changes.front()?.base;
        let skip = usize::try_from(version.checked_sub(first)?).ok()?;
        Some(self.changes.iter().skip(skip).cloned().collect())
    }

    pub(crate) fn update(&self, version: u64, current: &Configuration) -> Update {
        if version >= current.version {
            return Update::Current;
        }
        match self.since(version) {
            Some(changes) => Update::Changes(changes),
            None => Update::Configuration(Box::new(current.clone())),
        }
    }
}

/// The reply of a voter to a host that asks for a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The host has the voter's version or a newer one.
    Current,
    /// The host applies these changes, oldest first. It skips those that it has.
    Changes(Vec<Arc<Change>>),
    /// The host replaces its configuration with this one.
    Configuration(Box<Configuration>),
}

impl Update {
    /// Returns the host's configuration after the update, or none if the host already has that version or a newer
    /// one.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a change, which means that the host's configuration differs from the voter's of the
    /// same version. The host then asks again with version 0.
    pub fn apply(&self, current: &Configuration) -> Result<Option<Configuration>, Refusal> {
        match self {
            Update::Current => Ok(None),
            Update::Configuration(newer) => {
                let newer = (newer.version > current.version).then(|| Configuration::clone(newer));
                Ok(newer)
            }
            Update::Changes(changes) => {
                let mut next = None;
                for change in changes {
                    let before: &Configuration = next.as_ref().unwrap_or(current);
                    if change.base >= before.version {
                        next = Some(before.apply(change)?);
                    }
                }
                Ok(next)
            }
        }
    }
}
