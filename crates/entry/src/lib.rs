//! Entry hosts: they accept callers' requests and forward them to backend servers.
//!
//! An entry host stores nothing durably. It gets the configuration and the assignments from the core hosts
//! ([`link`]). Requests are processed in [`request`]: matched to a route, assigned to a server, sent and answered.
//! `attempt` sends a request to as many servers as needed, and [`silence`] decides when a silent one is not waited for
//! alone.
//! `buffer` holds short answers until they are complete, `stream` forwards the answers that another server can resume,
//! `direct` forwards all others, `form` tells whether one answer can continue another, `ending` whether an answer is
//! whole, and `upstream` holds the connections to backend servers. `crash` finds out whether a server has ended when a connection breaks. [`notice`]
//! keeps requests away from servers that leave, pause or are drained. [`overload`] detects that the host is overloaded,
//! [`pressure`] decides what it refuses then, and [`slow`] bounds what waits for slow readers. [`idle`] ends connections of
//! callers, [`framing`] tells whether a further request has arrived, and `stop` is the planned stop of the host. The
//! platform supplies the header names as a [`Protocol`].

mod assignment;
mod attempt;
pub mod body;
pub mod budget;
mod buffer;
pub mod closing;
pub mod counter;
mod courier;
mod crash;
pub mod deadline;
mod direct;
mod ending;
pub mod event;
mod failure;
mod form;
pub mod framing;
pub mod hello;
mod hop;
pub mod idle;
pub mod link;
pub mod listener;
pub mod memory;
pub mod notice;
pub mod overload;
pub mod pressure;
pub mod protocol;
pub mod refusal;
pub mod request;
pub mod silence;
pub mod slow;
mod stop;
mod stream;
mod tracked;
mod upstream;
pub mod waiting;

pub use protocol::Protocol;
