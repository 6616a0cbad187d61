//! Keeps the configuration of a host without a replica up to date.

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

/// Pause after a voter did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A voter that is silent for this long is taken as lost; it holds a call open for 3 s at most.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_500);

/// What the task needs.
pub struct Inputs {
    /// Where the voters are until there is a configuration.
    pub settings: Arc<Settings>,
    /// Connections to the voters.
    pub links: Links,
    /// Receives every new configuration.
    pub configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// Learns who leads the log.
    pub submitter: Submitter,
    /// Log.
    pub log: Logger,
}

/// Starts to follow the voters, the ones of the own failure domain first.
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
            if !self.follow(voter).await {
                next += 1;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Asks one voter; returns whether it answered and this host has a configuration.
    async fn follow(&self, voter: &Name) -> bool {
        let current = self.configuration.borrow().clone();
        let Ok(address) = address_of(voter, current.as_deref(), &self.settings) else {
            return false;
        };
        let Ok(client) = self.links.client(address).await else {
            return false;
        };
        let version = current.as_ref().map_or(0, |current| current.version);
        match tokio::time::timeout(CALL_TIMEOUT, client.follow(context::current(), version)).await {
            Ok(Ok(Some(news))) => {
                self.take(news, &current.unwrap_or_default());
                // A voter that may lag gives the first configuration to nobody; the next one may be the leader.
                self.configuration.borrow().is_some()
            }
            Ok(Ok(None)) => false,
            Ok(Err(_)) | Err(_) => {
                self.links.reset(address).await;
                false
            }
        }
    }

    fn take(&self, news: Notification, current: &Configuration) {
        self.submitter.set_leader(news.leader);
        let Some(update) = news.update else {
            return;
        };
        match update.apply(current) {
            Ok(Some(next)) => {
                info!(self.log, "configuration in force"; "version" => next.version);
                // This task is the only writer, so the version cannot have moved on meanwhile.
                self.configuration.send_replace(Some(Arc::new(next)));
            }
            Ok(None) => {}
            Err(refusal) => {
                warn!(self.log, "a change does not fit the configuration"; "refusal" => refusal.message);
            }
        }
    }

    /// Voters, those of the own failure domain first.
    fn voters(&self) -> Vec<Name> {
        let own = &self.settings.failure_domain;
        let current = self.configuration.borrow().clone();
        let mut voters = voters(current.as_deref(), &self.settings);
        voters
            .sort_unstable_by(|a, b| (a.domain != *own, &a.host).cmp(&(b.domain != *own, &b.host)));
        voters.into_iter().map(|voter| voter.host).collect()
    }
}
