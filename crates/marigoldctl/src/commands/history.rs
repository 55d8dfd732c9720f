//! `marigoldctl history`.

use std::fmt::Write;

use marigold_api::HistoryDocument;
use marigold_config::{ConfirmOutcome, HistoryEntry};

use crate::output::{print_json, print_line, table};
use crate::{Client, CtlError, Outcome, clock};

/// The number of characters of a plan's id in a table.
const SHORT_ID_CHARS: usize = 12;

/// Prints the last confirmations and their results.
pub fn run(client: &Client, json: bool) -> Result<Outcome, CtlError> {
    let document: HistoryDocument = client.get("/v1/history")?.body;
    if json {
        print_json(&document)?;
        return Ok(Outcome::Done);
    }
    if !document.fresh {
        eprintln!(
            "the platform's log cannot be read; this is the history that the daemon has read before"
        );
    }
    let mut table = table(&[
        "time (UTC)",
        "plan",
        "by",
        "confirmed by",
        "changes",
        "what came of it",
    ]);
    for entry in &document.entries {
        table.add_row(cells(entry));
    }
    print_line!("{table}");
    print_line!("version {} is in force", document.version);
    Ok(Outcome::Done)
}

fn cells(entry: &HistoryEntry) -> [String; 6] {
    let changed: Vec<String> = entry.changed.iter().map(ToString::to_string).collect();
    let mut changed = changed.join("\n");
    if entry.count > entry.changed.len() {
        let _ = write!(changed, "\nand {} more", entry.count - entry.changed.len());
    }
    let outcome = match &entry.outcome {
        ConfirmOutcome::Accepted { version } => format!("version {version}"),
        ConfirmOutcome::Rejected { reason } => format!("refused: {reason}"),
    };
    let mut plan = entry.plan.to_string();
    plan.truncate(SHORT_ID_CHARS);
    [
        clock::display_time(entry.time),
        plan,
        entry.author.to_string(),
        entry.operator.to_string(),
        changed,
        outcome,
    ]
}
