//! `check`: checks object files without the object API.

use std::path::PathBuf;

use crate::{
    cli::Output,
    error::CtlError,
    files,
    output::{Action, print_actions},
};

/// Checks all objects of `files`.
pub fn run(files: &[PathBuf], output: Output) -> Result<(), CtlError> {
    let objects = files::read_all(files)?;
    let valid = |object: &files::FileObject| Action {
        object: object.label(),
        action: "valid",
        revision: object.revision,
    };
    print_actions(&objects.iter().map(valid).collect::<Vec<_>>(), output);
    Ok(())
}
