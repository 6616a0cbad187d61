//! Answers of failing backend servers, draining servers and stopping hosts (G3, G6, G7).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use primrose_config::Action;
use primrose_engine::{Faults, Handle, Kind, Settings, answer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::harness::{
    Answer, ExchangeError, Fleet, VOTERS, account_and_pools, chat, eventually, exchange, follower,
    idempotent_call, name, plain_stand_in, rounds, seed, server, stand_in,
};

/// Number of concurrent callers.
const CALLERS: u64 = 6;

/// Number of requests of each caller.
const REQUESTS: usize = 60;

/// Upper limit for the executions of one idempotent request.
const MAX_ATTEMPTS: usize = 4;

/// Time after a drain is in force during which, by G6, the server may still receive new requests.
const DRAIN_DELAY: Duration = Duration::from_secs(3);

/// Starts a simulated model engine that generates a token every `step_ms`.
async fn model_stand_in(seed: u64, step_ms: f64, faults: Faults) -> Handle {
    stand_in(Settings {
        seed,
        step_base_ms: step_ms,
        prefill_ms: 0.0,
        faults,
        ..Default::default()
    })
    .await
}

/// Returns the text of a chat answer, or `None` if it is an event stream without `[DONE]`.
fn content(answer: &Answer) -> Option<String> {
    let text = std::str::from_utf8(&answer.body).expect("UTF-8");
    if !text.starts_with("data: ") {
        let document: serde_json::Value = serde_json::from_str(text).expect("JSON");
        let content = &document["choices"][0]["message"]["content"];
        return Some(content.as_str().expect("a text").to_owned());
    }
    let mut content = String::new();
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ").expect("an event");
        if data == "[DONE]" {
            return Some(content);
        }
        let document: serde_json::Value = serde_json::from_str(data).expect("JSON");
        let delta = &document["choices"][0]["delta"]["content"];
        content.push_str(delta.as_str().unwrap_or_default());
    }
    None
}

/// A request with the properties that decide which outcomes are allowed.
struct Case {
    nonce: String,
    tokens: u32,
    is_chat: bool,
    is_idempotent: bool,
    request: Request<Full<Bytes>>,
}

/// Returns a random request.
fn random_case(nonce: String, rng: &mut SmallRng) -> Case {
    let tokens = rng.random_range(1..30);
    let is_chat = rng.random_bool(0.7);
    let is_idempotent = rng.random_bool(0.7);
    let mut request = if is_chat {
        chat(&answer::format_nonce(&nonce), tokens, rng.random_bool(0.6))
    } else {
        idempotent_call(&nonce)
    };
    if !is_idempotent {
        let value = "true".parse().expect("a header value");
        request
            .headers_mut()
            .insert("x-primrose-non-idempotent", value);
    }
    Case {
        nonce,
        tokens,
        is_chat,
        is_idempotent,
        request,
    }
}

/// What the caller of a request knows at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    NotRun,
    Unknown,
}

/// Returns the outcome of a request; panics if a complete answer has the wrong contents.
fn classify(case: &Case, answer: Result<Answer, ExchangeError>) -> Outcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(ExchangeError::Broken) => return Outcome::Unknown,
        Err(ExchangeError::NotSent) => panic!("the daemon refused the connection"),
    };
    if answer.status != StatusCode::OK {
        let error = answer.error();
        return match error.verdict.as_str() {
            "not-run" => Outcome::NotRun,
            "may-have-run" => Outcome::Unknown,
            other => panic!("{}: verdict {other}", case.nonce),
        };
    }
    if case.is_chat {
        let expected = Some(answer::full_text(&case.nonce, case.tokens));
        assert_eq!(content(&answer), expected, "{}", case.nonce);
    } else {
        let document: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(document["nonce"], case.nonce.as_str());
    }
    Outcome::Complete
}

