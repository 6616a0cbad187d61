//! The guarantees of `docs/design.md`, section 2, on real daemons under failure.
//!
//! The daemons are processes on loopback addresses of their own; backend servers are stand-ins in the test process. Every
//! wait has an upper limit, so a daemon that hangs fails its test. Seeds are fixed and printed. For a longer run set
//! `PRIMROSE_TEST_ROUNDS` to a factor by which the histories grow (1 by default), and `PRIMROSE_TEST_SEED` to another
//! seed.

mod claims;
mod configuration;
mod delivery;
mod harness;
mod network;
mod restart;
mod strangers;
