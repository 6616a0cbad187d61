//! HTTP towards callers and backend servers.
//!
//! One task per request reads the request, waits for a slot, sends the request to the backend server and relays the
//! answer. The scheduler decides which server a request is sent to and when; the task asks it through
//! [`dispatch::Client`] and reports progress and outcome. [`server::bind`] starts the listener.

mod acceptor;
mod attempt;
mod body;
mod claim;
mod connector;
pub mod dispatch;
pub mod failure;
mod handler;
mod meter;
mod relay;
pub mod server;
mod settings;
mod upstream;
