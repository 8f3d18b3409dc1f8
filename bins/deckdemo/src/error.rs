//! Errors of the demonstration.

use deckscenario::error::CommandError;
use quick_error::quick_error;

quick_error! {
    /// Error of the demonstration.
    #[derive(Debug)]
    pub enum DemoError {
        /// A file or process operation failed.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// A process could not be started or controlled.
        World(error: CommandError) {
            display("{error}")
            from()
        }
        /// A report is not of the expected form.
        Json(error: serde_json::Error) {
            display("unexpected report: {error}")
            source(error)
            from()
        }
        /// A program ended with an error.
        Program(name: String, message: String) {
            display("{name}: {message}")
        }
        /// Counts are wrong.
        Counts(violations: Vec<String>) {
            display("{} counts are wrong: {}", violations.len(), violations.join("; "))
        }
    }
}
