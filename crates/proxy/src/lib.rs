//! HTTP towards callers and backend servers.
//!
//! One task per request reads the head of the request, waits for a slot, sends the request to the backend server and
//! relays the answer. What to run where and when is decided elsewhere: the task asks through [`dispatch::Client`] and reports
//! back what happened. [`server::bind`] starts the listener.

mod attempt;
mod body;
mod claim;
pub mod dispatch;
pub mod failure;
mod handler;
mod meter;
mod relay;
pub mod server;
mod settings;
mod upstream;
