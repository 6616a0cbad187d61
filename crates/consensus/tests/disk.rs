//! Compares the disk with a model in memory, with crashes and damaged files.

#[path = "support/drive.rs"]
mod drive;

use std::sync::Arc;

use drive::{CRASHES, Crash, Drive, FULL, Full};
use primrose_base::name::Name;
use primrose_consensus::disk::{Disk, Error, Options, Recovered};
use primrose_consensus::entry::{Entry, Hard, Payload, Position, Snapshot};
use primrose_consensus::membership::{Id, Membership};
use primrose_consensus::node::Ready;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn options() -> Options {
    Options {
        segment_bytes: 300,
        ..Options::new(name("fleet"), name("host"), Id(7))
    }
}

fn open(drive: &Drive) -> Result<(Disk, Recovered), Error> {
    Disk::open_files(drive.files(), options())
}

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        position: Position { term, index },
        payload: Payload::Data(vec![index as u8; (index % 50) as usize]),
    }
}

/// One step of a workload. Its indices are relative to the state of the model, so that any sequence of steps results
/// in writes that a node could request.
#[derive(Clone, Debug)]
enum Step {
    Append { count: u64 },
    Replace { back: u64, count: u64 },
    Vote,
    Commit { count: u64 },
    Snapshot { back: u64 },
    Install { ahead: u64 },
}

/// The expected content of the data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Model {
    hard: Hard,
    snapshot: Position,
    entries: Vec<Entry>,
}

impl Model {
    fn new() -> Model {
        Model {
            hard: Hard::default(),
            snapshot: Position::default(),
            entries: Vec::new(),
        }
    }

    fn from_recovered(recovered: Recovered) -> Model {
        let snapshot = recovered.snapshot.map(|s| s.position);
        Model {
            hard: recovered.hard,
            snapshot: snapshot.unwrap_or_default(),
            entries: recovered.entries,
        }
    }

    fn last(&self) -> Position {
        self.entries.last().map_or(self.snapshot, |e| e.position)
    }

    fn term(&self, index: u64) -> u64 {
        let entry = self.entries.iter().find(|e| e.position.index == index);
        entry.map_or(self.snapshot.term, |e| e.position.term)
    }

    /// The batch that a node in this state would write to its disk for `step`.
    fn ready(&self, step: &Step) -> Ready {
        let mut hard = self.hard;
        hard.term = hard.term.max(1);
        let mut ready = Ready::default();
        let last = self.last().index;
        let lowest = hard.commit.max(self.snapshot.index);
        match *step {
            Step::Append { count } => {
                let new = last + 1..=last + count;
                ready.entries = new.map(|index| entry(hard.term, index)).collect();
            }
            Step::Replace { back, count } => {
                let from = last.saturating_sub(back).max(lowest) + 1;
                hard.term += 1;
                hard.voted_for = None;
                ready.truncate = Some(from).filter(|&from| from <= last);
                let new = from..from + count;
                ready.entries = new.map(|index| entry(hard.term, index)).collect();
            }
            Step::Vote => {
                hard.term += 1;
                hard.voted_for = Some(Id(hard.term));
            }
            Step::Commit { count } => hard.commit = (lowest + count).min(last),
            Step::Snapshot { back } => {
                let index = hard.commit.saturating_sub(back);
                if index > self.snapshot.index {
                    ready.snapshot = Some(snapshot(self.term(index), index));
                }
            }
            Step::Install { ahead } => {
                let index = lowest + ahead;
                hard.term += 1;
                hard.voted_for = None;
                hard.commit = index;
                ready.snapshot = Some(snapshot(hard.term, index));
                ready.truncate = Some(index + 1);
            }
        }
        let voted = (hard.term, hard.voted_for) != (self.hard.term, self.hard.voted_for);
        let changed = ready.snapshot.is_some() || ready.truncate.is_some();
        ready.sync = voted || changed || !ready.entries.is_empty();
        ready.hard = (hard != self.hard).then_some(hard);
        ready
    }

    fn after(&self, ready: &Ready) -> Model {
        let mut next = self.after_snapshot(ready);
        next.hard = ready.hard.unwrap_or(next.hard);
        if let Some(from) = ready.truncate {
            next.entries.retain(|e| e.position.index < from);
        }
        next.entries.extend(ready.entries.iter().cloned());
        next
    }

