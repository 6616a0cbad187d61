//! The operators' command-line tool.

mod commands;
mod end;
mod flags;
mod settings;
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
        Err(cause) => Err(end::End::failed(format!(
            "the runtime cannot start: {cause}"
        ))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(end) => end.report(json),
    }
}
