//! Duties towards the platform that one node at a time has.

pub mod usage;
