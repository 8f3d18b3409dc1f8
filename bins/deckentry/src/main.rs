//! `deckentry`: serves callers and routes their requests to targets.

use std::process::ExitCode;

use deck_daemon::About;

mod process;

const ABOUT: About = About {
    name: "deckentry",
    description: "Serves callers over HTTP/1.1 and routes their requests to engines and plain services.",
};

fn main() -> ExitCode {
    deck_daemon::main(ABOUT, process::run)
}
