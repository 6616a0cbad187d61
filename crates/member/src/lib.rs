//! Membership of the fleet and ownership of the slots of a failure domain, as plain state machines.
//!
//! [`detector::Detector`] finds out which hosts are alive; [`ownership::Ownership`] decides which host lends out the
//! slots of a failure domain. Neither reads a clock, draws from a global generator or opens a socket: time, a seed and
//! messages are passed in, and datagrams and events are returned.

pub mod detector;
pub mod message;
pub mod ownership;
pub mod view;

mod gossip;
mod probe;
