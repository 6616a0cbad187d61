//! The storage of one replica in a data folder.
//!
//! A data folder holds:
//!
//! - `lock`: locked while a process uses the folder;
//! - `identity`: fleet, host and replica id, written once;
//! - `log-SEQUENCE`: segments of the log. Each write appends one record, so that a write that was interrupted by a
//!   crash is lost as a whole;
//! - `snapshot`: the latest snapshot.
//!
//! Each record of the log states how many bytes of its segment were synced before it was written. An unreadable
//! record counts as a torn write, and is cut off together with everything after it, only if it lies in the last
//! segment and no later record states that it was synced. Any other unreadable record is reported as damage, and the
//! folder is not opened. Two cases cannot be detected: damage to the very last synced record looks like a torn write,
//! and the loss of the whole last segment looks like a crash before that segment was created.
//!
//! If the disk is full, an append is refused and its file is cut back to the length that it had before, so that the
//! same batch can be written again.

mod recover;
mod space;

use std::borrow::Cow;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, ErrorKind};
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

/// The format version of the files. Increased with each change after which older programs cannot read them.
const FORMAT: u32 = 1;

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOCK: &str = "lock";
const TEMPORARY_SUFFIX: &str = ".tmp";
const SEGMENT_PREFIX: &str = "log-";

/// The owner of a data folder, and the segment size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The fleet of the host. A folder of another fleet is refused.
    pub fleet: Name,
    /// The host of the replica. A folder of another host is refused.
    pub host: Name,
    /// The replica id that the folder must have; `None` accepts any id.
    pub replica: Option<Id>,
    /// The replica id that an empty folder gets. The caller chooses it at random.
    pub new_replica: Id,
    /// The size in bytes from which on the current segment is closed and a new one started.
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

/// The content of a data folder when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// The replica id of the folder.
    pub id: Id,
    /// Term, vote and commit index.
    pub hard: Hard,
    /// The latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, with consecutive indices.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Whether the replica has no term, vote, commit index, snapshot or entry.
    pub fn is_empty(&self) -> bool {
        self.hard == Hard::default() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Counters of the file operations since the folder was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// The number of records written to the log.
    pub records: u64,
    /// The number of bytes written to the log.
    pub log_bytes: u64,
    /// The number of syncs of log segments.
    pub log_syncs: u64,
    /// The number of syncs of other files (identity and snapshots).
    pub other_syncs: u64,
    /// The number of syncs of the folder itself.
    pub folder_syncs: u64,
}

/// Why a folder cannot be opened, or can no longer be used.
///
/// All errors of [`Disk::write`] except [`Error::Full`] are fatal, and the process must exit: after a failed fsync it
/// is unknown what is on the disk, and a second fsync may succeed without having written anything.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error("{operation} of {file:?} failed")]
    Operation {
        /// The operation, as a noun for the message.
        operation: &'static str,
        /// The name of the file within the folder; the path of the folder itself or `.` for operations on the folder.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk has no room for a file, or the quota is used up. The folder is as it was before, so the call can be
    /// repeated when there is room.
    #[error("the disk has no room for {file:?}")]
    Full {
        /// The name of the file within the folder, or the path of the folder itself.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process holds the lock of the folder.
    #[error("the data folder {folder:?} is in use by another process")]
    Locked {
        /// The path of the folder.
        folder: PathBuf,
    },
    /// The content of a file is not valid.
    #[error("{file:?} is damaged at byte {offset}: {reason}")]
    Damaged {
        /// The name of the file within the folder.
        file: String,
        /// The offset of the invalid record, in bytes from the start of the file.
        offset: u64,
        /// The check that failed.
        reason: &'static str,
    },
    /// A file that must exist is missing.
    #[error("{file:?} is missing")]
    Missing {
        /// The name of the file within the folder.
        file: String,
    },
    /// The folder belongs to another fleet, host or replica.
    #[error("{file:?} belongs to {found}, but {expected} is expected")]
    Foreign {
        /// The name of the file within the folder.
        file: String,
        /// The identity in the file.
        found: Box<Identity>,
        /// The identity that the caller expects.
        expected: Box<Identity>,
    },
    /// An earlier call of [`Disk::write`] failed, so this one was refused.
    #[error("an earlier write to the data folder failed")]
    Failed,
}

/// The owner of a data folder, as stored in its files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// [`FORMAT`] of the program that created the folder.
    format: u32,
    /// The fleet of the host.
    pub fleet: Name,
    /// The host of the replica.
    pub host: Name,
    /// The replica id of the data folder.
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

/// The payload of one record of the log: everything that one call of [`Disk::write`] persists, except a snapshot.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Batch<'a> {
    /// The length of the segment, in bytes, that was synced before this record was written.
    synced: u64,
    items: Vec<Item<'a>>,
}

