//! Limits the requests to servers that warm up.
//!
//! Failure: a server that has just started, or has become cold again, crashes if it gets more than a few requests in a
//! second. After the loss of a failure domain, all of its servers return at the same time while the others are overloaded,
//! so without a limit they would get the whole backlog at once.
//!
//! The register knows for each server of a pool with a warm-up whether it is warm, unconfirmed or cold, and counts the
//! placements on it in a sliding window. A server that is not warm gets at most a share of the bound, such that the shares
//! of the placers that may act at the same time add up to the bound.

use std::net::SocketAddrV4;
use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_route::Document;
use primrose_route::document::Warmup;

use crate::server::Server;

/// How long a placement on a server that is not warm may be sent, in ms. An entry host with a small share of a core waits
/// for it up to 100 ms at a time, so a shorter time would be exceeded often.
pub const SEND_WITHIN_MS: u32 = 200;

/// How long a placement on a warm server of a pool with a warm-up may be sent, in ms. Until then the server may have
/// crashed and returned cold.
pub const WARM_SEND_WITHIN_MS: u32 = 500;

/// The longest time from the sending of a request to its arrival that the window allows for, in ms: the network between
/// two failure domains, and a host that is scheduled late.
const TRANSIT_MS: u64 = 100;

/// Length of the sliding window in ms. Requests that arrive within one second were placed within this time.
pub const WINDOW_MS: u64 = 1_000 + SEND_WITHIN_MS as u64 + TRANSIT_MS;

/// Number of placers that may place on a server at the same time: the core host that leads the log, and the previous one
/// until it learns that it has been replaced.
const PLACERS: f64 = 2.0;

/// A list of servers shows the state of a server at an event if it was requested later than this after the event, in ms.
/// The list lags by up to 800 ms.
const LIST_LAG_MS: u64 = 1_000;

/// A server that has failed and has not answered since is taken to be warm if a list that was requested later than this
/// after the last failure says so, in ms. Before that, it may be down and return cold after the list was made.
const UNANSWERED_MS: u64 = 5_000;

/// A server that answered a request within this time, in ms, is up.
const RECENT_ANSWER_MS: u64 = 1_000;

/// Answers that arrive later than this after a connection broke, in ms, were sent after it: reports of answers take some
/// tens of ms.
const REPORT_DELAY_MS: u64 = 100;

/// The time after which a caller is told to retry if this host may not send to servers that are not warm, in ms: about the
/// time until a core host may, or until the next list.
const NOT_PERMITTED_RETRY_MS: u64 = 1_000;

/// The most placements that are remembered for a server, and the greatest limit in a window.
const MAX_SENDS: usize = 256;

/// The most changes that are kept until they are taken. Further ones are only counted.
const MAX_CHANGES: usize = 64;

/// The most servers that are remembered after they have left the list.
const MAX_UNLISTED: usize = 1_024;

/// The platform's bound on the requests that a server that is not warm gets in one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Factor by which the requests may exceed the rate that the server tolerates.
    pub overshoot: f64,
    /// Requests that the server may get in addition.
    pub slack: f64,
}

impl Bound {
    /// The most requests that one placer may send to a server in one window.
    pub fn share(&self, warmup: &Warmup) -> usize {
        let requests = warmup.per_s * self.overshoot + self.slack;
        // The conversion saturates, and turns a value that is not a number into 0.
        ((requests / PLACERS).floor() as usize).min(MAX_SENDS)
    }
}

/// The state of a server with regard to its warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The server gets requests without a limit.
    Warm,
    /// The server may have restarted since the newest list that shows it. It is treated as cold.
    Unconfirmed,
    /// The list says that the server is cold.
    Cold,
}

/// A server has entered a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Id of the server.
    pub server: Arc<str>,
    /// The new state.
    pub state: State,
}

/// Why a server that the list does not call cold may be cold.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// The latest event that is the reason.
    since: Time,
    /// Whether the event was a failure, after which the server may be down for a while.
    has_failed: bool,
    /// Whether an answer to a request that was placed before the event shows that the server has not restarted.
    is_refutable: bool,
    /// When the server first answered a request that was placed after `since`.
    answered: Option<Time>,
}

impl Doubt {
    /// Whether a list that was requested at `read` and calls the server warm shows its state after the event.
    fn is_settled(&self, read: Time) -> bool {
        let is_after = |event: Time, ms| read > event.plus_ms(ms);
        let is_up = !self.has_failed
            || self
                .answered
                .is_some_and(|answered| is_after(answered, LIST_LAG_MS));
        is_after(self.since, LIST_LAG_MS) && (is_up || is_after(self.since, UNANSWERED_MS))
    }
}

