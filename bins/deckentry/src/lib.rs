//! Settings of `deckentry`, which `deckctl check` reads too.

pub mod settings;
