//! `marigoldctl status`.

use marigold_api::{DaemonRow, Status};
use serde::Serialize;

use crate::output::{print_json, say, table};
use crate::{Client, CtlError, Outcome};

/// The status, as JSON.
#[derive(Serialize)]
struct Report<'a> {
    converged: bool,
    #[serde(flatten)]
    status: &'a Status,
}

/// Prints who holds which version.
pub fn run(client: &Client, json: bool) -> Result<Outcome, CtlError> {
    let status: Status = client.get("/v1/status")?.body;
    let converged = status.is_converged();
    if json {
        print_json(&Report {
            converged,
            status: &status,
        })?;
    } else {
        print_status(&status);
    }
    Ok(if converged {
        Outcome::Done
    } else {
        Outcome::Negative
    })
}

fn print_status(status: &Status) {
    let mut table = table(&[
        "daemon",
        "data centre",
        "service",
        "state",
        "version",
        "lag",
        "since",
    ]);
    for row in &status.daemons {
        table.add_row(cells(row));
    }
    say!("{table}");
    for row in &status.daemons {
        for kind in &row.bytes {
            let (address, name) = (row.instance.address, &kind.kind);
            say!(
                "{address} {name}: {} sent, {} received",
                kind.sent,
                kind.received
            );
        }
    }
    let all = status.daemons.len();
    let holding = status.count_holding(status.latest);
    let verdict = if status.is_converged() {
        "converged"
    } else {
        "not converged"
    };
    say!(
        "{verdict}: {holding} of {all} daemons hold version {}",
        status.latest
    );
}

fn cells(row: &DaemonRow) -> [String; 7] {
    let service = row
        .service
        .as_ref()
        .map_or("-".to_owned(), ToString::to_string);
    [
        row.instance.to_string(),
        row.data_centre.to_string(),
        service,
        row.state.to_string(),
        row.version.to_string(),
        row.lag.to_string(),
        row.since.to_string(),
    ]
}
