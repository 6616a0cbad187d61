//! Scheduling: fair sharing of the slots of a pool among client accounts across all hosts.
//!
//! Two state machines make the decisions of section 6 of the design page. A [`borrower::Borrower`] runs on every host:
//! it queues requests and dispatches them to slots that it holds. A [`lender::Lender`] runs on the host that owns the
//! slots of its failure domain: it lends them to hosts in the order of least normalised service. They exchange
//! [`message::Report`] and [`message::Answer`]. Neither reads a clock or does input or output.
//!
//! Beside them stand small decisions that a host makes alone: admission, retries, claims, the slot limit of a server,
//! its health and the choice among servers.

pub mod admission;
pub mod borrower;
pub mod choice;
pub mod claim;
pub mod estimate;
pub mod health;
pub mod ledger;
pub mod lender;
pub mod limit;
pub mod message;
pub mod queue;
pub mod retry;
pub mod settings;
pub mod snapshot;
