//! Chooses a backend server for each request, or refuses the request.
//!
//! [`Placer`] makes all decisions. It is a deterministic state machine without input or output: its
//! callers pass in the time and all events. One placer assigns all requests for a server, so it
//! knows the queue of each server without asking the server:
//!
//! - [`engine`] predicts the time to the first token from the prompts that are assigned, to handle
//!   bursts and prompts that many requests share;
//! - [`cache`] tracks which prompt parts each engine has cached, because prefilling a long shared
//!   part again takes longer than everything else;
//! - [`share`] determines which accounts request more than their max-min fair share, to handle
//!   floods by single accounts;
//! - [`refusals`] recognises requests that come back after a refusal, so that in a flood those that
//!   can still be on time go first;
//! - [`drained`] names the failure domains that get no requests, by order of the operators;
//! - [`waiting`] lets requests wait for spare engine time that cannot be served at once, if that is on;
//! - [`health`] keeps requests away from servers that fail, even if their health checks pass;
//! - [`quarantine`] finds prompt parts that crash servers, and refuses requests with them;
//! - [`crossing`] decides when requests may leave the failure domain of their entry host;
//! - [`speed`] learns figures of whole pools, for pools whose engines all differ from the operators' figures;
//! - [`transfer`] weighs what a copy of prompt parts costs, so that copies do not fill the engines;
//! - [`warmup`] limits the requests to servers that have just started or have become cold again;
//! - [`memory`] keeps engines from holding more requests than fit into their memory;
//! - [`explain`] tells where a request would go and why, without placing it.

pub mod cache;
pub mod crossing;
pub mod demand;
pub mod drained;
pub mod engine;
pub mod explain;
pub mod health;
pub mod memory;
pub mod placer;
pub mod quarantine;
pub mod refusals;
pub mod server;
pub mod settings;
pub mod share;
pub mod speed;
pub mod transfer;
pub mod waiting;
pub mod warmup;

pub use demand::Demand;
pub use placer::Placer;
pub use server::Server;
pub use settings::Settings;
