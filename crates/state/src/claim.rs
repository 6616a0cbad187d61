//! Claims of idempotency keys by non-idempotent requests.

use primrose_base::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::recent::Recent;

/// How long a claim lasts, in milliseconds: 24 h.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Claims that are kept at most; at 72 bytes each about 29 MB, within the 128 MB of a daemon. When they are used up,
/// new claims are refused. None is dropped early, because its request could then run twice.
pub const MAX_CLAIMS: usize = 400_000;

/// Claims of one account that are kept at most, so that one account cannot use up all.
pub const MAX_CLAIMS_PER_ACCOUNT: usize = 40_000;

/// Attempts without a claim whose reply is remembered. At 100 refused or released claims a second this reaches back 100 s,
/// ten times the deadline of a claim, after which no repetition is on its way.
pub const MAX_ATTEMPTS: usize = 10_000;

/// Time between two removals of ended claims, in milliseconds. A removal visits every claim.
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// One request on its way through one host.
///
/// A repeated or late claim of an attempt gets the first reply and does not take the key a second time. That is why a
/// request number is used for one claim only.
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
    /// The attempt holds the claim.
    Won,
    /// Another attempt holds the claim; its request may have run.
    Held,
    /// The request of another attempt, or of this one, is complete.
    Complete,
    /// The attempt has released the claim.
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

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    key: Half,
    digest: Half,
    attempt: Attempt,
    /// When the claim was won.
    at: u64,
    /// Whether the request is complete.
    complete: bool,
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
    /// The replies to the last [`MAX_ATTEMPTS`] attempts that did not win or that have released their claim.
    attempts: Recent<Attempt, Reply>,
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
        if let Some(reply) = self.attempts.get(&claim.attempt) {
            return *reply;
        }
        let reply = self.decide(claim);
        if reply != Reply::Won {
            self.attempts.add(claim.attempt, reply, MAX_ATTEMPTS);
        }
        reply
    }

    fn decide(&mut self, claim: &Claim) -> Reply {
        let fresh = Entry {
            key: key_half(&claim.key),
            digest: half(&claim.digest),
            attempt: claim.attempt,
            at: self.now_ms,
            complete: false,
        };
        let limits = self.limits;
        let no_room = self.count >= limits.claims;
        let entries = self.entries(claim.account);
        match entries.binary_search_by_key(&fresh.key, |entry| entry.key) {
            Ok(at) => {
                let entry = &mut entries[at];
                let age_ms = fresh.at.saturating_sub(entry.at);
                if age_ms < limits.retention_ms {
                    return entry.answer(&fresh);
                }
                *entry = fresh;
            }
            Err(_) if no_room || entries.len() >= limits.claims_per_account => return Reply::Full,
            Err(at) => {
                entries.insert(at, fresh);
                self.count += 1;
            }
        }
        Reply::Won
    }

    pub(crate) fn settle(&mut self, settle: &Settle) -> bool {
        let released = self.attempts.get(&settle.attempt) == Some(&Reply::Released);
        if released {
            return settle.outcome == Outcome::Released;
        }
        let key = key_half(&settle.key);
        let entries = self.entries(settle.account);
        let Ok(at) = entries.binary_search_by_key(&key, |entry| entry.key) else {
            return false;
        };
        let entry = &mut entries[at];
        if entry.attempt != settle.attempt {
            return false;
        }
        match settle.outcome {
            Outcome::Complete => entry.complete = true,
            Outcome::Released if entry.complete => return false,
            Outcome::Released => {
                entries.remove(at);
                self.count -= 1;
                self.attempts
                    .add(settle.attempt, Reply::Released, MAX_ATTEMPTS);
            }
        }
        true
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
    /// The answer to a claim that this entry stands against.
    fn answer(&self, fresh: &Entry) -> Reply {
        if self.digest != fresh.digest {
            Reply::KeyReused
        } else if self.complete {
            Reply::Complete
        } else if self.attempt == fresh.attempt {
            Reply::Won
        } else {
            Reply::Held
        }
    }
}
