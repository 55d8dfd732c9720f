//! The `marigoldd` program: parses its arguments, sets up and runs.

fn main() {}