    /// The state after a crash when only the snapshot file of `ready` was written, but not the log record.
    fn after_snapshot(&self, ready: &Ready) -> Model {
        let mut next = self.clone();
        if let Some(snapshot) = &ready.snapshot {
            let position = snapshot.position;
            let held = self.entries.iter().any(|e| e.position == position);
            next.entries
                .retain(|e| held && e.position.index > position.index);
            next.snapshot = position;
            if position.term > next.hard.term {
                next.hard.term = position.term;
                next.hard.voted_for = None;
            }
        }
        next
    }

    /// This state with the older snapshot of `found` and the entries of `found` that the newer snapshot covers. `None`
    /// if these entries do not reach the newer snapshot.
    fn with_older_snapshot(&self, found: &Model) -> Option<Model> {
        let covered = |e: &&Entry| e.position.index <= self.snapshot.index;
        let mut entries: Vec<Entry> = found.entries.iter().filter(covered).cloned().collect();
        let last = entries.last().map_or(found.snapshot, |e| e.position);
        if last != self.snapshot {
            return None;
        }
        entries.extend(self.entries.iter().cloned());
        Some(Model {
            snapshot: found.snapshot,
            entries,
            hard: self.hard,
        })
    }

    /// Whether `found` equals this state. The commit index may be lower, because it is not always synced.
    fn accepts(&self, found: &Model) -> bool {
        let mut found = found.clone();
        let behind = found.hard.commit <= self.hard.commit;
        found.hard.commit = self.hard.commit;
        behind && found == *self
    }
}

fn snapshot(term: u64, index: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        position: Position { term, index },
        membership: Membership::default(),
        data: vec![index as u8; 40],
    })
}

fn workload() -> Vec<Step> {
    let mut steps = Vec::new();
    for round in 0..4 {
        steps.extend([
            Step::Vote,
            Step::Append { count: 6 },
            Step::Commit { count: 4 },
            Step::Replace { back: 1, count: 3 },
            Step::Snapshot { back: round },
            Step::Append { count: 2 },
            Step::Install { ahead: 3 },
            Step::Append { count: 1 },
        ]);
    }
    steps
}

/// Runs the steps until the drive stops. `model` is then the state after the last acknowledged write. Returns the
/// states that the interrupted write may have led to, or `None` if all steps succeeded.
fn run_steps(disk: &mut Disk, model: &mut Model, steps: &[Step]) -> Option<[Model; 2]> {
    for step in steps {
        let ready = model.ready(step);
        let next = model.after(&ready);
        if disk.write(&ready).is_err() {
            return Some([model.after_snapshot(&ready), next]);
        }
        *model = next;
    }
    None
}

/// Checks that the content of the drive is `model` or one of `alternatives`, and that the disk still works.
fn check_recovery(drive: &Drive, model: &Model, alternatives: &[Model], context: &str) {
    let (mut disk, recovered) = open(drive).unwrap_or_else(|e| panic!("{context}: {e}"));
    let mut found = Model::from_recovered(recovered);
    let allowed = model.accepts(&found) || alternatives.iter().any(|other| other.accepts(&found));
    assert!(
        allowed,
        "{context}: recovered {found:?}, but acknowledged was {model:?}, and the interrupted write allows {alternatives:?}"
    );
    assert!(
        run_steps(&mut disk, &mut found, &workload()).is_none(),
        "{context}: a write after the recovery failed"
    );
    drop(disk);
    let (_, recovered) = open(drive).expect("the folder opens again");
    assert_eq!(
        found,
        Model::from_recovered(recovered),
        "{context}: after another workload"
    );
}

// After a crash at any file operation, the recovered state must contain all acknowledged writes and nothing that they
// replaced.
#[test_case(Crash::Lose)]
#[test_case(Crash::Keep)]
#[test_case(Crash::KeepNames)]
#[test_case(Crash::Tear)]
fn recovers_from_a_crash_at_each_operation(crash: Crash) {
    let drive = Drive::default();
    let (mut disk, _) = open(&drive).expect("the folder opens");
    run_steps(&mut disk, &mut Model::new(), &workload());
    let total = drive.operations();
    assert!(total > 60, "the workload has only {total} file operations");
    for stop in 0..total {
        for seed in 0..3 {
            let context = format!("{crash:?} at operation {stop} of {total}, seed {seed}");
            let drive = Drive::default();
            drive.stop_after(stop);
            let mut model = Model::new();
            let mut alternatives = Vec::new();
            if let Ok((mut disk, _)) = open(&drive) {
                let interrupted = run_steps(&mut disk, &mut model, &workload());
                alternatives.extend(interrupted.into_iter().flatten());
            }
            assert!(drive.stopped(), "{context}: the drive did not stop");
            drive.restart(crash, seed);
            crash_during_recovery(&drive, crash, &model, &alternatives, &context);
            check_recovery(&drive, &model, &alternatives, &context);
        }
    }
}

