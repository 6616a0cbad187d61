//! Load generator that verifies every answer and compares the history of a run with the execution logs.
//!
//! It stands for the callers and the load balancer. The figures are those that callers see; whether a request ran is
//! taken from the stand-ins, because a router cannot be its own witness. `settings/load.yaml` is an example.

pub mod check;
pub mod client;
pub mod fairness;
pub mod history;
pub mod overhead;
pub mod report;
pub mod run;
pub mod settings;
pub mod workload;
