//! Parts of the stand-ins that other test programs share.

pub mod generation;
pub mod text;
