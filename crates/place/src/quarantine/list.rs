//! The prompt parts that are quarantined, and how hosts agree on them.
//!
//! Parts that cannot be told apart may be as many as a prompt has, so the whole list need not fit into a datagram.
//! Hosts send each other a [`Summary`]. One whose digest differs shows that the lists differ, and the hosts then exchange
//! their [`Record`]s in full. Each host keeps what it was told, so that a decision outlives the host that made it.
//!
//! A quarantine may be wrong, or its cause may have been removed. It ends in one of two ways:
//!
//! - An answer to a request with the part shows that the part crashes no servers. The part is cleared on all hosts.
//! - After its time, one request is sent on trial while all others are still refused. If it crashes its server, the
//!   quarantine begins again, for a longer time, so that few requests with a crashing part reach servers in all.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

use super::{Key, QUARANTINE_MS};
use crate::demand;

/// The most parts or groups of parts that are quarantined.
pub const MAX_NOTICES: usize = 64;

/// The most parts in all groups together: those of a few of the longest prompts that fit into a head.
const MAX_KEYS: usize = 1 << 15;

/// The most parts that were cleared and are remembered.
pub const MAX_CLEARANCES: usize = 256;

/// Each quarantine of the same parts is longer than the one before by this factor.
const GROWTH: u64 = 4;

/// The longest quarantine, in ms.
const MAX_QUARANTINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// How long after the end of a quarantine its parts are sent only on trial, if none comes, in ms. Also how long it is
/// remembered that a part was cleared.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// How long after the end of a request on trial the next one waits, in ms: until a crash would be known.
const TRIAL_GRACE_MS: u64 = 1_000;

/// The time after which a caller is told to retry if this host sends no requests on trial, in ms.
const NO_TRIAL_RETRY_MS: u64 = 1_000;

/// How long a clearance is told in datagrams, in ms: several messages.
const TOLD_MS: u64 = 10_000;

/// The most bytes of a summary. A datagram has other fields.
const MAX_SUMMARY_BYTES: usize = 600;

/// Encoded length of a notice without its keys, of a clearance and of a key, in bytes at most.
const NOTICE_BYTES: usize = 16;
const CLEARANCE_BYTES: usize = 24;
const KEY_BYTES: usize = 16;

/// A notice of another host must end later by this much to prolong a quarantine, in ms. The time that messages take
/// would otherwise prolong it with each exchange.
const MIN_EXTENSION_MS: u64 = 5_000;

/// Tells another host of a part that is quarantined, or of parts of which at least one is a crashing one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Sorted, not empty. Requests that have all of these parts are refused.
    pub keys: Vec<Key>,
    /// Time until the quarantine ends, in ms; 0 if it has ended and requests are sent on trial.
    pub remaining_ms: u64,
    /// How many quarantines of these parts came before.
    pub repeats: u32,
    /// Time since the quarantine began, in ms.
    pub age_ms: u64,
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

/// Tells another host that a part, which was quarantined alone or with others, crashes no servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearance {
    /// The part.
    pub key: Key,
    /// Time since it was cleared, in ms.
    pub age_ms: u64,
}

/// What a host knows of quarantined parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The quarantines, and those that have ended and whose parts are sent on trial.
    pub notices: Vec<Notice>,
    /// The parts that were cleared. A clearance counts against quarantines that began before it.
    pub clearances: Vec<Clearance>,
}

/// What a host tells others of its list in each message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Hash of the whole list; 0 if it is empty. Hosts with the same list have the same digest.
    pub digest: u64,
    /// The latest clearances and the notices that end last, as many as fit into a datagram.
    pub latest: Record,
}

/// A point in time on the clock of this process, in ms. Negative before the process began, as other hosts may state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Moment(i64);

impl Moment {
    fn before(now: Time, age_ms: u64) -> Moment {
        Moment::from(now).minus_ms(age_ms)
    }

    fn plus_ms(self, ms: u64) -> Moment {
        Moment(self.0.saturating_add_unsigned(ms))
    }

    fn minus_ms(self, ms: u64) -> Moment {
        Moment(self.0.saturating_sub_unsigned(ms))
    }

    /// Time since this moment, in ms; 0 if it has not come.
    fn age_ms(self, now: Time) -> u64 {
        let age_ms = Moment::from(now).0.saturating_sub(self.0);
        u64::try_from(age_ms).unwrap_or(0)
    }

