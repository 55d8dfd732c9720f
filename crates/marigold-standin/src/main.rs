//! The `marigold-standin` program.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use marigold_standin::StandinError;
use marigold_standin::log::LogArgs;

/// Stand-ins and measurements of marigoldproxy; nothing here is part of a running mesh.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Log(LogArgs),
}

fn main() -> ExitCode {
    let result = run(Cli::parse().command);
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("marigold-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode, StandinError> {
    match command {
        Command::Log(args) => args.run().map(|()| ExitCode::SUCCESS),
    }
}
