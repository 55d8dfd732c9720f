//! `marigoldctl man`.

use std::path::Path;

use clap::CommandFactory;

use super::file_error;
use crate::cli::Arguments;
use crate::output::print_line;
use crate::{CtlError, Outcome};

/// Prints the main man page, or writes the page of every command into `directory`.
pub fn run(directory: Option<&Path>) -> Result<Outcome, CtlError> {
    if let Some(directory) = directory {
        clap_mangen::generate_to(Arguments::command(), directory)
            .map_err(|error| file_error("write man pages to", directory, &error))?;
        return Ok(Outcome::Done);
    }
    let mut buffer = Vec::new();
    clap_mangen::Man::new(Arguments::command())
        .render(&mut buffer)
        .map_err(|error| file_error("render", Path::new("marigoldctl.1"), &error))?;
    print_line!("{}", String::from_utf8_lossy(&buffer));
    Ok(Outcome::Done)
}
