//! Tests the guarantees of `docs/design.md`, section 2 (G3 to G8), on real daemons while faults occur.
//!
//! The daemons are processes, each with its own loopback address. Backend servers are simulated in the test process.
//! Every wait has a time limit, so a daemon that hangs fails its test. Seeds are fixed and printed. For a longer run,
//! set `PRIMROSE_TEST_ROUNDS` to a factor by which the number of operations grows (default 1), and
//! `PRIMROSE_TEST_SEED` to another seed.

mod claims;
mod configuration;
mod copies;
mod delivery;
mod forwarding;
mod harness;
mod heads;
mod network;
mod restart;
mod scripted;
mod stop;
mod strangers;
