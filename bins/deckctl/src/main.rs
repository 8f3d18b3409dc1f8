//! `deckctl`: command line for operators of the object API and the daemons.

#[macro_use]
mod output;

mod cli;
mod configuration;
mod error;
mod explain;
mod files;
mod json_lines;
mod verbs;

use std::process::ExitCode;

use crate::{
    cli::{Command, Options},
    error::CtlError,
};

/// Exit code for invalid arguments; `deckctl --help` lists all exit codes.
const EXIT_INVALID_ARGUMENTS: u8 = 2;
const HELP_WIDTH_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let options = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            return if failure.exit_code() == 0 {
                ExitCode::SUCCESS
            } else {
                EXIT_INVALID_ARGUMENTS.into()
            };
        }
    };
    let result = deck_net::runtime::run(run(options)).map_err(CtlError::from).flatten();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("deckctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(options: Options) -> Result<(), CtlError> {
    let Options { object_api, output, timeout_ms, command } = options;
    if let Command::Check { program, files } = &command {
        return verbs::check::run(files, program.as_deref(), output);
    }
    if let Command::CheckConfiguration { in_force, file } = &command {
        return verbs::check_configuration::run(file, in_force.as_ref(), output);
    }
    if let Command::Explain { id, files } = &command {
        return verbs::explain::run(id, files, output);
    }
    if let Command::Report { report } = command {
        return verbs::report::run(report, object_api, timeout_ms, output).await;
    }
    let address = object_api.ok_or(CtlError::NoObjectApi)?;
    let timeout = std::time::Duration::from_millis(timeout_ms);
    let store = deck_plat::Store::new(deck_net::Client::default(), address, timeout);
    match command {
        Command::Apply { dry_run, files } => {
            verbs::apply::run(&store, &files, dry_run, output).await
        }
        Command::Get { kind, name } => verbs::get::run(&store, kind, name.as_deref(), output).await,
        Command::Describe { kind, name } => verbs::describe::run(&store, kind, &name, output).await,
        Command::Diff { files } => verbs::diff::run(&store, &files, output).await,
        Command::Watch { kind, name, count } => {
            verbs::watch::run(&store, kind, name.as_deref(), count, output).await
        }
        Command::Delete { revision, kind, name } => {
            verbs::delete::run(&store, kind, &name, revision, output).await
        }
        Command::Check { .. }
        | Command::CheckConfiguration { .. }
        | Command::Explain { .. }
        | Command::Report { .. } => Ok(()),
    }
}
