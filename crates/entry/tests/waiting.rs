//! Requests that the placer lets wait at their entry host.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use primrose_base::name::Name;
use primrose_entry::{counter, link, waiting};
use primrose_fleet::directory::Freshness;
use primrose_fleet::message::{Packet, Status};
use primrose_observe::Meter;
use primrose_place::Demand;
use primrose_place::demand::Key;
use primrose_place::placer::{Decision, Reason};
use primrose_place::quarantine::list::Summary;
use primrose_wire::datagram;
use primrose_wire::key::Key as FleetKey;
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

fn demand() -> Arc<Demand> {
    Arc::new(Demand {
        key: Key {
            entry: 1,
            sequence: 7,
        },
        pool: "engines".into(),
        account: None,
        domain: "north".into(),
        prompt: None,
        objective_ms: 100,
        waited_ms: 5,
        remaining_ms: 1_000,
        returning: false,
        tried: Vec::new(),
    })
}

// A request that waits must stay the same request to the placer: with another key it would be counted, and perhaps
// assigned, a second time. The placer must learn how long it has waited, since a successor knows nothing of it.
#[tokio::test]
async fn a_request_asks_again_with_the_same_key_until_it_is_decided() {
    let refusal = Decision::Refuse {
        reason: Reason::Overload,
        retry_after_ms: 300,
        wait_ms: 0,
    };
    let asked = Mutex::new(Vec::new());
    let ask = |demand: Arc<Demand>| {
        let mut asked = asked.lock().expect("no panic");
        asked.push((demand.key, demand.waited_ms, demand.remaining_ms));
        std::future::ready(match asked.len() {
            3 => refusal.clone(),
            _ => Decision::Wait { again_ms: 30 },
        })
    };
    let never = std::future::pending;
    let placed = waiting::place(&demand(), ask, || Some(900), never).await;
    assert_eq!(placed.decision, refusal);
    assert_eq!(placed.asks, 3);
    assert!(placed.waited_ms >= 60, "{} ms", placed.waited_ms);
    let asked = asked.into_inner().expect("no panic");
    assert!(asked.iter().all(|(key, ..)| *key == demand().key));
    assert!(asked[1].1 >= 35 && asked[2].1 >= 65, "{asked:?}");
    assert_eq!(asked[2].2, 900);
}

// A request whose deadline passes, or whose host stops, while it waits must get an answer then, even if the placer would
// let it wait for longer.
#[tokio::test]
async fn a_request_that_ends_stops_waiting() {
    let wait = |_| std::future::ready(Decision::Wait { again_ms: 60_000 });
    let passed = || tokio::time::sleep(Duration::from_millis(20));
    let placed = waiting::place(&demand(), wait, || Some(900), passed).await;
    assert_eq!(placed.decision, Decision::Wait { again_ms: 60_000 });
    assert!(placed.waited_ms < 500, "{} ms", placed.waited_ms);
    let never = std::future::pending;
    let soon = |_| std::future::ready(Decision::Wait { again_ms: 1 });
    let placed = waiting::place(&demand(), soon, || None, never).await;
    assert_eq!(placed.asks, 1);
}

/// The number of entry hosts in the status of a core host.
const ENTRY_HOSTS: u32 = 3;

fn fleet_key() -> FleetKey {
    FleetKey::new(&[7; 32]).expect("the key is valid")
}

