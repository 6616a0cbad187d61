//! Fair-queueing state of the accounts of one pool.
//!
//! The normalised service of an account, `v`, is `(counters + in flight + offset) / share`. Serving the account with
//! the least `v` first, and raising the `v` of an account that starts to wait to the virtual time of the pool (a
//! counter lift), is start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) with token counters in place of
//! packet lengths (Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024).

use primrose_base::id;

/// One daemon process as the source of a charge counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The host on which the process runs.
    pub host: id::Host,
    /// Wall-clock start time of the process, in ms.
    pub incarnation: u64,
}

/// The charge of one account at one origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counter {
    /// The process that counts.
    pub origin: Origin,
    /// Weighted tokens processed; never decreases, merged by maximum.
    pub charge: u64,
    /// Weighted tokens that are estimated for the requests in flight and not yet processed; replaced by newer
    /// reports.
    pub in_flight: u64,
    /// Number of the message that first contains the last change.
    pub changed: u64,
}

/// The service of one account in the pool of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The account whose service is counted.
    pub account: id::Account,
    /// Weight of the account; at least 1.
    pub share: u64,
    /// Sum of the counter lifts, in weighted tokens; never decreases, merged by maximum.
    pub offset: u64,
    /// Number of the message that first contains the last change of `offset`.
    pub offset_changed: u64,
    /// Sorted by origin. A host has only its own counter, an owner those of all origins.
    pub counters: Vec<Counter>,
    /// At a host: weighted tokens processed at all other origins; never decreases, merged by maximum.
    pub remote_charge: u64,
    /// At a host: sum of the amounts in flight of all other origins, in weighted tokens.
    pub remote_in_flight: u64,
    /// At an owner: estimates of the grants that their receivers have not confirmed yet, in weighted tokens.
    pub unconfirmed: u64,
}

/// The service of all accounts of one pool.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Sorted by account.
    entries: Vec<Entry>,
    /// Sorted by account.
    shares: Vec<Share>,
    /// Weighted tokens per share; never decreases.
    virtual_time: u64,
    /// How far a normalised service may lag behind the virtual time, in weighted tokens per share.
    cap: u64,
}

/// The share of one account, the weight with which it takes part in fair queueing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The account that has the share, in all pools.
    pub account: id::Account,
    /// Relative weight without a unit; 0 counts as 1.
    pub share: u64,
}

impl Ledger {
    /// Creates an empty ledger in which the normalised service of an account lags behind the virtual time by at most
    /// `cap` weighted tokens per share.
    pub fn new(cap: u64, shares: &[Share]) -> Ledger {
        let mut ledger = Ledger {
            cap,
            ..Ledger::default()
        };
        ledger.set_shares(shares);
        ledger
    }

    /// Replaces the shares of all accounts. Accounts that are not listed have share 1.
    pub fn set_shares(&mut self, shares: &[Share]) {
        self.shares = shares.to_vec();
        self.shares.sort_unstable_by_key(|share| share.account);
        for at in 0..self.entries.len() {
            self.entries[at].share = self.share_of(self.entries[at].account);
        }
    }

    fn share_of(&self, account: id::Account) -> u64 {
        let at = self
            .shares
            .binary_search_by_key(&account, |share| share.account);
        at.map_or(1, |at| self.shares[at].share.max(1))
    }

    /// Returns the entry of `account`, after adding an empty one if there is none.
    pub fn entry(&mut self, account: id::Account) -> &mut Entry {
        let at = self
            .entries
            .binary_search_by_key(&account, |entry| entry.account);
        let at = at.unwrap_or_else(|at| {
            let entry = Entry {
                account,
                share: self.share_of(account),
                offset: 0,
                offset_changed: 0,
                counters: Vec::new(),
                remote_charge: 0,
                remote_in_flight: 0,
                unconfirmed: 0,
            };
            self.entries.insert(at, entry);
            at
        });
        &mut self.entries[at]
    }

    /// Returns the entry of `account`, or `None` if the account has none.
    pub fn get(&self, account: id::Account) -> Option<&Entry> {
        let at = self
            .entries
            .binary_search_by_key(&account, |entry| entry.account);
        at.ok().map(|at| &self.entries[at])
    }

    /// Returns all entries, sorted by account.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns all entries for modification. The caller must not change their accounts, by which they are sorted.
    pub fn entries_mut(&mut self) -> &mut [Entry] {
        &mut self.entries
    }

    /// Returns the normalised service of `account`, in weighted tokens per share, but at least the virtual time minus
    /// the cap.
    pub fn normalised_service(&self, account: id::Account) -> u64 {
        let v = self.get(account).map_or(0, Entry::normalised);
        v.max(self.virtual_time.saturating_sub(self.cap))
    }

    /// Returns the virtual time of the pool, in weighted tokens per share.
    pub fn virtual_time(&self) -> u64 {
        self.virtual_time
    }

    /// Sets the virtual time (weighted tokens per share) if it is later than the present one.
    pub fn advance(&mut self, virtual_time: u64) {
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    /// Raises the offset of `account` so that its normalised service is at least `floor` (weighted tokens per share).
    /// Returns whether the offset changed. `number` is the number of the next message, which contains the change.
    pub fn lift(&mut self, account: id::Account, floor: u64, number: u64) -> bool {
        let entry = self.entry(account);
        let missing = (floor * entry.share).saturating_sub(entry.total());
        if missing == 0 {
            return false;
        }
        entry.merge_offset(entry.offset + missing, number)
    }
}

impl Entry {
    /// Returns the counter of `origin`, after adding one that is zero if there is none.
    pub fn counter(&mut self, origin: Origin) -> &mut Counter {
        let at = self.counters.binary_search_by_key(&origin, |c| c.origin);
        let at = at.unwrap_or_else(|at| {
            let counter = Counter {
                origin,
                ..Counter::default()
            };
            self.counters.insert(at, counter);
            at
        });
        &mut self.counters[at]
    }

    /// Sets the offset (weighted tokens) if it is greater than the present one. Returns whether it was. `number` is
    /// the number of the next message, which contains the change.
    pub fn merge_offset(&mut self, offset: u64, number: u64) -> bool {
        let is_greater = offset > self.offset;
        if is_greater {
            self.offset = offset;
            self.offset_changed = number;
        }
        is_greater
    }

    /// Returns the weighted tokens that all origins have processed for the account, as far as known.
    pub fn service(&self) -> u64 {
        self.remote_charge + self.counters.iter().map(|c| c.charge).sum::<u64>()
    }

    /// Returns the weighted tokens that are estimated for the requests in flight at all origins, as far as known, and
    /// for unconfirmed grants.
    pub fn in_flight(&self) -> u64 {
        let own: u64 = self.counters.iter().map(|c| c.in_flight).sum();
        own + self.remote_in_flight + self.unconfirmed
    }

    fn total(&self) -> u64 {
        self.service() + self.in_flight() + self.offset
    }

    fn normalised(&self) -> u64 {
        self.total() / self.share
    }
}
