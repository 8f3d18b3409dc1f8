//! `decknode`: the whole system on one entry VM of the platform.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser, construct, long};
use deck_platform::{SETTINGS_VARIABLE, read_settings};
use decknode::process;

/// Exit code for arguments or settings that are not valid.
const INVALID_SETTINGS: u8 = 2;
const HELP_WIDTH_COLUMNS: usize = 100;

struct Arguments {
    config: Option<PathBuf>,
    check: bool,
    log: String,
    metrics_port: Option<u16>,
}

fn main() -> ExitCode {
    let arguments = match arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            let is_help = failure.exit_code() == 0;
            return if is_help { ExitCode::SUCCESS } else { ExitCode::from(INVALID_SETTINGS) };
        }
    };
    let file = arguments.config.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(file) = file else {
        eprintln!("decknode: give --config FILE or set {SETTINGS_VARIABLE}");
        return ExitCode::from(INVALID_SETTINGS);
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("decknode: {error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: valid", file.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = deck_obs::logs::try_init_stdout(&arguments.log) {
        eprintln!("decknode: {error}");
        return ExitCode::FAILURE;
    }
    match deck_net::runtime::run(process::run(file, settings, arguments.metrics_port)).flatten() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "node", "stopped error={error}");
            ExitCode::FAILURE
        }
    }
}

fn arguments() -> OptionParser<Arguments> {
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
