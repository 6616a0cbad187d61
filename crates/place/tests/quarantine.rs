//! Which prompt parts are quarantined because they crash servers.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};

use primrose_base::clock::Time;
use primrose_place::demand::{Demand, Part, Prompt};
use primrose_place::placer::{Decision, Outcome, Placer, Reason};
use primrose_place::quarantine::list::{MAX_NOTICES, Notice, RETENTION_MS, Record};
use primrose_place::quarantine::{
    BEGINNING_MS, Crash, Key, MAX_SUSPICIONS, MEMORY_MS, QUARANTINE_MS, Register, Suspect,
};
use primrose_place::{Server, Settings};
use test_case::test_case;

const POOL: &str = "pool";

fn keys(parts: &[u64]) -> Vec<Key> {
    let mut keys: Vec<Key> = parts.iter().map(|part| Key::new(POOL, *part)).collect();
    keys.sort_unstable();
    keys
}

/// A record of these notices.
fn told(notices: &[Notice]) -> Record {
    Record {
        notices: notices.to_vec(),
        ..Record::default()
    }
}

/// A register, and the time of its next event.
struct Scene {
    register: Register,
    now: Time,
}

impl Scene {
    fn new() -> Scene {
        Scene {
            register: Register::default(),
            now: Time::from_ms(10_000),
        }
    }

    /// The crash of a server, with requests of these parts that were assigned 200 ms before.
    fn crash(&mut self, server: u8, requests: &[&[u64]]) -> Option<Notice> {
        let crash = self.crash_of(server, requests);
        self.register.record_crash(self.now, &crash, true)
    }

    fn crash_of(&self, server: u8, requests: &[&[u64]]) -> Crash {
        let suspects = requests.iter().map(|parts| Suspect {
            keys: keys(parts),
            assigned: Time::from_ms(self.now.as_ms() - 200),
        });
        Crash {
            server: format!("i-{server}").into(),
            pool: POOL.into(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, server), 80),
            servers: 18,
            suspects: suspects.collect(),
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
    }

    /// Crashes that are more than a second apart, of the servers 1, 2 and so on.
    fn crashes(&mut self, requests: &[&[&[u64]]]) -> Vec<Notice> {
        let mut notices = Vec::new();
        for (at, requests) in requests.iter().enumerate() {
            self.wait(1_100);
            notices.extend(self.crash(at as u8 + 1, requests));
        }
        notices
    }

    fn is_refused(&self, parts: &[u64]) -> bool {
        let remaining_ms = self.register.remaining_ms(self.now, &keys(parts));
        remaining_ms.is_some()
    }
}

// The placer sent requests with a crashing part to one server after the other. Sound parts of other requests on the same
// servers must not be refused.
#[test]
fn part_that_crashes_three_servers_is_quarantined() {
    let mut scene = Scene::new();
    let notices = scene.crashes(&[&[&[9, 1], &[2]], &[&[9, 3], &[4]], &[&[9, 5], &[1]]]);
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].parts(), "9");
    assert!(scene.is_refused(&[9]) && scene.is_refused(&[7, 9]));
    for sound in [&[1, 2][..], &[3, 4], &[5], &[]] {
        assert!(!scene.is_refused(sound), "{sound:?}");
    }
    // A part with the same id in another pool is another part.
    let other = [Key::new("other", 9)];
    assert_eq!(scene.register.remaining_ms(scene.now, &other), None);
}

// A failure domain that loses power ends many servers at once, on all of which there are requests with popular parts.
#[test]
fn servers_that_end_together_quarantine_no_part() {
    let mut scene = Scene::new();
    for server in 1..=12 {
        assert_eq!(scene.crash(server, &[&[1], &[2]]), None);
        scene.wait(5);
    }
    assert!(!scene.is_refused(&[1]));
}

// Servers of which each ends for a cause of its own, while requests with a popular part are served by others.
#[test_case(true ; "answers that are complete")]
#[test_case(false ; "answers that have begun and go on")]
fn answered_part_is_cleared(is_complete: bool) {
    let mut scene = Scene::new();
    for server in 1..=10 {
        scene.wait(1_100);
        assert_eq!(scene.crash(server, &[&[1]]), None);
        if is_complete {
            scene
                .register
                .record_served(scene.now, scene.now, &keys(&[1]));
        } else {
            let begun = scene.now;
            scene
                .register
                .record_begun(begun, &"i-99".into(), &keys(&[1]));
            scene.wait(BEGINNING_MS);
        }
    }
    assert!(!scene.is_refused(&[1]));
}

// A server that ends just after the first event of an answer may have ended because of that answer.
#[test]
fn answer_whose_server_ends_at_once_clears_no_part() {
    let mut scene = Scene::new();
    let mut notice = None;
    for server in 1..=3 {
        scene.wait(1_100);
        let id = format!("i-{server}").into();
        scene.register.record_begun(scene.now, &id, &keys(&[9]));
        scene.wait(BEGINNING_MS - 100);
        notice = scene.crash(server, &[&[9]]);
    }
    assert!(notice.is_some());
}

