//! HTTP client that submits changes and orders and reads the state of the fleet.

use std::time::Duration;

use bytes::Bytes;
use primrose_config::{Change, Configuration, text};
use primrose_state::api;
use serde::de::DeserializeOwned;

use crate::connection::{self, Failure, Request, Response};
use crate::key::Key;

/// Time limits of one request to one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Limit for opening the connection. The default is 2 s.
    pub connect: Duration,
    /// Limit for sending the request and receiving the whole response. The default of 10 s is longer than the
    /// election of a leader, so that a change that is submitted during an election is still accepted.
    pub response: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            connect: Duration::from_secs(2),
            response: Duration::from_secs(10),
        }
    }
}

/// A client of the operators' interface of one fleet. It opens a connection for each request.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<String>,
    key: Key,
    timeouts: Timeouts,
}

/// Result of submitting a change or an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change or order is committed to the log. The value is the version of the configuration with the change, or
    /// the number of the order.
    Accepted(u64),
    /// The change or order was not accepted and will not be accepted later.
    Refused(api::Refused),
    /// The change or order may have been accepted, or may still be. To find out, submit it again with the same id; it
    /// is accepted at most once.
    Unknown {
        /// The daemons that were tried, in order.
        attempts: Vec<Attempt>,
    },
}

/// A request to one daemon that gave no usable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Address of the daemon, `IP:PORT`.
    pub address: String,
    /// Human-readable reason why there is no usable reply.
    pub message: String,
}

/// Why the state of the fleet could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Every daemon was unreachable, sent no complete response or answered with a status of 500 or more.
    #[error("no daemon could answer: {}", format_attempts(attempts))]
    Unavailable {
        /// The daemons that were tried, in order.
        attempts: Vec<Attempt>,
    },
    /// A daemon refused the request, for example because the key is wrong.
    #[error("{address} answered with status {status}: {message}")]
    Status {
        /// Address of the daemon, `IP:PORT`.
        address: String,
        /// HTTP status code, below 500 and not 200.
        status: u16,
        /// The error message in the response.
        message: String,
    },
    /// No daemon had answered when the time limit of a wait had passed.
    #[error("no daemon answered in time")]
    TimedOut,
    /// The body of a response with status 200 is not what the client expects.
    #[error("the response of {address} cannot be read: {message}")]
    InvalidResponse {
        /// Address of the daemon, `IP:PORT`.
        address: String,
        /// Human-readable reason.
        message: String,
    },
}

fn format_attempts(attempts: &[Attempt]) -> String {
    let reasons = attempts
        .iter()
        .map(|a| format!("{} ({})", a.address, a.message));
    reasons.collect::<Vec<_>>().join(", ")
}

impl Client {
    /// A client for the daemons with the operators' interface at `addresses`, each `IP:PORT`. Each request tries the
    /// daemons in this order.
    pub fn new(addresses: Vec<String>, key: Key, timeouts: Timeouts) -> Client {
        Client {
            addresses,
            key,
            timeouts,
        }
    }

    /// Submits a change.
    ///
    /// If a daemon cannot be reached or its response does not arrive, the change is sent to the next daemon. The
    /// change id makes that safe: the fleet applies the change once and repeats its first reply. Once a response has
    /// been lost, only a refusal by the log is reported as a refusal. A daemon that refuses the change before
    /// proposing it to the log does not know whether the earlier submission was accepted.
    pub async fn submit(&self, change: &Change) -> Outcome {
        let body = Bytes::from(text::print_change(change));
        self.post("/operator/changes", body, parse_change_reply)
            .await
    }

    /// Submits an order to an engine. Retries and the outcome follow the rules of [`Client::submit`].
    pub async fn submit_order(&self, order: &api::OrderRequest) -> Outcome {
        // Serialising to a vector fails only for maps whose keys are not strings; the type has no maps.
        let body = serde_json::to_vec(order).unwrap_or_default();
        self.post("/operator/orders", body.into(), parse_order_reply)
            .await
    }

    /// Sends a submission to one daemon after the other until one knows its outcome.
    async fn post(
        &self,
        path: &str,
        body: Bytes,
        parse: fn(&[u8]) -> Result<Reply, serde_json::Error>,
    ) -> Outcome {
        let request = Request {
            method: "POST",
            path,
            body,
        };
        let mut attempts = Vec::new();
        let mut refusal = None;
        let mut maybe_accepted = false;
        for address in &self.addresses {
            let message = match self.send(address, &request).await {
                Err(Failure::NotSent(message)) => message,
                Err(Failure::NoResponse(message)) => {
                    maybe_accepted = true;
                    message
                }
                Ok(response) => match parse_reply(&response, parse) {
                    Reply::Final(outcome) => return outcome,
                    Reply::Unknown(message) => {
                        maybe_accepted = true;
                        message
                    }
                    Reply::NotProposed(refused) => {
                        let message = refused.message.clone();
                        refusal = Some(refused);
                        message
                    }
                },
            };
            attempts.push(Attempt {
                address: address.clone(),
                message,
            });
        }
        match refusal {
            _ if maybe_accepted => Outcome::Unknown { attempts },
            Some(refused) => Outcome::Refused(refused),
            None => refuse_unreachable(&attempts),
        }
    }

