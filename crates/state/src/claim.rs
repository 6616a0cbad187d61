//! Claims of idempotency keys, which keep a non-idempotent request from running twice.

use primrose_base::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::recent::Recent;

/// Default time after which a claim expires, in milliseconds: 24 h.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Default limit on the number of claims. At 72 bytes each they take about 29 MB of the 128 MB of a daemon. Above the
/// limit new claims are refused. No claim is dropped before it expires, because its request could then run twice.
pub const MAX_CLAIMS: usize = 400_000;

/// Default limit on the number of claims of one account, so that no account can use up [`MAX_CLAIMS`] alone.
pub const MAX_CLAIMS_PER_ACCOUNT: usize = 40_000;

/// Number of attempts that hold no claim and whose replies are remembered. At 100 refused or released claims a second
/// this covers 100 s, ten times the deadline of a claim, after which no repeated message is in transit any more.
pub const MAX_ATTEMPTS: usize = 10_000;

/// Time between two removals of expired claims, in milliseconds. A removal visits every claim.
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// Identifies a request at the host that handles it.
///
/// A claim of an attempt that was answered before gets the first reply and does not take the key a second time.
/// Therefore a request number is used for one claim only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// The host that handles the request.
    pub host: id::Host,
    /// Incarnation of the host's daemon, which changes with each start.
    pub incarnation: u64,
    /// Number of the request, unique within the incarnation.
    pub request: u64,
}

/// Asks for the right to run a request, which the first claim of a key gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The client account of the request. Each account has its own keys.
    pub account: id::Account,
    /// The idempotency key that the caller sent.
    pub key: String,
    /// SHA-256 of the method, the path and the buffered part of the body, which tells requests with the same key
    /// apart.
    pub digest: [u8; 32],
    /// The attempt that asks.
    pub attempt: Attempt,
    /// Time at which the leader proposed the claim, in milliseconds of [`crate::Clock`].
    pub proposed_ms: u64,
}

/// How the request of a claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server has answered the request.
    Complete,
    /// The request has not run and will not run, so the key may be claimed again.
    Released,
}

/// Completes or releases a claim, on behalf of the attempt that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The client account of the request.
    pub account: id::Account,
    /// The idempotency key that the caller sent.
    pub key: String,
    /// The attempt that holds the claim. A late message of an earlier holder has no effect.
    pub attempt: Attempt,
    /// How the request ended.
    pub outcome: Outcome,
}

/// The reply to a [`Claim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt holds the claim and may run the request.
    Granted,
    /// Another attempt holds the claim; its request may have run.
    HeldByOther,
    /// The request is complete, whether it was run by this attempt or by another.
    Complete,
    /// This attempt has released the claim before.
    Released,
    /// The key was claimed for a request with another digest.
    KeyReused,
    /// A limit on the number of claims is reached, that of the account or the total.
    Full,
}

/// Limits on claims. They must be the same on all replicas; a snapshot contains them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Time after which a claim expires, in milliseconds.
    pub retention_ms: u64,
    /// Greatest number of claims of all accounts.
    pub claims: usize,
    /// Greatest number of claims of one account.
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

/// The first half of a SHA-256, so that keys of any length take the same memory. A collision, which practically does
/// not happen by chance, would refuse a request but never run one twice.
type HalfHash = [u8; 16];

fn first_half(hash: &[u8]) -> HalfHash {
    let mut half = HalfHash::default();
    for (to, from) in half.iter_mut().zip(hash) {
        *to = *from;
    }
    half
}

fn hash_key(key: &str) -> HalfHash {
    first_half(&Sha256::digest(key.as_bytes()))
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    key: HalfHash,
    digest: HalfHash,
    attempt: Attempt,
    /// When the claim was granted.
    granted_ms: u64,
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

/// The claims of all accounts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Claims {
    limits: Limits,
    /// Ascending by id. One list per account keeps insertions short.
    accounts: Vec<Account>,
    /// The replies to the last [`MAX_ATTEMPTS`] attempts that got no claim or have released it.
    attempts: Recent<Attempt, Reply>,
    /// Number of entries of all accounts, including expired ones that are not yet removed.
    count: usize,
    /// The greatest time in a command, so that time does not go back when the leader changes.
    now_ms: u64,
    /// When expired claims were last removed.
    last_sweep_ms: u64,
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
        self.now_ms = self.now_ms.max(claim.proposed_ms);
        if self.now_ms.saturating_sub(self.last_sweep_ms) >= SWEEP_INTERVAL_MS {
            self.sweep();
        }
        if let Some(reply) = self.attempts.get(&claim.attempt) {
            return *reply;
        }
        let reply = self.decide(claim);
        if reply != Reply::Granted {
            self.attempts.add(claim.attempt, reply, MAX_ATTEMPTS);
        }
        reply
    }

    fn decide(&mut self, claim: &Claim) -> Reply {
        let new = Entry {
            key: hash_key(&claim.key),
            digest: first_half(&claim.digest),
            attempt: claim.attempt,
            granted_ms: self.now_ms,
            complete: false,
        };
        let limits = self.limits;
        let no_room = self.count >= limits.claims;
        let entries = self.entries(claim.account);
        match entries.binary_search_by_key(&new.key, |entry| entry.key) {
            Ok(at) => {
                let entry = &mut entries[at];
                let age_ms = new.granted_ms.saturating_sub(entry.granted_ms);
                if age_ms < limits.retention_ms {
                    return entry.reply_to(&new);
                }
                *entry = new;
            }
            Err(_) if no_room || entries.len() >= limits.claims_per_account => return Reply::Full,
            Err(at) => {
                entries.insert(at, new);
                self.count += 1;
            }
        }
        Reply::Granted
    }

    pub(crate) fn settle(&mut self, settle: &Settle) -> bool {
        let released = self.attempts.get(&settle.attempt) == Some(&Reply::Released);
        if released {
            return settle.outcome == Outcome::Released;
        }
        let key = hash_key(&settle.key);
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

    /// The claims of an account. Adds an empty list for a new account.
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
            entries.retain(|entry| now_ms.saturating_sub(entry.granted_ms) < retention_ms);
            entries.shrink_to(entries.len() * 2);
        }
        self.accounts.retain(|account| !account.entries.is_empty());
        self.count = self.accounts.iter().map(|a| a.entries.len()).sum();
        self.last_sweep_ms = now_ms;
    }
}

impl Entry {
    /// The reply to the claim `new` of the same key while this claim has not expired.
    fn reply_to(&self, new: &Entry) -> Reply {
        if self.digest != new.digest {
            Reply::KeyReused
        } else if self.complete {
            Reply::Complete
        } else if self.attempt == new.attempt {
            Reply::Granted
        } else {
            Reply::HeldByOther
        }
    }
}
