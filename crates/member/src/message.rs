//! Datagrams that the failure detectors of the fleet exchange.

use std::net::SocketAddr;

use primrose_base::id;
use serde::{Deserialize, Serialize};

use crate::view::{Group, Location, Member, State};

/// Maximum size of a datagram, in bytes of postcard. With up to 32 bytes of authentication (`primrose_wire` adds a
/// tag of 16 bytes) and 28 bytes of IP and UDP headers it stays under 1,200 bytes, which common network paths do not
/// fragment.
pub const MAX_BYTES: usize = 1_120;

/// A message from one detector to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Id of the sender.
    pub from: id::Host,
    /// Incarnation of the sender, so that every datagram refutes older claims about it.
    pub incarnation: u64,
    /// [`State::Alive`], or [`State::Left`] after the sender has announced its departure.
    pub state: State,
    /// The request or answer that the datagram carries.
    pub body: Body,
    /// Gossip: recent changes of any members. Applied before the body.
    pub updates: Vec<Update>,
}

/// The request or answer in a [`Datagram`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver whether it is alive.
    Ping {
        /// Copied into the answer.
        nonce: u32,
        /// Digest of the sender's view of one group of members.
        summary: Summary,
    },
    /// Answers a `Ping`.
    Ack {
        /// The nonce of the ping.
        nonce: u32,
        /// The answering host's records of the group, if the digests differ.
        difference: Option<Difference>,
    },
    /// Asks the receiver to ping `target` and to report the answer with a `RelayedAck`.
    PingRequest {
        /// Copied into the `RelayedAck`.
        nonce: u32,
        /// The host to ping.
        target: id::Host,
    },
    /// Reports that the target of a `PingRequest` has answered.
    RelayedAck {
        /// The nonce of the `PingRequest`.
        nonce: u32,
    },
    /// Asks for the whole view; sent to a seed address at which the sender knows no member.
    Join,
    /// Answers a `Join` with a part of the sender's view. The receiver does not gossip the records, because the other
    /// hosts have them.
    View {
        /// Members that are present.
        records: Vec<Update>,
    },
    /// Brings the receiver's view up to date after its `Ack` with a difference.
    Records {
        /// Records that the receiver lacks or has in an older version.
        records: Vec<Update>,
    },
}

/// Digest of the view of one group of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The compared group.
    pub group: Group,
    /// Result of [`crate::view::digest`] for the members of the group.
    pub digest: u32,
}

/// The records of one group of members, sent to a host whose digest differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The compared group.
    pub group: Group,
    /// Records of the group, as many as fit into the datagram.
    pub records: Vec<Update>,
}

/// A claim that a member is in a state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Id of the member.
    pub host: id::Host,
    /// The incarnation of the member that the claim refers to.
    pub incarnation: u64,
    /// The claimed state.
    pub state: State,
    /// Present in every transmitted claim of `Alive`. A host that does not know the member ignores a claim without
    /// location.
    pub location: Option<Location>,
}

impl Update {
    /// The claim with the state of `member`; contains the location only if that state is `Alive`.
    pub fn of(member: &Member) -> Update {
        let alive = member.state == State::Alive;
        Update {
            host: member.host,
            incarnation: member.incarnation,
            state: member.state,
            location: alive.then(|| member.location.clone()),
        }
    }

    /// The record of `member` for a host whose view differs. A suspected member is recorded as alive: a host that
    /// does not know the member needs its location, and for all others the suspicion takes precedence.
    pub fn record(member: &Member) -> Update {
        let present = member.state.is_present();
        Update {
            host: member.host,
            incarnation: member.incarnation,
            state: if present { State::Alive } else { member.state },
            location: present.then(|| member.location.clone()),
        }
    }

    /// Upper bound of the encoded size of the claim, in bytes of postcard.
    pub fn max_bytes(&self) -> usize {
        let location = self.location.as_ref().map_or(0, location_bytes);
        varint_bytes(u64::from(self.host.0)) + varint_bytes(self.incarnation) + 2 + location
    }
}

// Variant, octets and port (up to three bytes) of the address; length and text of the name, which has at most 63
// bytes.
fn location_bytes(location: &Location) -> usize {
    let octets = if location.address.is_ipv4() { 4 } else { 16 };
    1 + octets + 3 + 1 + location.domain.as_str().len()
}

const fn varint_bytes(value: u64) -> usize {
    let bits = (u64::BITS - value.leading_zeros()) as usize;
    if bits == 0 { 1 } else { bits.div_ceil(7) }
}

/// A datagram and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message, not yet encoded and authenticated.
    pub datagram: Datagram,
}