/// What is known about a server of a pool with a warm-up.
#[derive(Clone, Debug)]
struct Entry {
    /// Id of the server.
    server: Arc<str>,
    address: SocketAddrV4,
    /// Whether the newest list contains the server.
    is_listed: bool,
    /// Whether the newest list that contains the server calls it cold.
    is_cold: bool,
    doubt: Option<Doubt>,
    last_answer: Option<Time>,
    /// The latest placements, oldest first; at most [`MAX_SENDS`].
    sends: Vec<Time>,
}

impl Entry {
    /// The state, without regard to the time since the first answer.
    fn state(&self) -> State {
        match (self.is_cold, &self.doubt) {
            (true, _) => State::Cold,
            (false, Some(_)) => State::Unconfirmed,
            (false, None) => State::Warm,
        }
    }

    fn is_warm(&self, now: Time, warmup: &Warmup) -> bool {
        let answered = self.doubt.and_then(|doubt| doubt.answered);
        let has_warmed_up =
            answered.is_some_and(|answered| now.since(answered) >= warmup.duration_ms);
        !self.is_cold && (self.doubt.is_none() || has_warmed_up)
    }
}

/// The servers of pools with a warm-up.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// Sorted by server.
    entries: Vec<Entry>,
    /// The bound, while this host may send to servers that are not warm, and since when it may.
    permission: Option<(Bound, Time)>,
    /// At most [`MAX_CHANGES`].
    changes: Vec<Change>,
}

/// The warm-up of the servers of a pool, if they have one.
pub fn of<'a>(document: &'a Document, pool: &str) -> Option<&'a Warmup> {
    let mut pools = document.pools.iter();
    pools.find(|known| &*known.name == pool)?.warmup.as_ref()
}

/// Removes the statement that a server is cold from servers of pools without a warm-up. It has no effect there, and lists
/// that differ only in it count as equal.
pub fn clear_unused(document: &Document, servers: &mut [Server]) {
    for server in servers {
        server.cold &= of(document, &server.pool).is_some();
    }
}

impl Register {
    /// Permits this host to send to servers that are not warm, within its share of `bound`, or withdraws the permission. A
    /// host whose permission is new waits for a window, because it does not know all placements of its predecessor.
    pub fn set_permission(&mut self, now: Time, bound: Option<Bound>) {
        let since = self.permission.map_or(now, |(_, since)| since);
        self.permission = bound.map(|bound| (bound, since));
    }

    /// Begins a new list of servers.
    pub fn begin_list(&mut self) {
        for entry in &mut self.entries {
            entry.is_listed = false;
        }
    }

    /// Records a server of the new list whose pool has a warm-up. Returns whether the server has become cold, so that it
    /// has lost its cached parts.
    pub fn record_listed(&mut self, server: &Server) -> bool {
        let at = match self.position(&server.id) {
            Ok(at) if self.entries[at].address == server.address => at,
            Ok(at) => {
                // Another server with the same id. The list is the first that tells of it.
                self.entries[at].address = server.address;
                self.entries[at].doubt = None;
                at
            }
            Err(at) => {
                let entry = Entry {
                    server: Arc::clone(&server.id),
                    address: server.address,
                    is_listed: true,
                    is_cold: false,
                    doubt: None,
                    last_answer: None,
                    sends: Vec::new(),
                };
                self.entries.insert(at, entry);
                at
            }
        };
        let before = self.entries[at].state();
        self.entries[at].is_listed = true;
        self.entries[at].is_cold = server.cold;
        self.note_change(at, before);
        server.cold && before != State::Cold
    }

    /// Records that the newest list was requested at `read`: it confirms the servers that it calls warm.
    pub fn record_list_read(&mut self, now: Time, read: Time) {
        for at in 0..self.entries.len() {
            let entry = &mut self.entries[at];
            let before = entry.state();
            if entry.is_listed && !entry.is_cold {
                entry.doubt = entry.doubt.filter(|doubt| !doubt.is_settled(read));
            }
            self.note_change(at, before);
        }
        // The placements on a server count even if it is missing in one list.
        let is_recent = |entry: &Entry| {
            let last = entry.sends.last();
            last.is_some_and(|last| now.since(*last) < WINDOW_MS) || entry.doubt.is_some()
        };
        let mut unlisted = 0;
        self.entries.retain(|entry| {
            unlisted += usize::from(!entry.is_listed);
            entry.is_listed || (is_recent(entry) && unlisted <= MAX_UNLISTED)
        });
    }

