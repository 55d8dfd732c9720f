//! The command line arguments of `marigoldd`.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use clap_complete::Shell;

/// The daemon of marigoldproxy, one beside each backend server.
#[derive(Debug, Parser)]
#[command(name = "marigoldd", version)]
pub struct Arguments {
    /// The settings file (INI); see docs/SETTINGS.md.
    #[arg(long, short, value_name = "FILE", default_value = "marigoldd.ini")]
    pub settings: PathBuf,

    /// Check the settings and the files they name, report every fault, and exit.
    #[arg(long)]
    pub check: bool,

    /// What to do instead of running.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What `marigoldd` does besides running.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Print the settings reference as Markdown.
    Reference,
    /// Print the completions of a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the man page.
    Man,
}
