//! Backend servers that repeat an earlier answer on a kept connection, or break off in the middle of an answer (G3 to
//! G5).

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use primrose_engine::answer;
use test_case::test_case;

use crate::harness::{
    Answer, ExchangeError, Fleet, VOTERS, account_and_pools, chat, eventually, exchange,
    idempotent_call,
};
use crate::scripted::{IDLE, Receipt, Servers, Step, chat_body, complete};

/// The text by which the answer to a plain request is known.
fn plain_text(body: &str) -> String {
    format!("answer to {body}")
}

/// Repeats an answer. The text of a request names whether answers have a request id and when the copy is sent.
fn repeat(receipt: &Receipt) -> Vec<Step> {
    let text = &receipt.text;
    let id = if text.contains("named") {
        format!("X-Request-Id: {}\r\n", receipt.request_id)
    } else {
        String::new()
    };
    let own = complete(&id, &plain_text(text));
    if text.contains("first") && text.contains("idle") {
        return vec![Step::Send(own.clone()), Step::Pause(IDLE), Step::Send(own)];
    }
    if text.contains("first") && text.contains("after") {
        return vec![Step::Send(own.clone() + &own)];
    }
    if text.contains("next") && text.contains("sent") && receipt.is_reused {
        let id = if id.is_empty() {
            ""
        } else {
            "X-Request-Id: first\r\n"
        };
        let copy = complete(id, &plain_text("first"));
        return vec![Step::Send(copy), Step::Pause(IDLE), Step::Send(own)];
    }
    vec![Step::Send(own)]
}

// A server that repeats an earlier answer must not make the daemon give it to the next caller. Servers need not repeat
// the request id, so a copy without one cannot be told from the answer of such a server.
#[test_case("named", "idle" ; "with an id on an idle connection")]
#[test_case("named", "after" ; "with an id right after an answer")]
#[test_case("named", "sent" ; "with an id after a request was sent")]
#[test_case("anonymous", "idle" ; "without an id on an idle connection")]
#[test_case("anonymous", "after" ; "without an id right after an answer")]
#[test_case("anonymous", "sent" ; "without an id after a request was sent")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn copy_of_an_answer_reaches_no_other_caller(named: &str, point: &str) {
    let fleet = Fleet::start(&VOTERS[..1]).await;
    let servers = Servers::open(1, repeat).await;
    let mut actions = account_and_pools();
    actions.extend(servers.actions("payouts"));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let callers = fleet.hosts[0].callers;
    for number in 0..5 {
        let first = format!("first-{named}-{point}-{number}");
        eventually("the first request is served", async || {
            let answer = exchange(callers, idempotent_call(&first)).await.ok()?;
            (answer.status == StatusCode::OK).then_some(())
        })
        .await;
        tokio::time::sleep(2 * IDLE).await;
        let next = format!("next-{named}-{point}-{number}");
        let answer = exchange(callers, idempotent_call(&next)).await;
        let answer = answer.expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status == StatusCode::OK {
            assert!(
                text.contains(&format!("answer to {}", answer::format_nonce(&next))),
                "{text}"
            );
        } else {
            assert_eq!(answer.error().verdict, "may-have-run", "{text}");
        }
        assert!(servers.count(&next) > 0, "{next} has reached no server");
    }
}

