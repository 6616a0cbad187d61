//! Authenticated messages between daemons.
//!
//! Every TCP connection starts with a mutual challenge and response under the fleet key ([`handshake`]). It then
//! carries frames whose authentication tag covers the message and an implicit sequence number ([`frame`]), so that an
//! attacker without the key can neither inject, replay nor reorder messages. Each datagram has a tag of its own
//! ([`datagram`]). The contents are authenticated but not encrypted. [`peer`] defines the messages and calls between
//! daemons. [`coding`], [`event`], [`hop`] and [`linger`] are what both routers need to know of HTTP: how an answer and a
//! stream of events end, which headers are not forwarded, and how a connection of a caller is closed.

pub mod coding;
pub mod datagram;
pub mod event;
pub mod frame;
pub mod handshake;
pub mod hop;
pub mod key;
pub mod linger;
pub mod link;
pub mod peer;
