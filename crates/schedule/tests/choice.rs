//! Tests of server choice.

use primrose_base::clock::Time;
use primrose_base::id::Server;
use primrose_schedule::choice::{
    Candidate, Change, Directory, EVENT_LIFETIME_MS, Pick, Prefix, Reason,
};

const NOW: Time = Time::from_ms(1_000);

fn servers(count: u32) -> Vec<Candidate> {
    let candidate = |server| Candidate {
        server: Server(server),
        idle: 1,
        busy: 2,
        slots: 8,
    };
    (1..=count).map(candidate).collect()
}

fn prefix(number: u32) -> Prefix {
    Prefix::of(format!("{number:0>64}").as_bytes()).expect("prompt is long enough")
}

fn pick(server: u32, reason: Reason) -> Pick {
    Pick {
        server: Server(server),
        reason,
    }
}

fn choose(directory: &Directory, number: u32, candidates: &[Candidate]) -> Pick {
    let chosen = directory.choose(NOW, Some(prefix(number)), candidates);
    chosen.expect("a server has an idle slot")
}

// Guards against hosts that choose different servers for a prefix and thereby fill every cache with it, against an
// uneven distribution of prefixes, and against the removal of a server moving prefixes of the remaining servers.
#[test]
fn hash_is_balanced_and_moves_only_prefixes_of_a_removed_server() {
    let directory = Directory::default();
    let all = servers(5);
    let mut counts = [0; 5];
    for number in 0..1_000 {
        let pick = choose(&directory, number, &all);
        assert_eq!(pick.reason, Reason::Hash);
        counts[pick.server.0 as usize - 1] += 1;
        let without_fifth = choose(&directory, number, &all[..4]);
        assert!(pick.server == Server(5) || pick == without_fifth);
    }
    println!("prefixes per server: {counts:?}");
    assert!(counts.iter().all(|count| (150..250).contains(count)));
}

// Guards against prompts that differ only after the first KiB having different prefixes, and against short prompts
// having a prefix, which would direct many requests to one server.
#[test]
fn prefix_is_the_first_kib() {
    let long = vec![b'a'; 1_024];
    let longer = [&long[..], b"b"].concat();
    assert_eq!(Prefix::of(&long), Prefix::of(&longer));
    assert_ne!(Prefix::of(&long), Prefix::of(&long[1..]));
    assert_eq!(Prefix::of(&long[..63]), None);
}

// Guards against the choice of a server without an idle slot because it has cached the prefix or is first by hash.
#[test]
fn servers_without_idle_slots_are_not_chosen() {
    let mut directory = Directory::default();
    let mut all = servers(3);
    directory.record(NOW, Server(2), 1, Change::Stored(prefix(7)));
    assert_eq!(choose(&directory, 7, &all), pick(2, Reason::Cached));
    all[1].idle = 0;
    assert_ne!(choose(&directory, 7, &all).server, Server(2));
    all.iter_mut().for_each(|candidate| candidate.idle = 0);
    assert_eq!(directory.choose(NOW, Some(prefix(7)), &all), None);
    assert_eq!(directory.choose(NOW, None, &[]), None);
}

// Guards against one frequent prefix filling a server while others are idle, and against requests without a prefix
// going to a server that is not the least loaded one.
#[test]
fn least_loaded_is_the_fallback() {
    let directory = Directory::default();
    let mut all = servers(3);
    let preferred = choose(&directory, 7, &all).server.0 as usize - 1;
    all[preferred].busy = 7;
    assert_eq!(choose(&directory, 7, &all).reason, Reason::LeastLoaded);
    (all[0].busy, all[1].busy, all[2].busy) = (3, 1, 3);
    assert_eq!(
        directory.choose(NOW, None, &all),
        Some(pick(2, Reason::LeastLoaded))
    );
}

// Guards against an evicted prefix that is regarded as cached because events are late or missing, and against a lost
// restart event after which all later events of the server are treated as late and ignored.
#[test]
fn events_may_be_late_or_missing() {
    let mut directory = Directory::default();
    let all = servers(2);
    let reason = |directory: &Directory, number| choose(directory, number, &all).reason;
    let stored = |number| Change::Stored(prefix(number));
    let removed = |number| Change::Removed(prefix(number));
    let mut record = |sequence, change, number, expected| {
        directory.record(NOW, Server(1), sequence, change);
        assert_eq!(
            reason(&directory, number),
            expected,
            "{sequence} {change:?}"
        );
    };
    record(10, stored(1), 1, Reason::Cached);
    record(11, removed(1), 1, Reason::Hash);
    record(9, stored(1), 1, Reason::Hash);
    record(12, stored(2), 2, Reason::Cached);
    record(15, stored(1), 1, Reason::Cached);
    record(16, stored(1), 2, Reason::MaybeCached);
    record(14, removed(2), 2, Reason::Hash);
    record(0, Change::Cleared, 1, Reason::Hash);
    record(1_000, stored(1), 1, Reason::Cached);
    (1..100).for_each(|sequence| directory.record(NOW, Server(1), sequence, stored(2)));
    assert_eq!(reason(&directory, 2), Reason::Cached);
    let late = NOW.plus_ms(EVENT_LIFETIME_MS + 1);
    let chosen = directory.choose(late, Some(prefix(2)), &all);
    assert_eq!(chosen.map(|pick| pick.reason), Some(Reason::Hash));
}

// Guards against unbounded memory use when there are events of many prefixes, and against the eviction of recent
// entries.
#[test]
fn memory_is_bounded() {
    let mut directory = Directory::new(100);
    for number in 0..10_000u32 {
        let now = Time::from_ms(u64::from(number / 7));
        let (server, sequence) = (Server(number % 3), u64::from(number / 3));
        directory.record(now, server, sequence, Change::Stored(prefix(number)));
        assert!(
            directory.len() <= 100,
            "{} entries, the capacity is 100",
            directory.len()
        );
    }
    assert!(
        directory.len() > 80,
        "{} entries left, expected more than 80",
        directory.len()
    );
    directory.record(NOW, Server(1), 9_999, Change::Stored(prefix(5)));
    assert_eq!(choose(&directory, 5, &servers(2)).reason, Reason::Cached);
    (0..3).for_each(|server| directory.remove_server(Server(server)));
    assert!(directory.is_empty());
}