// A server that ends again and again, always with the requests that its cache attracts, must not condemn their parts.
#[test]
fn server_that_ends_repeatedly_quarantines_no_part() {
    let mut scene = Scene::new();
    for _ in 0..4 {
        scene.wait(1_100);
        assert_eq!(scene.crash(1, &[&[1]]), None);
    }
}

// A pool of one server, which the part ends each time.
#[test]
fn part_that_always_crashes_one_server_is_quarantined() {
    let mut scene = Scene::new();
    let mut count = 0;
    while !scene.is_refused(&[9]) {
        scene.wait(1_100);
        scene.crash(1, &[&[9, count]]);
        count += 1;
    }
    assert_eq!(count, 5);
}

// Many servers end, in a rolling failure, and a rare part was on three of them by chance.
#[test]
fn part_in_few_of_many_crashes_is_not_quarantined() {
    let mut scene = Scene::new();
    for server in 1..=24 {
        scene.wait(1_100);
        let own = 100 + u64::from(server);
        let rare = [1];
        let mut requests: Vec<&[u64]> = vec![std::slice::from_ref(&own)];
        if server % 8 == 0 {
            requests.push(&rare);
        }
        assert_eq!(scene.crash(server, &requests), None, "server {server}");
    }
}

// A sound part that was on three of the servers that another part ended. That part explains these crashes and more, even
// if it is itself found only later.
#[test]
fn sound_part_beside_a_crashing_one_is_not_quarantined() {
    let mut scene = Scene::new();
    let mut crash = |server: u8, requests: &[&[u64]], age_ms: u64| {
        scene.wait(1_100);
        let mut crash = scene.crash_of(server, requests);
        // The requests with the crashing part were under way for so long that their crashes count once.
        crash.suspects[0].assigned = Time::from_ms(scene.now.as_ms() - age_ms);
        scene.register.record_crash(scene.now, &crash, true)
    };
    assert_eq!(crash(1, &[&[9]], 200), None);
    for server in 2..=4 {
        assert_eq!(crash(server, &[&[9], &[1]], 9_000), None, "{server}");
    }
    let notice = (5..=7).find_map(|server| crash(server, &[&[9]], 200));
    assert_eq!(notice.expect("a part is found").parts(), "9");
    assert!(!scene.is_refused(&[1]));
    // The crashes that are explained no longer count against the sound part.
    scene.wait(1_100);
    assert_eq!(scene.crash(20, &[&[1]]), None);
}

// Two crashing parts at the same time, on the same servers now and then.
#[test]
fn two_crashing_parts_are_both_quarantined() {
    let mut scene = Scene::new();
    let requests: [&[&[u64]]; 9] = [
        &[&[8, 1]],
        &[&[9, 2], &[8, 3]],
        &[&[9, 1]],
        &[&[8, 4]],
        &[&[9, 5]],
        &[&[9, 6]],
        &[&[8, 7]],
        &[&[8, 2], &[9, 3]],
        &[&[9, 4]],
    ];
    let found: Vec<String> = scene.crashes(&requests).iter().map(Notice::parts).collect();
    assert_eq!(found, ["8", "9"]);
}

// An account sends a crashing part always together with a part that others use: the latter must not be refused alone.
#[test]
fn part_that_always_comes_with_a_crashing_one_is_served() {
    let together: &[&[u64]] = &[&[1, 9]];
    let mut scene = Scene::new();
    let notices = scene.crashes(&[together; 3]);
    assert_eq!(notices.len(), 1);
    assert!(scene.is_refused(&[1, 9]) && scene.is_refused(&[1, 2, 9]));
    assert!(!scene.is_refused(&[1]) && !scene.is_refused(&[9]));
    // A sound request with the shared part shows which one it is.
    scene
        .register
        .record_served(scene.now, scene.now, &keys(&[1]));
    assert!(scene.is_refused(&[9]) && scene.is_refused(&[2, 9]));
    assert!(!scene.is_refused(&[1]));
}

// Requests with a crashing part share all other parts with sound ones, and no answer comes between the first crash and the
// third. The group was cut to three parts, those with the lowest ids, and could lack the crashing one: all sound requests
// with these were refused, and none could show it.
#[test_case(4, 1 ; "4 parts, the crashing one first")]
#[test_case(4, 4 ; "4 parts, the crashing one last")]
#[test_case(40, 40 ; "40 parts")]
#[test_case(300, 150 ; "300 parts")]
fn group_has_all_parts_that_cannot_be_told_apart(count: u64, crashing: u64) {
    let mut scene = Scene::new();
    let all: Vec<u64> = (1..=count).collect();
    let shared: Vec<u64> = (1..=count).filter(|part| *part != crashing).collect();
    let together: &[&[u64]] = &[&all];
    let notices = scene.crashes(&[together; 3]);
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].keys, keys(&all));
    assert!(scene.is_refused(&all));
    assert!(!scene.is_refused(&shared));
    for part in &shared {
        assert!(!scene.is_refused(&[*part]));
    }
    scene
        .register
        .record_served(scene.now, scene.now, &keys(&shared));
    assert!(scene.is_refused(&[crashing]) && !scene.is_refused(&shared));
}

