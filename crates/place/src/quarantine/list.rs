//! The prompt parts that are quarantined, and how hosts agree on them.
//!
//! Parts that cannot be told apart may be as many as a prompt has, so the whole list need not fit into a datagram.
//! Hosts send each other a [`Summary`]. One whose digest differs shows that the lists differ, and the hosts then exchange
//! them in full.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

use super::{Key, QUARANTINE_MS};

/// The most parts or groups of parts that are quarantined.
pub const MAX_NOTICES: usize = 64;

/// The most parts in all groups together: those of a few of the longest prompts that fit into a head.
const MAX_KEYS: usize = 1 << 15;

/// The most bytes of the notices in a summary. A datagram has other fields.
const MAX_SUMMARY_BYTES: usize = 600;

/// Encoded length of a notice without its keys, and of a key, in bytes at most.
const NOTICE_BYTES: usize = 8;
const KEY_BYTES: usize = 16;

/// A notice of another host must end later by this much to prolong a quarantine, in ms. The time that messages take
/// would otherwise prolong it with each exchange.
const MIN_EXTENSION_MS: u64 = 5_000;

/// Tells another host of a part that is quarantined, or of parts of which at least one is a crashing one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Sorted, not empty. Requests that have all of these parts are refused.
    pub keys: Vec<Key>,
    /// Time until the quarantine ends, in ms.
    pub remaining_ms: u64,
}

impl Notice {
    /// Whether a register can have stated the notice. One without keys would refuse all requests.
    fn is_valid(&self) -> bool {
        let is_sorted = self.keys.is_sorted_by(|a, b| a < b);
        (1..=MAX_KEYS).contains(&self.keys.len()) && is_sorted
    }

    /// The ids of the parts in hexadecimal, separated by commas. Of a long group, the first ones.
    pub fn parts(&self) -> String {
        const MAX_PARTS: usize = 16;
        let ids = self.keys.iter().take(MAX_PARTS);
        let mut ids: Vec<String> = ids.map(|key| format!("{:x}", key.part)).collect();
        if self.keys.len() > MAX_PARTS {
            ids.push(format!("{} more", self.keys.len() - MAX_PARTS));
        }
        ids.join(",")
    }

    /// Encoded length, in bytes at most.
    fn bytes(&self) -> usize {
        NOTICE_BYTES + KEY_BYTES * self.keys.len()
    }
}

/// What a host tells others of its list in each message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Hash of the whole list; 0 if it is empty. Hosts with the same list have the same digest.
    pub digest: u64,
    /// The notices that end last, as many as fit into a datagram.
    pub latest: Vec<Notice>,
}

/// Parts of which at least one crashes servers.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Sorted, not empty.
    pub(super) keys: Vec<Key>,
    /// The quarantine ends then. For [`QUARANTINE_MS`] longer, one crash quarantines the parts again.
    pub(super) until: Time,
}

impl Entry {
    pub(super) fn is_active(&self, now: Time) -> bool {
        now < self.until
    }

    pub(super) fn matches(&self, keys: &[Key]) -> bool {
        is_subset(&self.keys, keys)
    }

    fn notice(&self, now: Time) -> Notice {
        Notice {
            keys: self.keys.clone(),
            remaining_ms: self.until.since(now),
        }
    }
}

/// The quarantined parts.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    /// At most [`MAX_NOTICES`], with at most [`MAX_KEYS`] keys.
    entries: Vec<Entry>,
    /// Number of entries that made room for others before they ended.
    dropped: u64,
}

impl List {
    /// Time until a request with these parts may be sent, in ms, or `None` if it may be sent now.
    pub(super) fn remaining_ms(&self, now: Time, keys: &[Key]) -> Option<u64> {
        let entries = self.entries.iter();
        let matching = entries.filter(|entry| entry.is_active(now) && entry.matches(keys));
        matching.map(|entry| entry.until.since(now)).max()
    }

    pub(super) fn notices(&self, now: Time) -> Vec<Notice> {
        let active = self.entries.iter().filter(|entry| entry.is_active(now));
        active.map(|entry| entry.notice(now)).collect()
    }

