//! One HTTP request to one daemon, on a connection of its own.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::key::Key;

/// Greatest length of a response body, in bytes. The configuration of 21,000 accounts takes 3.4 MB.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A request to the operators' interface.
pub(crate) struct Request<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: Bytes,
}

/// A completely received response.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The connection could not be opened, so the daemon has received nothing.
    NotSent(String),
    /// The daemon may have received the request, but no complete response arrived.
    NoResponse(String),
}

/// Opens a connection to `address` within `connect_timeout`, sends `request` and reads the whole response within
/// `response_timeout`.
pub(crate) async fn send(
    address: &str,
    key: &Key,
    request: &Request<'_>,
    connect_timeout: Duration,
    response_timeout: Duration,
) -> Result<Response, Failure> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(Failure::NotSent(describe(&cause))),
        Err(_) => return Err(Failure::NotSent("connection timed out".to_owned())),
    };
    match timeout(response_timeout, send_over(stream, address, key, request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(message)) => Err(Failure::NoResponse(message)),
        Err(_) => Err(Failure::NoResponse("response timed out".to_owned())),
    }
}

fn describe(cause: &io::Error) -> String {
    match cause.kind() {
        io::ErrorKind::ConnectionRefused => "connection refused".to_owned(),
        _ => cause.to_string(),
    }
}

async fn send_over(
    stream: TcpStream,
    address: &str,
    key: &Key,
    request: &Request<'_>,
) -> Result<Response, String> {
    let http_request = hyper::Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(header::HOST, address)
        .header(header::AUTHORIZATION, key.authorization())
        .header(header::CONTENT_TYPE, "application/yaml")
        .body(Full::new(request.body.clone()))
        .map_err(|cause| cause.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|cause| cause.to_string())?;
    // The task ends when the sender is dropped or the connection breaks.
    tokio::spawn(connection);
    let response = sender
        .send_request(http_request)
        .await
        .map_err(|cause| cause.to_string())?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|cause| cause.to_string())?;
    Ok(Response {
        status,
        body: body.to_bytes(),
    })
}
