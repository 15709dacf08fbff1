//! Structured logging, as text on a terminal or as JSON lines.

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Capacity of the log queue, in lines; slog drops and counts lines beyond it.
const CHANNEL_LINES: usize = 4_096;

/// Log format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Minimum level of logged events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors that indicate a defect of the program.
    Error,
    /// Conditions that need an operator's attention.
    Warning,
    /// Infrequent state changes.
    #[default]
    Info,
    /// Individual decisions.
    Debug,
}

/// Log settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Log format.
    pub format: LogFormat,
    /// Minimum level of logged events.
    pub level: LogLevel,
}

/// Creates a logger that writes JSON lines to standard output or text to standard error.
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

/// Creates a logger that discards everything.
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
