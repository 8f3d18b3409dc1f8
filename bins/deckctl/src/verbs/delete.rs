//! `delete`: deletes one object.

use deck_core::{id::Revision, object::Kind};
use deck_plat::{Store, StoreError};

use crate::{
    cli::Output,
    error::CtlError,
    output::{Action, print_actions},
    verbs::get,
};

/// Deletes the object if it still has `revision`, or the revision just read.
pub async fn run(
    store: &Store,
    kind: Kind,
    name: &str,
    revision: Option<Revision>,
    output: Output,
) -> Result<(), CtlError> {
    let label = format!("{kind}/{name}");
    let current = get::read(store, kind, name).await?;
    let expected = revision.unwrap_or(current.revision);
    if expected != current.revision {
        return Err(CtlError::Conflict(label, Some(current.revision)));
    }
    match store.delete(kind.as_str(), name, expected).await {
        Ok(()) => {}
        Err(StoreError::ResponseLost(message)) => {
            resolve_lost_delete(store, kind, name, expected, message).await?;
        }
        Err(error) => return Err(CtlError::store(&label, error)),
    }
    print_actions(&[Action { object: label, action: "deleted", revision: None }], output);
    Ok(())
}

/// Repeats a deletion whose response was lost. The condition makes the repetition harmless.
async fn resolve_lost_delete(
    store: &Store,
    kind: Kind,
    name: &str,
    revision: Revision,
    message: String,
) -> Result<(), CtlError> {
    let label = format!("{kind}/{name}");
    match store.delete(kind.as_str(), name, revision).await {
        Ok(()) | Err(StoreError::Conflict(None)) => Ok(()),
        Err(StoreError::ResponseLost(_) | StoreError::Unavailable(_)) => {
            Err(CtlError::store(&label, StoreError::ResponseLost(message)))
        }
        Err(error) => Err(CtlError::store(&label, error)),
    }
}
