//! Updates of status objects.
//!
//! Several daemons write to the status of one object, each to its own fields: the configuration
//! relay writes which revision is in force, and the owner of a job or pool reports progress.

use deck_core::object::{Envelope, Kind};
use serde_json::{Map, Value};

use crate::{Precondition, Store, StoreError};

/// Maximum number of writes if other writers change the status at the same time.
const MAX_ATTEMPTS: u32 = 3;

/// Sets the given top-level fields in the status of an object and keeps all others.
///
/// `may_write` receives the stored fields and returns whether to write, for example false if a
/// newer owner has written them. Returns whether the status was written.
///
/// # Errors
///
/// Returns an error if a call to the object API fails or every attempt conflicts with another
/// writer.
pub async fn merge(
    store: &Store,
    kind: Kind,
    name: &str,
    fields: &Map<String, Value>,
    may_write: impl Fn(&Map<String, Value>) -> bool,
) -> Result<bool, StoreError> {
    let kind = kind.status_kind();
    let mut attempts = 0;
    loop {
        let stored_object = store.get(kind, name).await?;
        let condition = stored_object
            .as_ref()
            .map_or(Precondition::Absent, |object| Precondition::Revision(object.revision));
        let mut spec = stored_object
            .as_ref()
            .and_then(|object| object.value.get("spec")?.as_object())
            .cloned()
            .unwrap_or_default();
        if !may_write(&spec) {
            return Ok(false);
        }
        spec.extend(fields.clone());
        let value = serde_json::to_value(Envelope::new(spec))
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        attempts += 1;
        match store.put(kind, name, condition, &value).await {
            Ok(_) => return Ok(true),
            Err(StoreError::Conflict(_)) if attempts < MAX_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}