// The same, but the crashing part comes with another one first.
#[test]
fn crash_with_one_part_of_a_group_decides() {
    let together: &[&[u64]] = &[&[1, 9]];
    let mut scene = Scene::new();
    scene.crashes(&[together; 3]);
    scene.wait(1_100);
    let notice = scene.crash(4, &[&[2, 9]]);
    assert_eq!(notice.expect("a part is found").parts(), "9");
    assert!(scene.is_refused(&[9]) && !scene.is_refused(&[1]) && !scene.is_refused(&[2]));
}

// Two requests were on the same three servers. The next crash shows which one it was.
#[test]
fn parts_of_different_requests_are_told_apart() {
    let mut scene = Scene::new();
    let both: &[&[u64]] = &[&[1], &[9]];
    assert!(scene.crashes(&[both; 3]).is_empty());
    scene.wait(1_100);
    let notice = scene.crash(4, &[&[9]]);
    assert_eq!(notice.expect("a part is found").parts(), "9");
    assert!(!scene.is_refused(&[1]));
}

// A quarantine must end, so that servers that have been mended serve the part, but must not cost three servers each time.
#[test]
fn quarantine_ends_and_begins_again_with_one_crash() {
    let mut scene = Scene::new();
    let alone: &[&[u64]] = &[&[9]];
    scene.crashes(&[alone; 3]);
    scene.wait(QUARANTINE_MS - 1);
    assert!(scene.is_refused(&[9]));
    scene.wait(1);
    assert!(!scene.is_refused(&[9]));
    assert!(scene.register.notices(scene.now).is_empty());
    assert!(scene.crash(1, &[&[9, 3]]).is_some());
    assert!(scene.is_refused(&[9]));
    scene.wait(QUARANTINE_MS);
    scene
        .register
        .record_served(scene.now, scene.now, &keys(&[9]));
    scene.wait(1_100);
    assert_eq!(scene.crash(2, &[&[9]]), None, "the part was cleared");
}

// A day after the end of a quarantine, nothing is left of it. After a few minutes it was forgotten in the past, and three
// more servers were lost each time.
#[test]
fn crash_long_after_a_quarantine_counts_as_the_first() {
    let mut scene = Scene::new();
    let alone: &[&[u64]] = &[&[9]];
    scene.crashes(&[alone; 3]);
    scene.wait(QUARANTINE_MS + RETENTION_MS - 1);
    let mut before = Scene {
        register: scene.register.clone(),
        now: scene.now,
    };
    assert!(before.crash(1, &[&[9]]).is_some());
    scene.wait(1);
    assert_eq!(scene.crash(1, &[&[9]]), None);
    scene.wait(1_100);
    assert_eq!(scene.crash(2, &[&[9]]), None);
}

// Crashes that are further apart than a crash is remembered have nothing to do with each other.
#[test]
fn crashes_are_forgotten() {
    let mut scene = Scene::new();
    for server in 1..=5 {
        scene.wait(MEMORY_MS);
        assert_eq!(scene.crash(server, &[&[9]]), None);
    }
}

// A part of which one request comes in an hour ended one server after the other, since each crash was forgotten before the
// third one.
#[test]
fn part_that_crashes_a_server_each_hour_is_found() {
    let mut scene = Scene::new();
    for server in 1..=3 {
        scene.wait(3_600_000);
        let own = 20 + u64::from(server);
        assert_eq!(scene.crash(server, &[&[9, own]]).is_some(), server == 3);
    }
    assert!(scene.is_refused(&[9]));
}

// One of the three crashes had another cause, or the report that a request with the crashing part was there was lost. The part
// that all three have in common must not be refused alone: others use it.
#[test_case(0 ; "the first crash")]
#[test_case(1 ; "the second crash")]
fn shared_part_is_not_refused_because_of_one_other_crash(other: usize) {
    let mut scene = Scene::new();
    let both: &[&[u64]] = &[&[1, 9]];
    let shared: &[&[u64]] = &[&[1, 7]];
    let mut requests = [both; 3];
    requests[other] = shared;
    let notices = scene.crashes(&requests);
    assert_eq!(notices.len(), 1);
    assert!(scene.is_refused(&[1, 9]));
    assert!(!scene.is_refused(&[1, 7]) && !scene.is_refused(&[1]));
    // If it is the shared part after all, the next crash without the other one shows it.
    scene.wait(1_100);
    let notice = scene.crash(9, &[&[1, 5]]);
    assert_eq!(notice.expect("a part is found").parts(), "1");
}

