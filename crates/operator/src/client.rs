//! Submits changes and reads the state of the fleet.

use std::time::Duration;

use bytes::Bytes;
use primrose_config::{Change, Configuration, text};
use primrose_state::api;
use serde::de::DeserializeOwned;

use crate::connection::{Answer, Failure, Question, exchange};
use crate::key::Key;

/// How long a client waits.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For a connection.
    pub connect: Duration,
    /// For a whole answer. Longer than an election, so that a change survives one.
    pub answer: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            connect: Duration::from_secs(2),
            answer: Duration::from_secs(10),
        }
    }
}

/// Talks to the daemons of one fleet.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<String>,
    key: Key,
    timeouts: Timeouts,
}

/// What became of a submitted change or order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The log has accepted it, with the version that the change made or the number of the order.
    Accepted(u64),
    /// Nothing of it is accepted, and nothing will be.
    Refused(api::Refused),
    /// It may be accepted, now or later. Submitting the same again with the same id is safe and tells.
    Unknown {
        /// What each daemon that was tried did.
        attempts: Vec<Attempt>,
    },
}

/// What happened at one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The address.
    pub address: String,
    /// What happened.
    pub message: String,
}

/// A question to the fleet has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No daemon answered.
    #[error("no daemon answered: {}", list(attempts))]
    Unreachable {
        /// What each daemon that was tried did.
        attempts: Vec<Attempt>,
    },
    /// A daemon refused the question.
    #[error("{address} answered with status {status}: {message}")]
    Status {
        /// The daemon.
        address: String,
        /// The status code.
        status: u16,
        /// What it said.
        message: String,
    },
    /// An answer cannot be read.
    #[error("the answer of {address} cannot be read: {message}")]
    Answer {
        /// The daemon.
        address: String,
        /// Why.
        message: String,
    },
}

fn list(attempts: &[Attempt]) -> String {
    let each = attempts
        .iter()
        .map(|a| format!("{} ({})", a.address, a.message));
    each.collect::<Vec<_>>().join(", ")
}

impl Client {
    /// A client for the daemons at `addresses` (`IP:PORT` of the operators' interface), which are tried in this order.
    pub fn new(addresses: Vec<String>, key: Key, timeouts: Timeouts) -> Client {
        Client {
            addresses,
            key,
            timeouts,
        }
    }

    /// Submits a change.
    ///
    /// A daemon that cannot be reached, or whose answer is lost, is followed by the next one. That is safe because of
    /// the change id: the fleet applies the change once and repeats its first reply. Once an answer was lost, only a
    /// reply of the log counts as a refusal; a daemon that refuses by itself knows nothing about the first submission.
    pub async fn submit(&self, change: &Change) -> Outcome {
        let body = Bytes::from(text::print_change(change));
        self.propose("/operator/changes", body, of_change).await
    }

    /// Submits an order to an engine, with the same rules as [`Client::submit`].
    pub async fn order(&self, order: &api::OrderRequest) -> Outcome {
        // Writing to a vector fails only for maps with keys that are no strings; the type has none.
        let body = serde_json::to_vec(order).unwrap_or_default();
        self.propose("/operator/orders", body.into(), of_order)
            .await
    }

