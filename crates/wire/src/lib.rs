//! Authenticated messages between daemons.
//!
//! Every TCP connection starts with a mutual challenge and response under the fleet key ([`handshake`]). It then
//! carries frames whose authentication tag covers the message and an implicit sequence number ([`frame`]), so that an
//! attacker without the key can neither inject, replay nor reorder messages. Each datagram has a tag of its own
//! ([`datagram`]). The contents are authenticated but not encrypted. [`peer`] defines the messages and calls between
//! daemons. [`linger`] closes connections of callers, for both routers.

pub mod datagram;
pub mod frame;
pub mod handshake;
pub mod key;
pub mod linger;
pub mod link;
pub mod peer;