/// Repeats the recovery with a second crash at each of its operations.
fn crash_during_recovery(
    drive: &Drive,
    crash: Crash,
    model: &Model,
    alternatives: &[Model],
    context: &str,
) {
    for stop in 0.. {
        let drive = drive.fork();
        drive.stop_after(stop);
        if open(&drive).is_ok() {
            return;
        }
        drive.restart(crash, stop);
        check_recovery(
            &drive,
            model,
            alternatives,
            &format!("{context}, then at operation {stop} of the recovery"),
        );
    }
}

/// Like [`run_steps`], but writes each batch again that a full disk has refused. The disk has room again after the
/// append was refused `tries` times.
fn run_steps_on_full_disk(
    drive: &Drive,
    disk: &mut Disk,
    model: &mut Model,
    tries: u64,
) -> Option<[Model; 2]> {
    for step in &workload() {
        let ready = model.ready(step);
        let next = model.after(&ready);
        while let Err(error) = disk.write(&ready) {
            if drive.stopped() {
                return Some([model.after_snapshot(&ready), next]);
            }
            assert!(
                drive.is_full() && !matches!(error, Error::Failed),
                "a write failed: {error}"
            );
            if drive.refused() >= tries {
                drive.make_room();
            }
        }
        if drive.is_full() && drive.refused() >= tries {
            drive.make_room();
        }
        *model = next;
    }
    None
}

/// Like [`open`], but tries again when there is room.
fn open_on_full_disk(drive: &Drive) -> Option<Disk> {
    loop {
        match open(drive) {
            Ok((disk, _)) => return Some(disk),
            Err(_) if drive.stopped() => return None,
            Err(error) => assert!(drive.is_full(), "the folder does not open: {error}"),
        }
        drive.make_room();
    }
}

// A refused append leaves the log as it was: the same batch can be written when the disk has room again, and nothing
// that was acknowledged is lost.
#[test_case(Full::Nothing, 1)]
#[test_case(Full::Nothing, 3)]
#[test_case(Full::Name, 1)]
#[test_case(Full::Name, 3)]
#[test_case(Full::Part, 1)]
#[test_case(Full::Part, 3)]
#[test_case(Full::Everything, 1)]
#[test_case(Full::Everything, 3)]
fn goes_on_after_the_disk_was_full_at_each_operation(full: Full, tries: u64) {
    let total = operations_of_workload();
    for start in 0..total {
        let context = format!("{full:?} from operation {start} of {total}, {tries} refused");
        let drive = Drive::default();
        drive.fill_after(start, full);
        let mut disk = open_on_full_disk(&drive).expect("the folder opens");
        let mut model = Model::new();
        assert!(
            run_steps_on_full_disk(&drive, &mut disk, &mut model, tries).is_none(),
            "{context}: the drive stopped"
        );
        drive.make_room();
        if disk.is_deferring() {
            check_recovery_with_older_snapshot(&drive.fork(), &model, &[], &context);
            disk.write_deferred()
                .unwrap_or_else(|e| panic!("{context}: {e}"));
        }
        check_recovery(&drive, &model, &[], &context);
    }
}

// A crash at any operation after the disk was full, or while it still is, must not lose what was acknowledged.
#[test_case(Crash::Lose)]
#[test_case(Crash::Keep)]
#[test_case(Crash::KeepNames)]
#[test_case(Crash::Tear)]
fn recovers_from_a_crash_after_the_disk_was_full(crash: Crash) {
    let total = operations_of_workload();
    for start in 0..total {
        for (at, full) in FULL.into_iter().enumerate() {
            for later in (0..12).chain([20, 40]) {
                let context = format!(
                    "{full:?} from operation {start} of {total}, {crash:?} {later} operations later"
                );
                let drive = Drive::default();
                drive.fill_after(start, full);
                drive.stop_after(start + later);
                let mut model = Model::new();
                let mut alternatives = Vec::new();
                if let Some(mut disk) = open_on_full_disk(&drive) {
                    let tries = 1 + 2 * at as u64;
                    let interrupted = run_steps_on_full_disk(&drive, &mut disk, &mut model, tries);
                    alternatives.extend(interrupted.into_iter().flatten());
                }
                drive.restart(crash, later);
                drive.make_room();
                check_recovery_with_older_snapshot(&drive, &model, &alternatives, &context);
            }
        }
    }
}

