//! `deckroll`: runs the rollout jobs that this VM owns and hands samples to trainers.

mod process;

use std::process::ExitCode;

use deck_daemon::ProgramInfo;

const PROGRAM_INFO: ProgramInfo = ProgramInfo {
    name: "deckroll",
    description: "Runs the rollout jobs that this VM owns and hands samples to trainers.",
};

fn main() -> ExitCode {
    deck_daemon::main(PROGRAM_INFO, process::run)
}
