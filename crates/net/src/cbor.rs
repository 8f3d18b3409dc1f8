//! Messages between nodes in CBOR.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::NetError;

/// Encodes a message.
///
/// # Errors
///
/// Returns [`NetError::Decode`] if the value has no form in CBOR.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Result<Bytes, NetError> {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(message, &mut bytes);
    written.map_err(|error| NetError::Decode(error.to_string()))?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`NetError::Decode`] if the message is not of the expected form.
pub fn decode<T: DeserializeOwned>(message: &[u8]) -> Result<T, NetError> {
    ciborium::from_reader(message).map_err(|error| NetError::Decode(error.to_string()))
}
