//! Backend servers that follow a script.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use primrose_config::{Action, spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::name;

/// How long a server waits before it repeats an answer on an idle connection, and before it resets one: longer than it
/// takes the daemon to read what was sent before.
pub(crate) const IDLE: Duration = Duration::from_millis(60);

/// A request that a server has received.
#[derive(Clone)]
pub(crate) struct Receipt {
    /// The request line and the headers.
    pub(crate) head: String,
    pub(crate) text: String,
    pub(crate) request_id: String,
    /// Whether its connection had carried a request before.
    pub(crate) is_reused: bool,
    /// How many requests with this text the servers have received, with this one.
    pub(crate) count: usize,
}

/// What a server does after a request has arrived.
pub(crate) enum Step {
    Send(String),
    Pause(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends the server's direction of the connection and reads on until the daemon closes it.
    Shut,
}

pub(crate) type Script = fn(&Receipt) -> Vec<Step>;

/// Backend servers that follow a script.
pub(crate) struct Servers {
    pub(crate) addresses: Vec<SocketAddr>,
    receipts: Arc<Mutex<Vec<Receipt>>>,
}

impl Servers {
    pub(crate) async fn open(count: usize, script: Script) -> Servers {
        let mut servers = Servers {
            addresses: Vec::new(),
            receipts: Arc::default(),
        };
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            servers.addresses.push(address);
            let receipts = Arc::clone(&servers.receipts);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    // A connection that the daemon closes ends with an error.
                    tokio::spawn(serve(stream, script, Arc::clone(&receipts)));
                }
            });
        }
        servers
    }

    pub(crate) fn actions(&self, pool: &str) -> Vec<Action> {
        self.actions_named(pool, "s")
    }

    /// Like [`Servers::actions`], with names that begin with `prefix`.
    pub(crate) fn actions_named(&self, pool: &str, prefix: &str) -> Vec<Action> {
        let addresses = self.addresses.iter().enumerate();
        let actions = addresses.map(|(at, address)| {
            Action::AddServer(spec::Server {
                name: name(&format!("{prefix}{at}")),
                pool: name(pool),
                address: *address,
                domain: name("d1"),
                slots: 8,
                checks_fencing: false,
            })
        });
        actions.collect()
    }

    /// The first request with `text` in its body that has arrived at a server.
    pub(crate) fn first(&self, text: &str) -> Option<Receipt> {
        let receipts = self.receipts.lock().expect("not poisoned");
        let mut same = receipts
            .iter()
            .filter(|receipt| receipt.text.contains(text));
        same.next().cloned()
    }

    /// How often requests with `text` in their body have arrived at the servers.
    pub(crate) fn count(&self, text: &str) -> usize {
        let receipts = self.receipts.lock().expect("not poisoned");
        let same = receipts
            .iter()
            .filter(|receipt| receipt.text.contains(text));
        same.count()
    }
}

async fn serve(
    mut stream: TcpStream,
    script: Script,
    receipts: Arc<Mutex<Vec<Receipt>>>,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    let mut is_reused = false;
    loop {
        while !is_whole(&bytes) {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
        }
        let text = String::from_utf8_lossy(&std::mem::take(&mut bytes)).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        let receipt = {
            let mut receipts = receipts.lock().expect("not poisoned");
            let earlier = receipts.iter().filter(|receipt| receipt.text == body);
            let receipt = Receipt {
                count: earlier.count() + 1,
                head: head.to_owned(),
                text: body.to_owned(),
                request_id: header(head, "x-request-id").unwrap_or_default().to_owned(),
                is_reused,
            };
            receipts.push(receipt.clone());
            receipt
        };
        for step in script(&receipt) {
            match step {
                Step::Send(text) => stream.write_all(text.as_bytes()).await?,
                Step::Pause(time) => tokio::time::sleep(time).await,
                Step::Close => return Ok(()),
                Step::Reset => {
                    tokio::time::sleep(IDLE).await;
                    return stream.set_zero_linger();
                }
                Step::Shut => {
                    stream.shutdown().await?;
                    while stream.read_buf(&mut bytes).await? > 0 {
                        bytes.clear();
                    }
                    return Ok(());
                }
            }
        }
        is_reused = true;
    }
}

fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    match header(head, "content-length") {
        Some(length) => body.len() >= length.parse().expect("a length"),
        None => header(head, "transfer-encoding").is_none() || body.ends_with("0\r\n\r\n"),
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
}

pub(crate) fn complete(headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

pub(crate) fn chat_body() -> String {
    let event = |text: &str| {
        format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
    };
    event("one") + &event("two") + "data: [DONE]\n\n"
}
