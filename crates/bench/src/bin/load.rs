//! Program `load`: generates load and checks every answer.

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
        /// Generates load for entry hosts or stand-ins and checks every answer.
        cmd load {
            /// File with the settings in YAML.
            required settings: PathBuf
            /// Seed that replaces the one in the settings.
            optional --seed seed: u64
            /// File for the JSON report; by default it is printed to the standard output, after the table.
            optional --report file: PathBuf

            /// Sends the calls of all accounts and compares the history with the execution logs.
            cmd run {
                /// File for the history, with one JSON document per attempt and line.
                optional --history file: PathBuf
            }
            /// Measures the throughput of the stand-ins without routers.
            cmd saturate {}
            /// Measures the overhead of the path through an entry host.
            cmd overhead {
                /// Number of rounds, each with one run per path (default 3).
                optional --rounds count: u32
            }
        }
    }
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} cannot be written", path.display()))
}

/// Prints the table and writes the JSON report to its file or to the standard output.
fn output_report(report: &Option<PathBuf>, table: &str, value: &impl Serialize) -> Result<()> {
    let json = serde_json::to_string_pretty(value).into_diagnostic()?;
    println!("{table}");
    match report {
        Some(path) => write_file(path, &json),
        None => {
            println!("{json}");
            Ok(())
        }
    }
}

/// Runs the subcommand and returns whether all its checks passed.
async fn run_command(flags: flags::Load) -> Result<bool> {
    let text = std::fs::read_to_string(&flags.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} cannot be read", flags.settings.display()))?;
    let mut settings = Settings::parse(&text)?;
    settings.seed = flags.seed.unwrap_or(settings.seed);
    match flags.subcommand {
        flags::LoadCmd::Run(run) => {
            let report = run_and_check(&settings, run.history.as_deref()).await?;
            output_report(&flags.report, &report.to_string(), &report)?;
            Ok(report.passes())
        }
        flags::LoadCmd::Saturate(_) => {
            let report = overhead::saturate(&settings).await?;
            let table = format!("{report}\nsaturation: {:.1}", report.weighted_per_s);
            output_report(&flags.report, &table, &report)?;
            Ok(report.passes())
        }
        flags::LoadCmd::Overhead(options) => {
            let overhead = overhead::measure(&settings, options.rounds.unwrap_or(3)).await?;
            output_report(&flags.report, &overhead.to_string(), &overhead)?;
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
        write_file(path, &(lines?.join("\n") + "\n"))?;
    }
    Ok(Report::new(settings, &record, check))
}

#[tokio::main]
async fn main() -> ExitCode {
    match run_command(flags::Load::from_env_or_exit()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(2)
        }
    }
}
