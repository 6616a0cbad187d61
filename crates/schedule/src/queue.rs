//! Queue of the requests that wait at one host for a slot of one pool.

use std::collections::VecDeque;

use primrose_base::clock::Time;
use primrose_base::id;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Chosen by the user of this crate; unique within one incarnation of a host.
    pub id: u64,
    /// The account that is charged.
    pub account: id::Account,
    /// The pool whose servers can serve the request.
    pub pool: id::Pool,
    /// Expected charge, in weighted tokens.
    pub estimate: u64,
    /// The request is refused if it still waits at this time.
    pub deadline: Time,
    /// Hash of the prompt prefix, which the choice of the server uses.
    pub affinity: u64,
}

/// A request and the time at which it was added to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiting {
    request: Request,
    since: Time,
}

/// The waiting requests of one account, in order of arrival.
#[derive(Clone, Debug)]
struct Fifo {
    account: id::Account,
    requests: VecDeque<Waiting>,
}

/// The waiting requests of one pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Sorted by account. Empty queues are kept, so that the next request of their account needs no allocation.
    fifos: Vec<Fifo>,
    /// Lower bound of the deadlines of all requests; `None` only if nothing waits.
    earliest: Option<Time>,
}

impl Queue {
    /// Adds a request at the end of the queue of its account.
    pub fn push(&mut self, now: Time, request: Request) {
        let at = self
            .fifos
            .binary_search_by_key(&request.account, |fifo| fifo.account);
        let at = at.unwrap_or_else(|at| {
            let fifo = Fifo {
                account: request.account,
                requests: VecDeque::new(),
            };
            self.fifos.insert(at, fifo);
            at
        });
        self.earliest = Some(match self.earliest {
            Some(earliest) => earliest.min(request.deadline),
            None => request.deadline,
        });
        self.fifos[at].requests.push_back(Waiting {
            request,
            since: now,
        });
    }

    /// Removes and returns the oldest request of `account`.
    pub fn pop(&mut self, account: id::Account) -> Option<Request> {
        let fifo = self.fifo_mut(account)?;
        fifo.requests.pop_front().map(|waiting| waiting.request)
    }

    /// Returns the oldest request of `account`.
    pub fn first(&self, account: id::Account) -> Option<&Request> {
        let fifo = self.fifo(account)?;
        fifo.requests.front().map(|waiting| &waiting.request)
    }

    /// Removes and returns the request of `account` with this id.
    pub fn remove(&mut self, account: id::Account, id: u64) -> Option<Request> {
        let fifo = self.fifo_mut(account)?;
        let at = fifo.requests.iter().position(|w| w.request.id == id)?;
        fifo.requests.remove(at).map(|waiting| waiting.request)
    }

    /// Removes and returns the requests whose deadline is `now` or earlier.
    pub fn expire(&mut self, now: Time) -> Vec<Request> {
        let mut expired = Vec::new();
        if self.earliest.is_none_or(|earliest| earliest > now) {
            return expired;
        }
        for fifo in &mut self.fifos {
            fifo.requests.retain(|waiting| {
                let keep = waiting.request.deadline > now;
                if !keep {
                    expired.push(waiting.request);
                }
                keep
            });
        }
        let deadlines = self.fifos.iter().flat_map(|fifo| &fifo.requests);
        self.earliest = deadlines.map(|w| w.request.deadline).min();
        expired
    }

    /// Removes and returns all requests of all accounts.
    pub fn clear(&mut self) -> Vec<Request> {
        self.earliest = None;
        let fifos = self.fifos.iter_mut();
        let waiting = fifos.flat_map(|fifo| fifo.requests.drain(..));
        waiting.map(|waiting| waiting.request).collect()
    }

    /// Returns a lower bound of the deadlines of all requests, or `None`, in which case nothing waits.
    pub fn next_deadline(&self) -> Option<Time> {
        self.earliest
    }

    /// Returns the number of requests of `account`.
    pub fn count(&self, account: id::Account) -> usize {
        self.fifo(account).map_or(0, |fifo| fifo.requests.len())
    }

    /// Returns the number of requests of all accounts.
    pub fn len(&self) -> usize {
        self.fifos.iter().map(|fifo| fifo.requests.len()).sum()
    }

    /// Whether no account has a request in the queue.
    pub fn is_empty(&self) -> bool {
        self.fifos.iter().all(|fifo| fifo.requests.is_empty())
    }

    /// Returns how long the oldest request of `account` has waited, in ms; 0 if none waits.
    pub fn age_ms(&self, account: id::Account, now: Time) -> u64 {
        let first = self.fifo(account).and_then(|fifo| fifo.requests.front());
        first.map_or(0, |waiting| now.since(waiting.since))
    }

    /// Returns the accounts with at least one waiting request, in ascending order.
    pub fn accounts(&self) -> impl Iterator<Item = id::Account> + '_ {
        let fifos = self.fifos.iter().filter(|fifo| !fifo.requests.is_empty());
        fifos.map(|fifo| fifo.account)
    }

    fn fifo(&self, account: id::Account) -> Option<&Fifo> {
        let at = self
            .fifos
            .binary_search_by_key(&account, |fifo| fifo.account);
        at.ok().map(|at| &self.fifos[at])
    }

    fn fifo_mut(&mut self, account: id::Account) -> Option<&mut Fifo> {
        let at = self
            .fifos
            .binary_search_by_key(&account, |fifo| fifo.account);
        at.ok().map(|at| &mut self.fifos[at])
    }
}
