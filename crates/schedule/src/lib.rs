//! Scheduling: fair sharing of the slots of a pool among client accounts across all hosts.
//!
//! A slot allows one request in flight on a backend server. Two state machines implement section 6 of the design
//! page. A [`dispatcher::Dispatcher`] runs on every host: it queues requests and dispatches them to the slots that
//! the host holds. An [`allocator::Allocator`] runs on the host that owns the slots of its failure domain, the owner:
//! it leases slots to hosts, always for the waiting account with the least normalised service. Dispatchers send
//! [`message::Report`], allocators send [`message::Answer`]. Neither reads a clock or does I/O; callers pass the time
//! and carry out the results.
//!
//! The other modules make decisions that a host takes without asking other hosts: admission, retries, idempotency
//! claims, the slot limit and health of a server, and the choice among servers.

pub mod admission;
pub mod allocator;
pub mod choice;
pub mod claim;
pub mod dispatcher;
pub mod estimate;
pub mod health;
pub mod ledger;
pub mod limit;
pub mod message;
pub mod queue;
pub mod retry;
pub mod settings;
pub mod snapshot;