// A folder that cannot be opened because the disk is full must open with the same content when there is room.
#[test_case(Full::Nothing)]
#[test_case(Full::Name)]
#[test_case(Full::Part)]
#[test_case(Full::Everything)]
fn opens_after_the_disk_was_full(full: Full) {
    let total = operations_of_workload();
    let mut refused = 0;
    for stop in 0..total {
        let drive = Drive::default();
        drive.stop_after(stop);
        let mut model = Model::new();
        let mut alternatives = Vec::new();
        if let Ok((mut disk, _)) = open(&drive) {
            let interrupted = run_steps(&mut disk, &mut model, &workload());
            alternatives.extend(interrupted.into_iter().flatten());
        }
        drive.restart(CRASHES[stop as usize % CRASHES.len()], stop);
        for start in 0..4 {
            let drive = drive.fork();
            let context = format!("stopped at {stop} of {total}, {full:?} from operation {start}");
            drive.fill_after(start, full);
            if let Err(error) = open(&drive) {
                assert!(drive.is_full(), "{context}: {error}");
                refused += 1;
            }
            drive.make_room();
            check_recovery(&drive, &model, &alternatives, &context);
        }
    }
    assert!(refused > 0, "no opening was refused");
}

fn operations_of_workload() -> u64 {
    let drive = Drive::default();
    let (mut disk, _) = open(&drive).expect("the folder opens");
    run_steps(&mut disk, &mut Model::new(), &workload());
    drive.operations()
}

/// Like [`check_recovery`], but the recovered state may also consist of an older snapshot and the entries after it,
/// because a refused snapshot file is written later than the log.
fn check_recovery_with_older_snapshot(
    drive: &Drive,
    model: &Model,
    alternatives: &[Model],
    context: &str,
) {
    let (disk, recovered) = open(drive).unwrap_or_else(|e| panic!("{context}: {e}"));
    drop(disk);
    let found = Model::from_recovered(recovered);
    let expected = std::iter::once(model).chain(alternatives);
    let equivalent = expected
        .filter_map(|model| model.with_older_snapshot(&found))
        .find(|model| model.accepts(&found));
    assert!(
        equivalent.is_some(),
        "{context}: recovered {found:?}, but acknowledged was {model:?}, and the interrupted write allows {alternatives:?}"
    );
    check_recovery(drive, &found, &[], context);
}

// A corrupted byte must be reported with the name of its file, not treated as a torn write. Only in the last record
// can the two not be distinguished.
#[test]
fn each_flipped_byte_is_detected() {
    let drive = Drive::default();
    let (mut disk, _) = open(&drive).expect("the folder opens");
    let mut model = Model::new();
    let steps = workload();
    let (last, before) = steps.split_last().expect("the workload has steps");
    run_steps(&mut disk, &mut model, before);
    let names = drive.names();
    let segment = names.iter().rfind(|n| n.starts_with("log-"));
    let segment = segment.expect("a segment").clone();
    let tail = drive.content(&segment).len();
    let earlier = model.clone();
    run_steps(&mut disk, &mut model, std::slice::from_ref(last));
    assert!(
        drive.content(&segment).len() > tail,
        "the last step must append to the last segment"
    );
    for file in drive.names() {
        let content = drive.content(&file);
        for at in 0..content.len() {
            let drive = drive.fork();
            let mut damaged = content.clone();
            damaged[at] ^= 0x10;
            drive.set_content(&file, damaged);
            match open(&drive) {
                Err(Error::Damaged { file: found, .. }) => assert_eq!(found, file),
                Err(error) => panic!("byte {at} of {file} flipped: unexpected error: {error}"),
                Ok((_, recovered)) => {
                    assert!(
                        file == segment && at >= tail,
                        "byte {at} of {file} flipped: not detected"
                    );
                    assert_eq!(Model::from_recovered(recovered), earlier);
                }
            }
        }
    }
}

