//! Text generators of the stand-ins, which other test programs use to check received texts.

pub mod engine_text;
pub mod platform_text;
