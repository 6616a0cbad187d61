//! Claims of idempotency keys by non-idempotent requests.

use primrose_base::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// How long a claim lasts, in milliseconds: 24 h.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Claims that are kept at most; at 72 bytes each about 29 MB, within the 128 MB of a daemon. When they are used up,
/// new claims are refused. None is dropped early, because its request could then run twice.
pub const MAX_CLAIMS: usize = 400_000;

/// Claims of one account that are kept at most, so that one account cannot use up all.
pub const MAX_CLAIMS_PER_ACCOUNT: usize = 40_000;

/// Time between two removals of ended claims, in milliseconds. A removal visits every claim.
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// One request on its way through one host.
///
/// The request number tells a second request with the same key from a repeated message about the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// The host that holds the request.
    pub host: id::Host,
    /// The incarnation of the host's daemon.
    pub incarnation: u64,
    /// Unique within the incarnation.
    pub request: u64,
}

/// Asks for the right to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The account of the caller.
    pub account: id::Account,
    /// The idempotency key of the caller.
    pub key: String,
    /// SHA-256 of method, path and the held part of the body.
    pub digest: [u8; 32],
    /// Who asks.
    pub attempt: Attempt,
    /// Time of the proposal, in milliseconds; see [`crate::Clock`].
    pub at: u64,
}

/// How the request of a claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server answered.
    Complete,
    /// The request did not run and will not; the key may be claimed again.
    Released,
}

/// Reports the end of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The account of the caller.
    pub account: id::Account,
    /// The idempotency key of the caller.
    pub key: String,
    /// Who holds the claim. A late message of an earlier holder has no effect.
    pub attempt: Attempt,
    /// How the request ended.
    pub outcome: Outcome,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt holds the claim; it also gets this if it asks again.
    ///
    /// A host that learns this about a request that has ended settles it as released. Only the last released attempt of
    /// a key is remembered, so a message about an earlier one, if it is late enough, takes the key again.
    Won,
    /// Another attempt holds the claim; its request may have run.
    Held,
    /// The request of another attempt, or of this one, is complete.
    Complete,
    /// The attempt released the claim before; a late repetition does not take it again.
    Released,
    /// The key was claimed for another request.
    KeyReused,
    /// There is no room for another claim of this account, or of any.
    Full,
}

/// Limits of the claims. They must be the same on all replicas; a snapshot carries them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// How long a claim lasts, in milliseconds.
    pub retention_ms: u64,
    /// Claims in all.
    pub claims: usize,
    /// Claims of one account.
    pub claims_per_account: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            retention_ms: RETENTION_MS,
            claims: MAX_CLAIMS,
            claims_per_account: MAX_CLAIMS_PER_ACCOUNT,
        }
    }
}

/// The first half of a SHA-256. Keys of any length take the same room; a collision, which is beyond reach by chance,
/// refuses a request but never runs one twice.
type Half = [u8; 16];

fn half(hash: &[u8]) -> Half {
    let mut half = Half::default();
    for (to, from) in half.iter_mut().zip(hash) {
        *to = *from;
    }
    half
}

fn key_half(key: &str) -> Half {
    half(&Sha256::digest(key.as_bytes()))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Held,
    Complete,
    Released,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    key: Half,
    digest: Half,
    attempt: Attempt,
    /// When the claim was won.
    at: u64,
    state: State,
}

/// The claims of one account.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Account {
    id: id::Account,
    /// Ascending by key.
    entries: Vec<Entry>,
}

/// All claims.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Claims {
    limits: Limits,
    /// Ascending by id. One list per account keeps insertions short.
    accounts: Vec<Account>,
    /// Entries in all accounts.
    count: usize,
    /// The greatest time seen, so that time never goes back when the leader changes.
    now_ms: u64,
    /// The time of the last removal of ended claims.
    swept_ms: u64,
}

impl Claims {
    pub(crate) fn new(limits: Limits) -> Claims {
        Claims {
            limits,
            ..Claims::default()
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn claim(&mut self, claim: &Claim) -> Reply {
        self.now_ms = self.now_ms.max(claim.at);
        if self.now_ms.saturating_sub(self.swept_ms) >= SWEEP_INTERVAL_MS {
            self.sweep();
        }
        let key = key_half(&claim.key);
        let digest = half(&claim.digest);
        let now_ms = self.now_ms;
        let limits = self.limits;
        let fresh = Entry {
            key,
            digest,
            attempt: claim.attempt,
            at: now_ms,
            state: State::Held,
        };
        let entries = self.entries(claim.account);
        let at = match entries.binary_search_by_key(&key, |entry| entry.key) {
            Err(at) => at,
            Ok(at) => {
                let entry = &mut entries[at];
                let ended = now_ms.saturating_sub(entry.at) >= limits.retention_ms;
                if !ended && let Some(reply) = entry.answer(&fresh) {
                    return reply;
                }
                *entry = fresh;
                return Reply::Won;
            }
        };
        let account_full = entries.len() >= limits.claims_per_account;
        if account_full || self.count >= limits.claims {
            return Reply::Full;
        }
        self.entries(claim.account).insert(at, fresh);
        self.count += 1;
        Reply::Won
    }

    pub(crate) fn settle(&mut self, settle: &Settle) -> bool {
        let key = key_half(&settle.key);
        let entries = self.entries(settle.account);
        let Ok(at) = entries.binary_search_by_key(&key, |entry| entry.key) else {
            return false;
        };
        let entry = &mut entries[at];
        let state = match settle.outcome {
            Outcome::Complete => State::Complete,
            Outcome::Released => State::Released,
        };
        if entry.attempt != settle.attempt {
            return false;
        }
        if entry.state == State::Held {
            entry.state = state;
        }
        entry.state == state
    }

    /// The claims of an account, which is added if it is not there.
    fn entries(&mut self, account: id::Account) -> &mut Vec<Entry> {
        let at = match self.accounts.binary_search_by_key(&account, |a| a.id) {
            Ok(at) => at,
            Err(at) => {
                let empty = Account {
                    id: account,
                    entries: Vec::new(),
                };
                self.accounts.insert(at, empty);
                at
            }
        };
        &mut self.accounts[at].entries
    }

    fn sweep(&mut self) {
        let now_ms = self.now_ms;
        let retention_ms = self.limits.retention_ms;
        for account in &mut self.accounts {
            let entries = &mut account.entries;
            entries.retain(|entry| now_ms.saturating_sub(entry.at) < retention_ms);
            entries.shrink_to(entries.len() * 2);
        }
        self.accounts.retain(|account| !account.entries.is_empty());
        self.count = self.accounts.iter().map(|a| a.entries.len()).sum();
        self.swept_ms = now_ms;
    }
}

impl Entry {
    /// The answer to a claim that this entry stands against, or none if the key is free.
    fn answer(&self, fresh: &Entry) -> Option<Reply> {
        let same = self.attempt == fresh.attempt;
        match self.state {
            State::Released if same => Some(Reply::Released),
            // A released key is free, also for another request.
            State::Released => None,
            _ if self.digest != fresh.digest => Some(Reply::KeyReused),
            State::Complete => Some(Reply::Complete),
            State::Held if same => Some(Reply::Won),
            State::Held => Some(Reply::Held),
        }
    }
}