    async fn propose(
        &self,
        path: &str,
        body: Bytes,
        read: fn(&[u8]) -> Result<Verdict, serde_json::Error>,
    ) -> Outcome {
        let question = Question {
            method: "POST",
            path,
            body,
        };
        let mut attempts = Vec::new();
        let mut refusal = None;
        let mut lost = false;
        for address in &self.addresses {
            let message = match self.exchange(address, &question).await {
                Err(Failure::NotSent(message)) => message,
                Err(Failure::Lost(message)) => {
                    lost = true;
                    message
                }
                Ok(answer) => match verdict(&answer, read) {
                    Verdict::Final(outcome) => return outcome,
                    Verdict::Unknown(message) => {
                        lost = true;
                        message
                    }
                    Verdict::NotProposed(refused) => {
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
            _ if lost => Outcome::Unknown { attempts },
            Some(refused) => Outcome::Refused(refused),
            None => not_reached(&attempts),
        }
    }

    /// The configuration that is in force at the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no daemon answers, or the answer is a refusal or no configuration.
    pub async fn configuration(&self) -> Result<Configuration, Error> {
        let (address, answer) = self.get("/operator/configuration").await?;
        let unreadable = |message: String| Error::Answer {
            address: address.to_owned(),
            message,
        };
        let text = std::str::from_utf8(&answer.body).map_err(|e| unreadable(e.to_string()))?;
        text::read_configuration(address, text).map_err(|error| unreadable(error.message))
    }

    /// The hosts and the log, as the first daemon that answers sees them.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no daemon answers, or the answer is a refusal or unreadable.
    pub async fn status(&self) -> Result<api::Status, Error> {
        self.get_json("/operator/status").await
    }

    /// The accounts, as the first daemon that answers sees them.
    ///
    /// # Errors
    ///
    /// As for [`Client::status`].
    pub async fn accounts(&self) -> Result<api::Accounts, Error> {
        self.get_json("/operator/accounts").await
    }

    /// The recorded orders, as the first daemon that answers sees them.
    ///
    /// # Errors
    ///
    /// As for [`Client::status`].
    pub async fn orders(&self) -> Result<api::Orders, Error> {
        self.get_json("/operator/orders").await
    }

    /// The counters of the first daemon that answers.
    ///
    /// # Errors
    ///
    /// As for [`Client::status`].
    pub async fn counters(&self) -> Result<api::Counters, Error> {
        self.get_json("/operator/counters").await
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let (address, answer) = self.get(path).await?;
        serde_json::from_slice(&answer.body).map_err(|cause| Error::Answer {
            address: address.to_owned(),
            message: cause.to_string(),
        })
    }

    /// The first good answer. A daemon that cannot answer now is followed by the next one; one that refuses the key or
    /// the question is not, because the next one would too.
    async fn get(&self, path: &str) -> Result<(&str, Answer), Error> {
        let question = Question {
            method: "GET",
            path,
            body: Bytes::new(),
        };
        let mut attempts = Vec::new();
        for address in &self.addresses {
            let message = match self.exchange(address, &question).await {
                Ok(answer) if answer.status == 200 => return Ok((address, answer)),
                Ok(answer) if answer.status < 500 => {
                    return Err(Error::Status {
                        address: address.clone(),
                        status: answer.status,
                        message: error_message(&answer),
                    });
                }
                Ok(answer) => error_message(&answer),
                Err(Failure::NotSent(message) | Failure::Lost(message)) => message,
            };
            attempts.push(Attempt {
                address: address.clone(),
                message,
            });
        }
        Err(Error::Unreachable { attempts })
    }

    async fn exchange(&self, address: &str, question: &Question<'_>) -> Result<Answer, Failure> {
        let Timeouts { connect, answer } = self.timeouts;
        exchange(address, &self.key, question, connect, answer).await
    }
}

/// What an answer to a submission says.
enum Verdict {
    /// The log has decided.
    Final(Outcome),
    /// The daemon does not know.
    Unknown(String),
    /// The daemon has not proposed the change.
    NotProposed(api::Refused),
}

fn of_change(body: &[u8]) -> Result<Verdict, serde_json::Error> {
    let submission = serde_json::from_slice(body)?;
    Ok(match submission {
        api::Submission::Accepted { version } => Verdict::Final(Outcome::Accepted(version)),
        api::Submission::Refused(refused) => of_refusal(refused),
        api::Submission::Unknown { message } => Verdict::Unknown(message),
    })
}

fn of_order(body: &[u8]) -> Result<Verdict, serde_json::Error> {
    let submission = serde_json::from_slice(body)?;
    Ok(match submission {
        api::OrderSubmission::Recorded { number } => Verdict::Final(Outcome::Accepted(number)),
        api::OrderSubmission::Refused(refused) => of_refusal(refused),
        api::OrderSubmission::Unknown { message } => Verdict::Unknown(message),
    })
}

fn of_refusal(refused: api::Refused) -> Verdict {
    match refused.code.as_str() {
        api::INVALID_TEXT | api::UNAVAILABLE => Verdict::NotProposed(refused),
        _ => Verdict::Final(Outcome::Refused(refused)),
    }
}

fn verdict(answer: &Answer, read: fn(&[u8]) -> Result<Verdict, serde_json::Error>) -> Verdict {
    match read(&answer.body) {
        Ok(verdict) => verdict,
        Err(_) if (400..500).contains(&answer.status) => Verdict::NotProposed(api::Refused {
            code: format!("status_{}", answer.status),
            message: error_message(answer),
            action: None,
            field: None,
            version: None,
        }),
        Err(_) => Verdict::Unknown(format!("status {}", answer.status)),
    }
}

fn not_reached(attempts: &[Attempt]) -> Outcome {
    Outcome::Refused(api::Refused {
        code: api::UNAVAILABLE.to_owned(),
        message: format!("no daemon was reached: {}", list(attempts)),
        action: None,
        field: None,
        version: None,
    })
}

fn error_message(answer: &Answer) -> String {
    match serde_json::from_slice::<api::ErrorReply>(&answer.body) {
        Ok(reply) => reply.error.message,
        Err(_) => format!("status {}", answer.status),
    }
}
