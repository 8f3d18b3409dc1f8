//! See docs/design.md.

fn main() {}
