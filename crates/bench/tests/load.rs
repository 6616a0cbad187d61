//! Tests of the load generator and its checks.

#![allow(clippy::unwrap_used, reason = "a step that fails also fails the test")]

use std::net::SocketAddr;

use primrose_base::verdict::Verdict;
use primrose_bench::load::check::{self, Rule};
use primrose_bench::load::fairness::{self, Series};
use primrose_bench::load::history::{Attempt, Kind, Outcome};
use primrose_bench::load::report::Report;
use primrose_bench::load::settings::Settings;
use primrose_bench::load::{overhead, run, workload};
use primrose_engine::record::{Execution, Log, Progress};
use primrose_engine::{Faults, Handle, Kind as Service, bind};
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

async fn start_stand_in(kind: Service, faults: Faults) -> Handle {
    let settings = primrose_engine::Settings {
        kind,
        faults,
        step_base_ms: 0.1,
        step_sequence_ms: 0.0,
        prefill_ms: 0.0,
        service_ms: 0,
        ..primrose_engine::Settings::default()
    };
    bind(settings).await.unwrap()
}

/// Returns an address that refuses connections, with the socket that keeps it reserved.
///
/// The socket stays bound, so that no other test receives the same port.
fn refusing_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// Settings for 60 calls by one closed-loop and one open-loop account.
fn settings(target: SocketAddr, plain: SocketAddr, logs: &[SocketAddr]) -> Settings {
    let mut settings = Settings::parse(&format!(
        "
seed: 5
run: test
duration_s: 600
requests: 60
settle_ms: 0
targets: ['{target}']
plain_targets: ['{plain}', '{plain}']
accounts:
- name: closed
  behaviour: {{kind: backlogged, in_flight: 4}}
  output: {{median: 5, sigma: 1, max: 40}}
  plain: {{pool: orders, share: 0.3}}
- name: open
  behaviour: {{kind: open, rate: 500}}
  output: {{median: 5}}
"
    ))
    .unwrap();
    settings.logs = logs.to_vec();
    settings
}

/// Guards against checks that report a violation without a fault, and against calls or tokens that are not counted.
#[tokio::test]
async fn run_without_faults_passes() {
    let model = start_stand_in(Service::Model, Faults::default()).await;
    let plain = start_stand_in(Service::Plain, Faults::default()).await;
    let settings = settings(
        model.address,
        plain.address,
        &[model.control, plain.control],
    );
    let record = run::run(&settings).await.unwrap();
    let check = check::run(&settings, &record.history).await;
    let report = Report::new(&settings, &record, check);
    assert!(report.passes(), "{report}");
    assert_eq!((report.served, report.check.executions), (60, 60));
    let tokens = record
        .tokens
        .iter()
        .flatten()
        .map(|tokens| tokens.input + tokens.output);
    let attempts = record
        .history
        .iter()
        .filter(|attempt| attempt.kind != Kind::Plain);
    let expected = attempts.map(|attempt| u64::from(attempt.prompt_tokens + attempt.output_tokens));
    assert_eq!(tokens.sum::<u64>(), expected.sum::<u64>());
    assert!(
        record
            .tokens
            .iter()
            .flatten()
            .any(|tokens| tokens.events > 0),
        "no event with tokens was counted"
    );
}

/// Guards against faulty answers that the client does not detect.
#[test_case(Faults { swap: 1.0, ..Faults::default() }, Outcome::Foreign)]
#[test_case(Faults { cut: 1.0, ..Faults::default() }, Outcome::Broken)]
#[test_case(Faults { refuse: 1.0, ..Faults::default() }, Outcome::Broken)]
#[tokio::test]
async fn faulty_answers_are_detected(faults: Faults, expected: Outcome) {
    let model = start_stand_in(Service::Model, faults).await;
    let plain = start_stand_in(Service::Plain, faults).await;
    let record = run::run(&settings(model.address, plain.address, &[]))
        .await
        .unwrap();
    let outcomes = record.history.iter().map(|attempt| attempt.outcome);
    assert!(
        outcomes.clone().all(|outcome| outcome != Outcome::Complete),
        "a faulty answer counted as complete"
    );
    assert!(
        outcomes.clone().any(|outcome| outcome == expected),
        "no attempt has the outcome {expected:?}"
    );
}

