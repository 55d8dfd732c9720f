//! The `marigoldctl` program: parses the arguments, runs the command and exits with its exit code.

use std::process::ExitCode;

use clap::Parser;
use marigoldctl::{Arguments, run};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(outcome) => outcome.code().into(),
        Err(error) => {
            eprintln!("marigoldctl: {error}");
            error.code().into()
        }
    }
}
