//! Non-idempotent requests that callers send again after lost answers, while hosts and links fail (G3, G4, G5).

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use primrose_engine::record::{Execution, Progress};
use primrose_engine::{Handle, Kind, Settings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::harness::{
    Answer, ExchangeError, Fleet, VOTERS, account_and_pools, eventually, exchange, exchange_within,
    follower, idempotent_call, payout_call, plain_stand_in, rounds, seed, server,
    server_with_slots, stand_in,
};

const CALLERS: u64 = 6;

/// Number of faults, which are injected one after another.
const FAULTS: usize = 10;

/// Time after which a caller treats the answer as lost. It is longer than most stops and isolations of hosts, and
/// shorter than the others.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Shorter than a call of the simulated server takes (5 ms), so the caller always resends a request that still runs.
const SHORT_ANSWER_TIMEOUT: Duration = Duration::from_millis(3);

/// Longer than the 10 s after which a host must not send a request under its claim.
const FREEZE_DURATION: Duration = Duration::from_secs(11);

const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];

/// The final outcome of the request with one key, as far as its caller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The caller received the answer, or was told that the request has completed.
    Complete,
    /// Every attempt was answered with "not run", or no connection was established.
    NotRun,
    /// An answer was lost, or the caller was told that the request may have run.
    Unknown,
}

/// All attempts of one caller to run the request with one key.
#[derive(Debug)]
struct Trace {
    key: String,
    outcome: Outcome,
    /// Codes of the answers in order; shown in messages.
    steps: Vec<String>,
}

/// Returns the outcome that the caller learns from one answer, and the code of the answer.
fn classify(answer: &Result<Answer, ExchangeError>, nonce: &str) -> (Outcome, String) {
    let answer = match answer {
        Ok(answer) => answer,
        Err(ExchangeError::NotSent) => return (Outcome::NotRun, "not sent".to_owned()),
        Err(ExchangeError::Broken) => return (Outcome::Unknown, "lost".to_owned()),
    };
    if answer.status == StatusCode::OK {
        let document: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(
            document["nonce"], nonce,
            "received the answer to another request"
        );
        return (Outcome::Complete, "answer".to_owned());
    }
    let error = answer.error();
    assert_ne!(error.code, "key_reused", "{nonce}");
    let outcome = match error.verdict.as_str() {
        "not-run" => Outcome::NotRun,
        "may-have-run" => Outcome::Unknown,
        "complete" => Outcome::Complete,
        other => panic!("unknown verdict {other}"),
    };
    (outcome, error.code)
}

