//! Forwards streams, and resumes a stream on another server if the connection to its server breaks.
//!
//! If the server falls silent, another server is asked to resume the stream, and the one that sends the next event goes
//! on with it. The silent server keeps the request until then.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use primrose_base::clock::Time;
use primrose_place::placer::Outcome;
use slog::info;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::Instant;

use crate::assignment::Assignment;
use crate::body::Interrupted;
use crate::ending;
use crate::event::Splitter;
use crate::failure::Failure;
use crate::form::Form;
use crate::memory::{self, Memory, Reservation};
use crate::request::{Answered, Job};
use crate::silence::Watch;
use crate::upstream::{self, Connection};

/// The most chunks that wait for a slow caller; reading from the server then pauses.
pub(crate) const MAX_WAITING_CHUNKS: usize = 16;

/// Chunks longer than this, in bytes, wait one after the other.
const MAX_SMALL_CHUNK_BYTES: usize = 4 << 10;

/// How the part of a stream that one server sends ends.
enum End {
    Complete,
    Broken(String),
    TimedOut,
    CallerGone,
}

/// The part of a stream that one server sends.
struct Part {
    body: upstream::Body,
    connection: Connection,
    assignment: Assignment,
    /// Whether the answer announces its end. Otherwise its connection may close in the middle of an event.
    has_announced_end: bool,
    /// The memory of the event that has arrived in part.
    reservation: Reservation,
}

impl Part {
    fn new(answered: Answered, memory: &Memory) -> Part {
        Part {
            reservation: memory.reservation(),
            has_announced_end: ending::is_announced(&answered.head, &answered.body),
            body: answered.body,
            connection: answered.connection,
            assignment: answered.assignment,
        }
    }

    /// Closes the connection to the server, which cancels the request, and reports the outcome.
    fn end(self, outcome: Outcome) {
        drop(self.connection);
        self.assignment.end(outcome);
    }

    /// Closes the broken connection to the server and reports it.
    fn end_broken(self) {
        drop(self.connection);
        self.assignment.end_broken();
    }

    /// Waits until the server has completed an event, and returns all that it has completed.
    async fn next_events(&mut self, splitter: &mut Splitter) -> Result<Bytes, End> {
        loop {
            let events = self.next_bytes(splitter).await?;
            // Bytes that complete no event do not end a silence: a stalled server may send one now and then.
            if !events.is_empty() {
                return Ok(events);
            }
        }
    }

    /// Waits for bytes of the server, and returns the events that they complete.
    async fn next_bytes(&mut self, splitter: &mut Splitter) -> Result<Bytes, End> {
        loop {
            let data = match self.body.frame().await {
                None => return Err(End::Complete),
                Some(Err(error)) => return Err(End::Broken(error.to_string())),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    // Trailers are not forwarded.
                    Err(_) => continue,
                },
            };
            self.assignment.record_first_event();
            let events = splitter.push(&data);
            if let Some(fault) = splitter.fault() {
                return Err(End::Broken(fault.to_owned()));
            }
            if !self.reservation.resize(splitter.partial_bytes()) {
                let reason = "too little memory is left for the start of an event";
                return Err(End::Broken(reason.to_owned()));
            }
            return Ok(events);
        }
    }
}

/// A part with which another server resumes the stream.
struct Resumed {
    part: Part,
    splitter: Splitter,
    /// The events that have arrived already, if any is complete.
    events: Bytes,
    /// Whether the part has ended without a byte.
    is_empty: bool,
}

impl Resumed {
    /// Goes on with the stream of the silent server that `silent` follows. `None` if the part has ended before the
    /// stream.
    fn go_on(mut self, silent: &Splitter) -> Option<Resumed> {
        // The silent server may have begun an event since the other one was asked.
        self.splitter.record_begun(silent);
        if self.is_empty && self.splitter.end(self.part.has_announced_end).is_err() {
            self.part.end_broken();
            return None;
        }
        Some(self)
    }
}

/// What follows after another server was asked to resume a stream whose server is silent.
enum Next {
    /// The other server goes on with the stream.
    Other(Box<Resumed>),
    /// The silent server has sent events.
    Same(Bytes),
    /// The silent server has ended its answer, with this last event or none.
    Last(Bytes),
    /// The other server does not resume the stream; the silent one is waited for.
    Waiting,
    /// The part of the silent server has ended in this way.
    Ended(End),
}

