//! File operations in one folder.
//!
//! [`Files`] consists of closures, so that tests can replace the file system by a simulated one that crashes at any
//! operation and loses what was not synced.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// An operation that changes the folder. File names are relative to the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation<'a> {
    /// Appends bytes to a file. Creates the file if it does not exist.
    Append {
        /// The name of the file.
        name: &'a str,
        /// The bytes to append.
        bytes: &'a [u8],
    },
    /// Syncs the content of a file to the disk.
    Sync {
        /// The name of the file.
        name: &'a str,
    },
    /// Shortens a file.
    Truncate {
        /// The name of the file.
        name: &'a str,
        /// The new length, in bytes.
        length: u64,
    },
    /// Renames a file. Replaces an existing file of the new name.
    Rename {
        /// The old name.
        from: &'a str,
        /// The new name.
        to: &'a str,
    },
    /// Removes a file.
    Remove {
        /// The name of the file.
        name: &'a str,
    },
    /// Syncs the folder itself, so that created, renamed and removed names are on the disk.
    SyncFolder,
}

/// Returns the names of all files in the folder, sorted.
pub type List = Box<dyn FnMut() -> io::Result<Vec<String>> + Send>;
/// Returns the whole content of the named file.
pub type Read = Box<dyn FnMut(&str) -> io::Result<Vec<u8>> + Send>;
/// Executes an operation. [`Operation::Sync`] and [`Operation::SyncFolder`] return after the data is on the disk.
pub type Change = Box<dyn FnMut(Operation<'_>) -> io::Result<()> + Send>;

/// Access to the files of one folder.
pub struct Files {
    /// Lists the files.
    pub list: List,
    /// Reads a file.
    pub read: Read,
    /// Changes the files or the folder.
    pub change: Change,
}

impl Files {
    /// Accesses an existing folder of the file system.
    pub fn folder(folder: &Path) -> Files {
        let (list, read) = (folder.to_owned(), folder.to_owned());
        let mut folder = Folder {
            path: folder.to_owned(),
            open_file: None,
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

/// The file that was last appended to, synced or truncated. It is kept open for the next operation.
struct OpenFile {
    name: String,
    file: File,
}

struct Folder {
    path: PathBuf,
    open_file: Option<OpenFile>,
}

impl Folder {
    fn change(&mut self, operation: Operation<'_>) -> io::Result<()> {
        match operation {
            Operation::Append { name, bytes } => self.open(name)?.write_all(bytes),
            // The metadata that fdatasync leaves out (times) is not needed to read the file back.
            Operation::Sync { name } => self.open(name)?.sync_data(),
            Operation::Truncate { name, length } => self.open(name)?.set_len(length),
            Operation::Rename { from, to } => {
                self.open_file = None;
                fs::rename(self.path.join(from), self.path.join(to))
            }
            Operation::Remove { name } => {
                self.open_file = None;
                fs::remove_file(self.path.join(name))
            }
            Operation::SyncFolder => File::open(&self.path)?.sync_all(),
        }
    }

    fn open(&mut self, name: &str) -> io::Result<&mut File> {
        let open_file = match self.open_file.take() {
            Some(open_file) if open_file.name == name => open_file,
            _ => OpenFile {
                name: name.to_owned(),
                file: OpenOptions::new()
                    .append(true)
                    .create(true)
                    .open(self.path.join(name))?,
            },
        };
        Ok(&mut self.open_file.insert(open_file).file)
    }
}
