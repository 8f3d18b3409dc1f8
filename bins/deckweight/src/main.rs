//! `deckweight`: deploys new weights to the engines of the pools that this VM owns.

mod process;

use std::process::ExitCode;

use deck_daemon::About;

const ABOUT: About = About {
    name: "deckweight",
    description: "Brings new weights to the engines of the pools that this VM owns.",
};

fn main() -> ExitCode {
    deck_daemon::main(ABOUT, process::run)
}
