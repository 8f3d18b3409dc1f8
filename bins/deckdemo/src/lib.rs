//! Parts of the demonstration that the capacity measurement uses too.

pub mod error;
pub mod tools;
