//! `decknode`: the node process that runs on each VM of the platform.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser, construct, long};
use deck_platform::{SETTINGS_PATH_VARIABLE, read_settings};
use decknode::process;

/// Exit code for invalid arguments or settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Width to which help and error texts are wrapped.
const HELP_WIDTH_COLUMNS: usize = 100;

/// Command-line arguments.
struct Arguments {
    config: Option<PathBuf>,
    check: bool,
    log: String,
    metrics_port: Option<u16>,
}

fn main() -> ExitCode {
    let arguments = match argument_parser().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            let is_help = failure.exit_code() == 0;
            return if is_help { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INVALID_SETTINGS) };
        }
    };
    let settings_file =
        arguments.config.or_else(|| std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from));
    let Some(settings_file) = settings_file else {
        eprintln!("decknode: give --config FILE or set {SETTINGS_PATH_VARIABLE}");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match read_settings(&settings_file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("decknode: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: valid", settings_file.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = deck_obs::logs::try_init_to_stdout(&arguments.log) {
        eprintln!("decknode: {error}");
        return ExitCode::FAILURE;
    }
    match deck_net::runtime::run(process::run_node(settings_file, settings, arguments.metrics_port))
        .flatten()
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "node", "stopped error={error}");
            ExitCode::FAILURE
        }
    }
}

fn argument_parser() -> OptionParser<Arguments> {
    let config = long("config")
        .help("Settings file of the platform, TOML; the default is the variable COWSLIPDECK_CONFIG")
        .argument::<PathBuf>("FILE")
        .optional();
    let check = long("check")
        .help("Check the settings file and exit; exits with 2 if it is not valid")
        .switch();
    let log = long("log")
        .help("Lowest level that is logged: off, error, warn, info, debug or trace")
        .argument::<String>("LEVEL")
        .guard(|level| level.parse::<log::LevelFilter>().is_ok(), "not a log level")
        .fallback("info".to_owned());
    let metrics_port = long("metrics-port")
        .help("Port on which metrics are served at /metrics, beside the ready address")
        .argument::<u16>("PORT")
        .optional();
    construct!(Arguments { config, check, log, metrics_port })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Serves callers, batch jobs and weight orders on one entry VM of the platform.")
        .footer("Example: decknode --config /etc/cowslipdeck/settings.toml --check")
}
