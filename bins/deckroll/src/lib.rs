//! Settings of `deckroll`, as a library so that `deckctl check` can validate settings files.

pub mod settings;