/// Guards against an answer that is reported as complete but is truncated or belongs to another request, and against
/// a second execution of a non-idempotent request or any execution of one whose caller was told "not run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_incomplete_or_foreign_answer_is_reported_complete() {
    let seed = seed(0xde11);
    let fleet = Fleet::start(&[VOTERS[0], follower("e1", "d1")]).await;
    let faults = Faults {
        cut: 0.15,
        swap: 0.1,
        refuse: 0.1,
        ..Default::default()
    };
    let mut stand_ins = Vec::new();
    let mut actions = account_and_pools();
    for at in 0..3 {
        let model = model_stand_in(seed + at, 1.0, faults).await;
        actions.push(server(&format!("m{at}"), "chat", "d1", &model));
        let plain = stand_in(Settings {
            kind: Kind::Plain,
            seed: seed + 10 + at,
            faults,
            ..Default::default()
        })
        .await;
        actions.push(server(&format!("p{at}"), "payouts", "d1", &plain));
        stand_ins.extend([model, plain]);
    }
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let hosts = hosts.clone();
            let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(caller + 100));
            tokio::spawn(async move {
                let mut outcomes = Vec::new();
                for number in 0..REQUESTS * rounds() {
                    let case = random_case(format!("n{caller}-{number}"), &mut rng);
                    let host = hosts[rng.random_range(0..hosts.len())];
                    let answer = exchange(host, case.request.clone()).await;
                    let outcome = classify(&case, answer);
                    outcomes.push((case, outcome));
                }
                outcomes
            })
        })
        .collect();
    // Two servers fail in turn while the callers send requests, and recover.
    for round in 0..6 {
        let failing = &stand_ins[round % 2];
        failing.set_faults(Faults {
            refuse: 1.0,
            ..faults
        });
        failing.disconnect();
        tokio::time::sleep(Duration::from_millis(150)).await;
        failing.set_faults(faults);
    }
    let mut counts = [0; 3];
    let mut outcomes = Vec::new();
    for caller in callers {
        outcomes.extend(caller.await.expect("the caller task does not panic"));
    }
    let executions: Vec<_> = stand_ins
        .iter()
        .flat_map(|one| one.log().executions)
        .collect();
    for (case, outcome) in &outcomes {
        counts[*outcome as usize] += 1;
        let runs = executions
            .iter()
            .filter(|one| one.nonce == case.nonce)
            .count();
        let (least, most) = match (outcome, case.is_idempotent) {
            (Outcome::NotRun, _) => (0, 0),
            (Outcome::Complete, true) => (1, MAX_ATTEMPTS),
            (Outcome::Complete, false) => (1, 1),
            (Outcome::Unknown, true) => (0, MAX_ATTEMPTS),
            (Outcome::Unknown, false) => (0, 1),
        };
        assert!(
            (least..=most).contains(&runs),
            "seed {seed}: {} {outcome:?} ran {runs} times",
            case.nonce
        );
    }
    println!(
        "{} complete, {} not run, {} unknown",
        counts[0], counts[1], counts[2]
    );
    assert!(
        counts[0] > 0 && counts[2] > 0,
        "complete and unknown outcomes must each occur: {counts:?}"
    );
    let mut wrong = 0;
    for host in &fleet.hosts {
        wrong += host.counter("answer_wrong_request").await;
    }
    assert!(wrong > 0, "no answer to another request was received");
}

/// Guards against retries that multiply the load while backend servers fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_retry_budget_bounds_the_attempts() {
    const CALLS: u64 = 60;
    /// Retries that an account may have in addition to a tenth of its requests.
    const BASE: u64 = 10;
    let fleet = Fleet::start(&VOTERS[..1]).await;
    let plain = plain_stand_in(1).await;
    plain.set_faults(Faults {
        swap: 1.0,
        ..Default::default()
    });
    let mut actions = account_and_pools();
    actions.push(server("p1", "payouts", "d1", &plain));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let host = &fleet.hosts[0];
    for number in 0..CALLS {
        let request = idempotent_call(&format!("q{number}"));
        let answer = exchange(host.callers, request).await.expect("an answer");
        // With the fault `swap`, the server answers with the id of the previous request. On the second attempt this
        // is the right id, because both attempts have the same one.
        if answer.status == StatusCode::OK {
            continue;
        }
        let error = answer.error();
        assert_eq!(error.code, "wrong_answer");
        // The first attempt may have run, even if the budget refuses the second one.
        assert_eq!(error.verdict, "may-have-run");
    }
    let dispatched = host.counter("dispatched").await;
    assert!(dispatched > CALLS, "there were no retries");
    assert!(
        dispatched <= CALLS + CALLS / 10 + BASE,
        "{dispatched} attempts for {CALLS} calls"
    );
    assert!(
        host.counter("no_retry_budget").await > 0,
        "the budget refused no retry"
    );
}

