//! Lost and doubled calls in each fault, and how soon work stops.

use std::pin::pin;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use marigold_settings::Profile;
use marigold_types::{Interval, SlotCount};
use tokio::time::sleep;

use super::bench::{Bench, load_plan, mesh_plan, service};
use super::fault::{self, DAEMONS, Fault, count};
use super::{Figure, Findings};
use crate::StandinError;
use crate::backend::{BackendPlan, ServiceTime};
use crate::load::{Audit, LoadReport, LoadRoute, LoadRun};

/// Faults that are brought about at the same time, each on a mesh of its own.
const AT_ONCE: usize = 5;
const RATE: u64 = 300;
const SECONDS: u64 = 8;
/// The load runs so long before the fault.
const BEFORE: Duration = Duration::from_millis(1_500);
const RESTART: Interval = Interval::from_millis(500);

/// What a fault came to.
struct Seen {
    load: LoadReport,
    audit: Audit,
    extra: Vec<Figure>,
}

/// Brings about each fault on a fresh mesh under load.
///
/// # Errors
///
/// When a mesh does not start.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    let mut findings = Findings::default();
    findings.note(&format!(
        "{DAEMONS} daemons with a backend server each (15 slots, 5 ms exponential), {RATE} calls/s \
         for {SECONDS} s, three fifths of them may be repeated. The fault comes after 1.5 s and is \
         mended, where it can be, after 3 s. {AT_ONCE} such meshes run at the same time."
    ));
    findings.note(
        "Callers go on calling daemons that have died; those calls are not run, `unreached`. \
         The first case, without a fault, is the baseline of the others.",
    );
    let mut baseline = None;
    let cases = stream::iter(Fault::ALL).map(async |fault| (fault, run(bench, fault).await));
    let mut cases = pin!(cases.buffered(AT_ONCE));
    while let Some((fault, seen)) = cases.next().await {
        let seen = seen?;
        bench.step(fault.name());
        let sent = count(seen.load.sent);
        let share = |count: f64| count * 100.0 / sent;
        let answered = share(count(seen.load.answered()));
        let first = *baseline.get_or_insert(answered);
        let new = |name: &str, value: f64, unit: &str| Figure::new(fault.name(), name, value, unit);
        findings.add(new("calls answered", answered, "%").against(first));
        findings.add(new("not run", share(count(seen.load.not_run())), "%"));
        findings.add(new(
            "of these, unreached",
            share(count(seen.load.unreached)),
            "%",
        ));
        findings.add(new("unknown", share(count(seen.load.unknown())), "%"));
        findings.add(new("lost", count(seen.audit.lost()), "calls").target("0"));
        findings.add(new("doubled", count(seen.audit.doubled), "calls").target("0"));
        findings.figures.extend(seen.extra);
        for (name, number) in kinds(&seen.audit) {
            if number > 0 {
                findings.add(new(&format!("lost: {name}"), count(number), "calls"));
            }
        }
        for (reason, number) in &seen.load.reasons {
            findings.add(new(
                &format!("not answered: {reason}"),
                count(*number),
                "calls",
            ));
        }
    }
    Ok(findings)
}

fn kinds(audit: &Audit) -> [(&'static str, u64); 4] {
    [
        ("answered, but not run", audit.answered_unrun),
        ("said not to have run, but ran", audit.false_not_run),
        ("a wrong answer", audit.wrong_answers),
        ("without an end", audit.unfinished),
    ]
}

async fn run(bench: &Bench, fault: Fault) -> Result<Seen, StandinError> {
    let backend = |at: usize| BackendPlan {
        slots: SlotCount(15),
        time: ServiceTime::Exponential(Interval::from_millis(5)),
        seed: at as u64,
        restart: Some(RESTART).filter(|_| fault == Fault::Poison),
        ..BackendPlan::new(service("orders"))
    };
    let backends = (0..DAEMONS).map(|at| Some(backend(at))).collect();
    let mut mesh = bench
        .mesh(&mesh_plan(backends, Profile::Time), &fault::intent(0)?)
        .await?;
    let routes = vec![
        LoadRoute::repeatable("/read/x").with_weight(3),
        LoadRoute::once("/once/x", service("orders")).with_weight(2),
    ];
    let plan = load_plan(mesh.callers(), routes, RATE, SECONDS);
    let load = tokio::spawn(LoadRun::new(plan)?.run());
    sleep(BEFORE).await;
    let extra = fault.bring_about(&mut mesh).await?;
    let (load, ledger) = load
        .await
        .map_err(|error| StandinError::new("run load", &fault.name(), &error))?;
    let audit = mesh.audit(&ledger);
    mesh.stop().await?;
    Ok(Seen { load, audit, extra })
}
