//! `check`: checks object files and settings files without the object API.

use std::path::{Path, PathBuf};

use deck_daemon::Settings as _;

use crate::{
    cli::Output,
    error::CtlError,
    files,
    output::{Action, print_actions},
};

/// Checks all objects and settings of `files`.
///
/// Files that end in `.ini` are settings, of `program` or of the program after which they are named.
pub fn run(files: &[PathBuf], program: Option<&str>, output: Output) -> Result<(), CtlError> {
    let (settings, objects): (Vec<_>, Vec<_>) =
        files.iter().cloned().partition(|file| file.extension().is_some_and(|end| end == "ini"));
    let mut actions = Vec::new();
    for object in files::read_all(&objects)? {
        let revision = object.revision;
        actions.push(Action { object: object.label(), action: "valid", revision });
    }
    for file in settings {
        check_settings(&file, program)?;
        let object = file.display().to_string();
        actions.push(Action { object, action: "valid", revision: None });
    }
    print_actions(&actions, output);
    Ok(())
}

fn check_settings(file: &Path, program: Option<&str>) -> Result<(), CtlError> {
    let stem = file.file_stem().and_then(|stem| stem.to_str());
    match program.or(stem) {
        Some("deckentry") => deckentry::settings::Settings::try_open(file).map(drop)?,
        Some("deckroll") => deckroll::settings::Settings::try_open(file).map(drop)?,
        Some("deckweight") => deckweight::settings::Settings::try_open(file).map(drop)?,
        _ => return Err(CtlError::UnknownProgram(file.to_owned())),
    }
    Ok(())
}
