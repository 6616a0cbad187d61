//! Datagrams between the detectors of the fleet.

use std::net::SocketAddr;

use primrose_base::id;
use serde::{Deserialize, Serialize};

use crate::view::{Group, Location, Member, State};

/// Largest datagram that is sent, in bytes of postcard. With 32 bytes of authentication and 28 bytes of IP and UDP
/// headers it stays under 1,200 bytes, which no usual path fragments.
pub const MAX_BYTES: usize = 1_120;

/// A datagram from one detector to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: id::Host,
    /// Incarnation of the sender, so that every datagram refutes older claims about it.
    pub incarnation: u64,
    /// [`State::Alive`], or [`State::Left`] after the sender has announced its departure.
    pub state: State,
    /// What the datagram is for.
    pub body: Body,
    /// Recent changes.
    pub updates: Vec<Update>,
}

/// The purpose of a [`Datagram`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver whether it is alive.
    Ping {
        /// Repeated in the answer.
        nonce: u32,
        /// Digest of the sender's view of one group of members.
        summary: Summary,
    },
    /// Answers a `Ping`.
    Ack {
        /// The nonce of the ping.
        nonce: u32,
        /// The answering host's view of the group, if the digests differ.
        difference: Option<Difference>,
    },
    /// Asks the receiver to ping `target` and to pass the answer on.
    PingRequest {
        /// Repeated in the answer.
        nonce: u32,
        /// The host to ping.
        target: id::Host,
    },
    /// Passes on that the target of a `PingRequest` answered.
    RelayedAck {
        /// The nonce of the request.
        nonce: u32,
    },
    /// Asks for the whole view; sent to a seed address by a host that knows no other member.
    Join,
    /// Answers a `Join` with a part of the sender's view. It is no news to the others.
    View {
        /// Members that are present.
        records: Vec<Update>,
    },
    /// Corrects the receiver's view after an `Ack` with a difference.
    Records {
        /// Records that the receiver lacks or has in an older form.
        records: Vec<Update>,
    },
}

/// Digest of the view of one group of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The group.
    pub group: Group,
    /// See [`crate::view::digest`].
    pub digest: u32,
}

/// View of one group of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The group.
    pub group: Group,
    /// Its records, as many as fit.
    pub records: Vec<Update>,
}

/// A claim about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub host: id::Host,
    /// The incarnation that the claim is about.
    pub incarnation: u64,
    /// The claimed state.
    pub state: State,
    /// Present in claims of `Alive` about other hosts than the sender; without it a claim means nothing to a host that
    /// does not know the member.
    pub location: Option<Location>,
}

impl Update {
    /// The claim that `member` stands for.
    pub fn of(member: &Member) -> Update {
        let alive = member.state == State::Alive;
        Update {
            host: member.host,
            incarnation: member.incarnation,
            state: member.state,
            location: alive.then(|| member.location.clone()),
        }
    }

    /// The record of `member` for a host whose view differs. A suspected member is recorded as alive: a host that does
    /// not know it needs its place, and to all others the suspicion has precedence.
    pub fn record(member: &Member) -> Update {
        let present = member.state.is_present();
        Update {
            host: member.host,
            incarnation: member.incarnation,
            state: if present { State::Alive } else { member.state },
            location: present.then(|| member.location.clone()),
        }
    }

    /// Upper bound of the size of the claim in bytes of postcard.
    pub fn max_bytes(&self) -> usize {
        let location = self.location.as_ref().map_or(0, location_bytes);
        varint_bytes(u64::from(self.host.0)) + varint_bytes(self.incarnation) + 2 + location
    }
}

// Variant, octets, port of up to three bytes; length and text of the name, which has at most 63 bytes.
fn location_bytes(location: &Location) -> usize {
    let octets = if location.address.is_ipv4() { 4 } else { 16 };
    1 + octets + 3 + 1 + location.domain.as_str().len()
}

const fn varint_bytes(value: u64) -> usize {
    let bits = (u64::BITS - value.leading_zeros()) as usize;
    if bits == 0 { 1 } else { bits.div_ceil(7) }
}

/// A datagram and where to send it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// What to send.
    pub datagram: Datagram,
}
