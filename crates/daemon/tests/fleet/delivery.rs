//! Answers of backend servers that fail, and of servers and hosts that leave (G3, G6, G7).

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

const CALLERS: u64 = 6;

/// Requests of each caller.
const REQUESTS: usize = 60;

/// Attempts that the daemon makes for one request.
const MAX_ATTEMPTS: usize = 4;

/// Time in which a leaving server may still receive new work, by G6.
const LEAVING: Duration = Duration::from_secs(3);

/// A stand-in for a model engine that makes a token every `step_ms`.
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

/// The text that a chat answer carries, or none if an event stream has no end.
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

/// One request of the test and what it is allowed to do.
struct Case {
    nonce: String,
    tokens: u32,
    is_chat: bool,
    is_idempotent: bool,
    request: Request<Full<Bytes>>,
}

fn draw(nonce: String, rng: &mut SmallRng) -> Case {
    let tokens = rng.random_range(1..30);
    let is_chat = rng.random_bool(0.7);
    let is_idempotent = rng.random_bool(0.7);
    let mut request = if is_chat {
        chat(&answer::mark(&nonce), tokens, rng.random_bool(0.6))
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

/// What became of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    NotRun,
    Unknown,
}

fn judge(case: &Case, answer: Result<Answer, ExchangeError>) -> End {
    let answer = match answer {
        Ok(answer) => answer,
        Err(ExchangeError::Broken) => return End::Unknown,
        Err(ExchangeError::NotSent) => panic!("the daemon accepts no connection"),
    };
    if answer.status != StatusCode::OK {
        let error = answer.error();
        return match error.verdict.as_str() {
            "not-run" => End::NotRun,
            "may-have-run" => End::Unknown,
            other => panic!("{}: verdict {other}", case.nonce),
        };
    }
    if case.is_chat {
        let expected = Some(answer::whole(&case.nonce, case.tokens));
        assert_eq!(content(&answer), expected, "{}", case.nonce);
    } else {
        let document: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(document["nonce"], case.nonce.as_str());
    }
    End::Whole
}

/// Guards against an answer that is reported complete and is cut short or belongs to another request, and against a
/// repetition of a request that must not be repeated or whose caller was told that it did not run.
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
                let mut ends = Vec::new();
                for number in 0..REQUESTS * rounds() {
                    let case = draw(format!("n{caller}-{number}"), &mut rng);
                    let host = hosts[rng.random_range(0..hosts.len())];
                    let answer = exchange(host, case.request.clone()).await;
                    let end = judge(&case, answer);
                    ends.push((case, end));
                }
                ends
            })
        })
        .collect();
    // Two servers die in turn while the callers are at work, and come back.
    for round in 0..6 {
        let dying = &stand_ins[round % 2];
        dying.set_faults(Faults {
            refuse: 1.0,
            ..faults
        });
        dying.disconnect();
        tokio::time::sleep(Duration::from_millis(150)).await;
        dying.set_faults(faults);
    }
    let mut counts = [0; 3];
    let mut ends = Vec::new();
    for caller in callers {
        ends.extend(caller.await.expect("a caller ends well"));
    }
    let executions: Vec<_> = stand_ins
        .iter()
        .flat_map(|one| one.log().executions)
        .collect();
    for (case, end) in &ends {
        counts[*end as usize] += 1;
        let runs = executions
            .iter()
            .filter(|one| one.nonce == case.nonce)
            .count();
        let (least, most) = match (end, case.is_idempotent) {
            (End::NotRun, _) => (0, 0),
            (End::Whole, true) => (1, MAX_ATTEMPTS),
            (End::Whole, false) => (1, 1),
            (End::Unknown, true) => (0, MAX_ATTEMPTS),
            (End::Unknown, false) => (0, 1),
        };
        assert!(
            (least..=most).contains(&runs),
            "seed {seed}: {} {end:?} ran {runs} times",
            case.nonce
        );
    }
    println!(
        "{} whole, {} not run, {} unknown",
        counts[0], counts[1], counts[2]
    );
    assert!(
        counts[0] > 0 && counts[2] > 0,
        "the faults reached the requests"
    );
    let mut wrong = 0;
    for host in &fleet.hosts {
        wrong += host.counter("answer_wrong_request").await;
    }
    assert!(wrong > 0, "answers to other requests were met");
}

