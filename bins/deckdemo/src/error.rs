//! Error type of the demonstration and the capacity measurement.

use deckscenario::error::CommandError;
use quick_error::quick_error;

quick_error! {
    /// Why a demonstration or measurement failed.
    #[derive(Debug)]
    pub enum DemoError {
        /// A file or process operation failed.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// A process could not be started or controlled.
        Command(error: CommandError) {
            display("{error}")
            from()
        }
        /// A report is not JSON of the expected structure.
        Json(error: serde_json::Error) {
            display("unexpected report: {error}")
            source(error)
            from()
        }
        /// A program, daemon or request failed; `name` identifies it.
        Program(name: String, message: String) {
            display("{name}: {message}")
        }
        /// Counts of a run differ from the stand-ins' journals or from the planned workload.
        WrongCounts(violations: Vec<String>) {
            display("{} counts are wrong: {}", violations.len(), violations.join("; "))
        }
    }
}
