//! The log. It contains changes of state and failures; frequent events are only counted (see [`crate::counters`]).

use serde::Deserialize;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// The format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Text for reading in a terminal.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// The lowest level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Threshold {
    /// Failures that an operator must handle.
    Error,
    /// Conditions that an operator may have to handle.
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

/// Opens a log on standard error whose lines contain the name `host`. A separate thread writes the lines. If lines
/// arrive faster than the thread can write them, some are dropped and their number is logged.
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
