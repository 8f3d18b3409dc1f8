//! Startup of a daemon: command line, settings, logging, runtime and listeners.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::{OptionParser, Parser, construct, long};
use deck_conf::ConfError;
use monoio::net::TcpListener;
use nix::sys::resource::{Resource, getrlimit};

/// Exit code for invalid arguments or settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;
/// Descriptors that are not available for connections: files, listeners and pipes.
const FILE_DESCRIPTORS: u64 = 50;
/// Part of the remaining descriptors for the connections of clients. The rest is for the daemon's own
/// calls and its other listeners.
const CLIENT_FRACTION: f64 = 0.5;
/// Width to which help and usage errors are wrapped.
const HELP_WIDTH_COLUMNS: usize = 100;

/// Name and description of a daemon program.
#[derive(Debug, Clone, Copy)]
pub struct ProgramInfo {
    /// Program name, as shown in messages.
    pub name: &'static str,
    /// One-sentence description for the help text.
    pub description: &'static str,
}

/// Settings of a daemon, read from a file at startup.
pub trait Settings: Sized {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and, where applicable, the section, key, value and
    /// allowed values.
    fn try_open(file: &Path) -> Result<Self, ConfError>;

    /// Returns the least severe level that is logged.
    fn log_level(&self) -> &str;
}

/// Parsed command line of a daemon.
struct Arguments {
    /// Path of the settings file.
    config: PathBuf,
    /// Whether to validate the settings and exit.
    check_only: bool,
}

/// Parses the command line, reads the settings, starts logging and the runtime, and runs `daemon`.
///
/// With `--check`, the settings are only validated. The exit code is 2 for invalid arguments or
/// settings and 1 for any other error.
pub fn main<S: Settings, F>(program: ProgramInfo, daemon: impl FnOnce(S) -> F) -> ExitCode
where
    F: Future<Output = std::io::Result<()>>,
{
    let arguments = match argument_parser(program).run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            let is_help = failure.exit_code() == 0;
            return if is_help {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
            };
        }
    };
    let settings = match S::try_open(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if arguments.check_only {
        println!("{}: valid", arguments.config.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = deck_obs::logs::try_init_to_stderr(settings.log_level()) {
        eprintln!("{}: {error}", program.name);
        return ExitCode::FAILURE;
    }
    match deck_net::runtime::run(daemon(settings)).flatten() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: program.name, "stopped error={error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the command-line parser.
fn argument_parser(program: ProgramInfo) -> OptionParser<Arguments> {
    let config = long("config").help("Settings file; sample.ini documents all keys");
    let config = config.argument::<PathBuf>("FILE");
    let check_only =
        long("check").help("Check the settings file and exit; exits with 2 if it is not valid");
    let check_only = check_only.switch();
    let example = format!("Example: {0} --config {0}.ini", program.name);
    construct!(Arguments { config, check_only })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr(program.description)
        .footer(example.as_str())
}

/// Binds a listener and prints its name and address on standard output, which shows the port that
/// the system chose if port 0 was requested.
///
/// # Errors
///
/// Returns an error that names the listener and its address if it cannot be bound.
pub fn listen(name: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = deck_net::bind(address).map_err(|error| {
        std::io::Error::new(error.kind(), format!("listener {name} on {address}: {error}"))
    })?;
    println!("listening {name} {}", listener.local_addr()?);
    Ok(listener)
}

/// Returns how many connections of clients the limit of open descriptors of this process allows; at
/// most `limit`.
pub fn max_client_connections(limit: usize) -> usize {
    let Ok((descriptors, _)) = getrlimit(Resource::RLIMIT_NOFILE) else { return limit };
    let available = descriptors.saturating_sub(FILE_DESCRIPTORS) as f64;
    ((available * CLIENT_FRACTION) as usize).clamp(1, limit)
}
