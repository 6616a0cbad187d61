//! The program `primrosed`, which runs one router daemon until it receives SIGTERM or SIGINT.

mod flags;

use miette::IntoDiagnostic;
use primrose_daemon::{logger, node, settings};
use slog::error;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> miette::Result<()> {
    let flags = flags::Primrosed::from_env_or_exit();
    let settings = settings::read(&flags.settings)?;
    if flags.check_settings {
        settings::read_key(&settings.fleet_key_file)?;
        println!("{} is valid", flags.settings.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(run(settings))
}

async fn run(settings: settings::Settings) -> miette::Result<()> {
    let log = logger::open(
        settings.log.format,
        settings.log.level,
        settings.host.as_str(),
    );
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let handle = match node::spawn(settings, log.clone()).await {
        Ok(handle) => handle,
        Err(error) => {
            error!(log, "cannot start"; "error" => %error);
            return Err(error.into());
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.drain().await;
    Ok(())
}
