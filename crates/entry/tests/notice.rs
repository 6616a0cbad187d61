//! Tests of the register of servers that leave, pause or are in drained domains, in virtual time.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_entry::notice::{Availability, Block, MAX_PAUSE_MS, MIN_ABSENCE_MS, Notice, Register};
use primrose_place::Server;
use primrose_place::drained::Set;

const LEAVING: Notice = Notice {
    is_leaving: true,
    pause_ms: None,
};

const NOTHING: Notice = Notice {
    is_leaving: false,
    pause_ms: None,
};

fn pause(ms: u64) -> Notice {
    Notice {
        is_leaving: false,
        pause_ms: Some(ms),
    }
}

fn at(ms: u64) -> Time {
    Time::from_ms(1_000_000 + ms)
}

fn server(id: &str, pool: &str, draining: bool) -> Server {
    Server {
        id: id.into(),
        pool: pool.into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        domain: "north".into(),
        slots: 4,
        draining,
        cold: false,
    }
}

fn ready(ids: &[&str]) -> Vec<Server> {
    let servers = ids.iter().map(|id| server(id, "desk", false));
    servers.collect()
}

/// A register whose list names these servers of one pool as ready.
fn register(ids: &[&str]) -> Register {
    let mut register = Register::default();
    register.set_servers(at(0), &ready(ids));
    register
}

fn record(register: &mut Register, now: Time, id: &str, notice: Notice) -> Notice {
    register.record(now, &Arc::from(id), notice)
}

// A newer list that still names a server as ready must not undo that it leaves, however often it comes; nor must an
// answer without the notice, which may be older than the one with it.
#[test]
fn departure_survives_newer_lists() {
    let mut register = register(&["a", "b"]);
    assert_eq!(record(&mut register, at(0), "a", LEAVING), LEAVING);
    assert_eq!(
        record(&mut register, at(1), "a", LEAVING),
        NOTHING,
        "known already"
    );
    assert_eq!(record(&mut register, at(1), "a", NOTHING), NOTHING);
    for second in 0..1_000 {
        let now = at(second * 1_000);
        let extra = format!("c-{second}");
        register.set_servers(now, &ready(&["a", "b", &extra]));
        assert_eq!(register.block(now, "a"), Some(Block::Leaving), "{second} s");
        assert_eq!(register.block(now, "b"), None);
    }
}

// A list that misses a server once, because it changed while its pages were read, must not undo its departure either,
// and a list that shows it as draining changes nothing.
#[test]
fn departure_survives_short_absence() {
    let mut register = register(&["a", "b"]);
    record(&mut register, at(0), "a", LEAVING);
    register.set_servers(at(1_000), &ready(&["b"]));
    register.set_servers(at(2_000), &ready(&["b", "c"]));
    register.set_servers(at(1_000 + MIN_ABSENCE_MS - 1), &ready(&["a", "b"]));
    let now = at(10_000);
    assert_eq!(register.block(now, "a"), Some(Block::Leaving));
    // The absences of two gaps must not be added.
    register.set_servers(now, &ready(&["b"]));
    register.set_servers(at(10_001), &ready(&["a", "b"]));
    assert_eq!(register.block(at(10_001), "a"), Some(Block::Leaving));
    register.set_servers(at(11_000), &[server("a", "desk", true)]);
    assert_eq!(register.block(at(11_000), "a"), Some(Block::Leaving));
}

// A server may be started again under its id. If its departure held on, this host would never use it again.
#[test]
fn restarted_server_is_used_again() {
    let mut absent = register(&["a", "b"]);
    record(&mut absent, at(0), "a", LEAVING);
    absent.set_servers(at(1_000), &ready(&["b"]));
    absent.set_servers(at(1_000 + MIN_ABSENCE_MS), &ready(&["a", "b"]));
    assert_eq!(absent.block(at(5_000), "a"), None);
    let mut drained = register(&["a"]);
    record(&mut drained, at(0), "a", LEAVING);
    drained.set_servers(at(1_000), &[server("a", "desk", true)]);
    drained.set_servers(at(2_000), &ready(&["a"]));
    assert_eq!(drained.block(at(2_000), "a"), None);
}