    /// Time until this moment, in ms; 0 if it has passed.
    fn remaining_ms(self, now: Time) -> u64 {
        let remaining_ms = self.0.saturating_sub(Moment::from(now).0);
        u64::try_from(remaining_ms).unwrap_or(0)
    }
}

impl From<Time> for Moment {
    fn from(time: Time) -> Moment {
        Moment(i64::try_from(time.as_ms()).unwrap_or(i64::MAX))
    }
}

/// A request that was sent although a quarantine of its parts was the last thing that is known of them.
#[derive(Clone, Copy, Debug)]
struct Trial {
    request: demand::Key,
    /// Until then, no other request is sent.
    until: Time,
}

/// Parts of which at least one crashes servers.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Sorted, not empty.
    pub(super) keys: Vec<Key>,
    /// When the quarantine began.
    began: Moment,
    /// The first crash that speaks against the parts. An answer to a later request with a part clears it.
    since: Time,
    /// The quarantine ends then, and requests are sent on trial.
    until: Moment,
    /// How many quarantines of these parts came before.
    repeats: u32,
    trial: Option<Trial>,
}

impl Entry {
    pub(super) fn is_active(&self, now: Time) -> bool {
        Moment::from(now) < self.until
    }

    pub(super) fn matches(&self, keys: &[Key]) -> bool {
        is_subset(&self.keys, keys)
    }

    fn is_remembered(&self, now: Time) -> bool {
        Moment::from(now) < self.until.plus_ms(RETENTION_MS)
    }

    fn notice(&self, now: Time) -> Notice {
        Notice {
            keys: self.keys.clone(),
            remaining_ms: self.until.remaining_ms(now),
            repeats: self.repeats,
            age_ms: self.began.age_ms(now),
        }
    }

    /// Begins the quarantine again, because a request has crashed a server.
    pub(super) fn repeat(&mut self, now: Time) -> Notice {
        self.repeats = self.repeats.saturating_add(1);
        self.began = now.into();
        self.until = self.began.plus_ms(period_ms(self.repeats));
        self.trial = None;
        self.notice(now)
    }
}

/// How long a quarantine lasts after so many others of the same parts, in ms.
fn period_ms(repeats: u32) -> u64 {
    let factor = GROWTH.saturating_pow(repeats);
    QUARANTINE_MS.saturating_mul(factor).min(MAX_QUARANTINE_MS)
}

/// The quarantined parts.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    /// At most [`MAX_NOTICES`], with at most [`MAX_KEYS`] keys.
    entries: Vec<Entry>,
    /// The parts that were cleared, and when, in the order of these times; at most [`MAX_CLEARANCES`].
    cleared: Vec<(Key, Moment)>,
    /// Number of entries that made room for others before they ended.
    dropped: u64,
}

impl List {
    /// Time until a request with these parts may be sent, in ms, or `None` if it may be sent now, on trial perhaps.
    pub(super) fn remaining_ms(&self, now: Time, keys: &[Key]) -> Option<u64> {
        let entries = self.entries.iter();
        let matching = entries.filter(|entry| entry.is_active(now) && entry.matches(keys));
        matching.map(|entry| entry.until.remaining_ms(now)).max()
    }

    /// The same for this request, which waits for another one that is on trial.
    pub(super) fn refusal_ms(&self, now: Time, keys: &[Key], request: demand::Key) -> Option<u64> {
        let matching = self.entries.iter().filter(|entry| entry.matches(keys));
        let trials = matching.filter_map(|entry| entry.trial);
        let others = trials.filter(|trial| trial.request != request && now < trial.until);
        let trial_ms = others.map(|trial| trial.until.since(now)).max();
        self.remaining_ms(now, keys).max(trial_ms)
    }

    /// The time after which the caller of a request that would be sent on trial is told to retry, if this host sends none.
    pub(super) fn no_trial_ms(&self, keys: &[Key]) -> Option<u64> {
        let mut entries = self.entries.iter();
        let is_due = entries.any(|entry| entry.matches(keys));
        is_due.then_some(NO_TRIAL_RETRY_MS)
    }

    /// Records that a request was sent, until `until` at the latest. It is on trial if a quarantine of its parts has ended.
    pub(super) fn begin_trial(
        &mut self,
        now: Time,
        keys: &[Key],
        request: demand::Key,
        until: Time,
    ) {
        for entry in &mut self.entries {
            if !entry.is_active(now) && entry.matches(keys) {
                entry.trial = Some(Trial { request, until });
            }
        }
    }

