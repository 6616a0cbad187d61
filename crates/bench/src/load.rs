//! Load generator that verifies every answer and compares the history of a run with the execution logs.
//!
//! It takes the place of the callers and the load balancer. Measurements are made at the caller. Whether a request
//! was executed is read from the logs of the stand-ins, because the routers are the system under test and their own
//! statements prove nothing. `settings/load.yaml` is an example of the settings.

pub mod check;
pub mod client;
pub mod fairness;
pub mod history;
pub mod overhead;
pub mod report;
pub mod run;
pub mod settings;
pub mod workload;
