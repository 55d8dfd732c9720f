//! The `marigoldd` program.

mod cli;
mod run;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use clap_complete::generate;

use cli::{Arguments, Command};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command {
        None => run::run(&arguments),
        Some(Command::Reference) => {
            print!("{}", marigold_settings::render_reference());
            ExitCode::SUCCESS
        }
        Some(Command::Completions { shell }) => {
            let mut command = Arguments::command();
            generate(shell, &mut command, "marigoldd", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
        Some(Command::Man) => print_man(),
    }
}

fn print_man() -> ExitCode {
    match clap_mangen::Man::new(Arguments::command()).render(&mut std::io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => run::fail(&error),
    }
}
