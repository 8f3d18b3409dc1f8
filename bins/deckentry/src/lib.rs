//! Settings of `deckentry`, as a library so that `deckctl check` can validate settings files.

pub mod settings;
