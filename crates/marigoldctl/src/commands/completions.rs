//! `marigoldctl completions`.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::Outcome;
use crate::cli::Arguments;
use crate::output::print_line;

/// Prints the completion script for a shell.
pub fn run(shell: Shell) -> Outcome {
    let mut buffer = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "marigoldctl", &mut buffer);
    print_line!("{}", String::from_utf8_lossy(&buffer));
    Outcome::Done
}
