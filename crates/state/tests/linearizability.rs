//! Linearizability of changes and claims under concurrent clients, lost answers and repeated commands.
//!
//! A simulated network delivers commands to the machine late and more than once. The specifications that the
//! histories are checked against share no code with the machine.

use std::collections::BTreeMap;

use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Action as ConfigAction, Change, Code, spec};
use primrose_state::claim::{Attempt, Claim, Outcome, Reply as ClaimReply, Settle};
use primrose_state::{ChangeReply, Command, Machine, Reply};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// What a client knows about its change: nothing before the answer (the outer `None`), then the version that the
/// change made, or that it was refused (the inner `None`).
type Learned = Option<Option<u64>>;

#[derive(Clone, Debug)]
enum ChangeOp {
    Submit {
        id: u32,
        base: u64,
        learned: Learned,
    },
    Read {
        version: Option<u64>,
    },
}

struct ChangeSpec;

impl Specification for ChangeSpec {
    /// The version, and for each change id the version that it made, or none if it was refused.
    type State = (u64, BTreeMap<u32, Option<u64>>);
    type Operation = ChangeOp;

    fn init() -> Self::State {
        (0, BTreeMap::new())
    }

    fn apply(operation: &ChangeOp, state: &Self::State) -> (bool, Self::State) {
        let (version, outcomes) = state;
        match operation {
            ChangeOp::Read { version: read } => (*read == Some(*version), state.clone()),
            ChangeOp::Submit { id, base, learned } => {
                let mut next = state.clone();
                let outcome = match outcomes.get(id) {
                    Some(outcome) => *outcome,
                    None if base == version => Some(version + 1),
                    None => None,
                };
                next.0 = next.0.max(outcome.unwrap_or(0));
                next.1.insert(*id, outcome);
                (*learned == Some(outcome), next)
            }
        }
    }
}

#[derive(Clone, Debug)]
enum ClaimOp {
    Claim {
        key: u8,
        request: u64,
        reply: Option<ClaimReply>,
    },
    Settle {
        key: u8,
        request: u64,
        complete: bool,
    },
}

struct ClaimSpec;

impl Specification for ClaimSpec {
    /// For each key its last holder and, if settled, whether it completed.
    type State = BTreeMap<u8, (u64, Option<bool>)>;
    type Operation = ClaimOp;

    fn init() -> Self::State {
        BTreeMap::new()
    }

    fn apply(operation: &ClaimOp, state: &Self::State) -> (bool, Self::State) {
        let mut next = state.clone();
        match operation {
            ClaimOp::Claim {
                key,
                request,
                reply,
            } => {
                let expected = match state.get(key) {
                    Some((_, None)) => ClaimReply::HeldByOther,
                    Some((_, Some(true))) => ClaimReply::Complete,
                    Some((_, Some(false))) | None => ClaimReply::Granted,
                };
                if expected == ClaimReply::Granted {
                    next.insert(*key, (*request, None));
                }
                (*reply == Some(expected), next)
            }
            ClaimOp::Settle {
                key,
                request,
                complete,
            } => {
                let holds = state.get(key) == Some(&(*request, None));
                next.insert(*key, (*request, Some(*complete)));
                (holds, next)
            }
        }
    }
}

/// An operation of a client that is not complete.
struct Call<O> {
    operation: O,
    /// None for a read.
    command: Option<Command>,
    /// Deliveries that are still to come. The client sends the command again when an answer is lost.
    copies: u32,
    reply: Option<Reply>,
}

/// Concurrent clients in a history.
const CLIENTS: usize = 4;

/// Operations of each client in a history.
const CALLS: usize = 8;

