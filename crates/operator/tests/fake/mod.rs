//! A small HTTP server that stands in for the operators' interface of a daemon.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request as it arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    /// Method and path.
    pub(crate) target: String,
    /// The value of `authorization`.
    pub(crate) authorization: String,
    /// The body.
    pub(crate) body: String,
}

/// What the server does with a request.
pub(crate) enum Act {
    /// Answers with this status and body.
    Answer(u16, String),
    /// Closes the connection without an answer.
    Lose,
    /// Closes the connection in the middle of the answer.
    Cut(String),
}

/// A running server. It ends with the process.
pub(crate) struct Fake {
    /// IP:PORT; the kernel chose the port.
    pub(crate) address: String,
    /// What arrived so far.
    pub(crate) requests: Arc<Mutex<Vec<Request>>>,
}

impl Fake {
    /// Starts a server that does what `act` says.
    pub(crate) fn start(mut act: impl FnMut(&Request) -> Act + Send + 'static) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
        let arrived = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let request = read(&stream);
                arrived.lock().expect("no panic").push(request.clone());
                // A client that has gone away is its own affair.
                let _ = match act(&request) {
                    Act::Answer(status, body) => answer(&mut stream, status, body.len(), &body),
                    Act::Cut(body) => answer(&mut stream, 200, body.len() + 1, &body),
                    Act::Lose => Ok(()),
                };
            }
        });
        Fake { address, requests }
    }
}

fn read(stream: &TcpStream) -> Request {
    let mut reader = BufReader::new(stream);
    let mut request = Request::default();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header line");
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        match line.split_once(": ") {
            None => request.target = line.trim_end_matches(" HTTP/1.1").to_owned(),
            Some(("content-length", value)) => length = value.parse().expect("a number"),
            Some(("authorization", value)) => request.authorization = value.to_owned(),
            Some(_) => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the whole body");
    request.body = String::from_utf8(body).expect("text");
    request
}

fn answer(stream: &mut TcpStream, status: u16, length: usize, body: &str) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}
