//! Ids of batch jobs, which are unique within an organisation.
//!
//! Callers choose the ids of their jobs. A job of an organisation is stored under an id that names the
//! organisation as well, so that a call of another organisation finds nothing, in every part of this
//! crate and on every node. The id cannot be used by callers themselves.

use deck_core::{hash::hash64, id::RequestId};

/// Separates the organisation from the id that the caller has chosen. Ids of callers cannot contain
/// it.
const SEPARATOR: char = '~';
/// Maximum length of an id in bytes, as it is used in the names of objects.
const MAX_BYTES: usize = 128;

/// Returns the id under which a job is stored; `None` if a caller may not use `id`.
pub(crate) fn stored_id(id: &str, organisation: Option<&str>) -> Option<RequestId> {
    let stored = match organisation {
        Some(name) => format!("{:016x}{SEPARATOR}{id}", hash64(name.as_bytes())),
        None => id.to_owned(),
    };
    (stored.len() <= MAX_BYTES && is_allowed(id)).then_some(stored)
}

/// Returns whether a job may be stored under `id`, with or without an organisation.
pub(crate) fn is_stored_id(id: &str) -> bool {
    let is_prefix = |prefix: &str| prefix.bytes().all(|byte| byte.is_ascii_hexdigit());
    let own_id = match id.split_once(SEPARATOR) {
        Some((prefix, own_id)) if is_prefix(prefix) => own_id,
        Some(_) => return false,
        None => id,
    };
    id.len() <= MAX_BYTES && is_allowed(own_id)
}

/// Returns whether all characters of a caller's id may be part of the name of an object.
fn is_allowed(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !id.is_empty() && id.bytes().all(allowed)
}

/// Returns the id by which callers know a job that is stored under `stored_id`.
pub(crate) fn caller_id(stored_id: &str) -> &str {
    stored_id.split_once(SEPARATOR).map_or(stored_id, |(_, id)| id)
}
