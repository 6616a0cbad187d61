//! Measures the replicated state: the state machine with the configuration and the claims, and the messages of the
//! replicated log.

use std::collections::VecDeque;
use std::hint::black_box;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Action, Change, KeyHash, spec};
use primrose_consensus::disk::Recovered;
use primrose_consensus::membership::{Id, Member, Membership};
use primrose_consensus::message::Message;
use primrose_consensus::node::{self, Node, Role};
use primrose_state::claim::{Attempt, Claim, Outcome, Settle};
use primrose_state::{Command, Machine};

use crate::Failure;
use crate::meter::{Traffic, processor_ns, resident_bytes, timed};

const DOMAINS: u32 = 11;
const MODELS: u32 = 6;
/// Changes whose duration is measured, for each number of accounts.
const CHANGES: u64 = 200;

fn name(prefix: &str, number: u32) -> Result<Name, Failure> {
    Ok(Name::new(&format!("{prefix}-{number:05}"))?)
}

fn put_account(number: u32, share: u32) -> Result<Action, Failure> {
    let key = KeyHash::of(&format!("key {number}"));
    let account = spec::Account::new(name("account", number)?, share).with_key(key);
    Ok(Action::PutAccount(account))
}

/// Applies one change and returns the processor time used, in ns.
fn apply_change(machine: &mut Machine, id: String, actions: Vec<Action>) -> Result<u64, Failure> {
    let base = machine.configuration().version;
    let id = Name::new(&id)?;
    let command = Command::Change(Change { id, base, actions });
    let mut used_ns = 0;
    timed(&mut used_ns, || machine.apply(&command));
    if machine.configuration().version != base + 1 {
        return Err(format!("the state machine refused a change of version {base}").into());
    }
    Ok(used_ns)
}

/// Creates a state with `accounts` accounts, and with hosts and servers in the proportion of the target size: 670
/// hosts and 2,300 servers per 21,000 accounts.
fn build_state(accounts: u32) -> Result<Machine, Failure> {
    let mut machine = Machine::default();
    let mut actions = Vec::new();
    for model in 0..MODELS {
        let pool = spec::Pool::model(name("pool", model)?, &format!("model-{model}"));
        actions.push(Action::PutPool(pool));
    }
    for server in 0..accounts * 2_300 / 21_000 {
        actions.push(Action::AddServer(spec::Server {
            name: name("server", server)?,
            pool: name("pool", server % MODELS)?,
            address: ([10, 1, (server / 250) as u8, (server % 250) as u8], 8_000).into(),
            domain: name("domain", server % DOMAINS)?,
            slots: 40,
            checks_fencing: server % 2 == 0,
        }));
    }
    for host in 0..accounts * 670 / 21_000 {
        actions.push(Action::AddHost(spec::Host {
            name: name("host", host)?,
            domain: name("domain", host % DOMAINS)?,
            peer: ([10, 2, (host / 250) as u8, (host % 250) as u8], 7_000).into(),
            voter: host < 9,
        }));
    }
    apply_change(&mut machine, "machines".to_owned(), actions)?;
    // The accounts are added by several changes, as the history keeps at most 4,096 actions.
    for start in (0..accounts).step_by(5_000) {
        let end = (start + 5_000).min(accounts);
        let actions: Result<Vec<_>, _> =
            (start..end).map(|number| put_account(number, 1)).collect();
        apply_change(&mut machine, format!("accounts-{start}"), actions?)?;
    }
    Ok(machine)
}

/// Prints the memory, the snapshot size, and the cost of a change and of the first update of an empty host, for
/// several numbers of accounts.
pub(crate) fn measure_state() -> Result<(), Failure> {
    println!("\n# state: accounts, with hosts and servers in proportion");
    // States are not dropped, so that the next one does not reuse their memory, which would distort the resident
    // memory measured for it.
    let mut kept = Vec::new();
    for accounts in [5_250, 10_500, 21_000] {
        let before = resident_bytes()?;
        let mut machine = build_state(accounts)?;
        let memory = resident_bytes()?.saturating_sub(before);

        let mut voter_ns = Vec::new();
        let mut follower_ns = Vec::new();
        let mut update_bytes = 0;
        let mut follower = machine.configuration().clone();
        for number in 0..CHANGES {
            let actions = vec![put_account(number as u32 * 20, 2)?];
            voter_ns.push(apply_change(
                &mut machine,
                format!("change-{number}"),
                actions,
            )?);
            let update = machine.update_since(follower.version);
            update_bytes = postcard::to_stdvec(&update)?.len();
            let start = processor_ns();
            let next = update.apply(&follower);
            let next =
                next.map_err(|_| "the update does not apply to the configuration of the follower")?;
            follower_ns.push(processor_ns() - start);
            follower = next.ok_or("the update contains no change")?;
        }
        let mut encode_ns = 0;
        let full_update = timed(&mut encode_ns, || {
            postcard::to_stdvec(&machine.update_since(0))
        })?;
        let mut decode_ns = 0;
        let _: primrose_state::Update =
            timed(&mut decode_ns, || postcard::from_bytes(&full_update))?;
        let (mut snapshot_ns, mut restore_ns) = (0, 0);
        let snapshot = timed(&mut snapshot_ns, || machine.snapshot());
        timed(&mut restore_ns, || Machine::restore(&snapshot))?;
        println!(
            "{accounts} accounts: {} KiB resident; snapshot {} bytes, written in {:.1} ms, restored in {:.1} ms; one \
             change: {:.2} ms at a voter, {:.2} ms and {update_bytes} bytes at a follower; empty host: {} bytes, \
             encoded in {:.1} ms, decoded in {:.1} ms",
            memory >> 10,
            snapshot.len(),
            ms(snapshot_ns),
            ms(restore_ns),
            ms(median(voter_ns)),
            ms(median(follower_ns)),
            full_update.len(),
            ms(encode_ns),
            ms(decode_ns),
        );
        kept.push((machine, follower));
    }
    black_box(&kept);
    Ok(())
}

