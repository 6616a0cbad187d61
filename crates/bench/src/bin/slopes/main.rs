//! Measures how the bytes, messages, processor time and memory of the state machines grow with the size of the fleet,
//! for `docs/CAPACITY.md`.
//!
//! Everything runs in one process and one thread, and the fleets run in virtual time. Runs with the same seed give
//! the same bytes and messages; processor time and memory depend on the machine.

mod exchange;
mod members;
mod meter;
mod state;

/// Any error. The program prints it and exits.
type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    let flags = xflags::parse_or_exit! {
        /// Random seed (default 1).
        optional --seed number: u64
        /// Runs only this section: exchange, cells, ledger, members, state, log or claims.
        optional --section name: String
    };
    let seed = flags.seed.unwrap_or(1);
    println!("seed {seed}");
    let is_wanted = |name: &str| flags.section.as_deref().is_none_or(|only| only == name);
    // The memory of these three sections is measured before the other sections run. Memory that another section has
    // freed would be reused, and the resident memory would grow too little.
    if is_wanted("ledger") {
        exchange::measure_memory()?;
    }
    if is_wanted("state") {
        state::measure_state()?;
    }
    if is_wanted("claims") {
        state::measure_claims()?;
    }
    if is_wanted("log") {
        state::measure_log(seed)?;
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
