//! The replica of a voter whose disk is full for a time.

use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use primrose_base::id;
use primrose_base::name::Name;
use primrose_consensus::Disk;
use primrose_consensus::files::{Files, Operation};
use primrose_consensus::membership::Member;
use primrose_daemon::counters::Counters;
use primrose_daemon::replica::{self, Handle, Input};
use primrose_state::Command;
use primrose_state::claim::{Attempt, Claim};
use primrose_wire::peer::Submitted;
use tokio::sync::{mpsc, watch};

/// Time limit of every wait; reached only if the test fails.
const TIMEOUT: Duration = Duration::from_secs(90);

/// Accesses a folder that refuses appends while the flag is set, after it has written half of the bytes.
fn files(path: &Path, is_full: Arc<AtomicBool>) -> Files {
    let mut folder = Files::folder(path);
    let change = move |operation: Operation<'_>| match operation {
        Operation::Append { name, bytes } if is_full.load(Ordering::SeqCst) => {
            let bytes = &bytes[..bytes.len() / 2];
            (folder.change)(Operation::Append { name, bytes })?;
            Err(io::Error::from(ErrorKind::StorageFull))
        }
        operation => (folder.change)(operation),
    };
    Files {
        change: Box::new(change),
        ..Files::folder(path)
    }
}

fn claim(number: u64) -> Command {
    Command::Claim(Claim {
        account: id::Account(1),
        key: number.to_string(),
        digest: [0; 32],
        attempt: Attempt {
            host: id::Host(1),
            incarnation: 1,
            request: number,
        },
        proposed_ms: 0,
    })
}

async fn until(what: &str, mut is_reached: impl FnMut() -> bool) {
    let wait = async {
        while !is_reached() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("{what} in time"));
}

async fn submit(replica: &Handle, number: u64) -> Submitted {
    tokio::time::timeout(TIMEOUT, replica.submit(claim(number)))
        .await
        .expect("the submission is answered in time")
}

// A voter whose disk is full must neither end nor leave submissions unanswered, also if the disk is full when it starts,
// and must go on by itself when there is room.
#[tokio::test]
async fn voter_goes_on_after_its_disk_was_full() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    let is_full = Arc::new(AtomicBool::new(true));
    let host = Name::new("host").expect("a valid name");
    let (outgoing, _messages) = mpsc::unbounded_channel();
    let (configuration, _) = watch::channel(None);
    let counters = Arc::new(Counters::open(None).expect("the counters can be opened"));
    let inputs = replica::Inputs {
        fleet: Name::new("fleet").expect("a valid name"),
        host: host.clone(),
        outgoing,
        configuration,
        counters: Arc::clone(&counters),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let (path, full) = (folder.path().to_owned(), Arc::clone(&is_full));
    let open = move |options| Disk::open_files(files(&path, Arc::clone(&full)), options);
    let replica = replica::open_disk(Box::new(open), inputs).expect("the replica starts");
    assert!(!replica.status().introduction.is_empty);
    let refused = Submitted::NotLeader { leader: None };
    assert_eq!(submit(&replica, 1).await, refused);
    is_full.store(false, Ordering::SeqCst);
    until("the folder is opened", || {
        replica.status().introduction.is_empty
    })
    .await;
    replica.send(Input::Bootstrap(vec![Member {
        id: replica.status().introduction.replica,
        host,
        voter: true,
    }]));
    until("the replica leads", || replica.status().is_caught_up).await;
    assert!(matches!(submit(&replica, 2).await, Submitted::Applied(_)));
    is_full.store(true, Ordering::SeqCst);
    assert_eq!(submit(&replica, 3).await, refused);
    until("the replica stops leading", || {
        !replica.status().is_caught_up
    })
    .await;
    is_full.store(false, Ordering::SeqCst);
    until("the replica leads again", || replica.status().is_caught_up).await;
    assert!(matches!(submit(&replica, 4).await, Submitted::Applied(_)));
    let count = |name| counters.values().find(|(other, _)| *other == name);
    assert_eq!(count("disk_full"), Some(("disk_full", 2)));
    assert_eq!(count("disk_has_room"), Some(("disk_has_room", 2)));
}
