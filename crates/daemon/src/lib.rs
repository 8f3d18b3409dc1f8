//! Start of a daemon: arguments, settings, logs, runtime and listeners.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::{OptionParser, Parser, construct, long};
use deck_conf::ConfError;
use monoio::net::TcpListener;

/// Exit code for arguments or settings that are not valid.
const INVALID_SETTINGS: u8 = 2;
const HELP_WIDTH_COLUMNS: usize = 100;

/// What a daemon is.
#[derive(Debug, Clone, Copy)]
pub struct About {
    /// Name of the program.
    pub name: &'static str,
    /// What it does, in one sentence.
    pub description: &'static str,
}

/// Settings of a daemon.
pub trait Settings: Sized {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names file, section, key, the value seen and what is allowed.
    fn try_open(file: &Path) -> Result<Self, ConfError>;

    /// Returns the lowest level that is logged.
    fn log_level(&self) -> &str;
}

struct Arguments {
    config: PathBuf,
    check: bool,
}

/// Reads arguments and settings, starts logs and the runtime, and runs `daemon`.
///
/// With `--check` the settings are checked and the daemon is not run. The exit code is 2 if
/// arguments or settings are not valid and 1 after any other error.
pub fn main<S: Settings, F>(about: About, daemon: impl FnOnce(S) -> F) -> ExitCode
where
    F: Future<Output = std::io::Result<()>>,
{
    let arguments = match arguments(about).run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            let is_help = failure.exit_code() == 0;
            return if is_help { ExitCode::SUCCESS } else { ExitCode::from(INVALID_SETTINGS) };
        }
    };
    let settings = match S::try_open(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", about.name);
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: valid", arguments.config.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = deck_obs::logs::try_init(settings.log_level()) {
        eprintln!("{}: {error}", about.name);
        return ExitCode::FAILURE;
    }
    match deck_net::runtime::run(daemon(settings)).flatten() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: about.name, "stopped error={error}");
            ExitCode::FAILURE
        }
    }
}

fn arguments(about: About) -> OptionParser<Arguments> {
    let config = long("config").help("Settings file; sample.ini documents all keys");
    let config = config.argument::<PathBuf>("FILE");
    let check =
        long("check").help("Check the settings file and exit; exits with 2 if it is not valid");
    let check = check.switch();
    let example = format!("Example: {0} --config {0}.ini", about.name);
    construct!(Arguments { config, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr(about.description)
        .footer(example.as_str())
}

/// Binds a listener and prints its address, which tells the chosen port if port 0 was asked for.
///
/// # Errors
///
/// Returns an error that names listener and address if it cannot be bound.
pub fn listen(name: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = deck_net::bind(address).map_err(|error| {
        std::io::Error::new(error.kind(), format!("listener {name} on {address}: {error}"))
    })?;
    println!("listening {name} {}", listener.local_addr()?);
    Ok(listener)
}
