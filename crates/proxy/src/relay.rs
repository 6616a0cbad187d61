//! Streams the body of an answer to the caller.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use hyper::body::{Body, Incoming};
use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use tokio::time::{Instant, Sleep};

use crate::claim;
use crate::dispatch::{End, Registration};
use crate::meter::Meter;

/// Minimum time between two progress reports of one request to the scheduler.
const PROGRESS_INTERVAL_MS: u64 = 100;

/// An answer of which nothing arrives for this long is ended, so that its slot becomes free.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The answer is incomplete. It makes the HTTP server close the caller's connection without ending the body.
#[derive(Debug, thiserror::Error)]
#[error("the backend server cut the answer short")]
pub(crate) struct CutShort;

/// The body of an answer, as the stream that is sent to the caller.
///
/// Dropping the stream before its end, as when the caller has disconnected, closes the connection to the backend
/// server, which cancels the request there.
pub(crate) struct Relay {
    body: Incoming,
    /// Bytes that were read before the status was sent to the caller; they are sent first.
    first: Option<Bytes>,
    meter: Meter,
    /// `None` once the end of the request has been reported.
    registration: Option<Registration>,
    claim: Option<claim::Handle>,
    progress_reported_at: Time,
    /// Ends the answer if the backend server sends nothing for [`STALL_TIMEOUT`].
    stall_timer: Pin<Box<Sleep>>,
    /// Called once if the answer is incomplete.
    on_cut_short: Box<dyn Fn() + Send>,
}

impl Relay {
    pub(crate) fn new(
        body: Incoming,
        first: Option<Bytes>,
        meter: Meter,
        registration: Registration,
        claim: Option<claim::Handle>,
        on_cut_short: Box<dyn Fn() + Send>,
    ) -> Relay {
        Relay {
            body,
            first,
            meter,
            registration: Some(registration),
            claim,
            progress_reported_at: Time::now(),
            stall_timer: Box::pin(tokio::time::sleep(STALL_TIMEOUT)),
            on_cut_short,
        }
    }

    fn measure(&mut self, bytes: &[u8]) {
        let now = Time::now();
        self.meter.feed(bytes, now);
        if now.since(self.progress_reported_at) < PROGRESS_INTERVAL_MS {
            return;
        }
        self.progress_reported_at = now;
        let usage = self.meter.usage();
        if let Some(registration) = &mut self.registration {
            registration.report_progress(usage);
        }
    }

    /// Reports the end of the request; returns the error that ends the stream if the answer is incomplete.
    fn finish(&mut self, complete: bool) -> Option<Result<Bytes, CutShort>> {
        let registration = self.registration.take()?;
        self.meter.finish();
        let complete = complete && self.meter.is_complete();
        let verdict = if complete {
            Verdict::Complete
        } else {
            Verdict::MayHaveRun
        };
        registration.end(End {
            verdict,
            usage: self.meter.usage(),
            unanswered: false,
        });
        if complete {
            if let Some(claim) = &mut self.claim {
                claim.complete();
            }
            return None;
        }
        (self.on_cut_short)();
        Some(Err(CutShort))
    }
}

impl Stream for Relay {
    type Item = Result<Bytes, CutShort>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(first) = self.first.take() {
            self.measure(&first);
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) else {
                std::task::ready!(self.stall_timer.as_mut().poll(context));
                return Poll::Ready(self.finish(false));
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.measure(&bytes);
                    self.stall_timer
                        .as_mut()
                        .reset(Instant::now() + STALL_TIMEOUT);
                    return Poll::Ready(Some(Ok(bytes)));
                }
                Some(Err(_)) => return Poll::Ready(self.finish(false)),
                None => return Poll::Ready(self.finish(true)),
            }
        }
    }
}
