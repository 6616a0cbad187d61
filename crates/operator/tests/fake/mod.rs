//! A fake daemon: a small HTTP server in place of the operators' interface.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request that the fake daemon has received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    /// Method and path, separated by a space.
    pub(crate) target: String,
    /// Value of the `authorization` header; empty if there is none.
    pub(crate) authorization: String,
    /// Body, which must be UTF-8.
    pub(crate) body: String,
}

/// How the fake daemon responds to a request.
pub(crate) enum Response {
    /// A complete response with this status and body.
    Complete(u16, String),
    /// No response; the connection is closed.
    Missing,
    /// A response with status 200 and this body whose `content-length` is one byte too large; then the connection is
    /// closed.
    Truncated(String),
}

/// A running fake daemon. It runs until the test process exits.
pub(crate) struct FakeDaemon {
    /// Address, `IP:PORT`. The kernel chose the port.
    pub(crate) address: String,
    /// The requests received so far, in order of arrival.
    pub(crate) requests: Arc<Mutex<Vec<Request>>>,
}

impl FakeDaemon {
    /// Starts a fake daemon that responds to each request as `respond` says.
    pub(crate) fn start(
        mut respond: impl FnMut(&Request) -> Response + Send + 'static,
    ) -> FakeDaemon {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
        let received = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let request = read_request(&stream);
                received.lock().expect("no panic").push(request.clone());
                // A write fails if the client has closed the connection; the fake daemon ignores that.
                let _ = match respond(&request) {
                    Response::Complete(status, body) => {
                        write_response(&mut stream, status, body.len(), &body)
                    }
                    Response::Truncated(body) => {
                        write_response(&mut stream, 200, body.len() + 1, &body)
                    }
                    Response::Missing => Ok(()),
                };
            }
        });
        FakeDaemon { address, requests }
    }
}

fn read_request(stream: &TcpStream) -> Request {
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

fn write_response(
    stream: &mut TcpStream,
    status: u16,
    length: usize,
    body: &str,
) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}
