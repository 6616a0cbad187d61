//! A backend server. It prints one line for each event: `run ID PARTS`, `end ID`, `left ID`, `crash ID`.
//!
//! It behaves as the users' pages describe a model server: it runs requests in the order of arrival, on up to `slots`
//! connections at once, echoes the attempt id, signs its answers, and refuses requests for another instance with 421. If
//! the prompt of a request has the crashing part, the process ends when it begins to write the answer.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::http;

/// Settings of a server, which the driver passes as arguments in this order.
#[derive(Clone)]
struct Settings {
    address: String,
    id: String,
    /// The shared part that ends the process, or `-`.
    crashing: String,
    /// Prompt tokens that are read in a ms.
    tokens_per_ms: f64,
    events: u32,
    pause_ms: u64,
}

/// Whether the server leaves.
static IS_LEAVING: AtomicBool = AtomicBool::new(false);

static OUTPUT: Mutex<()> = Mutex::new(());

fn say(text: &str) {
    let _lock = OUTPUT.lock();
    let mut output = std::io::stdout();
    // The driver may have ended, and the process then ends with its next write.
    if writeln!(output, "{text}")
        .and_then(|()| output.flush())
        .is_err()
    {
        std::process::exit(0);
    }
}

pub fn run(arguments: &[String]) {
    let [address, id, crashing, tokens_per_ms, events, pause_ms] = arguments else {
        eprintln!("a server needs six arguments");
        std::process::exit(2);
    };
    let settings = Settings {
        address: address.clone(),
        id: id.clone(),
        crashing: crashing.clone(),
        tokens_per_ms: tokens_per_ms.parse().expect("a number"),
        events: events.parse().expect("a number"),
        pause_ms: pause_ms.parse().expect("a number"),
    };
    // The address of a server that has just ended may be in use for a moment.
    let listener = (0..50).find_map(|_| match TcpListener::bind(&settings.address) {
        Ok(listener) => Some(listener),
        Err(_) => {
            thread::sleep(Duration::from_millis(20));
            None
        }
    });
    let listener = listener.expect("the address is free");
    say("up");
    thread::spawn(|| {
        // The driver closes the input when it ends.
        for line in std::io::stdin().lines().map_while(Result::ok) {
            IS_LEAVING.fetch_or(line == "leave", Ordering::Relaxed);
        }
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let settings = settings.clone();
        thread::spawn(move || serve(stream, &settings));
    }
}

fn serve(mut stream: TcpStream, settings: &Settings) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Ok(Some(head)) = http::read_head(&mut stream, std::mem::take(&mut rest)) {
        let length = head
            .get("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let Ok((_, after)) = http::read_body(&mut stream, head.rest.clone(), length) else {
            return;
        };
        rest = after;
        if !answer(&mut stream, &head, settings) {
            return;
        }
    }
}

/// Answers a request, and returns whether the connection stays open.
fn answer(stream: &mut TcpStream, head: &http::Head, settings: &Settings) -> bool {
    let path = head.start.split(' ').nth(1).unwrap_or_default();
    if path == "/-/kv-list" {
        let body = "{\"epoch\":1,\"next\":0,\"held\":[]}";
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        return stream.write_all(text.as_bytes()).is_ok();
    }
    let Some(id) = head.get("primrosearch-attempt-id").map(str::to_owned) else {
        let text =
            "HTTP/1.1 400 Bad Request\r\nPrimrosearch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        return stream.write_all(text.as_bytes()).is_ok();
    };
    let expected = head.get("primrosearch-expect-instance");
    if expected.is_some_and(|expected| expected != settings.id) {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nPrimrosearch-Not-Run: 1\r\nPrimrosearch-Attempt-Id: {id}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return stream.write_all(text.as_bytes()).is_ok();
    }
    let prompt = head.get("primrosearch-prompt-prefix").unwrap_or_default();
    say(&format!("run {id} {prompt}"));
    let usage = head.get("primrosearch-token-usage").unwrap_or_default();
    let tokens: f64 = usage
        .split(',')
        .next()
        .and_then(|tokens| tokens.parse().ok())
        .unwrap_or(0.0);
    thread::sleep(Duration::from_secs_f64(
        tokens / settings.tokens_per_ms / 1_000.0,
    ));
    let mut parts = prompt.split(',').filter_map(|part| part.split(':').next());
    let crashes = parts.any(|part| part == settings.crashing);
    let leaving = if IS_LEAVING.load(Ordering::Relaxed) {
        "Server-Leaving: 1\r\n"
    } else {
        ""
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nPrimrosearch-Attempt-Id: {id}\r\nPrimrosearch-Response-Seal: {}.1\r\n{leaving}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        settings.id
    );
    if stream.write_all(head.as_bytes()).is_err() {
        say(&format!("left {id}"));
        return false;
    }
    if crashes {
        say(&format!("crash {id}"));
        std::process::exit(3);
    }
    for number in 1..=settings.events {
        let event = format!("id: {number}\ndata: token\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            say(&format!("left {id}"));
            return false;
        }
        thread::sleep(Duration::from_millis(settings.pause_ms));
    }
    say(&format!("end {id}"));
    stream.write_all(b"0\r\n\r\n").is_ok()
}
