//! Opening a data folder: creating its files, or recovering its content after a restart.

use std::sync::Arc;

use serde::de::DeserializeOwned;

use super::{
    Batch, Counters, Deferred, Disk, Error, FORMAT, Header, IDENTITY, Identity, Item, Options,
    Recovered, SEGMENT_PREFIX, SNAPSHOT, Segment, TEMPORARY_SUFFIX, failure, refusal, remove,
    segment_name,
};
use crate::entry::{Entry, Hard, Position, Snapshot};
use crate::files::{Files, Operation};
use crate::record;

pub(super) fn open(mut files: Files, options: Options) -> Result<(Disk, Recovered), Error> {
    let names = (files.list)().map_err(failure("listing", "."))?;
    for name in names.iter().filter(|n| n.ends_with(TEMPORARY_SUFFIX)) {
        remove(&mut files, name)?;
    }
    let identity = Identity {
        format: FORMAT,
        fleet: options.fleet,
        host: options.host,
        replica: options.replica.unwrap_or(options.new_replica),
    };
    let mut disk = Disk {
        files,
        identity,
        segment_bytes: options.segment_bytes,
        segments: Vec::new(),
        length: 0,
        synced: 0,
        hard: Hard::default(),
        snapshot_index: 0,
        deferred: Deferred::default(),
        counters: Counters::default(),
        failed: false,
        _lock: None,
    };
    if names.iter().any(|name| name == IDENTITY) {
        disk.check_identity(options.replica.is_some())?;
        let recovered = disk.recover(&names)?;
        return Ok((disk, recovered));
    }
    disk.create(&names)?;
    let recovered = Recovered {
        id: disk.id(),
        hard: Hard::default(),
        snapshot: None,
        entries: Vec::new(),
    };
    Ok((disk, recovered))
}

impl Disk {
    /// Creates the files of an empty folder. The identity is written last, so a folder without it has never been used
    /// by a replica.
    fn create(&mut self, names: &[String]) -> Result<(), Error> {
        if names.iter().any(|name| name == SNAPSHOT) {
            return Err(missing(IDENTITY));
        }
        for sequence in sequences(names)? {
            self.remove_leftover_segment(sequence)?;
        }
        self.start_segment()?;
        self.sync_log()?;
        self.sync_folder()?;
        let identity = super::encode(&self.identity);
        self.replace_file(IDENTITY, &identity)
    }

    /// Removes a segment left by a process that stopped before it had written the identity. Such a segment has the
    /// sequence number 1 and no bytes after its first record; otherwise the identity file was lost.
    fn remove_leftover_segment(&mut self, sequence: u64) -> Result<(), Error> {
        let name = segment_name(sequence);
        let bytes = self.read(&name)?;
        let second = record::decode(&bytes, 0).map(|range| range.end);
        if sequence != 1 || second.is_ok_and(|second| second < bytes.len()) {
            return Err(missing(IDENTITY));
        }
        remove(&mut self.files, &name)
    }

    fn check_identity(&mut self, check_replica: bool) -> Result<(), Error> {
        let found: Identity = self.read_single(IDENTITY)?;
        let expected = Identity {
            replica: match check_replica {
                true => self.identity.replica,
                false => found.replica,
            },
            ..self.identity.clone()
        };
        if found != expected {
            return Err(foreign(IDENTITY, found, expected));
        }
        self.identity = found;
        Ok(())
    }

    fn recover(&mut self, names: &[String]) -> Result<Recovered, Error> {
        let snapshot: Option<Snapshot> = match names.iter().any(|name| name == SNAPSHOT) {
            true => Some(self.read_single(SNAPSHOT)?),
            false => None,
        };
        let mut replay = Replay::default();
        let sequences = sequences(names)?;
        let last = sequences.len().wrapping_sub(1);
        for (at, &sequence) in sequences.iter().enumerate() {
            self.replay_segment(sequence, at == last, &mut replay)?;
        }
        if self.segments.is_empty() {
            return Err(missing(&segment_name(1)));
        }
        // If an earlier process exited without syncing its last records, they may be only in the page cache.
        self.sync_log()?;
        self.sync_folder()?;
        let position = snapshot
            .as_ref()
            .map_or(Position::default(), |s| s.position);
        replay.apply_snapshot(position, &self.current_segment())?;
        self.snapshot_index = position.index;
        self.hard = replay.hard;
        if position.index > replay.snapshot_index {
            self.record_snapshot(position, &replay.entries)?;
        }
        Ok(Recovered {
            id: self.id(),
            hard: replay.hard,
            snapshot: snapshot.map(Arc::new),
            entries: replay.entries,
        })
    }

