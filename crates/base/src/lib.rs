//! Types that every other crate uses: time, names, ids and verdicts.
//!
//! They are a crate of their own, so that the crates with the decision logic do not depend on a crate that performs
//! input or output.

pub mod clock;
pub mod id;
pub mod name;
pub mod verdict;
