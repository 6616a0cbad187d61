//! Answers that are buffered until they are complete, and what happens to one that outgrows the buffer.
//!
//! A complete answer in the buffer can still be replaced by that of another server if its connection breaks. A server
//! in trouble may send bytes without end, so the buffer is bounded, as is the memory of all buffers together: a larger answer
//! is forwarded as it arrives, no faster than the caller reads, until the limit of the request.

use std::pin::pin;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use primrose_place::placer::Outcome;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::body::Interrupted;
use crate::ending::Ending;
use crate::memory::Reservation;
use crate::request::{Answered, Job};
use crate::stop;
use crate::upstream::Body;

/// The most bytes of an answer that are buffered. A longer answer is forwarded as it arrives.
pub(crate) const MAX_BYTES: usize = 512 << 10;

/// A caller that takes nothing for this long before the deadline is the reason that an answer did not end; otherwise
/// the server is.
const SLOW_CALLER: Duration = Duration::from_millis(250);

/// The part of an answer that was buffered.
pub(crate) enum Buffered {
    /// The whole answer.
    Whole(Bytes),
    /// The start of an answer that is longer than [`MAX_BYTES`], or for which too little memory is left.
    Start(Bytes),
}

/// Reads an answer until it is complete, exceeds [`MAX_BYTES`] or cannot be reserved.
///
/// # Errors
///
/// Returns the error of the connection to the server, or the reason why the answer is not whole.
pub(crate) async fn read(
    body: &mut Body,
    ending: &mut Ending,
    mut reservation: Reservation,
) -> Result<Buffered, String> {
    let mut bytes = BytesMut::new();
    while let Some(data) = next_chunk(body, ending).await? {
        bytes.put(data);
        if !reservation.resize(bytes.len()) || bytes.len() > MAX_BYTES {
            return Ok(Buffered::Start(reservation.hold(bytes.freeze())));
        }
    }
    Ok(Buffered::Whole(reservation.hold(bytes.freeze())))
}

/// Forwards `start`, which `ending` has followed, and the rest of an answer that outgrew the buffer. Holds one chunk at a
/// time.
pub(crate) async fn forward(
    mut job: Job,
    answered: Answered,
    mut ending: Ending,
    start: Bytes,
    sender: mpsc::Sender<Result<Bytes, Interrupted>>,
) {
    let Answered {
        mut body,
        connection,
        assignment,
        ..
    } = answered;
    let mut chunk = start;
    let limit = job.limit.clone();
    let mut passed = pin!(limit.passed());
    let (outcome, code) = loop {
        job.record_forwarded();
        let waiting_since = Instant::now();
        let sent = tokio::select! {
            biased;
            sent = sender.send(Ok(chunk)) => Some(sent),
            () = &mut passed => None,
        };
        match sent {
            Some(Ok(())) => {}
            Some(Err(_)) => break (Outcome::Cancelled, "caller_gone"),
            None if limit.is_stop() => break (Outcome::Cancelled, stop::INTERRUPTED),
            None if waiting_since.elapsed() >= SLOW_CALLER => {
                break (Outcome::Cancelled, "timeout");
            }
            None => break (Outcome::Answered { failed: true }, "answer_endless"),
        }
        let next = tokio::select! {
            biased;
            next = next_chunk(&mut body, &mut ending) => Some(next),
            () = &mut passed => None,
        };
        chunk = match next {
            Some(Ok(Some(chunk))) => chunk,
            Some(Ok(None)) => {
                job.release(connection);
                assignment.end(Outcome::Answered { failed: false });
                job.record_complete("served");
                return;
            }
            Some(Err(error)) => {
                job.log_interruption(&error, false);
                drop(connection);
                assignment.end_broken();
                job.interrupt(&sender, "answer_broken").await;
                return;
            }
            None if limit.is_stop() => break (Outcome::Cancelled, stop::INTERRUPTED),
            None => break (Outcome::Answered { failed: true }, "answer_endless"),
        };
    };
    drop(connection);
    assignment.end(outcome);
    job.interrupt(&sender, code).await;
}

/// The next data of a body, or `None` at its end. The error is that of the connection, or the reason why the body is not
/// whole. Trailers are not forwarded.
async fn next_chunk(body: &mut Body, ending: &mut Ending) -> Result<Option<Bytes>, String> {
    let next = next_data(body).await.map_err(|error| error.to_string())?;
    match &next {
        Some(data) => ending.push(data),
        None => ending.check()?,
    }
    Ok(next)
}

/// The next data of a body, or `None` at its end.
pub(crate) async fn next_data<B>(body: &mut B) -> Result<Option<Bytes>, hyper::Error>
where
    B: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin,
{
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
