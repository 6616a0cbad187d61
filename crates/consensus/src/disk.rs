//! The files of one replica.
//!
//! A data folder holds:
//!
//! - `lock`: locked while a process uses the folder;
//! - `identity`: fleet, host and replica id, written once;
//! - `log-SEQUENCE`: segments of the log. Each write adds one record, so a torn write is lost as a whole;
//! - `snapshot`: the latest snapshot.
//!
//! Each record of the log states how much of its segment was synced before it was written. A record that cannot be read
//! is a torn tail, and cut off, only if it lies in the last segment and no later record says that it was synced.
//! Anything else is damage and is refused. Damage to the very last synced record cannot be told from a torn tail,
//! and the loss of the whole last segment cannot be told from a stop before it was created.

mod recover;

use std::borrow::Cow;
use std::fmt;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use primrose_base::name::Name;
use rustix::fs::FlockOperation;
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Hard, Position, Snapshot};
use crate::files::{Files, Operation};
use crate::membership::Id;
use crate::node::Ready;
use crate::record;

/// Increased when older programs cannot read the files.
const FORMAT: u32 = 1;

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOCK: &str = "lock";
const TEMPORARY_SUFFIX: &str = ".tmp";
const SEGMENT_PREFIX: &str = "log-";

/// Whose folder it is, and sizes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The fleet. A folder of another fleet is refused.
    pub fleet: Name,
    /// The host. A folder of another host is refused.
    pub host: Name,
    /// The replica id that the folder must have, if the caller knows it.
    pub replica: Option<Id>,
    /// The random replica id that an empty folder gets.
    pub new_replica: Id,
    /// A new segment is started when the last one has at least this many bytes.
    pub segment_bytes: u64,
}

impl Options {
    /// Options with the default segment size (4 MiB).
    pub fn new(fleet: Name, host: Name, new_replica: Id) -> Options {
        Options {
            fleet,
            host,
            replica: None,
            new_replica,
            segment_bytes: 4 << 20,
        }
    }
}

/// What a folder holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// The replica id.
    pub id: Id,
    /// Term, vote and commit index.
    pub hard: Hard,
    /// The latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, consecutive.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Whether the replica has never voted and holds nothing.
    pub fn is_empty(&self) -> bool {
        self.hard == Hard::default() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Work done since the folder was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records written to the log.
    pub records: u64,
    /// Bytes written to the log.
    pub log_bytes: u64,
    /// Syncs of segments.
    pub log_syncs: u64,
    /// Syncs of other files (identity and snapshots).
    pub other_syncs: u64,
    /// Syncs of the folder.
    pub folder_syncs: u64,
}

/// Why a folder cannot be used (any more). All errors of [`Disk::write`] are fatal: the process must end, because after a
/// failed fsync nobody knows what is on the disk and a second fsync may succeed without having written anything.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error("{operation} of {file:?} failed")]
    Operation {
        /// What was done.
        operation: &'static str,
        /// The file.
        file: String,
        /// The reason.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("the data folder {folder:?} is in use by another process")]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// A file cannot be read back.
    #[error("{file:?} is damaged at byte {offset}: {reason}")]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage was found, in bytes from the start of the file.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A file that must exist does not.
    #[error("{file:?} is missing")]
    Missing {
        /// The file.
        file: String,
    },
    /// The folder belongs to another fleet, host or replica.
    #[error("{file:?} belongs to {found}, but {expected} is expected")]
    Foreign {
        /// The file.
        file: String,
        /// Whose it is.
        found: Box<Identity>,
        /// Whose it should be.
        expected: Box<Identity>,
    },
    /// An earlier write or sync failed.
    #[error("an earlier write to the data folder failed")]
    Failed,
}

/// Whose files these are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// [`FORMAT`] of the program that created the folder.
    format: u32,
    /// The fleet.
    pub fleet: Name,
    /// The host.
    pub host: Name,
    /// The replica id.
    pub replica: Id,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Identity {
            format,
            fleet,
            host,
            replica,
        } = self;
        write!(
            f,
            "fleet {fleet}, host {host}, replica {replica} (format {format})"
        )
    }
}

