//! Submissions to the log from any host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_config::Configuration;
use primrose_state::{Command, Reply};
use primrose_wire::peer::Submitted;
use tarpc::context;
use tokio::sync::watch;

use crate::links::Links;
use crate::replica::{self, address_of};
use crate::settings::Settings;

/// Pause before the next attempt when there is no leader.
const RETRY_PAUSE_MS: u64 = 50;

/// Longest wait for one attempt, after which the next voter is asked: the time of an election and a few round trips.
const ATTEMPT_MS: u64 = 2_000;

/// What a submission led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Committed and applied.
    Applied(Reply),
    /// No leader accepted it: it is not in the log.
    Unavailable,
    /// A leader may have appended it.
    Unknown,
}

/// Submits commands to the leader of the log.
///
/// Commands carry ids, so that a second submission of the same command gets the first reply.
#[derive(Clone)]
pub struct Submitter {
    settings: Arc<Settings>,
    links: Links,
    /// `Some` on hosts that keep a replica.
    replica: Option<replica::Handle>,
    configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// The leader that this host heard of last.
    leader: watch::Sender<Option<Name>>,
}

impl Submitter {
    /// A submitter for this host.
    pub fn new(
        settings: Arc<Settings>,
        links: Links,
        replica: Option<replica::Handle>,
        configuration: watch::Receiver<Option<Arc<Configuration>>>,
    ) -> Submitter {
        let (leader, _) = watch::channel(None);
        Submitter {
            settings,
            links,
            replica,
            configuration,
            leader,
        }
    }

    /// Records who leads, for the next submission.
    pub fn set_leader(&self, leader: Option<Name>) {
        self.leader.send_replace(leader);
    }

    /// The leader that this host heard of last.
    pub fn leader(&self) -> Option<Name> {
        match &self.replica {
            Some(replica) => replica.status().leader,
            None => self.leader.borrow().clone(),
        }
    }

    /// Submits `command` until it is applied or `timeout_ms` has passed.
    pub async fn submit(&self, command: Command, timeout_ms: u64) -> Outcome {
        let deadline = Time::now().plus_ms(timeout_ms);
        let mut may_be_appended = false;
        let mut target = self.leader();
        let mut next = 0;
        while Time::now() < deadline {
            let configuration = self.configuration.borrow().clone();
            let voters = replica::voters(configuration.as_deref(), &self.settings);
            let host = target.take().or_else(|| {
                voters
                    .get(next % voters.len().max(1))
                    .map(|voter| voter.host.clone())
            });
            next += 1;
            let Some(host) = host else {
                return Outcome::Unavailable;
            };
            let limit = deadline
                .until(Time::now())
                .min(Duration::from_millis(ATTEMPT_MS));
            match tokio::time::timeout(limit, self.submit_to(&host, command.clone())).await {
                Ok(Some(Submitted::Applied(reply))) => {
                    self.set_leader(Some(host));
                    return Outcome::Applied(reply);
                }
                Ok(Some(Submitted::NotLeader { leader })) if leader.as_ref() != Some(&host) => {
                    target = leader
                }
                Ok(Some(Submitted::NotLeader { .. }) | None) => {}
                Ok(Some(Submitted::Unknown)) | Err(_) => may_be_appended = true,
            }
            if target.is_none() {
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
        if may_be_appended {
            Outcome::Unknown
        } else {
            Outcome::Unavailable
        }
    }

    /// `None` if nothing was sent.
    async fn submit_to(&self, host: &Name, command: Command) -> Option<Submitted> {
        if *host == self.settings.host {
            return Some(self.replica.as_ref()?.submit(command).await);
        }
        let address = self.address(host)?;
        let client = self.links.client(address).await.ok()?;
        match client.submit(context::current(), command).await {
            Ok(submitted) => Some(submitted),
            Err(_) => {
                self.links.reset(address).await;
                Some(Submitted::Unknown)
            }
        }
    }

    fn address(&self, host: &Name) -> Option<SocketAddr> {
        let configuration = self.configuration.borrow().clone();
        address_of(host, configuration.as_deref(), &self.settings).ok()
    }
}
