//! `delete`: deletes one object, conditional on its revision.

use deck_core::{id::Revision, object::Kind};
use deck_plat::{Store, StoreError};

use crate::{
    cli::Output,
    error::CtlError,
    output::{ObjectAction, print_actions},
    verbs::get,
};

/// Deletes the object if it is still at `revision`, or, without one, at the revision just read.
pub async fn run(
    store: &Store,
    kind: Kind,
    name: &str,
    revision: Option<Revision>,
    output: Output,
) -> Result<(), CtlError> {
    let label = format!("{kind}/{name}");
    let current = get::read_existing(store, kind, name).await?;
    let expected_revision = revision.unwrap_or(current.revision);
    if expected_revision != current.revision {
        return Err(CtlError::Conflict(label, Some(current.revision)));
    }
    match store.delete(kind.as_str(), name, expected_revision).await {
        Ok(()) => {}
        Err(StoreError::ResponseLost(lost_response_error)) => {
            retry_lost_delete(store, kind, name, expected_revision, lost_response_error).await?;
        }
        Err(error) => return Err(CtlError::from_store(&label, error)),
    }
    print_actions(&[ObjectAction { object: label, action: "deleted", revision: None }], output);
    Ok(())
}

/// Retries a deletion whose response was lost.
///
/// The retry is safe because it is conditional on the revision. If the object is gone by then, the
/// deletion counts as done.
async fn retry_lost_delete(
    store: &Store,
    kind: Kind,
    name: &str,
    revision: Revision,
    lost_response_error: String,
) -> Result<(), CtlError> {
    let label = format!("{kind}/{name}");
    match store.delete(kind.as_str(), name, revision).await {
        Ok(()) | Err(StoreError::Conflict(None)) => Ok(()),
        Err(StoreError::ResponseLost(_) | StoreError::Unavailable(_)) => {
            Err(CtlError::from_store(&label, StoreError::ResponseLost(lost_response_error)))
        }
        Err(error) => Err(CtlError::from_store(&label, error)),
    }
}