    /// Writes the record of the snapshot that is missing because of a crash after the snapshot file was written.
    /// Without it, a later recovery would append the entries that follow the snapshot to the older entries that it
    /// replaced.
    fn record_snapshot(&mut self, position: Position, entries: &[Entry]) -> Result<(), Error> {
        let next = entries.last().map_or(position.index, |e| e.position.index) + 1;
        let items = [
            Item::Hard(self.hard),
            Item::Snapshot(position),
            Item::Truncate(next),
        ];
        self.write_record(items.into())?;
        self.sync_log()
    }

    fn replay_segment(
        &mut self,
        sequence: u64,
        is_last: bool,
        replay: &mut Replay,
    ) -> Result<(), Error> {
        let name = segment_name(sequence);
        let bytes = self.read(&name)?;
        let mut segment = Segment {
            sequence,
            last_index: 0,
        };
        let mut offset = 0;
        while offset < bytes.len() {
            let record = record::decode(&bytes, offset).and_then(|range| {
                let batch = postcard::from_bytes::<Batch<'_>>(&bytes[range.clone()]);
                let batch = batch.map_err(|_| "the record has an unknown format")?;
                Ok((range.end, batch))
            });
            let (end, batch) = match record {
                Ok(record) => record,
                Err(_) if is_last && is_torn(&bytes, offset) => break,
                Err(reason) => return Err(damaged(&name, offset, reason)),
            };
            for (at, item) in batch.items.into_iter().enumerate() {
                match item {
                    Item::Header(header) if at == 0 && offset == 0 => {
                        self.check_header(&name, header, sequence)?;
                    }
                    _ if at == 0 && offset == 0 => {
                        return Err(damaged(&name, 0, "the header is missing"));
                    }
                    item => replay
                        .apply(item, &mut segment)
                        .map_err(|reason| damaged(&name, offset, reason))?,
                }
            }
            offset = end;
        }
        if offset == 0 {
            return self.drop_torn_segment(&name, is_last);
        }
        if offset < bytes.len() {
            let length = offset as u64;
            let name = name.as_str();
            (self.files.change)(Operation::Truncate { name, length })
                .map_err(refusal("truncation", name))?;
        }
        self.segments.push(segment);
        self.length = offset as u64;
        Ok(())
    }

    /// Removes the last segment if its header is unreadable, because the process stopped while it created the
    /// segment. In that case an older segment must exist.
    fn drop_torn_segment(&mut self, name: &str, is_last: bool) -> Result<(), Error> {
        if !is_last || self.segments.is_empty() {
            return Err(damaged(name, 0, "the header cannot be read"));
        }
        remove(&mut self.files, name)?;
        self.sync_folder()
    }

