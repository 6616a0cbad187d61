//! The capacity that hosts report to each other.

use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_entry::{counter, link};
use primrose_fleet::message::{Packet, Stamp, Status};
use primrose_observe::Meter;
use primrose_place::quarantine::list::Summary;
use primrose_wire::datagram::{self, MAX_DATAGRAM_BYTES};
use primrose_wire::key::Key;
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// The status of a core host that knows entry hosts of these capacities.
fn status(smallest_capacity: u32, largest_capacity: u32) -> Status {
    Status {
        host: Name::new("127.0.0.1").expect("the name is valid"),
        incarnation: 1,
        domain: "north".into(),
        core_hosts: Vec::new(),
        leader: None,
        term: 1,
        version: 0,
        directory: None,
        answers: Stamp {
            incarnation: 0,
            sent: Time::ZERO,
        },
        entry_hosts: 2,
        smallest_capacity,
        largest_capacity,
        quarantine: Summary::default(),
        crossing: Vec::new(),
        figures: Vec::new(),
        drained: Default::default(),
    }
}

// Without the capacities of the others, a small host would not know that it is small and would close its listener in a
// flood.
#[tokio::test]
async fn entry_host_reports_its_capacity_and_learns_those_of_the_fleet() {
    let key = Key::new(&[7; 32]).expect("the key is valid");
    let core = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let host = Name::new("127.0.0.1").expect("the name is valid");
    let (_sender, seeds) = watch::channel(vec![host]);
    let link = link::bind(link::Inputs {
        address: "127.0.0.1:0".parse().expect("the address is valid"),
        domain: "north".into(),
        capacity: 90,
        core_port: core.local_addr().expect("an address").port(),
        seeds,
        key: key.clone(),
        placer_settings: primrose_place::Settings::default(),
        meter: Arc::new(Meter::new(&counter::ALL, &counter::LATENCIES)),
        log: Logger::root(slog::Discard, slog::o!()),
    });
    let link = link.await.expect("the address can be bound");
    assert_eq!(link.state().capacities, (0, 0));
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    for capacities in [(90, 300), (90, 90)] {
        let (length, from) = core.recv_from(&mut buffer).await.expect("a hello");
        let packet = datagram::open(&key, &buffer[..length]);
        let capacity = match packet.expect("a packet") {
            Packet::Hello { capacity, .. } => Some(capacity),
            _ => None,
        };
        assert_eq!(capacity, Some(90));
        let answer = Packet::Status(status(capacities.0, capacities.1));
        let bytes = datagram::seal(&key, &answer).expect("it fits");
        core.send_to(&bytes, from).await.expect("it is sent");
        let learnt = async {
            while link.state().capacities != capacities {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let learnt = tokio::time::timeout(Duration::from_secs(5), learnt).await;
        learnt.expect("the capacities are learnt");
    }
}