/// Answers with the request id, and repeats an answer without it, as the text of a request says.
fn repeat_without_id(receipt: &Receipt) -> Vec<Step> {
    let text = &receipt.text;
    let is_chat = text.contains("messages");
    let body = if is_chat {
        chat_body()
    } else {
        plain_text(text)
    };
    let kind = if is_chat {
        "Content-Type: text/event-stream\r\n"
    } else {
        ""
    };
    let headers = format!("X-Request-Id: {}\r\n{kind}", receipt.request_id);
    let own = complete(&headers, &body);
    let copy = complete(kind, &body.replace("two", "copy").replace("answer", "copy"));
    let copy = if text.contains("refusal") {
        copy.replacen("200 OK", "503 Service Unavailable", 1)
    } else {
        copy
    };
    if text.contains("first") && text.contains("idle") {
        return vec![Step::Send(own), Step::Pause(IDLE), Step::Send(copy)];
    }
    if text.contains("first") && text.contains("after") {
        return vec![Step::Send(own + &copy)];
    }
    if text.contains("next") && text.contains("sent") && receipt.is_reused {
        return vec![Step::Send(copy), Step::Pause(IDLE), Step::Send(own)];
    }
    vec![Step::Send(own)]
}

// A copy may lack the request id although the server repeats it in its answers, for instance if it was written by another
// part of the server. On a connection on which the server has repeated an id, the next caller must not get it.
#[test_case("plain", "answer", "idle" ; "answer on an idle connection")]
#[test_case("plain", "answer", "after" ; "answer right after an answer")]
#[test_case("plain", "answer", "sent" ; "answer after a request was sent")]
#[test_case("plain", "refusal", "idle" ; "refusal on an idle connection")]
#[test_case("plain", "refusal", "after" ; "refusal right after an answer")]
#[test_case("plain", "refusal", "sent" ; "refusal after a request was sent")]
#[test_case("chat", "answer", "idle" ; "stream on an idle connection")]
#[test_case("chat", "answer", "after" ; "stream right after an answer")]
#[test_case("chat", "answer", "sent" ; "stream after a request was sent")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn copy_without_an_id_reaches_no_other_caller(pool: &str, copy: &str, point: &str) {
    let fleet = Fleet::start(&VOTERS[..1]).await;
    let servers = Servers::open(1, repeat_without_id).await;
    let mut actions = account_and_pools();
    actions.extend(servers.actions(if pool == "chat" { pool } else { "payouts" }));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let callers = fleet.hosts[0].callers;
    for number in 0..5 {
        let first = format!("first-{copy}-{point}-{number}");
        eventually("the first request is served", async || {
            let answer = exchange(callers, call(pool, &first)).await.ok()?;
            (answer.status == StatusCode::OK).then_some(())
        })
        .await;
        tokio::time::sleep(2 * IDLE).await;
        let next = format!("next-{copy}-{point}-{number}");
        let answer = exchange(callers, call(pool, &next)).await;
        let expected = if pool == "chat" {
            chat_body()
        } else {
            plain_text(&answer::format_nonce(&next))
        };
        check(&next, answer, &expected);
        assert!(servers.count(&next) > 0, "{next} has reached no server");
    }
}

/// Breaks off the first answer to a request at the point and in the way that its text names. The next one is whole.
fn break_off(receipt: &Receipt) -> Vec<Step> {
    let text = &receipt.text;
    let is_chat = text.contains("messages");
    let body = if is_chat {
        chat_body()
    } else {
        plain_text(text)
    };
    let id = format!("X-Request-Id: {}\r\n", receipt.request_id);
    let kind = if is_chat || text.contains("-event") {
        "Content-Type: text/event-stream\r\n"
    } else {
        "Content-Type: application/octet-stream\r\n"
    };
    let headers = id + kind;
    let sized = complete(&headers, &body);
    if receipt.count > 1 || text.contains("whole") {
        return vec![Step::Send(sized)];
    }
    let half = &body[..body.len() / 2];
    let chunk = format!("{:x}\r\n{half}\r\n", half.len());
    let chunked = format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
    let unsized_head = format!("HTTP/1.1 200 OK\r\n{headers}\r\n");
    let point = POINTS
        .iter()
        .find(|point| text.contains(&format!("-{point}-")));
    let sent = match *point.expect("a point") {
        "nothing" => String::new(),
        "head" => sized[..20].to_owned(),
        "sized" => sized[..sized.len() - body.len()].to_owned(),
        "half" => sized[..sized.len() - body.len() + half.len()].to_owned(),
        "chunked" => chunked,
        "chunk" => format!("{chunked}{:x}\r\n{half}", body.len()),
        "end" => chunked + &chunk,
        "trailers" => chunked + &chunk + "0\r\n",
        "unsized" => unsized_head + half,
        point => panic!("no point {point}"),
    };
    let end = if text.contains("closed") {
        Step::Close
    } else {
        Step::Reset
    };
    vec![Step::Send(sent), end]
}

