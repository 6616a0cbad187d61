//! Tests of replicas of the log of documents on real disks. The test itself delivers the messages.

#[path = "support/hosts.rs"]
mod hosts;
#[path = "support/store.rs"]
mod store;

use std::path::Path;
use std::time::Duration;

use hosts::{Folder, TIMEOUT, document, form_fleet, leader};
use primrose_base::name::Name;
use primrose_fleet::replica::{Input, Outcome};
use primrose_fleet::storage::Storage;
use store::store;

/// Opens a replica in each folder and delivers the messages between them.
fn open(folders: &[&Path]) -> Vec<hosts::Host> {
    hosts::open(folders.iter().map(|folder| Storage::folder(folder)))
}

// An acknowledged document must be returned by reads, by the leader only, even after all processes were killed and
// restarted.
#[tokio::test]
async fn acknowledged_documents_survive_a_restart_of_all_replicas() {
    let folders: Vec<Folder> = (0..3).map(|_| Folder::new()).collect();
    let paths: Vec<&Path> = folders.iter().map(|folder| folder.path()).collect();
    let copies = Folder::new();
    {
        let hosts = open(&paths);
        form_fleet(&hosts);
        for version in 1..=40 {
            store(&hosts, version).await;
        }
        let leader_host = leader(&hosts).await;
        let follower = hosts
            .iter()
            .find(|host| host.name != leader_host.name)
            .expect("there are three hosts");
        assert!(
            follower.handle.read().await.is_none(),
            "a follower answered a read"
        );
        assert_eq!(follower.handle.put(document(99)).await, Outcome::NotLeader);
    }
    // The threads of the first replicas still use their folders, so copies of the files stand for the disks after a
    // kill.
    let mut copied_folders = Vec::new();
    for (at, path) in paths.iter().enumerate() {
        let to = copies.path().join(at.to_string());
        std::fs::create_dir(&to).expect("the folder can be created");
        for entry in std::fs::read_dir(path).expect("the folder can be read") {
            let entry = entry.expect("the entry can be read");
            std::fs::copy(entry.path(), to.join(entry.file_name()))
                .expect("the file can be copied");
        }
        copied_folders.push(to);
    }
    let paths: Vec<&Path> = copied_folders
        .iter()
        .map(|folder| folder.as_path())
        .collect();
    let hosts = open(&paths);
    let leader_host = leader(&hosts).await;
    let current = tokio::time::timeout(TIMEOUT, leader_host.handle.read())
        .await
        .expect("the read ends in time");
    let newest = current
        .expect("the leader can read")
        .newest
        .expect("there is a document");
    assert_eq!(newest.document.version, 40);
    assert_eq!(&*newest.source, b"40");
}

// A replica that cannot reach a majority must neither acknowledge a document nor answer a read, because it cannot
// know which document is the newest.
#[tokio::test]
async fn minority_acknowledges_nothing() {
    let folder = Folder::new();
    let hosts = open(&[folder.path()]);
    let own = hosts[0].handle.state().introduction;
    let mut other = own.clone();
    other.host = Name::new("10.0.0.2").expect("the name is valid");
    other.replica = primrose_consensus::membership::Id(7);
    hosts[0].handle.send(Input::Form(vec![own, other]));
    assert_eq!(hosts[0].handle.put(document(1)).await, Outcome::NotLeader);
    assert!(
        hosts[0].handle.read().await.is_none(),
        "a replica without a majority answered a read"
    );
}

// A replica that was removed while it was unreachable must start again as a new replica, or it would request votes
// forever.
#[tokio::test]
async fn reset_replica_gets_a_new_id() {
    let folder = Folder::new();
    let hosts = open(&[folder.path()]);
    let before = hosts[0].handle.state().introduction.replica;
    hosts[0].handle.send(Input::Reset);
    let replaced = async {
        while hosts[0].handle.state().introduction.replica == before {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, replaced)
        .await
        .expect("the replica gets a new id in time");
    assert!(
        hosts[0].handle.state().introduction.is_empty,
        "the reset replica still has entries or a term"
    );
}

// A voter that was frozen asks whether it is still a member, and empties its disk if it was removed. It must not be told so
// as long as the removal is not committed: with one of the other disks lost, the log would have no majority.
#[tokio::test]
async fn voter_is_not_told_of_a_removal_that_is_not_committed() {
    let folders = [(); 4].map(|()| Folder::new());
    let paths: Vec<&Path> = folders.iter().map(|folder| folder.path()).collect();
    let hosts = open(&paths);
    form_fleet(&hosts[..3]);
    let leader = leader(&hosts[..3]).await;
    let newcomer = hosts[3].handle.state().introduction;
    let has_learner = async {
        while leader.handle.state().members.len() < 4 {
            leader.handle.introduce(newcomer.clone()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, has_learner)
        .await
        .expect("the newcomer becomes a learner");
    let mut others = hosts[..3].iter().filter(|host| host.name != leader.name);
    let (frozen, down) = (
        others.next().expect("a voter"),
        others.next().expect("a voter"),
    );
    let introduction = frozen.handle.state().introduction;
    let cut_off = |host: &hosts::Host| {
        let mut cut_off = host.cut_off.lock().expect("not poisoned");
        cut_off.push(host.name.clone());
    };
    cut_off(frozen);
    // The leader removes a voter after 3 s of silence. It notices later that the other one does not answer either.
    tokio::time::sleep(Duration::from_millis(2_850)).await;
    cut_off(down);
    let end = tokio::time::Instant::now() + Duration::from_secs(1);
    while tokio::time::Instant::now() < end {
        // The introduction counts as a sign of life, so the log must not need it while the removal is awaited.
        if leader
            .handle
            .state()
            .members
            .iter()
            .all(|member| member.host != frozen.name)
        {
            let answer = leader.handle.introduce(introduction.clone()).await;
            let is_retired = answer.expect("the thread answers").is_retired;
            assert!(!is_retired, "the removal is not committed");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
