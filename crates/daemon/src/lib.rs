//! The router daemon `primrosed`: the tasks that do the I/O and carry out the decisions of the other crates.
//!
//! The daemon is a library with a small program, so that a test can start several daemons in its own process.
//! [`node::spawn`] starts a daemon.

pub mod bootstrap;
pub mod claims;
pub mod counters;
pub mod follow;
pub mod links;
pub mod logger;
pub mod membership;
pub mod node;
pub mod operator;
pub mod orders;
pub mod packets;
pub mod peers;
pub mod replica;
pub mod scheduler;
pub mod settings;
pub mod submit;
