//! Service of the accounts of one pool.
//!
//! The normalised service is `v = (counters + in flight + offset) / share`. Serving the least `v` first, and lifting an
//! account that starts to wait to the virtual time, is start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996)
//! with token counters in the place of packet lengths (Sheng et al., "Fairness in Serving Large Language Models",
//! OSDI 2024).

use primrose_base::id;

/// One daemon process that charges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The host.
    pub host: id::Host,
    /// Wall-clock start time of the process, in ms.
    pub incarnation: u64,
}

/// What one origin charged to one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counter {
    /// Who charged.
    pub origin: Origin,
    /// Weighted tokens that have flowed; only grows, merged by maximum.
    pub charge: u64,
    /// Weighted tokens that are estimated but have not flowed; replaced by newer reports.
    pub in_flight: u64,
    /// Number of the message that first contains the last change.
    pub changed: u64,
}

/// The service of one account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The account.
    pub account: id::Account,
    /// Weight of the account; at least 1.
    pub share: u64,
    /// The lift, in weighted tokens; only grows, merged by maximum.
    pub offset: u64,
    /// Number of the message that first contains the last change of `offset`.
    pub offset_changed: u64,
    /// Sorted by origin. At a host: only its own; at an owner: all.
    pub counters: Vec<Counter>,
    /// At a host: sum of the counters of all other origins, in weighted tokens; only grows, merged by maximum.
    pub elsewhere: u64,
    /// At a host: sum of the amounts in flight of all other origins, in weighted tokens.
    pub elsewhere_in_flight: u64,
    /// Estimates of grants that the receiver has not confirmed yet, in weighted tokens; used by owners only.
    pub pending: u64,
}

/// The service of all accounts of one pool.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Sorted by account.
    entries: Vec<Entry>,
    /// Shares, sorted by account.
    shares: Vec<Share>,
    /// Weighted tokens per share; only grows.
    virtual_time: u64,
    /// Weighted tokens per share.
    cap: u64,
}

/// The share of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The account.
    pub account: id::Account,
    /// Weight of the account; 0 counts as 1.
    pub share: u64,
}

impl Ledger {
    /// An empty ledger in which no `v` lies more than `cap` (weighted tokens per share) behind the virtual time.
    pub fn new(cap: u64, shares: &[Share]) -> Ledger {
        let mut ledger = Ledger {
            cap,
            ..Ledger::default()
        };
        ledger.set_shares(shares);
        ledger
    }

    /// Replaces the shares. Accounts that are not listed have share 1.
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

    /// The entry of `account`, which is added if there is none.
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
                elsewhere: 0,
                elsewhere_in_flight: 0,
                pending: 0,
            };
            self.entries.insert(at, entry);
            at
        });
        &mut self.entries[at]
    }

    /// The entry of `account`, if it has one.
    pub fn get(&self, account: id::Account) -> Option<&Entry> {
        let at = self
            .entries
            .binary_search_by_key(&account, |entry| entry.account);
        at.ok().map(|at| &self.entries[at])
    }

    /// All entries, sorted by account.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// All entries, for changes that keep the order.
    pub fn entries_mut(&mut self) -> &mut [Entry] {
        &mut self.entries
    }

    /// Normalised service of `account`, in weighted tokens per share, not less than the virtual time minus the cap.
    pub fn v(&self, account: id::Account) -> u64 {
        let v = self.get(account).map_or(0, Entry::normalised);
        v.max(self.virtual_time.saturating_sub(self.cap))
    }

    /// The virtual time, in weighted tokens per share.
    pub fn virtual_time(&self) -> u64 {
        self.virtual_time
    }

    /// Merges a virtual time (weighted tokens per share) by maximum.
    pub fn advance(&mut self, virtual_time: u64) {
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    /// Raises the offset of `account` so that its `v` is at least `floor`. Returns whether the offset changed.
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
    /// The counter of `origin`, which is added if there is none.
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

    /// Merges an offset (weighted tokens) by maximum. Returns whether it grew.
    pub fn merge_offset(&mut self, offset: u64, number: u64) -> bool {
        let grew = offset > self.offset;
        if grew {
            self.offset = offset;
            self.offset_changed = number;
        }
        grew
    }

    /// Weighted tokens that have flowed at all origins.
    pub fn service(&self) -> u64 {
        self.elsewhere + self.counters.iter().map(|c| c.charge).sum::<u64>()
    }

    /// Weighted tokens estimated for the requests in flight at all origins and for grants on their way.
    pub fn in_flight(&self) -> u64 {
        let own: u64 = self.counters.iter().map(|c| c.in_flight).sum();
        own + self.elsewhere_in_flight + self.pending
    }

    fn total(&self) -> u64 {
        self.service() + self.in_flight() + self.offset
    }

    fn normalised(&self) -> u64 {
        self.total() / self.share
    }
}
