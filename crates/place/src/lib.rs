//! Which backend server a request goes to, and when it is refused instead.
//!
//! All decisions are made by [`Placer`], a plain state machine: time and messages are passed in. One placer books all
//! requests for a server, so that it knows what is ahead of the next one without asking the server:
//!
//! - [`engine`] predicts the time to the first token from the prompts that are booked, for bursts and hot prompts;
//! - [`cache`] follows which prompt parts each engine keeps, because reading a long shared part again takes longer than
//!   everything else;
//! - [`share`] tells which accounts ask for more than their max-min share, for floods by single accounts;
//! - [`health`] keeps requests away from servers that fail, also when their health check does not show it.

pub mod cache;
pub mod demand;
pub mod engine;
pub mod health;
pub mod placer;
pub mod server;
pub mod settings;
pub mod share;

pub use demand::Demand;
pub use placer::Placer;
pub use server::Server;
pub use settings::Settings;
