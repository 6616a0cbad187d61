//! Stand-in model engine and plain service for tests and experiments.
//!
//! It replaces the real backend servers behind the same published protocol, and keeps an execution log, so that a
//! client can compare what it was told with what ran. It is not shipped.

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

/// Which service the stand-in offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine with continuous batching.
    #[default]
    Model,
    /// A plain service that answers every method and path.
    Plain,
}

/// Settings of one stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Model engine or plain service.
    pub kind: Kind,
    /// Address for requests; the kernel chooses the port if it is 0.
    pub address: SocketAddr,
    /// Address on which `Faults::refuse` has no effect; serves the same paths.
    pub control: SocketAddr,
    /// Seed of faults, of lost cache events and of output lengths that a request leaves open.
    pub seed: u64,
    /// Sequences that run at once; more of them wait in order of arrival.
    pub slots: usize,
    /// Shortest time of one step, in ms.
    pub step_base_ms: f64,
    /// Time that each running sequence adds to a step, in ms.
    pub step_sequence_ms: f64,
    /// Time that 1,000 uncached prompt tokens add to the step that reads them, in ms.
    pub prefill_ms: f64,
    /// Prompt tokens that one step reads at most.
    pub prefill_chunk: u32,
    /// Output tokens that a sequence gets in one step; they are sent as one event.
    pub tokens_per_step: u32,
    /// Prefixes of 1 KiB steps that the prefix cache holds.
    pub cache_prefixes: usize,
    /// Age at which a cache event becomes visible, in ms.
    pub cache_event_lag_ms: u64,
    /// Probability that a cache event is never published.
    pub cache_event_loss: f64,
    /// Age of the figures that `GET /load` reports, in ms.
    pub load_lag_ms: u64,
    /// Time that an order takes to complete, in ms.
    pub order_ms: u64,
    /// Whether orders with a fencing number below the highest one seen are refused.
    pub check_fencing: bool,
    /// Service time of a call to the plain service, in ms.
    pub service_ms: u64,
    /// Faults at the start; `POST /faults` changes them.
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

/// Probabilities of the faults, each drawn once per request (`refuse`: once per connection) in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The answer ends early: aborted, or a stream that ends without `[DONE]`.
    pub cut: f64,
    /// The answer carries the id and the text of the request that arrived before.
    pub swap: f64,
    /// The answer pauses for `stall_ms`.
    pub stall: f64,
    /// Length of a pause, in ms.
    pub stall_ms: u64,
    /// The connection is closed as soon as it is accepted.
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

/// A running stand-in. Dropping it ends it at once and breaks its connections.
#[derive(Debug)]
pub struct Handle {
    /// Address for requests.
    pub address: SocketAddr,
    /// Address that never refuses a connection.
    pub control: SocketAddr,
    service: Arc<http::Service>,
    tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// The execution log so far.
    pub fn log(&self) -> record::Log {
        self.service.log()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }

    /// Breaks all connections for requests. With `Faults::refuse` at 1 this is a crash whose log survives.
    pub fn disconnect(&self) {
        self.service.disconnect();
    }

    /// Ends the stand-in, breaks its connections and waits until its addresses are free.
    pub async fn stop(mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for task in self.tasks.drain(..) {
            // The only error is the cancellation requested above.
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
/// Returns the error of the system if an address cannot be bound.
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
