//! Forms the fleet, or brings a replica with a new disk into it.
//!
//! The fleet is formed once: only if all voters of the settings answer that their disks are empty, and then by the one
//! with the lowest name. A host that has lost its disk can therefore never form a second fleet, since the other voters
//! are not empty; it introduces itself until the leader has made it a voter.

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
use crate::replica::{Handle, Input, Standing};
use crate::settings::{Peer, Settings};
use crate::submit::{Outcome, Submitter};

/// Interval between two attempts.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time for an answer of another voter.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for the first change of the configuration.
const CHANGE_TIMEOUT_MS: u64 = 5_000;

/// The id of the change that adds the hosts of the settings to a new fleet.
const FIRST_CHANGE: &str = "form-fleet";

/// What the task needs.
pub struct Inputs {
    /// The voters of a new fleet.
    pub settings: Arc<Settings>,
    /// Connections to the voters.
    pub links: Links,
    /// The own replica.
    pub replica: Handle,
    /// Submits the first change.
    pub submitter: Submitter,
    /// Log.
    pub log: Logger,
}

/// Starts the task; it ends when this replica is a voter of a fleet with a configuration.
pub fn spawn(inputs: Inputs) {
    tokio::spawn(inputs.run());
}

impl Inputs {
    async fn run(self) {
        loop {
            let standing = self.replica.standing();
            if is_settled(&standing) && self.has_configuration() {
                return;
            }
            if standing.is_current && !self.has_configuration() {
                self.submit_hosts().await;
            } else if !is_settled(&standing) {
                self.introduce(&standing).await;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }

    fn has_configuration(&self) -> bool {
        self.replica
            .read(|machine| machine.configuration().version > 0)
    }

    async fn introduce(&self, standing: &Standing) {
        let mut introductions = vec![standing.introduction.clone()];
        let voters: Vec<&Peer> = self
            .settings
            .peers
            .iter()
            .filter(|peer| peer.voter)
            .collect();
        for peer in voters.iter().filter(|peer| peer.host != self.settings.host) {
            introductions.extend(self.call(peer, &standing.introduction).await);
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
            self.replica.send(Input::Found(
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

fn is_settled(standing: &Standing) -> bool {
    let own = standing.introduction.replica;
    standing
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