    /// Records that a connection to a server broke, or that the server was silent for too long. It may restart under the
    /// same id, unless it goes on to answer earlier requests: a server that is slow or resets single connections does.
    pub fn record_broken(&mut self, now: Time, server: &str) {
        let at = self.position(server);
        let is_doubted = at.is_ok_and(|at| self.entries[at].doubt.is_some());
        // A doubt that exists already is not prolonged, or one slow server would be in doubt as long as it is slow.
        if !is_doubted {
            self.doubt(now, server, true, true);
        }
    }

    /// Records that a host could not connect to a server. `is_repeated` tells whether hosts of the same failure domain have
    /// reached it since an earlier failure: if not, and if the server answers others, only the path to it is broken. Returns
    /// whether the server counts as failed.
    pub fn record_unreachable(&mut self, now: Time, server: &str, is_repeated: bool) -> bool {
        let answers = self.position(server).is_ok_and(|at| {
            let answer = self.entries[at].last_answer;
            answer.is_some_and(|answer| now.since(answer) < RECENT_ANSWER_MS)
        });
        if is_repeated && answers {
            return false;
        }
        self.doubt(now, server, true, false)
    }

    /// Records that the failure domain of a server was returned to service. Returns whether the server is known.
    pub fn record_returned(&mut self, now: Time, server: &str) -> bool {
        self.doubt(now, server, false, false)
    }

    fn doubt(&mut self, now: Time, server: &str, has_failed: bool, is_refutable: bool) -> bool {
        let Ok(at) = self.position(server) else {
            return false;
        };
        let before = self.entries[at].state();
        let had_failed = self.entries[at].doubt.is_some_and(|doubt| doubt.has_failed);
        self.entries[at].doubt = Some(Doubt {
            since: now,
            has_failed: has_failed || had_failed,
            is_refutable,
            answered: None,
        });
        self.note_change(at, before);
        true
    }

    /// Records that a server answered a request that was placed at `placed`.
    pub fn record_answer(&mut self, now: Time, server: &str, placed: Time) {
        let Ok(at) = self.position(server) else {
            return;
        };
        let before = self.entries[at].state();
        let entry = &mut self.entries[at];
        entry.last_answer = Some(now);
        if let Some(doubt) = &mut entry.doubt {
            if placed > doubt.since {
                doubt.answered.get_or_insert(now);
            } else if doubt.is_refutable && now.since(doubt.since) >= REPORT_DELAY_MS {
                entry.doubt = None;
            }
        }
        self.note_change(at, before);
    }

    /// Counts a placement on a server, by this host or another one. Placements on a warm server count too, because it may
    /// become cold before they arrive.
    pub fn record_send(&mut self, now: Time, server: &str) {
        let Ok(at) = self.position(server) else {
            return;
        };
        let sends = &mut self.entries[at].sends;
        sends.retain(|sent| now.since(*sent) < WINDOW_MS);
        if sends.len() >= MAX_SENDS {
            sends.remove(0);
        }
        sends.push(now);
    }

    /// How long a server may get no request, in ms; 0 if it may get one now.
    pub fn delay_ms(&self, now: Time, server: &str, warmup: &Warmup) -> u64 {
        let Ok(at) = self.position(server) else {
            return 0;
        };
        let entry = &self.entries[at];
        if entry.is_warm(now, warmup) {
            return 0;
        }
        let Some((bound, since)) = self.permission else {
            return NOT_PERMITTED_RETRY_MS;
        };
        let share = bound.share(warmup);
        if share == 0 {
            return NOT_PERMITTED_RETRY_MS;
        }
        let remaining = |from: Time| WINDOW_MS.saturating_sub(now.since(from));
        let nth_last = entry.sends.len().checked_sub(share);
        let full = nth_last.map_or(0, |nth| remaining(entry.sends[nth]));
        full.max(remaining(since))
    }

    /// How long a placement on a server may be sent, in ms.
    pub fn send_within_ms(&self, now: Time, server: &str, warmup: &Warmup) -> u32 {
        let is_warm = self
            .position(server)
            .is_ok_and(|at| self.entries[at].is_warm(now, warmup));
        if is_warm {
            WARM_SEND_WITHIN_MS
        } else {
            SEND_WITHIN_MS
        }
    }

    /// The state of a server; [`State::Warm`] if its pool has no warm-up.
    pub fn state(&self, server: &str) -> State {
        let at = self.position(server);
        at.map_or(State::Warm, |at| self.entries[at].state())
    }

    /// Takes the changes since the last call. Of more than [`MAX_CHANGES`] changes, the first ones are returned.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn note_change(&mut self, at: usize, before: State) {
        let entry = &self.entries[at];
        let state = entry.state();
        if state != before && self.changes.len() < MAX_CHANGES {
            self.changes.push(Change {
                server: Arc::clone(&entry.server),
                state,
            });
        }
    }

    fn position(&self, server: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.server).cmp(server))
    }
}