/// Runs all operations of all clients and returns the history. `start` makes a client's next operation and its
/// command, `finish` adds the reply to an operation, and `read` answers operations without a command.
fn run<O: Clone>(
    rng: &mut SmallRng,
    machine: &mut Machine,
    mut start: impl FnMut(&mut SmallRng, usize, &Machine, Option<&(O, Reply)>) -> (O, Option<Command>),
    finish: impl Fn(&O, &Reply) -> O,
    read: impl Fn(&Machine) -> Reply,
) -> Vec<(usize, Action<O>)> {
    let mut history = Vec::new();
    let mut open: Vec<Option<Call<O>>> = (0..CLIENTS).map(|_| None).collect();
    let mut last: Vec<Option<(O, Reply)>> = vec![None; CLIENTS];
    let mut done = [0; CLIENTS];
    // Repeated commands that are delivered after the answer has arrived.
    let mut late: Vec<Command> = Vec::new();
    while done.iter().any(|count| *count < CALLS) {
        let mut order: Vec<usize> = (0..CLIENTS).collect();
        order.shuffle(rng);
        let client = order[0];
        if rng.random_bool(0.2) && !late.is_empty() {
            let at = rng.random_range(0..late.len());
            machine.apply(&late.swap_remove(at));
        }
        match &mut open[client] {
            None if done[client] < CALLS => {
                let (operation, command) = start(rng, client, machine, last[client].as_ref());
                history.push((client, Action::Call(operation.clone())));
                open[client] = Some(Call {
                    operation,
                    command,
                    copies: rng.random_range(1..4),
                    reply: None,
                });
            }
            None => {}
            Some(call) if call.copies > 0 => {
                call.copies -= 1;
                let reply = match &call.command {
                    Some(command) => machine.apply(command),
                    None => read(machine),
                };
                // Each answer may be lost, except the last one.
                if rng.random_bool(0.5) || call.copies == 0 {
                    call.reply = Some(reply);
                }
                let arrived = call.reply.is_some();
                if arrived && call.copies > 0 {
                    late.extend(call.command.clone());
                    call.copies = 0;
                }
            }
            Some(call) => {
                let reply = call.reply.clone().expect("the last answer arrives");
                let operation = finish(&call.operation, &reply);
                history.push((client, Action::Response(operation.clone())));
                last[client] = Some((operation, reply));
                open[client] = None;
                done[client] += 1;
            }
        }
    }
    history
}

fn learned(reply: &Reply) -> Learned {
    match reply {
        Reply::Change(ChangeReply::Accepted { version }) => Some(Some(*version)),
        Reply::Change(ChangeReply::Refused { refusal, .. }) => {
            assert_eq!(refusal.code, Code::BaseVersion);
            Some(None)
        }
        other => panic!("a change was answered with {other:?}"),
    }
}

fn change_history(seed: u64) -> Vec<(usize, Action<ChangeOp>)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut machine = Machine::default();
    let mut next_id = 0;
    let start = |rng: &mut SmallRng, _: usize, machine: &Machine, _: Option<&(ChangeOp, Reply)>| {
        if rng.random_bool(0.3) {
            return (ChangeOp::Read { version: None }, None);
        }
        next_id += 1;
        // Each operator uses the version that is current when the operation starts.
        let base = machine.configuration().version;
        let change = Change {
            id: Name::new(&format!("c{next_id}")).expect("a valid name"),
            base,
            actions: vec![ConfigAction::PutAccount(spec::Account {
                name: Name::new("a").expect("a valid name"),
                share: next_id,
                keys: Vec::new(),
                waiting_limit: None,
            })],
        };
        let operation = ChangeOp::Submit {
            id: next_id,
            base,
            learned: None,
        };
        (operation, Some(Command::Change(change)))
    };
    let finish = |operation: &ChangeOp, reply: &Reply| match *operation {
        ChangeOp::Read { .. } => ChangeOp::Read {
            version: learned(reply).flatten(),
        },
        ChangeOp::Submit { id, base, .. } => ChangeOp::Submit {
            id,
            base,
            learned: learned(reply),
        },
    };
    let read = |machine: &Machine| {
        Reply::Change(ChangeReply::Accepted {
            version: machine.configuration().version,
        })
    };
    run(&mut rng, &mut machine, start, finish, read)
}

