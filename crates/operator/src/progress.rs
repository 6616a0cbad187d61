//! How far a version has spread over the fleet.

use std::time::Duration;

use primrose_base::name::Name;
use primrose_state::api::Status;
use serde::Serialize;

use crate::client::{Client, Error};

/// Time between two questions while waiting, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// On which hosts a version is in force, as one daemon sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// Reachable hosts with the version or a newer one.
    pub in_force: Vec<Name>,
    /// Reachable hosts with an older version, or none that is known.
    pub behind: Vec<Name>,
    /// Hosts that the daemon does not reach. They get the version once they are reachable again.
    pub unreachable: Vec<Name>,
}

impl Progress {
    /// The progress of `version` according to `status`.
    pub fn of(version: u64, status: &Status) -> Progress {
        let mut progress = Progress::default();
        for host in &status.hosts {
            let list = match host.version {
                _ if !host.reachable => &mut progress.unreachable,
                Some(its) if its >= version => &mut progress.in_force,
                _ => &mut progress.behind,
            };
            list.push(host.name.clone());
        }
        progress
    }

    /// Whether the version is in force on every reachable host.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty()
    }
}

impl Client {
    /// Waits until `version` is in force on every reachable host, at most for `patience`, and returns how far it is.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no daemon answers when the time has passed.
    pub async fn wait(&self, version: u64, patience: Duration) -> Result<Progress, Error> {
        let deadline = tokio::time::Instant::now() + patience;
        loop {
            let progress = self
                .status()
                .await
                .map(|status| Progress::of(version, &status));
            let complete = progress.as_ref().is_ok_and(Progress::is_complete);
            if complete || tokio::time::Instant::now() >= deadline {
                return progress;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}
