//! Program `primrose-stand-in`: runs one stand-in model engine or plain service until SIGTERM.

use std::net::SocketAddr;
use std::process::ExitCode;

use primrose_engine::{Faults, Kind, Settings};
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-in backend server with an execution log.
        cmd stand-in {
            /// Address for requests (default 127.0.0.1:0, for which the kernel chooses the port).
            optional --address address: SocketAddr
            /// Control address, which never refuses a connection (default 127.0.0.1:0).
            optional --control address: SocketAddr
            /// Seed for faults, lost cache events and the output lengths of requests that set none.
            optional --seed seed: u64
            /// Fault probabilities as JSON, for example '{"cut":0.01,"swap":0.01}'.
            optional --faults json: String
            /// Settings as JSON; the other options take precedence.
            optional --settings json: String

            /// Runs a model engine.
            cmd model {
                /// Number of sequences that run at once.
                optional --slots count: usize
                /// Duration of a step without sequences and prompt tokens, in ms.
                optional --step-ms ms: f64
                /// Time that each running sequence adds to a step, in ms.
                optional --sequence-ms ms: f64
                /// Time to process 1,000 uncached prompt tokens, in ms.
                optional --prefill-ms ms: f64
                /// Number of output tokens that each sequence produces in one step.
                optional --tokens-per-step count: u32
                /// Accepts an order even if its fencing number is below the highest one received so far.
                optional --ignore-fencing
            }
            /// Runs a plain service.
            cmd plain {
                /// Service time of a call, in ms.
                optional --service-ms ms: u64
            }
        }
    }
}

fn settings(flags: flags::StandIn) -> Result<Settings, serde_json::Error> {
    let mut settings = match &flags.settings {
        Some(json) => serde_json::from_str(json)?,
        None => Settings::default(),
    };
    if let Some(json) = &flags.faults {
        settings.faults = serde_json::from_str::<Faults>(json)?;
    }
    set_if_given(&mut settings.address, flags.address);
    set_if_given(&mut settings.control, flags.control);
    set_if_given(&mut settings.seed, flags.seed);
    match flags.subcommand {
        flags::StandInCmd::Model(model) => {
            settings.kind = Kind::Model;
            set_if_given(&mut settings.slots, model.slots);
            set_if_given(&mut settings.step_base_ms, model.step_ms);
            set_if_given(&mut settings.step_sequence_ms, model.sequence_ms);
            set_if_given(&mut settings.prefill_ms, model.prefill_ms);
            set_if_given(&mut settings.tokens_per_step, model.tokens_per_step);
            settings.check_fencing &= !model.ignore_fencing;
        }
        flags::StandInCmd::Plain(plain) => {
            settings.kind = Kind::Plain;
            set_if_given(&mut settings.service_ms, plain.service_ms);
        }
    }
    Ok(settings)
}

/// Sets `field` if the option was given.
fn set_if_given<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

async fn run(settings: Settings) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let handle = primrose_engine::bind(settings).await?;
    let (address, control): (SocketAddr, SocketAddr) = (handle.address, handle.control);
    println!("address={address} control={control}");
    terminate.recv().await;
    handle.stop().await;
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match settings(flags::StandIn::from_env_or_exit()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("the settings are not valid: {error}");
            return ExitCode::from(2);
        }
    };
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the stand-in cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}
