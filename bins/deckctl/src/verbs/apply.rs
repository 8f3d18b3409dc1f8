//! `apply`: creates or changes objects, conditional on the version read.

use std::path::PathBuf;

use deck_plat::{Precondition, Store};

use crate::{
    cli::Output,
    error::CtlError,
    files::{self, FileObject},
    output::{Action, print_actions},
};

/// How often a lost response is resolved by reading back.
const RESOLVE_TRIES: u32 = 5;

/// Applies all objects of `files`. All files are checked before the first write.
///
/// Stops at the first error; what was written before is printed.
pub async fn run(
    store: &Store,
    files: &[PathBuf],
    dry_run: bool,
    output: Output,
) -> Result<(), CtlError> {
    let objects = files::read_all(files)?;
    let mut actions = Vec::new();
    let mut result = Ok(());
    for object in &objects {
        match apply(store, object, dry_run).await {
            Ok(action) => actions.push(action),
            Err(error) => {
                result = Err(error);
                break;
            }
        }
    }
    print_actions(&actions, output);
    result
}

async fn apply(store: &Store, object: &FileObject, dry_run: bool) -> Result<Action, CtlError> {
    let label = object.label();
    let kind = object.kind.as_str();
    let current =
        store.get(kind, &object.name).await.map_err(|error| CtlError::store(&label, error))?;
    let current_revision = current.as_ref().map(|current| current.revision);
    if let Some(expected) = object.revision
        && expected != current_revision.unwrap_or(0)
    {
        return Err(CtlError::Conflict(label, current_revision));
    }
    if let Some(current) = &current
        && current.value == object.value
    {
        return Ok(Action { object: label, action: "unchanged", revision: current_revision });
    }
    let (condition, action, planned) = match current_revision {
        None => (Precondition::Absent, "created", "would be created"),
        Some(revision) => (Precondition::Revision(revision), "changed", "would be changed"),
    };
    if dry_run {
        return Ok(Action { object: label, action: planned, revision: current_revision });
    }
    let revision = store
        .put_with_read_back(kind, &object.name, condition, &object.value, RESOLVE_TRIES)
        .await
        .map_err(|error| CtlError::store(&label, error))?;
    Ok(Action { object: label, action, revision: Some(revision) })
}
