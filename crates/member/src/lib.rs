//! Membership of the fleet and ownership of the slots of a failure domain, as state machines without input or output.
//!
//! [`detector::Detector`] determines which hosts are alive. [`ownership::Ownership`] decides which host allocates the
//! slots of a failure domain. Neither reads a clock, uses a global random generator or opens a socket: the caller
//! passes in the time, a seed and the received messages, and sends the messages that are returned.

pub mod detector;
pub mod message;
pub mod ownership;
pub mod view;

mod gossip;
mod probe;