/// Guards against a run that passes although it received no complete answer.
#[tokio::test]
async fn run_without_answers_fails() {
    let (_socket, address) = refusing_address();
    let settings = settings(address, address, &[]);
    let record = run::run(&settings).await.unwrap();
    let check = check::run(&settings, &record.history).await;
    assert!(check.passes());
    assert!(!Report::new(&settings, &record, check).passes());
}

/// Guards against a saturation run that leaves out a stand-in or includes plain calls, which occupy no slots.
#[tokio::test]
async fn saturation_calls_every_stand_in() {
    let models = [
        start_stand_in(Service::Model, Faults::default()).await,
        start_stand_in(Service::Model, Faults::default()).await,
    ];
    let mut settings = settings(
        models[0].address,
        models[0].address,
        &[models[0].control, models[1].control],
    );
    settings.direct = vec![models[0].address, models[1].address];
    settings.slots = Some(8);
    let report = overhead::saturate(&settings).await.unwrap();
    assert!(report.passes(), "{report}");
    assert!(
        models
            .iter()
            .all(|model| !model.log().executions.is_empty()),
        "every stand-in must receive calls"
    );
    assert_eq!((report.plain.count, report.served), (0, 60));
}

/// Guards against a comparison that confuses the two paths or uses the same nonces for both.
#[tokio::test]
async fn overhead_measures_both_paths() {
    let (direct, through) = (
        start_stand_in(Service::Model, Faults::default()).await,
        start_stand_in(Service::Model, Faults::default()).await,
    );
    let mut settings = settings(
        through.address,
        through.address,
        &[direct.control, through.control],
    );
    settings.plain_targets.clear();
    settings.accounts.truncate(1);
    settings.accounts[0].plain = None;
    settings.direct = vec![direct.address];
    settings.processes = vec![std::process::id()];
    let overhead = overhead::measure(&settings, 2).await.unwrap();
    assert!(overhead.check.passes(), "{:?}", overhead.check);
    assert_eq!(
        (
            direct.log().executions.len(),
            through.log().executions.len()
        ),
        (120, 120)
    );
    assert_eq!((overhead.direct.failed, overhead.through.failed), (0, 0));
}

/// Guards against a run that passes although the log of a stand-in could not be read.
#[tokio::test]
async fn unread_log_fails_the_run() {
    let model = start_stand_in(Service::Model, Faults::default()).await;
    let (_socket, address) = refusing_address();
    let settings = settings(model.address, model.address, &[model.control, address]);
    let check = check::run(&settings, &[]).await;
    assert_eq!(check.unread, [address]);
    assert!(!check.passes());
}

