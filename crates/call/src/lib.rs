//! See docs/design.md.
