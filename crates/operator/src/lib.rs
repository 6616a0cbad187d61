//! The operators' library: build a change as a value, print it for review, read it back and submit it.
//!
//! A [`Plan`] collects actions and refuses what the fleet would refuse. A [`Client`] submits the change and reads the
//! state of the fleet over HTTP.

pub mod client;
mod connection;
pub mod key;
pub mod plan;
pub mod progress;

pub use client::{Client, Error, Outcome, Timeouts};
pub use key::Key;
pub use plan::Plan;
pub use primrose_config::text;
pub use primrose_state::api;
pub use primrose_state::order;
pub use progress::Progress;
