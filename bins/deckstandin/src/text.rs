//! Text that the engine stand-in makes, so that receivers can check it.

use deck_core::hash::hash64;

/// Tokens whose text identifies a prompt.
pub const KEY_TOKENS: u32 = 4;
/// Bytes of one token's text.
const TOKEN_BYTES: usize = 4;

/// Returns the text of the tokens `from..to`; it depends on the prompt and the position only.
pub fn text_of(prompt: &str, from: u32, to: u32) -> String {
    let base = hash64(prompt.as_bytes());
    (from..to)
        .map(|position| {
            let token = hash64(&(base ^ u64::from(position)).to_le_bytes());
            format!("{:03x} ", token & 0xfff)
        })
        .collect()
}

/// Returns the beginning of a text by which the texts of two prompts differ.
pub fn text_key(text: &str) -> &str {
    text.get(..KEY_TOKENS as usize * TOKEN_BYTES).unwrap_or(text)
}
