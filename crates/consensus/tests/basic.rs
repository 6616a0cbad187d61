//! Basic behaviour of a replica with a data folder in the file system.

use std::sync::{Arc, Mutex};

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::disk::{self, Disk};
use primrose_consensus::membership::{Id, Member, Membership};
use primrose_consensus::node::{self, Role};
use primrose_consensus::replica::{Action, Replica};

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn member(id: u64, voter: bool) -> Member {
    Member {
        id: Id(id),
        host: name("host"),
        voter,
    }
}

type Applied = Arc<Mutex<Vec<u8>>>;

fn open(folder: &std::path::Path, now: Time) -> (Replica, Applied) {
    let options = disk::Options::new(name("fleet"), name("host"), Id(7));
    let opened = Disk::open(folder, options).expect("the folder opens");
    let applied = Applied::default();
    let state = Arc::clone(&applied);
    let apply = move |action: Action<'_>| {
        let mut state = state.lock().expect("the lock is not poisoned");
        match action {
            Action::Restore { data, .. } => *state = data.to_vec(),
            Action::Apply { data, .. } => state.extend_from_slice(data),
        }
    };
    let replica = Replica::new(opened, node::Options::default(), now, 1, apply);
    (replica, applied)
}

/// Ticks until the replica is the leader, and returns the time.
fn tick_until_leader(replica: &mut Replica, mut now: Time) -> Time {
    while replica.node().role() != Role::Leader {
        now = now.plus_ms(20);
        replica.tick(now);
        replica.flush().expect("the flush succeeds");
    }
    now
}

// A proposal that a single voter has acknowledged must survive a restart, whether it is in a snapshot or only in the
// log.
#[test]
fn single_voter_keeps_its_log() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut replica, _) = open(folder.path(), Time::from_ms(1));
    let membership = Membership::new(vec![member(7, true)]);
    replica
        .bootstrap(Time::from_ms(1), membership)
        .expect("the replica is empty");
    let now = tick_until_leader(&mut replica, Time::from_ms(1));
    replica.propose(now, vec![1]).expect("is the leader");
    replica.flush().expect("the flush succeeds");
    replica
        .take_snapshot(vec![1])
        .expect("the index is applied");
    replica.propose(now, vec![2]).expect("is the leader");
    replica.read_barrier(now, 5).expect("is the leader");
    let output = replica.flush().expect("the flush succeeds");
    assert_eq!(output.reads, [5]);
    drop(replica);

    let (mut replica, applied) = open(folder.path(), Time::from_ms(1));
    tick_until_leader(&mut replica, Time::from_ms(1));
    replica.flush().expect("the flush succeeds");
    assert_eq!(*applied.lock().expect("the lock is not poisoned"), [1, 2]);
}

// The daemon moves a replica to a blocking thread for each flush, so the type must be `Send`.
#[test]
fn a_replica_can_change_threads() {
    fn check<T: Send + 'static>() {}
    check::<Replica>();
}
