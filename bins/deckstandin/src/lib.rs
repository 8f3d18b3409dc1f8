//! What the stand-ins generate and configure, for the checks of other test programs.

pub mod engine_text;
pub mod platform_text;

/// Number of targets to which the platform's configuration allows a plain request or a reward call to be
/// sent.
pub const PLAIN_ATTEMPTS: usize = 2;
