//! Command line of the scenario runner.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::Instant,
};

use bpaf::Bpaf;
use deckscenario::{command, error::ScenarioError, runner};

/// Runs scenario files one after the other.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Seed in place of that of the file.
    #[bpaf(argument("N"), optional)]
    seed: Option<u64>,
    /// Keep the files of scenarios that succeed as well.
    keep: bool,
    /// Directory for logs and journals; the system's directory for temporary files if absent.
    #[bpaf(argument("DIR"), fallback(std::env::temp_dir()))]
    directory: PathBuf,
    /// Check the files without running them.
    check: bool,
    /// Scenario files.
    #[bpaf(positional("FILE"), some("at least one scenario file"))]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    let _ = deck_obs::logs::try_init_to_stderr("warn");
    let (mut run_count, mut failed_count) = (0, 0);
    for file in &options.files {
        run_count += 1;
        if let Err(error) = run_file(&options, file) {
            failed_count += 1;
            println!("FAILED {}: {error}", file.display());
            if matches!(error, ScenarioError::Stopped) {
                break;
            }
        }
    }
    println!("{run_count} scenarios, {failed_count} failed");
    if failed_count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_file(options: &Options, file: &Path) -> Result<(), ScenarioError> {
    let scenario = command::read_scenario(file)?;
    if options.check {
        return Ok(());
    }
    let seed = options.seed.unwrap_or(scenario.seed);
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let directory = options.directory.join(format!("deckscenario-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&directory)
        .map_err(|error| ScenarioError::File(directory.clone(), error))?;
    println!("running {} seed {seed} files {}", file.display(), directory.display());
    let started = Instant::now();
    let io_error = |error| ScenarioError::File(directory.clone(), error);
    deck_net::runtime::run(async {
        // SIGINT or SIGTERM drops the runner, which kills the processes of the scenario.
        let stop = deck_net::runtime::stop_token().map_err(io_error)?;
        let result = stop
            .run_until_cancelled(runner::run_scenario(&scenario, seed, directory.clone()))
            .await;
        result.unwrap_or(Err(ScenarioError::Stopped))
    })
    .map_err(io_error)??;
    if !options.keep {
        let _ = std::fs::remove_dir_all(&directory);
    }
    println!("ok {} seed {seed} in {} ms", file.display(), started.elapsed().as_millis());
    Ok(())
}
