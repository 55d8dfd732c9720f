//! `marigoldctl report burn`.

use std::path::Path;

use marigold_request::burn::{BurnReport, ServiceBurn};

use super::{burn_page, file_error};
use crate::output::{print_json, say, table};
use crate::{Client, CtlError, Outcome};

/// Prints how fast services use up their objectives.
pub fn run(client: &Client, html: Option<&Path>, json: bool) -> Result<Outcome, CtlError> {
    let burn = gather(client)?;
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

/// Adds up what each daemon given has counted; at least one has to answer.
fn gather(client: &Client) -> Result<BurnReport, CtlError> {
    let mut total = BurnReport::default();
    let mut last = None;
    for &peer in client.daemons() {
        match client.ask_one::<BurnReport>(peer, "GET", "/v1/burn", &[]) {
            Ok(burn) => total.merge(&burn),
            Err(fault) => {
                eprintln!("{fault}");
                total.add_missing();
                last = Some(fault);
            }
        }
    }
    match last {
        Some(fault) if total.daemons == 0 => Err(CtlError::Servers {
            fault,
            asked: client.daemons().len(),
            unclear: false,
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
        table.add_row(burn_page::cells(service));
    }
    say!("{table}");
    say!("{}", burn_page::coverage(burn));
    for service in burn.services.iter().filter(|service| service.is_partial()) {
        print_partial(service);
    }
}

fn print_partial(service: &ServiceBurn) {
    let (name, covered) = (&service.service, service.covered);
    say!(
        "{name}: counted over {covered} of {}",
        service.objective.window
    );
}
