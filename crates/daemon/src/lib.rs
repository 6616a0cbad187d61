//! The router daemon: the tasks that carry out what the decision crates decide.
//!
//! A library beside the thin program, so that tests can start daemons in one process. [`node::spawn`] starts one.

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
