//! Demonstration: a small deployment of separate processes with stand-ins for the platform.
//!
//! Three VMs in two data centres serve two organisations while a trainer runs two steps. The
//! program prints a summary and exits with 0 only if all counts agree with the stand-ins' journals.

mod deployment;
mod summary;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;

use deckdemo::error::DemoError;

use crate::deployment::Deployment;

/// Runs a small deployment and prints an account.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Directory for logs, settings, objects and the burn report
    #[bpaf(long("directory"), argument("DIR"))]
    directory: PathBuf,
    /// Seed of the load
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    seed: u64,
    /// Time during which calls start, in milliseconds
    #[bpaf(long("load-ms"), argument("MS"), fallback(15_000))]
    load_ms: u64,
}

fn main() -> ExitCode {
    let options = options().run();
    match run(&options) {
        Ok(()) => {
            println!("demo: every count is right");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("demo: {error}; logs are in {}", options.directory.display());
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), DemoError> {
    std::fs::create_dir_all(&options.directory)?;
    println!("demo: seed {}, files in {}", options.seed, options.directory.display());
    let mut deployment = Deployment::start(&options.directory, options.seed)?;
    let results = deployment.run_workload(options.load_ms)?;
    deployment.stop()?;
    summary::print(&deployment, &results)?;
    summary::check(&deployment, &results)
}