// A sound part was quarantined, because all requests that were on the crashed servers had it. An answer that was under way
// shows that it crashes nothing: it must be served again, and other hosts must not bring its quarantine back.
#[test]
fn answer_ends_a_wrong_quarantine_on_all_hosts() {
    let mut scene = Scene::new();
    scene.crashes(&[&[&[1, 7]], &[&[1, 8]], &[&[1, 5]]]);
    assert!(scene.is_refused(&[1]));
    let mut others = [Register::default(), Register::default()];
    for other in &mut others {
        other.merge(scene.now, &scene.register.record(scene.now));
        assert!(other.remaining_ms(scene.now, &keys(&[1])).is_some());
    }
    // An answer to a request of before the first crash proves nothing.
    let early = Time::from_ms(10_000);
    scene.register.record_served(scene.now, early, &keys(&[1]));
    assert!(scene.is_refused(&[1]));
    let assigned = Time::from_ms(scene.now.as_ms() - 150);
    scene.wait(300);
    scene
        .register
        .record_served(scene.now, assigned, &keys(&[1]));
    assert!(!scene.is_refused(&[1]));
    for round in 0..20 {
        let now = scene.now.plus_ms(round * 200);
        let (summary, stale) = (scene.register.summary(now), others[1].record(now));
        scene.register.merge(now, &stale);
        others[0].merge(now, &stale);
        others[0].merge(now, &summary.latest);
        others[1].merge(now, &others[0].record(now));
    }
    for register in others.iter().chain([&scene.register]) {
        let now = scene.now.plus_ms(4_000);
        assert_eq!(register.remaining_ms(now, &keys(&[1])), None);
        assert_eq!(register.digest(now), scene.register.digest(now));
    }
    // Later crashes count again, also where the part was cleared.
    scene.wait(60_000);
    scene.crashes(&[&[&[1, 7]], &[&[1, 8]], &[&[1, 5]]]);
    assert!(scene.is_refused(&[1]));
    for other in &mut others {
        other.merge(scene.now, &scene.register.record(scene.now));
        assert!(other.remaining_ms(scene.now, &keys(&[1])).is_some());
    }
}

// A host that froze after the first event of an answer reports the crash of its server late. That answer must not end the
// quarantine of the part, nor take the crashing part off a group.
#[test_case(&[9], 1 ; "one part")]
#[test_case(&[1, 2, 9], 3 ; "a group")]
#[test_case(&[9, 10, 11], 3 ; "a group with the crashing part first")]
fn answer_that_has_only_begun_ends_no_quarantine(parts: &[u64], count: usize) {
    let mut scene = Scene::new();
    let deadly: &[&[u64]] = &[parts];
    scene.crashes(&[deadly; 3]);
    scene
        .register
        .record_begun(scene.now, &"i-99".into(), &keys(parts));
    scene.wait(BEGINNING_MS);
    // Other answers go on, too.
    scene
        .register
        .record_begun(scene.now, &"i-98".into(), &keys(parts));
    assert!(scene.is_refused(parts));
    let notices = scene.register.notices(scene.now);
    assert_eq!(notices[0].keys.len(), count);
}

// A host that has just started states ages that are longer than its process has run. They must not seem shorter to others.
#[test]
fn started_host_passes_on_old_decisions() {
    let mut scene = Scene::new();
    scene.now = Time::from_ms(10_000_000);
    scene.crashes(&[&[&[1, 7]], &[&[1, 8]], &[&[1, 5]]]);
    scene.wait(1_000);
    let now = scene.now;
    scene.register.record_served(now, now, &keys(&[1]));
    scene.wait(60_000);
    scene.crashes(&[&[&[1, 7]], &[&[1, 8]], &[&[1, 5]]]);
    scene.wait(120_000);
    assert!(scene.is_refused(&[1]));
    let (mut started, now) = (Register::default(), Time::from_ms(5));
    started.merge(now, &scene.register.record(scene.now));
    assert!(started.remaining_ms(now, &keys(&[1])).is_some());
    assert_eq!(started.digest(now), scene.register.digest(scene.now));
    let (before, after) = (scene.register.record(scene.now), started.record(now));
    assert_eq!(before, after);
}

// Prompts of long conversations have hundreds of parts. Those of the requests on one crashed server were more than were
// remembered, and the crashing part could be among those that were dropped.
#[test]
fn crashing_part_among_thousands_is_found() {
    let mut scene = Scene::new();
    for server in 1..=3 {
        scene.wait(1_100);
        let prompt = |request: u64| -> Vec<u64> {
            let first = 1_000_000 * u64::from(server) + 1_000 * request;
            (first..first + 300)
                .chain([9].into_iter().filter(|_| request == 0))
                .collect()
        };
        let prompts: Vec<Vec<u64>> = (0..48).map(prompt).collect();
        let requests: Vec<&[u64]> = prompts.iter().map(|prompt| &prompt[..]).collect();
        let notice = scene.crash(server, &requests);
        assert_eq!(notice.is_some(), server == 3);
    }
    assert!(scene.is_refused(&[9]));
    assert!(!scene.is_refused(&[1_000_000, 1_000_001]));
    // What was dropped is counted.
    assert!(scene.register.take_lost() > 0);
}

