//! The `marigold-standin` program.

fn main() {}
