//! Tests the operator client against fake daemons, some of which lose responses or refuse requests.

mod fake;

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fake::{FakeDaemon, Request, Response};
use primrose_base::name::Name;
use primrose_config::{Change, Configuration, Refusal, spec, text};
use primrose_operator::{Client, Error, Key, Outcome, Plan, Progress, Timeouts, api};
use primrose_state::{Command, Machine, Reply};
use test_case::test_case;
use tokio::net::TcpSocket;
use tokio::time::Instant;

/// The state machine of the log, shared by several fake daemons.
type SharedMachine = Arc<Mutex<Machine>>;

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn client(addresses: &[&str]) -> Client {
    let addresses = addresses.iter().map(|address| (*address).to_owned());
    let key = Key::new("secret\n").expect("a valid key");
    Client::new(addresses.collect(), key, Timeouts::default())
}

/// A change that sets the share of account `a`, based on the configuration of `machine`.
fn set_share_of_a(machine: &Machine, share: u32, id: &str) -> Result<Change, Refusal> {
    Plan::new(machine.configuration())
        .put_account(spec::Account::new(name("a"), share))
        .into_change(name(id))
}

/// Returns the configuration of `machine` or applies the change in the request to it. The result is the status and
/// body of the response.
fn handle(machine: &SharedMachine, request: &Request) -> (u16, String) {
    let mut machine = machine.lock().expect("no panic");
    if request.target == "GET /operator/configuration" {
        return (200, text::print_configuration(machine.configuration()));
    }
    let change = text::read_change("request", &request.body).expect("a change");
    let Reply::Change(reply) = machine.apply(&Command::Change(change)) else {
        panic!("expected a reply to a change");
    };
    response_of(&reply.into())
}

fn response_of(submission: &api::Submission) -> (u16, String) {
    let body = serde_json::to_string(submission).expect("JSON");
    (submission.http_status(), body)
}

fn working_daemon(machine: &SharedMachine) -> FakeDaemon {
    let machine = machine.clone();
    FakeDaemon::start(move |request| {
        let (status, body) = handle(&machine, request);
        Response::Complete(status, body)
    })
}

/// A daemon that handles requests but whose responses are truncated or not sent at all.
fn daemon_losing_responses(machine: &SharedMachine, truncated: bool) -> FakeDaemon {
    let machine = machine.clone();
    FakeDaemon::start(move |request| match handle(&machine, request) {
        (_, body) if truncated => Response::Truncated(body),
        _ => Response::Missing,
    })
}

fn daemon_without_majority() -> FakeDaemon {
    FakeDaemon::start(|_| {
        let refused = api::Submission::refused(api::UNAVAILABLE, "no leader", Some(0));
        let (status, body) = response_of(&refused);
        Response::Complete(status, body)
    })
}

/// An address that refuses connections until the socket is dropped: the socket is bound, but does not listen.
fn refusing_address() -> (TcpSocket, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(([127, 0, 0, 1], 0).into())
        .expect("a free port");
    let address = socket.local_addr().expect("a bound address").to_string();
    (socket, address)
}

/// Guards against applying a change twice when the client sends it to a second daemon because the first response was
/// lost. The second daemon must give the outcome of the first submission.
#[test_case(false; "no response")]
#[test_case(true; "truncated response")]
#[tokio::test]
async fn resubmission_after_a_lost_response_gives_the_first_outcome(truncated: bool) {
    let machine = SharedMachine::default();
    let (first, second) = (
        daemon_losing_responses(&machine, truncated),
        working_daemon(&machine),
    );
    let change = set_share_of_a(&Machine::default(), 2, "one").expect("valid");
    let client = client(&[&first.address, &second.address]);
    assert_eq!(client.submit(&change).await, Outcome::Accepted(1));
    assert_eq!(machine.lock().expect("no panic").configuration().version, 1);
    let received = second.requests.lock().expect("no panic")[0].clone();
    assert_eq!(received.authorization, "Bearer secret");
    assert_eq!(received.body, text::print_change(&change));
}

/// Guards against reporting a lost response as a refusal: the operator would then submit the change with a new id,
/// and it would be applied twice.
#[test_case(false; "no other daemon")]
#[test_case(true; "another daemon without a majority")]
#[tokio::test]
async fn a_lost_response_is_an_unknown_outcome(with_second: bool) {
    let machine = SharedMachine::default();
    let change = set_share_of_a(&Machine::default(), 2, "one").expect("valid");
    let (losing, other) = (
        daemon_losing_responses(&machine, false),
        daemon_without_majority(),
    );
    let mut addresses = vec![losing.address.as_str()];
    if with_second {
        addresses.push(&other.address);
    }
    let outcome = client(&addresses).submit(&change).await;
    assert!(matches!(outcome, Outcome::Unknown { attempts } if attempts.len() == addresses.len()));
    let resent = client(&[&working_daemon(&machine).address])
        .submit(&change)
        .await;
    assert_eq!(resent, Outcome::Accepted(1));
    assert_eq!(machine.lock().expect("no panic").configuration().version, 1);
}

