//! Changes of the configuration by racing operators while voters are killed (G8).

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use primrose_config::Change;
use primrose_operator::{Client, Outcome, api};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::harness::{Fleet, Host, TIMEOUT, VOTERS, account, follower, name, rounds, seed};

const OPERATORS: usize = 4;

/// Operations of each operator.
const OPERATIONS: usize = 40;

/// A base version that no configuration has: the log refuses the change and names its current version, so the refusal
/// is a linearizable read.
const NO_BASE: u64 = u64::MAX;

/// One submission: the number of the change, its base, and what the operator learnt: the version that the change made,
/// or the version that was current when it was refused.
#[derive(Clone, Debug)]
struct Submission {
    number: u32,
    base: u64,
    learned: Option<Result<u64, u64>>,
}

/// One sequence of versions, where a change is accepted exactly if its base is the current version.
struct Versions;

impl Specification for Versions {
    type State = u64;
    type Operation = Submission;

    fn init() -> u64 {
        FIRST_VERSION
    }

    fn apply(operation: &Submission, version: &u64) -> (bool, u64) {
        if operation.base == *version {
            let next = version + 1;
            return (operation.learned == Some(Ok(next)), next);
        }
        (operation.learned == Some(Err(*version)), *version)
    }
}

/// The version after the hosts of the settings were added.
const FIRST_VERSION: u64 = 1;

type Log = Arc<Mutex<Vec<(usize, Action<Submission>)>>>;

