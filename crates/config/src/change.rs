//! Changes of the configuration, and the errors for which they are refused.

use std::fmt;

use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

use crate::configuration::Settings;
use crate::spec;

/// A list of actions that is applied as a whole or refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Idempotency key, chosen by the operator. A change that is submitted again with the same id is not applied
    /// again.
    pub id: Name,
    /// The version of the configuration that the change was written against.
    pub base: u64,
    /// At least one, applied in this order.
    #[serde(with = "tagged_list")]
    pub actions: Vec<Action>,
}

impl Change {
    /// Checks what does not depend on the configuration: that there are actions, and the values of their fields.
    ///
    /// # Errors
    ///
    /// Returns [`Code::Empty`] if there are no actions, or [`Code::InvalidValue`] for the first action with an
    /// invalid field.
    pub fn check(&self) -> Result<(), Refusal> {
        if self.actions.is_empty() {
            return Err(Refusal::of_change(Code::Empty, EMPTY_MESSAGE));
        }
        for (index, action) in self.actions.iter().enumerate() {
            action.check().map_err(|invalid| Refusal {
                code: Code::InvalidValue,
                message: invalid.message,
                action: Some(index as u32),
                field: Some(invalid.field.to_owned()),
            })?;
        }
        Ok(())
    }
}

impl Action {
    fn check(&self) -> Result<(), spec::InvalidField> {
        match self {
            Action::PutSettings(settings) => settings.check(),
            Action::PutAccount(spec) => {
                let mut spec = spec.clone();
                spec.normalise();
                spec.check()
            }
            Action::PutPool(spec) => spec.check(),
            Action::AddServer(spec) | Action::PutServer(spec) => spec.check(),
            Action::AddHost(spec) | Action::PutHost(spec) => spec.check(),
            _ => Ok(()),
        }
    }
}

/// Message of [`Code::Empty`].
pub(crate) const EMPTY_MESSAGE: &str = "the change has no actions";

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Replaces the settings of the fleet.
    PutSettings(Settings),
    /// Adds an account, or replaces the fields of the account with this name.
    PutAccount(spec::Account),
    /// Removes an account.
    RemoveAccount(Name),
    /// Adds a pool, or replaces the fields of the pool with this name.
    PutPool(spec::Pool),
    /// Removes a pool. All its servers must be retired.
    RemovePool(Name),
    /// Adds a server. The name must be unused or belong to a retired server, which is replaced.
    AddServer(spec::Server),
    /// Replaces the fields of a server, except its pool and its address.
    PutServer(spec::Server),
    /// Lets a server finish its requests and gives it no new ones.
    DrainServer(Name),
    /// Takes a server out of the fleet, drained or not.
    RetireServer(Name),
    /// Adds a host. The name must be unused or belong to a retired host, which is replaced.
    AddHost(spec::Host),
    /// Replaces the fields of a host, except its failure domain.
    PutHost(spec::Host),
    /// Lets a host finish its requests and gives it no new ones.
    DrainHost(Name),
    /// Takes a host out of the fleet, drained or not. It is no longer a voter.
    RetireHost(Name),
}

/// Why a change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The change was written against a version that is not the current one.
    BaseVersion,
    /// The change has no actions.
    Empty,
    /// The change id was used before, for a change with other content.
    IdReused,
    /// A field has a value that is not allowed.
    InvalidValue,
    /// There is no item with the given name.
    UnknownName,
    /// The name is in use.
    DuplicateName,
    /// Two accounts have the same API key.
    DuplicateKey,
    /// Two pools serve the same model name.
    DuplicateModel,
    /// Two servers or two hosts that are not retired have the same address.
    DuplicateAddress,
    /// The pool still has servers that are not retired.
    InUse,
    /// The server or host already has the requested or a later lifecycle state, or is retired.
    WrongState,
    /// The fleet would be left without an active host.
    LastHost,
    /// No voter would remain, or there would be more than [`crate::configuration::MAX_VOTERS`].
    Voters,
}

impl Code {
    /// The code as it is written in replies and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Code::BaseVersion => "base_version",
            Code::Empty => "empty",
            Code::IdReused => "id_reused",
            Code::InvalidValue => "invalid_value",
            Code::UnknownName => "unknown_name",
            Code::DuplicateName => "duplicate_name",
            Code::DuplicateKey => "duplicate_key",
            Code::DuplicateModel => "duplicate_model",
            Code::DuplicateAddress => "duplicate_address",
            Code::InUse => "in_use",
            Code::WrongState => "wrong_state",
            Code::LastHost => "last_host",
            Code::Voters => "voters",
        }
    }
}

impl Code {
    const ALL: [Code; 13] = [
        Code::BaseVersion,
        Code::Empty,
        Code::IdReused,
        Code::InvalidValue,
        Code::UnknownName,
        Code::DuplicateName,
        Code::DuplicateKey,
        Code::DuplicateModel,
        Code::DuplicateAddress,
        Code::InUse,
        Code::WrongState,
        Code::LastHost,
        Code::Voters,
    ];

    /// The inverse of [`Code::as_str`]; none for a code that this release does not know.
    pub fn from_text(text: &str) -> Option<Code> {
        Code::ALL.into_iter().find(|code| code.as_str() == text)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A change was refused; nothing of it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Machine-readable reason.
    pub code: Code,
    /// Human-readable reason.
    pub message: String,
    /// Index of the refused action, from 0; none if the change itself is refused.
    pub action: Option<u32>,
    /// Key of the refused field in the YAML text, if the refusal concerns one field.
    pub field: Option<String>,
}

impl Refusal {
    /// A refusal of the change as a whole rather than of one action.
    pub fn of_change(code: Code, message: impl Into<String>) -> Refusal {
        Refusal {
            code,
            message: message.into(),
            action: None,
            field: None,
        }
    }
}

/// Serializes each action as a map with one key in text formats. Binary formats use the derived form.
mod tagged_list {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use serde_yaml_ng::with::singleton_map_recursive;

    use super::Action;

    pub(super) fn serialize<S: Serializer>(
        actions: &[Action],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            singleton_map_recursive::serialize(&actions, serializer)
        } else {
            actions.serialize(serializer)
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Action>, D::Error> {
        if deserializer.is_human_readable() {
            singleton_map_recursive::deserialize(deserializer)
        } else {
            Vec::deserialize(deserializer)
        }
    }
}