/// Forwards the answer to a request, from as many servers as needed. Only complete events are forwarded.
pub(crate) async fn forward(
    job: Job,
    answered: Answered,
    sender: mpsc::Sender<Result<Bytes, Interrupted>>,
) {
    let form = Form::of(&answered.head);
    let watch = Watch::stream(Time::now(), job.route.max_gap_ms);
    let mut forwarder = Forwarder {
        job,
        form: &form,
        sender: &sender,
        splitter: Splitter::default(),
        watch,
        large_chunk: Arc::new(Semaphore::new(1)),
    };
    let mut part = Part::new(answered, &forwarder.job.shared.answer_memory);
    loop {
        let end = match forwarder.forward(&mut part).await {
            Some(end) => end,
            None => match forwarder.ask_another(&mut part).await {
                Some(end) => end,
                None => continue,
            },
        };
        let mut job = forwarder.job;
        let reason = match end {
            End::Complete => {
                job.release(part.connection);
                part.assignment.end(Outcome::Answered { failed: false });
                job.record_complete("served");
                return;
            }
            End::CallerGone => {
                part.end(Outcome::Cancelled);
                job.record_end("caller_gone", None);
                return;
            }
            End::TimedOut => {
                // The caller may not read, and the server must not work for it any longer.
                part.end(Outcome::Cancelled);
                job.interrupt(&sender, job.limit_code()).await;
                return;
            }
            End::Broken(reason) => reason,
        };
        part.end_broken();
        if !forwarder.splitter.is_resumable() || !job.may_resume(&reason) {
            job.interrupt(&sender, "stream_broken").await;
            return;
        }
        let resumed = tokio::select! {
            biased;
            resumed = job.resume(&forwarder.splitter, &form) => resumed,
            () = sender.closed() => Err("caller_gone"),
        };
        part = match resumed {
            Ok(part) => part,
            Err(code) => {
                job.interrupt(&sender, code).await;
                return;
            }
        };
        let watch = Watch::stream(Time::now(), job.route.max_gap_ms);
        forwarder = Forwarder {
            job,
            form: &form,
            sender: &sender,
            splitter: forwarder.splitter.resumed(),
            watch,
            large_chunk: forwarder.large_chunk,
        };
    }
}

impl Job {
    /// Whether another server is asked to resume the stream of a server that is silent.
    fn may_ask_another(&mut self) -> bool {
        self.may_have_run = true;
        let failure = Failure::may_have_run("retry_silent", "stream_broken", "");
        let may_ask = self.check_retry(&failure).is_ok();
        let counter = if may_ask {
            failure.retry_counter
        } else {
            "silence_waited"
        };
        self.shared.meter.count("stream_silent");
        self.shared.meter.count(counter);
        info!(self.shared.log, "server is silent"; "id" => &*self.metadata.attempt,
            "server" => self.server.as_deref(), "asks_another" => may_ask, "gave_up" => self.gave_up,
            "silent_ms" => self.silent_ms(), "sent" => self.sent);
        may_ask
    }

    /// Resumes the stream on another server and waits for its first bytes: from then on the silent server must not work
    /// for the request any longer. `None` if no server resumes it.
    async fn resume_with_bytes(&mut self, mut splitter: Splitter, form: &Form) -> Option<Resumed> {
        let mut part = self.resume(&splitter, form).await.ok()?;
        let (events, is_empty) = match part.next_bytes(&mut splitter).await {
            Ok(events) => (events, false),
            // The end of the part is read again with the rest.
            Err(End::Complete) => (Bytes::new(), true),
            Err(End::Broken(_)) => {
                part.end_broken();
                return None;
            }
            Err(_) => {
                part.end(Outcome::Answered { failed: true });
                return None;
            }
        };
        Some(Resumed {
            part,
            splitter,
            events,
            is_empty,
        })
    }

    /// Asks another server to resume the stream, whose first answer has this form, after the last complete event. The
    /// error is the code with which the answer ends if no server does.
    async fn resume(&mut self, splitter: &Splitter, form: &Form) -> Result<Part, &'static str> {
        match self.send_until_answered(splitter.last_id()).await {
            Ok(answered) if form.can_be_continued_by(&Form::of(&answered.head)) => {
                Ok(Part::new(answered, &self.shared.answer_memory))
            }
            Ok(answered) => {
                answered.end_failed();
                self.gave_up = Some("gave_up_next_failed");
                Err("stream_broken")
            }
            Err(refusal) => {
                self.shared.meter.count("resume_refused");
                Err(refusal.code)
            }
        }
    }
}

/// When the silence of the stream is over its limit, or now if no other server is asked.
fn next_check(watch: &Watch) -> Instant {
    let now = Time::now();
    Instant::now() + watch.due().map_or(Duration::ZERO, |due| due.until(now))
}

struct Forwarder<'a> {
    job: Job,
    /// The form of the first answer.
    form: &'a Form,
    sender: &'a mpsc::Sender<Result<Bytes, Interrupted>>,
    splitter: Splitter,
    watch: Watch,
    /// Taken by the large chunk that waits for the caller.
    large_chunk: Arc<Semaphore>,
}