    /// Reads the configuration that is in force at the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no daemon answers, a daemon refuses the request or its response is not a
    /// configuration.
    pub async fn configuration(&self) -> Result<Configuration, Error> {
        let (address, response) = self.get("/operator/configuration").await?;
        let invalid = |message: String| Error::InvalidResponse {
            address: address.to_owned(),
            message,
        };
        let text = std::str::from_utf8(&response.body).map_err(|e| invalid(e.to_string()))?;
        text::read_configuration(address, text).map_err(|error| invalid(error.message))
    }

    /// Reads the state of the hosts and the log, as the first daemon that answers knows it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no daemon answers, a daemon refuses the request or its response cannot be parsed.
    pub async fn status(&self) -> Result<api::Status, Error> {
        self.get_json("/operator/status").await
    }

    /// Reads the figures of the accounts, as the first daemon that answers knows them.
    ///
    /// # Errors
    ///
    /// As for [`Client::status`].
    pub async fn accounts(&self) -> Result<api::Accounts, Error> {
        self.get_json("/operator/accounts").await
    }

    /// Reads the recorded orders, as the first daemon that answers knows them.
    ///
    /// # Errors
    ///
    /// As for [`Client::status`].
    pub async fn orders(&self) -> Result<api::Orders, Error> {
        self.get_json("/operator/orders").await
    }

    /// Reads the counters of the first daemon that answers.
    ///
    /// # Errors
    ///
    /// As for [`Client::status`].
    pub async fn counters(&self) -> Result<api::Counters, Error> {
        self.get_json("/operator/counters").await
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let (address, response) = self.get(path).await?;
        serde_json::from_slice(&response.body).map_err(|cause| Error::InvalidResponse {
            address: address.to_owned(),
            message: cause.to_string(),
        })
    }

    /// The first response with status 200, and the address of its daemon. If a daemon sends no complete response or a
    /// status of 500 or more, the next one is tried. If a daemon refuses the key or the request, the search ends,
    /// because the next daemon would refuse them as well.
    async fn get(&self, path: &str) -> Result<(&str, Response), Error> {
        let request = Request {
            method: "GET",
            path,
            body: Bytes::new(),
        };
        let mut attempts = Vec::new();
        for address in &self.addresses {
            let message = match self.send(address, &request).await {
                Ok(response) if response.status == 200 => return Ok((address, response)),
                Ok(response) if response.status < 500 => {
                    return Err(Error::Status {
                        address: address.clone(),
                        status: response.status,
                        message: error_message(&response),
                    });
                }
                Ok(response) => error_message(&response),
                Err(Failure::NotSent(message) | Failure::NoResponse(message)) => message,
            };
            attempts.push(Attempt {
                address: address.clone(),
                message,
            });
        }
        Err(Error::Unavailable { attempts })
    }

    async fn send(&self, address: &str, request: &Request<'_>) -> Result<Response, Failure> {
        let Timeouts { connect, response } = self.timeouts;
        connection::send(address, &self.key, request, connect, response).await
    }
}

/// What a daemon's response says about a submission.
enum Reply {
    /// The outcome is final: the log has accepted or refused the submission.
    Final(Outcome),
    /// The daemon does not know the outcome, or its response cannot be parsed. The value is the reason.
    Unknown(String),
    /// The daemon has refused the submission without proposing it to the log.
    NotProposed(api::Refused),
}

fn parse_change_reply(body: &[u8]) -> Result<Reply, serde_json::Error> {
    let submission = serde_json::from_slice(body)?;
    Ok(match submission {
        api::Submission::Accepted { version } => Reply::Final(Outcome::Accepted(version)),
        api::Submission::Refused(refused) => classify_refusal(refused),
        api::Submission::Unknown { message } => Reply::Unknown(message),
    })
}

fn parse_order_reply(body: &[u8]) -> Result<Reply, serde_json::Error> {
    let submission = serde_json::from_slice(body)?;
    Ok(match submission {
        api::OrderSubmission::Recorded { number } => Reply::Final(Outcome::Accepted(number)),
        api::OrderSubmission::Refused(refused) => classify_refusal(refused),
        api::OrderSubmission::Unknown { message } => Reply::Unknown(message),
    })
}

fn classify_refusal(refused: api::Refused) -> Reply {
    match refused.code.as_str() {
        api::INVALID_TEXT | api::UNAVAILABLE => Reply::NotProposed(refused),
        _ => Reply::Final(Outcome::Refused(refused)),
    }
}

fn parse_reply(response: &Response, parse: fn(&[u8]) -> Result<Reply, serde_json::Error>) -> Reply {
    match parse(&response.body) {
        Ok(reply) => reply,
        Err(_) if (400..500).contains(&response.status) => Reply::NotProposed(api::Refused {
            code: format!("status_{}", response.status),
            message: error_message(response),
            action: None,
            field: None,
            version: None,
        }),
        Err(_) => Reply::Unknown(format!("status {}", response.status)),
    }
}

/// The refusal when no daemon received the submission.
fn refuse_unreachable(attempts: &[Attempt]) -> Outcome {
    Outcome::Refused(api::Refused {
        code: api::UNAVAILABLE.to_owned(),
        message: format!("no daemon could be reached: {}", format_attempts(attempts)),
        action: None,
        field: None,
        version: None,
    })
}

fn error_message(response: &Response) -> String {
    match serde_json::from_slice::<api::ErrorReply>(&response.body) {
        Ok(reply) => reply.error.message,
        Err(_) => format!("status {}", response.status),
    }
}
