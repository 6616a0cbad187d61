//! Concurrent changes of the configuration by several operators while voters are killed (G8).

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

/// Number of operators that submit changes concurrently.
const OPERATORS: usize = 4;

/// Number of operations of each operator.
const OPERATIONS: usize = 40;

/// A base version that no configuration has. The log refuses such a change and reports its current version, so the
/// refusal is a linearizable read.
const NO_BASE: u64 = u64::MAX;

/// A submitted change. `result` is the version that the change created or, as an error, the version that was current
/// when the change was refused; `None` until the outcome is known.
#[derive(Clone, Debug)]
struct Submission {
    number: u32,
    base: u64,
    result: Option<Result<u64, u64>>,
}

/// The sequential specification: a change is accepted if and only if its base is the current version.
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
            return (operation.result == Some(Ok(next)), next);
        }
        (operation.result == Some(Err(*version)), *version)
    }
}

/// The version of the first configuration, which adds the hosts of the settings.
const FIRST_VERSION: u64 = 1;

type SharedHistory = Arc<Mutex<Vec<(usize, Action<Submission>)>>>;

/// Submits a change until its outcome is known, each time to a random host, like an operator after a lost answer.
async fn submit(change: &Change, hosts: &[Client], rng: &mut SmallRng) -> Result<u64, u64> {
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        let client = &hosts[rng.random_range(0..hosts.len())];
        match client.submit(change).await {
            Outcome::Accepted(version) => return Ok(version),
            Outcome::Refused(refused) if refused.code == "base_version" => {
                return Err(refused.version.expect("the refusal contains the version"));
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

async fn run_operator(process: usize, hosts: Vec<Client>, history: SharedHistory, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut base = FIRST_VERSION;
    for round in 0..OPERATIONS * rounds() {
        let number = (process * 100_000 + round) as u32;
        let reads = rng.random_bool(0.2);
        let mut submission = Submission {
            number,
            base: if reads { NO_BASE } else { base },
            result: None,
        };
        let change = Change {
            id: name(&format!("c{number}")),
            base: submission.base,
            actions: vec![account(number + 1)],
        };
        record(&history, process, Action::Call(submission.clone()));
        let result = submit(&change, &hosts, &mut rng).await;
        base = result.unwrap_or_else(|current| current);
        submission.result = Some(result);
        record(&history, process, Action::Response(submission));
        // The pauses spread the operations over several rounds of kills.
        pause(&mut rng, 0..150).await;
    }
}

fn record(history: &SharedHistory, process: usize, action: Action<Submission>) {
    history.lock().expect("no panic").push((process, action));
}

/// A version of the configuration as one host reported it.
#[derive(Clone, Debug)]
struct Observation {
    version: u64,
    /// The share of the account in this version; `None` if the account does not exist.
    share: Option<u32>,
}

/// Reads the configuration of one host repeatedly until `done`. Reads without an answer are ignored.
async fn observe(client: Client, done: Arc<AtomicBool>) -> Vec<Observation> {
    let mut observations = Vec::new();
    while !done.load(Ordering::Relaxed) {
        if let Ok(configuration) = client.configuration().await {
            let account = configuration.accounts.get("tester");
            observations.push(Observation {
                version: configuration.version,
                share: account.map(|account| account.share),
            });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    observations
}

/// Kills one or two of the three voters with SIGKILL, and sometimes the host without a disk, and starts them again,
/// until `done`. Returns the number of rounds.
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

/// Guards against a change that is applied twice, is lost, is accepted although another one with the same base was,
/// or gets a different outcome when it is resent; against a host that reports an older version than before, also
/// after a restart; and against hosts that disagree on the contents of a version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_operators_see_one_history_while_voters_are_killed() {
    let seed = seed(0x0c0f);
    let specs = [VOTERS[0], VOTERS[1], VOTERS[2], follower("e1", "d1")];
    let mut fleet = Fleet::start(&specs).await;
    let clients: Vec<Client> = fleet.hosts.iter().map(Host::operator).collect();
    let history = SharedHistory::default();
    let done = Arc::new(AtomicBool::new(false));
    let observers: Vec<_> = clients
        .iter()
        .map(|client| tokio::spawn(observe(client.clone(), Arc::clone(&done))))
        .collect();
    let operators: Vec<_> = (0..OPERATORS)
        .map(|process| {
            let seed = seed.wrapping_add(process as u64 + 1);
            tokio::spawn(run_operator(
                process,
                clients.clone(),
                Arc::clone(&history),
                seed,
            ))
        })
        .collect();
    let finished = Arc::clone(&done);
    let ends = tokio::spawn(async move {
        let results = futures::future::join_all(operators).await;
        finished.store(true, Ordering::Relaxed);
        results
    });
    let kills = kill_hosts(&mut fleet.hosts, &done, SmallRng::seed_from_u64(seed)).await;
    for result in ends.await.expect("the task does not panic") {
        result.expect("the operator task does not panic");
    }
    let mut accepted: BTreeMap<u64, u32> = BTreeMap::new();
    let history = history.lock().expect("no panic").clone();
    for (_, action) in &history {
        if let Action::Response(Submission {
            number,
            result: Some(Ok(version)),
            ..
        }) = action
        {
            let other = accepted.insert(*version, number + 1);
            assert_eq!(
                other, None,
                "seed {seed}: version {version} was created twice"
            );
        }
    }
    println!(
        "{} operations, {} accepted, {kills} rounds of kills",
        history.len() / 2,
        accepted.len()
    );
    assert!(
        kills > 0 && !accepted.is_empty(),
        "seed {seed}: there must be rounds of kills and accepted changes"
    );
    let shown = format!("{history:?}");
    let holds = WGLChecker::<Versions>::is_linearizable(History::from_actions(history));
    assert!(
        holds,
        "seed {seed}: the history is not linearizable: {shown}"
    );

    let newest = *accepted.last_key_value().expect("one change is accepted").0;
    fleet.wait_ready().await;
    fleet.wait_version(newest).await;
    for (host, observer) in fleet.hosts.iter().zip(observers) {
        let observations = observer.await.expect("the observer task does not panic");
        check_observations(host.spec.name, &observations, &accepted, seed);
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

fn check_observations(
    host: &str,
    observations: &[Observation],
    accepted: &BTreeMap<u64, u32>,
    seed: u64,
) {
    for observation in observations {
        let expected = accepted.get(&observation.version).copied();
        assert_eq!(
            observation.share, expected,
            "seed {seed}: share that {host} reported in version {}",
            observation.version
        );
    }
    for pair in observations.windows(2) {
        assert!(
            pair[0].version <= pair[1].version,
            "seed {seed}: {host} went from version {} back to {}",
            pair[0].version,
            pair[1].version
        );
    }
}

/// Guards the test above against a checker that accepts every history.
#[test]
fn the_checker_rejects_two_changes_with_one_base() {
    let submission = |number, result| Submission {
        number,
        base: FIRST_VERSION,
        result,
    };
    let mut history = Vec::new();
    for process in 0..2 {
        let number = process as u32;
        history.push((process, Action::Call(submission(number, None))));
        let result = Some(Ok(FIRST_VERSION + 1));
        history.push((process, Action::Response(submission(number, result))));
    }
    assert!(!WGLChecker::<Versions>::is_linearizable(
        History::from_actions(history)
    ));
}
