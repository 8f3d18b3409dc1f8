//! Validation of field values.

use super::{MAX_NAME_BYTES, ObjectError, check_object_name};

/// Returns the error for a field whose value is not allowed.
pub(super) fn field_error(
    name: &str,
    found: impl std::fmt::Display,
    allowed: impl std::fmt::Display,
) -> ObjectError {
    ObjectError::Field(name.to_owned(), found.to_string(), allowed.to_string())
}

pub(super) fn check_range(name: &str, found: u64, min: u64, max: u64) -> Result<(), ObjectError> {
    if (min..=max).contains(&found) {
        Ok(())
    } else {
        Err(field_error(name, found, format!("{min} to {max}")))
    }
}

pub(super) fn check_name(name: &str, found: &str) -> Result<(), ObjectError> {
    check_object_name(found).map_err(|_| {
        field_error(
            name,
            format!("{found:?}"),
            format!("1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'"),
        )
    })
}

pub(super) fn check_address(name: &str, found: &str) -> Result<(), ObjectError> {
    match found.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(field_error(name, format!("{found:?}"), "ip:port")),
    }
}
