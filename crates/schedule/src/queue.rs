//! Requests that wait at one host for a slot of one pool.

use std::collections::VecDeque;

use primrose_base::clock::Time;
use primrose_base::id;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Chosen by the caller; unique within one host and incarnation.
    pub id: u64,
    /// The account that is charged.
    pub account: id::Account,
    /// The pool whose servers can serve it.
    pub pool: id::Pool,
    /// Expected charge, in weighted tokens.
    pub estimate: u64,
    /// When the request is refused if it still waits.
    pub deadline: Time,
    /// Hash of the prompt prefix, for the choice of the server.
    pub affinity: u64,
}

/// A request and the time of its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiting {
    request: Request,
    since: Time,
}

/// The waiting requests of one account, in order of arrival.
#[derive(Clone, Debug)]
struct Line {
    account: id::Account,
    requests: VecDeque<Waiting>,
}

/// The waiting requests of one pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Sorted by account. Lines that became empty stay, so that an account that comes back does not allocate.
    lines: Vec<Line>,
    /// No request has an earlier deadline; `None` if nothing waits or nothing was looked up since the last expiry.
    earliest: Option<Time>,
}

impl Queue {
    /// Adds a request at the end of the line of its account.
    pub fn push(&mut self, now: Time, request: Request) {
        let at = self
            .lines
            .binary_search_by_key(&request.account, |line| line.account);
        let at = at.unwrap_or_else(|at| {
            let line = Line {
                account: request.account,
                requests: VecDeque::new(),
            };
            self.lines.insert(at, line);
            at
        });
        self.earliest = Some(match self.earliest {
            Some(earliest) => earliest.min(request.deadline),
            None => request.deadline,
        });
        self.lines[at].requests.push_back(Waiting {
            request,
            since: now,
        });
    }

    /// Removes and returns the request of `account` that has waited longest.
    pub fn pop(&mut self, account: id::Account) -> Option<Request> {
        let line = self.line_mut(account)?;
        line.requests.pop_front().map(|waiting| waiting.request)
    }

    /// The request of `account` that has waited longest.
    pub fn first(&self, account: id::Account) -> Option<&Request> {
        let line = self.line(account)?;
        line.requests.front().map(|waiting| &waiting.request)
    }

    /// Removes a request of `account` by its id.
    pub fn remove(&mut self, account: id::Account, id: u64) -> Option<Request> {
        let line = self.line_mut(account)?;
        let at = line.requests.iter().position(|w| w.request.id == id)?;
        line.requests.remove(at).map(|waiting| waiting.request)
    }

    /// Removes and returns the requests whose deadline is not after `now`.
    pub fn expire(&mut self, now: Time) -> Vec<Request> {
        let mut expired = Vec::new();
        if self.earliest.is_none_or(|earliest| earliest > now) {
            return expired;
        }
        for line in &mut self.lines {
            line.requests.retain(|waiting| {
                let keep = waiting.request.deadline > now;
                if !keep {
                    expired.push(waiting.request);
                }
                keep
            });
        }
        let deadlines = self.lines.iter().flat_map(|line| &line.requests);
        self.earliest = deadlines.map(|w| w.request.deadline).min();
        expired
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<Request> {
        self.earliest = None;
        let lines = self.lines.iter_mut();
        let waiting = lines.flat_map(|line| line.requests.drain(..));
        waiting.map(|waiting| waiting.request).collect()
    }

    /// A time not after the earliest deadline, if something waits.
    pub fn next_deadline(&self) -> Option<Time> {
        self.earliest
    }

    /// Requests of `account` that wait.
    pub fn count(&self, account: id::Account) -> usize {
        self.line(account).map_or(0, |line| line.requests.len())
    }

    /// Requests of all accounts that wait.
    pub fn len(&self) -> usize {
        self.lines.iter().map(|line| line.requests.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lines.iter().all(|line| line.requests.is_empty())
    }

    /// How long the oldest request of `account` has waited, in ms.
    pub fn age_ms(&self, account: id::Account, now: Time) -> u64 {
        let first = self.line(account).and_then(|line| line.requests.front());
        first.map_or(0, |waiting| now.since(waiting.since))
    }

    /// The accounts with at least one waiting request, sorted.
    pub fn accounts(&self) -> impl Iterator<Item = id::Account> + '_ {
        let lines = self.lines.iter().filter(|line| !line.requests.is_empty());
        lines.map(|line| line.account)
    }

    fn line(&self, account: id::Account) -> Option<&Line> {
        let at = self
            .lines
            .binary_search_by_key(&account, |line| line.account);
        at.ok().map(|at| &self.lines[at])
    }

    fn line_mut(&mut self, account: id::Account) -> Option<&mut Line> {
        let at = self
            .lines
            .binary_search_by_key(&account, |line| line.account);
        at.ok().map(|at| &mut self.lines[at])
    }
}
