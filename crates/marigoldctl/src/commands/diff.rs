//! `marigoldctl diff`.

use std::path::Path;

use marigold_api::ConfigDocument;
use marigold_config::{Config, Intent};
use marigold_types::Version;
use serde::Serialize;

use super::read_file;
use crate::output::{print_json, print_line, table};
use crate::{ChangeRow, Client, CtlError, Outcome};

/// The JSON form of the differences.
#[derive(Serialize)]
struct Differences<'a> {
    version: Version,
    fresh: bool,
    changes: &'a [ChangeRow],
}

/// Prints how an intent differs from the configuration in force.
pub fn run(client: &Client, file: &Path, json: bool) -> Result<Outcome, CtlError> {
    let intent = read_intent(file)?;
    let document: ConfigDocument = client.get("/v1/config")?.body;
    let config = document.to_config();
    let changes = config.changes_to(&intent.to_config(config.version));
    let rows = ChangeRow::list(&config, &changes);
    if json {
        print_json(&Differences {
            version: config.version,
            fresh: document.fresh,
            changes: &rows,
        })?;
    } else {
        warn_stale(&document);
        print_changes(&config, &rows);
    }
    if rows.is_empty() {
        Ok(Outcome::Done)
    } else {
        Ok(Outcome::Negative)
    }
}

/// Reads and checks an intent file.
pub fn read_intent(file: &Path) -> Result<Intent, CtlError> {
    let text = read_file(file)?;
    Intent::parse(&file.display().to_string(), &text).map_err(CtlError::Faults)
}

/// Prints `rows`, the changes to `config`, as a table.
pub fn print_changes(config: &Config, rows: &[ChangeRow]) {
    if rows.is_empty() {
        print_line!("version {}: nothing differs", config.version);
        return;
    }
    print_line!("against version {}:", config.version);
    let mut table = table(&["", "resource", "what"]);
    for row in rows {
        table.add_row([row.sign(), &row.resource, &row.fields.join("\n")]);
    }
    print_line!("{table}");
}

fn warn_stale(document: &ConfigDocument) {
    if !document.fresh {
        eprintln!(
            "the platform's log cannot be read; this is the configuration that the daemon holds"
        );
    }
}