    pub(super) fn digest(&self, now: Time) -> u64 {
        let active = self.entries.iter().filter(|entry| entry.is_active(now));
        let hashes = active.map(|entry| FixedState::default().hash_one(&entry.keys));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    pub(super) fn summary(&self, now: Time) -> Summary {
        let mut latest = self.notices(now);
        latest.sort_by_key(|notice| std::cmp::Reverse(notice.remaining_ms));
        let mut left = MAX_SUMMARY_BYTES;
        latest.retain(|notice| {
            let fits = notice.bytes() <= left;
            if fits {
                left -= notice.bytes();
            }
            fits
        });
        Summary {
            digest: self.digest(now),
            latest,
        }
    }

    /// Number of entries that made room for others since the last call.
    pub(super) fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Takes over what another host has found. Returns the notices that were not known.
    pub(super) fn merge(&mut self, now: Time, notices: &[Notice]) -> Vec<Notice> {
        let mut news = Vec::new();
        for notice in notices.iter().filter(|notice| notice.is_valid()) {
            // It is known already which of the parts crashes servers.
            let is_resolved = self.entries.iter().any(|entry| {
                entry.is_active(now) && entry.keys != notice.keys && entry.matches(&notice.keys)
            });
            if is_resolved {
                continue;
            }
            // No host states a longer time; a damaged one must not refuse requests for longer.
            let until = now.plus_ms(notice.remaining_ms.min(QUARANTINE_MS));
            let known = self.entries.iter_mut();
            let known = known
                .filter(|entry| entry.keys == notice.keys)
                .max_by_key(|entry| entry.until);
            match known {
                Some(entry) if entry.is_active(now) => {
                    if until > entry.until.plus_ms(MIN_EXTENSION_MS) {
                        entry.until = until;
                    }
                }
                // The host that sends the notice has not noticed yet that the quarantine is over.
                Some(entry) if until <= entry.until.plus_ms(MIN_EXTENSION_MS) => {}
                _ => {
                    self.insert(now, notice.keys.clone(), until);
                    news.push(notice.clone());
                }
            }
        }
        news
    }

    pub(super) fn insert(&mut self, now: Time, keys: Vec<Key>, until: Time) {
        // A group is no longer needed once it is known which of its parts crashes servers.
        self.entries
            .retain(|entry| !is_subset(&keys, &entry.keys) && is_remembered(entry, now));
        self.entries.push(Entry { keys, until });
        let mut total: usize = self.entries.iter().map(|entry| entry.keys.len()).sum();
        while self.entries.len() > MAX_NOTICES || total > MAX_KEYS {
            let others = &self.entries[..self.entries.len() - 1];
            let ends_first = (0..others.len()).min_by_key(|at| others[*at].until);
            let Some(at) = ends_first else { break };
            total -= self.entries.remove(at).keys.len();
            self.dropped += 1;
        }
    }

    pub(super) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The entry that explains a crash of a server that had requests with these parts.
    pub(super) fn explanation<'a>(
        &mut self,
        mut suspects: impl Iterator<Item = &'a [Key]> + Clone,
    ) -> Option<&mut Entry> {
        self.entries.iter_mut().find(|entry| {
            let mut suspects = suspects.by_ref().clone();
            suspects.any(|keys| entry.matches(keys))
        })
    }

    /// Removes a part that does not crash servers.
    pub(super) fn clear(&mut self, now: Time, key: &Key) {
        // A part that is quarantined alone is not cleared by an answer that began before.
        self.entries.retain_mut(|entry| {
            if let Ok(at) = entry.keys.binary_search(key)
                && (entry.keys.len() > 1 || !entry.is_active(now))
            {
                entry.keys.remove(at);
            }
            !entry.keys.is_empty()
        });
    }

    /// Forgets quarantines that ended long ago.
    pub(super) fn forget(&mut self, now: Time) {
        self.entries.retain(|entry| is_remembered(entry, now));
    }
}

fn is_remembered(entry: &Entry, now: Time) -> bool {
    now < entry.until.plus_ms(QUARANTINE_MS)
}

/// Whether `all` has all of `keys`. `all` is sorted.
pub(super) fn is_subset(keys: &[Key], all: &[Key]) -> bool {
    keys.iter().all(|key| all.binary_search(key).is_ok())
}
