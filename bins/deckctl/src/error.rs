//! Errors of `deckctl` and their exit codes.

use std::path::PathBuf;

use deck_core::{id::Revision, object::ObjectError};
use deck_plat::StoreError;
use quick_error::quick_error;

quick_error! {
    /// Error of a verb.
    #[derive(Debug)]
    pub enum CtlError {
        /// The address of the object API is not given.
        NoObjectApi {
            display("give the object API's address with --object-api or DECK_OBJECT_API")
        }
        /// A file cannot be read.
        File(file: PathBuf, error: std::io::Error) {
            display("{}: {error}", file.display())
            source(error)
        }
        /// A file is not JSON or an object in it has a wrong form.
        Syntax(file: PathBuf, message: String) {
            display("{}: {message}", file.display())
        }
        /// An object is not valid.
        Object(file: PathBuf, name: String, error: ObjectError) {
            display("{}: {name}: {error}", file.display())
            source(error)
        }
        /// A settings file is not valid.
        Settings(error: deck_conf::ConfError) {
            display("{error}")
            source(error)
            from()
        }
        /// It is not known whose settings a file holds.
        UnknownProgram(file: PathBuf) {
            display("{}: name the program with --program: deckentry, deckroll or deckweight",
                file.display())
        }
        /// The object does not exist.
        NotFound(name: String) {
            display("{name} does not exist")
        }
        /// Another change came first.
        Conflict(name: String, current: Option<Revision>) {
            display("{name} was changed by somebody else ({}); read it again and repeat the change",
                current.map_or("it does not exist".to_owned(), |r| format!("it is at revision {r}")))
        }
        /// A call on the object API failed.
        Store(name: String, error: StoreError) {
            display("{name}: {error}")
            source(error)
        }
        /// A history file cannot be read or written.
        History(file: PathBuf, error: deck_burn::history::HistoryError) {
            display("{}: {error}", file.display())
            source(error)
        }
        /// A plot cannot be drawn.
        Plot(message: String) {
            display("plot: {message}")
        }
        /// The files differ from the stored objects.
        Different(count: usize) {
            display("{count} objects differ")
        }
        /// A local operation failed.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}

impl CtlError {
    /// Returns the error for a failed call on the object `name`.
    pub fn store(name: &str, error: StoreError) -> Self {
        match error {
            StoreError::Conflict(current) => Self::Conflict(name.to_owned(), current),
            error => Self::Store(name.to_owned(), error),
        }
    }

    /// Returns the exit code; `deckctl --help` lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Io(_) | Self::Plot(_) => 1,
            Self::Settings(_) | Self::UnknownProgram(_) => 2,
            Self::NoObjectApi
            | Self::File(..)
            | Self::Syntax(..)
            | Self::Object(..)
            | Self::History(..) => 2,
            Self::NotFound(_) => 3,
            Self::Conflict(..) => 4,
            Self::Store(_, StoreError::Unavailable(_) | StoreError::RateLimited(_)) => 5,
            Self::Store(_, StoreError::ResponseLost(_)) => 6,
            Self::Store(..) => 1,
            Self::Different(_) => 7,
        }
    }
}
