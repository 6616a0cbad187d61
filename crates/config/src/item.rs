//! The items of a configuration: client accounts, pools, backend servers and hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

use crate::entry::entry;
use crate::key::KeyHash;

/// Input weight of a model pool that does not state one.
pub const INPUT_WEIGHT: u32 = 1;

/// Output weight of a model pool that does not state one; an output token costs an engine more than an input token.
pub const OUTPUT_WEIGHT: u32 = 2;

/// Output tokens that are charged at dispatch when a request gives no hint.
pub const OUTPUT_ESTIMATE: u32 = 256;

entry! {
    /// A client account.
    pub struct Account {
        /// The weight of the account, at least 1.
        pub share: u32,
        /// Hashes of the API keys, ascending; several while a key is being rotated.
        pub keys: Vec<KeyHash>,
        /// Requests that may wait on one host, at least 1; `null` takes the fleet's setting.
        #[serde(default)]
        pub waiting_limit: Option<u32>,
        assigned {}
    }
}

entry! {
    /// A set of backend servers that can serve the same requests.
    pub struct Pool {
        /// Whether the pool serves a model or a plain service.
        #[serde(with = "crate::item::tagged")]
        pub kind: Kind,
        /// Output tokens that are charged at dispatch when a request gives no hint.
        #[serde(default = "crate::item::output_estimate")]
        pub output_estimate: u32,
        assigned {}
    }
}

entry! {
    /// A backend server.
    pub struct Server {
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
        assigned {
            /// Where the server is in its life.
            pub state: State,
        }
    }
}

entry! {
    /// A host that runs a daemon.
    pub struct Host {
        /// The failure domain that the host is in.
        pub domain: Name,
        /// Address and port for the other daemons.
        pub peer: SocketAddr,
        /// Whether the host keeps a replica of the log.
        #[serde(default)]
        pub voter: bool,
        assigned {
            /// Where the host is in its life.
            pub state: State,
        }
    }
}

/// What a pool serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// A model, reached by `/v1/chat/completions`.
    Model {
        /// The model name that callers use, unique among the pools.
        model: Arc<str>,
        /// Weight of an input token in the charge of a request.
        #[serde(default = "input_weight")]
        input_weight: u32,
        /// Weight of an output token in the charge of a request.
        #[serde(default = "output_weight")]
        output_weight: u32,
    },
    /// A plain service, reached by `/plain/POOL/...`.
    Plain,
}

/// Where a server or host is in its life. It only moves down this list; a return is an addition with a new id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    #[default]
    Active,
    /// Finishes what it has and receives nothing new.
    Leaving,
    /// Gone. Kept for a while, so that messages about its id can be understood.
    Retired,
}

pub(crate) fn output_estimate() -> u32 {
    OUTPUT_ESTIMATE
}

fn input_weight() -> u32 {
    INPUT_WEIGHT
}

fn output_weight() -> u32 {
    OUTPUT_WEIGHT
}

/// Writes an enum as a map with one key in text formats, and as usual in binary ones, which have no maps of unknown
/// shape.
pub(crate) mod tagged {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use serde_yaml_ng::with::singleton_map;

    pub(crate) fn serialize<T: Serialize, S: Serializer>(
        value: &T,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            singleton_map::serialize(value, serializer)
        } else {
            value.serialize(serializer)
        }
    }

    pub(crate) fn deserialize<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<T, D::Error> {
        if deserializer.is_human_readable() {
            singleton_map::deserialize(deserializer)
        } else {
            T::deserialize(deserializer)
        }
    }
}
