//! Answers that are forwarded by the task of the caller's connection.
//!
//! An answer that cannot be resumed on another server needs no task that forwards it. Forwarded directly, an event
//! costs two wake-ups of a task instead of three, and no channel; on a host with a tenth of a processor this is a
//! noticeable part of its capacity. The only task of its own wakes at the limit of the request, if the answer
//! lasts so long.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame};
use primrose_base::clock::Time;
use primrose_place::placer::Outcome;
use tokio::task::AbortHandle;

use crate::assignment::Assignment;
use crate::body::Interrupted;
use crate::ending::Ending;
use crate::request::{Answered, Job};
use crate::stop;
use crate::upstream::{self, Connection};

/// An answer that is being forwarded. Invariant: its end is counted and logged exactly once, even if the caller
/// disconnects and the answer is dropped.
pub(crate) struct Answer {
    body: upstream::Body,
    /// `None` after the end of the answer.
    open: Arc<Mutex<Option<Open>>>,
    /// Whether the answer ended with its last byte.
    is_complete: bool,
    ending: Ending,
    /// Ends the answer at the limit of the request. It is a task, because a caller that stops
    /// reading also stops the polling of this body, and the server must not work for it any longer.
    timer: AbortHandle,
}

/// What is held for an answer until its end.
struct Open {
    job: Job,
    connection: Connection,
    assignment: Assignment,
}

impl Open {
    fn complete(self) {
        self.job.release(self.connection);
        self.assignment.end(Outcome::Answered { failed: false });
        self.job.record_complete("served");
    }

    /// Closes the connection to the server before the end of the answer. `code` is the name of a counter.
    fn interrupt(self, outcome: Outcome, code: &'static str) {
        drop(self.connection);
        self.assignment.end(outcome);
        self.job.record_end(code, None);
    }
}

impl Answer {
    pub(crate) fn new(job: Job, answered: Answered) -> Answer {
        let limit = job.limit.clone();
        let ending = Ending::new(&answered.head, &answered.body, job.route.kind.is_stream());
        let open = Arc::new(Mutex::new(Some(Open {
            job,
            connection: answered.connection,
            assignment: answered.assignment,
        })));
        let expiring = Arc::clone(&open);
        let timer = tokio::spawn(async move {
            limit.passed().await;
            if let Some(open) = lock(&expiring).take() {
                let code = open.job.limit_code();
                open.interrupt(Outcome::Cancelled, code);
            }
        });
        let mut answer = Answer {
            body: answered.body,
            open,
            is_complete: false,
            ending,
            timer: timer.abort_handle(),
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
        if let Some(open) = lock(&self.open).take() {
            self.is_complete = true;
            self.timer.abort();
            open.complete();
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.timer.abort();
        if let Some(open) = lock(&self.open).take() {
            let is_stop = open.job.shared.stop.is_over(Time::now());
            let code = if is_stop {
                stop::INTERRUPTED
            } else {
                "caller_gone"
            };
            open.interrupt(Outcome::Cancelled, code);
        }
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
            if answer.is_complete {
                return Poll::Ready(None);
            }
            let frame = Pin::new(&mut answer.body).poll_frame(context);
            let mut guard = lock(&answer.open);
            let Some(open) = guard.as_mut() else {
                // The timer has ended the answer.
                return Poll::Ready(Some(Err(Interrupted)));
            };
            match std::task::ready!(frame) {
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    if let Ok(data) = frame.into_data() {
                        answer.ending.push(&data);
                        open.assignment.record_first_event();
                        open.job.record_forwarded();
                        drop(guard);
                        answer.complete_if_read();
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                Some(Err(error)) => {
                    open.job.log_interruption(&error.to_string(), false);
                    return Poll::Ready(Some(Err(interrupt_broken(guard))));
                }
                None => {
                    if let Err(reason) = answer.ending.check() {
                        open.job.log_interruption(reason, false);
                        return Poll::Ready(Some(Err(interrupt_broken(guard))));
                    }
                    drop(guard);
                    answer.complete();
                    return Poll::Ready(None);
                }
            }
        }
    }
}

/// Ends an answer that its server broke off.
fn interrupt_broken(mut open: MutexGuard<'_, Option<Open>>) -> Interrupted {
    if let Some(open) = open.take() {
        drop(open.connection);
        open.assignment.end_broken();
        open.job.record_end("stream_broken", None);
    }
    Interrupted
}

fn lock(open: &Mutex<Option<Open>>) -> MutexGuard<'_, Option<Open>> {
    // Nothing can panic between two changes of the value, so it is valid even after a panic.
    open.lock().unwrap_or_else(PoisonError::into_inner)
}
