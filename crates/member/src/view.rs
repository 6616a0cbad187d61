//! The membership view: what one host believes about the members of the fleet.

use std::net::{IpAddr, SocketAddr};

use primrose_base::id;
use primrose_base::name::Name;
use serde::{Deserialize, Serialize};

/// State of a member, in ascending order of precedence: of two claims with the same incarnation the greater state
/// wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// Failed enough probes in a row to be declared dead.
    Dead,
    /// Left the fleet, according to an announcement of the host itself or of the platform.
    Left,
}

impl State {
    /// Whether the member counts as part of the fleet: neither dead nor departed.
    pub const fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// Network address and failure domain of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Address of the datagram socket.
    pub address: SocketAddr,
    /// Failure domain; its hosts can fail together.
    pub domain: Name,
}

/// The record of one member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id, which is never reused for another host.
    pub host: id::Host,
    /// Version of the claims about the member: initially the wall-clock start time of the process in ms, raised at
    /// each refutation. Never decreases in the view of a host.
    pub incarnation: u64,
    /// State at this incarnation.
    pub state: State,
    /// Where to send datagrams, and the failure domain.
    pub location: Location,
}

impl Member {
    /// Whether a claim with this incarnation and state takes precedence over this record.
    pub fn is_superseded_by(&self, incarnation: u64, state: State) -> bool {
        (self.incarnation, self.state) < (incarnation, state)
    }
}

/// Average number of members of a [`Group`]. Their records of about 28 bytes each fit into one datagram.
const GROUP_SIZE: usize = 21;

/// A subset of the members for which two hosts compare their views: those whose id modulo `count` is `index`.
///
/// The sender of a digest chooses `count` by the size of the fleet, so that the views of a small fleet are compared
/// as a whole and an incomplete view is corrected within a few pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Remainder of the ids, below `count`.
    pub index: u32,
    /// Number of groups; 0 is treated as 1.
    pub count: u32,
}

impl Group {
    /// The group after this one in a fleet of `members` hosts.
    pub fn next(self, members: usize) -> Group {
        let count = members.div_ceil(GROUP_SIZE).max(1) as u32;
        Group {
            index: self.index.wrapping_add(1) % count,
            count,
        }
    }

    /// Whether the host belongs to the group.
    pub fn contains(self, host: id::Host) -> bool {
        host.0 % self.count.max(1) == self.index
    }
}

/// Digest of the members that are present; independent of their order and of suspicions.
///
/// Suspicions are left out because they are short-lived. Members that are dead or have left are left out because
/// hosts forget them at different times.
pub fn digest<'a>(members: impl Iterator<Item = &'a Member>) -> u32 {
    members
        .filter(|member| member.state.is_present())
        .fold(0, |sum, member| sum.wrapping_add(hash(member)))
}

// FNV-1a, because both sides of a comparison must compute the same value in every build.
fn hash(member: &Member) -> u32 {
    let port = member.location.address.port().to_le_bytes();
    let start = fnv(0x811c_9dc5, &member.host.0.to_le_bytes());
    let start = fnv(start, &member.incarnation.to_le_bytes());
    let start = fnv(start, &port);
    match member.location.address.ip() {
        IpAddr::V4(ip) => fnv(start, &ip.octets()),
        IpAddr::V6(ip) => fnv(start, &ip.octets()),
    }
}

fn fnv(start: u32, bytes: &[u8]) -> u32 {
    bytes.iter().fold(start, |hash, &byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
