//! `marigoldctl report burn`.

use std::path::Path;

use marigold_request::burn::{BurnReport, ServiceBurn};

use super::{burn_page, file_error};
use crate::output::{print_json, print_line, table};
use crate::{Client, CtlError, Outcome};

/// Prints how fast services use up their error budgets, or writes it to `html`.
pub fn run(client: &Client, html: Option<&Path>, json: bool) -> Result<Outcome, CtlError> {
    let burn = collect(client)?;
    if let Some(file) = html {
        write_page(file, &burn)?;
    }
    if json {
        print_json(&burn)?;
    } else if html.is_none() {
        print_burn(&burn);
    }
    Ok(Outcome::Done)
}

/// Adds up the counts of all daemons given. A daemon that does not answer is counted as missing;
/// the command fails only if none answers.
fn collect(client: &Client) -> Result<BurnReport, CtlError> {
    let mut total = BurnReport::default();
    let mut last = None;
    for &peer in client.daemons() {
        match client.send_to::<BurnReport>(peer, "GET", "/v1/burn", &[]) {
            Ok(burn) => total.merge(&burn),
            Err(fault) => {
                eprintln!("{fault}");
                total.add_missing();
                last = Some(fault);
            }
        }
    }
    match last {
        Some(fault) if total.daemons == 0 => Err(CtlError::Request {
            fault,
            tried: client.daemons().len(),
            may_be_applied: false,
        }),
        _ => Ok(total),
    }
}

fn write_page(file: &Path, burn: &BurnReport) -> Result<(), CtlError> {
    let page = burn_page::render(burn);
    std::fs::write(file, page).map_err(|error| file_error("write", file, &error))
}

fn print_burn(burn: &BurnReport) {
    let mut table = table(&burn_page::HEADER);
    for service in &burn.services {
        table.add_row(burn_page::row_cells(service));
    }
    print_line!("{table}");
    print_line!("{}", burn_page::coverage(burn));
    for service in burn.services.iter().filter(|service| service.is_partial()) {
        print_partial(service);
    }
}

fn print_partial(service: &ServiceBurn) {
    let (name, covered) = (&service.service, service.covered);
    print_line!(
        "{name}: counted over {covered} of {}",
        service.objective.window
    );
}
