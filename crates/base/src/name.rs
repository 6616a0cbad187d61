//! Names of hosts, failure domains, client accounts, pools and backend servers.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes; it keeps the control messages small.
pub const MAX_NAME_BYTES: usize = 63;

/// An immutable name. Cloning copies a pointer, not the text.
///
/// Invariant: 1 to [`MAX_NAME_BYTES`] bytes of `a-z`, `0-9`, `-`, `_` and `.`, of which the first is a letter or
/// digit.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Why a text is not a valid [`Name`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is empty.
    Empty,
    /// The text has more than [`MAX_NAME_BYTES`] bytes.
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text contains a character that is not allowed in names, or starts with punctuation.
    Character {
        /// The first character that is not allowed.
        character: char,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Empty => write!(f, "a name must not be empty"),
            Error::TooLong { bytes } => {
                write!(
                    f,
                    "a name must have at most {MAX_NAME_BYTES} bytes, but this one has {bytes}"
                )
            }
            Error::Character { character } => write!(
                f,
                "character {character:?} is not allowed here: a name consists of a-z, 0-9, '-', '_' and '.', \
                 and starts with a letter or digit"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Name {
    /// Creates a name after checking `text`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if `text` violates the invariant of the type.
    pub fn new(text: &str) -> Result<Name, Error> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_NAME_BYTES {
            return Err(Error::TooLong { bytes: text.len() });
        }
        match text.char_indices().find(|&(at, c)| !is_allowed(at, c)) {
            Some((_, character)) => Err(Error::Character { character }),
            None => Ok(Name(text.into())),
        }
    }

    /// The text of the name, which satisfies the invariant of the type.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_allowed(at: usize, c: char) -> bool {
    let alphanumeric = c.is_ascii_lowercase() || c.is_ascii_digit();
    alphanumeric || (at > 0 && matches!(c, '-' | '_' | '.'))
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Name, Error> {
        Name::new(&text)
    }
}

impl std::str::FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Name, Error> {
        Name::new(text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}