    /// Records that a request has ended. If it was on trial, its outcome is known soon.
    pub(super) fn end_trial(&mut self, now: Time, request: demand::Key) {
        let trials = self.entries.iter_mut().flat_map(|entry| &mut entry.trial);
        for trial in trials.filter(|trial| trial.request == request) {
            trial.until = trial.until.min(now.plus_ms(TRIAL_GRACE_MS));
        }
    }

    /// The quarantines that have not ended.
    pub(super) fn notices(&self, now: Time) -> Vec<Notice> {
        let active = self.entries.iter().filter(|entry| entry.is_active(now));
        active.map(|entry| entry.notice(now)).collect()
    }

    fn remembered(&self, now: Time) -> impl Iterator<Item = &Entry> {
        let entries = self.entries.iter();
        entries.filter(move |entry| entry.is_remembered(now))
    }

    fn clearances(&self, now: Time) -> impl Iterator<Item = (Key, Moment)> {
        let is_remembered = move |at: Moment| Moment::from(now) < at.plus_ms(RETENTION_MS);
        let cleared = self.cleared.iter().copied();
        cleared.filter(move |(_, at)| is_remembered(*at))
    }

    pub(super) fn record(&self, now: Time) -> Record {
        let entries = self.remembered(now);
        let clearances = self.clearances(now).map(|(key, at)| Clearance {
            key,
            age_ms: at.age_ms(now),
        });
        Record {
            notices: entries.map(|entry| entry.notice(now)).collect(),
            clearances: clearances.collect(),
        }
    }

    pub(super) fn digest(&self, now: Time) -> u64 {
        let state = FixedState::default();
        let entries = self.remembered(now);
        let entries = entries.map(|entry| state.hash_one((&entry.keys, entry.repeats)));
        let cleared = self.clearances(now).map(|(key, _)| state.hash_one(key));
        entries.chain(cleared).fold(0, |digest, hash| digest ^ hash)
    }

    pub(super) fn summary(&self, now: Time) -> Summary {
        let mut latest = self.record(now);
        let mut left = MAX_SUMMARY_BYTES;
        let mut take = |bytes: usize| {
            let fits = bytes <= left;
            if fits {
                left -= bytes;
            }
            fits
        };
        latest.clearances.reverse();
        latest
            .clearances
            .retain(|clearance| clearance.age_ms < TOLD_MS && take(CLEARANCE_BYTES));
        let notices = &mut latest.notices;
        notices.sort_by_key(|notice| std::cmp::Reverse(notice.remaining_ms));
        notices.retain(|notice| take(notice.bytes()));
        Summary {
            digest: self.digest(now),
            latest,
        }
    }

    /// Number of entries that made room for others since the last call.
    pub(super) fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Takes over what another host knows. Returns the notices that were not known.
    pub(super) fn merge(&mut self, now: Time, record: &Record) -> Vec<Notice> {
        for clearance in &record.clearances {
            let at = Moment::before(now, clearance.age_ms);
            if Moment::from(now) < at.plus_ms(RETENTION_MS) {
                self.merge_clearance(&clearance.key, at);
            }
        }
        let valid = record.notices.iter().filter(|notice| notice.is_valid());
        let mut news = Vec::new();
        for notice in valid {
            if let Some(notice) = self.merge_notice(now, notice) {
                news.push(notice);
            }
        }
        news
    }

    fn merge_clearance(&mut self, key: &Key, at: Moment) {
        let is_newer = |entry: &Entry| entry.began > at && entry.keys.binary_search(key).is_ok();
        if !self.entries.iter().any(is_newer) {
            self.remove(key, |_| true);
            self.add_clearance(*key, at);
        }
    }

    /// Returns the notice if it was not known, without parts that were cleared.
    fn merge_notice(&mut self, now: Time, notice: &Notice) -> Option<Notice> {
        let began = Moment::before(now, notice.age_ms);
        let mut notice = notice.clone();
        notice.keys.retain(|key| {
            let mut cleared = self.cleared.iter();
            !cleared.any(|(known, at)| known == key && *at >= began)
        });
        // It is known already which of the parts crashes servers.
        let mut entries = self.entries.iter();
        let is_resolved =
            entries.any(|entry| entry.keys != notice.keys && entry.matches(&notice.keys));
        if notice.keys.is_empty() || is_resolved {
            return None;
        }
        // No host states a longer time; a damaged one must not refuse requests for longer.
        let period_ms = period_ms(notice.repeats);
        let until = match notice.remaining_ms {
            0 => began.plus_ms(period_ms).min(now.into()),
            remaining_ms => Moment::from(now).plus_ms(remaining_ms.min(period_ms)),
        };
        let entry = Entry {
            keys: notice.keys.clone(),
            began,
            since: now,
            until,
            repeats: notice.repeats,
            trial: None,
        };
        if !entry.is_remembered(now) {
            return None;
        }
        let mut known = self.entries.iter_mut();
        match known.find(|known| known.keys == entry.keys) {
            Some(known) if known.repeats > entry.repeats => None,
            Some(known) if known.repeats == entry.repeats => {
                if known.is_active(now) && until > known.until.plus_ms(MIN_EXTENSION_MS) {
                    known.until = until;
                }
                None
            }
            _ => {
                self.insert(now, entry);
                Some(notice)
            }
        }
    }

