//! Reading a data folder back.

use std::sync::Arc;

use serde::de::DeserializeOwned;

use super::{
    Batch, Counters, Disk, Error, FORMAT, Header, IDENTITY, Identity, Item, Options, Recovered,
    SEGMENT_PREFIX, SNAPSHOT, Segment, TEMPORARY_SUFFIX, failure, segment_name,
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
    /// Sets up an empty folder. The identity comes last: without it nothing was ever acknowledged here.
    fn create(&mut self, names: &[String]) -> Result<(), Error> {
        if names.iter().any(|name| name == SNAPSHOT) {
            return Err(missing(IDENTITY));
        }
        for sequence in sequences(names)? {
            self.remove_unused(sequence)?;
        }
        self.start_segment()?;
        self.sync_log()?;
        self.sync_folder()?;
        let identity = super::encode(&self.identity);
        self.replace(IDENTITY, &identity)
    }

    /// Removes a segment that was left behind when a process stopped before it had written the identity.
    fn remove_unused(&mut self, sequence: u64) -> Result<(), Error> {
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
        // The last records may be in the page cache only, if a process ended without syncing them.
        self.sync_log()?;
        self.sync_folder()?;
        let position = snapshot
            .as_ref()
            .map_or(Position::default(), |s| s.position);
        replay.finish(position, &self.current())?;
        self.snapshot_index = position.index;
        self.hard = replay.hard;
        if position.index > replay.snapshot_index {
            self.note_snapshot(position, &replay.entries)?;
        }
        Ok(Recovered {
            id: self.id(),
            hard: replay.hard,
            snapshot: snapshot.map(Arc::new),
            entries: replay.entries,
        })
    }

    /// Repeats the record that a crash after the writing of the snapshot prevented. Without it, entries that follow the
    /// snapshot would be read back as followers of the older entries that it replaced.
    fn note_snapshot(&mut self, position: Position, entries: &[Entry]) -> Result<(), Error> {
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
        last: bool,
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
                Err(_) if last && is_torn(&bytes, offset) => break,
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
                        .item(item, &mut segment)
                        .map_err(|reason| damaged(&name, offset, reason))?,
                }
            }
            offset = end;
        }
        if offset == 0 {
            return self.drop_torn_segment(&name, last);
        }
        if offset < bytes.len() {
            let length = offset as u64;
            let name = name.as_str();
            (self.files.change)(Operation::Truncate { name, length })
                .map_err(failure("truncation", name))?;
        }
        self.segments.push(segment);
        self.length = offset as u64;
        Ok(())
    }

    /// A segment without a readable header was being created when the process stopped. Then an older one exists.
    fn drop_torn_segment(&mut self, name: &str, last: bool) -> Result<(), Error> {
        if !last || self.segments.is_empty() {
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
            return Err(damaged(name, 0, "the header is that of another segment"));
        }
        Ok(())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, Error> {
        (self.files.read)(name).map_err(failure("reading", name))
    }

    /// Reads a file that consists of one record.
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

/// The log as the records so far describe it.
#[derive(Default)]
struct Replay {
    hard: Hard,
    entries: Vec<Entry>,
    /// The highest snapshot that a record mentions.
    snapshot_index: u64,
}

impl Replay {
    fn item(&mut self, item: Item<'_>, segment: &mut Segment) -> Result<(), &'static str> {
        match item {
            Item::Header(_) => return Err("a header inside a segment"),
            Item::Hard(hard) => self.hard = hard,
            Item::Snapshot(position) => {
                self.snapshot_index = self.snapshot_index.max(position.index);
                self.cover(position.index);
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

    /// Drops the entries up to `index`.
    fn cover(&mut self, index: u64) {
        let covered = self
            .entries
            .partition_point(|entry| entry.position.index <= index);
        self.entries.drain(..covered);
    }

    /// Combines the log with the snapshot that is on the disk.
    fn finish(&mut self, snapshot: Position, file: &str) -> Result<(), Error> {
        if self.snapshot_index > snapshot.index {
            return Err(damaged(SNAPSHOT, 0, "it is older than the log says"));
        }
        let first = self.entries.first().map(|entry| entry.position.index);
        if first.is_some_and(|first| first > snapshot.index + 1) {
            return Err(damaged(file, 0, "entries are missing after the snapshot"));
        }
        // A crash prevented the record of the snapshot. As in a node, what follows the snapshot stays only if the log holds
        // its position.
        let unnoted = self.snapshot_index < snapshot.index;
        let held = self.entries.iter().any(|e| e.position == snapshot);
        if unnoted && !held {
            self.entries.clear();
        }
        self.cover(snapshot.index);
        let last = self.entries.last().map(|entry| entry.position);
        let term = last.unwrap_or_default().term.max(snapshot.term);
        // A snapshot is on the disk before the hard state that came with it.
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
        }
        Ok(())
    }
}

/// Whether the unreadable record at `offset` was never synced, judging by the records after it.
fn is_torn(bytes: &[u8], offset: usize) -> bool {
    !(offset + 1..bytes.len()).any(|at| {
        let batch = record::decode(bytes, at)
            .ok()
            .and_then(|range| postcard::from_bytes::<Batch<'_>>(&bytes[range]).ok());
        batch.is_some_and(|batch| batch.synced > offset as u64)
    })
}

/// The sequence numbers of the segments, which must be consecutive.
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

fn remove(files: &mut Files, name: &str) -> Result<(), Error> {
    (files.change)(Operation::Remove { name }).map_err(failure("removal", name))
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
