//! Replays a load against simulated engines that prefill prompts one after the other.

use primrose_base::clock::Time;
use primrose_place::demand::{Demand, Key};
use primrose_place::engine::Speed;
use primrose_place::placer::{Decision, Outcome, Placer};

/// Counts the requests of one account by their result.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) sent: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

struct Running {
    key: Key,
    first_event_ms: u64,
    end_ms: u64,
    is_first_event_reported: bool,
}

/// Engines and the placer that assigns requests to them, in virtual time.
pub(crate) struct Replay {
    pub(crate) placer: Placer,
    /// When each engine finishes its last prefill, in ms, sorted by server id.
    busy_until: Vec<(String, f64)>,
    running: Vec<Running>,
    now_ms: u64,
    /// Time that all engines have spent on prefill, in ms, summed over the engines.
    pub(crate) prefill_ms: f64,
}

impl Replay {
    pub(crate) fn new(placer: Placer) -> Replay {
        Replay {
            placer,
            busy_until: Vec::new(),
            running: Vec::new(),
            now_ms: 1_000,
            prefill_ms: 0.0,
        }
    }

    /// Advances the time by 1 ms and reports first events and ends to the placer.
    pub(crate) fn step(&mut self) {
        self.now_ms += 1;
        let now = Time::from_ms(self.now_ms);
        for run in &mut self.running {
            if !run.is_first_event_reported && run.first_event_ms <= self.now_ms {
                run.is_first_event_reported = true;
                self.placer.record_first_event(now, run.key);
            }
            if run.end_ms <= self.now_ms {
                let outcome = Outcome::Answered { failed: false };
                self.placer.record_end(now, run.key, outcome);
            }
        }
        self.running.retain(|run| run.end_ms > self.now_ms);
    }

    /// Sends a request and counts its result. The engine prefills all tokens that the placer does
    /// not expect to be cached. Returns the time after which a refused caller is to retry, in ms.
    pub(crate) fn send(&mut self, demand: &Demand, tally: &mut Tally) -> Option<u32> {
        tally.sent += 1;
        let now = Time::from_ms(self.now_ms);
        let (server, cached_tokens) = match self.placer.place(now, demand) {
            Decision::Place {
                server,
                cached_tokens,
                ..
            } => (server.id.to_string(), cached_tokens),
            Decision::Refuse { retry_after_ms, .. } => {
                tally.refused += 1;
                return Some(retry_after_ms);
            }
            Decision::Wait { .. } => panic!("waiting is off"),
        };
        let speed = Speed::default();
        let input = demand
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.input_tokens);
        let prefill = speed.prefill(input, cached_tokens);
        let work = prefill.work_ms + prefill.steps * speed.step_ms;
        let at = self
            .busy_until
            .binary_search_by(|(id, _)| id.cmp(&server))
            .unwrap_or_else(|at| {
                self.busy_until.insert(at, (server, 0.0));
                at
            });
        let until = &mut self.busy_until[at].1;
        *until = until.max(self.now_ms as f64) + work;
        self.prefill_ms += work;
        let first = *until + speed.first_ms;
        if first - self.now_ms as f64 <= f64::from(demand.objective_ms) {
            tally.on_time += 1;
        } else {
            tally.late += 1;
        }
        self.running.push(Running {
            key: demand.key,
            first_event_ms: first as u64,
            end_ms: first as u64 + 600,
            is_first_event_reported: false,
        });
        None
    }
}
