//! Estimate of the memory that a JSON text takes when it is decoded.
//!
//! Answers bodies of legal size that are made of very many short fields: a decoded object of eight
//! bytes takes some hundred.

/// Memory of a decoded object: a map allocates room for several fields at once.
const OBJECT_BYTES: usize = 640;
/// Memory of a decoded list: it allocates room for several values at once.
const LIST_BYTES: usize = 128;
/// Memory of each further value of a list or an object.
const VALUE_BYTES: usize = 96;
/// Memory of a decoded string beside its content.
const STRING_BYTES: usize = 32;

/// Returns an upper estimate of the memory that a JSON text takes as a `serde_json::Value`.
pub fn decoded_json_bytes(text: &[u8]) -> usize {
    let mut total_bytes = text.len();
    let (mut is_in_string, mut is_escaped) = (false, false);
    for byte in text {
        if is_in_string {
            match (is_escaped, byte) {
                (true, _) => is_escaped = false,
                (false, b'\\') => is_escaped = true,
                (false, b'"') => is_in_string = false,
                (false, _) => {}
            }
            continue;
        }
        total_bytes += match byte {
            b'{' => OBJECT_BYTES,
            b'[' => LIST_BYTES,
            b',' => VALUE_BYTES,
            b'"' => {
                is_in_string = true;
                STRING_BYTES
            }
            _ => 0,
        };
    }
    total_bytes
}
