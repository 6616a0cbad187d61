//! Servers that leave or that asked for a pause, as their answers say, and servers of drained failure domains.
//!
//! None of them must get requests from this host. The list of servers shows a departure later than the server itself, and
//! pauses not at all, so core hosts go on to assign such servers. A server may also have been assigned before its domain
//! was drained, or by a core host that has not heard of the order. [`Register`] is therefore consulted before each send. It
//! is a state machine without input or output.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_place::{Server, drained};

/// The longest pause that is observed, in ms. A server that really wants no requests for more than a day would have
/// left the list by then, so that a longer time is a fault of the server, which must not make it useless for as long as
/// this host runs.
pub const MAX_PAUSE_MS: u64 = 24 * 60 * 60 * 1_000;

/// A server that the list has not named for this long has ended; if it is named again, it has been started again under
/// the same id. Shorter gaps occur if the list changes while its pages are read. In ms, about three reads of the list.
pub const MIN_ABSENCE_MS: u64 = 3_000;

/// What the head of an answer says about its server, beside the answer itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// How long the server wants no requests from this host, in ms, or `None` if it asks for no pause.
    pub pause_ms: Option<u64>,
}

/// Why a server must get no request at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    /// The server leaves.
    Leaving,
    /// The server's failure domain is drained.
    Drained,
    /// The server has asked for a pause, which lasts until this time.
    Paused(Time),
}

/// Whether a pool has a server that may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// At least one server may get requests, or the servers of the pool are not known.
    Open,
    /// No server may get requests, and the first pause ends at this time.
    Paused(Time),
    /// All servers that do not leave are in drained failure domains.
    Drained,
    /// All servers leave.
    Leaving,
}

/// The notices of all servers that are in force.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// The servers of the newest list, sorted by id.
    listed: Vec<Server>,
    /// Sorted by server. Invariant: each entry is that of a listed server, or its `absent_since` is set. With each new
    /// list, entries are removed whose server has been absent for [`MIN_ABSENCE_MS`].
    entries: Vec<Entry>,
    /// The failure domains whose servers get no requests.
    drained: drained::Set,
}

/// The notices of one server.
#[derive(Clone, Debug)]
struct Entry {
    server: Arc<str>,
    is_leaving: bool,
    /// Until when the server pauses; [`Time::ZERO`] if it asked for no pause.
    paused_until: Time,
    /// Whether the newest list that names the server says that it is draining.
    is_draining: bool,
    /// Since when the list has not named the server; `None` if it names it.
    absent_since: Option<Time>,
}

impl Entry {
    fn block(&self, now: Time) -> Option<Block> {
        if self.is_leaving {
            Some(Block::Leaving)
        } else if now < self.paused_until {
            Some(Block::Paused(self.paused_until))
        } else {
            None
        }
    }
}

impl Register {
    /// Replaces the list of servers. A server that leaves does so whatever state the list gives, until the list shows
    /// that it has been started again under the same id: it names the server after an absence of at least
    /// [`MIN_ABSENCE_MS`], or as ready after it named it as draining.
    pub fn set_servers(&mut self, now: Time, servers: &[Server]) {
        self.listed = servers.to_vec();
        self.listed.sort_by(|a, b| a.id.cmp(&b.id));
        let listed = &self.listed;
        self.entries.retain_mut(|entry| {
            let Some(server) = find(listed, &entry.server) else {
                let since = *entry.absent_since.get_or_insert(now);
                return now.since(since) < MIN_ABSENCE_MS;
            };
            let since = entry.absent_since.take();
            if since.is_some_and(|since| now.since(since) >= MIN_ABSENCE_MS) {
                return false;
            }
            if std::mem::replace(&mut entry.is_draining, server.draining) && !server.draining {
                entry.is_leaving = false;
            }
            true
        });
        self.remove_expired(now);
    }

