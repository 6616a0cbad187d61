//! Observability of a process: a structured log on standard output, counters and latency histograms.

pub mod log;
pub mod meter;

pub use meter::Meter;
