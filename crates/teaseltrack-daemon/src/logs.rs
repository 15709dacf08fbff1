//! Structured logs: for people on a terminal, or one JSON object a line.

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Log lines that may wait for the writer; more are dropped and counted by slog.
const CHANNEL_LINES: usize = 4_096;

/// How logs are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults of the program.
    Error,
    /// What an operator should look at.
    Warning,
    /// What changes seldom.
    #[default]
    Info,
    /// Every decision.
    Debug,
}

/// Settings of the logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// How logs are written.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LogLevel,
}

/// A logger that writes JSON lines to standard output, or lines for people to standard error.
pub fn logger(settings: LogSettings, program: &'static str, instance: &str) -> Logger {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let fields = o!("program" => program, "instance" => instance.to_owned());
    match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            Logger::root(buffered(LevelFilter::new(drain, level)), fields)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).ignore_res();
            Logger::root(buffered(LevelFilter::new(drain, level)), fields)
        }
    }
}

/// A logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn buffered<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = Option<()>> + Send + 'static,
{
    slog_async::Async::new(drain.map(slog::IgnoreResult::new))
        .chan_size(CHANNEL_LINES)
        .build()
        .fuse()
}