// The same if the list showed the server as draining before it said that it leaves.
#[test]
fn restarted_server_that_was_draining_is_used_again() {
    let mut register = Register::default();
    register.set_servers(at(0), &[server("a", "desk", true)]);
    record(&mut register, at(0), "a", LEAVING);
    assert_eq!(register.block(at(500), "a"), Some(Block::Leaving));
    register.set_servers(at(1_000), &ready(&["a"]));
    assert_eq!(register.block(at(1_000), "a"), None);
}

// A pause must last for the whole time that the server stated, and no longer than the rounding to milliseconds needs.
#[test]
fn pause_lasts_for_its_whole_time() {
    let mut register = register(&["a"]);
    assert_eq!(
        record(&mut register, at(0), "a", pause(1_500)),
        pause(1_500)
    );
    for ms in 0..=1_500 {
        let block = register.block(at(ms), "a");
        assert_eq!(block, Some(Block::Paused(at(1_501))), "after {ms} ms");
    }
    assert_eq!(register.block(at(1_501), "a"), None);
    // The next pause is a new one.
    assert_eq!(record(&mut register, at(2_000), "a", pause(10)), pause(10));
}

// Refusals of requests that were sent before the pause arrive later and may state a shorter time. A list must not end
// a pause, even if it shows that the server is used again.
#[test]
fn pause_is_not_shortened() {
    let mut register = register(&["a"]);
    record(&mut register, at(0), "a", pause(5_000));
    assert_eq!(
        record(&mut register, at(10), "a", pause(100)),
        NOTHING,
        "known already"
    );
    assert_eq!(record(&mut register, at(20), "a", NOTHING), NOTHING);
    register.set_servers(at(1_000), &[server("a", "desk", true)]);
    register.set_servers(at(2_000), &ready(&["a"]));
    assert_eq!(
        register.block(at(5_000), "a"),
        Some(Block::Paused(at(5_001)))
    );
    record(&mut register, at(4_000), "a", pause(5_000));
    assert_eq!(
        register.block(at(9_000), "a"),
        Some(Block::Paused(at(9_001)))
    );
    assert_eq!(register.block(at(9_001), "a"), None);
}

// A huge time must neither overflow nor make a server useless for ever.
#[test]
fn huge_pause_is_bounded() {
    let mut register = register(&["a"]);
    record(&mut register, at(0), "a", pause(u64::MAX));
    assert!(register.block(at(MAX_PAUSE_MS), "a").is_some());
    assert_eq!(register.block(at(MAX_PAUSE_MS + 1), "a"), None);
    let mut late = Register::default();
    let now = Time::from_ms(u64::MAX - 5);
    record(&mut late, now, "a", pause(u64::MAX));
    assert!(late.block(now, "a").is_some());
}

// A server that leaves after a pause has begun, or pauses while it leaves, must not be used when the pause is over.
#[test]
fn departure_outlasts_a_pause() {
    let mut register = register(&["a"]);
    let both = Notice {
        is_leaving: true,
        pause_ms: Some(100),
    };
    assert_eq!(record(&mut register, at(0), "a", both), both);
    assert_eq!(register.block(at(0), "a"), Some(Block::Leaving));
    register.set_servers(at(1_000), &ready(&["a", "b"]));
    assert_eq!(register.block(at(1_000), "a"), Some(Block::Leaving));
}

// If no server of a pool may get requests, callers must be told so at once, with the time until the first is free.
// Servers of other pools and those that are draining must not count.
#[test]
fn availability_is_that_of_the_whole_pool() {
    let mut register = Register::default();
    assert_eq!(register.availability(at(0), "desk"), Availability::Open);
    let servers = [
        server("a", "desk", false),
        server("b", "desk", false),
        server("c", "desk", true),
        server("d", "other", false),
    ];
    register.set_servers(at(0), &servers);
    record(&mut register, at(0), "a", pause(3_000));
    assert_eq!(register.availability(at(0), "desk"), Availability::Open);
    record(&mut register, at(0), "b", pause(2_000));
    let until = Availability::Paused(at(2_001));
    assert_eq!(register.availability(at(0), "desk"), until);
    assert_eq!(register.availability(at(0), "other"), Availability::Open);
    assert_eq!(register.availability(at(0), "unknown"), Availability::Open);
    assert_eq!(register.availability(at(2_001), "desk"), Availability::Open);
    record(&mut register, at(0), "b", LEAVING);
    let until = Availability::Paused(at(3_001));
    assert_eq!(register.availability(at(0), "desk"), until);
    record(&mut register, at(0), "a", LEAVING);
    assert_eq!(register.availability(at(0), "desk"), Availability::Leaving);
}

