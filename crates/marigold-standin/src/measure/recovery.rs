//! A herd of deaths and of returns, and an outage of the log that a restart falls into.

use std::time::Duration;

use marigold_config::Intent;
use marigold_settings::Profile;

use super::bench::{Bench, mesh_plan, service};
use super::meter::Meter;
use super::{Figure, Findings};
use crate::StandinError;
use crate::backend::BackendPlan;
use crate::fleet::{Mesh, Node};
use crate::log::LogControl;

const DAEMONS: usize = 60;
/// How many of them die at once.
const HERD: usize = 20;
const WAIT: Duration = Duration::from_secs(40);
const DEAD: Duration = Duration::from_secs(8);
const QUIET: Duration = Duration::from_secs(3);
const INTENT: &str = "[service orders]\nwarmup = 0ms\n\
    [route read]\npath = /read\nservice = orders\nidempotent = yes\n";
const CHANGED: &str = "[service orders]\nwarmup = 0ms\n\
    [route read]\npath = /read\nservice = orders\nidempotent = yes\ndeadline = 3s\n";
const AGAIN: &str = "[service orders]\nwarmup = 0ms\n\
    [route read]\npath = /read\nservice = orders\nidempotent = yes\ndeadline = 4s\n";

/// Measures how the mesh comes through a herd of deaths and an outage of the log.
///
/// # Errors
///
/// When a mesh does not start or does not come together again.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    let mut findings = Findings::default();
    findings.note(&format!(
        "{DAEMONS} daemons, of which {HERD} die at once, are dead for 8 s, and come back at once as \
         other incarnations that hold nothing."
    ));
    bench.step("start a mesh");
    let backend = || Some(BackendPlan::new(service("orders")));
    let plan = mesh_plan((0..DAEMONS).map(|_| backend()).collect(), Profile::Time);
    let mut mesh = bench.mesh(&plan, &parse(INTENT)?).await?;
    tokio::time::sleep(QUIET).await;
    let before = Meter::read(&mesh)?;
    tokio::time::sleep(QUIET).await;
    let rest = Meter::read(&mesh)?.since(&before, DAEMONS);

    bench.step("a herd dies, and a change is confirmed");
    let before = Meter::read(&mesh)?;
    die(&mut mesh);
    let case = format!("{HERD} of {DAEMONS} dead");
    let changed = mesh.plan(&parse(CHANGED)?).await?;
    let convergence = mesh.confirm(&changed, WAIT).await?;
    let last = convergence.quantile(1.0).as_secs_f64() * 1_000.0;
    findings.add(
        Figure::new(&case, "a change, the last live daemon holds it", last, "ms")
            .target("at most 11 s"),
    );
    findings.add(
        Figure::new(
            &case,
            "live daemons without it",
            number(convergence.missing),
            "daemons",
        )
        .target("0"),
    );
    tokio::time::sleep(DEAD).await;
    let dead = Meter::read(&mesh)?.since(&before, DAEMONS - HERD);
    findings.add(
        Figure::new(
            &case,
            "control bytes of a live daemon, against rest",
            dead.bytes,
            "B/s",
        )
        .against(rest.bytes),
    );

    bench.step("the herd returns");
    let before = Meter::read(&mesh)?;
    return_herd(&mut mesh).await?;
    let held = mesh.wait_until("return", WAIT, |node| {
        node.is_serving() && node.version() == Some(convergence.version)
    });
    let case = format!("{HERD} of {DAEMONS} return at once");
    let held = held.await?.as_secs_f64();
    findings.add(Figure::new(
        &case,
        "all serve and hold the version after",
        held,
        "s",
    ));
    let known = mesh.wait_for_backends(WAIT).await?.as_secs_f64() + held;
    findings.add(Figure::new(
        &case,
        "all know every backend server after",
        known,
        "s",
    ));
    let back = Meter::read(&mesh)?.since(&before, DAEMONS);
    findings.add(
        Figure::new(
            &case,
            "control bytes of a daemon, against rest",
            back.bytes,
            "B/s",
        )
        .against(rest.bytes)
        .target("at most 26 KB/s"),
    );
    findings.add(
        Figure::new(
            &case,
            "processor time of a daemon, against rest",
            back.core,
            "% of a core",
        )
        .against(rest.core),
    );
    findings.add(Figure::new(
        &case,
        "appends to the log",
        back.appends,
        "1/s",
    ));

    outage(bench, &mut mesh, &mut findings).await?;
    mesh.stop().await?;
    Ok(findings)
}

async fn outage(
    bench: &Bench,
    mesh: &mut Mesh,
    findings: &mut Findings,
) -> Result<(), StandinError> {
    bench.step("the log is down, and the herd dies and returns");
    let down = |down| {
        let order = LogControl {
            down: Some(down),
            ..LogControl::default()
        };
        mesh.log()
            .control(&order)
            .map_err(|error| StandinError::new("control", &"log", &error))
    };
    down(true)?;
    let log = mesh.log().clone();
    die(mesh);
    tokio::time::sleep(QUIET).await;
    return_herd(mesh).await?;
    let version = mesh.nodes()[DAEMONS - 1].version();
    let held = mesh
        .wait_until("return", WAIT, |node| {
            node.is_serving() && node.version() == version
        })
        .await?;
    let case = "the log is down";
    let time = held.as_secs_f64();
    findings.add(Figure::new(
        case,
        "returned daemons serve and hold the version after",
        time,
        "s",
    ));

    let up = LogControl {
        down: Some(false),
        ..LogControl::default()
    };
    log.control(&up)
        .map_err(|error| StandinError::new("control", &"log", &error))?;
    let planned = mesh.plan(&parse(AGAIN)?).await?;
    let convergence = mesh.confirm(&planned, WAIT).await?;
    let last = convergence.quantile(1.0).as_secs_f64() * 1_000.0;
    let case = "the log is up again";
    findings.add(
        Figure::new(case, "a change, the last daemon holds it", last, "ms").target("at most 11 s"),
    );
    findings.add(
        Figure::new(
            case,
            "daemons without it",
            number(convergence.missing),
            "daemons",
        )
        .target("0"),
    );
    Ok(())
}

/// The herd leaves out the first daemons, which are the others' seeds.
fn die(mesh: &mut Mesh) {
    for node in mesh.nodes_mut().iter_mut().skip(DAEMONS / 3).take(HERD) {
        node.abort();
    }
}

async fn return_herd(mesh: &mut Mesh) -> Result<(), StandinError> {
    let herd = mesh.nodes_mut().iter_mut().skip(DAEMONS / 3).take(HERD);
    futures_util::future::try_join_all(herd.map(Node::restart)).await?;
    Ok(())
}

fn parse(text: &str) -> Result<Intent, StandinError> {
    Intent::parse("measure", text)
        .map_err(|faults| StandinError::new("read intent", &"measure", &faults))
}

/// Counts are far below 2^52, so that the conversion is exact.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn number(count: usize) -> f64 {
    count as f64
}