/// Guards against retries that multiply the load just when the backend servers fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_retry_budget_bounds_the_attempts() {
    const CALLS: u64 = 60;
    /// Retries that an account has beside a tenth of its requests.
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
        // The stand-in answers with the id of the request before, which on the second attempt is the right one.
        if answer.status == StatusCode::OK {
            continue;
        }
        let error = answer.error();
        assert_eq!(error.code, "wrong_answer");
        // What the first attempt may have done stays true when the budget refuses the second.
        assert_eq!(error.verdict, "may-have-run");
    }
    let dispatched = host.counter("dispatched").await;
    assert!(dispatched > CALLS, "the budget allows some retries");
    assert!(
        dispatched <= CALLS + CALLS / 10 + BASE,
        "{dispatched} attempts for {CALLS} calls"
    );
    assert!(host.counter("no_retry_budget").await > 0);
}

/// Guards against a shutdown that breaks streams, refuses new calls without a verdict, or never ends.
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
    let leaving = fleet.hosts[1].callers;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let prompt = answer::mark(&format!("stream-{number}"));
            tokio::spawn(exchange(leaving, chat(&prompt, TOKENS, true)))
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
    let refused = exchange(leaving, chat("late", 1, true)).await;
    let refused = refused.expect("a host that still has requests in flight answers new calls");
    refused.assert_refused(StatusCode::SERVICE_UNAVAILABLE, "draining");
    let mut whole = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let answer = stream.await.expect("the caller ends well");
        let answer = answer.expect("a stream is not broken off");
        if answer.status == StatusCode::OK {
            let expected = answer::whole(&format!("stream-{number}"), TOKENS);
            assert_eq!(content(&answer), Some(expected));
            whole += 1;
        } else {
            // It still waited in the queue.
            answer.assert_refused(StatusCode::SERVICE_UNAVAILABLE, "draining");
        }
    }
    assert!(whole >= running, "{whole} of {running} streams ended whole");
    eventually("the process ends", async || {
        fleet.hosts[1].has_ended().then_some(())
    })
    .await;
}

/// Guards against work that starts on a leaving server after its departure is known everywhere, and against streams
/// that are broken off there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_server_gets_no_new_work_and_ends_its_streams() {
    const TOKENS: u32 = 30;
    let fleet = Fleet::start(&VOTERS).await;
    let leaving = model_stand_in(1, 20.0, Faults::default()).await;
    let staying = model_stand_in(2, 20.0, Faults::default()).await;
    let mut actions = account_and_pools();
    actions.push(server("m1", "chat", "d1", &leaving));
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
                    let request = chat(&answer::mark(&nonce), TOKENS, true);
                    let answer = exchange(host, request).await.expect("a whole answer");
                    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
                    assert_eq!(content(&answer), Some(answer::whole(&nonce, TOKENS)));
                }
            })
        })
        .collect();
    eventually("both servers work", async || {
        let work = [&leaving, &staying].map(|one| one.log().executions.len());
        work.iter().all(|count| *count >= 8).then_some(())
    })
    .await;
    let drain = vec![Action::DrainServer(name("m1"))];
    fleet.wait_version(fleet.change("drain", drain).await).await;
    tokio::time::sleep(LEAVING).await;
    let started = leaving.log().executions.len();
    let elsewhere = staying.log().executions.len();
    eventually("the other server goes on", async || {
        (staying.log().executions.len() >= elsewhere + 50).then_some(())
    })
    .await;
    done.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("every stream ends whole");
    }
    assert_eq!(
        leaving.log().executions.len(),
        started,
        "work started on a leaving server"
    );
}
