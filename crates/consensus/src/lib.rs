//! Replicated log in the style of Raft, with its files.
//!
//! - [`Node`] is the protocol as a plain state machine: it reads no clock and does no input or output.
//! - [`Disk`] keeps what a node must not forget: term, vote, entries and the latest snapshot.
//! - [`Replica`] connects one `Node`, one `Disk` and a closure that applies committed entries.
//!
//! # How a daemon drives a replica
//!
//! One task (or thread) owns the [`Replica`]. It collects messages from sockets, proposals and read barriers from
//! other tasks and a tick about every 20 ms, hands all that are waiting to the replica, and then calls
//! [`Replica::flush`] once. `flush` writes the batch with one fsync, applies committed entries and returns the messages
//! to send. It blocks for the duration of the fsync, so an async daemon moves the replica into
//! `tokio::task::spawn_blocking` for each flush, or owns it in a plain thread that is fed by a channel. Inputs that
//! arrive meanwhile wait in the channel and form the next batch, so the number of fsyncs per proposal falls as the load
//! rises.
//!
//! ```no_run
//! use primrose_base::clock::Time;
//! use primrose_base::name::Name;
//! use primrose_consensus::membership::Id;
//! use primrose_consensus::{Replica, disk, node, replica};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let options = disk::Options::new(Name::new("fleet")?, Name::new("host-1")?, Id(0x5eed));
//! let opened = disk::Disk::open("data/log".as_ref(), options)?;
//! let apply = |action: replica::Action<'_>| match action {
//!     replica::Action::Apply { position, data } => drop((position, data)),
//!     replica::Action::Restore { position, data } => drop((position, data)),
//! };
//! let mut replica = Replica::new(opened, node::Options::default(), Time::now(), 7, apply);
//! loop {
//!     // receive(now, message), propose(now, bytes), read_barrier(now, context) for everything that is waiting, then:
//!     replica.tick(Time::now());
//!     let output = replica.flush()?; // a disk error is fatal: end the process
//!     for message in output.messages {
//!         // send to the host of `message.to`; losing a message is harmless
//!         drop(message);
//!     }
//! #   break;
//! }
//! # Ok(())
//! # }
//! ```
//!
//! After a restart the state machine starts from the snapshot and may for a while be older than before. The daemon shows
//! it only once [`Node::has_caught_up`] holds. Now and then (when [`Replica::entries_since_snapshot`] exceeds some
//! thousands) it calls [`Replica::take_snapshot`], which bounds the log and the time of a restart.
//!
//! Which host a replica id lives on is in [`membership::Membership`]; the ids of hosts that are not in it yet are
//! learnt from the connection on which their request to be added arrives.
//!
//! # First start and lost disks
//!
//! A replica id names one life of one disk. A host whose folder is empty gets a new random id and an empty log; it
//! waits until a leader adds it as a learner ([`membership::Change::AddLearner`]), and it counts only after
//! [`membership::Change::Promote`]. The id that lived on the lost disk is removed with
//! [`membership::Change::Remove`] and can never come back.
//!
//! A fleet is founded once, with [`Node::bootstrap`], by one host and only after *all* initial voters have answered that
//! their folder is empty and told their ids. Then a host that lost its disk can never found a second fleet: the other
//! voters are not empty.
//!
//! # Clocks
//!
//! The leader lease compares intervals of two monotonic clocks: the leader's lease ends before the minimum election
//! timeout of any follower that acknowledged the heartbeat. The difference between the two
//! ([`node::Options::lease_ms`]) absorbs clock drift. A clock that stops while the whole machine is suspended is not
//! covered by the freeze detection; a stopped process is.

pub mod disk;
pub mod entry;
pub mod files;
mod log;
pub mod membership;
pub mod message;
pub mod node;
mod progress;
mod record;
pub mod replica;

pub use disk::Disk;
pub use node::Node;
pub use replica::Replica;