// The servers that a placement request excludes must be those of its pool, and no more than fit into a datagram.
#[test]
fn blocked_servers_are_those_of_the_pool() {
    let mut register = Register::default();
    let mut servers = ready(&["a", "b", "c"]);
    servers.push(server("d", "other", false));
    register.set_servers(at(0), &servers);
    record(&mut register, at(0), "a", LEAVING);
    record(&mut register, at(0), "c", pause(100));
    record(&mut register, at(0), "d", LEAVING);
    let blocked = register.blocked(at(50), "desk", 16);
    assert_eq!(blocked, ["a".into(), "c".into()]);
    assert_eq!(register.blocked(at(50), "desk", 1), ["a".into()]);
    assert_eq!(register.blocked(at(200), "desk", 16), ["a".into()]);
}

// On a host that runs for long, the register must not grow with the servers that have come and gone, nor with those
// that paused once.
#[test]
fn register_is_bounded_by_the_list() {
    let mut pauses = register(&["a", "b"]);
    record(&mut pauses, at(0), "a", pause(100));
    record(&mut pauses, at(200), "b", pause(100));
    assert_eq!(pauses.len(), 1, "the first pause is over");
    let mut register = Register::default();
    for second in 0..5_000_u64 {
        let now = at(second * 1_000);
        let id = format!("i-{second}");
        register.set_servers(now, &ready(&[&id]));
        record(&mut register, now, &id, LEAVING);
        // An answer of a server that has left the list already.
        record(&mut register, now, &format!("gone-{second}"), LEAVING);
        record(&mut register, now, &format!("paused-{second}"), pause(500));
        assert!(register.len() <= 16, "{} entries", register.len());
    }
    register.set_servers(at(6_000_000), &[]);
    register.set_servers(at(6_010_000), &[]);
    assert!(register.is_empty(), "{} entries", register.len());
}

/// A register with a server in each of the domains `north` and `south`, of which these are drained.
fn drained(domains: &[&str]) -> Register {
    let south = Server {
        domain: "south".into(),
        ..server("b", "desk", false)
    };
    let mut register = Register::default();
    register.set_servers(at(0), &[server("a", "desk", false), south]);
    register.set_drained(&set(2, domains));
    register
}

fn set(revision: u64, domains: &[&str]) -> Set {
    Set {
        revision,
        domains: domains.iter().map(|&name| name.into()).collect(),
    }
}

// A server may have been assigned before its domain was drained, or may not be in the list of this host yet. It must get
// no request, and a set that arrives late must not change that.
#[test]
fn server_in_drained_domain_is_blocked() {
    let mut register = drained(&["south"]);
    register.set_drained(&set(1, &[]));
    assert_eq!(register.block(at(0), "a"), None);
    assert_eq!(register.block(at(0), "b"), Some(Block::Drained));
    assert_eq!(register.blocked(at(0), "desk", 9), [Arc::from("b")]);
    let unlisted = Server {
        domain: "south".into(),
        ..server("c", "desk", false)
    };
    assert_eq!(
        register.block_assigned(at(0), &unlisted),
        Some(Block::Drained)
    );
    assert_eq!(register.availability(at(0), "desk"), Availability::Open);
    // A departure is final, and ends a server as planned.
    record(&mut register, at(0), "b", LEAVING);
    assert_eq!(register.block(at(0), "b"), Some(Block::Leaving));
    register.set_drained(&set(3, &[]));
    assert_eq!(register.block_assigned(at(0), &unlisted), None);
}

// Callers must be refused at once if no server of the pool may get requests, and told when one can be used again.
#[test]
fn pool_in_drained_domains_is_not_available() {
    let mut register = drained(&["north", "south"]);
    assert_eq!(register.availability(at(0), "desk"), Availability::Drained);
    assert_eq!(register.availability(at(0), "other"), Availability::Open);
    record(&mut register, at(0), "a", LEAVING);
    assert_eq!(register.availability(at(0), "desk"), Availability::Drained);
    register.set_drained(&set(3, &["north"]));
    record(&mut register, at(0), "b", pause(500));
    let availability = register.availability(at(0), "desk");
    assert!(matches!(availability, Availability::Paused(until) if until > at(499)));
}
