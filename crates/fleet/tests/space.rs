//! Replicas of the log of documents whose disks are full for a time.

#[path = "support/hosts.rs"]
mod hosts;

use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hosts::{Host, TIMEOUT, document, form_fleet, leader};
use primrose_consensus::Disk;
use primrose_consensus::files::{Files, Operation};
use primrose_fleet::replica::Outcome;
use primrose_fleet::storage::Storage;
use primrose_fleet::store::{Reply, Stored};

/// A folder that refuses appends while the flag is set, after it has written half of the bytes.
struct Folder {
    folder: hosts::Folder,
    is_full: Arc<AtomicBool>,
}

impl Folder {
    fn new() -> Folder {
        Folder {
            folder: hosts::Folder::new(),
            is_full: Arc::default(),
        }
    }

    fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::SeqCst);
    }

    fn storage(&self) -> Storage {
        let path = self.folder.path().to_owned();
        let is_full = Arc::clone(&self.is_full);
        Storage {
            open: Box::new(move |options| {
                Disk::open_files(files(&path, Arc::clone(&is_full)), options)
            }),
            ..Storage::folder(self.folder.path())
        }
    }
}

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

/// Puts a document as an operator does: at one host after another until it is stored. Returns the other outcomes.
async fn put(hosts: &[Host], stored: &Stored) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let put = async {
        loop {
            for host in hosts {
                match host.handle.put(stored.clone()).await {
                    Outcome::Applied(Reply::Stored) => return,
                    outcome => outcomes.push(outcome),
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, put)
        .await
        .expect("the document is stored in time");
    outcomes
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

fn newest_version(host: &Host) -> u64 {
    let newest = host.handle.follow_newest();
    let newest = newest.borrow();
    newest.as_ref().map_or(0, |stored| stored.document.version)
}

// Full disks, one after another, must not stop the fleet from storing documents, and each host must catch up by itself
// when its disk has room again. The disk of the leader comes first in each round.
#[tokio::test]
async fn documents_are_stored_while_one_disk_is_full() {
    let folders: Vec<Folder> = (0..3).map(|_| Folder::new()).collect();
    let hosts = hosts::open(folders.iter().map(Folder::storage));
    form_fleet(&hosts);
    let mut version = 0;
    for _ in 0..2 {
        let first = leader(&hosts).await.name.clone();
        let first = hosts.iter().position(|host| host.name == first);
        let first = first.expect("the leader is one of the hosts");
        for at in (0..3).map(|shift| (first + shift) % 3) {
            folders[at].set_full(true);
            // More than one snapshot and more than one segment are due while the disk is full.
            for _ in 0..40 {
                version += 1;
                put(&hosts, &document(version)).await;
            }
            let handle = &hosts[at].handle;
            assert!(!handle.state().is_leading, "a host with a full disk leads");
            until("the host notices the full disk", || {
                handle.state().full_since.is_some()
            })
            .await;
            folders[at].set_full(false);
            until("the host has room and the newest document", || {
                handle.state().full_since.is_none() && newest_version(&hosts[at]) == version
            })
            .await;
        }
    }
    let current = leader(&hosts).await.handle.read().await;
    let newest = current.expect("the leader reads").newest;
    assert_eq!(newest.expect("a document").document.version, version);
}

// A leader whose disk is full must say at once that it has not stored a document, and that must be true: the same
// version can be stored with another content, and the refused content never appears.
#[tokio::test]
async fn refused_document_is_never_stored() {
    let folders: Vec<Folder> = (0..3).map(|_| Folder::new()).collect();
    let hosts = hosts::open(folders.iter().map(Folder::storage));
    form_fleet(&hosts);
    put(&hosts, &document(1)).await;
    let leading = leader(&hosts).await;
    let at = hosts.iter().position(|host| host.name == leading.name);
    let at = at.expect("the leader is one of the hosts");
    folders[at].set_full(true);
    let refused = Stored {
        source: b"refused"[..].into(),
        ..document(2)
    };
    let outcome = tokio::time::timeout(TIMEOUT, hosts[at].handle.put(refused))
        .await
        .expect("the put is answered in time");
    assert_eq!(outcome, Outcome::DiskFull);
    put(&hosts, &document(2)).await;
    folders[at].set_full(false);
    put(&hosts, &document(3)).await;
    until("the host has the newest document", || {
        newest_version(&hosts[at]) == 3
    })
    .await;
}

// A host whose disk is full when it starts must start nevertheless, must not take part in forming a fleet before it
// knows what is on its disk, and must continue by itself.
#[tokio::test]
async fn folder_is_opened_when_the_disk_has_room() {
    let folder = Folder::new();
    folder.set_full(true);
    let hosts = hosts::open([folder.storage()].into_iter());
    let handle = &hosts[0].handle;
    let state = handle.state();
    assert!(state.full_since.is_some() && !state.introduction.is_empty);
    assert_eq!(handle.put(document(1)).await, Outcome::DiskFull);
    assert!(handle.read().await.is_none(), "a read was answered");
    folder.set_full(false);
    until("the folder is opened", || {
        handle.state().introduction.is_empty
    })
    .await;
    assert_eq!(handle.state().full_since, None);
    form_fleet(&hosts);
    put(&hosts, &document(1)).await;
}
