//! Items as operators write them, without the fields that the state machine assigns.

use std::net::SocketAddr;

use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

use crate::item::{self, Kind};
use crate::key::KeyHash;

/// API keys that an account has at most; rotation needs two.
pub const MAX_KEYS: usize = 8;

/// Bytes in a model name at most.
pub const MAX_MODEL_BYTES: usize = 256;

/// The largest weight of a token; with it, a request of a million tokens still fits in 32 bits.
pub const MAX_WEIGHT: u32 = 1_000;

/// A field with a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Invalid {
    /// The key in the text.
    pub(crate) field: &'static str,
    /// Why the value is refused.
    pub(crate) message: String,
}

/// A client account; see [`crate::Account`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The name for people.
    pub name: Name,
    /// The weight of the account, at least 1.
    pub share: u32,
    /// Hashes of the API keys.
    pub keys: Vec<KeyHash>,
    /// Requests that may wait on one host; `null` takes the fleet's setting.
    #[serde(default)]
    pub waiting_limit: Option<u32>,
}

/// A pool; see [`crate::Pool`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name for people.
    pub name: Name,
    /// Whether the pool serves a model or a plain service.
    #[serde(with = "crate::item::tagged")]
    pub kind: Kind,
    /// Output tokens that are charged at dispatch when a request gives no hint.
    #[serde(default = "crate::item::output_estimate")]
    pub output_estimate: u32,
}

/// A backend server; see [`crate::Server`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name for people.
    pub name: Name,
    /// The pool that the server belongs to.
    pub pool: Name,
    /// Address and port.
    pub address: SocketAddr,
    /// The failure domain that the server is in.
    pub domain: Name,
    /// Requests that the server may have in flight at first, at least 1.
    pub slots: u32,
    /// Whether the server refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A host; see [`crate::Host`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The name for people.
    pub name: Name,
    /// The failure domain that the host is in.
    pub domain: Name,
    /// Address and port for the other daemons.
    pub peer: SocketAddr,
    /// Whether the host keeps a replica of the log.
    #[serde(default)]
    pub voter: bool,
}

fn require(holds: bool, field: &'static str, message: &str) -> Result<(), Invalid> {
    if holds {
        return Ok(());
    }
    Err(Invalid {
        field,
        message: message.to_owned(),
    })
}

fn reachable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

impl Account {
    /// An account without keys and without a limit of its own.
    pub fn new(name: Name, share: u32) -> Account {
        Account {
            name,
            share,
            keys: Vec::new(),
            waiting_limit: None,
        }
    }

    /// The account with one more key.
    pub fn with_key(mut self, key: KeyHash) -> Account {
        self.keys.push(key);
        self
    }

    /// Sorts the keys, so that the same account is written the same way.
    pub(crate) fn normalise(&mut self) {
        self.keys.sort_unstable();
    }

    pub(crate) fn check(&self) -> Result<(), Invalid> {
        require(self.share >= 1, "share", "a share is at least 1")?;
        require(
            self.keys.len() <= MAX_KEYS,
            "keys",
            &format!("an account has at most {MAX_KEYS} keys"),
        )?;
        require(
            self.keys.is_sorted_by(|a, b| a < b),
            "keys",
            "the same key is listed twice",
        )?;
        require(
            self.waiting_limit != Some(0),
            "waiting_limit",
            "a limit of 0 would refuse every request that has to wait; leave it out for the fleet's limit",
        )
    }
}

impl Pool {
    /// A pool that serves a model with the usual weights.
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

    /// A pool that serves a plain service, whose calls are charged one token each.
    pub fn plain(name: Name) -> Pool {
        Pool {
            name,
            kind: Kind::Plain,
            output_estimate: 1,
        }
    }

    pub(crate) fn check(&self) -> Result<(), Invalid> {
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
                &format!("a model name has at most {MAX_MODEL_BYTES} bytes"),
            )?;
            let heaviest = *input_weight.max(output_weight);
            require(
                heaviest <= MAX_WEIGHT,
                "kind",
                &format!("a token weight is at most {MAX_WEIGHT}"),
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
            "an estimate is at least 1 token",
        )
    }
}

impl Server {
    pub(crate) fn check(&self) -> Result<(), Invalid> {
        require(self.slots >= 1, "slots", "a server has at least 1 slot")?;
        require(
            reachable(self.address),
            "address",
            "an address needs an IP address and a port that others can connect to",
        )
    }
}

impl Host {
    pub(crate) fn check(&self) -> Result<(), Invalid> {
        require(
            reachable(self.peer),
            "peer",
            "an address needs an IP address and a port that others can connect to",
        )
    }
}
