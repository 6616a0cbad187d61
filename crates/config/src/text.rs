//! The configuration and its changes as YAML.
//!
//! The same value always gives the same text, and reading it gives the same value. A text that is refused is shown with
//! the place of the error.

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_yaml_ng::Location;

use crate::change::{Change, Refusal};
use crate::configuration::{Configuration, Document, Fault};
use crate::locate::{Step, exact, locate};

/// The least similarity (Jaro-Winkler, 0 to 1) of a key that is suggested in place of an unknown one.
const SUGGESTION_SIMILARITY: f64 = 0.7;

/// A text that is refused, with the place where.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    /// What is wrong.
    pub message: String,
    /// Line of the place, from 1, if the place is known.
    pub line: Option<usize>,
    /// Column of the place, from 1, if the place is known.
    pub column: Option<usize>,
    /// What to do about it.
    #[help]
    pub help: Option<String>,
    #[source_code]
    source_code: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
}

/// Reads a configuration. `name` is the name of the file for messages.
///
/// # Errors
///
/// Returns an [`Error`] if the text is not YAML, has an unknown key, or describes no valid configuration.
pub fn read_configuration(name: &str, text: &str) -> Result<Configuration, Box<Error>> {
    let document: Document = read(name, text)?;
    Configuration::try_from(document).map_err(|fault| {
        let place = locate(text, &fault_path(&fault));
        error(name, text, fault.message, None, place)
    })
}

/// Reads a change. `name` is the name of the file for messages.
///
/// # Errors
///
/// Returns an [`Error`] if the text is not YAML, has an unknown key, or describes no change.
pub fn read_change(name: &str, text: &str) -> Result<Change, Box<Error>> {
    read(name, text)
}

/// A text that is either of the two.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Either {
    /// A whole configuration.
    Configuration(Box<Configuration>),
    /// A change.
    Change(Change),
}

/// Reads a configuration or a change, which is recognised by its keys. `name` is the name of the file for messages.
///
/// # Errors
///
/// As for [`read_configuration`] and [`read_change`].
pub fn read_either(name: &str, text: &str) -> Result<Either, Box<Error>> {
    let has_key = |key: &str| exact(text, &[Step::Key(key.to_owned())]).is_some();
    // A configuration has neither key.
    if has_key("actions") || has_key("base") {
        read_change(name, text).map(Either::Change)
    } else {
        let configuration = read_configuration(name, text)?;
        Ok(Either::Configuration(Box::new(configuration)))
    }
}

/// The text of a configuration.
pub fn print_configuration(configuration: &Configuration) -> String {
    print(configuration)
}

/// The text of a change.
pub fn print_change(change: &Change) -> String {
    print(change)
}

/// Shows where in the text of a change the reason for a refusal is. `name` is the name of the file for messages.
pub fn locate_refusal(name: &str, text: &str, refusal: &Refusal) -> Box<Error> {
    let place = locate(text, &refusal_path(refusal));
    let help = Some(format!("refused: {}", refusal.code));
    error(name, text, refusal.message.clone(), help, place)
}

fn print<T: Serialize>(value: &T) -> String {
    // Writing to a string fails only for values that YAML cannot express; the types here have none.
    serde_yaml_ng::to_string(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Box<Error>> {
    serde_yaml_ng::from_str(text).map_err(|cause| {
        let message = without_place(&cause.to_string());
        let help = suggestion(&message);
        error(name, text, message, help, cause.location())
    })
}

fn fault_path(fault: &Fault) -> Vec<Step> {
    let mut path = vec![Step::Key(fault.list.to_owned())];
    path.extend(fault.index.map(Step::Index));
    path.push(Step::Key(fault.field.to_owned()));
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
    place: Option<Location>,
) -> Box<Error> {
    let line = place.as_ref().map(Location::line);
    let column = place.as_ref().map(Location::column);
    let span = place.map(|place| span_at(text, place.line(), place.column()));
    Box::new(Error {
        message,
        line,
        column,
        help,
        source_code: NamedSource::new(name, text.to_owned()),
        span,
    })
}

/// The value at the place, as far as its line shows where it ends. The parser counts columns in characters, a span counts bytes.
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

/// The parser's message without its place, which is shown separately.
fn without_place(message: &str) -> String {
    match message.rfind(" at line ") {
        Some(at) => message[..at].to_owned(),
        None => message.to_owned(),
    }
}

/// The known key that is nearest to the unknown one. Serde names both in its message, in backquotes, the unknown one
/// first.
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
