//! `primrose`, the command-line tool for operators of a fleet.

mod commands;
mod failure;
mod flags;
mod settings;
mod shell;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Primrose::from_env_or_exit();
    let json = flags.json;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(commands::run(flags)),
        Err(cause) => Err(failure::Failure::other(format!(
            "the asynchronous runtime cannot be started: {cause}"
        ))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.print(json),
    }
}
