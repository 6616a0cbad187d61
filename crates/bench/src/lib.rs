//! Tools that measure the fleet and check its guarantees. They are not shipped.

pub mod load;
pub mod relay;
