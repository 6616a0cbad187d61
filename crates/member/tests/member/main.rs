//! Tests of membership and ownership on a fleet in one process and in virtual time.

mod detector;
mod fault;
mod fleet;
mod ownership;
