//! Library for operators of a fleet: builds changes of the configuration, submits them and reads the state of the
//! fleet.
//!
//! A [`Plan`] collects actions, refuses those that the fleet would refuse and gives a change. The functions in
//! [`text`] print the change for review and read it back. A [`Client`] submits it and reads the state of the fleet
//! over HTTP.

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
