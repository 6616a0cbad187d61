//! Replicas of the log of documents on real disks, with messages passed by hand.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use primrose_base::name::Name;
use primrose_fleet::replica::{self, Handle, Input, Inputs, Outcome};
use primrose_fleet::store::{Reply, Stored};
use primrose_observe::Meter;
use primrose_route::Document;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc;

/// The longest wait for something that happens within an election.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Host {
    name: Name,
    handle: Handle,
}

/// Opens a replica on each folder and passes messages between them.
fn open(folders: &[&Path]) -> Vec<Host> {
    let (passed, mut messages) = mpsc::unbounded_channel::<(Name, replica::Outgoing)>();
    let mut hosts = Vec::new();
    for (at, folder) in folders.iter().enumerate() {
        let name = Name::new(&format!("10.0.0.{}", at + 1)).expect("a name");
        let (outgoing, mut sent) = mpsc::unbounded_channel();
        let inputs = Inputs {
            host: name.clone(),
            domain: "north".into(),
            is_first_start: true,
            tolerated_losses: 1,
            outgoing,
            meter: Arc::new(Meter::new(&[], &[])),
            log: Logger::root(Discard, o!()),
        };
        let handle = replica::open(folder, inputs).expect("opens");
        let (from, passed) = (name.clone(), passed.clone());
        tokio::spawn(async move {
            while let Some(outgoing) = sent.recv().await {
                let _ = passed.send((from.clone(), outgoing));
            }
        });
        hosts.push(Host { name, handle });
    }
    let handles: Vec<(Name, Handle)> = hosts
        .iter()
        .map(|host| (host.name.clone(), host.handle.clone()))
        .collect();
    tokio::spawn(async move {
        while let Some((sender, outgoing)) = messages.recv().await {
            if let Some((_, handle)) = handles.iter().find(|(name, _)| *name == outgoing.host) {
                let messages = outgoing.messages;
                let sender = sender.clone();
                handle.send(Input::Messages { sender, messages });
            }
        }
    });
    hosts
}

async fn leader(hosts: &[Host]) -> &Host {
    let search = async {
        loop {
            if let Some(host) = hosts.iter().find(|host| host.handle.state().is_leading) {
                return host;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, search)
        .await
        .expect("a leader")
}

fn form_fleet(hosts: &[Host]) {
    let introductions = hosts.iter().map(|host| host.handle.state().introduction);
    hosts[0].handle.send(Input::Form(introductions.collect()));
}

fn document(version: u64) -> Stored {
    Stored {
        document: Arc::new(Document {
            version,
            ..Document::default()
        }),
        source: version.to_string().as_bytes().into(),
    }
}

// What was acknowledged must be read back, from the leader only, and after all processes were killed and started again.
#[tokio::test]
async fn an_acknowledged_document_survives_a_restart_of_all() {
    let folders: Vec<tempfile::TempDir> = (0..3)
        .map(|_| tempfile::tempdir().expect("a folder"))
        .collect();
    let paths: Vec<&Path> = folders.iter().map(|folder| folder.path()).collect();
    let copies = tempfile::tempdir().expect("a folder");
    {
        let hosts = open(&paths);
        form_fleet(&hosts);
        let leading = leader(&hosts).await;
        for version in 1..=40 {
            let put = leading.handle.put(document(version)).await;
            assert_eq!(put, Outcome::Applied(Reply::Stored), "version {version}");
        }
        let follower = hosts
            .iter()
            .find(|host| host.name != leading.name)
            .expect("three hosts");
        assert!(follower.handle.read().await.is_none());
        assert_eq!(follower.handle.put(document(99)).await, Outcome::NotLeader);
    }
    // The threads still hold the folders; a kill leaves the files as they are.
    let mut copied = Vec::new();
    for (at, path) in paths.iter().enumerate() {
        let to = copies.path().join(at.to_string());
        std::fs::create_dir(&to).expect("creates");
        for entry in std::fs::read_dir(path).expect("lists") {
            let entry = entry.expect("an entry");
            std::fs::copy(entry.path(), to.join(entry.file_name())).expect("copies");
        }
        copied.push(to);
    }
    let paths: Vec<&Path> = copied.iter().map(|folder| folder.as_path()).collect();
    let hosts = open(&paths);
    let leading = leader(&hosts).await;
    let current = tokio::time::timeout(TIMEOUT, leading.handle.read())
        .await
        .expect("an answer");
    let newest = current
        .expect("the leader reads")
        .newest
        .expect("a document");
    assert_eq!(newest.document.version, 40);
    assert_eq!(&*newest.source, b"40");
}

// A host without the others must neither acknowledge nor answer a read: it cannot know what is the newest.
#[tokio::test]
async fn a_minority_acknowledges_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = open(&[folder.path()]);
    let own = hosts[0].handle.state().introduction;
    let mut other = own.clone();
    other.host = Name::new("10.0.0.2").expect("a name");
    other.replica = primrose_consensus::membership::Id(7);
    hosts[0].handle.send(Input::Form(vec![own, other]));
    assert_eq!(hosts[0].handle.put(document(1)).await, Outcome::NotLeader);
    assert!(hosts[0].handle.read().await.is_none());
}

// A replica that was removed while it was away must come back as a new one, or it would ask for votes forever.
#[tokio::test]
async fn a_removed_replica_starts_anew() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = open(&[folder.path()]);
    let before = hosts[0].handle.state().introduction.replica;
    hosts[0].handle.send(Input::Reset);
    let renewed = async {
        while hosts[0].handle.state().introduction.replica == before {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, renewed)
        .await
        .expect("a new replica");
    assert!(hosts[0].handle.state().introduction.is_empty);
}
