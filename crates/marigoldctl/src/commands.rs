//! The commands, one module each.

mod burn_page;
mod burn_report;
mod check;
mod completions;
mod confirm;
mod diff;
mod drain;
mod explain;
mod history;
mod keys;
mod man;
mod plan;
mod request_report;
mod show;
mod sidecar_log;
mod status;

use std::path::Path;
use std::sync::Arc;

use crate::cli::{Arguments, Command, Report};
use crate::output::print_line;
use crate::{Client, CtlError, Outcome};

/// Runs the command that `arguments` name.
///
/// # Errors
///
/// When the command fails; [`CtlError::code`] is the exit code.
pub fn run(arguments: &Arguments) -> Result<Outcome, CtlError> {
    let json = arguments.json;
    match &arguments.command {
        Command::Check { file, settings } => check::run(file, *settings, json),
        Command::Plan {
            file,
            life,
            dry_run,
        } => plan::run(&client(arguments)?, file, *life, *dry_run, json),
        Command::Confirm {
            plan,
            wait,
            timeout,
        } => confirm::run(&client(arguments)?, *plan, wait.then_some(*timeout), json),
        Command::Show { plan } => show::run(&client(arguments)?, *plan, json),
        Command::Status { lagging } => status::run(&client(arguments)?, *lagging, json),
        Command::History => history::run(&client(arguments)?, json),
        Command::Diff { file } => diff::run(&client(arguments)?, file, json),
        Command::Drain => drain::run(&client(arguments)?, json),
        Command::Explain { request, files } => explain::run(request, files, json),
        Command::Report(Report::Burn { html }) => {
            burn_report::run(&client(arguments)?, html.as_deref(), json)
        }
        Command::Report(Report::Requests {
            files,
            since,
            outcome,
        }) => request_report::run(files, *since, outcome.as_deref(), json),
        Command::Keys(keys) => keys::run(keys, json),
        Command::Completions { shell } => Ok(completions::run(*shell)),
        Command::Man { directory } => man::run(directory.as_deref()),
        Command::Reference => {
            print_line!("{}", crate::reference().trim_end());
            Ok(Outcome::Done)
        }
    }
}

/// Builds the client from `--daemon`, `--key` and `--answer-within`.
fn client(arguments: &Arguments) -> Result<Client, CtlError> {
    let key = arguments.key.as_deref().ok_or(CtlError::Usage(
        "no operator key: give --key FILE or set MARIGOLD_KEY",
    ))?;
    let key = Client::read_key(key)?;
    let timeout = arguments.answer_within.duration();
    Client::new(arguments.daemon.clone(), key, timeout)
}

/// Reads a text file; the error names its path.
fn read_file(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|error| file_error("read", path, &error))
}

fn file_error(operation: &'static str, path: &Path, error: &std::io::Error) -> CtlError {
    CtlError::File {
        operation,
        path: path.to_owned(),
        reason: Arc::from(error.to_string()),
    }
}