fn ms(ns: u64) -> f64 {
    ns as f64 / 1e6
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values[values.len() / 2]
}

/// Prints the memory, the encoded size and the processor time per claim.
pub(crate) fn measure_claims() -> Result<(), Failure> {
    println!("\n# claims");
    // As in `measure_state`, memory must not be reused.
    let mut kept = Vec::new();
    for count in [100_000, 200_000, 400_000] {
        let mut machine = Machine::default();
        let before = resident_bytes()?;
        let start = processor_ns();
        for request in 0..count {
            machine.apply(&Command::Claim(claim(request)));
        }
        let claimed = processor_ns();
        for request in 0..count {
            let Claim {
                account,
                key,
                attempt,
                ..
            } = claim(request);
            let outcome = Outcome::Complete;
            machine.apply(&Command::Settle(Settle {
                account,
                key,
                attempt,
                outcome,
            }));
        }
        let settled = processor_ns();
        if machine.claim_count() as u64 != count {
            let held = machine.claim_count();
            return Err(format!("the state machine holds {held} of {count} claims").into());
        }
        let memory = resident_bytes()?.saturating_sub(before);
        let encoded = postcard::to_stdvec(&Command::Claim(claim(count)))?.len();
        println!(
            "{count} claims: {} bytes resident each, {:.1} us to claim, {:.1} us to settle, {encoded} bytes of command",
            memory / count,
            (claimed - start) as f64 / 1e3 / count as f64,
            (settled - claimed) as f64 / 1e3 / count as f64,
        );
        kept.push(machine);
    }
    black_box(&kept);
    Ok(())
}

fn claim(request: u64) -> Claim {
    Claim {
        account: id::Account(request as u32 % 21_000),
        key: format!("0123456789abcdef0123456789{request:010}"),
        digest: [1; 32],
        attempt: Attempt {
            host: id::Host(request as u32 % 670),
            incarnation: 1_700_000_000_000,
            request,
        },
        proposed_ms: request,
    }
}

const TICK_MS: u64 = 20;
/// One-way network delay.
const DELAY_MS: u64 = 2;
/// Duration of a measurement.
const MEASUREMENT_MS: u64 = 10_000;
/// Entries that are proposed during a measurement with load.
const ENTRIES: u64 = 50;
const ENTRY_BYTES: usize = 200;

/// Returns the default options with another heartbeat interval, and with the election timeouts in the same proportion
/// to it as by default.
fn options(heartbeat_ms: u64) -> node::Options {
    let options = node::Options::default();
    node::Options {
        heartbeat_ms,
        election_min_ms: options.election_min_ms * heartbeat_ms / options.heartbeat_ms,
        election_max_ms: options.election_max_ms * heartbeat_ms / options.heartbeat_ms,
        ..options
    }
}

/// Nodes that replicate a log in virtual time, without disks.
struct Voters {
    nodes: Vec<Node>,
    /// Messages in transit, each with its time of delivery.
    messages: VecDeque<(u64, Message)>,
    now_ms: u64,
    /// Messages sent since the start of the measurement, by node.
    sent: Vec<Traffic>,
    /// Processor time used since the start of the measurement, by node.
    used_ns: Vec<u64>,
}

