//! Errors of scenario files and of the commands in them.

use std::path::PathBuf;

use deck_net::NetError;
use quick_error::quick_error;

quick_error! {
    /// Error that aborts a scenario.
    #[derive(Debug)]
    pub enum ScenarioError {
        /// A line of the scenario file is malformed.
        Syntax(line: usize, message: String) {
            display("line {line}: {message}")
        }
        /// The command in this line failed.
        Command(line: usize, message: String) {
            display("line {line}: {message}")
        }
        /// The runner received a stop signal.
        Stopped {
            display("stopped by a signal")
        }
        /// A file or directory cannot be read or written.
        File(path: PathBuf, error: std::io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
    }
}

quick_error! {
    /// Error of one command. The runner converts it to [`ScenarioError::Command`] with the line number.
    #[derive(Debug)]
    pub enum CommandError {
        /// An expectation is not met, an invariant is violated, or an argument is invalid.
        Failed(message: String) {
            display("{message}")
            from()
        }
        /// A request to a process failed.
        Net(error: NetError) {
            display("{error}")
            source(error)
            from()
        }
        /// A file cannot be read or written, or a program cannot be started.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// A record, report or argument is not JSON of the expected form.
        Json(error: serde_json::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}
