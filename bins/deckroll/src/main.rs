//! `deckroll`: runs the rollout jobs that this VM owns and hands samples to trainers.

mod process;
mod settings;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use deck_net::runtime;
use deck_obs::logs;

use crate::settings::Settings;

/// Runs the rollout jobs that this VM owns and hands samples to trainers.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer("Example: deckroll --config deckroll.ini"))]
struct Options {
    /// Settings file; bins/deckroll/sample.ini documents all keys
    #[bpaf(long("config"), argument("FILE"))]
    config: PathBuf,
    /// Check the settings file and exit; exits with 2 if it is not valid
    #[bpaf(long("check"))]
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match Settings::try_open(&options.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("deckroll: {error}");
            return ExitCode::from(2);
        }
    };
    if options.check {
        println!("{}: valid", options.config.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::try_init(&settings.log.level) {
        eprintln!("deckroll: {error}");
        return ExitCode::FAILURE;
    }
    match runtime::run(process::run(settings)).flatten() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "deckroll", "stopped error={error}");
            ExitCode::FAILURE
        }
    }
}
