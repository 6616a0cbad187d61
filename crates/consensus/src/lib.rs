//! A replicated log that follows the Raft protocol, with its storage on disk.
//!
//! - [`Node`] is the protocol as a state machine: it reads no clock and does no I/O.
//! - [`Disk`] persists the state that must survive a restart: term, vote, entries and the latest snapshot.
//! - [`Replica`] connects one `Node`, one `Disk` and a closure that applies committed entries.
//!
//! # How a daemon runs a replica
//!
//! One task (or thread) owns the [`Replica`]. Its inputs are messages from sockets, proposals and read barriers from
//! other tasks, and a tick about every 20 ms. It passes all waiting inputs to the replica and then calls
//! [`Replica::flush`] once. `flush` writes the batch with one fsync, applies committed entries and returns the
//! messages to send. It blocks for the duration of the fsync, so an async daemon moves the replica into
//! `tokio::task::spawn_blocking` for each flush, or owns it in a thread that receives its inputs from a channel.
//! Inputs that arrive during a flush wait in the channel and form the next batch, so the number of fsyncs per
//! proposal falls as the load rises.
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
//!     // receive(now, message), propose(now, bytes), read_barrier(now, context) for all waiting inputs, then:
//!     replica.tick(Time::now());
//!     let output = replica.flush()?; // a disk error is fatal: the process must exit
//!     for message in output.messages {
//!         // send to the host of `message.to`; the protocol tolerates lost messages
//!         drop(message);
//!     }
//! #   break;
//! }
//! # Ok(())
//! # }
//! ```
//!
//! After a restart the state machine starts from the snapshot, so its state may at first be older than before the
//! restart. The daemon should not expose this state before [`Node::has_caught_up`] returns true. It should call
//! [`Replica::take_snapshot`] when [`Replica::entries_since_snapshot`] exceeds some thousands, which limits the size
//! of the log and the duration of a restart.
//!
//! [`membership::Membership`] maps the replica ids of members to hosts. A replica that is not a member yet sends a
//! request to be added; the daemon learns its host from the connection on which that request arrives.
//!
//! # First start and lost disks
//!
//! A replica id stands for one data folder from its creation to its loss. A host whose folder is empty gets a new
//! random id and an empty log. It waits until a leader adds it as a learner ([`membership::Change::AddLearner`]), and
//! does not count for majorities before [`membership::Change::Promote`]. The replica id of a lost disk is removed
//! with [`membership::Change::Remove`] and can never be added again.
//!
//! A fleet is bootstrapped only once. One host calls [`Node::bootstrap`], and only after *all* initial voters have
//! answered that their folder is empty and have sent their replica ids. With this rule, a host that lost its disk can
//! never bootstrap a second fleet, because the folders of the other voters are not empty.
//!
//! # Clocks
//!
//! The leader lease compares intervals of two monotonic clocks: the leader's lease ends before the minimum election
//! timeout of any follower that acknowledged the heartbeat. The difference between the two
//! ([`node::Options::lease_ms`]) absorbs clock drift. The node detects that its process was stopped (frozen) by the
//! gap between two ticks. It cannot detect that the whole machine was suspended, because then the monotonic clock
//! stops too. A fleet that uses no lease for this reason sets [`node::Options::keeps_lease_over_restart`] to false and
//! elects a leader without delay after a restart of a majority.

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
