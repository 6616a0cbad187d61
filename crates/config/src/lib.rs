//! The configuration of the fleet, which operators write, review and submit.
//!
//! [`Configuration::apply`] returns the [`Configuration`] after a [`Change`], or refuses the whole change. It is
//! deterministic, because the replicated state machine calls it on every voter. Module [`text`] reads and prints
//! configurations and changes as YAML.

pub mod apply;
pub mod change;
pub mod configuration;
mod define;
mod difference;
pub mod item;
pub mod key;
mod locate;
pub mod spec;
pub mod table;
pub mod text;

pub use change::{Action, Change, Code, Refusal};
pub use configuration::{Configuration, Settings};
pub use difference::difference;
pub use item::{Account, Host, Kind, Pool, Server, State};
pub use key::KeyHash;
pub use table::Table;
