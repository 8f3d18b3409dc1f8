//! Validation of field values; `field` is the path of the field in the error.

use super::{MAX_NAME_BYTES, ObjectError, check_object_name};

/// Returns the error for a field whose value is not allowed.
pub(super) fn field_error(
    field: &str,
    found: impl std::fmt::Display,
    allowed: impl std::fmt::Display,
) -> ObjectError {
    ObjectError::Field(field.to_owned(), found.to_string(), allowed.to_string())
}

/// Checks that a number is in `min..=max`.
pub(super) fn check_range(field: &str, found: u64, min: u64, max: u64) -> Result<(), ObjectError> {
    if (min..=max).contains(&found) {
        Ok(())
    } else {
        Err(field_error(field, found, format!("{min} to {max}")))
    }
}

/// Checks that a field contains a valid object name.
pub(super) fn check_name(field: &str, found: &str) -> Result<(), ObjectError> {
    check_object_name(found).map_err(|_| {
        field_error(
            field,
            format!("{found:?}"),
            format!("1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'"),
        )
    })
}

/// Checks that a field contains an address of the form `ip:port`.
pub(super) fn check_address(field: &str, found: &str) -> Result<(), ObjectError> {
    match found.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(field_error(field, format!("{found:?}"), "ip:port")),
    }
}
