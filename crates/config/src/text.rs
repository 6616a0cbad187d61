//! The configuration and its changes as YAML.
//!
//! Printing is deterministic, and reading a printed text gives the value back. A refused text is reported with the
//! location of the error.

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_yaml_ng::Location;

use crate::change::{Change, Refusal};
use crate::configuration::{Configuration, Document, DocumentError};
use crate::locate::{Step, locate, locate_exact};

/// The least Jaro-Winkler similarity, from 0 to 1, between an unknown key and a known key that is suggested instead.
const SUGGESTION_SIMILARITY: f64 = 0.7;

/// A text was refused. Prints as a diagnostic that quotes the text.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    /// What is wrong with the text.
    pub message: String,
    /// Line of the error, from 1, if known.
    pub line: Option<usize>,
    /// Column of the error in characters, from 1, if known.
    pub column: Option<usize>,
    /// Advice on how to correct the text.
    #[help]
    pub help: Option<String>,
    #[source_code]
    source_code: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
}

/// Reads a configuration. `name` is the file name shown in error messages.
///
/// # Errors
///
/// Returns an [`Error`] if the text is not YAML, has an unknown key, or does not describe a valid configuration.
pub fn read_configuration(name: &str, text: &str) -> Result<Configuration, Box<Error>> {
    let document: Document = read(name, text)?;
    Configuration::try_from(document).map_err(|invalid| {
        let location = locate(text, &document_error_path(&invalid));
        error(name, text, invalid.message, None, location)
    })
}

/// Reads a change. `name` is the file name shown in error messages.
///
/// # Errors
///
/// Returns an [`Error`] if the text is not YAML, has an unknown key, or does not describe a change. The values of its
/// fields are checked by [`Change::check`] and [`Configuration::apply`].
pub fn read_change(name: &str, text: &str) -> Result<Change, Box<Error>> {
    read(name, text)
}

/// The content of a text that may be a configuration or a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Either {
    /// The text is a whole configuration.
    Configuration(Box<Configuration>),
    /// The text is a change.
    Change(Change),
}

/// Reads a configuration or a change. A text with the key `actions` or `base` is a change. `name` is the file name
/// shown in error messages.
///
/// # Errors
///
/// As for [`read_configuration`] and [`read_change`].
pub fn read_either(name: &str, text: &str) -> Result<Either, Box<Error>> {
    let has_key = |key: &str| locate_exact(text, &[Step::Key(key.to_owned())]).is_some();
    // A configuration has neither key.
    if has_key("actions") || has_key("base") {
        read_change(name, text).map(Either::Change)
    } else {
        let configuration = read_configuration(name, text)?;
        Ok(Either::Configuration(Box::new(configuration)))
    }
}

/// The configuration as YAML, which [`read_configuration`] reads.
pub fn print_configuration(configuration: &Configuration) -> String {
    print(configuration)
}

/// The change as YAML, which [`read_change`] reads.
pub fn print_change(change: &Change) -> String {
    print(change)
}

/// A diagnostic that shows where in the text of a change the refused part is. `name` is the file name shown in it.
pub fn locate_refusal(name: &str, text: &str, refusal: &Refusal) -> Box<Error> {
    let location = locate(text, &refusal_path(refusal));
    let help = Some(format!("refused: {}", refusal.code));
    error(name, text, refusal.message.clone(), help, location)
}

fn print<T: Serialize>(value: &T) -> String {
    // Writing to a string fails only for values that YAML cannot express; the types here have none.
    serde_yaml_ng::to_string(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Box<Error>> {
    serde_yaml_ng::from_str(text).map_err(|cause| {
        let message = without_location(&cause.to_string());
        let help = suggestion(&message);
        error(name, text, message, help, cause.location())
    })
}

fn document_error_path(error: &DocumentError) -> Vec<Step> {
    let mut path = vec![Step::Key(error.list.to_owned())];
    path.extend(error.index.map(Step::Index));
    path.push(Step::Key(error.field.to_owned()));
    path
}

fn refusal_path(refusal: &Refusal) -> Vec<Step> {
    let Some(index) = refusal.action else {
        let base = refusal.code == crate::change::Code::BaseVersion;
        let key = if base { "base" } else { "id" };
        return vec![Step::Key(key.to_owned())];
    };
    let mut path = vec![
        Step::Key("actions".to_owned()),
        Step::Index(index as usize),
        Step::OnlyKey,
    ];
    path.extend(refusal.field.clone().map(Step::Key));
    path
}

fn error(
    name: &str,
    text: &str,
    message: String,
    help: Option<String>,
    location: Option<Location>,
) -> Box<Error> {
    let line = location.as_ref().map(Location::line);
    let column = location.as_ref().map(Location::column);
    let span = location.map(|location| span_at(text, location.line(), location.column()));
    Box::new(Error {
        message,
        line,
        column,
        help,
        source_code: NamedSource::new(name, text.to_owned()),
        span,
    })
}

/// The span of the value at this location, which ends at the end of the line or at a delimiter. The parser counts
/// columns in characters, a span counts bytes.
fn span_at(text: &str, line: usize, column: usize) -> SourceSpan {
    let mut start = 0;
    for earlier in text.split_inclusive('\n').take(line.saturating_sub(1)) {
        start += earlier.len();
    }
    let rest = text.get(start..).unwrap_or_default();
    let rest = rest.lines().next().unwrap_or_default();
    let skipped: usize = rest
        .chars()
        .take(column.saturating_sub(1))
        .map(char::len_utf8)
        .sum();
    let value = rest.get(skipped..).unwrap_or_default();
    let value = value.split([',', '}', ']']).next().unwrap_or_default();
    SourceSpan::new((start + skipped).into(), value.trim_end().len())
}

/// The parser's message without the location at its end, which is shown separately.
fn without_location(message: &str) -> String {
    match message.rfind(" at line ") {
        Some(at) => message[..at].to_owned(),
        None => message.to_owned(),
    }
}

/// Suggests the known key that is most similar to the unknown one. Serde's message has the unknown key and then the
/// known ones in backquotes.
fn suggestion(message: &str) -> Option<String> {
    if !message.contains("unknown field") && !message.contains("unknown variant") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    let (similarity, nearest) = quoted
        .map(|known| (strsim::jaro_winkler(unknown, known), known))
        .max_by(|a, b| a.0.total_cmp(&b.0))?;
    (similarity >= SUGGESTION_SIMILARITY).then(|| format!("did you mean `{nearest}`?"))
}
