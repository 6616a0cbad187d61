//! Requests that do not fit into a datagram.

use primrose_fleet::message::{Packet, Update, fits_into_datagram};
use primrose_place::demand::{Demand, Key, Part, Prompt};
use primrose_wire::datagram;
use primrose_wire::key::Key as FleetKey;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn demand(name: String, tried: Vec<String>, ids: Vec<u64>, tokens: u32) -> Demand {
    let parts = ids.into_iter().map(|id| Part { id, tokens });
    Demand {
        key: Key {
            entry: u64::MAX,
            sequence: u64::MAX,
        },
        pool: name.as_str().into(),
        account: Some(name.as_str().into()),
        domain: name.into(),
        prompt: Some(Prompt {
            model: u64::MAX,
            parts: parts.collect(),
            input_tokens: u32::MAX,
            output_tokens: u32::MAX,
        }),
        objective_ms: u32::MAX,
        waited_ms: u32::MAX,
        remaining_ms: u32::MAX,
        returning: true,
        tried: tried.iter().map(|server| server.as_str().into()).collect(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A demand that is sent as a datagram but does not fit would be dropped, and its request placed without the core hosts.
    #[test]
    fn demand_is_sent_as_a_datagram_only_if_it_fits(
        name in "[a-z]{1,256}",
        tried in prop::collection::vec("[a-z]{1,256}", 0..17),
        ids in prop::collection::vec(any::<u64>(), 0..150),
        small in any::<bool>(),
        tokens in any::<u32>(),
    ) {
        let ids = ids.into_iter().map(|id| if small { id % 256 } else { id }).collect();
        let demand = demand(name, tried, ids, tokens);
        if fits_into_datagram(&demand) {
            let key = FleetKey::new(&[1; 32]).expect("32 bytes are enough");
            let assigned = Update::Assigned { demand: demand.clone(), server: "x".repeat(256).into() };
            prop_assert!(datagram::seal(&key, &Packet::Place(demand)).is_ok());
            prop_assert!(datagram::seal(&key, &Packet::Updates(vec![assigned])).is_ok());
        }
    }
}

// Short prompts, which nearly all requests have, take the faster way.
#[test]
fn usual_demand_is_sent_as_a_datagram() {
    let ids = (0..60).map(|id| u64::MAX - id).collect();
    let tried = vec!["i-7f3a91c2".to_owned(); 4];
    assert!(fits_into_datagram(&demand(
        "nyarugenge".to_owned(),
        tried,
        ids,
        500
    )));
}
