//! Datagrams between hosts with any content, and what follows from those that can be decoded.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_fleet::directory::{self, Directory};
use primrose_fleet::message::{Packet, Update};
use primrose_place::{Placer, Server, Settings};
use primrose_route::Document;
use primrose_route::document::{Engine, Pool};
use primrose_wire::datagram;
use primrose_wire::key::Key;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::ser::SerializeTuple;
use serde::{Serialize, Serializer};

/// Bytes that are encoded as they are, so that a datagram with a right tag has any content.
struct Raw<'a>(&'a [u8]);

impl Serialize for Raw<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

fn content() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        4 => (0..4_u8).prop_map(|byte| vec![byte]),
        1 => any::<u8>().prop_map(|byte| vec![byte]),
        1 => Just([vec![0xff; 9], vec![1]].concat()),
        1 => Just(vec![0xff, 0xff, 0xff, 0xff, 0x0f]),
        1 => Just(b"\x01p".to_vec()),
    ];
    prop::collection::vec(piece, 0..60).prop_map(|pieces| pieces.concat())
}

fn placer() -> Placer {
    let mut placer = Placer::new(Settings::default());
    placer.set_servers(&[Server {
        id: "p".into(),
        pool: "p".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "p".into(),
        slots: 1,
        draining: false,
        cold: false,
    }]);
    let engine = Engine {
        slots: 1,
        cache_tokens: 1_000,
        token_bytes: Some(1),
        link_mbps: 1.0,
    };
    placer.set_document(&Arc::new(Document {
        pools: vec![Pool {
            name: "p".into(),
            max_connections: 1,
            engine: Some(engine),
            warmup: None,
        }],
        ..Document::default()
    }));
    placer
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

    // Whatever a datagram contains, it is decoded or refused, and a core host can act on it.
    #[test]
    fn any_content_of_a_datagram_is_handled(variant in 0..8_u8, content in content()) {
        let key = Key::new(&[1; 32]).expect("32 bytes are enough");
        let bytes = [vec![variant], content].concat();
        let Ok(sealed) = datagram::seal(&key, &Raw(&bytes)) else {
            return Ok(());
        };
        let (now, mut placer) = (Time::from_ms(10), placer());
        match datagram::open::<Packet>(&key, &sealed) {
            Ok(Packet::Place(demand)) => {
                placer.place(now, &demand);
                placer.record_first_event(now, demand.key);
            }
            Ok(Packet::Updates(updates)) => for update in updates {
                match update {
                    Update::Assigned { demand, server } => placer.record_assignment(now, &demand, &server),
                    Update::FirstEvent(key) => placer.record_first_event(now, key),
                    Update::End { key, outcome } => placer.record_end(now, key, outcome),
                    Update::Crashed(server) => {
                        placer.record_crash(now, &server);
                    }
                    Update::Broken(server) => placer.record_broken(now, &server),
                }
            },
            Ok(Packet::Heartbeat(heartbeat)) => {
                placer.merge_quarantine(now, &heartbeat.quarantine.latest);
                if let Some(freshness) = heartbeat.directory {
                    directory::compare(Some(now), Some((Directory::default().fingerprint(), now)), freshness);
                }
            }
            Ok(Packet::Hello { quarantine, .. }) => {
                placer.merge_quarantine(now, &quarantine);
            }
            Ok(_) | Err(datagram::Error::Encoding) => {}
            Err(error) => prop_assert!(false, "{error}"),
        }
    }
}
