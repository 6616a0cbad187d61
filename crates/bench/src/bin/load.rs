//! Program `load`: load generator and checker.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use miette::{IntoDiagnostic, Result, WrapErr};
use primrose_bench::load::report::Report;
use primrose_bench::load::settings::Settings;
use primrose_bench::load::{check, overhead, run};
use serde::Serialize;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Loads entry hosts or stand-ins and checks every answer.
        cmd load {
            /// Settings in YAML.
            required settings: PathBuf
            /// Replaces the seed of the settings.
            optional --seed seed: u64
            /// File for the JSON report; without it the report goes to the standard output, after the table.
            optional --report file: PathBuf

            /// Runs the accounts and compares the history with the execution logs.
            cmd run {
                /// File for the history, one JSON document per line.
                optional --history file: PathBuf
            }
            /// Measures the throughput of the stand-ins without routers.
            cmd saturate {}
            /// Measures what the way through an entry host costs.
            cmd overhead {
                /// Rounds of both ways (default 3).
                optional --rounds count: u32
            }
        }
    }
}

fn write(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} cannot be written", path.display()))
}

fn emit(report: &Option<PathBuf>, table: &str, value: &impl Serialize) -> Result<()> {
    let json = serde_json::to_string_pretty(value).into_diagnostic()?;
    println!("{table}");
    match report {
        Some(path) => write(path, &json),
        None => {
            println!("{json}");
            Ok(())
        }
    }
}

async fn perform(flags: flags::Load) -> Result<bool> {
    let text = std::fs::read_to_string(&flags.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} cannot be read", flags.settings.display()))?;
    let mut settings = Settings::parse(&text)?;
    settings.seed = flags.seed.unwrap_or(settings.seed);
    match flags.subcommand {
        flags::LoadCmd::Run(run) => {
            let report = run_and_check(&settings, run.history.as_deref()).await?;
            emit(&flags.report, &report.to_string(), &report)?;
            Ok(report.passes())
        }
        flags::LoadCmd::Saturate(_) => {
            let report = overhead::saturate(&settings).await?;
            let table = format!("{report}\nsaturation: {:.1}", report.weighted_per_s);
            emit(&flags.report, &table, &report)?;
            Ok(report.passes())
        }
        flags::LoadCmd::Overhead(options) => {
            let overhead = overhead::measure(&settings, options.rounds.unwrap_or(3)).await?;
            emit(&flags.report, &overhead.to_string(), &overhead)?;
            Ok(overhead.check.passes())
        }
    }
}

async fn run_and_check(settings: &Settings, history: Option<&Path>) -> Result<Report> {
    let record = run::run(settings).await?;
    let check = check::run(settings, &record.history).await;
    if let Some(path) = history {
        let lines: Result<Vec<String>> = record
            .history
            .iter()
            .map(|attempt| serde_json::to_string(attempt).into_diagnostic())
            .collect();
        write(path, &(lines?.join("\n") + "\n"))?;
    }
    Ok(Report::new(settings, &record, check))
}

#[tokio::main]
async fn main() -> ExitCode {
    match perform(flags::Load::from_env_or_exit()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(2)
        }
    }
}
