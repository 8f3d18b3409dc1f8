//! Error type of `deckctl` and the exit code of each error.

use std::path::PathBuf;

use deck_core::{id::Revision, object::ObjectError};
use deck_plat::StoreError;
use quick_error::quick_error;

quick_error! {
    /// Error that ends a `deckctl` command.
    #[derive(Debug)]
    pub enum CtlError {
        /// Neither `--object-api` nor `DECK_OBJECT_API` gives the object API's address.
        NoObjectApi {
            display("give the object API's address with --object-api or DECK_OBJECT_API")
        }
        /// A file cannot be read.
        File(file: PathBuf, error: std::io::Error) {
            display("{}: {error}", file.display())
            source(error)
        }
        /// A file is not valid JSON, or an object in it has missing, unknown or mistyped fields.
        Syntax(file: PathBuf, message: String) {
            display("{}: {message}", file.display())
        }
        /// An object in a file fails validation.
        Object(file: PathBuf, name: String, error: ObjectError) {
            display("{}: {name}: {error}", file.display())
            source(error)
        }
        /// A settings file cannot be read or fails validation.
        Settings(error: deck_conf::ConfError) {
            display("{error}")
            source(error)
            from()
        }
        /// A configuration has errors, which have been printed.
        Configuration(file: PathBuf, count: usize) {
            display("{}: errors: {count}", file.display())
        }
        /// Neither `--program` nor the file name gives a known program for a settings file.
        UnknownProgram(file: PathBuf) {
            display("{}: name the program with --program: deckentry, deckroll or deckweight",
                file.display())
        }
        /// The requested object, or log line, does not exist.
        NotFound(name: String) {
            display("{name} does not exist")
        }
        /// The object's current revision is not the expected one; `None` if the object is absent.
        Conflict(name: String, current: Option<Revision>) {
            display("{name} was changed by somebody else ({}); read it again and repeat the change",
                current.map_or("it does not exist".to_owned(),
                    |revision| format!("it is at revision {revision}")))
        }
        /// A call to the object API failed for a reason other than a revision conflict.
        Store(name: String, error: StoreError) {
            display("{name}: {error}")
            source(error)
        }
        /// A metrics history file cannot be read or written.
        History(file: PathBuf, error: deck_burn::history::HistoryError) {
            display("{}: {error}", file.display())
            source(error)
        }
        /// A plot of the HTML report cannot be rendered.
        Plot(message: String) {
            display("plot: {message}")
        }
        /// `diff` found this many objects that differ from the stored ones.
        Different(count: usize) {
            display("{count} objects differ")
        }
        /// The async runtime or another local operation failed.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}

impl CtlError {
    /// Converts an error of the object API for the object `name`.
    pub fn from_store(name: &str, error: StoreError) -> Self {
        match error {
            StoreError::Conflict(current) => Self::Conflict(name.to_owned(), current),
            error => Self::Store(name.to_owned(), error),
        }
    }

    /// Returns the process exit code for this error, as documented in `deckctl --help`.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Io(_) | Self::Plot(_) => 1,
            Self::Settings(_) | Self::UnknownProgram(_) => 2,
            Self::NoObjectApi
            | Self::File(..)
            | Self::Syntax(..)
            | Self::Object(..)
            | Self::Configuration(..)
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