/// Plays a core host whose status states this version of the document. It answers hellos, and as many placement requests
/// as given, with a wait. Then it is lost.
async fn play_core_host(socket: UdpSocket, version: u64, waits: usize) {
    let mut buffer = [0; 2_048];
    let mut answered = 0;
    while answered < waits {
        let (length, source) = socket.recv_from(&mut buffer).await.expect("a datagram");
        let reply = match datagram::open(&fleet_key(), &buffer[..length]).expect("a packet") {
            Packet::Hello { stamp, .. } => Packet::Status(Status {
                host: Name::new("127.0.0.1").expect("a name"),
                incarnation: 1,
                domain: "north".into(),
                core_hosts: Vec::new(),
                leader: None,
                term: 1,
                version,
                directory: Some(Freshness {
                    fingerprint: 1,
                    age_ms: 0,
                }),
                answers: stamp,
                entry_hosts: ENTRY_HOSTS,
                smallest_capacity: 0,
                largest_capacity: 0,
                quarantine: Summary::default(),
                crossing: Vec::new(),
                figures: Vec::new(),
                drained: Default::default(),
            }),
            Packet::Place(demand) => {
                answered += 1;
                let decision = Decision::Wait { again_ms: 50 };
                Packet::Decision {
                    key: demand.key,
                    decision,
                }
            }
            _ => continue,
        };
        let bytes = datagram::seal(&fleet_key(), &reply).expect("a datagram");
        socket.send_to(&bytes, source).await.expect("it is sent");
    }
}

/// An entry host and its core host, which lets four requests wait.
struct Hosts {
    core: JoinHandle<()>,
    link: link::Handle,
    meter: Arc<Meter>,
    _seeds: watch::Sender<Vec<Name>>,
}

async fn open(version: u64) -> Hosts {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let core_port = socket.local_addr().expect("an address").port();
    let core = tokio::spawn(play_core_host(socket, version, 4));
    let (sender, seeds) = watch::channel(vec![Name::new("127.0.0.1").expect("a name")]);
    let meter = Arc::new(Meter::new(&counter::ALL, &counter::LATENCIES));
    let settings = primrose_place::Settings {
        waiting: true,
        ..primrose_place::Settings::default()
    };
    let link = link::bind(link::Inputs {
        address: "127.0.0.1:0".parse().expect("an address"),
        domain: "north".into(),
        core_port,
        capacity: 1,
        seeds,
        key: fleet_key(),
        placer_settings: settings,
        meter: Arc::clone(&meter),
        log: Logger::root(slog::Discard, slog::o!()),
    });
    Hosts {
        core,
        link: link.await.expect("the address can be bound"),
        meter,
        _seeds: sender,
    }
}

// A wait is an answer: a core host that lets requests wait must not be suspected to be down. If it is lost while a request
// waits, the entry host must still decide, and alone it must not let the request wait again.
#[tokio::test]
async fn a_request_that_waits_is_decided_after_the_loss_of_the_core_host() {
    let Hosts {
        core, link, meter, ..
    } = &mut open(1).await;
    // Before the first status, the host decides alone.
    while link.place(&demand()).await != (Decision::Wait { again_ms: 50 }) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let repeated = ["ask_repeated", "core_suspected"].map(|name| meter.value(name));
    assert_eq!(repeated, [0, 0]);
    let alone = meter.value("ask_local");
    let ask = |demand: Arc<Demand>| {
        let link = link.clone();
        async move { link.place(&demand).await }
    };
    let placed = waiting::place(&demand(), ask, || Some(900), std::future::pending).await;
    core.await.expect("the core host ended");
    assert!(
        matches!(
            placed.decision,
            Decision::Refuse {
                reason: Reason::NoServer,
                ..
            }
        ),
        "{:?}",
        placed.decision
    );
    assert_eq!(placed.asks, 4);
    assert_eq!(meter.value("ask_local"), alone + 1);
}

// A core host without a document does not know the limits of pools, so an entry host must decide alone. Servers that warm
// up once got several times as many requests as they may.
#[tokio::test]
async fn a_core_host_without_a_document_is_not_asked() {
    let Hosts {
        core, link, meter, ..
    } = &open(0).await;
    while link.state().entry_hosts != ENTRY_HOSTS {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for _ in 0..10 {
        let decision = link.place(&demand()).await;
        assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(meter.value("ask_local"), 10);
    assert_eq!(meter.value("ask_repeated"), 0);
    assert!(!core.is_finished());
}
