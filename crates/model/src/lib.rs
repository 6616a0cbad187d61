//! Building blocks for simulations in virtual time: an event queue and a simulated engine.
//!
//! The tests of the scheduler and the experiment that compares it with baselines must simulate the
//! same engine. Otherwise the bounds that the tests check would not apply to what the experiment
//! measures.

pub mod engine;
pub mod timeline;
