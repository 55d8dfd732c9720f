//! The arguments of `marigoldctl`. The doc comments of arguments and commands are their help texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use marigold_config::PlanId;
use marigold_types::{Address, Interval, OperatorName};

use crate::DaemonUrl;

/// The operators' command line of marigoldproxy.
///
/// An intent file, kept in version control, declares the whole configuration. `plan` shows and
/// stores what would change, `confirm` puts it in force on every proxy.
#[derive(Debug, Parser)]
#[command(name = "marigoldctl", version)]
pub struct Arguments {
    /// The URL of a daemon, as `http://10.0.0.1:9001`; with several, the next one is tried when
    /// one is down.
    #[arg(
        long,
        global = true,
        value_name = "URL",
        env = "MARIGOLD_DAEMON",
        value_delimiter = ','
    )]
    pub daemon: Vec<DaemonUrl>,

    /// The operator's key file; `marigoldctl keys operator` makes one.
    #[arg(long, global = true, value_name = "FILE", env = "MARIGOLD_KEY")]
    pub key: Option<PathBuf>,

    /// How long to wait for the response of one daemon.
    #[arg(long, global = true, value_name = "TIME", default_value = "30s")]
    pub answer_within: Interval,

    /// Print the result as JSON.
    #[arg(long, global = true)]
    pub json: bool,

    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check an intent file, or a daemon's settings, and report every fault at once.
    Check {
        /// The file.
        file: PathBuf,
        /// The file holds a daemon's settings.
        #[arg(long)]
        settings: bool,
    },
    /// Show what an intent would change and where, and store that as a plan.
    Plan {
        /// The intent file: the whole configuration; what it does not declare is removed.
        file: PathBuf,
        /// How long the plan can be confirmed after it is made.
        #[arg(long, value_name = "TIME", default_value = "1h")]
        life: Interval,
        /// Show the changes without storing a plan.
        #[arg(long)]
        dry_run: bool,
    },
    /// Put a stored plan in force; running it again is safe.
    Confirm {
        /// The plan's id, as `plan` printed it.
        plan: PlanId,
        /// Wait until every daemon holds the new version.
        #[arg(long)]
        wait: bool,
        /// How long to wait with `--wait`.
        #[arg(long, value_name = "TIME", default_value = "60s")]
        timeout: Interval,
    },
    /// Show a stored plan and its state.
    Show {
        /// The plan's id.
        plan: PlanId,
    },
    /// Show which daemon holds which version; the exit code tells whether the mesh has converged.
    Status {
        /// Show only the daemons that do not hold the latest version.
        #[arg(long)]
        lagging: bool,
    },
    /// Show the last confirmations and their results.
    History,
    /// Show how an intent differs from the configuration in force; the exit code
    /// tells whether it does.
    Diff {
        /// The intent file.
        file: PathBuf,
    },
    /// Drain the first daemon given: it takes no new work and exits once it has none left.
    Drain,
    /// Show from the log lines of sidecars what happened to one request and why.
    Explain {
        /// The request's id.
        request: String,
        /// Log files of any number of sidecars; standard input if none is given.
        files: Vec<PathBuf>,
    },
    /// Show reports.
    #[command(subcommand)]
    Report(Report),
    /// Make keys and certificates.
    #[command(subcommand)]
    Keys(Keys),
    /// Print the completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the man page, or write one for each command into a directory.
    Man {
        /// The directory to write the man pages to.
        directory: Option<PathBuf>,
    },
    /// Print the text of docs/COMMANDS.md.
    #[command(hide = true)]
    Reference,
}

/// The reports.
#[derive(Debug, Subcommand)]
pub enum Report {
    /// Show how fast services use up their error budgets, as counted by the daemons given.
    Burn {
        /// Write the report as an HTML page to this file.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Count from the log lines of sidecars how requests ended and why.
    Requests {
        /// Log files of any number of sidecars; standard input if none is given.
        files: Vec<PathBuf>,
        /// Count only requests that ended within this time before the last log line.
        #[arg(long, value_name = "TIME")]
        since: Option<Interval>,
        /// Count only requests with this outcome.
        #[arg(long, value_name = "OUTCOME", value_parser = ["answered", "not_run", "unknown", "invalid"])]
        outcome: Option<String>,
    },
}

/// The commands about keys.
#[derive(Debug, Subcommand)]
pub enum Keys {
    /// Make the mesh's certificate authority, the daemons' common secret, and the root operator.
    Init {
        /// The directory to write the files to; none of them may exist yet.
        directory: PathBuf,
        /// The root operator's name.
        #[arg(long, value_name = "NAME", default_value = "root")]
        operator: OperatorName,
    },
    /// Issue a daemon's certificate.
    Issue(Issue),
    /// Make an operator's key and print the section that declares it.
    Operator {
        /// The operator's name.
        name: OperatorName,
        /// The directory to write the key file to.
        #[arg(long, value_name = "DIR", default_value = ".")]
        directory: PathBuf,
    },
}

/// The arguments of `keys issue`.
#[derive(Debug, Args)]
pub struct Issue {
    /// The directory that `keys init` wrote to; the certificate is written there, too.
    pub directory: PathBuf,
    /// Where the daemon listens for other daemons, as `[daemon] address` of its settings.
    #[arg(long, value_name = "IP:PORT")]
    pub address: Address,
}
