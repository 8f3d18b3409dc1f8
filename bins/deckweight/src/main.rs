//! `deckweight`: brings new weights to the engines of the pools that this VM owns.

mod process;

use std::process::ExitCode;

use deck_daemon::ProgramInfo;

const PROGRAM_INFO: ProgramInfo = ProgramInfo {
    name: "deckweight",
    description: "Brings new weights to the engines of the pools that this VM owns.",
};

fn main() -> ExitCode {
    deck_daemon::main(PROGRAM_INFO, process::run)
}
