//! The task that records claims of idempotency keys, and their outcomes, in the log.

use primrose_proxy::dispatch::{Claim, ClaimEvent};
use primrose_schedule::claim::{Reply as ClaimResult, Settlement};
use primrose_schedule::ledger::Origin;
use primrose_state::claim::{
    Attempt, Claim as ClaimCommand, Outcome as SettleOutcome, Reply as ClaimReply, Settle,
};
use primrose_state::{Command, Reply};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

use crate::counters::Counters;
use crate::submit::{Outcome, Submitter};

/// Timeout of a claim, for which a caller waits; longer than an election.
const CLAIM_TIMEOUT_MS: u64 = 3_000;

/// Timeout of one attempt to settle a claim.
const SETTLE_TIMEOUT_MS: u64 = 10_000;

/// Maximum number of attempts to settle a claim. If all fail, the claim stays held until its retention ends, which is
/// safe.
const SETTLE_ATTEMPTS: u32 = 360;

/// The inputs of the task.
pub struct Inputs {
    /// Claims and settlements of request tasks.
    pub events: mpsc::UnboundedReceiver<ClaimEvent>,
    /// Id of this host and the start time of its process; `None` until the host is in the configuration.
    pub origin: watch::Receiver<Option<Origin>>,
    /// Submits the claims and settlements to the log.
    pub submitter: Submitter,
    /// Counts `claim_granted`.
    pub counters: Arc<Counters>,
}

/// Starts the task, which ends when all senders of events are dropped.
pub fn spawn(inputs: Inputs) {
    tokio::spawn(run(inputs));
}

async fn run(mut inputs: Inputs) {
    while let Some(event) = inputs.events.recv().await {
        let Some(origin) = *inputs.origin.borrow() else {
            if let ClaimEvent::Claim { reply, .. } = event {
                let _ = reply.send(ClaimResult::Unavailable);
            }
            continue;
        };
        let submitter = inputs.submitter.clone();
        match event {
            ClaimEvent::Claim { claim, reply } => {
                let counters = Arc::clone(&inputs.counters);
                tokio::spawn(submit_claim(submitter, counters, origin, claim, reply));
            }
            ClaimEvent::Settle { claim, settlement } => {
                tokio::spawn(settle(submitter, origin, claim, settlement));
            }
        }
    }
}

async fn submit_claim(
    submitter: Submitter,
    counters: Arc<Counters>,
    origin: Origin,
    claim: Claim,
    reply: oneshot::Sender<ClaimResult>,
) {
    let command = Command::Claim(ClaimCommand {
        account: claim.account,
        key: claim.key.as_ref().to_owned(),
        digest: claim.digest,
        attempt: attempt(origin, &claim),
        proposed_ms: 0,
    });
    let outcome = submitter.submit(command.clone(), CLAIM_TIMEOUT_MS).await;
    let result = claim_result(&outcome);
    if result == ClaimResult::Granted {
        counters.count("claim_granted");
    }
    let is_received = reply.send(result).is_ok();
    let is_abandoned = !is_received && result == ClaimResult::Granted;
    if outcome == Outcome::Unknown || is_abandoned {
        // The request will not run, but its claim may be in the log or may still be appended. The claim is submitted
        // again to make sure that it is applied, and is then released, so that the caller's next attempt can run.
        submitter.submit(command, SETTLE_TIMEOUT_MS).await;
        settle(submitter, origin, claim, Settlement::Released).await;
    }
}

fn claim_result(outcome: &Outcome) -> ClaimResult {
    match outcome {
        Outcome::Applied(Reply::Claim(reply)) => match reply {
            ClaimReply::Granted => ClaimResult::Granted,
            ClaimReply::HeldByOther => ClaimResult::HeldByOther,
            ClaimReply::Complete => ClaimResult::Complete,
            ClaimReply::KeyReused => ClaimResult::KeyReused,
            ClaimReply::Released | ClaimReply::Full => ClaimResult::Unavailable,
        },
        Outcome::Applied(_) | Outcome::Unavailable | Outcome::Unknown => ClaimResult::Unavailable,
    }
}

async fn settle(submitter: Submitter, origin: Origin, claim: Claim, settlement: Settlement) {
    let outcome = match settlement {
        Settlement::Complete => SettleOutcome::Complete,
        Settlement::Released => SettleOutcome::Released,
    };
    let command = Command::Settle(Settle {
        account: claim.account,
        key: claim.key.as_ref().to_owned(),
        attempt: attempt(origin, &claim),
        outcome,
    });
    for _ in 0..SETTLE_ATTEMPTS {
        if matches!(
            submitter.submit(command.clone(), SETTLE_TIMEOUT_MS).await,
            Outcome::Applied(_)
        ) {
            return;
        }
    }
}

fn attempt(origin: Origin, claim: &Claim) -> Attempt {
    Attempt {
        host: origin.host,
        incarnation: origin.incarnation,
        request: claim.request,
    }
}