/// One record of the log: everything that one write made durable.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Batch<'a> {
    /// Bytes of the segment that were synced before this record was written.
    synced: u64,
    items: Vec<Item<'a>>,
}

#[derive(Serialize, Deserialize)]
enum Item<'a> {
    /// The first item of each segment.
    Header(Header),
    Hard(Hard),
    /// A snapshot at this position is on the disk. Entries up to it are dropped. If the log does not hold the position, a
    /// `Truncate` that drops the rest follows; a reader cannot decide that, because older segments may be gone.
    Snapshot(Position),
    /// Entries from this index on are dropped.
    Truncate(u64),
    /// An entry. It replaces the entries from its index on.
    Entry(Cow<'a, Entry>),
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    identity: Identity,
    sequence: u64,
}

/// A segment file.
#[derive(Clone, Copy, Debug)]
struct Segment {
    sequence: u64,
    /// The highest index of an entry in it; 0 without entries.
    last_index: u64,
}

/// The open data folder of one replica.
pub struct Disk {
    files: Files,
    identity: Identity,
    segment_bytes: u64,
    /// Oldest first, consecutive, never empty. The last one is written to.
    segments: Vec<Segment>,
    /// The length of the last segment, in bytes.
    length: u64,
    /// How much of the last segment is synced, in bytes.
    synced: u64,
    /// Repeated at the start of each segment, so that older segments can be removed.
    hard: Hard,
    snapshot_index: u64,
    counters: Counters,
    failed: bool,
    /// Held until the folder is closed.
    _lock: Option<File>,
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Disk")
            .field("identity", &self.identity)
            .field("segments", &self.segments)
            .finish_non_exhaustive()
    }
}

impl Disk {
    /// Opens a data folder, which is created if it does not exist, and returns what it holds.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the folder is in use, damaged or not the expected one.
    pub fn open(folder: &Path, options: Options) -> Result<(Disk, Recovered), Error> {
        create_folder(folder).map_err(failure("creation", &folder.to_string_lossy()))?;
        let lock = lock(folder)?;
        let (mut disk, recovered) = Disk::open_files(Files::folder(folder), options)?;
        disk._lock = Some(lock);
        Ok((disk, recovered))
    }

    /// Like [`Disk::open`] with other file operations and without a lock.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the folder is damaged or not the expected one.
    pub fn open_files(files: Files, options: Options) -> Result<(Disk, Recovered), Error> {
        recover::open(files, options)
    }

    /// Its replica id.
    pub fn id(&self) -> Id {
        self.identity.replica
    }