fn claim_history(seed: u64) -> Vec<(usize, Action<ClaimOp>)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut machine = Machine::default();
    let mut next_request = 0;
    let attempt = |client: usize, request| Attempt {
        host: id::Host(client as u32),
        incarnation: 1,
        request,
    };
    let start =
        |rng: &mut SmallRng, client: usize, _: &Machine, last: Option<&(ClaimOp, Reply)>| {
            if let Some((
                ClaimOp::Claim {
                    key,
                    request,
                    reply: Some(ClaimReply::Granted),
                },
                _,
            )) = last
            {
                let complete = rng.random_bool(0.3);
                let outcome = if complete {
                    Outcome::Complete
                } else {
                    Outcome::Released
                };
                let settle = Command::Settle(Settle {
                    account: id::Account(1),
                    key: key.to_string(),
                    attempt: attempt(client, *request),
                    outcome,
                });
                let (key, request) = (*key, *request);
                return (
                    ClaimOp::Settle {
                        key,
                        request,
                        complete,
                    },
                    Some(settle),
                );
            }
            next_request += 1;
            let (key, request) = (rng.random_range(0..3), next_request);
            let claim = Command::Claim(Claim {
                account: id::Account(1),
                key: key.to_string(),
                digest: [0; 32],
                attempt: attempt(client, request),
                proposed_ms: 0,
            });
            (
                ClaimOp::Claim {
                    key,
                    request,
                    reply: None,
                },
                Some(claim),
            )
        };
    let finish = |operation: &ClaimOp, reply: &Reply| match (operation, reply) {
        (ClaimOp::Claim { key, request, .. }, Reply::Claim(reply)) => ClaimOp::Claim {
            key: *key,
            request: *request,
            reply: Some(*reply),
        },
        (settle, reply) => {
            // The reply is false if another request claimed the released key before a repeated command arrived.
            assert!(
                matches!(reply, Reply::Settle(_)),
                "a settlement was answered with {reply:?}"
            );
            settle.clone()
        }
    };
    run(&mut rng, &mut machine, start, finish, |_| Reply::Members)
}

/// If a change is applied twice, or its resend is refused, no sequence of the operations gives the answers of the
/// history.
#[test]
fn changes_are_linearizable() {
    for seed in 0..200 {
        let history = change_history(seed);
        let shown = format!("{history:?}");
        let history = History::from_actions(history);
        let holds = WGLChecker::<ChangeSpec>::is_linearizable(history);
        assert!(holds, "seed {seed}: not linearizable: {shown}");
    }
}

/// If two requests get the same claim, no sequence of the operations gives the answers of the history.
#[test]
fn claims_are_linearizable() {
    for seed in 0..200 {
        let history = claim_history(seed);
        let shown = format!("{history:?}");
        let history = History::from_actions(history);
        let holds = WGLChecker::<ClaimSpec>::is_linearizable(history);
        assert!(holds, "seed {seed}: not linearizable: {shown}");
    }
}

/// A checker that accepts every history would prove nothing, so it must reject the same histories with one altered
/// answer.
#[test]
fn altered_histories_are_rejected() {
    for seed in 0..50 {
        let mut history = change_history(seed);
        let accepted = history.iter_mut().find_map(|(_, action)| match action {
            Action::Response(ChangeOp::Submit {
                learned: Some(Some(version)),
                ..
            }) => Some(version),
            _ => None,
        });
        *accepted.expect("a change is accepted") += 1_000;
        let history = History::from_actions(history);
        let holds = WGLChecker::<ChangeSpec>::is_linearizable(history);
        assert!(
            !holds,
            "seed {seed}: the altered history of changes was accepted"
        );
        let mut history = claim_history(seed);
        let held = history.iter_mut().find_map(|(_, action)| match action {
            Action::Response(ClaimOp::Claim { reply, .. })
                if *reply == Some(ClaimReply::HeldByOther) =>
            {
                Some(reply)
            }
            _ => None,
        });
        *held.expect("a claim is held by another request") = Some(ClaimReply::Granted);
        let history = History::from_actions(history);
        let holds = WGLChecker::<ClaimSpec>::is_linearizable(history);
        assert!(
            !holds,
            "seed {seed}: the altered history of claims was accepted"
        );
    }
}
