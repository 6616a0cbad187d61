//! The bearer key that authenticates operators.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// The bearer key of the operators' interface. Its `Debug` output does not contain the key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(String);

/// Why a key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("the key file {} cannot be read: {cause}", path.display())]
    File {
        /// Path of the key file.
        path: PathBuf,
        /// The error from opening or reading the file.
        cause: io::Error,
    },
    /// The permissions of the file give access to users other than its owner.
    #[error(
        "the key file {} has mode {mode:04o}, which gives access to users other than its owner; run `chmod 600` on it \
         and, if others may have read it, replace the key",
        path.display()
    )]
    Permissions {
        /// Path of the key file.
        path: PathBuf,
        /// The permission bits, as in `chmod`.
        mode: u32,
    },
    /// The key is empty or contains characters that an HTTP header cannot carry.
    #[error("the key is empty or contains spaces or characters that an HTTP header cannot carry")]
    Invalid,
}

impl Key {
    /// Checks a key. Leading and trailing white space, such as a newline at the end of a file, is removed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] if the key is empty or cannot be sent in an HTTP header.
    pub fn new(text: &str) -> Result<Key, Error> {
        let text = text.trim();
        let valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        if valid {
            Ok(Key(text.to_owned()))
        } else {
            Err(Error::Invalid)
        }
    }

    /// Reads a key from a file that only its owner has access to.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the file cannot be read, other users have access to it, or its content is not a valid
    /// key.
    pub fn from_file(path: &Path) -> Result<Key, Error> {
        let read = || {
            let file = std::fs::File::open(path)?;
            // Checks the mode of the open file and not of the path: the file at the path could be replaced between
            // the check and the reading.
            let mode = mode(&file)?;
            Ok((mode, io::read_to_string(file)?))
        };
        let (mode, text) = read().map_err(|cause| Error::File {
            path: path.to_owned(),
            cause,
        })?;
        if mode & 0o077 != 0 {
            return Err(Error::Permissions {
                path: path.to_owned(),
                mode,
            });
        }
        Key::new(&text)
    }

    /// The value of the `authorization` header.
    pub(crate) fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

fn mode(file: &std::fs::File) -> io::Result<u32> {
    use std::os::unix::fs::PermissionsExt;
    Ok(file.metadata()?.permissions().mode() & 0o7777)
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