/// Sends one request, up to four times to random hosts: again after a lost answer, and sometimes after "not run".
async fn call_with_retries(
    hosts: &[std::net::SocketAddr],
    key: String,
    rng: &mut SmallRng,
) -> Trace {
    let mut trace = Trace {
        key,
        outcome: Outcome::NotRun,
        steps: Vec::new(),
    };
    for _ in 0..4 {
        let host = hosts[rng.random_range(0..hosts.len())];
        let request = payout_call(&trace.key, &trace.key);
        let times_out_early = trace.steps.is_empty() && rng.random_bool(0.2);
        let limit = if times_out_early {
            SHORT_ANSWER_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        let answer = exchange_within(host, request, limit).await;
        let (outcome, step) = classify(&answer, &trace.key);
        let is_final = step == "duplicate_request";
        trace.steps.push(step);
        match outcome {
            Outcome::Complete => {
                trace.outcome = outcome;
                return trace;
            }
            Outcome::Unknown => trace.outcome = outcome,
            Outcome::NotRun => {}
        }
        // After a caller has stopped at "not run", the log of the simulated servers shows whether that was true.
        if is_final || (trace.outcome == Outcome::NotRun && rng.random_bool(0.5)) {
            return trace;
        }
    }
    trace
}

/// Injects faults of hosts and links, one at a time, and repairs each before the next. Calls every killed host and
/// returns these traces, so that some requests are "not run" in any case: on a busy machine, the other callers may be
/// waiting for other hosts while a host is down.
async fn inject_faults(fleet: &mut Fleet, rng: &mut SmallRng) -> Vec<Trace> {
    let mut callers = SmallRng::seed_from_u64(rng.random());
    let mut traces = Vec::new();
    for number in 0..FAULTS * rounds() {
        let at = rng.random_range(0..fleet.hosts.len());
        let ms = rng.random_range(100..3_000);
        match number % 3 {
            0 => {
                fleet.hosts[at].kill();
                let killed = [fleet.hosts[at].callers];
                traces.push(
                    call_with_retries(&killed, format!("killed-{number}"), &mut callers).await,
                );
                // Long enough for callers to try the closed port.
                pause(500 + ms / 3).await;
                fleet.hosts[at].start();
            }
            1 => {
                fleet.hosts[at].signal(Signal::STOP);
                pause(ms).await;
                fleet.hosts[at].signal(Signal::CONT);
            }
            _ => {
                fleet
                    .network
                    .isolate(DOMAINS[rng.random_range(0..DOMAINS.len())]);
                pause(ms).await;
                fleet.network.heal();
            }
        }
        pause(rng.random_range(100..700)).await;
    }
    traces
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Starts three voters, two hosts without a disk, and a simulated server of the plain service in each failure domain.
async fn fleet_with_payouts(seed: u64) -> (Fleet, Vec<Handle>) {
    let specs = [
        VOTERS[0],
        VOTERS[1],
        VOTERS[2],
        follower("e1", "d1"),
        follower("e2", "d2"),
    ];
    let fleet = Fleet::start_relayed(&specs).await;
    let mut actions = account_and_pools();
    let mut stand_ins = Vec::new();
    for (at, domain) in DOMAINS.iter().enumerate() {
        let handle = plain_stand_in(seed + at as u64).await;
        actions.push(server(&format!("p{}", at + 1), "payouts", domain, &handle));
        stand_ins.push(handle);
    }
    let version = fleet.change("set-up", actions).await;
    fleet.wait_version(version).await;
    (fleet, stand_ins)
}

/// Returns the executions with the given idempotency key on all simulated servers.
fn executions(stand_ins: &[Handle], key: &str) -> Vec<Execution> {
    let logs = stand_ins.iter().flat_map(|handle| handle.log().executions);
    logs.filter(|one| one.key.as_deref() == Some(key)).collect()
}

/// Guards against a request that runs twice because it was resent, a request that runs although its caller was told
/// "not run", an answer that is delivered to another caller, and "complete" for a request that has not completed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_payout_runs_twice_or_after_it_was_refused() {
    let seed = seed(0xc1a1);
    let (mut fleet, stand_ins) = fleet_with_payouts(seed).await;
    let hosts: Vec<_> = fleet.hosts.iter().map(|host| host.callers).collect();
    let done = std::sync::Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (hosts, done) = (hosts.clone(), done.clone());
            let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(caller + 1));
            tokio::spawn(async move {
                let mut traces = Vec::new();
                while !done.load(Ordering::Relaxed) {
                    let key = format!("k{caller}-{}", traces.len());
                    traces.push(call_with_retries(&hosts, key, &mut rng).await);
                    pause(rng.random_range(0..20)).await;
                }
                traces
            })
        })
        .collect();
    let mut traces = inject_faults(&mut fleet, &mut SmallRng::seed_from_u64(seed)).await;
    done.store(true, Ordering::Relaxed);
    for caller in callers {
        traces.extend(caller.await.expect("the caller task does not panic"));
    }
    fleet.wait_ready().await;
    // After a graceful shutdown, no host holds a request that could still run.
    for host in &mut fleet.hosts {
        host.signal(Signal::TERM);
        eventually("the process ends", async || host.has_ended().then_some(())).await;
    }
    let mut counts = [0; 3];
    for trace in &traces {
        counts[trace.outcome as usize] += 1;
        check_trace(trace, &stand_ins, seed);
    }
    let steps = traces.iter().flat_map(|trace| &trace.steps);
    let lost = steps.filter(|step| *step == "lost").count();
    println!(
        "{} keys: {} complete, {} not run, {} unknown; {lost} answers lost",
        traces.len(),
        counts[0],
        counts[1],
        counts[2]
    );
    assert!(
        counts[0] > 0 && counts[1] > 0 && lost > 0,
        "complete, not run and lost must each occur: {counts:?}, {lost} lost"
    );
}

