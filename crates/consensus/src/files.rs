//! File operations in one folder.
//!
//! [`Files`] is a struct of closures, so that tests can replace the file system by one that stops at any operation and
//! forgets what was not synced.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// An operation that changes the folder. Files are named relative to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation<'a> {
    /// Adds bytes at the end of a file, which is created if it does not exist.
    Append {
        /// The file.
        name: &'a str,
        /// The bytes.
        bytes: &'a [u8],
    },
    /// Waits until the content of a file is on the disk.
    Sync {
        /// The file.
        name: &'a str,
    },
    /// Cuts a file off.
    Truncate {
        /// The file.
        name: &'a str,
        /// The length that is left, in bytes.
        length: u64,
    },
    /// Gives a file a new name and replaces the file that had it.
    Rename {
        /// The old name.
        from: &'a str,
        /// The new name.
        to: &'a str,
    },
    /// Removes a file.
    Remove {
        /// The file.
        name: &'a str,
    },
    /// Waits until the names of the files are on the disk.
    SyncFolder,
}

/// Returns the names of all files, sorted.
pub type List = Box<dyn FnMut() -> io::Result<Vec<String>> + Send>;
/// Returns the content of a file.
pub type Read = Box<dyn FnMut(&str) -> io::Result<Vec<u8>> + Send>;
/// Carries out an operation.
pub type Change = Box<dyn FnMut(Operation<'_>) -> io::Result<()> + Send>;

/// Access to the files of one folder.
pub struct Files {
    /// Lists the folder.
    pub list: List,
    /// Reads a file.
    pub read: Read,
    /// Changes the folder.
    pub change: Change,
}

impl Files {
    /// The files of a folder on the disk.
    pub fn folder(folder: &Path) -> Files {
        let (list, read) = (folder.to_owned(), folder.to_owned());
        let mut folder = Folder {
            path: folder.to_owned(),
            current: None,
        };
        Files {
            list: Box::new(move || names(&list)),
            read: Box::new(move |name| fs::read(read.join(name))),
            change: Box::new(move |operation| folder.change(operation)),
        }
    }
}

fn names(folder: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder)? {
        names.push(entry?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}

/// The file that was appended to last stays open.
struct Current {
    name: String,
    file: File,
}

struct Folder {
    path: PathBuf,
    current: Option<Current>,
}

impl Folder {
    fn change(&mut self, operation: Operation<'_>) -> io::Result<()> {
        match operation {
            Operation::Append { name, bytes } => self.open(name)?.write_all(bytes),
            // The metadata that fdatasync leaves out (times) is not needed to read the file back.
            Operation::Sync { name } => self.open(name)?.sync_data(),
            Operation::Truncate { name, length } => self.open(name)?.set_len(length),
            Operation::Rename { from, to } => {
                self.current = None;
                fs::rename(self.path.join(from), self.path.join(to))
            }
            Operation::Remove { name } => {
                self.current = None;
                fs::remove_file(self.path.join(name))
            }
            Operation::SyncFolder => File::open(&self.path)?.sync_all(),
        }
    }

    fn open(&mut self, name: &str) -> io::Result<&mut File> {
        let current = match self.current.take() {
            Some(current) if current.name == name => current,
            _ => Current {
                name: name.to_owned(),
                file: OpenOptions::new()
                    .append(true)
                    .create(true)
                    .open(self.path.join(name))?,
            },
        };
        Ok(&mut self.current.insert(current).file)
    }
}
