//! What a process tells about itself: a structured log on standard output, counters and latency histograms.

pub mod lines;
pub mod meter;

pub use meter::Meter;
