//! How a run ends if it does not succeed.

use std::io::Write;
use std::process::ExitCode;

use primrose_operator::client::Attempt;
use primrose_operator::text;
use serde::Serialize;

/// The end of a run that did not succeed; each kind has its exit code.
#[derive(Debug)]
pub(crate) enum End {
    /// The change was refused, or a question to the fleet has no answer.
    Refused(Box<Report>),
    /// The command line or the settings are wrong.
    Usage(String),
    /// The change or order may be accepted or not.
    Unknown {
        /// The change or order with its id.
        what: String,
        /// What each daemon that was tried did.
        attempts: Vec<Attempt>,
        /// The command that submits the same again.
        resend: String,
    },
}

/// A refusal, with the place in the operator's text if there is one.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) code: String,
    pub(crate) message: String,
    /// Index of the refused action, from 0.
    pub(crate) action: Option<u32>,
    /// The version that was current.
    pub(crate) version: Option<u64>,
    pub(crate) place: Option<Box<text::Error>>,
}

/// The end of a run as JSON.
#[derive(Serialize)]
struct Printed<'a> {
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

impl<'a> Printed<'a> {
    fn new(outcome: &'a str, message: String) -> Printed<'a> {
        Printed {
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

impl End {
    /// A question without an answer, or a file that cannot be read.
    pub(crate) fn failed(message: String) -> End {
        End::Refused(Box::new(Report {
            code: "failed".to_owned(),
            message,
            action: None,
            version: None,
            place: None,
        }))
    }

    /// A text that is wrong by itself.
    pub(crate) fn text(error: Box<text::Error>) -> End {
        End::Refused(Box::new(Report {
            code: "invalid_text".to_owned(),
            message: error.message.clone(),
            action: None,
            version: None,
            place: Some(error),
        }))
    }

    /// Prints the end, as JSON to the standard output or for people to the standard error, and returns the exit code.
    pub(crate) fn report(self, json: bool) -> ExitCode {
        let (code, printed) = self.printed();
        if json {
            print_json(&printed);
            return ExitCode::from(code);
        }
        match self {
            End::Refused(report) => match report.place {
                Some(place) => complain(&format!("{:?}", miette::Report::new_boxed(place))),
                None => complain(&format!("error: {} ({})", report.message, report.code)),
            },
            End::Usage(message) => complain(&format!("error: {message}\ntry `primrose --help`")),
            End::Unknown {
                what,
                attempts,
                resend,
            } => {
                complain(&format!("unknown outcome: {what} may be accepted or not"));
                for attempt in attempts {
                    complain(&format!("  {}: {}", attempt.address, attempt.message));
                }
                complain(&format!(
                    "Submit the same again; with the same id it is accepted at most once:\n  {resend}"
                ));
            }
        }
        ExitCode::from(code)
    }

    fn printed(&self) -> (u8, Printed<'_>) {
        match self {
            End::Refused(report) => {
                let place = report.place.as_ref();
                let printed = Printed {
                    code: Some(&report.code),
                    action: report.action,
                    line: place.and_then(|place| place.line),
                    column: place.and_then(|place| place.column),
                    version: report.version,
                    ..Printed::new("refused", report.message.clone())
                };
                (1, printed)
            }
            End::Usage(message) => (2, Printed::new("usage", message.clone())),
            End::Unknown {
                what,
                attempts,
                resend,
            } => {
                let each = attempts
                    .iter()
                    .map(|a| format!("{}: {}", a.address, a.message));
                let message = each.collect::<Vec<_>>().join(", ");
                let printed = Printed {
                    what: Some(what),
                    resend: Some(resend),
                    ..Printed::new("unknown", message)
                };
                (3, printed)
            }
        }
    }
}

/// Writes to the standard output. A reader that has gone away is no error.
pub(crate) fn say(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}

/// Writes a line to the standard error.
pub(crate) fn complain(text: &str) {
    let _ = writeln!(std::io::stderr().lock(), "{text}");
}

/// Writes a value as JSON to the standard output.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    // Writing to a string fails only for maps with keys that are no strings; the types here have none.
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    say(&(text + "\n"));
}
