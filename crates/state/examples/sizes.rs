//! Prints the memory of a state machine for a fleet of the target size, the encoded size of its state, and the
//! duration of its operations.
//!
//! Run with `cargo run --release --example sizes -p primrose-state`.

use std::time::Instant;

use primrose_base::name::Name;
use primrose_config::{Action, Change, KeyHash, spec, text};
use primrose_state::claim::{Attempt, Claim};
use primrose_state::{Command, Machine};

const ACCOUNTS: u32 = 21_000;
const HOSTS: u32 = 670;
const SERVERS: u32 = 2_300;
const MODELS: u32 = 6;
/// Changes whose duration is measured.
const CHANGES: u64 = 500;
const CLAIMS: u64 = 400_000;

type Failure = Box<dyn std::error::Error>;

/// Returns the resident memory of this process in KiB, from `/proc/self/status`.
fn resident_kib() -> Result<u64, Failure> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.ok_or("no VmRSS in /proc/self/status")?.parse()?)
}

fn name(prefix: &str, number: u32) -> Result<Name, Failure> {
    Ok(Name::new(&format!("{prefix}-{number:05}"))?)
}

fn put_account(number: u32, share: u32) -> Result<Action, Failure> {
    let key = KeyHash::of(&format!("key {number}"));
    let account = spec::Account::new(name("account", number)?, share).with_key(key);
    Ok(Action::PutAccount(account))
}

/// Returns the actions that add all pools, servers and hosts.
fn servers_and_hosts() -> Result<Vec<Action>, Failure> {
    let mut actions = Vec::new();
    for model in 0..MODELS {
        let pool = spec::Pool::model(name("pool", model)?, &format!("model-{model}"));
        actions.push(Action::PutPool(pool));
    }
    for server in 0..SERVERS {
        actions.push(Action::AddServer(spec::Server {
            name: name("server", server)?,
            pool: name("pool", server % MODELS)?,
            address: ([10, 1, (server / 250) as u8, (server % 250) as u8], 8_000).into(),
            domain: name("domain", server % 11)?,
            slots: 32,
            checks_fencing: server % 2 == 0,
        }));
    }
    for host in 0..HOSTS {
        actions.push(Action::AddHost(spec::Host {
            name: name("host", host)?,
            domain: name("domain", host % 11)?,
            peer: ([10, 2, (host / 250) as u8, (host % 250) as u8], 7_000).into(),
            voter: host < 9,
        }));
    }
    Ok(actions)
}

/// Applies one change, which the state machine must accept.
fn apply_change(machine: &mut Machine, id: String, actions: Vec<Action>) -> Result<(), Failure> {
    let base = machine.configuration().version;
    let id = Name::new(&id)?;
    let change = Change { id, base, actions };
    machine.apply(&Command::Change(change));
    if machine.configuration().version == base + 1 {
        return Ok(());
    }
    Err(format!("the state machine refused a change of version {base}").into())
}

fn main() -> Result<(), Failure> {
    let mut machine = Machine::default();
    apply_change(&mut machine, "machines".to_owned(), servers_and_hosts()?)?;
    let before = resident_kib()?;
    // The accounts are added by several changes, so that the history does not keep a second copy of all accounts.
    for start in (0..ACCOUNTS).step_by(5_000) {
        let end = (start + 5_000).min(ACCOUNTS);
        let actions: Result<Vec<_>, _> =
            (start..end).map(|number| put_account(number, 1)).collect();
        apply_change(&mut machine, format!("accounts-{start}"), actions?)?;
    }
    let used = resident_kib()?.saturating_sub(before);
    println!(
        "memory for {ACCOUNTS} accounts: {used} KiB, {} KiB per 1,000",
        used * 1_000 / u64::from(ACCOUNTS)
    );

    let configuration = machine.configuration().clone();
    let printed = text::print_configuration(&configuration);
    println!("configuration as YAML: {} bytes", printed.len());
    let start = Instant::now();
    let read = text::read_configuration("printed", &printed).map_err(|error| error.message)?;
    println!("reading it: {} ms", start.elapsed().as_millis());
    assert_eq!(read, configuration);

    let mut durations = Vec::new();
    for number in 0..CHANGES {
        let action = put_account(number as u32 * 40, 2)?;
        let start = Instant::now();
        apply_change(&mut machine, format!("change-{number}"), vec![action])?;
        durations.push(start.elapsed().as_micros());
    }
    durations.sort_unstable();
    println!(
        "one account changed: median {} us, longest of {CHANGES} {} us",
        durations[durations.len() / 2],
        durations[durations.len() - 1]
    );
    let start = Instant::now();
    let key = KeyHash::of("key 20999");
    for _ in 0..1_000_000 {
        std::hint::black_box(std::hint::black_box(&configuration).account_by_key(&key));
    }
    println!(
        "account by key: {} ns",
        start.elapsed().as_nanos() / 1_000_000
    );

    let start = Instant::now();
    let snapshot = machine.snapshot();
    println!(
        "snapshot: {} bytes in {} ms",
        snapshot.len(),
        start.elapsed().as_millis()
    );
    let start = Instant::now();
    Machine::restore(&snapshot)?;
    println!("restoring it: {} ms", start.elapsed().as_millis());

    measure_claims(&mut machine)
}

/// Adds claims of ten accounts, up to the limit of each account, and prints the memory and the time.
fn measure_claims(machine: &mut Machine) -> Result<(), Failure> {
    let before = resident_kib()?;
    let start = Instant::now();
    for number in 0..CLAIMS {
        machine.apply(&Command::Claim(Claim {
            account: primrose_base::id::Account(number as u32 % 10),
            key: format!("key {number}"),
            digest: [1; 32],
            attempt: Attempt {
                host: primrose_base::id::Host(1),
                incarnation: 1,
                request: number,
            },
            proposed_ms: number,
        }));
    }
    let elapsed = start.elapsed().as_micros();
    let used = resident_kib()?.saturating_sub(before);
    println!(
        "{} claims: {used} KiB, {} us for one on average",
        machine.claim_count(),
        elapsed / u128::from(CLAIMS)
    );
    Ok(())
}