// All hosts of a fleet report the same crash.
#[test]
fn reports_of_one_crash_count_once() {
    let mut scene = Scene::new();
    for server in 1..=2 {
        scene.wait(1_100);
        for _ in 0..9 {
            assert_eq!(scene.crash(server, &[&[9]]), None);
            scene.wait(10);
        }
    }
    assert!(!scene.is_refused(&[9]));
}

// A core host that entry hosts do not ask may have missed the reports that clear a part.
#[test]
fn register_with_an_incomplete_view_quarantines_no_part() {
    let mut scene = Scene::new();
    for server in 1..=8 {
        scene.wait(1_100);
        let crash = scene.crash_of(server, &[&[9]]);
        let notice = scene.register.record_crash(scene.now, &crash, false);
        assert_eq!(notice, None);
    }
    // It knows the crashes when it is asked from then on.
    scene.wait(1_100);
    assert!(scene.crash(9, &[&[9]]).is_some());
}

// What one host has found holds on all, for as long as it holds there, however often they exchange it.
#[test]
fn notices_reach_other_hosts_and_end() {
    let mut scene = Scene::new();
    let alone: &[&[u64]] = &[&[9]];
    scene.crashes(&[alone; 3]);
    let mut other = Register::default();
    let end = scene.now.plus_ms(QUARANTINE_MS);
    let news = other.merge(scene.now, &scene.register.record(scene.now));
    assert_eq!(news.len(), 1);
    while scene.now < end {
        assert!(other.remaining_ms(scene.now, &keys(&[9])).is_some());
        // Each message takes 20 ms.
        let record = other.record(scene.now);
        scene.wait(20);
        assert!(scene.register.merge(scene.now, &record).is_empty());
        let record = scene.register.record(scene.now);
        scene.wait(20);
        assert!(other.merge(scene.now, &record).is_empty());
        scene.wait(160);
    }
    scene.wait(1_000);
    assert!(other.remaining_ms(scene.now, &keys(&[9])).is_none());
    assert!(!scene.is_refused(&[9]));
}

// Once it is known which part of a group crashes servers, other hosts that still name the group must not begin its
// quarantine anew with each message.
#[test]
fn group_that_is_resolved_is_not_taken_over_again() {
    let mut scene = Scene::new();
    let together: &[&[u64]] = &[&[1, 9]];
    scene.crashes(&[together; 3]);
    let group = scene.register.record(scene.now);
    scene
        .register
        .record_served(scene.now, scene.now, &keys(&[1]));
    assert!(scene.register.merge(scene.now, &group).is_empty());
    assert_eq!(scene.register.notices(scene.now).len(), 1);
    // The other host takes over what is known now in place of the group.
    let mut other = Register::default();
    other.merge(scene.now, &group);
    let news = other.merge(scene.now, &told(&scene.register.notices(scene.now)));
    assert_eq!(news.len(), 1);
    assert_eq!(other.notices(scene.now), scene.register.notices(scene.now));
}

// A host that has not noticed the end of a quarantine must not begin it anew on the others.
#[test]
fn late_notice_begins_no_quarantine_again() {
    let mut scene = Scene::new();
    let alone: &[&[u64]] = &[&[9]];
    scene.crashes(&[alone; 3]);
    scene.wait(QUARANTINE_MS + 100);
    let late = Notice {
        keys: keys(&[9]),
        remaining_ms: 50,
        repeats: 0,
        age_ms: QUARANTINE_MS - 50,
    };
    assert!(scene.register.merge(scene.now, &told(&[late])).is_empty());
    assert!(!scene.is_refused(&[9]));
}

// Damaged notices must not refuse requests without such parts, or for ever.
#[test_case(vec![], 1_000 ; "without parts")]
#[test_case((0..100_000).collect(), 1_000 ; "with too many parts")]
#[test_case(vec![5, 5], 1_000 ; "with a part twice")]
fn damaged_notice_is_ignored(parts: Vec<u64>, remaining_ms: u64) {
    let mut scene = Scene::new();
    let notice = Notice {
        keys: keys(&parts),
        remaining_ms,
        repeats: 0,
        age_ms: 0,
    };
    assert!(scene.register.merge(scene.now, &told(&[notice])).is_empty());
    assert!(!scene.is_refused(&parts) && !scene.is_refused(&[1]));
}

