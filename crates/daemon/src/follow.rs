//! The task that keeps the configuration up to date on a host without a replica.

use std::sync::Arc;
use std::time::Duration;

use primrose_base::name::Name;
use primrose_config::Configuration;
use primrose_wire::peer::Notification;
use slog::{Logger, info, warn};
use tarpc::context;
use tokio::sync::watch;

use crate::links::Links;
use crate::replica::{address_of, voters};
use crate::settings::Settings;
use crate::submit::Submitter;

/// Pause before the next voter is asked, after a voter gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Timeout of a call. A voter without a newer configuration answers after 3 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_500);

/// The inputs of the task.
pub struct Inputs {
    /// Settings of this daemon, with the voters to ask until there is a configuration.
    pub settings: Arc<Settings>,
    /// Connections to the voters.
    pub links: Links,
    /// Receives every new configuration.
    pub configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// Receives the current leader of the log.
    pub submitter: Submitter,
    /// Receives the log lines of the task.
    pub log: Logger,
}

/// Starts the task, which asks the voters in turn, starting with those in the failure domain of this host.
pub fn spawn(inputs: Inputs) {
    tokio::spawn(inputs.run());
}

impl Inputs {
    async fn run(self) {
        let mut next = 0;
        loop {
            let voters = self.voters();
            let Some(voter) = voters.get(next % voters.len().max(1)) else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            if !self.fetch(voter).await {
                next += 1;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Asks one voter for a newer configuration. Returns whether the voter answered and this host has a
    /// configuration.
    async fn fetch(&self, voter: &Name) -> bool {
        let current = self.configuration.borrow().clone();
        let Ok(address) = address_of(voter, current.as_deref(), &self.settings) else {
            return false;
        };
        let Ok(client) = self.links.client(address).await else {
            return false;
        };
        let version = current.as_ref().map_or(0, |current| current.version);
        match tokio::time::timeout(CALL_TIMEOUT, client.follow(context::current(), version)).await {
            Ok(Ok(Some(notification))) => {
                self.apply(notification, &current.unwrap_or_default());
                // A voter that may lag does not provide the first configuration. The next voter may be the leader.
                self.configuration.borrow().is_some()
            }
            Ok(Ok(None)) => false,
            Ok(Err(_)) | Err(_) => {
                self.links.reset(address).await;
                false
            }
        }
    }

    fn apply(&self, notification: Notification, current: &Configuration) {
        self.submitter.set_leader(notification.leader);
        let Some(update) = notification.update else {
            return;
        };
        match update.apply(current) {
            Ok(Some(next)) => {
                info!(self.log, "configuration in force"; "version" => next.version);
                // This task is the only writer, so the version in force is still that of `current`.
                self.configuration.send_replace(Some(Arc::new(next)));
            }
            Ok(None) => {}
            Err(refusal) => {
                warn!(self.log, "cannot apply an update to the configuration"; "refusal" => refusal.message);
            }
        }
    }

    /// Returns the names of the voters, starting with those in the failure domain of this host.
    fn voters(&self) -> Vec<Name> {
        let own = &self.settings.failure_domain;
        let current = self.configuration.borrow().clone();
        let mut voters = voters(current.as_deref(), &self.settings);
        voters
            .sort_unstable_by(|a, b| (a.domain != *own, &a.host).cmp(&(b.domain != *own, &b.host)));
        voters.into_iter().map(|voter| voter.host).collect()
    }
}