    /// Quarantines parts. `since` is the first crash that speaks against them.
    pub(super) fn quarantine(&mut self, now: Time, keys: Vec<Key>, since: Time) -> Notice {
        let began = Moment::from(now);
        let entry = Entry {
            keys,
            began,
            since,
            until: began.plus_ms(QUARANTINE_MS),
            repeats: 0,
            trial: None,
        };
        let notice = entry.notice(now);
        self.insert(now, entry);
        notice
    }

    fn insert(&mut self, now: Time, entry: Entry) {
        // A group is no longer needed once it is known which of its parts crashes servers.
        self.entries
            .retain(|other| !is_subset(&entry.keys, &other.keys) && other.is_remembered(now));
        self.cleared
            .retain(|(key, _)| entry.keys.binary_search(key).is_err());
        self.entries.push(entry);
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
        suspects: impl Iterator<Item = &'a [Key]> + Clone,
    ) -> Option<&mut Entry> {
        self.entries
            .iter_mut()
            .find(|entry| suspects.clone().any(|keys| entry.matches(keys)))
    }

    /// Records that a request with these parts was answered. Returns whether that clears one of them.
    ///
    /// A request that has all parts of an entry clears it only if its answer is complete, which a server that crashes never
    /// sends: of one that has only begun, the crash may not be known yet. `complete` is then the time when the request was
    /// assigned. If that is before the first crash, the parts may have changed.
    pub(super) fn clear(&mut self, now: Time, keys: &[Key], complete: Option<Time>) -> bool {
        let clears = |entry: &Entry| {
            let is_proof = complete.is_some_and(|assigned| assigned >= entry.since);
            is_proof || !entry.matches(keys)
        };
        let clearing = self.entries.iter().filter(|entry| clears(entry));
        let known = clearing.flat_map(|entry| &entry.keys);
        let known = known.filter(|key| keys.binary_search(key).is_ok());
        let cleared: Vec<Key> = known.copied().collect();
        for key in &cleared {
            self.remove(key, clears);
            self.add_clearance(*key, now.into());
        }
        !cleared.is_empty()
    }

    /// Removes a part from the entries for which `applies` holds. Returns whether there are any.
    fn remove(&mut self, key: &Key, applies: impl Fn(&Entry) -> bool) -> bool {
        let mut is_removed = false;
        self.entries.retain_mut(|entry| {
            if let Ok(at) = entry.keys.binary_search(key)
                && applies(entry)
            {
                entry.keys.remove(at);
                is_removed = true;
            }
            !entry.keys.is_empty()
        });
        if is_removed {
            // What is left of two groups may be the same.
            self.entries
                .sort_by(|a, b| a.keys.cmp(&b.keys).then(b.until.cmp(&a.until)));
            self.entries.dedup_by(|a, b| a.keys == b.keys);
        }
        is_removed
    }

    fn add_clearance(&mut self, key: Key, at: Moment) {
        let known = self.cleared.iter().position(|(known, _)| *known == key);
        let at = match known {
            Some(known) => self.cleared.remove(known).1.max(at),
            None => at,
        };
        let place = self.cleared.partition_point(|(_, other)| *other <= at);
        self.cleared.insert(place, (key, at));
        let excess = self.cleared.len().saturating_sub(MAX_CLEARANCES);
        self.cleared.drain(..excess);
    }

    /// Forgets what ended long ago.
    pub(super) fn forget(&mut self, now: Time) {
        self.entries.retain(|entry| entry.is_remembered(now));
        self.cleared
            .retain(|(_, at)| Moment::from(now) < at.plus_ms(RETENTION_MS));
    }
}

/// Whether `all` has all of `keys`. `all` is sorted.
pub(super) fn is_subset(keys: &[Key], all: &[Key]) -> bool {
    keys.iter().all(|key| all.binary_search(key).is_ok())
}