/// Guards against failing a submission because of an unreachable daemon, or one without a majority, although a later
/// daemon in the list can accept it.
#[tokio::test]
async fn the_next_daemon_is_tried_if_one_proposed_nothing() {
    let machine = SharedMachine::default();
    let (_socket, unreachable) = refusing_address();
    let (isolated, working) = (daemon_without_majority(), working_daemon(&machine));
    let change = set_share_of_a(&Machine::default(), 2, "one").expect("valid");
    let all = client(&[&unreachable, &isolated.address, &working.address]);
    assert_eq!(all.submit(&change).await, Outcome::Accepted(1));
    assert_eq!(
        all.configuration().await.expect("a configuration").version,
        1
    );
    for addresses in [
        vec![unreachable.as_str()],
        vec![&unreachable, &isolated.address],
    ] {
        let outcome = client(&addresses).submit(&change).await;
        assert!(matches!(outcome, Outcome::Refused(refused) if refused.code == api::UNAVAILABLE));
    }
    let configuration = client(&[&unreachable]).configuration().await;
    assert!(matches!(configuration, Err(Error::Unavailable { attempts }) if attempts.len() == 1));
}

/// Guards against silently overwriting a concurrent change: of two changes based on the same version, the second must
/// be refused with the current version.
#[tokio::test]
async fn the_second_of_two_concurrent_changes_is_refused() {
    let machine = SharedMachine::default();
    let daemon = working_daemon(&machine);
    let client = client(&[&daemon.address]);
    let first = set_share_of_a(&Machine::default(), 2, "one").expect("valid");
    let second = set_share_of_a(&Machine::default(), 3, "two").expect("valid");
    assert_eq!(client.submit(&first).await, Outcome::Accepted(1));
    let outcome = client.submit(&second).await;
    assert!(
        matches!(&outcome, Outcome::Refused(r) if r.code == "base_version" && r.version == Some(1)),
        "{outcome:?}"
    );
}

/// All daemons refuse a wrong key. Trying the next daemon could replace the reason by a less useful one.
#[tokio::test]
async fn a_refused_key_is_reported_without_trying_other_daemons() {
    let refusing = FakeDaemon::start(|_| {
        let body = r#"{"error":{"code":"unauthorized","message":"wrong key","verdict":"not-run"}}"#;
        Response::Complete(401, body.to_owned())
    });
    let machine = SharedMachine::default();
    let working = working_daemon(&machine);
    let client = client(&[&refusing.address, &working.address]);
    let error = client.configuration().await.expect_err("a refusal");
    assert!(matches!(&error, Error::Status { status: 401, message, .. } if message == "wrong key"));
    assert!(working.requests.lock().expect("no panic").is_empty());
    assert!(!format!("{client:?}").contains("secret"));
}

/// Guards against sending a change to review that the fleet would refuse.
#[test]
fn a_plan_is_checked_against_the_configuration() {
    let empty = Configuration::default();
    assert!(Plan::new(&empty).set_share(&name("a"), 2).is_err());
    let plan = Plan::new(&empty).drain_server(name("m1"));
    assert_eq!(
        plan.into_change(name("c")).expect_err("a refusal").action,
        Some(0)
    );
    let change = set_share_of_a(&Machine::default(), 2, "one").expect("valid");
    let current = empty.apply(&change).expect("valid");
    let raised = Plan::new(&current).set_share(&name("a"), 5);
    let raised = raised
        .and_then(|plan| plan.into_change(name("two")))
        .expect("valid");
    let target = current.apply(&raised).expect("valid");
    assert_eq!(
        target.accounts.get("a").map(|account| account.share),
        Some(5)
    );
    assert!(Plan::from_difference(&target, &target).is_empty());
}

/// An unreachable host must not count as having the version, and must not prevent the progress from being complete.
#[test]
fn unreachable_hosts_do_not_count_in_progress() {
    let host = |host: &str, reachable, version| api::Host {
        name: name(host),
        domain: name("zone"),
        reachable,
        version,
        incarnation: None,
        role: api::Role::Follower,
        ready: true,
    };
    let status = api::Status {
        host: name("h1"),
        version: 7,
        leader: None,
        term: 1,
        reachable_voters: 1,
        voters: 3,
        hosts: vec![
            host("h1", true, Some(7)),
            host("h2", true, Some(6)),
            host("h3", true, None),
            host("h4", false, Some(7)),
        ],
    };
    let progress = Progress::from_status(7, &status);
    assert_eq!(progress.in_force, [name("h1")]);
    assert_eq!(progress.behind, [name("h2"), name("h3")]);
    assert_eq!(progress.unreachable, [name("h4")]);
    assert!(!progress.is_complete() && Progress::from_status(0, &status).behind == [name("h3")]);
}

/// Guards against a wait that goes on while one silent daemon after the other is asked. The time is simulated.
#[tokio::test(start_paused = true)]
async fn silent_daemons_do_not_prolong_a_wait() {
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address").to_string());
    let addresses: Vec<String> = addresses.collect();
    let addresses: Vec<&str> = addresses.iter().map(String::as_str).collect();
    // Longer than the time limit of one request, which is 10 s, and shorter than three of them.
    let limit = Duration::from_secs(20);
    let start = Instant::now();
    let progress = client(&addresses).wait_for_version(1, limit).await;
    assert!(progress.is_err(), "{progress:?}");
    // Timers are rounded up to a millisecond.
    let elapsed = start.elapsed();
    assert!(elapsed <= limit + Duration::from_millis(1), "{elapsed:?}");
}
