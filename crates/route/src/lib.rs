//! Routes, pools and client accounts in one versioned document.
//!
//! Besides the reviewed changes of `primrose-config`, a fleet can be configured by whole documents:
//! each replaces the one before it, and the one with the highest version is in force. [`document`]
//! defines the content and its validation; [`table`] is the index in which an entry host looks up
//! requests.

pub mod document;
pub mod table;

pub use document::Document;
pub use table::Table;
