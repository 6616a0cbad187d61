//! Submission of commands to the replicated log from any host.

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

/// Pause before the next attempt if no leader is known.
const RETRY_PAUSE_MS: u64 = 50;

/// Timeout of one attempt, after which the next voter is asked: the time of an election and a few round trips.
const ATTEMPT_TIMEOUT_MS: u64 = 2_000;

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command is committed and applied, with the reply of the state machine.
    Applied(Reply),
    /// No leader accepted the command, so it is not in the log.
    Unavailable,
    /// A leader may have appended the command.
    Unknown,
}

/// Submits commands to the leader of the log.
///
/// Each command contains an id, so that a command that is submitted again gets the reply to the first submission.
#[derive(Clone)]
pub struct Submitter {
    settings: Arc<Settings>,
    links: Links,
    /// The replica of this host, if it keeps one.
    replica: Option<replica::Handle>,
    configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// The last known leader; used on hosts without a replica.
    leader: watch::Sender<Option<Name>>,
}

impl Submitter {
    /// Creates a submitter that knows no leader. `replica` is the replica of this host, if it keeps one.
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

    /// Records the current leader, to which the next submission is sent first.
    pub fn set_leader(&self, leader: Option<Name>) {
        self.leader.send_replace(leader);
    }

    /// The leader according to the replica of this host or, without one, the last known leader.
    pub fn leader(&self) -> Option<Name> {
        match &self.replica {
            Some(replica) => replica.status().leader,
            None => self.leader.borrow().clone(),
        }
    }

    /// Submits `command`, again after failed attempts, until it is applied or `timeout_ms` has passed.
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
                .min(Duration::from_millis(ATTEMPT_TIMEOUT_MS));
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

    /// Makes one attempt at `host`; returns `None` if nothing was sent.
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
