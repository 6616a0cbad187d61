//! Stand-in model engine and plain service for tests and experiments.
//!
//! The stand-in speaks the published protocol of the real backend servers. It keeps an execution log, so that a
//! client can compare the answers it received with what was executed. It is not shipped.

pub mod answer;
pub mod batch;
mod http;
pub mod record;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Kind of backend server that a stand-in replaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine with continuous batching.
    #[default]
    Model,
    /// A service without models that answers every method and path.
    Plain,
}

/// Settings of one stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Kind of backend server that the stand-in replaces.
    pub kind: Kind,
    /// Address for requests; if the port is 0, the kernel chooses one.
    pub address: SocketAddr,
    /// Control address. It serves the same paths; [`Faults::refuse`] and [`Handle::disconnect`] have no effect on it.
    pub control: SocketAddr,
    /// Seed for faults, lost cache events and the output lengths of requests that set none.
    pub seed: u64,
    /// Number of sequences that run at once; further sequences wait in order of arrival.
    pub slots: usize,
    /// Duration of a step without sequences and prompt tokens, in ms.
    pub step_base_ms: f64,
    /// Time that each running sequence adds to a step, in ms.
    pub step_sequence_ms: f64,
    /// Time that 1,000 uncached prompt tokens add to the step that processes them, in ms.
    pub prefill_ms: f64,
    /// Maximum number of prompt tokens that one step processes.
    pub prefill_chunk: u32,
    /// Number of output tokens that each sequence produces in one step; they are sent as one event.
    pub tokens_per_step: u32,
    /// Capacity of the prefix cache, in prefixes; see [`batch::PREFIX_BYTES`].
    pub cache_prefixes: usize,
    /// Delay before a cache event is published, in ms.
    pub cache_event_lag_ms: u64,
    /// Probability that a cache event is never published.
    pub cache_event_loss: f64,
    /// Age of the load that `GET /load` reports, in ms.
    pub load_lag_ms: u64,
    /// Time to complete an order, in ms.
    pub order_ms: u64,
    /// Whether an order is refused if its fencing number is below the highest one received so far.
    pub check_fencing: bool,
    /// Service time of a call to the plain service, in ms.
    pub service_ms: u64,
    /// Faults injected from the start; `POST /faults` changes them.
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Settings {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            kind: Kind::Model,
            address: loopback,
            control: loopback,
            seed: 1,
            slots: 32,
            step_base_ms: 10.0,
            step_sequence_ms: 0.2,
            prefill_ms: 40.0,
            prefill_chunk: 2_048,
            tokens_per_step: 1,
            cache_prefixes: 2_048,
            cache_event_lag_ms: 200,
            cache_event_loss: 0.02,
            load_lag_ms: 500,
            order_ms: 50,
            check_fencing: true,
            service_ms: 5,
            faults: Faults::default(),
        }
    }
}

/// Probabilities of injected faults.
///
/// Each fault is drawn once per request, in order of arrival; `refuse` is drawn once per connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Probability that the answer ends early: its connection is aborted, or its stream ends without `[DONE]`.
    pub cut: f64,
    /// Probability that the answer carries the request id and the text of the previous request.
    pub swap: f64,
    /// Probability that the answer pauses for `stall_ms`.
    pub stall: f64,
    /// Duration of a pause, in ms.
    pub stall_ms: u64,
    /// Probability that a connection is closed as soon as it is accepted.
    pub refuse: f64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            cut: 0.0,
            swap: 0.0,
            stall: 0.0,
            stall_ms: 5_000,
            refuse: 0.0,
        }
    }
}

/// A running stand-in. Dropping the handle stops the stand-in and closes its connections.
#[derive(Debug)]
pub struct Handle {
    /// Bound address for requests.
    pub address: SocketAddr,
    /// Bound control address, on which connections are never refused.
    pub control: SocketAddr,
    service: Arc<http::Service>,
    tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Returns a copy of the execution log.
    pub fn log(&self) -> record::Log {
        self.service.log()
    }

    /// Replaces all fault probabilities, with effect from the next request or connection.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }

    /// Closes all connections on the request address.
    ///
    /// With [`Faults::refuse`] at 1, this simulates a crash after which the execution log is still readable.
    pub fn disconnect(&self) {
        self.service.disconnect();
    }

    /// Stops the stand-in, closes its connections and waits until its addresses are free.
    pub async fn stop(mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for task in self.tasks.drain(..) {
            // The result is an error only because the task was aborted above.
            let _ = task.await;
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Binds the addresses and starts the stand-in.
///
/// # Errors
///
/// Returns the error of the operating system if an address cannot be bound.
pub async fn bind(settings: Settings) -> io::Result<Handle> {
    let requests = TcpListener::bind(settings.address).await?;
    let control = TcpListener::bind(settings.control).await?;
    let (engine, steps) = batch::spawn(&settings);
    let mut handle = Handle {
        address: requests.local_addr()?,
        control: control.local_addr()?,
        service: Arc::new(http::Service::new(settings, engine)),
        tasks: vec![steps],
    };
    for (listener, can_refuse) in [(requests, true), (control, false)] {
        let service = Arc::clone(&handle.service);
        let task = tokio::spawn(http::accept(listener, service, can_refuse));
        handle.tasks.push(task);
    }
    Ok(handle)
}
