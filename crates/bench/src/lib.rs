//! Tools that measure the performance of a fleet of request routers and check its guarantees. They are not shipped.

pub mod load;
pub mod relay;
