//! Carries streams that go on at another server if theirs breaks off.

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
use crate::body::Broken;
use crate::event::Cutter;
use crate::request::{Answered, Job};

/// Pieces that wait for a slow caller; after that the server waits.
pub(crate) const PIECES: usize = 16;

/// Silence after which a stream that can be resumed goes on at another server, in multiples of its longest pause that is
/// on time. Callers leave after 2 s or more.
const SILENT_GAPS: u64 = 4;

/// The shortest such silence, in ms: an engine that preempts a request reads it again.
const MIN_SILENCE_MS: u64 = 1_200;

/// How a part of a stream ended.
enum End {
    Complete,
    Broken(String),
    Silent,
    TimedOut,
    CallerGone,
}

/// Carries the answer of a request. Only whole events are passed on.
pub(crate) async fn carry(
    mut job: Job,
    answered: Answered,
    pieces: mpsc::Sender<Result<Bytes, Broken>>,
) {
    let mut part = answered;
    let mut cutter = Cutter::default();
    loop {
        let Answered {
            body,
            connection,
            mut assignment,
            ..
        } = part;
        let mut passage = Passage {
            job: &mut job,
            pieces: &pieces,
            cutter: &mut cutter,
        };
        let end = passage.carry(body, &mut assignment).await;
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
                assignment.end(Outcome::Cancelled);
                break_off(&job, &pieces, "timeout").await;
                return;
            }
            End::Silent => "the server fell silent".to_owned(),
            End::Broken(error) => error,
        };
        drop(connection);
        assignment.end(Outcome::Answered { failed: true });
        if !job.may_resume(&reason) {
            break_off(&job, &pieces, "stream_broken").await;
            return;
        }
        cutter.discard();
        let last = cutter.last_id().map(str::to_owned);
        part = match job.send_until_answered(last.as_deref()).await {
            Ok(answered) if answered.head.status.is_success() => answered,
            Ok(answered) => {
                answered.assignment.end(Outcome::Answered { failed: true });
                break_off(&job, &pieces, "stream_broken").await;
                return;
            }
            Err(refusal) => {
                job.shared.meter.count("resume_refused");
                break_off(&job, &pieces, refusal.code).await;
                return;
            }
        };
    }
}

/// Ends the connection to the caller without the end of the answer.
async fn break_off(job: &Job, pieces: &mpsc::Sender<Result<Bytes, Broken>>, code: &'static str) {
    job.record_end(code, None);
    // The caller may have left.
    let _ = pieces.send(Err(Broken)).await;
}

struct Passage<'a> {
    job: &'a mut Job,
    pieces: &'a mpsc::Sender<Result<Bytes, Broken>>,
    cutter: &'a mut Cutter,
}

impl Passage<'_> {
    async fn carry(&mut self, mut body: Incoming, assignment: &mut Assignment) -> End {
        let silence = self.silence();
        let pieces = self.pieces;
        let mut closed = pin!(pieces.closed());
        // The timer is moved only when it fires, since most events come long before.
        let mut timer = pin!(tokio::time::sleep_until(self.ends(silence)));
        loop {
            let ends = self.ends(silence);
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
                        if now >= ends {
                            return End::Silent;
                        }
                        timer.as_mut().reset(ends);
                    }
                }
            };
            let data = match frame {
                None => return self.finish().await,
                Some(Err(error)) => return End::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    // Trailers say nothing to the caller.
                    Err(_) => continue,
                },
            };
            assignment.first();
            let passed = self.cutter.push(&data);
            if self.cutter.is_too_large() {
                return End::Broken("an event is too large".to_owned());
            }
            if !passed.is_empty() && !self.pass(passed).await {
                return End::CallerGone;
            }
        }
    }

    /// When the server has to have sent more.
    fn ends(&self, silence: Option<Duration>) -> Instant {
        let ends = self.job.deadline;
        silence.map_or(ends, |silence| (Instant::now() + silence).min(ends))
    }

    async fn pass(&mut self, bytes: Bytes) -> bool {
        self.job.record_forwarded();
        match self.pieces.try_send(Ok(bytes)) {
            Ok(()) => true,
            Err(TrySendError::Full(bytes)) => self.pieces.send(bytes).await.is_ok(),
            Err(TrySendError::Closed(_)) => false,
        }
    }

    /// The server has ended the stream.
    async fn finish(&mut self) -> End {
        if !self.cutter.is_torn() {
            return End::Complete;
        }
        let rest = self.cutter.finish();
        if self.pass(rest).await {
            End::Complete
        } else {
            End::CallerGone
        }
    }

    fn silence(&self) -> Option<Duration> {
        let gap = self.job.route.max_gap_ms?;
        Some(Duration::from_millis(
            (gap * SILENT_GAPS).max(MIN_SILENCE_MS),
        ))
    }
}