#[test]
fn notice_holds_no_longer_than_a_quarantine() {
    let mut scene = Scene::new();
    let notice = Notice {
        keys: keys(&[9]),
        remaining_ms: u64::MAX,
        repeats: 0,
        age_ms: 0,
    };
    scene.register.merge(scene.now, &told(&[notice]));
    assert!(scene.is_refused(&[9]));
    scene.wait(QUARANTINE_MS);
    assert!(!scene.is_refused(&[9]));
}

// An account that crashes servers with ever new parts must not fill the memory, or the datagrams that carry the notices.
#[test]
fn memory_is_bounded() {
    let mut scene = Scene::new();
    for round in 0..400_u64 {
        let parts: Vec<Vec<u64>> = (0..50).map(|at| vec![round * 100 + at, 1 << 40]).collect();
        let requests: Vec<&[u64]> = parts.iter().map(|parts| &parts[..]).collect();
        scene.wait(1_100);
        scene.crash(round as u8, &requests);
        let repeated = [round / 4];
        for server in 0..4 {
            scene.wait(1_100);
            scene.crash(server, &[&repeated]);
        }
    }
    assert!(scene.register.suspected() <= MAX_SUSPICIONS);
    let record = scene.register.record(scene.now);
    assert_eq!(record.notices.len(), MAX_NOTICES);
}

/// A placer with four engines, of which the fourth is draining.
fn placer() -> Placer {
    let server = |number: u32| Server {
        pool: POOL.into(),
        draining: number == 4,
        cold: false,
        ..support::engine(number)
    };
    let mut placer = Placer::new(Settings::default());
    placer.set_servers(&(1..=4).map(server).collect::<Vec<_>>());
    placer
}

fn demand(sequence: u64, shared: &[u64]) -> Demand {
    let part = |id: u64| Part { id, tokens: 50 };
    let parts = shared.iter().copied().chain([1_000 + sequence]);
    Demand {
        pool: POOL.into(),
        account: None,
        prompt: Some(Prompt {
            model: 1,
            parts: parts.map(part).collect(),
            input_tokens: 200,
            output_tokens: 10,
        }),
        objective_ms: 600,
        remaining_ms: 5_000,
        ..support::demand(sequence, 0, 0, 0)
    }
}

/// Assigns a request with the part 9 and one without it to each of three servers, which then end. The answers to the
/// requests had begun if `has_event`. Returns the next decision on a request with the part.
fn crash_three(
    placer: &mut Placer,
    now: &mut Time,
    has_event: bool,
    is_reported_before: bool,
) -> Decision {
    for number in 1..=3 {
        *now = now.plus_ms(1_100);
        let deadly = demand(number * 10, &[20 + number, 9]);
        let sound = demand(number * 10 + 1, &[40 + number]);
        placer.place(*now, &demand(number * 10 + 2, &[]));
        let server = format!("engine-0{number}");
        for request in [&deadly, &sound] {
            placer.record_assignment(*now, request, &server);
        }
        *now = now.plus_ms(100);
        if has_event {
            placer.record_first_event(*now, deadly.key);
        }
        *now = now.plus_ms(20);
        let ends = [&deadly, &sound].map(|request| request.key);
        let end = |placer: &mut Placer| {
            for key in ends {
                placer.record_end(*now, key, Outcome::Answered { failed: true });
            }
        };
        if is_reported_before {
            end(placer);
            placer.record_crash(*now, &server);
        } else {
            placer.record_crash(*now, &server);
            end(placer);
        }
    }
    placer.place(*now, &demand(90, &[8, 9]))
}

// Whether the reports of the requests or that of the crash come first, and whether the answers had begun, the placer
// refuses the fourth request.
#[test_case(false, false ; "crash reported first")]
#[test_case(false, true ; "requests reported first")]
#[test_case(true, false ; "crash after the first event reported first")]
#[test_case(true, true ; "requests with a first event reported first")]
fn placer_refuses_a_crashing_part(has_event: bool, is_reported_before: bool) {
    let (mut placer, mut now) = (placer(), Time::from_ms(10_000));
    let decision = crash_three(&mut placer, &mut now, has_event, is_reported_before);
    let Decision::Refuse {
        reason,
        retry_after_ms,
        ..
    } = decision
    else {
        panic!("the request was placed");
    };
    assert_eq!(reason, Reason::Quarantined);
    assert_eq!(u64::from(retry_after_ms), QUARANTINE_MS);
    for (sequence, shared) in [&[21, 41][..], &[8], &[]].into_iter().enumerate() {
        let demand = demand(100 + sequence as u64, shared);
        let decision = placer.place(now, &demand);
        assert!(matches!(decision, Decision::Place { .. }), "{shared:?}");
    }
}