// A folder from which a file was removed must not be treated as an empty folder or recovered to an older state. There
// are two exceptions. The oldest segment may be missing if the snapshot covers it, because the segments
// that a snapshot covers are removed anyway. A missing newest segment cannot be detected.
#[test]
fn each_missing_file_is_detected() {
    let drive = Drive::default();
    let (mut disk, _) = open(&drive).expect("the folder opens");
    let mut steps = workload();
    steps.extend(vec![Step::Append { count: 9 }; 4]);
    let mut model = Model::new();
    run_steps(&mut disk, &mut model, &steps);
    let names = drive.names();
    let segments = names.iter().filter(|name| name.starts_with("log-"));
    let (first, last) = (segments.clone().min(), segments.max());
    assert!(names.len() >= 5, "{names:?}");
    for file in names.iter().filter(|&name| Some(name) != last) {
        let drive = drive.fork();
        drive.remove(file);
        match open(&drive) {
            Err(Error::Missing { .. } | Error::Damaged { .. }) => {}
            Err(error) => panic!("without {file}: unexpected error: {error}"),
            Ok((_, recovered)) => {
                assert_eq!(Some(file), first);
                assert_eq!(Model::from_recovered(recovered), model, "without {file}");
            }
        }
    }
}

// With the folder of another fleet, host or replica, for example a copy, the same replica could vote twice in one
// term.
#[test]
fn folders_of_another_owner_are_refused() {
    let drive = Drive::default();
    drop(open(&drive).expect("the folder opens"));
    let other_owners = [
        Options {
            fleet: name("other"),
            ..options()
        },
        Options {
            host: name("other"),
            ..options()
        },
        Options {
            replica: Some(Id(8)),
            ..options()
        },
    ];
    for other in other_owners {
        let error =
            Disk::open_files(drive.files(), other).expect_err("the folder has another owner");
        assert!(matches!(error, Error::Foreign { .. }), "{error}");
    }
}

// After a failed fsync the kernel may have dropped the data, and a second fsync would succeed without writing it.
#[test]
fn writes_are_refused_after_a_failed_sync() {
    let drive = Drive::default();
    let (mut disk, _) = open(&drive).expect("the folder opens");
    let model = Model::new();
    drive.fail_after(1);
    let ready = model.ready(&Step::Append { count: 1 });
    let error = disk.write(&ready).expect_err("the sync must fail");
    assert!(matches!(
        error,
        Error::Operation {
            operation: "sync",
            ..
        }
    ));
    let operations = drive.operations();
    let error = disk
        .write(&ready)
        .expect_err("writes after a failed sync must fail");
    assert!(matches!(error, Error::Failed));
    assert_eq!(drive.operations(), operations);
}

// Two processes that use the same folder would overwrite each other's votes.
#[test]
fn a_folder_is_locked_by_one_process() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let first = Disk::open(folder.path(), options()).expect("the folder opens");
    let error = Disk::open(folder.path(), options()).expect_err("the folder is locked");
    assert!(matches!(error, Error::Locked { .. }), "{error}");
    drop(first);
    Disk::open(folder.path(), options()).expect("the lock is released");
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..8_u64).prop_map(|count| Step::Append { count }),
        (0..6_u64, 1..5_u64).prop_map(|(back, count)| Step::Replace { back, count }),
        Just(Step::Vote),
        (1..6_u64).prop_map(|count| Step::Commit { count }),
        (0..4_u64).prop_map(|back| Step::Snapshot { back }),
        (1..6_u64).prop_map(|ahead| Step::Install { ahead }),
    ]
}

/// Uses a fixed seed. `PRIMROSE_CASES` sets the number of cases (default 256).
fn config() -> ProptestConfig {
    let cases = std::env::var("PRIMROSE_CASES").map_or(256, |text| text.parse().expect("a number"));
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // Covers sequences of writes and crashes that the fixed workload does not contain.
    #[test]
    fn random_workloads_and_crashes(
        sessions in prop::collection::vec((prop::collection::vec(step(), 1..20), 0..40_u64, 0..4_usize), 1..5),
        seed in any::<u64>(),
    ) {
        let drive = Drive::default();
        let mut model = Model::new();
        let mut alternatives = Vec::new();
        for (steps, stop, crash) in sessions {
            if let Ok((mut disk, recovered)) = open(&drive) {
                let found = Model::from_recovered(recovered);
                let allowed = model.accepts(&found) || alternatives.iter().any(|o: &Model| o.accepts(&found));
                prop_assert!(
                    allowed,
                    "recovered {found:?}, but acknowledged was {model:?}, and the interrupted write allows {alternatives:?}"
                );
                model = found;
                drive.stop_after(stop);
                let interrupted = run_steps(&mut disk, &mut model, &steps);
                alternatives = interrupted.into_iter().flatten().collect();
            }
            drive.restart(CRASHES[crash], seed);
        }
        check_recovery(&drive, &model, &alternatives, "at the end");
    }
}
