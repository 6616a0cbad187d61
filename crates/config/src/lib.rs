//! The configuration of the fleet: what operators write, review and submit.
//!
//! A [`Configuration`] is a value. A [`Change`] is applied to it as a whole or refused as a whole
//! ([`Configuration::apply`]), and the same input gives the same result on every host, because the replicated state
//! machine calls it. Module [`text`] reads and prints both as YAML.

pub mod apply;
pub mod change;
pub mod configuration;
mod difference;
mod entry;
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
