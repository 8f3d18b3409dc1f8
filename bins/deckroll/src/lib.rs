//! Settings of `deckroll`, which `deckctl check` reads too.

pub mod settings;
