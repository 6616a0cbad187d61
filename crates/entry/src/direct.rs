//! Answers that are forwarded by the task of the caller's connection.
//!
//! An answer that cannot be resumed on another server needs no task of its own. Forwarded directly, an event costs
//! two wake-ups of a task instead of three, and no channel; on a host with a tenth of a processor this is a
//! noticeable part of its capacity.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use primrose_place::placer::Outcome;
use tokio::time::Sleep;

use crate::assignment::Assignment;
use crate::body::Interrupted;
use crate::request::{Answered, Job};
use crate::upstream::Connection;

/// An answer that is being forwarded. Invariant: its end is counted and logged exactly once, even if the caller
/// disconnects and the answer is dropped.
pub(crate) struct Answer {
    job: Job,
    body: Incoming,
    /// Fires at the end of the caller's deadline or of the route's timeout.
    timer: Pin<Box<Sleep>>,
    /// The connection to the server and the assignment, or `None` after the end of the answer.
    open: Option<(Connection, Assignment)>,
}

impl Answer {
    pub(crate) fn new(job: Job, answered: Answered) -> Answer {
        let timer = Box::pin(tokio::time::sleep_until(job.deadline));
        let mut answer = Answer {
            job,
            body: answered.body,
            timer,
            open: Some((answered.connection, answered.assignment)),
        };
        answer.complete_if_read();
        answer
    }

    /// Completes the answer if its body has been read. hyper does not poll a body again after all announced bytes,
    /// and does not poll an empty one at all, so this cannot wait for the next poll.
    fn complete_if_read(&mut self) {
        if self.body.is_end_stream() {
            self.complete();
        }
    }

    fn complete(&mut self) {
        if let Some((connection, assignment)) = self.open.take() {
            self.job.release(connection);
            assignment.end(Outcome::Answered { failed: false });
            self.job.record_complete("served");
        }
    }

    /// Ends an answer that is not complete. `code` is the name of a counter.
    fn interrupt(&mut self, outcome: Outcome, code: &'static str) {
        if let Some((_, assignment)) = self.open.take() {
            assignment.end(outcome);
            self.job.record_end(code, None);
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.interrupt(Outcome::Cancelled, "caller_gone");
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        let answer = self.get_mut();
        loop {
            let Some((_, assignment)) = &mut answer.open else {
                return Poll::Ready(None);
            };
            match Pin::new(&mut answer.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are not forwarded.
                    if let Ok(data) = frame.into_data() {
                        assignment.record_first_event();
                        answer.job.record_forwarded();
                        answer.complete_if_read();
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    answer.job.log_interruption(&error.to_string(), false);
                    let outcome = Outcome::Answered { failed: true };
                    answer.interrupt(outcome, "stream_broken");
                    return Poll::Ready(Some(Err(Interrupted)));
                }
                Poll::Ready(None) => {
                    answer.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending => break,
            }
        }
        if answer.timer.as_mut().poll(context).is_ready() {
            answer.interrupt(Outcome::Cancelled, "timeout");
            return Poll::Ready(Some(Err(Interrupted)));
        }
        Poll::Pending
    }
}
