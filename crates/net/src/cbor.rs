//! CBOR encoding of the messages between nodes.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::NetError;

/// Encodes a message as CBOR.
///
/// # Errors
///
/// Returns [`NetError::Decode`] if the value cannot be represented in CBOR.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Result<Bytes, NetError> {
    let mut bytes = Vec::new();
    let result = ciborium::into_writer(message, &mut bytes);
    result.map_err(|error| NetError::Decode(error.to_string()))?;
    Ok(Bytes::from(bytes))
}

/// Decodes a CBOR message.
///
/// # Errors
///
/// Returns [`NetError::Decode`] if the bytes are not valid CBOR or do not match `T`.
pub fn decode<T: DeserializeOwned>(message: &[u8]) -> Result<T, NetError> {
    ciborium::from_reader(message).map_err(|error| NetError::Decode(error.to_string()))
}
