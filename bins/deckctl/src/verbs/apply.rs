//! `apply`: creates or changes objects, conditional on the revision that was read.

use std::path::PathBuf;

use deck_plat::{Precondition, Store};

use crate::{
    cli::Output,
    error::CtlError,
    files::{self, FileObject},
    output::{ObjectAction, print_actions},
};

/// Maximum number of attempts to find out, by reading back, whether a write with a lost response
/// took effect.
const MAX_RESOLVE_ATTEMPTS: u32 = 5;

/// Applies all objects of `files`. All files are validated before the first write.
///
/// Stops at the first error; the actions completed before it are printed.
pub async fn run(
    store: &Store,
    files: &[PathBuf],
    dry_run: bool,
    output: Output,
) -> Result<(), CtlError> {
    let objects = files::read_objects(files)?;
    let mut actions = Vec::new();
    let mut result = Ok(());
    for object in &objects {
        match apply_object(store, object, dry_run).await {
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

async fn apply_object(
    store: &Store,
    object: &FileObject,
    dry_run: bool,
) -> Result<ObjectAction, CtlError> {
    let label = object.label();
    let kind = object.kind.as_str();
    let current =
        store.get(kind, &object.name).await.map_err(|error| CtlError::from_store(&label, error))?;
    let current_revision = current.as_ref().map(|current| current.revision);
    if let Some(expected_revision) = object.revision
        && expected_revision != current_revision.unwrap_or(0)
    {
        return Err(CtlError::Conflict(label, current_revision));
    }
    if let Some(current) = &current
        && current.value == object.value
    {
        return Ok(ObjectAction { object: label, action: "unchanged", revision: current_revision });
    }
    let (precondition, action, dry_run_action) = match current_revision {
        None => (Precondition::Absent, "created", "would be created"),
        Some(revision) => (Precondition::Revision(revision), "changed", "would be changed"),
    };
    if dry_run {
        return Ok(ObjectAction {
            object: label,
            action: dry_run_action,
            revision: current_revision,
        });
    }
    let revision = store
        .put_with_read_back(kind, &object.name, precondition, &object.value, MAX_RESOLVE_ATTEMPTS)
        .await
        .map_err(|error| CtlError::from_store(&label, error))?;
    Ok(ObjectAction { object: label, action, revision: Some(revision) })
}
