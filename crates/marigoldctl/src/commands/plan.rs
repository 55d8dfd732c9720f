//! `marigoldctl plan`.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use marigold_api::{ConfigDocument, PlanStored, Status};
use marigold_config::{Change, Config, Plan, PlanId, SignedPlan};
use marigold_types::{DataCentre, Interval, RecordTime, Version};
use serde::Serialize;

use super::diff::{print_changes, read_intent};
use crate::changes::services_of;
use crate::output::{print_json, say, table};
use crate::{ChangeRow, Client, CtlError, Outcome, clock};

/// The plan, as JSON.
#[derive(Serialize)]
struct Planned {
    /// Absent when nothing changes or nothing was stored.
    plan: Option<PlanId>,
    base: Version,
    expires: RecordTime,
    changes: Vec<ChangeRow>,
    places: Vec<Place>,
}

/// Where a plan takes effect.
#[derive(Debug, Serialize)]
struct Place {
    data_centre: DataCentre,
    /// The daemons there, which all route by the plan.
    daemons: usize,
    /// The backend servers there of each service that the plan is about.
    servers: BTreeMap<String, usize>,
}

/// Shows what an intent would change and where, and stores it.
pub fn run(
    client: &Client,
    file: &Path,
    life: Interval,
    dry_run: bool,
    json: bool,
) -> Result<Outcome, CtlError> {
    let intent = read_intent(file)?;
    let document: ConfigDocument = client.get("/v1/config")?.body;
    if !document.fresh && !dry_run {
        return Err(CtlError::StaleBase);
    }
    let config = document.to_config();
    let changes = config.changes_to(&intent.to_config(config.version));
    let status: Status = client.get("/v1/status")?.body;
    let mut planned = Planned {
        plan: None,
        base: config.version,
        expires: clock::later(clock::now(), life),
        changes: ChangeRow::list(&config, &changes),
        places: places_of(&status, &config, &changes),
    };
    if !json {
        print_changes(&config, &planned.changes);
        print_places(&planned);
    }

    let mut outcome = Outcome::Done;
    if !changes.is_empty() && !dry_run {
        let stored = store(client, &config, planned.expires, changes)?;
        planned.plan = Some(stored.plan);
        if !stored.certain {
            outcome = Outcome::NotYetKnown;
        }
    }
    if json {
        print_json(&planned)?;
    } else {
        print_plan(&planned, outcome);
    }
    Ok(outcome)
}

fn store(
    client: &Client,
    config: &Config,
    expires: RecordTime,
    changes: Vec<Change>,
) -> Result<PlanStored, CtlError> {
    let key = client.key();
    let plan = Plan::new(config, key.operator().clone(), expires, changes);
    let signed = SignedPlan::sign(plan, key);
    Ok(client.post("/v1/plans", &signed)?.body)
}

fn places_of(status: &Status, config: &Config, changes: &[Change]) -> Vec<Place> {
    let services: BTreeSet<String> = changes
        .iter()
        .flat_map(|change| services_of(config, change))
        .collect();
    let mut places: BTreeMap<DataCentre, Place> = BTreeMap::new();
    for row in &status.daemons {
        let place = places
            .entry(row.data_centre.clone())
            .or_insert_with(|| Place {
                data_centre: row.data_centre.clone(),
                daemons: 0,
                servers: BTreeMap::new(),
            });
        place.daemons += 1;
        let service = row.service.as_ref().map(ToString::to_string);
        if let Some(service) = service.filter(|service| services.contains(service)) {
            *place.servers.entry(service).or_default() += 1;
        }
    }
    places.into_values().collect()
}

fn print_places(planned: &Planned) {
    if planned.changes.is_empty() {
        return;
    }
    say!("takes effect on every daemon that this one knows:");
    let mut table = table(&["data centre", "daemons", "backend servers concerned"]);
    for place in &planned.places {
        let servers = place.servers.iter();
        let servers: Vec<String> = servers
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        table.add_row([
            place.data_centre.to_string(),
            place.daemons.to_string(),
            servers.join("\n"),
        ]);
    }
    say!("{table}");
}

fn print_plan(planned: &Planned, outcome: Outcome) {
    let Some(plan) = planned.plan else {
        return;
    };
    say!("plan {plan}");
    say!("  confirm it before {}:", clock::display(planned.expires));
    say!("  marigoldctl confirm {plan} --wait");
    if outcome == Outcome::NotYetKnown {
        eprintln!("not yet known whether the log took the plan; run the same command again");
    }
}
