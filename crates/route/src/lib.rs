//! Routes, pools and client accounts as one numbered document.
//!
//! Besides the reviewed changes of `primrose-config`, a fleet can be steered by whole documents: each replaces the one
//! before it, and the highest version is in force. [`document`] holds the content and the rules that a valid document
//! keeps; [`table`] is the form in which an entry host looks requests up.

pub mod document;
pub mod table;

pub use document::Document;
pub use table::Table;
