//! A simulated file system in memory that can crash at any operation, lose unsynced data and run out of space.

#![allow(dead_code, reason = "each test file uses only some of the functions")]

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use primrose_consensus::files::{Files, Operation};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// The effect of a crash on file contents and file names that were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Crash {
    /// Contents and names are lost.
    Lose,
    /// Contents and names survive.
    Keep,
    /// Names survive and contents are lost.
    KeepNames,
    /// Names are lost, and a random part of each content survives, some of it as zeros.
    Tear,
}

pub(crate) const CRASHES: [Crash; 4] = [Crash::Lose, Crash::Keep, Crash::KeepNames, Crash::Tear];

/// What an append does on a full disk before it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Full {
    /// Nothing; a missing file is not created.
    Nothing,
    /// It creates a missing file.
    Name,
    /// It creates a missing file and writes half of the bytes.
    Part,
    /// It creates a missing file. Truncations, renames and removals are refused as well.
    Everything,
}

pub(crate) const FULL: [Full; 4] = [Full::Nothing, Full::Name, Full::Part, Full::Everything];

#[derive(Clone, Default)]
struct File {
    durable: Vec<u8>,
    cached: Vec<u8>,
}

type Names = BTreeMap<String, usize>;

#[derive(Default)]
struct State {
    files: Vec<File>,
    names: Names,
    durable_names: Names,
    /// The number of operations since the last start.
    operations: u64,
    /// The number of the operation at which the drive stops, counted from 1. It fails, and so do all later ones. If
    /// it is not a sync, it takes effect nevertheless.
    stop_at: Option<u64>,
    /// The number of the operation that fails without effect, counted from 1.
    fail_at: Option<u64>,
    stopped: bool,
    /// Set while the disk is full.
    full: Option<Full>,
    /// The number of the operation from which on the disk is full, counted from 1.
    full_at: Option<(u64, Full)>,
    /// The number of operations that were refused since the disk was filled.
    refused: u64,
}

/// A handle of the simulated file system. Clones share its content.
#[derive(Clone, Default)]
pub(crate) struct Drive(Arc<Mutex<State>>);

impl Drive {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("the lock is not poisoned")
    }

    pub(crate) fn files(&self) -> Files {
        let (list, read, change) = (self.clone(), self.clone(), self.clone());
        Files {
            list: Box::new(move || Ok(list.state().names.keys().cloned().collect())),
            read: Box::new(move |name| Ok(read.content(name))),
            change: Box::new(move |operation| change.state().change(operation)),
        }
    }

    pub(crate) fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    pub(crate) fn content(&self, name: &str) -> Vec<u8> {
        let state = self.state();
        state.files[state.names[name]].cached.clone()
    }

    pub(crate) fn set_content(&self, name: &str, content: Vec<u8>) {
        let mut state = self.state();
        let at = state.names[name];
        state.files[at].cached = content.clone();
        state.files[at].durable = content;
    }

    pub(crate) fn remove(&self, name: &str) {
        let mut state = self.state();
        state.names.remove(name);
        state.durable_names.remove(name);
    }

    pub(crate) fn operations(&self) -> u64 {
        self.state().operations
    }

    /// An independent copy, on which no operation has been counted yet.
    pub(crate) fn fork(&self) -> Drive {
        let state = self.state();
        Drive(Arc::new(Mutex::new(State {
            files: state.files.clone(),
            names: state.names.clone(),
            durable_names: state.durable_names.clone(),
            ..State::default()
        })))
    }

    /// Lets `count` more operations succeed and stops at the one after them.
    pub(crate) fn stop_after(&self, count: u64) {
        let mut state = self.state();
        state.stop_at = Some(state.operations + count + 1);
    }

    /// Lets `count` more operations succeed. The one after them fails without effect.
    pub(crate) fn fail_after(&self, count: u64) {
        let mut state = self.state();
        state.fail_at = Some(state.operations + count + 1);
    }

    /// Fills the disk. Unlike other settings, this one outlasts a restart.
    pub(crate) fn fill(&self, full: Full) {
        let mut state = self.state();
        state.full = Some(full);
        state.refused = 0;
    }

    /// Fills the disk after `count` more operations.
    pub(crate) fn fill_after(&self, count: u64, full: Full) {
        let mut state = self.state();
        state.full_at = Some((state.operations + count + 1, full));
    }

    pub(crate) fn make_room(&self) {
        let mut state = self.state();
        state.full = None;
        state.full_at = None;
    }

    pub(crate) fn is_full(&self) -> bool {
        self.state().full.is_some()
    }

    /// The number of operations that were refused since the disk was filled.
    pub(crate) fn refused(&self) -> u64 {
        self.state().refused
    }

    pub(crate) fn stopped(&self) -> bool {
        self.state().stopped
    }

    /// Simulates the restart after a crash. `seed` determines which data survives [`Crash::Tear`].
    pub(crate) fn restart(&self, crash: Crash, seed: u64) {
        let mut state = self.state();
        let mut rng = SmallRng::seed_from_u64(seed);
        match crash {
            Crash::Lose | Crash::Tear => state.names = state.durable_names.clone(),
            Crash::Keep | Crash::KeepNames => state.durable_names = state.names.clone(),
        }
        for file in &mut state.files {
            match crash {
                Crash::Lose | Crash::KeepNames => {}
                Crash::Keep => file.durable = file.cached.clone(),
                Crash::Tear => file.tear(&mut rng),
            }
            file.cached = file.durable.clone();
        }
        state.operations = 0;
        state.stop_at = None;
        state.fail_at = None;
        state.full_at = None;
        state.stopped = false;
    }
}

