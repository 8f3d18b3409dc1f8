//! Structured logs: one line an event with time, level, component and key=value fields.
//!
//! A component logs with its name as the `log` target, for example
//! `log::warn!(target: "peer", "link closed peer={vm} error={error}")`.

use crate::bounded::{BoundedWriter, LogBudget};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Starts logging to standard error.
///
/// # Errors
///
/// Returns an error if a logger has been set before.
pub fn try_init(level: &str) -> Result<(), log::SetLoggerError> {
    // `SimpleLogger` writes all but errors to standard output, where programs print their listeners.
    init(level, std::io::stderr())
}

/// Starts logging to standard output, within the default budget and without ever blocking.
///
/// # Errors
///
/// Returns an error if a logger has been set before.
pub fn try_init_stdout(level: &str) -> Result<(), log::SetLoggerError> {
    init(level, BoundedWriter::new(std::io::stdout(), LogBudget::default()))
}

fn init(
    level: &str,
    output: impl std::io::Write + Send + 'static,
) -> Result<(), log::SetLoggerError> {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    WriteLogger::init(level, config, output)
}
