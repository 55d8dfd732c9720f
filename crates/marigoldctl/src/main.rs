//! The `marigoldctl` program.

fn main() {}
