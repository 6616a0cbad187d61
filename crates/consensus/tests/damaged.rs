//! Data folders with any bytes in their files: the disk reports an error or opens, and never panics.

#[path = "support/drive.rs"]
mod drive;

use std::sync::Arc;

use drive::Drive;
use primrose_base::name::Name;
use primrose_consensus::disk::{Disk, Error, Options, Recovered};
use primrose_consensus::entry::{Entry, Hard, Payload, Position, Snapshot};
use primrose_consensus::membership::{Id, Membership};
use primrose_consensus::node::Ready;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

/// Length and checksum before the payload of a record.
const PREFIX_BYTES: usize = 8;

fn open(drive: &Drive) -> Result<(Disk, Recovered), Error> {
    let name = |text| Name::new(text).expect("a valid name");
    let options = Options {
        segment_bytes: 300,
        ..Options::new(name("fleet"), name("host"), Id(7))
    };
    Disk::open_files(drive.files(), options)
}

/// A folder with several segments and a snapshot.
fn drive() -> Drive {
    let drive = Drive::default();
    let (mut disk, _) = open(&drive).expect("the folder opens");
    for index in 1..=20_u64 {
        let position = Position { term: 1, index };
        let snapshot = Snapshot {
            position,
            membership: Membership::default(),
            data: vec![1; 30],
        };
        let ready = Ready {
            hard: Some(Hard {
                term: 1,
                voted_for: None,
                commit: index,
            }),
            entries: vec![Entry {
                position,
                payload: Payload::Data(vec![index as u8; 20]),
            }],
            snapshot: (index == 12).then(|| Arc::new(snapshot)),
            sync: true,
            ..Ready::default()
        };
        disk.write(&ready).expect("written");
    }
    drive
}

/// A record as it is stored at an offset of a file: length, checksum of offset and payload, payload.
fn record(offset: usize, payload: &[u8]) -> Vec<u8> {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&(offset as u64).to_le_bytes());
    checksum.update(payload);
    let length = payload.len() as u32;
    let prefix = [length.to_le_bytes(), checksum.finalize().to_le_bytes()];
    [prefix.as_flattened(), payload].concat()
}

/// The payloads of the records of a file.
fn payloads(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut payloads = Vec::new();
    let mut rest = bytes;
    while let Some((prefix, after)) = rest.split_first_chunk::<PREFIX_BYTES>() {
        let [a, b, c, d, ..] = *prefix;
        let (payload, next) = after.split_at(u32::from_le_bytes([a, b, c, d]) as usize);
        payloads.push(payload.to_vec());
        rest = next;
    }
    payloads
}

fn file(payloads: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for payload in payloads {
        let record = record(bytes.len(), payload);
        bytes.extend_from_slice(&record);
    }
    bytes
}

#[derive(Clone, Debug)]
enum Damage {
    Flip(usize, u8),
    Insert(usize, Vec<u8>),
    Truncate(usize),
}

fn damage() -> impl Strategy<Value = Damage> {
    let bytes = prop_oneof![
        prop::collection::vec(any::<u8>(), 1..20),
        // The greatest number, as the records encode it.
        Just([vec![0xff; 9], vec![1]].concat()),
        Just(vec![0xff; 12]),
    ];
    prop_oneof![
        3 => (any::<usize>(), 1..=u8::MAX).prop_map(|(at, bits)| Damage::Flip(at, bits)),
        2 => (any::<usize>(), bytes).prop_map(|(at, bytes)| Damage::Insert(at, bytes)),
        1 => any::<usize>().prop_map(Damage::Truncate),
    ]
}

fn apply(bytes: &mut Vec<u8>, damages: &[Damage]) {
    for damage in damages {
        let length = bytes.len();
        match damage {
            Damage::Flip(at, bits) if length > 0 => bytes[at % length] ^= bits,
            Damage::Flip(..) => {}
            Damage::Insert(at, new) => {
                let at = at % (length + 1);
                bytes.splice(at..at, new.iter().copied());
            }
            Damage::Truncate(at) => bytes.truncate(at % (length + 1)),
        }
    }
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

    // Damage of the bytes, which the checksums show.
    #[test]
    fn damaged_files_do_not_panic(name in any::<usize>(), damages in prop::collection::vec(damage(), 1..5)) {
        let drive = drive();
        let names = drive.names();
        let name = &names[name % names.len()];
        let mut bytes = drive.content(name);
        apply(&mut bytes, &damages);
        drive.set_content(name, bytes);
        // Only the absence of a panic is checked; other tests check what is recovered.
        let _ = open(&drive);
    }

    // Records with other content but a right checksum, as another program could write them.
    #[test]
    fn records_of_another_writer_do_not_panic(
        name in any::<usize>(), at in any::<usize>(), damages in prop::collection::vec(damage(), 1..5),
    ) {
        let drive = drive();
        let names = drive.names();
        let name = &names[name % names.len()];
        let mut payloads = payloads(&drive.content(name));
        let at = at % payloads.len();
        apply(&mut payloads[at], &damages);
        drive.set_content(name, file(&payloads));
        let _ = open(&drive);
    }
}

// The position of a snapshot is added to. With the greatest index there is no next entry, so it is damage.
#[test_case(u64::MAX; "greatest index")]
#[test_case(u64::MAX - 1; "greatest index with a successor")]
fn snapshot_with_a_large_index_does_not_overflow(index: u64) {
    let drive = drive();
    let snapshot = Snapshot {
        position: Position { term: 1, index },
        membership: Membership::default(),
        data: Vec::new(),
    };
    let payload = postcard::to_stdvec(&snapshot).expect("encoded");
    drive.set_content("snapshot", record(0, &payload));
    match open(&drive) {
        Ok((_, recovered)) => assert!(index < u64::MAX && recovered.entries.is_empty()),
        Err(error) => assert!(matches!(error, Error::Damaged { .. }), "{error}"),
    }
}
