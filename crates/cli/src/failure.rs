//! Failures of a command, their output and their exit codes.

use std::io::Write;
use std::process::ExitCode;

use primrose_operator::client::Attempt;
use primrose_operator::text;
use serde::Serialize;

/// Why a command failed. Each variant has its own exit code.
#[derive(Debug)]
pub(crate) enum Failure {
    /// A change or an order was refused, the fleet could not be queried, or a text is invalid. Exit code 1.
    Refused(Box<Details>),
    /// The command line or the environment is wrong, or an input file cannot be read or is of the wrong kind. The
    /// value is the message. Exit code 2.
    Usage(String),
    /// The change or order may or may not have been accepted. Exit code 3.
    Unknown {
        /// The word `change` or `order`, and the id.
        submission: String,
        /// The daemons that were tried, in order.
        attempts: Vec<Attempt>,
        /// The command line that submits the same change or order again, with the same id.
        resend: String,
    },
}

/// Details of [`Failure::Refused`].
#[derive(Debug)]
pub(crate) struct Details {
    /// Machine-readable reason.
    pub(crate) code: String,
    /// Human-readable reason.
    pub(crate) message: String,
    /// Index of the refused action, from 0.
    pub(crate) action: Option<u32>,
    /// Version of the configuration that the change was checked against, if known.
    pub(crate) version: Option<u64>,
    /// The location in the input file, if the failure has one.
    pub(crate) diagnostic: Option<Box<text::Error>>,
}

/// JSON output of a failure. Its field names are read by operators' scripts.
#[derive(Serialize)]
struct Output<'a> {
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<&'a str>,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    action: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    line: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    column: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    what: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    resend: Option<&'a str>,
}

impl<'a> Output<'a> {
    fn new(outcome: &'a str, message: String) -> Output<'a> {
        Output {
            outcome,
            code: None,
            message,
            action: None,
            line: None,
            column: None,
            version: None,
            what: None,
            resend: None,
        }
    }
}

impl Failure {
    /// A failure without a code of its own, such as a query that no daemon could answer.
    pub(crate) fn other(message: String) -> Failure {
        Failure::Refused(Box::new(Details {
            code: "failed".to_owned(),
            message,
            action: None,
            version: None,
            diagnostic: None,
        }))
    }

    /// A file whose text is neither a valid configuration nor a valid change.
    pub(crate) fn invalid_text(error: Box<text::Error>) -> Failure {
        Failure::Refused(Box::new(Details {
            code: "invalid_text".to_owned(),
            message: error.message.clone(),
            action: None,
            version: None,
            diagnostic: Some(error),
        }))
    }

    /// Prints the failure and returns its exit code. With `json`, the output is JSON on standard output, otherwise
    /// text on standard error.
    pub(crate) fn print(self, json: bool) -> ExitCode {
        let (code, output) = self.output();
        if json {
            print_json(&output);
            return ExitCode::from(code);
        }
        match self {
            Failure::Refused(details) => match details.diagnostic {
                Some(diagnostic) => {
                    print_stderr(&format!("{:?}", miette::Report::new_boxed(diagnostic)))
                }
                None => print_stderr(&format!("error: {} ({})", details.message, details.code)),
            },
            Failure::Usage(message) => {
                print_stderr(&format!("error: {message}\ntry `primrose --help`"))
            }
            Failure::Unknown {
                submission,
                attempts,
                resend,
            } => {
                print_stderr(&format!(
                    "unknown outcome: {submission} may or may not have been accepted"
                ));
                for attempt in attempts {
                    print_stderr(&format!("  {}: {}", attempt.address, attempt.message));
                }
                print_stderr(&format!(
                    "Submit it again with this command; with the same id it is accepted at most once:\n  {resend}"
                ));
            }
        }
        ExitCode::from(code)
    }

    /// The exit code and the JSON output.
    fn output(&self) -> (u8, Output<'_>) {
        match self {
            Failure::Refused(details) => {
                let diagnostic = details.diagnostic.as_ref();
                let output = Output {
                    code: Some(&details.code),
                    action: details.action,
                    line: diagnostic.and_then(|diagnostic| diagnostic.line),
                    column: diagnostic.and_then(|diagnostic| diagnostic.column),
                    version: details.version,
                    ..Output::new("refused", details.message.clone())
                };
                (1, output)
            }
            Failure::Usage(message) => (2, Output::new("usage", message.clone())),
            Failure::Unknown {
                submission,
                attempts,
                resend,
            } => {
                let reasons = attempts
                    .iter()
                    .map(|a| format!("{}: {}", a.address, a.message));
                let message = reasons.collect::<Vec<_>>().join(", ");
                let output = Output {
                    what: Some(submission),
                    resend: Some(resend),
                    ..Output::new("unknown", message)
                };
                (3, output)
            }
        }
    }
}

/// Writes to standard output. Errors are ignored, because the reader may have closed the pipe.
pub(crate) fn print_stdout(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}

/// Writes a line to standard error. Errors are ignored.
pub(crate) fn print_stderr(text: &str) {
    let _ = writeln!(std::io::stderr().lock(), "{text}");
}

/// Writes a value as indented JSON to standard output.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    // Serialising to a string fails only for maps whose keys are not strings; the printed types have no such maps.
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    print_stdout(&(text + "\n"));
}