impl File {
    fn tear(&mut self, rng: &mut SmallRng) {
        let start = self.durable.len();
        if self.cached.len() <= start {
            return;
        }
        let end = rng.random_range(start..=self.cached.len());
        self.durable = self.cached[..end].to_vec();
        if rng.random_bool(0.5) {
            let from = rng.random_range(start..=end);
            let to = rng.random_range(from..=end);
            self.durable[from..to].fill(0);
        }
    }
}

impl State {
    fn change(&mut self, operation: Operation<'_>) -> io::Result<()> {
        if self.stopped {
            return Err(io::Error::other("stopped"));
        }
        self.operations += 1;
        if self.fail_at == Some(self.operations) {
            return Err(io::Error::other("failed"));
        }
        self.stopped = self.stop_at == Some(self.operations);
        if let Some((_, full)) = self.full_at.take_if(|(at, _)| *at == self.operations) {
            self.full = Some(full);
            self.refused = 0;
        }
        let is_change = matches!(
            operation,
            Operation::Truncate { .. } | Operation::Rename { .. } | Operation::Remove { .. }
        );
        if is_change && self.full == Some(Full::Everything) {
            self.refused += 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        if let (Some(full), Operation::Append { name, bytes }) = (self.full, operation) {
            self.refused += 1;
            self.refuse(full, name, bytes);
            return Err(io::ErrorKind::StorageFull.into());
        }
        let sync = matches!(operation, Operation::Sync { .. } | Operation::SyncFolder);
        if !self.stopped || !sync {
            self.execute(operation);
        }
        match self.stopped {
            true => Err(io::Error::other("stopped")),
            false => Ok(()),
        }
    }

    fn refuse(&mut self, full: Full, name: &str, bytes: &[u8]) {
        let written = match full {
            Full::Nothing => return,
            Full::Name | Full::Everything => 0,
            Full::Part => bytes.len() / 2,
        };
        let at = self.open_or_create(name);
        self.files[at].cached.extend_from_slice(&bytes[..written]);
    }

    fn execute(&mut self, operation: Operation<'_>) {
        match operation {
            Operation::Append { name, bytes } => {
                let at = self.open_or_create(name);
                self.files[at].cached.extend_from_slice(bytes);
            }
            Operation::Sync { name } => {
                let at = self.names[name];
                self.files[at].durable = self.files[at].cached.clone();
            }
            Operation::Truncate { name, length } => {
                let at = self.names[name];
                self.files[at].cached.truncate(length as usize);
            }
            Operation::Rename { from, to } => {
                let at = self.names.remove(from).expect("the file exists");
                self.names.insert(to.to_owned(), at);
            }
            Operation::Remove { name } => drop(self.names.remove(name).expect("the file exists")),
            Operation::SyncFolder => self.durable_names = self.names.clone(),
        }
    }

    fn open_or_create(&mut self, name: &str) -> usize {
        if let Some(&at) = self.names.get(name) {
            return at;
        }
        self.files.push(File::default());
        let at = self.files.len() - 1;
        self.names.insert(name.to_owned(), at);
        at
    }
}
