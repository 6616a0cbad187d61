//! Numeric ids that stand for names in messages between daemons and in tables.
//!
//! The replicated state machine assigns an id when it accepts a change and never reuses one, so an id that arrives late
//! can be unknown but can never denote something else.

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
    /// A client account.
    Account
}
id! {
    /// A pool of backend servers that can serve the same requests.
    Pool
}
id! {
    /// A backend server.
    Server
}
id! {
    /// A host that runs a daemon.
    Host
}
