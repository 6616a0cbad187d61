//! Answers that are passed on by the task of the caller's connection.
//!
//! A stream that cannot go on elsewhere needs no task of its own. Passed on where it is written, an event costs two wakes
//! of a task instead of three and no channel, which on a host with a tenth of a processor is a part of its capacity.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use primrose_place::placer::Outcome;
use tokio::time::Sleep;

use crate::assignment::Assignment;
use crate::body::Broken;
use crate::request::{Answered, Job};
use crate::upstream::Connection;

/// An answer on its way. Invariant: its end is counted and logged once, also if the caller leaves and it is dropped.
pub(crate) struct Answer {
    job: Job,
    body: Incoming,
    /// Fires when the caller or the route gives up.
    timer: Pin<Box<Sleep>>,
    /// `None` after the end.
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
        answer.complete_if_all();
        answer
    }

    /// The body of an answer is not asked again after as many bytes as its head announces, nor at all if these are none.
    fn complete_if_all(&mut self) {
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

    /// Ends the answer without its end, with the name of a counter.
    fn break_off(&mut self, outcome: Outcome, code: &'static str) {
        if let Some((_, assignment)) = self.open.take() {
            assignment.end(outcome);
            self.job.record_end(code, None);
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.break_off(Outcome::Cancelled, "caller_gone");
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let answer = self.get_mut();
        loop {
            let Some((_, assignment)) = &mut answer.open else {
                return Poll::Ready(None);
            };
            match Pin::new(&mut answer.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers say nothing to the caller.
                    if let Ok(data) = frame.into_data() {
                        assignment.first();
                        answer.job.record_forwarded();
                        answer.complete_if_all();
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    answer.job.log_interruption(&error.to_string(), false);
                    let outcome = Outcome::Answered { failed: true };
                    answer.break_off(outcome, "stream_broken");
                    return Poll::Ready(Some(Err(Broken)));
                }
                Poll::Ready(None) => {
                    answer.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending => break,
            }
        }
        if answer.timer.as_mut().poll(context).is_ready() {
            answer.break_off(Outcome::Cancelled, "timeout");
            return Poll::Ready(Some(Err(Broken)));
        }
        Poll::Pending
    }
}
