//! Authenticated messages between daemons.
//!
//! Every TCP connection starts with a mutual challenge under the fleet key ([`handshake`]) and then carries frames with
//! a message authentication code and an implicit sequence number ([`frame`]), so that a stranger can neither inject,
//! replay nor reorder messages. Datagrams carry a code of their own ([`datagram`]). The contents are authenticated but
//! not encrypted. [`peer`] is the service that daemons call on each other.

pub mod datagram;
pub mod frame;
pub mod handshake;
pub mod key;
pub mod link;
pub mod peer;
