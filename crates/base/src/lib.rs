//! Types that every other crate uses: time, names, ids and verdicts.
//!
//! They live apart from the rest so that the decision crates depend on nothing that does input or output.

pub mod clock;
pub mod id;
pub mod name;
pub mod verdict;
