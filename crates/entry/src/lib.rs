//! The entry hosts: they take requests from callers and carry them to backend servers.
//!
//! An entry host keeps nothing that must survive. What it needs to know comes from the core hosts ([`link`]); a request
//! is looked up, placed, sent and answered in [`request`]. Streams are passed on by `direct`, or by `stream` if they can
//! go on at another server, and `upstream` keeps the connections to backend servers. How the platform names things on the
//! wire is left to a [`Dialect`].

pub mod body;
pub mod budget;
pub mod counter;
pub mod dialect;
mod direct;
pub mod event;
mod hop;
pub mod link;
pub mod listener;
mod miss;
pub mod pace;
pub mod refusal;
pub mod request;
mod stream;
mod ticket;
mod upstream;

pub use dialect::Dialect;