/// Sends requests with the part 9 one by one to a placer that is not asked for any other one. Each ends its server after
/// `prefill_ms`. Returns how many were sent until one was refused, at most 9.
fn crash_in_quiet(placer: &mut Placer, prefill_ms: u64, shared: &[u64], is_reported: bool) -> u64 {
    let mut now = Time::from_ms(10_000);
    for number in 0..9 {
        now = now.plus_ms(60_000);
        let deadly = demand(number, shared);
        let Decision::Place { server, .. } = placer.place(now, &deadly) else {
            return number;
        };
        now = now.plus_ms(prefill_ms);
        if is_reported {
            placer.record_crash(now, &server.id);
        }
        placer.record_end(now, deadly.key, Outcome::Answered { failed: true });
        if !is_reported {
            placer.record_crash(now.plus_ms(400), &server.id);
        }
    }
    9
}

// In a quiet hour no other request comes while a server reads a long prompt. The host that was asked for the request did
// not decide what had crashed the server, and a crashing part was never found.
#[test_case(1_500, true ; "crash reported first")]
#[test_case(1_500, false ; "end reported first")]
#[test_case(4_900, true ; "long prompt")]
fn part_that_crashes_servers_in_a_quiet_hour_is_found(prefill_ms: u64, is_reported: bool) {
    let sent = crash_in_quiet(&mut placer(), prefill_ms, &[9], is_reported);
    assert_eq!(sent, 3);
}

// A host that takes the place of another one has the reports but was never asked. What it knows decides before it is asked
// for the next request.
#[test]
fn successor_decides_on_reports_of_before() {
    let (mut successor, mut now) = (placer(), Time::from_ms(10_000));
    for number in 1..=3 {
        now = now.plus_ms(5_000);
        let deadly = demand(number, &[9]);
        let server = format!("engine-0{number}");
        successor.record_assignment(now, &deadly, &server);
        now = now.plus_ms(1_500);
        assert_eq!(successor.record_crash(now, &server), None);
        successor.record_end(now, deadly.key, Outcome::Answered { failed: true });
    }
    let decision = successor.place(now.plus_ms(60_000), &demand(90, &[8, 9]));
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
    let found = successor.take_quarantined();
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].parts(), "9");
    assert!(successor.take_quarantined().is_empty());
}

// The leader is the one that entry hosts ask first. It decides at once, so that the other hosts know the part if the leader
// is lost before the next request.
#[test]
fn leader_decides_without_a_request() {
    let (mut leader, mut now) = (placer(), Time::from_ms(10_000));
    leader.set_first(true);
    let mut found = None;
    for number in 1..=3 {
        now = now.plus_ms(5_000);
        let server = format!("engine-0{number}");
        leader.record_assignment(now, &demand(number, &[9]), &server);
        now = now.plus_ms(1_500);
        assert_eq!(found, None);
        found = leader.record_crash(now, &server);
    }
    assert_eq!(found.expect("a part is found").parts(), "9");
}

// Another host may report a crash before the host that sent the crashing request does. Its requests are not known then.
#[test]
fn suspects_that_are_reported_later_count() {
    let mut scene = Scene::new();
    for server in 1..=3 {
        scene.wait(1_100);
        assert_eq!(scene.crash(server, &[&[u64::from(server)]]), None);
        scene.wait(30);
        let own = [u64::from(server)];
        let notice = scene.crash(server, &[&own, &[9, 20 + u64::from(server)]]);
        assert_eq!(notice.is_some(), server == 3);
    }
    assert!(scene.is_refused(&[9]) && !scene.is_refused(&[1, 2, 3]));
}

/// Sends `count` requests with the part 9 at once. Returns those that were placed, with their servers.
fn place_many(placer: &mut Placer, now: Time, first: u64, count: u64) -> Vec<(Demand, Server)> {
    let mut placed = Vec::new();
    for sequence in first..first + count {
        let request = demand(sequence, &[sequence, 9]);
        match placer.place(now, &request) {
            Decision::Place { server, .. } => placed.push((request, server)),
            Decision::Refuse { reason, .. } => assert_eq!(reason, Reason::Quarantined),
            decision => panic!("{decision:?}"),
        }
    }
    placed
}

// At the end of a quarantine all requests with the part that had been refused were sent, and each ended a server. One must
// show whether the part still crashes servers, and the next one waits longer each time: the users' rule allows for few.
#[test]
fn requests_are_sent_one_at_a_time_after_a_quarantine() {
    let (mut placer, mut now) = (placer(), Time::from_ms(10_000));
    crash_three(&mut placer, &mut now, false, false);
    let mut sent = 0;
    for minute in 0..12 * 60 {
        now = now.plus_ms(60_000);
        let placed = place_many(&mut placer, now, 1_000 + minute * 50, 30);
        assert!(placed.len() <= 1, "{} at once", placed.len());
        for (request, server) in placed {
            sent += 1;
            // The answer to the question was lost.
            assert!(matches!(
                placer.place(now, &request),
                Decision::Place { .. }
            ));
            now = now.plus_ms(1_500);
            placer.record_crash(now, &server.id);
            placer.record_end(now, request.key, Outcome::Answered { failed: true });
        }
    }
    // 10, 50 and 210 minutes after the first crashes.
    assert_eq!(sent, 3);
}

