//! Replays a load against engines that read prompts one after the other.

use primrose_base::clock::Time;
use primrose_place::demand::{Demand, Key};
use primrose_place::engine::Speed;
use primrose_place::placer::{Decision, Outcome, Placer};

/// What became of the requests of one account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

struct Running {
    key: Key,
    first: u64,
    end: u64,
    has_first: bool,
}

/// A fleet of engines in front of which one placer books.
pub(crate) struct Replay {
    pub(crate) placer: Placer,
    /// Until when each engine reads, in ms, by server id.
    busy: Vec<(String, f64)>,
    running: Vec<Running>,
    now: u64,
    /// Time that all engines have spent reading, in ms.
    pub(crate) worked_ms: f64,
}

impl Replay {
    pub(crate) fn new(placer: Placer) -> Replay {
        Replay {
            placer,
            busy: Vec::new(),
            running: Vec::new(),
            now: 1_000,
            worked_ms: 0.0,
        }
    }

    /// Lets a ms pass.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        let now = Time::from_ms(self.now);
        for run in &mut self.running {
            if !run.has_first && run.first <= self.now {
                run.has_first = true;
                self.placer.record_first_event(now, run.key);
            }
            if run.end <= self.now {
                let outcome = Outcome::Answered { failed: false };
                self.placer.record_end(now, run.key, outcome);
            }
        }
        self.running.retain(|run| run.end > self.now);
    }

    /// Sends a request and counts what becomes of it. The engine reads what the placer does not take to be kept.
    pub(crate) fn send(&mut self, demand: &Demand, tally: &mut Tally) {
        tally.asked += 1;
        let now = Time::from_ms(self.now);
        let (server, cached_tokens) = match self.placer.place(now, demand) {
            Decision::Place {
                server,
                cached_tokens,
                ..
            } => (server.id.to_string(), cached_tokens),
            Decision::Refuse { .. } => {
                tally.refused += 1;
                return;
            }
        };
        let speed = Speed::default();
        let input = demand
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.input_tokens);
        let prefill = speed.prefill(input, cached_tokens);
        let work = prefill.work_ms + prefill.steps * speed.step_ms;
        let at = self
            .busy
            .binary_search_by(|(id, _)| id.cmp(&server))
            .unwrap_or_else(|at| {
                self.busy.insert(at, (server, 0.0));
                at
            });
        let until = &mut self.busy[at].1;
        *until = until.max(self.now as f64) + work;
        self.worked_ms += work;
        let first = *until + speed.first_ms;
        if first - self.now as f64 <= f64::from(demand.objective_ms) {
            tally.on_time += 1;
        } else {
            tally.late += 1;
        }
        self.running.push(Running {
            key: demand.key,
            first: first as u64,
            end: first as u64 + 600,
            has_first: false,
        });
    }
}
