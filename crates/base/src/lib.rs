//! What every other crate uses: time, names, ids, verdicts, and the decisions of a planned stop, which both routers take.
//!
//! They are a crate of their own, so that the crates with the decision logic do not depend on a crate that performs
//! input or output.

pub mod clock;
pub mod id;
pub mod name;
pub mod stop;
pub mod verdict;