/// Guards against an error code or verdict that is misread, and an undetected contradiction between header and body.
#[test_case(
    "x-primrose-verdict: not-run\r\n",
    "not-run",
    Some(Verdict::NotRun),
    false
)]
#[test_case(
    "x-primrose-verdict: not-run\r\n",
    "complete",
    Some(Verdict::NotRun),
    true
)]
#[test_case("", "may-have-run", None, true)]
#[tokio::test]
async fn error_answer_is_parsed(
    header: &str,
    verdict: &str,
    expected: Option<Verdict>,
    contradiction: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = format!(r#"{{"error":{{"code":"overload","message":"m","verdict":"{verdict}"}}}}"#);
    let answer = format!(
        "HTTP/1.1 429 Too Many Requests\r\n{header}connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 65_536]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let mut settings = settings(address, address, &[]);
    settings.requests = Some(1);
    settings.accounts.truncate(1);
    let record = run::run(&settings).await.unwrap();
    let attempt = &record.history[0];
    assert_eq!((attempt.outcome, attempt.status), (Outcome::Refused, 429));
    assert_eq!(
        (attempt.code.as_deref(), attempt.verdict),
        (Some("overload"), expected)
    );
    assert_eq!(attempt.contradiction, contradiction);
}

fn attempt(outcome: Outcome, verdict: Option<Verdict>) -> Attempt {
    Attempt {
        account: 0,
        target: 0,
        nonce: "n".to_owned(),
        number: 0,
        kind: Kind::Plain,
        non_idempotent: true,
        key: Some("k".to_owned()),
        start_us: 0,
        first_us: None,
        end_us: 1,
        outcome,
        status: 0,
        code: None,
        verdict,
        contradiction: false,
        request_id: Some("r".to_owned()),
        prompt_tokens: 0,
        output_tokens: 0,
    }
}

fn execution(nonce: &str, request_id: &str, key: &str, progress: Progress) -> Execution {
    Execution {
        request_id: request_id.to_owned(),
        key: Some(key.to_owned()),
        nonce: nonce.to_owned(),
        account: None,
        progress,
        prompt_tokens: 0,
        requested_tokens: 0,
        output_tokens: 0,
        resumed: 0,
    }
}

/// Guards against a violated guarantee that the comparison with the logs misses, and a correct run that it rejects.
#[test_case(attempt(Outcome::Complete, None), &[("n", "r", "k", Progress::Completed)], &[]; "correct run")]
#[test_case(attempt(Outcome::Broken, None), &[("n", "r", "k", Progress::Started)], &[]; "lost answer")]
#[test_case(attempt(Outcome::Complete, None), &[], &[Rule::CompleteWithoutExecution]; "answer without an execution")]
#[test_case(attempt(Outcome::Complete, None), &[("n", "r", "k", Progress::Cancelled)],
    &[Rule::CompleteWithoutExecution]; "answer to a cancelled execution")]
#[test_case(attempt(Outcome::Complete, None), &[("n", "", "k", Progress::Completed), ("m", "r", "", Progress::Completed)],
    &[Rule::SwappedAnswer]; "id of another request")]
#[test_case(attempt(Outcome::Refused, Some(Verdict::NotRun)), &[("n", "x", "k", Progress::Started)],
    &[Rule::NotRunButStarted]; "not run, found by nonce")]
#[test_case(attempt(Outcome::Refused, Some(Verdict::NotRun)), &[("", "r", "", Progress::Cancelled)],
    &[Rule::NotRunButStarted]; "not run, found by request id")]
#[test_case(attempt(Outcome::Refused, Some(Verdict::MayHaveRun)), &[("n", "r", "k", Progress::Started)], &[];
    "may have run")]
#[test_case(attempt(Outcome::Refused, Some(Verdict::Complete)), &[("n", "r", "k", Progress::Started)],
    &[Rule::FalseComplete]; "not complete")]
#[test_case(attempt(Outcome::Broken, None), &[("n", "r", "", Progress::Started), ("n", "s", "", Progress::Started)],
    &[Rule::ExecutedTwice]; "twice by nonce")]
#[test_case(attempt(Outcome::Broken, None), &[("n", "r", "k", Progress::Started), ("", "s", "k", Progress::Started)],
    &[Rule::ExecutedTwice]; "twice by key")]
fn check_with_logs_finds_violations(
    attempt: Attempt,
    runs: &[(&str, &str, &str, Progress)],
    expected: &[Rule],
) {
    // Each execution is in the log of a different stand-in, because executions on all stand-ins must count.
    let log = |run: &(&str, &str, &str, Progress)| Log {
        executions: vec![execution(run.0, run.1, run.2, run.3)],
        ..Log::default()
    };
    let logs: Vec<Log> = runs.iter().map(log).collect();
    let found: Vec<Rule> = check::check_with_logs(&[attempt], &logs)
        .iter()
        .map(|violation| violation.rule)
        .collect();
    assert_eq!(found, expected);
}

/// Guards against a false violation if the first attempt of a call ran and the second one was refused as "not run".
#[test]
fn refused_second_attempt_is_no_violation() {
    let first = attempt(Outcome::Broken, None);
    let mut second = attempt(Outcome::Refused, Some(Verdict::NotRun));
    (second.number, second.request_id) = (1, Some("s".to_owned()));
    let log = Log {
        executions: vec![execution("n", "r", "k", Progress::Completed)],
        ..Log::default()
    };
    assert_eq!(check::check_with_logs(&[first, second], &[log]), []);
}

