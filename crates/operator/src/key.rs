//! The operators' bearer key.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// The bearer key of the operators' interface. It is not shown by `Debug`.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(String);

/// A key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("the key file {} cannot be read: {cause}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// Others than the owner may read or write the file.
    #[error(
        "the key file {} has mode {mode:04o}, so others than its owner have access; run `chmod 600` on it and, if others \
         may have read it, replace the key",
        path.display()
    )]
    Permissions {
        /// The file.
        path: PathBuf,
        /// The permission bits.
        mode: u32,
    },
    /// The key is empty or contains characters that an HTTP header cannot carry.
    #[error("the key is empty or contains spaces or characters that an HTTP header cannot carry")]
    Characters,
}

impl Key {
    /// A key from a text. White space around it, such as the end of a line, is left out.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Characters`] if the key cannot be sent in a header.
    pub fn new(text: &str) -> Result<Key, Error> {
        let text = text.trim();
        let valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        if valid {
            Ok(Key(text.to_owned()))
        } else {
            Err(Error::Characters)
        }
    }

    /// Reads a key from a file that only its owner has access to.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the file cannot be read, others have access to it, or its content is no key.
    pub fn from_file(path: &Path) -> Result<Key, Error> {
        let read = || {
            let file = std::fs::File::open(path)?;
            // The open file is asked, not the path, which could be replaced in between.
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

    pub(crate) fn header(&self) -> String {
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
