//! Lost and duplicated calls during each fault, and how soon an affected backend server stops
//! receiving work.

use std::pin::pin;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use marigold_settings::Profile;
use marigold_types::{Interval, SlotCount};
use tokio::time::sleep;

use super::bench::{Bench, load_plan, mesh_plan, service};
use super::fault::{self, DAEMONS, Fault, to_f64};
use super::{Figure, Findings};
use crate::StandinError;
use crate::backend::{BackendPlan, ServiceTime};
use crate::load::{Audit, LoadReport, LoadRoute, LoadRun};

/// Number of faults that are measured at the same time, each on a separate mesh.
const PARALLEL_MESHES: usize = 5;
const CALLS_PER_S: u64 = 300;
const LOAD_SECONDS: u64 = 8;
/// Time under load before the fault is injected.
const FAULT_DELAY: Duration = Duration::from_millis(1_500);
const BACKEND_RESTART_DELAY: Interval = Interval::from_millis(500);

/// Results of one fault.
struct FaultResult {
    load: LoadReport,
    audit: Audit,
    extra: Vec<Figure>,
}

/// Injects each fault into a new mesh under load.
///
/// # Errors
///
/// Returns an error if a mesh does not start or a fault cannot be injected.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    let mut findings = Findings::default();
    findings.add_note(&format!(
        "{DAEMONS} daemons with a backend server each (15 slots, 5 ms exponential), \
         {CALLS_PER_S} calls/s for {LOAD_SECONDS} s, three fifths of them may be repeated. The \
         fault comes after 1.5 s and is mended, where it can be, after 3 s. \
         {PARALLEL_MESHES} such meshes run at the same time."
    ));
    findings.add_note(
        "Callers go on calling daemons that have died; those calls are not run, `unreached`. \
         The first case, without a fault, is the baseline of the others.",
    );
    let mut baseline = None;
    let cases = stream::iter(Fault::ALL).map(async |fault| (fault, run_case(bench, fault).await));
    let mut cases = pin!(cases.buffered(PARALLEL_MESHES));
    while let Some((fault, result)) = cases.next().await {
        let result = result?;
        bench.step(fault.name());
        let sent = to_f64(result.load.sent);
        let percent = |count: f64| count * 100.0 / sent;
        let answered = percent(to_f64(result.load.answered()));
        let first = *baseline.get_or_insert(answered);
        let new = |name: &str, value: f64, unit: &str| Figure::new(fault.name(), name, value, unit);
        findings.add(new("calls answered", answered, "%").with_baseline(first));
        findings.add(new("not run", percent(to_f64(result.load.not_run())), "%"));
        findings.add(new(
            "of these, unreached",
            percent(to_f64(result.load.unreached)),
            "%",
        ));
        findings.add(new("unknown", percent(to_f64(result.load.unknown())), "%"));
        findings.add(new("lost", to_f64(result.audit.lost()), "calls").with_target("0"));
        findings.add(new("doubled", to_f64(result.audit.doubled), "calls").with_target("0"));
        findings.figures.extend(result.extra);
        for (name, count) in lost_by_kind(&result.audit) {
            if count > 0 {
                findings.add(new(&format!("lost: {name}"), to_f64(count), "calls"));
            }
        }
        for (reason, count) in &result.load.reasons {
            findings.add(new(
                &format!("not answered: {reason}"),
                to_f64(*count),
                "calls",
            ));
        }
    }
    Ok(findings)
}

fn lost_by_kind(audit: &Audit) -> [(&'static str, u64); 4] {
    [
        ("answered, but not run", audit.answered_unrun),
        ("said not to have run, but ran", audit.false_not_run),
        ("a wrong answer", audit.wrong_answers),
        ("without an end", audit.unfinished),
    ]
}

async fn run_case(bench: &Bench, fault: Fault) -> Result<FaultResult, StandinError> {
    let backend = |index: usize| BackendPlan {
        slots: SlotCount(15),
        time: ServiceTime::Exponential(Interval::from_millis(5)),
        seed: index as u64,
        restart: Some(BACKEND_RESTART_DELAY).filter(|_| fault == Fault::CrashingRequest),
        ..BackendPlan::new(service("orders"))
    };
    let backends = (0..DAEMONS).map(|index| Some(backend(index))).collect();
    let mut mesh = bench
        .start_mesh(&mesh_plan(backends, Profile::Time), &fault::intent(0)?)
        .await?;
    let routes = vec![
        LoadRoute::repeatable("/read/x").with_weight(3),
        LoadRoute::once("/once/x", service("orders")).with_weight(2),
    ];
    let plan = load_plan(mesh.caller_addresses(), routes, CALLS_PER_S, LOAD_SECONDS);
    let load = tokio::spawn(LoadRun::new(plan)?.run());
    sleep(FAULT_DELAY).await;
    let extra = fault.inject(&mut mesh).await?;
    let (load, ledger) = load
        .await
        .map_err(|error| StandinError::new("run load", &fault.name(), &error))?;
    let audit = mesh.audit(&ledger);
    mesh.stop().await?;
    Ok(FaultResult { load, audit, extra })
}
