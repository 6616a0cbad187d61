//! How requests and answers are written on the wire of a platform.
//!
//! The product knows what it wants to say and what it needs to know; the names of headers belong to the platform.

use std::net::SocketAddrV4;
use std::sync::Arc;

use hyper::HeaderMap;
use hyper::http::{request, response};
use primrose_place::Server;
use primrose_place::demand::Prompt;

/// Translates between a platform's headers and the product.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads the head of a request.
    pub read: fn(&request::Parts) -> Result<Intent, Malformed>,
    /// Turns the headers of a caller into those for a backend server.
    pub write: fn(&mut HeaderMap, &Passage<'_>),
    /// Tells what the head of an answer says about the request with this attempt id.
    pub judge: fn(&response::Parts, &str) -> Judgement,
}

/// What the head of a request says.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent {
    /// Identifies this attempt of the caller; another attempt has another id.
    pub attempt: Arc<str>,
    /// How long the caller waits, in ms.
    pub deadline_ms: Option<u64>,
    /// The key of a client account.
    pub key: Option<Arc<str>>,
    /// What a generation asks for.
    pub prompt: Option<Prompt>,
}

/// A request that cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

/// What a backend server has to be told besides the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Passage<'a> {
    /// The server; any other one at its address must not run the request.
    pub server: &'a Server,
    /// How long an answer is waited for, in ms.
    pub left_ms: u64,
    /// The client account.
    pub account: Option<&'a str>,
    /// The engine from which the server is to fetch the kept parts of the prompt that it lacks.
    pub fetch_from: Option<SocketAddrV4>,
    /// The last event that the caller has, if a stream is resumed.
    pub resume_after: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// The server's own answer to the request.
    Answer {
        /// Whether the server failed the request.
        failed: bool,
    },
    /// The server has not run the request because it is full.
    Full,
    /// Another server has the address, and has not run the request.
    Gone,
    /// It is not an answer to this request, or not whole.
    Foreign,
}
