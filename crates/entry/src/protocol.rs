//! Conversion between the platform's HTTP headers and the data that an entry host uses.
//!
//! This crate defines which data is exchanged; the platform crate defines the header names.

use std::net::SocketAddrV4;
use std::sync::Arc;

use hyper::http::{request, response};
use hyper::{HeaderMap, StatusCode};
use primrose_place::Server;
use primrose_place::demand::Prompt;

use crate::notice::Notice;

/// The platform's functions that read and write headers.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Reads the head (request line and headers) of a caller's request.
    pub read: fn(&request::Parts) -> Result<Metadata, Malformed>,
    /// Changes the headers of a caller into those for a backend server.
    pub write: fn(&mut HeaderMap, &Outgoing<'_>),
    /// Classifies an answer by its head. The other arguments are the attempt id of the request, and whether its
    /// connection has carried a request before, whose answer the server may have repeated.
    pub classify: fn(&response::Parts, &str, bool) -> Classification,
    /// Reads what the head of an answer, also of an informational one, says about its server.
    pub notice: fn(StatusCode, &HeaderMap) -> Notice,
}

/// The data in the head of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Metadata {
    /// Identifies this attempt of the caller; each attempt has another id.
    pub attempt: Arc<str>,
    /// How long the caller waits for the answer, in ms; `None` if the caller sets no deadline.
    pub deadline_ms: Option<u64>,
    /// The API key of a client account, or `None` if the caller sent no key.
    pub key: Option<Arc<str>>,
    /// The prompt of a generation request; `None` for a plain service.
    pub prompt: Option<Prompt>,
}

/// A request whose headers cannot be read. The text says which header and why, and is returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

/// The data that is sent to a backend server in addition to the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing<'a> {
    /// The server for which the request is meant; another server at its address must not run the request.
    pub server: &'a Server,
    /// Time until the entry host stops waiting for the answer, in ms.
    pub remaining_ms: u64,
    /// Name of the client account, or `None` for an anonymous request.
    pub account: Option<&'a str>,
    /// The engine from which the server is to fetch the cached parts of the prompt that it lacks.
    pub fetch_from: Option<SocketAddrV4>,
    /// Id of the last event that the caller has received, if a stream is resumed.
    pub resume_after: Option<&'a str>,
}

/// What an answer is, judged by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The server's own answer to the request.
    Answer {
        /// Whether the answer reports a failure of the server.
        failed: bool,
    },
    /// The server refused the request because it is full; the request has not run.
    Full,
    /// Another server now has the address; the request has not run.
    Replaced,
    /// The answer belongs to another request, or is malformed or incomplete.
    Invalid,
}