impl Voters {
    fn new(count: u64, heartbeat_ms: u64, seed: u64) -> Result<Voters, Failure> {
        let mut nodes = Vec::new();
        let mut members = Vec::new();
        for number in 1..=count {
            let (id, host, voter) = (Id(number), Name::new("host")?, true);
            members.push(Member { id, host, voter });
            let recovered = Recovered {
                id,
                hard: Default::default(),
                snapshot: None,
                entries: Vec::new(),
            };
            let options = options(heartbeat_ms);
            nodes.push(Node::new(
                recovered,
                options,
                Time::ZERO,
                seed * count + number,
            ));
        }
        nodes[0].bootstrap(Time::ZERO, Membership::new(members))?;
        let sent = vec![Traffic::default(); nodes.len()];
        let used_ns = vec![0; nodes.len()];
        let messages = VecDeque::new();
        Ok(Voters {
            nodes,
            messages,
            now_ms: 0,
            sent,
            used_ns,
        })
    }

    /// Advances the time by 1 ms. The nodes tick at different times within `TICK_MS`.
    fn step(&mut self) -> Result<(), Failure> {
        self.now_ms += 1;
        let now = Time::from_ms(self.now_ms);
        while self.messages.front().is_some_and(|m| m.0 <= self.now_ms) {
            let Some((_, message)) = self.messages.pop_front() else {
                break;
            };
            let to = message.to.0 as usize - 1;
            timed(&mut self.used_ns[to], || self.nodes[to].step(now, message));
        }
        for (at, node) in self.nodes.iter_mut().enumerate() {
            if (self.now_ms + 7 * node.id().0).is_multiple_of(TICK_MS) {
                timed(&mut self.used_ns[at], || node.tick(now));
            }
            while let Some(ready) = node.ready() {
                node.persisted();
                for message in ready.messages {
                    self.sent[at].add(postcard::to_stdvec(&message)?.len());
                    self.messages.push_back((self.now_ms + DELAY_MS, message));
                }
            }
        }
        Ok(())
    }

    fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|n| n.role() == Role::Leader)
    }

    /// Runs for [`MEASUREMENT_MS`] with `proposals` proposals at equal intervals. Returns the messages that the
    /// leader sent, the messages that one follower sent, and the processor time of the leader in ns.
    fn run(&mut self, proposals: u64) -> Result<(Traffic, Traffic, u64), Failure> {
        self.sent.fill(Traffic::default());
        self.used_ns.fill(0);
        for step in 0..MEASUREMENT_MS {
            if proposals > 0 && step % (MEASUREMENT_MS / proposals) == 0 {
                let leader = self.leader().ok_or("no leader")?;
                self.nodes[leader].propose(Time::from_ms(self.now_ms), vec![7; ENTRY_BYTES])?;
            }
            self.step()?;
        }
        let leader = self.leader().ok_or("no leader")?;
        let follower = (leader + 1) % self.nodes.len();
        Ok((self.sent[leader], self.sent[follower], self.used_ns[leader]))
    }
}

/// Prints the messages of an idle log and those per entry, for several numbers of voters.
pub(crate) fn measure_log(seed: u64) -> Result<(), Failure> {
    println!("\n# log: messages of the leader and of one other voter, with headers");
    let counts = [3, 5, 7, 9];
    for (count, heartbeat_ms) in [100, 200].iter().flat_map(|ms| counts.map(|n| (n, *ms))) {
        let mut voters = Voters::new(count, heartbeat_ms, seed)?;
        while voters.now_ms < 5_000 || voters.leader().is_none() {
            voters.step()?;
        }
        let (idle_leader, idle_follower, used_ns) = voters.run(0)?;
        let (busy_leader, busy_follower, _) = voters.run(ENTRIES)?;
        let per_s = |traffic: Traffic| {
            (
                traffic.messages as f64 * 1e3 / MEASUREMENT_MS as f64,
                traffic.bytes as f64 * 1e3 / MEASUREMENT_MS as f64,
            )
        };
        let (messages, bytes) = per_s(idle_leader);
        let (follower_messages, follower_bytes) = per_s(idle_follower);
        let per_entry = |busy: Traffic, idle: Traffic| {
            let entries = ENTRIES as f64;
            let messages = (busy.messages as f64 - idle.messages as f64) / entries;
            (messages, (busy.bytes as f64 - idle.bytes as f64) / entries)
        };
        let leader = per_entry(busy_leader, idle_leader);
        let follower = per_entry(busy_follower, idle_follower);
        println!(
            "{count} voters, heartbeat {heartbeat_ms} ms: idle leader {messages:.1} messages/s, {bytes:.0} bytes/s, {:.0} us/s; idle follower \
             {follower_messages:.1} messages/s, {follower_bytes:.0} bytes/s; one entry of {ENTRY_BYTES} bytes: leader {:.1} \
             messages, {:.0} bytes, follower {:.1} messages, {:.0} bytes",
            used_ns as f64 / MEASUREMENT_MS as f64,
            leader.0,
            leader.1,
            follower.0,
            follower.1,
        );
    }
    Ok(())
}
