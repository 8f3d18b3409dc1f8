//! `check`: validates object files and settings files without the object API.

use std::path::{Path, PathBuf};

use deck_daemon::Settings as _;

use crate::{
    cli::Output,
    error::CtlError,
    files,
    output::{ObjectAction, print_actions},
};

/// Validates all object files and settings files.
///
/// Files with the extension `.ini` are settings files of `program`, or, if it is `None`, of the
/// program that the file name gives.
pub fn run(files: &[PathBuf], program: Option<&str>, output: Output) -> Result<(), CtlError> {
    let (settings_files, object_files): (Vec<_>, Vec<_>) = files
        .iter()
        .cloned()
        .partition(|file| file.extension().is_some_and(|extension| extension == "ini"));
    let mut actions = Vec::new();
    for object in files::read_objects(&object_files)? {
        let revision = object.revision;
        actions.push(ObjectAction { object: object.label(), action: "valid", revision });
    }
    for file in settings_files {
        check_settings(&file, program)?;
        let object = file.display().to_string();
        actions.push(ObjectAction { object, action: "valid", revision: None });
    }
    print_actions(&actions, output);
    Ok(())
}

fn check_settings(file: &Path, program: Option<&str>) -> Result<(), CtlError> {
    let file_stem = file.file_stem().and_then(|stem| stem.to_str());
    match program.or(file_stem) {
        Some("deckentry") => deckentry::settings::Settings::try_open(file).map(drop)?,
        Some("deckroll") => deckroll::settings::Settings::try_open(file).map(drop)?,
        Some("deckweight") => deckweight::settings::Settings::try_open(file).map(drop)?,
        _ => return Err(CtlError::UnknownProgram(file.to_owned())),
    }
    Ok(())
}
