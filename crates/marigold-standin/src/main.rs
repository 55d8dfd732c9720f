//! The `marigold-standin` program.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use marigold_standin::StandinError;
use marigold_standin::backend::BackendArgs;
use marigold_standin::demo::DemoArgs;
use marigold_standin::load::LoadArgs;
use marigold_standin::log::LogArgs;
use marigold_standin::measure::MeasureArgs;

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
    Backend(BackendArgs),
    Load(LoadArgs),
    Demo(DemoArgs),
    Measure(MeasureArgs),
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
        Command::Backend(args) => block_on(args.run()).map(|()| ExitCode::SUCCESS),
        Command::Demo(args) => block_on(args.run()).map(exit_code),
        Command::Measure(args) => block_on(args.run()).map(|()| ExitCode::SUCCESS),
        Command::Load(args) => block_on(args.run()).map(exit_code),
    }
}

fn block_on<T>(task: impl Future<Output = Result<T, StandinError>>) -> Result<T, StandinError> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| StandinError::new("start", &"runtime", &error))?;
    runtime.block_on(task)
}

fn exit_code(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
