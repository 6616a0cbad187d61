//! Core hosts that read the list of servers, in one process on loopback addresses.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use primrose_base::name::Name;
use primrose_fleet::core_host::{self, ReadServers};
use primrose_fleet::peers::{self, Links};
use primrose_fleet::replica::{self, Input, Outcome};
use primrose_fleet::store::Stored;
use primrose_observe::Meter;
use primrose_place::demand::{Demand, Key as DemandKey};
use primrose_place::placer::Decision;
use primrose_place::warmup::Bound;
use primrose_place::{Server, Settings};
use primrose_route::Document;
use primrose_wire::key::Key;
use slog::{Discard, Logger, o};
use tarpc::context;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

const PORT: u16 = 27_400;

/// How long the platform takes for the answer that is held back.
const HELD_BACK: Duration = Duration::from_secs(3);

/// How long the hosts are watched after that answer has arrived: more than one read of the list.
const WATCHED: Duration = Duration::from_millis(1_500);

fn key() -> Key {
    Key::new(b"a key of 32 bytes for this test!").expect("the key is long enough")
}

fn servers(draining: bool) -> Vec<Server> {
    vec![Server {
        id: "i-0".into(),
        pool: "desk".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "north".into(),
        slots: 1,
        draining,
        cold: false,
    }]
}

/// Starts a core host that knows the host `other`.
async fn bind(
    own: Ipv4Addr,
    other: Ipv4Addr,
    folder: &Path,
    read_servers: ReadServers,
) -> replica::Handle {
    let name = |address: Ipv4Addr| Name::new(&address.to_string()).expect("the name is valid");
    let meter = Arc::new(Meter::new(&primrose_fleet::counter::ALL, &[]));
    let log = Logger::root(Discard, o!());
    let (outgoing, received) = mpsc::unbounded_channel();
    let replica = replica::open(
        folder,
        replica::Inputs {
            host: name(own),
            domain: "north".into(),
            is_first_start: true,
            tolerated_losses: 1,
            outgoing,
            meter: Arc::clone(&meter),
            log: log.clone(),
        },
    )
    .expect("the folder can be opened");
    let (_, seeds) = watch::channel(vec![name(own), name(other)]);
    core_host::bind(core_host::Inputs {
        host: name(own),
        domain: "north".into(),
        port: PORT,
        seeds,
        may_form_fleet: false,
        key: key(),
        replica: replica.clone(),
        outgoing: received,
        read_servers,
        read_cached_parts: Arc::new(|_| Box::pin(async { Ok(Vec::new()) })),
        is_restarted: false,
        placer_settings: Settings::default(),
        warmup_bound: Bound {
            overshoot: 1.0,
            slack: 0.0,
        },
        meter,
        log,
    })
    .await
    .expect("the sockets can be bound");
    replica
}

/// Whether the list that a host gives out shows the server as draining; `None` if it has no list.
async fn shows_draining(links: &Links, host: Ipv4Addr) -> Option<bool> {
    let (directory, _) = peers::directory(links, SocketAddrV4::new(host, PORT)).await?;
    Some(directory.servers()[0].draining)
}

// Guards against a list of servers that counts as new because its answer was handled late, by a host that was frozen for
// example: it would replace the newer list of the other hosts, which would send requests to a server that leaves.
#[tokio::test]
async fn list_that_was_called_for_earlier_replaces_no_newer_one() {
    let [low, high] = (std::process::id() as u16).to_le_bytes();
    let host = |at: u8| Ipv4Addr::new(127, 83, low, (high & 0x3f) * 4 + at);
    let folders = [(); 2].map(|()| tempfile::tempdir().expect("a folder can be created"));
    let calls = AtomicUsize::new(0);
    let slow: ReadServers = Arc::new(move || {
        let call = calls.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            // The answer is that of the time of the call, and only the second one is late.
            if call == 1 {
                sleep(HELD_BACK).await;
            }
            Ok(servers(call > 1))
        })
    });
    let start = Instant::now();
    let leader = bind(host(0), host(1), folders[0].path(), slow).await;
    leader.send(Input::Form(vec![leader.state().introduction]));
    let quick: ReadServers = Arc::new(move || {
        // The server begins to drain after the leader has called for its list.
        let draining = start.elapsed() > Duration::from_millis(1_600);
        Box::pin(async move { Ok(servers(draining)) })
    });
    let _other = bind(host(1), host(0), folders[1].path(), quick).await;
    let links = peers::links(key());
    let mut has_shown = false;
    while start.elapsed() < HELD_BACK + Duration::from_secs(1) + WATCHED {
        let draining = shows_draining(&links, host(1)).await;
        assert!(
            draining == Some(true) || !has_shown,
            "an older list has replaced a newer one after {:?}",
            start.elapsed()
        );
        has_shown |= draining == Some(true);
        sleep(Duration::from_millis(5)).await;
    }
    assert!(has_shown, "no host has read the newer list");
    assert_eq!(shows_draining(&links, host(0)).await, Some(true));
}

/// Asks the host at this address for a server. `None` if it decides nothing.
async fn place(links: &Links, host: Ipv4Addr, sequence: u64) -> Option<Decision> {
    let demand = Demand {
        key: DemandKey { entry: 1, sequence },
        pool: "desk".into(),
        account: None,
        domain: "north".into(),
        prompt: None,
        objective_ms: 1_000,
        waited_ms: 0,
        remaining_ms: 5_000,
        returning: false,
        tried: Vec::new(),
    };
    let call = peers::call(links, SocketAddrV4::new(host, PORT), |client| async move {
        client.place(context::current(), demand).await
    });
    call.await.expect("the host can be reached")
}

// A core host that was started again while there is no leader has a list of servers and no document. It once placed
// requests without the limits of their pools, and servers that warm up got several times as many as they may.
#[tokio::test]
async fn host_without_a_document_places_no_request() {
    let [low, high] = (std::process::id() as u16).to_le_bytes();
    let host = Ipv4Addr::new(127, 84, low, (high & 0x3f) * 4);
    let folder = tempfile::tempdir().expect("a folder can be created");
    let read: ReadServers = Arc::new(|| Box::pin(async { Ok(servers(false)) }));
    let replica = bind(host, host, folder.path(), read).await;
    let links = peers::links(key());
    while shows_draining(&links, host).await.is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(place(&links, host, 1).await, None);
    replica.send(Input::Form(vec![replica.state().introduction]));
    let document = Stored {
        document: Arc::new(Document {
            version: 1,
            ..Document::default()
        }),
        source: b"1"[..].into(),
    };
    let start = Instant::now();
    while !matches!(replica.put(document.clone()).await, Outcome::Applied(_)) {
        assert!(start.elapsed() < HELD_BACK, "the document is not stored");
        sleep(Duration::from_millis(5)).await;
    }
    let start = Instant::now();
    while place(&links, host, 2).await.is_none() {
        assert!(start.elapsed() < HELD_BACK, "no request is placed");
        sleep(Duration::from_millis(5)).await;
    }
}