    /// Work done so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Persists what a node asks for. Returns after the sync if `ready.sync` is set.
    ///
    /// # Errors
    ///
    /// Every error is fatal; all later calls fail with [`Error::Failed`].
    pub fn write(&mut self, ready: &Ready) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        // Stays set if the write fails.
        self.failed = true;
        if let Some(snapshot) = &ready.snapshot {
            self.save_snapshot(snapshot)?;
        }
        self.write_batch(ready)?;
        if ready.snapshot.is_some() {
            self.remove_segments()?;
        }
        self.failed = false;
        Ok(())
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.replace(SNAPSHOT, &encode(snapshot))?;
        self.snapshot_index = snapshot.position.index;
        Ok(())
    }

    /// Writes a file that is there with its whole content or not at all.
    fn replace(&mut self, name: &str, payload: &[u8]) -> Result<(), Error> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let bytes = &record::encode(0, payload);
        self.append(&temporary, bytes)?;
        self.sync(&temporary)?;
        let (from, to) = (temporary.as_str(), name);
        (self.files.change)(Operation::Rename { from, to }).map_err(failure("rename", from))?;
        self.sync_folder()
    }

    fn write_batch(&mut self, ready: &Ready) -> Result<(), Error> {
        let mut items = Vec::new();
        items.extend(ready.hard.map(Item::Hard));
        let snapshot = ready.snapshot.as_ref();
        items.extend(snapshot.map(|s| Item::Snapshot(s.position)));
        items.extend(ready.truncate.map(Item::Truncate));
        items.extend(ready.entries.iter().map(|e| Item::Entry(Cow::Borrowed(e))));
        if items.is_empty() {
            return Ok(());
        }
        let rolled = self.length >= self.segment_bytes;
        if rolled {
            self.sync_log()?;
            self.start_segment()?;
        }
        self.write_record(items)?;
        self.hard = ready.hard.unwrap_or(self.hard);
        if let Some(entry) = ready.entries.last() {
            let at = self.segments.len() - 1;
            let last = &mut self.segments[at].last_index;
            *last = (*last).max(entry.position.index);
        }
        if ready.sync || rolled {
            self.sync_log()?;
        }
        if rolled {
            self.sync_folder()?;
        }
        Ok(())
    }

    /// Adds an empty segment with a header. The caller syncs it and the folder.
    fn start_segment(&mut self) -> Result<(), Error> {
        let sequence = self.segments.last().map_or(1, |s| s.sequence + 1);
        let last_index = 0;
        self.segments.push(Segment {
            sequence,
            last_index,
        });
        self.length = 0;
        self.synced = 0;
        let identity = self.identity.clone();
        let header = Header { identity, sequence };
        self.write_record(vec![Item::Header(header), Item::Hard(self.hard)])
    }

    fn write_record(&mut self, items: Vec<Item<'_>>) -> Result<(), Error> {
        let synced = self.synced;
        let payload = encode(&Batch { synced, items });
        let record = record::encode(self.length, &payload);
        let name = self.current();
        self.append(&name, &record)?;
        self.length += record.len() as u64;
        self.counters.records += 1;
        self.counters.log_bytes += record.len() as u64;
        Ok(())
    }

    /// Removes the oldest segments whose entries are all covered by the snapshot, which is on the disk.
    fn remove_segments(&mut self) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last_index <= self.snapshot_index {
            let name = segment_name(self.segments.remove(0).sequence);
            (self.files.change)(Operation::Remove { name: &name })
                .map_err(failure("removal", &name))?;
            // One by one, so that a crash cannot undo the removal of an older segment but not of a newer one.
            self.sync_folder()?;
        }
        Ok(())
    }

    fn current(&self) -> String {
        segment_name(self.segments.last().map_or(1, |s| s.sequence))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        (self.files.change)(Operation::Append { name, bytes }).map_err(failure("write", name))
    }

    fn sync_log(&mut self) -> Result<(), Error> {
        let name = self.current();
        (self.files.change)(Operation::Sync { name: &name }).map_err(failure("sync", &name))?;
        self.synced = self.length;
        self.counters.log_syncs += 1;
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), Error> {
        (self.files.change)(Operation::Sync { name }).map_err(failure("sync", name))?;
        self.counters.other_syncs += 1;
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        (self.files.change)(Operation::SyncFolder).map_err(failure("sync", "."))?;
        self.counters.folder_syncs += 1;
        Ok(())
    }
}

/// Creates the folder and those above it, and syncs the name of each.
fn create_folder(folder: &Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    let parent = match folder.parent() {
        Some(parent) if parent != Path::new("") => parent,
        _ => Path::new("."),
    };
    create_folder(parent)?;
    fs::create_dir(folder)?;
    File::open(parent)?.sync_all()
}

fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join(LOCK);
    let file = File::options()
        .write(true)
        .create(true)
        .truncate(false)
        .open(&path)
        .map_err(failure("opening", LOCK))?;
    match rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(file),
        Err(rustix::io::Errno::WOULDBLOCK) => Err(Error::Locked {
            folder: folder.to_owned(),
        }),
        Err(error) => Err(failure("locking", LOCK)(error.into())),
    }
}

fn failure(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Error {
    let file = file.to_owned();
    move |source| Error::Operation {
        operation,
        file,
        source,
    }
}

fn segment_name(sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{sequence:016x}")
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    // Serialising plain data into memory fails only for sequences of unknown length, which the types here do not have.
    postcard::to_stdvec(value).unwrap_or_else(|error| panic!("cannot encode: {error}"))
}
