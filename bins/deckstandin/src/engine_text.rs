//! Text that the engine stand-in generates. It is deterministic, so that receivers can check it.

use deck_core::hash::hash64;

/// Number of leading tokens whose text identifies a prompt.
pub const KEY_TOKENS: u32 = 4;
/// Length of the text of one token: three hexadecimal digits and a space.
const TOKEN_BYTES: usize = 4;

/// Returns the text of the tokens `from..to`, which depends only on the prompt and the positions.
pub fn generated_text(prompt: &str, from: u32, to: u32) -> String {
    let prompt_hash = hash64(prompt.as_bytes());
    (from..to)
        .map(|position| {
            let token_hash = hash64(&(prompt_hash ^ u64::from(position)).to_le_bytes());
            format!("{:03x} ", token_hash & 0xfff)
        })
        .collect()
}

/// Returns the first [`KEY_TOKENS`] tokens of a text, which differ between prompts.
pub fn text_key(text: &str) -> &str {
    text.get(..KEY_TOKENS as usize * TOKEN_BYTES).unwrap_or(text)
}
