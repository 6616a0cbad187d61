//! Servers crash while they send a stream that has neither a length nor chunks. See review/11 and review/12.

mod world;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use world::*;

const REQUESTS: u64 = 8;

/// With the downtime of a server, at most 2 of 12 are down at the same time.
const INTERVAL_MS: u64 = 4_500;

fn main() {
    let record = Record::open();
    // In the mode `resumed`, streams may be resumed, and the server that resumes one crashes too, before its first event. In
    // the mode `untyped`, streams may not be resumed, and answers do not name their media type.
    let is_resumed = std::env::var("MODE").is_ok_and(|mode| mode == "resumed");
    let behaviour = Behaviour {
        down_ms: 4_000,
        is_unframed: true,
        names_type: is_resumed || std::env::var("MEDIA_TYPE").is_ok(),
        breaks: has_trouble(),
        ..Behaviour::default()
    };
    let events = behaviour.events;
    let network = network();
    let platform = Platform::start(network, &[("primrose-llm", 12)], &behaviour, &record);
    let fleet = Fleet::start(network, &platform, &record);
    let config = config(1, "primrose-llm", &["primrose-llm"], is_resumed);
    if !fleet.put(&config, 15_000) || !wait_ready(&fleet, 15_000) {
        record.say("the fleet does not serve");
        drop(fleet);
        std::process::exit(2);
    }
    let (tally, stop) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    sound_clients(&fleet, 20, 900.0, &tally, &stop);
    sleep_ms(4_000);
    let (mut sent, mut wrong) = (0, 0);
    for at in 0..REQUESTS {
        let request = Request {
            attempt: format!("cut{at:013x}"),
            tenant: at % 16,
            shared: sound_parts(at % 16, at),
            last: format!("{at:x}77"),
        };
        let mut body = Vec::new();
        let answer = send_and_keep(fleet.fronts[(at % 9) as usize], &request, &mut body);
        let text = String::from_utf8_lossy(&body).into_owned();
        let is_whole = text.contains(&format!("id: {events}\n")) && text.ends_with("\n\n");
        sent += 1;
        if answer == Answer::Complete && !is_whole {
            wrong += 1;
        }
        record.line(&format!(
            "{} ends for its client: {answer:?}, whole: {is_whole}, body {text:?}",
            request.attempt
        ));
        sleep_ms(INTERVAL_MS);
    }
    stop.store(true, Ordering::Relaxed);
    sleep_ms(500);
    record.say(&format!(
        "processes that ended by themselves: {:?}",
        fleet.ended()
    ));
    record.say(&format!("other requests: {}", tally.text()));
    record.say(&format!(
        "{wrong} of {sent} streams ended as complete for their clients without their last event"
    ));
    let broken = wrong > 0;
    record.say(if broken {
        "ORDER is broken"
    } else {
        "ORDER held"
    });
    let names = fleet.names();
    fleet.kill(&names);
    let can_judge = can_judge(&platform.seen, &tally, REQUESTS as usize);
    std::process::exit(if can_judge { i32::from(broken) } else { 2 });
}
