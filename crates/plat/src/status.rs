//! Writes of status objects.
//!
//! Several daemons write into the status of one object, each its own fields: the configuration relay
//! says which revision is in force, the owner of a job or pool reports progress.

use deck_core::object::{Envelope, Kind};
use serde_json::{Map, Value};

use crate::{Precondition, Store, StoreError};

/// Tries when another writer changes the status meanwhile.
const MAX_TRIES: u32 = 3;

/// Replaces the top-level fields of `fields` in the status of an object; other fields stay.
///
/// `may_write` sees the fields as stored and can refuse, for example if a newer owner wrote them.
/// Returns whether the status was written.
///
/// # Errors
///
/// Returns an error if the object API does not answer or other writers win each time.
pub async fn merge(
    store: &Store,
    kind: Kind,
    name: &str,
    fields: &Map<String, Value>,
    may_write: impl Fn(&Map<String, Value>) -> bool,
) -> Result<bool, StoreError> {
    let kind = kind.status_kind();
    let mut tries = 0;
    loop {
        let current = store.get(kind, name).await?;
        let condition = current
            .as_ref()
            .map_or(Precondition::Absent, |current| Precondition::Revision(current.revision));
        let mut spec = current
            .as_ref()
            .and_then(|current| current.value.get("spec")?.as_object())
            .cloned()
            .unwrap_or_default();
        if !may_write(&spec) {
            return Ok(false);
        }
        spec.extend(fields.clone());
        let value = serde_json::to_value(Envelope::new(spec))
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        tries += 1;
        match store.put(kind, name, condition, &value).await {
            Ok(_) => return Ok(true),
            Err(StoreError::Conflict(_)) if tries < MAX_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}