#[derive(Serialize, Deserialize)]
enum Item<'a> {
    /// The first item of each segment.
    Header(Header),
    Hard(Hard),
    /// The snapshot file holds a snapshot at this position. The entries up to it are dropped. If the log did not hold
    /// the position, a `Truncate` that drops the remaining entries follows. A reader cannot determine whether the log
    /// held it, because older segments may have been removed.
    Snapshot(Position),
    /// Entries from this index on are dropped.
    Truncate(u64),
    /// An entry, which replaces all entries from its index on.
    Entry(Cow<'a, Entry>),
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    identity: Identity,
    sequence: u64,
}

/// What a full disk has refused and what can be written later, because the log on the disk is complete without it.
#[derive(Debug, Default)]
struct Deferred {
    /// A snapshot of this replica. The log holds all entries that it covers.
    snapshot: Option<Arc<Snapshot>>,
    /// Whether the commit index of [`Disk::hard`] is not in the log.
    commit: bool,
}

/// A segment file of the log.
#[derive(Clone, Copy, Debug)]
struct Segment {
    sequence: u64,
    /// The highest index of an entry in the segment; 0 if it contains none.
    last_index: u64,
}

/// Opens the data folder of a replica, as [`Disk::open`] does.
pub type Open = Box<dyn FnMut(Options) -> Result<(Disk, Recovered), Error> + Send>;

/// The open data folder of one replica.
pub struct Disk {
    files: Files,
    identity: Identity,
    segment_bytes: u64,
    /// With consecutive sequence numbers, oldest first, never empty. Records are appended to the last one.
    segments: Vec<Segment>,
    /// The length of the last segment, in bytes.
    length: u64,
    /// The length of the last segment that is synced, in bytes.
    synced: u64,
    /// The latest hard state. It is repeated at the start of each segment, so that older segments can be removed.
    hard: Hard,
    snapshot_index: u64,
    deferred: Deferred,
    counters: Counters,
    failed: bool,
    /// The lock file; closing it releases the lock.
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
    /// Opens a data folder and returns its content. Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the folder is in use, is damaged or has another owner than `options` say.
    pub fn open(folder: &Path, options: Options) -> Result<(Disk, Recovered), Error> {
        create_folder(folder).map_err(refusal("creation", &folder.to_string_lossy()))?;
        let lock = lock(folder)?;
        let (mut disk, recovered) = Disk::open_files(Files::folder(folder), options)?;
        disk._lock = Some(lock);
        Ok((disk, recovered))
    }

    /// Like [`Disk::open`], but with the given file operations and without a lock.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the folder is damaged or has another owner than `options` say.
    pub fn open_files(files: Files, options: Options) -> Result<(Disk, Recovered), Error> {
        recover::open(files, options)
    }

    /// The replica id of the data folder.
    pub fn id(&self) -> Id {
        self.identity.replica
    }

    /// Counters of the file operations since the folder was opened.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Persists the hard state, snapshot, truncation and entries of `ready`. If `ready.sync` is set, they are synced
    /// when the call returns, except a snapshot that is deferred; see [`Disk::is_deferring`].
    ///
    /// # Errors
    ///
    /// After [`Error::Full`], nothing of `ready` may be relied on, and the next call must pass the same `ready` again.
    /// Every other error is fatal; all later calls fail with [`Error::Failed`].
    pub fn write(&mut self, ready: &Ready) -> Result<(), Error> {
        self.guard(|disk| disk.write_or_defer(ready))
    }

