//! The task that records claims of idempotency keys in the log.

use primrose_proxy::dispatch::{Claim, ClaimEvent};
use primrose_schedule::claim::{Reply as Claimed, Settlement};
use primrose_schedule::ledger::Origin;
use primrose_state::claim::{
    Attempt, Claim as ClaimCommand, Outcome as End, Reply as ClaimReply, Settle,
};
use primrose_state::{Command, Reply};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

use crate::counters::Counters;
use crate::submit::{Outcome, Submitter};

/// Time for a claim. A caller waits for it, and a leader is elected in less.
const CLAIM_TIMEOUT_MS: u64 = 3_000;

/// Time for one attempt to settle a claim.
const SETTLE_TIMEOUT_MS: u64 = 10_000;

/// Attempts to settle a claim; after them it stays held until its retention ends, which is safe.
const SETTLE_ATTEMPTS: u32 = 360;

/// What the task needs.
pub struct Inputs {
    /// Claims and settlements of request tasks.
    pub events: mpsc::UnboundedReceiver<ClaimEvent>,
    /// This host, once it is in the configuration.
    pub origin: watch::Receiver<Option<Origin>>,
    /// Submits to the log.
    pub submitter: Submitter,
    /// Counters.
    pub counters: Arc<Counters>,
}

/// Starts the task.
pub fn spawn(inputs: Inputs) {
    tokio::spawn(run(inputs));
}

async fn run(mut inputs: Inputs) {
    while let Some(event) = inputs.events.recv().await {
        let Some(origin) = *inputs.origin.borrow() else {
            if let ClaimEvent::Claim { reply, .. } = event {
                let _ = reply.send(Claimed::Unavailable);
            }
            continue;
        };
        let submitter = inputs.submitter.clone();
        match event {
            ClaimEvent::Claim { claim, reply } => {
                let counters = Arc::clone(&inputs.counters);
                tokio::spawn(make_claim(submitter, counters, origin, claim, reply));
            }
            ClaimEvent::Settle { claim, settlement } => {
                tokio::spawn(settle(submitter, origin, claim, settlement));
            }
        }
    }
}

async fn make_claim(
    submitter: Submitter,
    counters: Arc<Counters>,
    origin: Origin,
    claim: Claim,
    reply: oneshot::Sender<Claimed>,
) {
    let command = Command::Claim(ClaimCommand {
        account: claim.account,
        key: claim.key.as_ref().to_owned(),
        digest: claim.digest,
        attempt: attempt(origin, &claim),
        proposed_ms: 0,
    });
    let outcome = submitter.submit(command.clone(), CLAIM_TIMEOUT_MS).await;
    let claimed = claimed(&outcome);
    if claimed == Claimed::Won {
        counters.count("claim_granted");
    }
    let is_received = reply.send(claimed).is_ok();
    let is_abandoned = !is_received && claimed == Claimed::Won;
    if outcome == Outcome::Unknown || is_abandoned {
        // The request will not run, but its claim may be in the log or reach it late: once the claim is known to be
        // there, it is released, so that the caller's next attempt can run.
        submitter.submit(command, SETTLE_TIMEOUT_MS).await;
        settle(submitter, origin, claim, Settlement::Released).await;
    }
}

fn claimed(outcome: &Outcome) -> Claimed {
    match outcome {
        Outcome::Applied(Reply::Claim(reply)) => match reply {
            ClaimReply::Granted => Claimed::Won,
            ClaimReply::HeldByOther => Claimed::Held,
            ClaimReply::Complete => Claimed::Complete,
            ClaimReply::KeyReused => Claimed::KeyReused,
            ClaimReply::Released | ClaimReply::Full => Claimed::Unavailable,
        },
        Outcome::Applied(_) | Outcome::Unavailable | Outcome::Unknown => Claimed::Unavailable,
    }
}

async fn settle(submitter: Submitter, origin: Origin, claim: Claim, settlement: Settlement) {
    let outcome = match settlement {
        Settlement::Complete => End::Complete,
        Settlement::Released => End::Released,
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
