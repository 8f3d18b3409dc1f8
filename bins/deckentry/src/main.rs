//! `deckentry`: serves callers and routes their requests to targets.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;

mod process;
mod settings;

use settings::Settings;

/// Serves callers over HTTP/1.1 and routes their requests to engines and plain services.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file
    #[bpaf(argument("FILE"))]
    config: PathBuf,
    /// Check the settings file and exit
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings = match Settings::try_open(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if arguments.check {
        println!("{}: ok", arguments.config.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = deck_obs::logs::try_init(&settings.log.level) {
        eprintln!("logs: {error}");
        return ExitCode::FAILURE;
    }
    match deck_net::runtime::run(process::run(settings)) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            log::error!(target: "entry", "stopped error={error}");
            ExitCode::FAILURE
        }
    }
}
