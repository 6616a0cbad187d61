//! Placeholder.

pub mod admission;
pub mod choice;
pub mod claim;
pub mod limit;
pub mod retry;
