//! Settings of `deckweight`, which `deckctl check` reads too.

pub mod settings;
