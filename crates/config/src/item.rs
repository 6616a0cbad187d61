//! The items of a configuration: client accounts, pools, backend servers and hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

use crate::define::define_item;
use crate::key::KeyHash;

/// Default of [`Kind::Model`]'s `input_weight`.
pub const INPUT_WEIGHT: u32 = 1;

/// Default of [`Kind::Model`]'s `output_weight`; an output token costs an engine more than an input token.
pub const OUTPUT_WEIGHT: u32 = 2;

/// Default of the `output_estimate` of a pool, in tokens.
pub const OUTPUT_ESTIMATE: u32 = 256;

define_item! {
    /// A client account, which shares the backend servers with the others according to its weight.
    pub struct Account {
        /// Weight in fair scheduling, at least 1.
        pub share: u32,
        /// Hashes of the API keys, ascending. There are several while a key is being rotated.
        pub keys: Vec<KeyHash>,
        /// Requests that may wait on one host, at least 1; `null` means [`crate::Settings::waiting_limit`].
        #[serde(default)]
        pub waiting_limit: Option<u32>,
        assigned {}
    }
}

define_item! {
    /// A set of backend servers that can serve the same requests.
    pub struct Pool {
        /// Whether the pool serves a model or a plain service.
        #[serde(with = "crate::item::tagged")]
        pub kind: Kind,
        /// Output tokens charged at dispatch for a request without a length hint, at least 1.
        #[serde(default = "crate::item::output_estimate")]
        pub output_estimate: u32,
        assigned {}
    }
}

define_item! {
    /// A backend server of one pool, reached at one address.
    pub struct Server {
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
        assigned {
            /// Lifecycle state.
            pub state: State,
        }
    }
}

define_item! {
    /// A host that runs a daemon.
    pub struct Host {
        /// The failure domain that the host is in.
        pub domain: Name,
        /// IP address and port that other daemons connect to, unique among the hosts that are not retired.
        pub peer: SocketAddr,
        /// Whether the host keeps a voting replica of the log.
        #[serde(default)]
        pub voter: bool,
        assigned {
            /// Lifecycle state.
            pub state: State,
        }
    }
}

/// What a pool serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// A model, requested through `/v1/chat/completions`.
    Model {
        /// The model name in requests, unique among the pools.
        model: Arc<str>,
        /// Weight of an input token in the charge of a request.
        #[serde(default = "input_weight")]
        input_weight: u32,
        /// Weight of an output token in the charge of a request.
        #[serde(default = "output_weight")]
        output_weight: u32,
    },
    /// An HTTP service without a model, requested through `/plain/POOL/...`.
    Plain,
}

/// Lifecycle state of a server or host. It only moves down this list; a server or host that returns is added again
/// and gets a new id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Receives requests.
    #[default]
    Active,
    /// Draining: finishes its requests and receives no new ones.
    Leaving,
    /// Out of the fleet. Kept for a while, so that messages that contain its id can be understood.
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

/// Serializes an enum as a map with one key in text formats. Binary formats use the derived form, because they have
/// no maps of unknown shape.
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