/// Submits until the outcome is known, each time to another host, as an operator does whose answer was lost.
async fn submit(change: &Change, hosts: &[Client], rng: &mut SmallRng) -> Result<u64, u64> {
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        let client = &hosts[rng.random_range(0..hosts.len())];
        match client.submit(change).await {
            Outcome::Accepted(version) => return Ok(version),
            Outcome::Refused(refused) if refused.code == "base_version" => {
                return Err(refused.version.expect("the log names the version"));
            }
            Outcome::Refused(refused) if refused.code == api::UNAVAILABLE => {}
            Outcome::Refused(refused) => panic!("{}: {refused:?}", change.id),
            Outcome::Unknown { .. } => {}
        }
        assert!(
            std::time::Instant::now() < deadline,
            "{}: no outcome",
            change.id
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn operate(process: usize, hosts: Vec<Client>, log: Log, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut base = FIRST_VERSION;
    for round in 0..OPERATIONS * rounds() {
        let number = (process * 100_000 + round) as u32;
        let reads = rng.random_bool(0.2);
        let mut submission = Submission {
            number,
            base: if reads { NO_BASE } else { base },
            learned: None,
        };
        let change = Change {
            id: name(&format!("c{number}")),
            base: submission.base,
            actions: vec![account(number + 1)],
        };
        push(&log, process, Action::Call(submission.clone()));
        let learned = submit(&change, &hosts, &mut rng).await;
        base = learned.unwrap_or_else(|current| current);
        submission.learned = Some(learned);
        push(&log, process, Action::Response(submission));
        // Spreads the operations over several rounds of kills.
        pause(&mut rng, 0..150).await;
    }
}

fn push(log: &Log, process: usize, action: Action<Submission>) {
    log.lock().expect("no panic").push((process, action));
}

/// What one host shows of a version.
#[derive(Clone, Debug)]
struct Seen {
    version: u64,
    /// The share that the change of this version gave the account, if it has one.
    share: Option<u32>,
}

/// Reads the configuration of one host over and over. A host that does not answer is asked again.
async fn watch(client: Client, done: Arc<AtomicBool>) -> Vec<Seen> {
    let mut seen = Vec::new();
    while !done.load(Ordering::Relaxed) {
        if let Ok(configuration) = client.configuration().await {
            let account = configuration.accounts.get("tester");
            seen.push(Seen {
                version: configuration.version,
                share: account.map(|account| account.share),
            });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    seen
}

/// Kills voters with SIGKILL and starts them again, at times two of the three, and at times the host without a disk.
async fn kill_hosts(hosts: &mut [Host], done: &AtomicBool, mut rng: SmallRng) -> usize {
    let mut kills = 0;
    while !done.load(Ordering::Relaxed) {
        let first = rng.random_range(0..VOTERS.len());
        let second = (first + rng.random_range(0..2)) % VOTERS.len();
        hosts[first].kill();
        pause(&mut rng, 0..200).await;
        hosts[second].kill();
        let without_disk = rng.random_bool(0.5);
        if without_disk {
            hosts[VOTERS.len()].kill();
        }
        kills += 1;
        pause(&mut rng, 0..500).await;
        hosts[first].start();
        if second != first {
            hosts[second].start();
        }
        if without_disk {
            hosts[VOTERS.len()].start();
        }
        pause(&mut rng, 100..900).await;
    }
    kills
}

async fn pause(rng: &mut SmallRng, ms: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(ms))).await;
}

/// Guards against a change that is applied twice, lost, accepted beside another one with the same base, or answered
/// with another outcome on a resend; against a host that shows an older version than before, also after its restart;
/// and against hosts that disagree on a version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_see_one_history_while_voters_are_killed() {
    let seed = seed(0x0c0f);
    let specs = [VOTERS[0], VOTERS[1], VOTERS[2], follower("e1", "d1")];
    let mut fleet = Fleet::start(&specs).await;
    let clients: Vec<Client> = fleet.hosts.iter().map(Host::operator).collect();
    let log = Log::default();
    let done = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = clients
        .iter()
        .map(|client| tokio::spawn(watch(client.clone(), Arc::clone(&done))))
        .collect();
    let operators: Vec<_> = (0..OPERATORS)
        .map(|process| {
            let seed = seed.wrapping_add(process as u64 + 1);
            tokio::spawn(operate(process, clients.clone(), Arc::clone(&log), seed))
        })
        .collect();
    let finished = Arc::clone(&done);
    let ends = tokio::spawn(async move {
        let results = futures::future::join_all(operators).await;
        finished.store(true, Ordering::Relaxed);
        results
    });
    let kills = kill_hosts(&mut fleet.hosts, &done, SmallRng::seed_from_u64(seed)).await;
    for result in ends.await.expect("the operators end") {
        result.expect("an operator ends well");
    }
    let mut accepted: BTreeMap<u64, u32> = BTreeMap::new();
    let history = log.lock().expect("no panic").clone();
    for (_, action) in &history {
        if let Action::Response(Submission {
            number,
            learned: Some(Ok(version)),
            ..
        }) = action
        {
            let other = accepted.insert(*version, number + 1);
            assert_eq!(other, None, "seed {seed}: version {version} was made twice");
        }
    }
    println!(
        "{} operations, {} accepted, {kills} rounds of kills",
        history.len() / 2,
        accepted.len()
    );
    assert!(kills > 0 && !accepted.is_empty());
    let shown = format!("{history:?}");
    let holds = WGLChecker::<Versions>::is_linearizable(History::from_actions(history));
    assert!(holds, "seed {seed}: {shown}");

    let newest = *accepted.last_key_value().expect("one change is accepted").0;
    fleet.wait_ready().await;
    fleet.wait_version(newest).await;
    for (host, watcher) in fleet.hosts.iter().zip(watchers) {
        let seen = watcher.await.expect("the watcher ends");
        check_seen(host.spec.name, &seen, &accepted, seed);
    }
    let first = fleet.hosts[0]
        .operator()
        .configuration()
        .await
        .expect("a configuration");
    assert_eq!(first.version, newest, "seed {seed}");
    for host in &fleet.hosts {
        let other = host
            .operator()
            .configuration()
            .await
            .expect("a configuration");
        assert_eq!(other, first, "seed {seed}: {}", host.spec.name);
    }
}

fn check_seen(host: &str, seen: &[Seen], accepted: &BTreeMap<u64, u32>, seed: u64) {
    for one in seen {
        let expected = accepted.get(&one.version).copied();
        assert_eq!(
            one.share, expected,
            "seed {seed}: {host} at {}",
            one.version
        );
    }
    for pair in seen.windows(2) {
        assert!(
            pair[0].version <= pair[1].version,
            "seed {seed}: {host} went from version {} back to {}",
            pair[0].version,
            pair[1].version
        );
    }
}

/// A checker that accepts everything would prove nothing: two changes accepted with one base are rejected.
#[test]
fn the_checker_rejects_two_changes_with_one_base() {
    let submission = |number, learned| Submission {
        number,
        base: FIRST_VERSION,
        learned,
    };
    let mut history = Vec::new();
    for process in 0..2 {
        let number = process as u32;
        history.push((process, Action::Call(submission(number, None))));
        let learned = Some(Ok(FIRST_VERSION + 1));
        history.push((process, Action::Response(submission(number, learned))));
    }
    assert!(!WGLChecker::<Versions>::is_linearizable(
        History::from_actions(history)
    ));
}
