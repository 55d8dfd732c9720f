//! `marigoldctl check`.

use std::path::Path;

use marigold_config::Intent;
use marigold_ini::Faults;
use marigold_settings::Settings;
use serde::Serialize;

use super::read_file;
use crate::output::{print_json, print_line};
use crate::{CtlError, Outcome};

/// The JSON form of one fault.
#[derive(Serialize)]
struct FaultRow<'a> {
    file: &'a str,
    line: u32,
    setting: &'a str,
    problem: &'a str,
    allowed: &'a str,
}

/// Checks an intent file, or a settings file if `settings`. JSON output lists the faults; the
/// returned error prints them as text in both cases.
pub fn run(file: &Path, settings: bool, json: bool) -> Result<Outcome, CtlError> {
    let text = read_file(file)?;
    let name = file.display().to_string();
    let checked = if settings {
        Settings::parse(&name, &text).map(|_| ())
    } else {
        Intent::parse(&name, &text).map(|_| ())
    };
    if json {
        let faults = checked.as_ref().err().map_or(&[][..], Faults::list);
        let rows = faults.iter().map(|fault| FaultRow {
            file: &fault.file,
            line: fault.line,
            setting: &fault.setting,
            problem: &fault.problem,
            allowed: &fault.allowed,
        });
        print_json(&rows.collect::<Vec<_>>())?;
    }
    checked.map_err(CtlError::Faults)?;
    if !json {
        print_line!("{name}: no faults");
    }
    Ok(Outcome::Done)
}