/// Guards against a shutdown that interrupts streams, refuses new requests without a verdict, or never ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_interrupts_no_stream() {
    const STREAMS: usize = 12;
    const TOKENS: u32 = 60;
    let mut fleet = Fleet::start(&[VOTERS[0], follower("e1", "d1")]).await;
    let model = model_stand_in(1, 40.0, Faults::default()).await;
    let mut actions = account_and_pools();
    actions.push(server("m0", "chat", "d1", &model));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let stopping = fleet.hosts[1].callers;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let prompt = answer::format_nonce(&format!("stream-{number}"));
            tokio::spawn(exchange(stopping, chat(&prompt, TOKENS, true)))
        })
        .collect();
    eventually("streams run", async || {
        (!model.log().executions.is_empty()).then_some(())
    })
    .await;
    let running = model.log().executions.len();
    fleet.hosts[1].signal(Signal::TERM);
    eventually("readiness answers 503", async || {
        (fleet.hosts[1].health("/readyz").await? == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    })
    .await;
    let refused = exchange(stopping, chat("late", 1, true)).await;
    let refused = refused.expect("a host with requests in flight answers new requests");
    refused.assert_refused(StatusCode::SERVICE_UNAVAILABLE, "draining");
    let mut complete = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let answer = stream.await.expect("the caller task does not panic");
        let answer = answer.expect("the stream is not interrupted");
        if answer.status == StatusCode::OK {
            let expected = answer::full_text(&format!("stream-{number}"), TOKENS);
            assert_eq!(content(&answer), Some(expected));
            complete += 1;
        } else {
            // The request still waited in the queue.
            answer.assert_refused(StatusCode::SERVICE_UNAVAILABLE, "draining");
        }
    }
    assert!(
        complete >= running,
        "{complete} of {running} streams were complete"
    );
    eventually("the process ends", async || {
        fleet.hosts[1].has_ended().then_some(())
    })
    .await;
}

/// Guards against requests that start on a draining server after all hosts know of the drain, and against streams
/// that are interrupted there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_gets_no_new_requests_and_finishes_its_streams() {
    const TOKENS: u32 = 30;
    let fleet = Fleet::start(&VOTERS).await;
    let draining = model_stand_in(1, 20.0, Faults::default()).await;
    let staying = model_stand_in(2, 20.0, Faults::default()).await;
    let mut actions = account_and_pools();
    actions.push(server("m1", "chat", "d1", &draining));
    actions.push(server("m2", "chat", "d2", &staying));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let done = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..24)
        .map(|caller| {
            let host = fleet.hosts[caller % 3].callers;
            let done = Arc::clone(&done);
            tokio::spawn(async move {
                for number in 0.. {
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    let nonce = format!("s{caller}-{number}");
                    let request = chat(&answer::format_nonce(&nonce), TOKENS, true);
                    let answer = exchange(host, request).await.expect("a complete answer");
                    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
                    assert_eq!(content(&answer), Some(answer::full_text(&nonce, TOKENS)));
                }
            })
        })
        .collect();
    eventually("both servers have requests", async || {
        let counts = [&draining, &staying].map(|one| one.log().executions.len());
        counts.iter().all(|count| *count >= 8).then_some(())
    })
    .await;
    let drain = vec![Action::DrainServer(name("m1"))];
    fleet.wait_version(fleet.change("drain", drain).await).await;
    tokio::time::sleep(DRAIN_DELAY).await;
    let started = draining.log().executions.len();
    let elsewhere = staying.log().executions.len();
    eventually("the other server gets further requests", async || {
        (staying.log().executions.len() >= elsewhere + 50).then_some(())
    })
    .await;
    done.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("every stream ends complete");
    }
    assert_eq!(
        draining.log().executions.len(),
        started,
        "a request started on a draining server"
    );
}
