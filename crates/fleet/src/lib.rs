//! Core hosts: they replicate the documents, read the list of backend servers and place requests.
//!
//! The hosts of a fleet are not listed anywhere. The core hosts, which have disks, hold the fleet's state. Each of
//! them
//!
//! - runs a replica of the log of documents and of orders about failure domains ([`replica`], [`drain`]), whose
//!   members follow the hosts that exist ([`members`]);
//! - knows the backend servers ([`directory`]); one core host reads their list for all;
//! - tells entry hosts to which servers requests go, which document is in force and which core hosts there are
//!   ([`core_host`]).
//!
//! The messages between hosts are defined in [`message`].

pub mod core_host;
pub mod counter;
pub mod directory;
pub mod drain;
pub mod entry;
pub mod exchange;
mod legacy;
pub mod members;
pub mod message;
pub mod peers;
pub mod replica;
pub mod storage;
pub mod store;

pub use directory::Directory;
