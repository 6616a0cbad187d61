//! Forwards streams, and resumes a stream on another server if the connection to its server breaks or falls silent.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use primrose_place::placer::Outcome;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::Instant;

use crate::assignment::Assignment;
use crate::body::Interrupted;
use crate::event::Splitter;
use crate::request::{Answered, Job};

/// The most chunks that wait for a slow caller; reading from the server then pauses.
pub(crate) const MAX_WAITING_CHUNKS: usize = 16;

/// Silence after which a stream is resumed on another server, in multiples of the objective for its longest gap.
/// Callers give up after 2 s or more.
const MAX_SILENCE_GAPS: u64 = 4;

/// Lower bound of that silence, in ms: an engine that preempts a request prefills it again and sends nothing until
/// then.
const MIN_SILENCE_MS: u64 = 1_200;

/// How the part of a stream that one server sent has ended.
enum End {
    Complete,
    Broken(String),
    Silent,
    TimedOut,
    CallerGone,
}

/// Forwards the answer to a request, from as many servers as needed. Only complete events are forwarded.
pub(crate) async fn forward(
    mut job: Job,
    answered: Answered,
    sender: mpsc::Sender<Result<Bytes, Interrupted>>,
) {
    let mut part = answered;
    let mut splitter = Splitter::default();
    loop {
        let Answered {
            body,
            connection,
            mut assignment,
            ..
        } = part;
        let mut forwarder = Forwarder {
            job: &mut job,
            sender: &sender,
            splitter: &mut splitter,
        };
        let end = forwarder.forward(body, &mut assignment).await;
        let reason = match end {
            End::Complete => {
                job.release(connection);
                assignment.end(Outcome::Answered { failed: false });
                job.record_complete("served");
                return;
            }
            End::CallerGone => {
                assignment.end(Outcome::Cancelled);
                job.record_end("caller_gone", None);
                return;
            }
            End::TimedOut => {
                // The caller may not read, and the server must not work for it any longer.
                drop(connection);
                assignment.end(Outcome::Cancelled);
                job.interrupt(&sender, "timeout").await;
                return;
            }
            End::Silent => {
                job.shared.meter.count("stream_silent");
                "the server sent nothing for too long".to_owned()
            }
            End::Broken(error) => error,
        };
        drop(connection);
        assignment.end(Outcome::Answered { failed: true });
        if !job.may_resume(&reason) {
            job.interrupt(&sender, "stream_broken").await;
            return;
        }
        splitter.discard_partial();
        let last = splitter.last_id().map(str::to_owned);
        part = match job.send_until_answered(last.as_deref()).await {
            Ok(answered) if answered.head.status.is_success() => answered,
            Ok(answered) => {
                answered.assignment.end(Outcome::Answered { failed: true });
                job.gave_up = Some("gave_up_next_failed");
                job.interrupt(&sender, "stream_broken").await;
                return;
            }
            Err(refusal) => {
                job.shared.meter.count("resume_refused");
                job.interrupt(&sender, refusal.code).await;
                return;
            }
        };
    }
}

struct Forwarder<'a> {
    job: &'a mut Job,
    sender: &'a mpsc::Sender<Result<Bytes, Interrupted>>,
    splitter: &'a mut Splitter,
}

impl Forwarder<'_> {
    async fn forward(&mut self, mut body: Incoming, assignment: &mut Assignment) -> End {
        let max_silence = self.max_silence();
        let sender = self.sender;
        let mut closed = pin!(sender.closed());
        // The timer is reset only when it fires, since most events arrive long before.
        let mut deadline = self.next_deadline(max_silence);
        let mut timer = pin!(tokio::time::sleep_until(deadline));
        loop {
            let frame = loop {
                tokio::select! {
                    biased;
                    frame = body.frame() => break frame,
                    () = &mut closed => return End::CallerGone,
                    () = &mut timer => {
                        let now = Instant::now();
                        if now >= self.job.deadline {
                            return End::TimedOut;
                        }
                        if now >= deadline {
                            return End::Silent;
                        }
                        timer.as_mut().reset(deadline);
                    }
                }
            };
            let data = match frame {
                None => return self.finish().await,
                Some(Err(error)) => return End::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    // Trailers are not forwarded.
                    Err(_) => continue,
                },
            };
            assignment.record_first_event();
            let events = self.splitter.push(&data);
            if self.splitter.is_too_large() {
                return End::Broken("an event exceeds the size limit".to_owned());
            }
            // Bytes that complete no event do not end a silence: a stalled server may send one now and then.
            if events.is_empty() {
                continue;
            }
            if let Err(end) = self.send(events).await {
                return end;
            }
            deadline = self.next_deadline(max_silence);
        }
    }

    /// The time until which the server must complete the next event: the end of the longest allowed silence, or of
    /// the request.
    fn next_deadline(&self, max_silence: Option<Duration>) -> Instant {
        let deadline = self.job.deadline;
        max_silence.map_or(deadline, |max_silence| {
            (Instant::now() + max_silence).min(deadline)
        })
    }

    /// Passes events on to the caller, and waits for a slow one until the deadline. The error is the end of the answer.
    async fn send(&mut self, bytes: Bytes) -> Result<(), End> {
        self.job.record_forwarded();
        let bytes = match self.sender.try_send(Ok(bytes)) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(bytes)) => bytes,
            Err(TrySendError::Closed(_)) => return Err(End::CallerGone),
        };
        match tokio::time::timeout_at(self.job.deadline, self.sender.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(End::CallerGone),
            Err(_) => Err(End::TimedOut),
        }
    }

    /// Handles the end of the server's answer. The last event need not end with an empty line.
    async fn finish(&mut self) -> End {
        if !self.splitter.has_partial_event() {
            return End::Complete;
        }
        let rest = self.splitter.take_partial();
        match self.send(rest).await {
            Ok(()) => End::Complete,
            Err(end) => end,
        }
    }

    fn max_silence(&self) -> Option<Duration> {
        let gap = self.job.route.max_gap_ms?;
        Some(Duration::from_millis(
            (gap * MAX_SILENCE_GAPS).max(MIN_SILENCE_MS),
        ))
    }
}
