//! What tests and experiments in virtual time share: a queue of events and the fake engine.
//!
//! The tests of the scheduler and the experiment that compares it with baselines have to mean the same engine, or the bounds
//! that the one proves say nothing about what the other one measures.

pub mod engine;
pub mod timeline;
