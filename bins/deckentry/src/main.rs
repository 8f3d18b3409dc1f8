//! `deckentry`: serves callers and routes their requests to targets.

use std::process::ExitCode;

use deck_daemon::ProgramInfo;

mod process;

const PROGRAM_INFO: ProgramInfo = ProgramInfo {
    name: "deckentry",
    description: "Serves callers over HTTP/1.1 and routes their requests to engines and plain services.",
};

fn main() -> ExitCode {
    deck_daemon::main(PROGRAM_INFO, process::run)
}
