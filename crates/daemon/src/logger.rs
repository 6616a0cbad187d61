//! The log: lines for changes of state; counters tell the rest.

use serde::Deserialize;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// For a person at a terminal.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// The least important lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Threshold {
    /// Failures that need a person.
    Error,
    /// Conditions that may need a person.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl Threshold {
    fn level(self) -> Level {
        match self {
            Threshold::Error => Level::Error,
            Threshold::Warning => Level::Warning,
            Threshold::Info => Level::Info,
            Threshold::Debug => Level::Debug,
        }
    }
}

/// Opens a log on standard error. The lines are written by a thread of their own; lines that come faster than it writes
/// are dropped and their number is logged.
pub fn open(format: Format, threshold: Threshold, host: &str) -> Logger {
    let drain = match format {
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build()
                .fuse();
            slog_async::Async::new(drain).build()
        }
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            slog_async::Async::new(drain).build()
        }
    };
    let filtered = LevelFilter::new(drain.fuse(), threshold.level()).fuse();
    Logger::root(filtered, o!("host" => host.to_owned()))
}
