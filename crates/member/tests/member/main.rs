//! Tests of membership and ownership with a simulated fleet in virtual time.

mod detector;
mod fault;
mod fleet;
mod ownership;
