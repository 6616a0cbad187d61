//! The replicated state machine of a fleet: its configuration, the claims of idempotency keys, and the orders to
//! engines.
//!
//! Every voter applies the same [`Command`]s in the order of the log, so every voter gets the same replies and the
//! same state. No command is applied with the help of a clock or a random number; the log leader writes the time into
//! the commands ([`Clock`]).

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