/// Guards against a gap that is measured only from the start of the run, or between accounts of different models.
#[test_case("m", &[0.0, 10.0, 20.0], &[0.0, 10.0, 20.0], 0.0; "equal")]
#[test_case("m", &[0.0, 10.0, 20.0], &[0.0, 5.0, 10.0], 10.0; "steady lead")]
#[test_case("m", &[0.0, 0.0, 30.0], &[0.0, 20.0, 30.0], 20.0; "lead of the second in between")]
#[test_case("m", &[0.0, 0.0, 50.0], &[0.0, 20.0, 20.0], 50.0; "lag followed by a lead")]
#[test_case("other", &[0.0, 50.0], &[0.0, 0.0], 0.0; "another model")]
fn largest_gap_over_all_time_spans(group: &str, one: &[f64], two: &[f64], expected: f64) {
    let series = |account: &str, group: &str, service: &[f64]| Series {
        account: account.to_owned(),
        group: group.to_owned(),
        service: service.to_vec(),
    };
    let largest = fairness::largest_gap(&[series("a", group, one), series("b", "m", two)]);
    assert_eq!(largest.gap, expected);
}

/// Guards against calls that differ between runs with the same seed, lengths out of range, and resends of
/// non-idempotent calls without a key.
#[test]
fn calls_are_determined_by_the_seed() {
    let any: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let mut settings = settings(any, any, &[]);
    settings.accounts[0].documents = 2;
    let draw = |seed| {
        let mut random = StdRng::seed_from_u64(seed);
        let call = |index: u32| {
            workload::draw(0, &settings.accounts[0], format!("n-{index}"), &mut random)
        };
        (0..500).map(call).collect::<Vec<_>>()
    };
    let (one, two) = (draw(1), draw(1));
    assert!(
        one.iter()
            .zip(&two)
            .all(|(a, b)| a.body == b.body && a.key == b.key),
        "the same seed must give the same calls"
    );
    assert!(
        one.iter().zip(&draw(2)).any(|(a, b)| a.body != b.body),
        "another seed must give other calls"
    );
    assert!(
        one.iter()
            .all(|call| call.output <= 40 && call.prompt <= 4_000),
        "a length exceeds its maximum"
    );
    assert!(
        one.iter()
            .all(|call| call.resends == 0 || call.key.is_some() || !call.non_idempotent),
        "a non-idempotent call without a key may be resent"
    );
}

/// Guards against a resend to the target whose answer was lost, and against weights that are ignored.
#[test]
fn targets_follow_the_spread() {
    let any: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let mut settings = settings(any, any, &[]);
    settings.targets = vec![any; 3];
    settings.plain_targets.clear();
    settings.spread = serde_yaml_ng::from_str("{kind: weighted, weights: [0, 1, 0]}").unwrap();
    let mut random = StdRng::seed_from_u64(1);
    let call = workload::draw(1, &settings.accounts[1], "n".to_owned(), &mut random);
    for _ in 0..100 {
        assert_eq!(settings.choose_target(&call, &mut random), 1);
        assert_ne!(settings.choose_other_target(&call, 1, &mut random), 1);
    }
}

/// Guards against an example file that is no longer valid.
#[test]
fn example_settings_are_valid() {
    let settings = Settings::parse(include_str!("../settings/load.yaml")).unwrap();
    assert_eq!(settings.accounts.len(), 4);
}

/// Guards against a mistyped setting that is silently ignored.
#[test]
fn unknown_settings_are_refused() {
    let text = "{targets: ['127.0.0.1:1'], accounts: [], duration: 3}";
    assert!(Settings::parse(text).is_err());
}

/// Guards against a wrong CPU time for a program whose name contains spaces and parentheses.
#[test]
fn cpu_time_is_read() {
    let stat = "42 (a) b (c)) S 1 42 42 0 -1 4194560 9 0 0 0 250 50 0 0 20 0 4 0 100 1 1";
    assert_eq!(overhead::parse_ticks(stat), Some(300));
    assert!(overhead::cpu_s(&[std::process::id()]).is_ok());
}
