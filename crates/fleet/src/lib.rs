//! The core hosts: they keep the documents, read the list of backend servers and place requests.
//!
//! A fleet whose hosts are not listed anywhere is held together by its core hosts, which have disks. Each of them
//!
//! - keeps a replica of the log of documents ([`ledger`]), whose members follow the hosts that exist ([`members`]);
//! - knows the backend servers ([`directory`]), one host reading the list for all;
//! - answers entry hosts ([`core_host`]): where a request goes, which document is in force, which core hosts there are.
//!
//! What the hosts say to each other is in [`message`].

pub mod core_host;
pub mod counter;
pub mod directory;
pub mod ledger;
pub mod members;
pub mod message;
pub mod peers;
pub mod store;

pub use directory::Directory;