impl Forwarder<'_> {
    /// Forwards a part until it ends, or until its server is silent and another server is to be asked (`None`).
    async fn forward(&mut self, part: &mut Part) -> Option<End> {
        let sender = self.sender;
        let mut closed = pin!(sender.closed());
        // The timer is reset only when it fires, since most events arrive long before.
        let mut timer = pin!(tokio::time::sleep_until(next_check(&self.watch)));
        let limit = self.job.limit.clone();
        let mut passed = pin!(limit.passed());
        loop {
            let can_resume = self.splitter.is_resumable();
            let events = {
                let mut events = pin!(part.next_events(&mut self.splitter));
                loop {
                    tokio::select! {
                        biased;
                        events = &mut events => break events,
                        () = &mut closed => return Some(End::CallerGone),
                        () = &mut passed => return Some(End::TimedOut),
                        () = &mut timer, if self.watch.due().is_some() => {}
                    }
                    if self.watch.is_due(Time::now()) {
                        if can_resume && self.job.may_ask_another() {
                            return None;
                        }
                        self.watch.stop();
                    }
                    timer.as_mut().reset(next_check(&self.watch));
                }
            };
            let sent = match events {
                Ok(events) => self.send(events).await,
                Err(End::Complete) => {
                    return Some(match self.splitter.end(part.has_announced_end) {
                        Ok(rest) => self.send_rest(rest).await,
                        Err(reason) => End::Broken(reason.to_owned()),
                    });
                }
                Err(end) => return Some(end),
            };
            if let Err(end) = sent {
                return Some(end);
            }
            self.watch.restart(Time::now());
        }
    }

    /// Asks another server to resume the stream of a silent one. `part` is then the one that goes on. Returns the end
    /// of the stream if it has ended meanwhile.
    async fn ask_another(&mut self, part: &mut Part) -> Option<End> {
        let events = match self.race(part).await {
            Next::Other(resumed) => {
                let silent = std::mem::replace(part, resumed.part);
                silent.end(Outcome::Answered { failed: true });
                self.splitter = resumed.splitter;
                resumed.events
            }
            Next::Same(events) => {
                self.job.shared.meter.count("silence_over");
                events
            }
            Next::Last(rest) => return Some(self.send_rest(rest).await),
            Next::Waiting => return None,
            Next::Ended(end) => return Some(end),
        };
        if events.is_empty() {
            return None;
        }
        self.send(events).await.err()
    }

    /// Asks another server to resume the stream of a silent one, and waits for the first of the two to send an event.
    async fn race(&mut self, part: &mut Part) -> Next {
        let Forwarder {
            job,
            form,
            sender,
            splitter,
            watch,
            large_chunk: _,
        } = self;
        let limit = job.limit.clone();
        let mut passed = pin!(limit.passed());
        let mut resume = pin!(job.resume_with_bytes(splitter.resumed(), form));
        // Why the silent server's part has ended. The other server may still resume it.
        let mut broken = None;
        let next = loop {
            tokio::select! {
                biased;
                events = part.next_events(splitter), if broken.is_none() => match events {
                    Ok(events) => break Next::Same(events),
                    Err(End::Broken(reason)) => broken = Some(reason),
                    Err(End::Complete) => match splitter.end(part.has_announced_end) {
                        Ok(rest) => break Next::Last(rest),
                        Err(reason) => broken = Some(reason.to_owned()),
                    },
                    Err(end) => break Next::Ended(end),
                },
                resumed = &mut resume => {
                    let resumed = resumed.and_then(|resumed| resumed.go_on(splitter));
                    break match (resumed, broken) {
                        (Some(resumed), _) => Next::Other(Box::new(resumed)),
                        (None, Some(reason)) => Next::Ended(End::Broken(reason)),
                        (None, None) => Next::Waiting,
                    };
                },
                () = sender.closed() => break Next::Ended(End::CallerGone),
                () = &mut passed => break Next::Ended(End::TimedOut),
            }
        };
        match next {
            // The retry that was taken for the other server would be wasted again.
            Next::Waiting => watch.stop(),
            _ => watch.restart(Time::now()),
        }
        next
    }

    /// Passes events on to the caller, and waits for a slow one until the limit of the request. The error is the end of
    /// the answer.
    async fn send(&mut self, bytes: Bytes) -> Result<(), End> {
        self.job.record_forwarded();
        let bytes = match bytes.len() > MAX_SMALL_CHUNK_BYTES {
            true => self.wait_for_large_chunk(bytes).await?,
            false => bytes,
        };
        let bytes = match self.sender.try_send(Ok(bytes)) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(bytes)) => bytes,
            Err(TrySendError::Closed(_)) => return Err(End::CallerGone),
        };
        tokio::select! {
            biased;
            sent = self.sender.send(bytes) => sent.map_err(|_| End::CallerGone),
            () = self.job.limit.passed() => Err(End::TimedOut),
        }
    }

    /// Waits until no other large chunk waits for the caller. The next one then waits until `bytes` have been written.
    async fn wait_for_large_chunk(&self, bytes: Bytes) -> Result<Bytes, End> {
        let permit = tokio::select! {
            biased;
            permit = Arc::clone(&self.large_chunk).acquire_owned() => permit,
            () = self.sender.closed() => return Err(End::CallerGone),
            () = self.job.limit.passed() => return Err(End::TimedOut),
        };
        // The semaphore is never closed.
        let permit = permit.map_err(|_| End::CallerGone)?;
        Ok(memory::hold(bytes, permit))
    }

    /// Sends what was left at the end of a complete answer, which may be nothing.
    async fn send_rest(&mut self, rest: Bytes) -> End {
        if rest.is_empty() {
            return End::Complete;
        }
        match self.send(rest).await {
            Ok(()) => End::Complete,
            Err(end) => end,
        }
    }
}