/// Points at which an answer breaks off: before it, in its head, after a head with a length, in such a body, after a
/// head with chunks, in a chunk, before and in the last chunk, and in a body without a length.
const POINTS: [&str; 9] = [
    "nothing", "head", "sized", "half", "chunked", "chunk", "end", "trailers", "unsized",
];

fn call(kind: &str, id: &str) -> Request<Full<Bytes>> {
    if kind == "chat" {
        chat(id, 8, true)
    } else {
        idempotent_call(id)
    }
}

/// Checks that an answer is whole, or does not look complete and denies no run.
fn check(id: &str, answer: Result<Answer, ExchangeError>, expected: &str) {
    let answer = match answer {
        Ok(answer) => answer,
        Err(ExchangeError::Broken) => return,
        Err(ExchangeError::NotSent) => panic!("{id}: the daemon refused the connection"),
    };
    let text = String::from_utf8_lossy(&answer.body);
    if answer.status == StatusCode::OK {
        assert!(text.contains(expected), "{id}: {text}");
    } else {
        assert_eq!(answer.error().verdict, "may-have-run", "{id}: {text}");
    }
}

// An answer that breaks off must not look complete, and a request that must not run twice must not be sent again or be
// called not run.
#[test_case("plain" ; "document of a plain service")]
#[test_case("event" ; "stream of a plain service")]
#[test_case("chat" ; "stream of a model")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_that_breaks_off_is_not_complete(kind: &str) {
    let fleet = Fleet::start(&VOTERS[..1]).await;
    // A server that sent no whole head is not used again for a while, so there is one for each such case.
    let servers = Servers::open(10, break_off).await;
    let mut actions = account_and_pools();
    let pool = if kind == "chat" { "chat" } else { "payouts" };
    actions.extend(servers.actions(pool));
    fleet
        .wait_version(fleet.change("set-up", actions).await)
        .await;
    let callers = fleet.hosts[0].callers;
    for point in POINTS {
        for way in ["closed", "reset"] {
            for may_repeat in [false, true] {
                let id = format!("cut-{way}-{may_repeat}-{point}-{kind}");
                eventually("the server is in use", async || {
                    let answer = exchange(callers, call(kind, &format!("whole-{id}"))).await;
                    (answer.ok()?.status == StatusCode::OK).then_some(())
                })
                .await;
                let mut request = call(kind, &id);
                let expected = if kind == "chat" {
                    "data: [DONE]".to_owned()
                } else {
                    plain_text(&answer::format_nonce(&id))
                };
                if !may_repeat {
                    let value = "true".parse().expect("a header value");
                    let headers = request.headers_mut();
                    headers.insert("x-primrose-non-idempotent", value);
                }
                let answer = exchange(callers, request).await;
                if (kind, point, way) == ("plain", "unsized", "closed") {
                    // A document without a length ends with its connection, so a close is its end.
                    let answer = answer.expect("an answer");
                    let sent = &expected[..expected.len() / 2];
                    assert_eq!(
                        (answer.status, &*answer.body),
                        (StatusCode::OK, sent.as_bytes())
                    );
                } else {
                    check(&id, answer, &expected);
                }
                let runs = servers.count(&id) - servers.count(&format!("whole-{id}"));
                let most = if may_repeat { 4 } else { 1 };
                assert!((1..=most).contains(&runs), "{id} ran {runs} times");
            }
        }
    }
}
