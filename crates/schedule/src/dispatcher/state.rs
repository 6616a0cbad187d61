//! Look-up methods for the pools, accounts and slots of a host and for its links to owners.

use super::*;

impl Dispatcher {
    /// Returns the index of the pool, which is added if it is missing.
    pub(super) fn pool_index(&mut self, pool: id::Pool) -> usize {
        let at = self.pools.binary_search_by_key(&pool, |p| p.pool);
        at.unwrap_or_else(|at| {
            let pool = Pool {
                pool,
                ledger: Ledger::new(self.settings.cap, &self.shares),
                queue: Queue::default(),
                accounts: Vec::new(),
                sums_received_at: Time::ZERO,
            };
            self.pools.insert(at, pool);
            at
        })
    }

    /// Returns the slots of the server, which are added if they are missing.
    pub(super) fn held_slots(
        &mut self,
        now: Time,
        server: id::Server,
        domain: &Name,
    ) -> &mut HeldSlots {
        let at = self.held_slots.binary_search_by_key(&server, |s| s.server);
        let at = at.unwrap_or_else(|at| {
            let held = HeldSlots {
                server,
                pool: None,
                domain: domain.clone(),
                granted: 0,
                returned: 0,
                running: 0,
                unused_grants: 0,
                keep: None,
                leaving: false,
                idle_since: now,
                reported_idle: 0,
                changed: 0,
            };
            self.held_slots.insert(at, held);
            at
        });
        &mut self.held_slots[at]
    }

    /// Returns the index of the link for `domain`, which is added if it is missing.
    pub(super) fn link_index(&mut self, now: Time, domain: &Name) -> usize {
        let at = self.links.binary_search_by(|l| l.domain.cmp(domain));
        at.unwrap_or_else(|at| {
            let link = Link {
                domain: domain.clone(),
                owner: None,
                owner_incarnation: 0,
                epoch: 0,
                is_expired: false,
                lease_end: Time::ZERO,
                last_answer: 0,
                last_sums: 0,
                acknowledged: 0,
                last_answer_at: None,
                sent_at: None,
                next_exchange: now,
                urgent: true,
                minima: Vec::new(),
                previous: Vec::new(),
            };
            self.links.insert(at, link);
            at
        })
    }
}

impl Pool {
    /// Returns the state of the account, which is added if it is missing.
    pub(super) fn account(&mut self, account: id::Account) -> &mut Account {
        let at = self.accounts.binary_search_by_key(&account, |a| a.account);
        let at = at.unwrap_or_else(|at| {
            let account = Account {
                account,
                changed: 0,
                has_progress: false,
                reported_waiting: 0,
                last_waiting: None,
                waits_remotely: false,
            };
            self.accounts.insert(at, account);
            at
        });
        &mut self.accounts[at]
    }

    /// Records that the queue of `account` changed at `now`, to be reported in report `number`.
    pub(super) fn mark_changed(&mut self, now: Time, account: id::Account, number: u64) {
        let state = self.account(account);
        state.last_waiting = Some(now);
        state.changed = number;
    }

    /// Returns the account with the least normalised service among those with waiting requests.
    pub(super) fn next_account(&self) -> Option<id::Account> {
        let accounts = self.queue.accounts();
        accounts.min_by_key(|&account| (self.ledger.normalised_service(account), account))
    }

    pub(super) fn usage(&self, now: Time, origin: Origin, acknowledged: u64) -> Usage {
        let accounts = self.accounts.iter().filter(|a| a.changed > acknowledged);
        let entries = self.ledger.entries().iter();
        let lifted = entries.filter(|e| e.offset_changed > acknowledged);
        let offsets = lifted.map(|entry| Offset {
            account: entry.account,
            offset: entry.offset,
        });
        Usage {
            pool: self.pool,
            virtual_time: self.ledger.virtual_time(),
            accounts: accounts.map(|a| self.row(now, origin, a.account)).collect(),
            offsets: offsets.collect(),
        }
    }

    pub(super) fn row(&self, now: Time, origin: Origin, account: id::Account) -> Row {
        let entry = self.ledger.get(account);
        let counter = entry.and_then(|e| e.counters.iter().find(|c| c.origin == origin));
        let first = self.queue.first(account);
        Row {
            account,
            charge: counter.map_or(0, |c| c.charge),
            in_flight: counter.map_or(0, |c| c.in_flight),
            waiting: self.queue.count(account) as u32,
            estimate: first.map_or(0, |request| request.estimate),
            age_s: (self.queue.age_ms(account, now) / 1_000) as u32,
        }
    }

    pub(super) fn snapshot(&self) -> Vec<snapshot::Account> {
        let entries = self.ledger.entries().iter();
        let accounts = entries.map(|entry| snapshot::Account {
            account: entry.account,
            share: entry.share,
            normalised_service: self.ledger.normalised_service(entry.account),
            waiting: self.queue.count(entry.account) as u64,
            in_flight: entry.in_flight(),
            service: entry.service(),
        });
        accounts.collect()
    }
}

impl HeldSlots {
    /// Returns the number of slots that the host holds.
    pub(super) fn count(&self) -> u32 {
        self.granted - self.returned
    }

    pub(super) fn idle(&self) -> u32 {
        self.count().saturating_sub(self.running)
    }

    /// Whether a request may start on the server: a slot is idle, the server is not leaving, and the host holds no
    /// more slots than the owner lets it keep.
    pub(super) fn is_usable(&self) -> bool {
        let is_within_keep = self.keep.is_none_or(|keep| self.count() <= keep);
        self.idle() > 0 && !self.leaving && is_within_keep
    }

    pub(super) fn report(&self) -> Slots {
        Slots {
            server: self.server,
            granted: self.granted,
            returned: self.returned,
            running: self.running,
        }
    }

    pub(super) fn snapshot(&self) -> snapshot::Server {
        snapshot::Server {
            server: self.server,
            slots: self.count(),
            leased: self.count(),
            idle: self.idle(),
            leaving: self.leaving,
        }
    }
}
