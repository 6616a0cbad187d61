//! Keeps a request that the placer lets wait, and asks for a server again.

use std::sync::Arc;
use std::time::Duration;

use primrose_base::clock::Time;
use primrose_place::Demand;
use primrose_place::placer::Decision;

/// Bounds of the time until the placer is asked again, in ms, whatever it says.
const AGAIN_MS: std::ops::RangeInclusive<u32> = 20..=1_000;

/// The result of asking until the placer decided.
pub struct Placed {
    /// [`Decision::Wait`] only if the request has ended, or this host stops, while it waited.
    pub decision: Decision,
    /// How long the request waited, in ms; 0 if it was decided at once.
    pub waited_ms: u64,
    /// How often a server was asked for; at least 1.
    pub asks: u32,
}

/// Requests a server for `demand` with `ask` until the placer places or refuses it. Each time the key is the same, so the
/// placer that lets the request wait recognises it, and another one decides on it as on a new request. `remaining_ms`
/// returns the time that the request has left, or `None` if it may not be passed on any more; `passed` waits until it has
/// ended.
pub async fn place<D, P>(
    demand: &Arc<Demand>,
    ask: impl Fn(Arc<Demand>) -> D,
    remaining_ms: impl Fn() -> Option<u64>,
    passed: impl Fn() -> P,
) -> Placed
where
    D: Future<Output = Decision>,
    P: Future<Output = ()>,
{
    let started = Time::now();
    let mut asked = Arc::clone(demand);
    let mut placed = Placed {
        decision: ask(Arc::clone(&asked)).await,
        waited_ms: 0,
        asks: 1,
    };
    while let Decision::Wait { again_ms } = placed.decision {
        let again_ms = again_ms.clamp(*AGAIN_MS.start(), *AGAIN_MS.end());
        let has_ended = tokio::select! {
            biased;
            () = passed() => true,
            () = tokio::time::sleep(Duration::from_millis(u64::from(again_ms))) => false,
        };
        placed.waited_ms = Time::now().since(started);
        let Some(remaining_ms) = remaining_ms().filter(|_| !has_ended) else {
            break;
        };
        let waited_ms = u32::try_from(placed.waited_ms).unwrap_or(u32::MAX);
        asked = Arc::new(Demand {
            waited_ms: demand.waited_ms.saturating_add(waited_ms),
            remaining_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
            ..(*asked).clone()
        });
        placed.decision = ask(Arc::clone(&asked)).await;
        placed.asks += 1;
    }
    placed
}
