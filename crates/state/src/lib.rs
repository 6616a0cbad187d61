//! The replicated state machine: configuration, change ids, claims and orders.
//!
//! Every voter applies the same [`Command`]s in the order of the log and gets the same [`Reply`] and the same state.
//! Nothing here reads a clock or a random number; time enters as a field that the log leader writes ([`Clock`]).

pub mod api;
pub mod claim;
mod clock;
mod command;
mod dispatch;
pub mod history;
mod machine;
pub mod order;
mod recent;

pub use clock::Clock;
pub use command::{ChangeReply, Command, Member, Members, Reply};
pub use history::Update;
pub use machine::{MAX_REPLIES, Machine, SnapshotError};
