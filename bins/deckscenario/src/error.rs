//! Errors of a scenario.

use std::path::PathBuf;

use deck_net::NetError;
use quick_error::quick_error;

quick_error! {
    /// Error that ends a scenario.
    #[derive(Debug)]
    pub enum ScenarioError {
        /// A line is not of the language.
        Syntax(line: usize, message: String) {
            display("line {line}: {message}")
        }
        /// A command failed.
        Command(line: usize, message: String) {
            display("line {line}: {message}")
        }
        /// A stop signal ended the scenario.
        Stopped {
            display("stopped by a signal")
        }
        /// A file cannot be read or written.
        File(path: PathBuf, error: std::io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
    }
}

quick_error! {
    /// Error of one command; the runner adds the line.
    #[derive(Debug)]
    pub enum CommandError {
        /// An expectation does not hold, or a checker found violations.
        Failed(message: String) {
            display("{message}")
            from()
        }
        /// A call to a stand-in failed.
        Net(error: NetError) {
            display("{error}")
            source(error)
            from()
        }
        /// A file or program cannot be used.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// A record or value is not JSON of the expected form.
        Json(error: serde_json::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}
