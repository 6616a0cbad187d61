//! Access to the data folder of a replica.

use std::path::Path;
use std::{fs, io};

use primrose_consensus::disk::{Disk, Open};

/// Removes all files of the folder and makes the removal durable.
pub type Empty = Box<dyn FnMut() -> io::Result<()> + Send>;

/// The operations on a data folder as a whole. Tests replace the folder by one that refuses writes.
pub struct Storage {
    /// Opens the folder, or creates it.
    pub open: Open,
    /// Removes all files of the folder.
    pub empty: Empty,
}

impl Storage {
    /// Accesses a folder of the file system.
    pub fn folder(folder: &Path) -> Storage {
        let (opened, emptied) = (folder.to_owned(), folder.to_owned());
        Storage {
            open: Box::new(move |options| Disk::open(&opened, options)),
            empty: Box::new(move || empty(&emptied)),
        }
    }
}

fn empty(folder: &Path) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        fs::remove_file(entry?.path())?;
    }
    fs::File::open(folder)?.sync_all()
}
