//! One HTTP exchange with one daemon.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::key::Key;

/// The longest answer that is read, in bytes. The configuration of 21,000 accounts has 3.4 MB.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// What is asked of a daemon.
pub(crate) struct Question<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: Bytes,
}

/// A whole answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// An exchange failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No connection was made, so the daemon has seen nothing.
    NotSent(String),
    /// The daemon may have seen the question, but no whole answer came.
    Lost(String),
}

/// Sends `question` to `address` on a connection of its own and reads the whole answer.
pub(crate) async fn exchange(
    address: &str,
    key: &Key,
    question: &Question<'_>,
    connect: Duration,
    answer: Duration,
) -> Result<Answer, Failure> {
    let stream = match timeout(connect, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(Failure::NotSent(describe(&cause))),
        Err(_) => return Err(Failure::NotSent("no connection in time".to_owned())),
    };
    match timeout(answer, ask(stream, address, key, question)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(message)) => Err(Failure::Lost(message)),
        Err(_) => Err(Failure::Lost("no answer in time".to_owned())),
    }
}

fn describe(cause: &io::Error) -> String {
    match cause.kind() {
        io::ErrorKind::ConnectionRefused => "connection refused".to_owned(),
        _ => cause.to_string(),
    }
}

async fn ask(
    stream: TcpStream,
    address: &str,
    key: &Key,
    question: &Question<'_>,
) -> Result<Answer, String> {
    let request = Request::builder()
        .method(question.method)
        .uri(question.path)
        .header(header::HOST, address)
        .header(header::AUTHORIZATION, key.header())
        .header(header::CONTENT_TYPE, "application/yaml")
        .body(Full::new(question.body.clone()))
        .map_err(|cause| cause.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|cause| cause.to_string())?;
    // The task ends when the sender is dropped or the connection breaks.
    tokio::spawn(connection);
    let response = sender
        .send_request(request)
        .await
        .map_err(|cause| cause.to_string())?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|cause| cause.to_string())?;
    Ok(Answer {
        status,
        body: body.to_bytes(),
    })
}
