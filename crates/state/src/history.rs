//! The recent changes, for hosts that follow the log.

use std::collections::VecDeque;
use std::sync::Arc;

use primrose_config::{Change, Configuration, Refusal};
use serde::{Deserialize, Serialize};

/// Changes that are kept: two hours and a half at the target of 2,500 changes a day.
pub const MAX_CHANGES: usize = 256;

/// Actions that are kept. A follower that misses more gets the configuration, which is then shorter.
pub const MAX_ACTIONS: usize = 4_096;

/// The last accepted changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct History {
    /// Without gaps, oldest first. The base of each is the version before it.
    changes: VecDeque<Arc<Change>>,
    /// Actions in all of them.
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

    /// The changes after `version`, or none if they are not kept.
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

/// What a host has to do to reach the version of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing: the host's version is as new, or newer.
    Current,
    /// Apply these changes.
    Changes(Vec<Arc<Change>>),
    /// Take this configuration.
    Configuration(Box<Configuration>),
}

impl Update {
    /// The configuration of a host after the update, or none if it has that version or a newer one already.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a change. It means that the host's configuration is not the voter's of the same version;
    /// the host then asks again with version 0.
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
