//! Structured logging: one line per event with time, level, component and key=value fields.
//!
//! A component uses its name as the `log` target, for example
//! `log::warn!(target: "peer", "link closed peer={vm} error={error}")`.

use crate::rate_limited::{LogRateLimit, RateLimitedWriter};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Starts logging to standard error; an unknown `level` counts as `info`.
///
/// # Errors
///
/// Returns an error if a logger is already set.
pub fn try_init_to_stderr(level: &str) -> Result<(), log::SetLoggerError> {
    // Not `SimpleLogger`: it writes all levels but errors to standard output, where programs print
    // their listeners.
    init(level, std::io::stderr())
}

/// Starts logging to standard output, with the default rate limit and without ever blocking.
///
/// # Errors
///
/// Returns an error if a logger is already set.
pub fn try_init_to_stdout(level: &str) -> Result<(), log::SetLoggerError> {
    init(level, RateLimitedWriter::new(std::io::stdout(), LogRateLimit::default()))
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
