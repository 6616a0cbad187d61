//! The state machine that every voter runs.

use primrose_base::name::Name;
use primrose_config::{Change, Code, Configuration, Refusal};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::claim::{Claims, Limits};
use crate::command::{ChangeReply, Command, Members, Reply};
use crate::history::{History, Update};
use crate::order::{Order, Orders};
use crate::recent::Recent;

/// Number of change ids whose reply is remembered: four days at the target of 2,500 changes a day.
pub const MAX_REPLIES: usize = 10_000;

/// Version of the snapshot format, the first byte of a snapshot.
const SNAPSHOT_FORMAT: u8 = 1;

/// All replicated state. It changes only by [`Machine::apply`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Machine {
    configuration: Configuration,
    /// The replies to the last [`MAX_REPLIES`] change ids.
    records: Recent<Name, Record>,
    history: History,
    claims: Claims,
    orders: Orders,
    members: Members,
}

/// The reply to a change id, which a resend of the change gets again.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Record {
    /// SHA-256 of the encoded change, which distinguishes a resend from another change with the same id.
    digest: [u8; 32],
    reply: ChangeReply,
}

/// The error of [`Machine::restore`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot was written by a release with another format.
    #[error(
        "snapshot format {found:?} is not supported, this release reads format {SNAPSHOT_FORMAT}"
    )]
    Format {
        /// The first byte; none if the snapshot is empty.
        found: Option<u8>,
    },
    /// The content cannot be decoded.
    #[error("the snapshot is damaged: {0}")]
    Damaged(postcard::Error),
}

impl Machine {
    /// Creates an empty machine with other than the default limits on claims. They must be the same on all replicas.
    pub fn with_limits(limits: Limits) -> Machine {
        Machine {
            claims: Claims::new(limits),
            ..Machine::default()
        }
    }

    /// Applies the next command of the log. Deterministic: the reply and the new state depend only on the state and
    /// the command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Change(change) => Reply::Change(self.change(change)),
            Command::Claim(claim) => Reply::Claim(self.claims.claim(claim)),
            Command::Settle(settle) => Reply::Settle(self.claims.settle(settle)),
            Command::Order(spec) => Reply::Order(self.orders.add(spec, &self.configuration)),
            Command::OrderDone(completion) => Reply::OrderDone(self.orders.complete(completion)),
            Command::Members(members) => {
                self.members = members.clone();
                Reply::Members
            }
        }
    }

    /// The configuration after the last accepted change.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The pending orders and the last [`crate::order::MAX_FINISHED`] finished ones, ascending by number.
    pub fn orders(&self) -> &[Order] {
        self.orders.list()
    }

    /// The replicas of the log as last recorded by [`Command::Members`].
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The greatest time in a command, in milliseconds. A new leader's [`crate::Clock`] continues from it.
    pub fn now_ms(&self) -> u64 {
        self.claims.now_ms()
    }

    /// The number of claims, including expired ones that are not yet removed.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// What a host with configuration `version` needs to reach the current version.
    pub fn update_since(&self, version: u64) -> Update {
        self.history.update(version, &self.configuration)
    }

    /// Encodes the whole state. Equal states give equal bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        // Writing to a vector fails only for values that the format cannot express; the types here have none.
        postcard::to_extend(self, vec![SNAPSHOT_FORMAT]).unwrap_or_default()
    }

    /// Decodes a state that [`Machine::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns a [`SnapshotError`] if the bytes are in another format or cannot be decoded. They have no checksum;
    /// the files of the log have one.
    pub fn restore(bytes: &[u8]) -> Result<Machine, SnapshotError> {
        match bytes.split_first() {
            Some((&SNAPSHOT_FORMAT, rest)) => {
                postcard::from_bytes(rest).map_err(SnapshotError::Damaged)
            }
            other => Err(SnapshotError::Format {
                found: other.map(|(first, _)| *first),
            }),
        }
    }

    fn change(&mut self, change: &Change) -> ChangeReply {
        let digest = digest(change);
        let version = self.configuration.version;
        if let Some(record) = self.records.get(&change.id) {
            if record.digest == digest {
                return record.reply.clone();
            }
            let message = format!(
                "change id {} was used before, for a change with other content",
                change.id
            );
            let refusal = Refusal::of_change(Code::IdReused, message);
            return ChangeReply::Refused { refusal, version };
        }
        let reply = match self.configuration.apply(change) {
            Err(refusal) => ChangeReply::Refused { refusal, version },
            Ok(next) => {
                let version = next.version;
                self.configuration = next;
                self.history.add(change.clone());
                self.orders.cancel_to_inactive_servers(&self.configuration);
                ChangeReply::Accepted { version }
            }
        };
        let record = Record {
            digest,
            reply: reply.clone(),
        };
        self.records.add(change.id.clone(), record, MAX_REPLIES);
        reply
    }
}

fn digest(change: &Change) -> [u8; 32] {
    // As in `snapshot`, encoding does not fail.
    let bytes = postcard::to_stdvec(change).unwrap_or_default();
    Sha256::digest(&bytes).into()
}
