//! Submitting changes to daemons that fail.

mod fake;

use std::sync::{Arc, Mutex};

use fake::{Act, Fake, Request};
use primrose_base::name::Name;
use primrose_config::{Change, Configuration, Refusal, spec, text};
use primrose_operator::{Client, Error, Key, Outcome, Plan, Progress, Timeouts, api};
use primrose_state::{Command, Machine, Reply};
use test_case::test_case;
use tokio::net::TcpSocket;

type Shared = Arc<Mutex<Machine>>;

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn client(addresses: &[&str]) -> Client {
    let addresses = addresses.iter().map(|address| (*address).to_owned());
    let key = Key::new("secret\n").expect("a valid key");
    Client::new(addresses.collect(), key, Timeouts::default())
}

fn share_of_a(machine: &Machine, share: u32, id: &str) -> Result<Change, Refusal> {
    Plan::new(machine.configuration())
        .put_account(spec::Account::new(name("a"), share))
        .into_change(name(id))
}

/// The answer of a daemon that proposes to the log `machine`.
fn propose(machine: &Shared, request: &Request) -> (u16, String) {
    let mut machine = machine.lock().expect("no panic");
    if request.target == "GET /operator/configuration" {
        return (200, text::print_configuration(machine.configuration()));
    }
    let change = text::read_change("request", &request.body).expect("a change");
    let Reply::Change(reply) = machine.apply(&Command::Change(change)) else {
        panic!("a change is answered as a change");
    };
    json(&reply.into())
}

fn json(submission: &api::Submission) -> (u16, String) {
    let body = serde_json::to_string(submission).expect("JSON");
    (submission.http_status(), body)
}

fn sound(machine: &Shared) -> Fake {
    let machine = machine.clone();
    Fake::start(move |request| {
        let (status, body) = propose(&machine, request);
        Act::Answer(status, body)
    })
}

/// Proposes, but its answers are lost: not sent at all or cut short.
fn losing(machine: &Shared, cut: bool) -> Fake {
    let machine = machine.clone();
    Fake::start(move |request| match propose(&machine, request) {
        (_, body) if cut => Act::Cut(body),
        _ => Act::Lose,
    })
}

fn without_majority() -> Fake {
    Fake::start(|_| {
        let refused = api::Submission::refused(api::UNAVAILABLE, "no leader", Some(0));
        let (status, body) = json(&refused);
        Act::Answer(status, body)
    })
}

/// An address that refuses connections for as long as the socket lives: bound, but not listening.
fn refusing() -> (TcpSocket, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(([127, 0, 0, 1], 0).into())
        .expect("a free port");
    let address = socket.local_addr().expect("a bound address").to_string();
    (socket, address)
}

/// A change that is submitted to a second daemon after a lost answer must not run twice, and its outcome is known.
#[test_case(false; "no answer")]
#[test_case(true; "half an answer")]
#[tokio::test]
async fn the_next_daemon_gives_the_first_reply(cut: bool) {
    let machine = Shared::default();
    let (first, second) = (losing(&machine, cut), sound(&machine));
    let change = share_of_a(&Machine::default(), 2, "one").expect("valid");
    let client = client(&[&first.address, &second.address]);
    assert_eq!(client.submit(&change).await, Outcome::Accepted(1));
    assert_eq!(machine.lock().expect("no panic").configuration().version, 1);
    let arrived = second.requests.lock().expect("no panic")[0].clone();
    assert_eq!(arrived.authorization, "Bearer secret");
    assert_eq!(arrived.body, text::print_change(&change));
}

/// A lost answer that is reported as a refusal makes the operator submit the change anew: it would run twice.
#[test_case(false; "no other daemon")]
#[test_case(true; "another daemon without a majority")]
#[tokio::test]
async fn a_lost_answer_is_an_unknown_outcome(second: bool) {
    let machine = Shared::default();
    let change = share_of_a(&Machine::default(), 2, "one").expect("valid");
    let (losing, other) = (losing(&machine, false), without_majority());
    let mut addresses = vec![losing.address.as_str()];
    if second {
        addresses.push(&other.address);
    }
    let outcome = client(&addresses).submit(&change).await;
    assert!(matches!(outcome, Outcome::Unknown { attempts } if attempts.len() == addresses.len()));
    let resent = client(&[&sound(&machine).address]).submit(&change).await;
    assert_eq!(resent, Outcome::Accepted(1));
    assert_eq!(machine.lock().expect("no panic").configuration().version, 1);
}

/// A dead daemon, or one without a majority, must not stop the operator while another one can accept.
#[tokio::test]
async fn a_daemon_that_did_not_propose_is_followed_by_the_next() {
    let machine = Shared::default();
    let (_socket, dead) = refusing();
    let (cut_off, sound) = (without_majority(), sound(&machine));
    let change = share_of_a(&Machine::default(), 2, "one").expect("valid");
    let all = client(&[&dead, &cut_off.address, &sound.address]);
    assert_eq!(all.submit(&change).await, Outcome::Accepted(1));
    assert_eq!(all.configuration().await.expect("an answer").version, 1);
    for addresses in [vec![dead.as_str()], vec![&dead, &cut_off.address]] {
        let outcome = client(&addresses).submit(&change).await;
        assert!(matches!(outcome, Outcome::Refused(refused) if refused.code == api::UNAVAILABLE));
    }
    let unreachable = client(&[&dead]).configuration().await;
    assert!(matches!(unreachable, Err(Error::Unavailable { attempts }) if attempts.len() == 1));
}

/// Of two operators who start from the same version, the second must learn that it lost, and the current version.
#[tokio::test]
async fn racing_operators_are_told() {
    let machine = Shared::default();
    let daemon = sound(&machine);
    let client = client(&[&daemon.address]);
    let first = share_of_a(&Machine::default(), 2, "one").expect("valid");
    let second = share_of_a(&Machine::default(), 3, "two").expect("valid");
    assert_eq!(client.submit(&first).await, Outcome::Accepted(1));
    let outcome = client.submit(&second).await;
    assert!(
        matches!(&outcome, Outcome::Refused(r) if r.code == "base_version" && r.version == Some(1)),
        "{outcome:?}"
    );
}

/// A wrong key is wrong everywhere; asking the others would only hide the reason.
#[tokio::test]
async fn a_refused_key_is_reported() {
    let denying = Fake::start(|_| {
        let body = r#"{"error":{"code":"unauthorized","message":"wrong key","verdict":"not-run"}}"#;
        Act::Answer(401, body.to_owned())
    });
    let machine = Shared::default();
    let sound = sound(&machine);
    let client = client(&[&denying.address, &sound.address]);
    let error = client.configuration().await.expect_err("a refusal");
    assert!(matches!(&error, Error::Status { status: 401, message, .. } if message == "wrong key"));
    assert!(sound.requests.lock().expect("no panic").is_empty());
    assert!(!format!("{client:?}").contains("secret"));
}

/// A plan that the fleet would refuse must be stopped before the review, not after it.
#[test]
fn a_plan_is_checked_against_the_configuration() {
    let empty = Configuration::default();
    assert!(Plan::new(&empty).set_share(&name("a"), 2).is_err());
    let plan = Plan::new(&empty).drain_server(name("m1"));
    assert_eq!(
        plan.into_change(name("c")).expect_err("a refusal").action,
        Some(0)
    );
    let change = share_of_a(&Machine::default(), 2, "one").expect("valid");
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

/// A host that cannot be reached must neither count as done nor keep the operator waiting.
#[test]
fn progress_counts_reachable_hosts() {
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
