//! Replicas of the log in one process. The messages between them are delivered without a network.

use std::io;
use std::path::Path;
use std::sync::{Arc, LazyLock, Mutex};
use std::thread;
use std::time::Duration;

use primrose_base::name::Name;
use primrose_fleet::replica::{self, Handle, Input, Inputs};
use primrose_fleet::storage::Storage;
use primrose_fleet::store::Stored;
use primrose_observe::{Meter, log};
use primrose_route::Document;
use slog::{Drain, Level, LevelFilter, Logger, o};
use tempfile::TempDir;
use tokio::sync::mpsc;

/// The longest wait for an event that includes an election.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone)]
pub(crate) struct Host {
    pub(crate) name: Name,
    pub(crate) handle: Handle,
    /// The hosts to and from which no messages are delivered. All hosts share the list.
    #[allow(dead_code, reason = "not all test files cut hosts off")]
    pub(crate) cut_off: Arc<Mutex<Vec<Name>>>,
}

/// Writes the errors of the replicas to the standard error output, past the capture of the test harness: a replica whose
/// disk fails ends the process of the test, and nothing else would tell the cause.
static ERRORS: LazyLock<Logger> = LazyLock::new(|| {
    let opened = log::open_output("test", io::stderr());
    let (log, _) = opened.expect("the thread can be started");
    Logger::root(LevelFilter::new(log, Level::Error).ignore_res(), o!())
});

/// A temporary folder for a replica. It is kept if the test fails, since the thread of the replica may still write then,
/// for example after a stall of the disk. A write to a removed folder would end the process, and with it the other tests
/// and the output of the failed one.
pub(crate) struct Folder(TempDir);

impl Folder {
    pub(crate) fn new() -> Folder {
        Folder(tempfile::tempdir().expect("a folder can be created"))
    }

    pub(crate) fn path(&self) -> &Path {
        self.0.path()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        self.0.disable_cleanup(thread::panicking());
    }
}

/// Opens a replica on each storage and delivers the messages between them.
pub(crate) fn open(storages: impl Iterator<Item = Storage>) -> Vec<Host> {
    let (sender, mut messages) = mpsc::unbounded_channel::<(Name, replica::Outgoing)>();
    let mut hosts = Vec::new();
    let cut_off = Arc::<Mutex<Vec<Name>>>::default();
    for (at, storage) in storages.enumerate() {
        let name = Name::new(&format!("10.0.0.{}", at + 1)).expect("the name is valid");
        let (outgoing, mut sent) = mpsc::unbounded_channel();
        let inputs = Inputs {
            host: name.clone(),
            domain: "north".into(),
            is_first_start: true,
            tolerated_losses: 1,
            outgoing,
            meter: Arc::new(Meter::new(&primrose_fleet::counter::ALL, &[])),
            log: ERRORS.clone(),
        };
        let handle = replica::open_storage(storage, inputs).expect("the folder can be opened");
        let (from, sender) = (name.clone(), sender.clone());
        tokio::spawn(async move {
            while let Some(outgoing) = sent.recv().await {
                let _ = sender.send((from.clone(), outgoing));
            }
        });
        hosts.push(Host {
            name,
            handle,
            cut_off: Arc::clone(&cut_off),
        });
    }
    let handles: Vec<(Name, Handle)> = hosts
        .iter()
        .map(|host| (host.name.clone(), host.handle.clone()))
        .collect();
    tokio::spawn(async move {
        while let Some((sender, outgoing)) = messages.recv().await {
            let is_cut_off = |host: &Name| cut_off.lock().expect("not poisoned").contains(host);
            if is_cut_off(&sender) || is_cut_off(&outgoing.host) {
                continue;
            }
            if let Some((_, handle)) = handles.iter().find(|(name, _)| *name == outgoing.host) {
                let messages = outgoing.messages;
                let sender = sender.clone();
                handle.send(Input::Messages { sender, messages });
            }
        }
    });
    hosts
}

pub(crate) async fn leader(hosts: &[Host]) -> &Host {
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
        .expect("a leader is elected")
}

pub(crate) fn form_fleet(hosts: &[Host]) {
    let introductions = hosts.iter().map(|host| host.handle.state().introduction);
    hosts[0].handle.send(Input::Form(introductions.collect()));
}

pub(crate) fn document(version: u64) -> Stored {
    Stored {
        document: Arc::new(Document {
            version,
            ..Document::default()
        }),
        source: version.to_string().as_bytes().into(),
    }
}
