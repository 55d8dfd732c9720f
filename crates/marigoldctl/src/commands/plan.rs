//! `marigoldctl plan`.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use marigold_api::{ConfigDocument, PlanStored, Status};
use marigold_config::{Change, Config, Plan, PlanId, SignedPlan};
use marigold_types::{DataCentre, Interval, RecordTime, Version};
use serde::Serialize;

use super::diff::{print_changes, read_intent};
use crate::changes::affected_services;
use crate::output::{print_json, print_line, table};
use crate::{ChangeRow, Client, CtlError, Outcome, clock};

/// The JSON form of the plan.
#[derive(Serialize)]
struct Planned {
    /// The id; null when nothing changes or with `--dry-run`.
    plan: Option<PlanId>,
    base: Version,
    expires: RecordTime,
    changes: Vec<ChangeRow>,
    #[serde(rename = "places")]
    affected: Vec<AffectedDataCentre>,
}

/// What a plan affects in one data centre.
#[derive(Debug, Serialize)]
struct AffectedDataCentre {
    data_centre: DataCentre,
    /// The number of daemons, all of which apply the plan's routes.
    daemons: usize,
    /// The number of backend servers of each affected service.
    #[serde(rename = "servers")]
    backend_servers: BTreeMap<String, usize>,
}

/// Prints what an intent would change in which data centres and, unless `dry_run`, stores it as a
/// plan that can be confirmed during `lifetime`.
pub fn run(
    client: &Client,
    file: &Path,
    lifetime: Interval,
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
        expires: clock::add(clock::now(), lifetime),
        changes: ChangeRow::list(&config, &changes),
        affected: affected_data_centres(&status, &config, &changes),
    };
    if !json {
        print_changes(&config, &planned.changes);
        print_affected(&planned);
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

fn affected_data_centres(
    status: &Status,
    config: &Config,
    changes: &[Change],
) -> Vec<AffectedDataCentre> {
    let services: BTreeSet<String> = changes
        .iter()
        .flat_map(|change| affected_services(config, change))
        .collect();
    let mut data_centres: BTreeMap<DataCentre, AffectedDataCentre> = BTreeMap::new();
    for row in &status.daemons {
        let affected = data_centres
            .entry(row.data_centre.clone())
            .or_insert_with(|| AffectedDataCentre {
                data_centre: row.data_centre.clone(),
                daemons: 0,
                backend_servers: BTreeMap::new(),
            });
        affected.daemons += 1;
        let service = row.service.as_ref().map(ToString::to_string);
        if let Some(service) = service.filter(|service| services.contains(service)) {
            *affected.backend_servers.entry(service).or_default() += 1;
        }
    }
    data_centres.into_values().collect()
}

fn print_affected(planned: &Planned) {
    if planned.changes.is_empty() {
        return;
    }
    print_line!("takes effect on every daemon that this one knows:");
    let mut table = table(&["data centre", "daemons", "backend servers concerned"]);
    for affected in &planned.affected {
        let servers = affected.backend_servers.iter();
        let servers: Vec<String> = servers
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        table.add_row([
            affected.data_centre.to_string(),
            affected.daemons.to_string(),
            servers.join("\n"),
        ]);
    }
    print_line!("{table}");
}

fn print_plan(planned: &Planned, outcome: Outcome) {
    let Some(plan) = planned.plan else {
        return;
    };
    print_line!("plan {plan}");
    print_line!(
        "  confirm it before {}:",
        clock::display_time(planned.expires)
    );
    print_line!("  marigoldctl confirm {plan} --wait");
    if outcome == Outcome::NotYetKnown {
        eprintln!("not yet known whether the log has stored the plan; run the same command again");
    }
}
