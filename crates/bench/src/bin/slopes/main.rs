//! Measures how bytes, messages, processor time and memory of the state machines grow, for `docs/CAPACITY.md`.
//!
//! Everything runs in one process and one thread, and the fleets run in virtual time. Bytes and messages are the same
//! in every run with the same seed; processor time and memory depend on the machine.

mod exchange;
mod log;
mod members;
mod meter;

/// Any error; the program only prints it and ends.
type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    let flags = xflags::parse_or_exit! {
        /// Seed of all random choices (default 1).
        optional --seed number: u64
        /// Only this section: exchange, cells, ledger, members, state, log or claims.
        optional --section name: String
    };
    let seed = flags.seed.unwrap_or(1);
    println!("seed {seed}");
    let is_wanted = |name: &str| flags.section.as_deref().is_none_or(|only| only == name);
    // Memory first: what a later section frees must not hide what these use.
    if is_wanted("ledger") {
        exchange::measure_memory()?;
    }
    if is_wanted("state") {
        log::measure_state()?;
    }
    if is_wanted("claims") {
        log::measure_claims()?;
    }
    if is_wanted("log") {
        log::measure_messages(seed)?;
    }
    if is_wanted("members") {
        members::measure(seed)?;
    }
    if is_wanted("exchange") {
        exchange::measure(seed)?;
    }
    if is_wanted("cells") {
        exchange::measure_cells(seed)?;
    }
    Ok(())
}