fn check_trace(trace: &Trace, stand_ins: &[Handle], seed: u64) {
    let executions = executions(stand_ins, &trace.key);
    let shown = format!("seed {seed}: {trace:?} {executions:?}");
    assert!(executions.len() <= 1, "ran twice: {shown}");
    match trace.outcome {
        Outcome::Complete => {
            assert_eq!(executions.len(), 1, "did not run: {shown}");
            assert_eq!(executions[0].progress, Progress::Completed, "{shown}");
        }
        Outcome::NotRun => assert!(executions.is_empty(), "ran: {shown}"),
        Outcome::Unknown => {}
    }
}

/// Guards against an isolated failure domain without a majority of voters that runs non-idempotent requests with an
/// idempotency key, or that no longer serves other requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_domain_refuses_payouts_and_serves_other_requests() {
    let seed = seed(0x150);
    let (fleet, stand_ins) = fleet_with_payouts(seed).await;
    let isolated = &fleet.hosts[2];
    fleet.network.isolate("d3");
    for number in 0..3 {
        let key = format!("isolated-{number}");
        let refused = exchange(isolated.callers, payout_call(&key, &key)).await;
        let refused = refused.expect("an answer");
        refused.assert_refused(StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable");
        let nonce = format!("question-{number}");
        let answered = exchange(isolated.callers, idempotent_call(&nonce)).await;
        let (outcome, step) = classify(&answered, &nonce);
        assert_eq!(outcome, Outcome::Complete, "{step}");
        let other = format!("majority-{number}");
        let answered = exchange(fleet.hosts[0].callers, payout_call(&other, &other)).await;
        let (outcome, step) = classify(&answered, &other);
        assert_eq!(outcome, Outcome::Complete, "{step}");
    }
    assert_eq!(isolated.counter("claim_unavailable").await, 3);
    eventually("the isolated host sees no other domain", async || {
        let status = isolated.operator().status().await.ok()?;
        let mut reachable = status.hosts.iter().filter(|host| host.reachable);
        reachable
            .all(|host| host.domain.as_str() == "d3")
            .then_some(())
    })
    .await;
    fleet.network.heal();
    for number in 0..3 {
        let key = format!("isolated-{number}");
        assert!(
            executions(&stand_ins, &key).is_empty(),
            "a refused payout ran"
        );
        eventually("the payout runs after the isolation", async || {
            let answer = exchange(isolated.callers, payout_call(&key, &key)).await;
            (classify(&answer, &key).0 == Outcome::Complete).then_some(())
        })
        .await;
        assert_eq!(executions(&stand_ins, &key).len(), 1);
    }
}

/// Guards against a host that was stopped (SIGSTOP) and, after it continues, sends a request under a claim that is
/// older than its deadline of 10 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_was_frozen_does_not_act_on_its_old_claim() {
    let fleet = Fleet::start(&[VOTERS[0], follower("e1", "d1")]).await;
    let plain = stand_in(Settings {
        kind: Kind::Plain,
        service_ms: 1_500,
        ..Default::default()
    })
    .await;
    let mut actions = account_and_pools();
    actions.push(server_with_slots("p1", "payouts", "d1", &plain, 1));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let (voter, frozen) = (&fleet.hosts[0], &fleet.hosts[1]);
    let first = tokio::spawn(exchange(frozen.callers, payout_call("first", "first")));
    eventually("the only slot is taken", async || {
        (!executions(std::slice::from_ref(&plain), "first").is_empty()).then_some(())
    })
    .await;
    let second = tokio::spawn(exchange(frozen.callers, payout_call("second", "second")));
    eventually("the second payout is claimed", async || {
        (frozen.counter("claim_granted").await == 2).then_some(())
    })
    .await;
    frozen.signal(Signal::STOP);
    tokio::time::sleep(FREEZE_DURATION).await;
    frozen.signal(Signal::CONT);
    let second = second.await.expect("the caller task does not panic");
    let (outcome, step) = classify(&second, "second");
    assert_eq!(outcome, Outcome::NotRun, "{step}");
    let first = first.await.expect("the caller task does not panic");
    assert_eq!(classify(&first, "first").0, Outcome::Complete);
    let runs = |key| executions(std::slice::from_ref(&plain), key).len();
    assert_eq!(runs("second"), 0, "a refused payout ran");
    eventually("the payout runs through another host", async || {
        let answer = exchange(voter.callers, payout_call("second", "second")).await;
        (classify(&answer, "second").0 == Outcome::Complete).then_some(())
    })
    .await;
    assert_eq!((runs("first"), runs("second")), (1, 1));
}