    /// Records a notice of the server with the id `server`, and returns what it newly says: that the server leaves or
    /// pauses although it did not before. Of several pauses, the one that ends last holds.
    pub fn record(&mut self, now: Time, server: &Arc<str>, notice: Notice) -> Notice {
        self.remove_expired(now);
        if notice == Notice::default() {
            return notice;
        }
        let at = self.position(server).unwrap_or_else(|at| {
            let listed = find(&self.listed, server);
            let entry = Entry {
                server: Arc::clone(server),
                is_leaving: false,
                paused_until: Time::ZERO,
                is_draining: listed.is_some_and(|listed| listed.draining),
                absent_since: listed.is_none().then_some(now),
            };
            self.entries.insert(at, entry);
            at
        });
        let entry = &mut self.entries[at];
        let was_leaving = entry.is_leaving;
        entry.is_leaving |= notice.is_leaving;
        let was_paused = now < entry.paused_until;
        if let Some(pause_ms) = notice.pause_ms {
            // Times are whole milliseconds, rounded down, so that a pause could otherwise end up to 1 ms too early.
            let until = now.plus_ms(pause_ms.min(MAX_PAUSE_MS) + 1);
            entry.paused_until = entry.paused_until.max(until);
        }
        Notice {
            is_leaving: notice.is_leaving && !was_leaving,
            pause_ms: notice.pause_ms.filter(|_| !was_paused),
        }
    }

    /// Takes over which failure domains are drained, unless a newer set is known.
    pub fn set_drained(&mut self, drained: &drained::Set) {
        self.drained.merge(drained);
    }

    /// Why the server with the id `server` must get no request, or `None` if it may get one.
    pub fn block(&self, now: Time, server: &str) -> Option<Block> {
        let domain = find(&self.listed, server).map(|listed| &*listed.domain);
        self.block_in(now, server, domain)
    }

    /// Why an assigned server must get no request, or `None` if it may get one. Unlike [`Register::block`], knows the
    /// domain of a server that the list of this host does not name yet.
    pub fn block_assigned(&self, now: Time, server: &Server) -> Option<Block> {
        self.block_in(now, &server.id, Some(&server.domain))
    }

    fn block_in(&self, now: Time, server: &str, domain: Option<&str>) -> Option<Block> {
        let at = self.position(server).ok();
        let notice = at.and_then(|at| self.entries[at].block(now));
        let is_drained = domain.is_some_and(|domain| self.drained.contains(domain));
        match notice {
            Some(Block::Paused(_)) | None if is_drained => Some(Block::Drained),
            notice => notice,
        }
    }

    /// The ids of the servers of a pool that must get no request; at most `limit`.
    pub fn blocked(&self, now: Time, pool: &str, limit: usize) -> Vec<Arc<str>> {
        let servers = self.listed.iter();
        let servers = servers
            .filter(|server| &*server.pool == pool && self.block_assigned(now, server).is_some());
        let ids = servers.map(|server| Arc::clone(&server.id));
        ids.take(limit).collect()
    }

    /// Whether a pool has a server that may get requests. Servers that are draining count as none.
    pub fn availability(&self, now: Time, pool: &str) -> Availability {
        if self.entries.is_empty() && self.drained.domains.is_empty() {
            return Availability::Open;
        }
        let servers = self.listed.iter();
        let servers = servers.filter(|server| &*server.pool == pool && !server.draining);
        let mut found = None;
        for server in servers {
            found = match (self.block_assigned(now, server), found) {
                (None, _) => return Availability::Open,
                (Some(Block::Paused(until)), Some(Availability::Paused(first))) => {
                    Some(Availability::Paused(first.min(until)))
                }
                (Some(Block::Paused(until)), _) => Some(Availability::Paused(until)),
                (Some(_), Some(Availability::Paused(first))) => Some(Availability::Paused(first)),
                (Some(Block::Drained), _) => Some(Availability::Drained),
                (Some(Block::Leaving), None) => Some(Availability::Leaving),
                (Some(Block::Leaving), found) => found,
            };
        }
        found.unwrap_or(Availability::Open)
    }

    /// Number of servers that leave or pause.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server leaves or pauses.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Time) {
        self.entries.retain(|entry| entry.block(now).is_some());
    }

    fn position(&self, server: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.server).cmp(server))
    }
}

/// Finds a server in a list that is sorted by id.
fn find<'a>(listed: &'a [Server], id: &str) -> Option<&'a Server> {
    let at = listed.binary_search_by(|server| (*server.id).cmp(id));
    at.ok().map(|at| &listed[at])
}