    /// Calls `write`, and refuses all later calls if it fails otherwise than with [`Error::Full`].
    fn guard(&mut self, write: impl FnOnce(&mut Disk) -> Result<(), Error>) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        let result = write(self);
        self.failed = !matches!(result, Ok(()) | Err(Error::Full { .. }));
        result
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        // The file was written already if the batch with its record was refused.
        if self.snapshot_index < snapshot.position.index {
            self.replace_file(SNAPSHOT, &encode(snapshot))?;
            self.snapshot_index = snapshot.position.index;
        }
        Ok(())
    }

    /// Replaces a file atomically: after a crash it has either its old or its new content.
    fn replace_file(&mut self, name: &str, payload: &[u8]) -> Result<(), Error> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let bytes = &record::encode(0, payload);
        self.discard(&temporary)?;
        let appended = self.append(&temporary, bytes);
        self.discard_refused(&temporary, appended)?;
        self.sync_file(&temporary)?;
        let (from, to) = (temporary.as_str(), name);
        let renamed =
            (self.files.change)(Operation::Rename { from, to }).map_err(refusal("rename", from));
        self.discard_refused(from, renamed)?;
        self.sync_folder()
    }

    /// Writes one record with everything in `ready` but the content of its snapshot.
    fn write_batch(&mut self, ready: &Ready) -> Result<(), Error> {
        let mut items = Vec::new();
        let deferred = self.deferred.commit.then_some(self.hard);
        items.extend(ready.hard.or(deferred).map(Item::Hard));
        let snapshot = ready.snapshot.as_ref();
        items.extend(snapshot.map(|s| Item::Snapshot(s.position)));
        items.extend(ready.truncate.map(Item::Truncate));
        items.extend(ready.entries.iter().map(|e| Item::Entry(Cow::Borrowed(e))));
        if items.is_empty() {
            return Ok(());
        }
        let starts_segment = self.length >= self.segment_bytes;
        if starts_segment {
            self.sync_log()?;
            self.write_in_new_segment(items)?;
        } else {
            self.write_in_segment(items)?;
        }
        self.hard = ready.hard.unwrap_or(self.hard);
        self.deferred.commit = false;
        if let Some(entry) = ready.entries.last() {
            let at = self.segments.len() - 1;
            let last = &mut self.segments[at].last_index;
            *last = (*last).max(entry.position.index);
        }
        if ready.sync || starts_segment {
            self.sync_log()?;
        }
        if starts_segment {
            self.sync_folder()?;
        }
        Ok(())
    }

    /// Starts a new segment, which contains only its header and the hard state. The caller must sync it and the
    /// folder.
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
        let name = self.current_segment();
        self.append(&name, &record)?;
        self.length += record.len() as u64;
        self.counters.records += 1;
        self.counters.log_bytes += record.len() as u64;
        Ok(())
    }

    /// Removes the oldest segments, as long as all their entries are covered by the snapshot, which must be synced.
    fn remove_segments(&mut self) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last_index <= self.snapshot_index {
            let name = segment_name(self.segments[0].sequence);
            match remove(&mut self.files, &name) {
                // Tried again after the next snapshot.
                Err(Error::Full { .. }) => return Ok(()),
                result => result?,
            }
            self.segments.remove(0);
            // Each removal is synced on its own. Otherwise a crash could undo the removal of an older segment but not
            // that of a newer one, which would leave a gap in the sequence.
            self.sync_folder()?;
        }
        Ok(())
    }

    fn current_segment(&self) -> String {
        segment_name(self.segments.last().map_or(1, |s| s.sequence))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        (self.files.change)(Operation::Append { name, bytes }).map_err(refusal("write", name))
    }

    fn sync_log(&mut self) -> Result<(), Error> {
        let name = self.current_segment();
        (self.files.change)(Operation::Sync { name: &name }).map_err(failure("sync", &name))?;
        self.synced = self.length;
        self.counters.log_syncs += 1;
        Ok(())
    }

    fn sync_file(&mut self, name: &str) -> Result<(), Error> {
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

/// Creates the folder and its missing parents, and syncs the directory entry of each.
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
        .map_err(refusal("opening", LOCK))?;
    match rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(file),
        Err(rustix::io::Errno::WOULDBLOCK) => Err(Error::Locked {
            folder: folder.to_owned(),
        }),
        Err(error) => Err(failure("locking", LOCK)(error.into())),
    }
}

fn remove(files: &mut Files, name: &str) -> Result<(), Error> {
    (files.change)(Operation::Remove { name }).map_err(refusal("removal", name))
}

fn failure(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Error {
    let file = file.to_owned();
    move |source| Error::Operation {
        operation,
        file,
        source,
    }
}

/// Like [`failure`], but returns [`Error::Full`] if the disk is full.
fn refusal(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Error {
    let file = file.to_owned();
    move |source| match source.kind() {
        // A write of 0 bytes is reported as `WriteZero`.
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::WriteZero => {
            Error::Full { file, source }
        }
        _ => failure(operation, &file)(source),
    }
}

fn segment_name(sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{sequence:016x}")
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    // Serialising to memory fails only for sequences of unknown length, which these types do not contain.
    postcard::to_stdvec(value).unwrap_or_else(|error| panic!("cannot encode a record: {error}"))
}