    fn check_header(&self, name: &str, header: Header, sequence: u64) -> Result<(), Error> {
        if header.identity != self.identity {
            let expected = self.identity.clone();
            return Err(foreign(name, header.identity, expected));
        }
        if header.sequence != sequence {
            return Err(damaged(
                name,
                0,
                "the header has the sequence number of another segment",
            ));
        }
        Ok(())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, Error> {
        (self.files.read)(name).map_err(failure("reading", name))
    }

    /// Reads and decodes a file that consists of a single record.
    fn read_single<T: DeserializeOwned>(&mut self, name: &str) -> Result<T, Error> {
        let bytes = self.read(name)?;
        let range = record::decode(&bytes, 0).map_err(|reason| damaged(name, 0, reason))?;
        if range.end != bytes.len() {
            return Err(damaged(name, range.end, "bytes follow the record"));
        }
        postcard::from_bytes(&bytes[range])
            .map_err(|_| damaged(name, 0, "the record has an unknown format"))
    }
}

/// The state of the log after the records read so far.
#[derive(Default)]
struct Replay {
    hard: Hard,
    entries: Vec<Entry>,
    /// The highest index of a snapshot that is recorded in the log.
    snapshot_index: u64,
}

impl Replay {
    fn apply(&mut self, item: Item<'_>, segment: &mut Segment) -> Result<(), &'static str> {
        match item {
            Item::Header(_) => return Err("a header is not the first item of its segment"),
            Item::Hard(hard) => self.hard = hard,
            Item::Snapshot(position) => {
                self.snapshot_index = self.snapshot_index.max(position.index);
                self.drop_covered(position.index);
            }
            Item::Truncate(from) => self.truncate(from),
            Item::Entry(entry) => {
                let entry = entry.into_owned();
                let index = entry.position.index;
                segment.last_index = segment.last_index.max(index);
                self.truncate(index);
                if self.last().is_some_and(|last| last + 1 != index) {
                    return Err("entries are missing before this record");
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    fn last(&self) -> Option<u64> {
        self.entries.last().map(|entry| entry.position.index)
    }

    fn truncate(&mut self, from: u64) {
        let keep = self
            .entries
            .partition_point(|entry| entry.position.index < from);
        self.entries.truncate(keep);
    }

    /// Drops the entries up to and including `index`.
    fn drop_covered(&mut self, index: u64) {
        let covered = self
            .entries
            .partition_point(|entry| entry.position.index <= index);
        self.entries.drain(..covered);
    }

    /// Applies the snapshot file at position `snapshot` to the replayed log. `file` is the segment named in errors.
    fn apply_snapshot(&mut self, snapshot: Position, file: &str) -> Result<(), Error> {
        if self.snapshot_index > snapshot.index {
            return Err(damaged(
                SNAPSHOT,
                0,
                "the snapshot is older than one recorded in the log",
            ));
        }
        let Some(next) = snapshot.index.checked_add(1) else {
            return Err(damaged(SNAPSHOT, 0, "no entry can follow the snapshot"));
        };
        let first = self.entries.first().map(|entry| entry.position.index);
        if first.is_some_and(|first| first > next) {
            return Err(damaged(file, 0, "entries are missing after the snapshot"));
        }
        // If a crash prevented the record of the snapshot, the entries after the snapshot are kept only if the log
        // holds its position. `Node` applies the same rule when it installs a snapshot.
        let unrecorded = self.snapshot_index < snapshot.index;
        let held = self.entries.iter().any(|e| e.position == snapshot);
        if unrecorded && !held {
            self.entries.clear();
        }
        self.drop_covered(snapshot.index);
        let last = self.entries.last().map(|entry| entry.position);
        let term = last.unwrap_or_default().term.max(snapshot.term);
        // A snapshot is written before the hard state of the same batch, so a crash in between leaves an old term.
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
        }
        Ok(())
    }
}

/// Whether no later record states that the unreadable record at `offset` was synced.
fn is_torn(bytes: &[u8], offset: usize) -> bool {
    !(offset + 1..bytes.len()).any(|at| {
        let batch = record::decode(bytes, at)
            .ok()
            .and_then(|range| postcard::from_bytes::<Batch<'_>>(&bytes[range]).ok());
        batch.is_some_and(|batch| batch.synced > offset as u64)
    })
}

/// The sequence numbers of the segments in ascending order. Fails if they are not consecutive.
fn sequences(names: &[String]) -> Result<Vec<u64>, Error> {
    let number = |name: &String| u64::from_str_radix(name.strip_prefix(SEGMENT_PREFIX)?, 16).ok();
    let mut sequences: Vec<u64> = names.iter().filter_map(number).collect();
    sequences.sort_unstable();
    for pair in sequences.windows(2) {
        if pair[1] != pair[0] + 1 {
            return Err(missing(&segment_name(pair[0] + 1)));
        }
    }
    Ok(sequences)
}

fn missing(file: &str) -> Error {
    let file = file.to_owned();
    Error::Missing { file }
}

fn damaged(file: &str, offset: usize, reason: &'static str) -> Error {
    Error::Damaged {
        file: file.to_owned(),
        offset: offset as u64,
        reason,
    }
}

fn foreign(file: &str, found: Identity, expected: Identity) -> Error {
    Error::Foreign {
        file: file.to_owned(),
        found: Box::new(found),
        expected: Box::new(expected),
    }
}
