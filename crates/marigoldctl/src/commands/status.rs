//! `marigoldctl status`.

use marigold_api::{DaemonStatus, Status};
use serde::Serialize;

use crate::output::{print_json, print_line, table};
use crate::{Client, CtlError, Outcome, clock};

/// The JSON form of the status.
#[derive(Serialize)]
struct StatusResult<'a> {
    converged: bool,
    #[serde(flatten)]
    status: &'a Status,
}

/// Prints the version that each daemon holds; with `lagging`, only of daemons behind the latest
/// one. The outcome is negative when the mesh has not converged.
pub fn run(client: &Client, lagging: bool, json: bool) -> Result<Outcome, CtlError> {
    let status: Status = client.get("/v1/status")?.body;
    let converged = status.is_converged();
    let (all, holding) = (status.daemons.len(), status.count_holding(status.latest));
    let mut shown = status;
    shown
        .daemons
        .retain(|row| !lagging || row.version < shown.latest);
    if json {
        print_json(&StatusResult {
            converged,
            status: &shown,
        })?;
    } else {
        print_status(&shown);
        let convergence = if converged {
            "converged"
        } else {
            "not converged"
        };
        let latest = shown.latest;
        print_line!("{convergence}: {holding} of {all} daemons hold version {latest}");
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
        table.add_row(row_cells(row));
    }
    print_line!("{table}");
    for row in &status.daemons {
        for kind in &row.bytes {
            let (address, name) = (row.instance.address, &kind.kind);
            print_line!(
                "{address} {name}: {} sent, {} received",
                kind.sent,
                kind.received
            );
        }
    }
}

fn row_cells(row: &DaemonStatus) -> [String; 7] {
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
        clock::display_interval(row.since),
    ]
}
