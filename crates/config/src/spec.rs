//! Items as operators specify them, without the fields that the state machine assigns.

use std::net::SocketAddr;

use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

use crate::item::{self, Kind};
use crate::key::KeyHash;

/// Greatest number of API keys of an account. Key rotation needs two.
pub const MAX_KEYS: usize = 8;

/// Greatest length of a model name in bytes.
pub const MAX_MODEL_BYTES: usize = 256;

/// Greatest weight of a token. The charge of a request of a million tokens with this weight fits in 32 bits.
pub const MAX_WEIGHT: u32 = 1_000;

/// A field has a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InvalidField {
    /// Key of the field in the YAML text.
    pub(crate) field: &'static str,
    /// Human-readable reason for the refusal of the value.
    pub(crate) message: String,
}

/// A client account, without the id; see [`crate::Account`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name that operators use, unique among the accounts.
    pub name: Name,
    /// Weight in fair scheduling, at least 1.
    pub share: u32,
    /// Hashes of the API keys, in any order, at most [`MAX_KEYS`].
    pub keys: Vec<KeyHash>,
    /// Requests that may wait on one host, at least 1; `null` means [`crate::Settings::waiting_limit`].
    #[serde(default)]
    pub waiting_limit: Option<u32>,
}

/// A pool, without the id; see [`crate::Pool`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name that operators use, unique among the pools.
    pub name: Name,
    /// Whether the pool serves a model or a plain service.
    #[serde(with = "crate::item::tagged")]
    pub kind: Kind,
    /// Output tokens charged at dispatch for a request without a length hint, at least 1.
    #[serde(default = "crate::item::output_estimate")]
    pub output_estimate: u32,
}

/// A backend server, without the id and the state; see [`crate::Server`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name that operators use, unique among the servers.
    pub name: Name,
    /// The pool that the server belongs to.
    pub pool: Name,
    /// IP address and port that requests are sent to, unique among the servers that are not retired.
    pub address: SocketAddr,
    /// The failure domain that the server is in.
    pub domain: Name,
    /// Initial limit on the requests that the server has in flight, at least 1.
    pub slots: u32,
    /// Whether the server refuses an order whose fencing number is below the greatest that it has seen.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A host, without the id and the state; see [`crate::Host`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name that operators use, unique among the hosts.
    pub name: Name,
    /// The failure domain that the host is in.
    pub domain: Name,
    /// IP address and port that other daemons connect to, unique among the hosts that are not retired.
    pub peer: SocketAddr,
    /// Whether the host keeps a voting replica of the log.
    #[serde(default)]
    pub voter: bool,
}

fn require(holds: bool, field: &'static str, message: &str) -> Result<(), InvalidField> {
    if holds {
        return Ok(());
    }
    Err(InvalidField {
        field,
        message: message.to_owned(),
    })
}

fn is_connectable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

impl Account {
    /// An account without API keys and with the fleet's `waiting_limit`.
    pub fn new(name: Name, share: u32) -> Account {
        Account {
            name,
            share,
            keys: Vec::new(),
            waiting_limit: None,
        }
    }

    /// Adds an API key.
    pub fn with_key(mut self, key: KeyHash) -> Account {
        self.keys.push(key);
        self
    }

    /// Sorts the keys, so that accounts with the same keys are equal and are printed the same way.
    pub(crate) fn normalise(&mut self) {
        self.keys.sort_unstable();
    }

    pub(crate) fn check(&self) -> Result<(), InvalidField> {
        require(self.share >= 1, "share", "a share must be at least 1")?;
        require(
            self.keys.len() <= MAX_KEYS,
            "keys",
            &format!("an account can have at most {MAX_KEYS} keys"),
        )?;
        require(
            self.keys.is_sorted_by(|a, b| a < b),
            "keys",
            "the same key is listed twice",
        )?;
        require(
            self.waiting_limit != Some(0),
            "waiting_limit",
            "a limit of 0 would refuse every request that has to wait; leave it out for the limit of the fleet",
        )
    }
}

impl Pool {
    /// A pool that serves a model with the default weights and output estimate.
    pub fn model(name: Name, model: &str) -> Pool {
        let kind = Kind::Model {
            model: model.into(),
            input_weight: item::INPUT_WEIGHT,
            output_weight: item::OUTPUT_WEIGHT,
        };
        Pool {
            name,
            kind,
            output_estimate: item::OUTPUT_ESTIMATE,
        }
    }

    /// A pool for a plain service. Each of its requests is charged one token.
    pub fn plain(name: Name) -> Pool {
        Pool {
            name,
            kind: Kind::Plain,
            output_estimate: 1,
        }
    }

    pub(crate) fn check(&self) -> Result<(), InvalidField> {
        if let Kind::Model {
            model,
            input_weight,
            output_weight,
        } = &self.kind
        {
            require(!model.is_empty(), "kind", "the model name is empty")?;
            require(
                model.len() <= MAX_MODEL_BYTES,
                "kind",
                &format!("a model name can have at most {MAX_MODEL_BYTES} bytes"),
            )?;
            let greatest = *input_weight.max(output_weight);
            require(
                greatest <= MAX_WEIGHT,
                "kind",
                &format!("a token weight can be at most {MAX_WEIGHT}"),
            )?;
            require(
                input_weight + output_weight > 0,
                "kind",
                "with both token weights 0 no request would be charged",
            )?;
        }
        require(
            self.output_estimate >= 1,
            "output_estimate",
            "an output estimate must be at least 1 token",
        )
    }
}

impl Server {
    pub(crate) fn check(&self) -> Result<(), InvalidField> {
        require(
            self.slots >= 1,
            "slots",
            "a server must have at least 1 slot",
        )?;
        require(
            is_connectable(self.address),
            "address",
            "an address needs an IP address and a port that others can connect to",
        )
    }
}

impl Host {
    pub(crate) fn check(&self) -> Result<(), InvalidField> {
        require(
            is_connectable(self.peer),
            "peer",
            "an address needs an IP address and a port that others can connect to",
        )
    }
}
