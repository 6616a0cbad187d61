//! Forms the fleet, or adds a replica with a new disk to it.
//!
//! The fleet is formed once, by the voter with the lowest name, and only if all voters in the settings answer that
//! their data folders are empty. A host that has lost its disk can therefore never form a second fleet, because the
//! other voters are not empty. It introduces itself to them until the leader has made it a voter.

use std::sync::Arc;
use std::time::Duration;

use primrose_config::spec::Host as HostSpec;
use primrose_config::{Action, Change};
use primrose_consensus::membership::Member;
use primrose_state::{ChangeReply, Command, Reply};
use primrose_wire::peer::Introduction;
use slog::{Logger, warn};
use tarpc::context;

use crate::links::Links;
use crate::replica::{Handle, Input, Status};
use crate::settings::{Peer, Settings};
use crate::submit::{Outcome, Submitter};

/// Interval between two checks of the state, each with an attempt to form or join the fleet.
const INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a call to another voter.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for the submission of the first change of the configuration.
const CHANGE_TIMEOUT_MS: u64 = 5_000;

/// Id of the change that adds the hosts in the settings to the configuration of a new fleet.
const FIRST_CHANGE: &str = "form-fleet";

/// The inputs of the task.
pub struct Inputs {
    /// List the hosts of a new fleet, with its voters.
    pub settings: Arc<Settings>,
    /// Connections to the other voters.
    pub links: Links,
    /// The replica of this host.
    pub replica: Handle,
    /// Submits the first change of the configuration.
    pub submitter: Submitter,
    /// Receives the log lines of the task.
    pub log: Logger,
}

/// Starts the task, which ends when this replica is a voter of a fleet that has a configuration.
pub fn spawn(inputs: Inputs) {
    tokio::spawn(inputs.run());
}

impl Inputs {
    async fn run(self) {
        loop {
            let status = self.replica.status();
            if is_voter(&status) && self.has_configuration() {
                return;
            }
            if status.is_caught_up && !self.has_configuration() {
                self.submit_hosts().await;
            } else if !is_voter(&status) {
                self.introduce(&status).await;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }

    fn has_configuration(&self) -> bool {
        self.replica
            .read(|machine| machine.configuration().version > 0)
    }

    async fn introduce(&self, status: &Status) {
        let mut introductions = vec![status.introduction.clone()];
        let voters: Vec<&Peer> = self
            .settings
            .peers
            .iter()
            .filter(|peer| peer.voter)
            .collect();
        for peer in voters.iter().filter(|peer| peer.host != self.settings.host) {
            introductions.extend(self.call(peer, &status.introduction).await);
        }
        let all_answered = introductions.len() == voters.len();
        let all_empty = introductions
            .iter()
            .all(|introduction| introduction.is_empty);
        let lowest = introductions
            .iter()
            .map(|introduction| &introduction.host)
            .min();
        if all_answered && all_empty && lowest == Some(&self.settings.host) {
            self.replica.send(Input::Bootstrap(
                introductions.into_iter().map(member).collect(),
            ));
        }
    }

    async fn call(&self, peer: &Peer, introduction: &Introduction) -> Option<Introduction> {
        let client = self.links.client(peer.peer_address).await.ok()?;
        let call = client.introduce(context::current(), introduction.clone());
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(introduction)) => introduction,
            Ok(Err(_)) | Err(_) => {
                self.links.reset(peer.peer_address).await;
                None
            }
        }
    }

    async fn submit_hosts(&self) {
        let actions = self.settings.peers.iter().map(|peer| {
            Action::AddHost(HostSpec {
                name: peer.host.clone(),
                domain: peer.failure_domain.clone(),
                peer: peer.peer_address,
                voter: peer.voter,
            })
        });
        let change = Change {
            id: FIRST_CHANGE.parse().expect("the id is a valid name"),
            base: 0,
            actions: actions.collect(),
        };
        let outcome = self
            .submitter
            .submit(Command::Change(change), CHANGE_TIMEOUT_MS)
            .await;
        let is_accepted = matches!(
            outcome,
            Outcome::Applied(Reply::Change(ChangeReply::Accepted { .. }))
        );
        if !is_accepted {
            warn!(self.log, "the hosts of the settings are not in the configuration yet"; "outcome" => ?outcome);
        }
    }
}

fn is_voter(status: &Status) -> bool {
    let own = status.introduction.replica;
    status
        .members
        .iter()
        .any(|member| member.id == own && member.voter)
}

fn member(introduction: Introduction) -> Member {
    Member {
        id: introduction.replica,
        host: introduction.host,
        voter: true,
    }
}