// The cause was removed, or the quarantine was wrong.
#[test]
fn served_trial_ends_a_quarantine_for_good() {
    let (mut placer, mut now) = (placer(), Time::from_ms(10_000));
    crash_three(&mut placer, &mut now, false, false);
    now = now.plus_ms(QUARANTINE_MS);
    let placed = place_many(&mut placer, now, 1_000, 30);
    let [(request, _)] = &placed[..] else {
        panic!("{} at once", placed.len());
    };
    now = now.plus_ms(200);
    placer.record_first_event(now, request.key);
    now = now.plus_ms(BEGINNING_MS);
    placer.record_end(now, request.key, Outcome::Answered { failed: false });
    assert_eq!(place_many(&mut placer, now, 2_000, 3).len(), 3);
}

// The caller of the request on trial left, or its host was lost: the next one is sent in its place.
#[test_case(true ; "the caller left")]
#[test_case(false ; "the host was lost")]
fn trial_without_an_outcome_is_repeated(has_end: bool) {
    let (mut placer, mut now) = (placer(), Time::from_ms(10_000));
    crash_three(&mut placer, &mut now, false, false);
    now = now.plus_ms(QUARANTINE_MS);
    let placed = place_many(&mut placer, now, 1_000, 2);
    assert_eq!(placed.len(), 1);
    if has_end {
        placer.record_end(now, placed[0].0.key, Outcome::Cancelled);
        now = now.plus_ms(1_000);
    } else {
        now = now.plus_ms(8_000);
    }
    assert_eq!(place_many(&mut placer, now, 2_000, 2).len(), 1);
}

// An entry host that decides alone hears of no crash, so each of its requests on trial would end a server.
#[test]
fn entry_host_sends_no_request_on_trial() {
    let (mut core, mut now) = (placer(), Time::from_ms(10_000));
    crash_three(&mut core, &mut now, false, false);
    let mut entry = placer();
    entry.set_without_trials();
    entry.merge_quarantine(now, &core.quarantine_record(now));
    now = now.plus_ms(QUARANTINE_MS);
    // It leaves the decision to the core hosts, if there are any.
    assert_eq!(entry.quarantined(now, &demand(1_000, &[9])), None);
    assert_eq!(place_many(&mut entry, now, 1_000, 9).len(), 0);
    assert_eq!(place_many(&mut core, now, 1_000, 9).len(), 1);
}

// The last part belongs to one request alone. One that is the last part of one prompt and a shared part of others must not
// be refused there, since it is not what a server is ended by.
#[test]
fn last_part_is_not_refused() {
    let (mut placer, mut now) = (placer(), Time::from_ms(10_000));
    crash_three(&mut placer, &mut now, false, false);
    let mut request = demand(200, &[8]);
    let parts = &mut request.prompt.as_mut().expect("a prompt").parts;
    parts[1].id = 9;
    assert!(matches!(
        placer.place(now, &request),
        Decision::Place { .. }
    ));
}

// Servers that drain end while requests are under way, as planned.
#[test]
fn draining_server_quarantines_no_part() {
    let (mut placer, mut now) = (placer(), Time::from_ms(10_000));
    for sequence in 0..8 {
        now = now.plus_ms(1_100);
        placer.place(now, &demand(100 + sequence, &[]));
        placer.record_assignment(now, &demand(sequence, &[9]), "engine-04");
        assert_eq!(placer.record_crash(now, "engine-04"), None);
    }
}

// Long answers that have gone on for a while break off with their server, too. They have not ended it.
#[test]
fn answers_that_went_on_are_no_suspects() {
    let (mut placer, mut now) = (placer(), Time::from_ms(10_000));
    for number in 1..=3 {
        let long = demand(number, &[9]);
        placer.place(now, &demand(100 + number, &[]));
        let server = format!("engine-0{number}");
        placer.record_assignment(now, &long, &server);
        placer.record_first_event(now.plus_ms(100), long.key);
        now = now.plus_ms(1_100);
        assert_eq!(placer.record_crash(now, &server), None);
    }
    assert!(matches!(
        placer.place(now, &demand(200, &[9])),
        Decision::Place { .. }
    ));
}

// An account could keep a crashing part in use with requests that servers answer with an error at once.
#[test]
fn answer_without_events_clears_no_part() {
    let (mut placer, mut now) = (placer(), Time::from_ms(10_000));
    for number in 1..=3 {
        now = now.plus_ms(1_100);
        let refused = demand(50 + number, &[9]);
        placer.place(now, &refused);
        placer.record_end(now, refused.key, Outcome::Answered { failed: false });
        let server = format!("engine-0{number}");
        placer.record_assignment(now, &demand(number, &[9]), &server);
        placer.record_crash(now, &server);
    }
    let decision = placer.place(now, &demand(200, &[9]));
    assert!(matches!(decision, Decision::Refuse { .. }));
}
