//! Numeric ids that replace names in messages between daemons and in tables.
//!
//! The replicated state machine assigns an id when it accepts a change that creates an object, and never reuses an
//! id. So an id in a delayed message may be unknown, but never denotes another object.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

id! {
    /// Id of a client account.
    Account
}
id! {
    /// Id of a pool: backend servers that can serve the same requests.
    Pool
}
id! {
    /// Id of a backend server.
    Server
}
id! {
    /// Id of a host that runs a daemon.
    Host
}
