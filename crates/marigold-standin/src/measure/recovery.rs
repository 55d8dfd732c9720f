//! Recovery from the simultaneous failure and restart of many daemons, also during a log outage.

use std::ops::Range;
use std::time::Duration;

use marigold_config::Intent;
use marigold_settings::Profile;

use super::bench::{Bench, mesh_plan, service};
use super::snapshot::MeshSnapshot;
use super::{Figure, Findings};
use crate::StandinError;
use crate::backend::BackendPlan;
use crate::fleet::{Mesh, Node};
use crate::log::LogControl;

const DAEMONS: usize = 60;
/// Number of daemons that fail at the same time.
const GROUP_SIZE: usize = 20;
/// The group that fails while the log is available, and the one that fails during its outage. Both
/// exclude the first daemons, which are the seeds of the others.
const FIRST_GROUP: Range<usize> = DAEMONS - 2 * GROUP_SIZE..DAEMONS - GROUP_SIZE;
const SECOND_GROUP: Range<usize> = DAEMONS - GROUP_SIZE..DAEMONS;
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(40);
const DOWNTIME: Duration = Duration::from_secs(8);
const REST_WINDOW: Duration = Duration::from_secs(3);
const INTENT: &str = "[service orders]\nwarmup = 0ms\n\
    [route read]\npath = /read\nservice = orders\nidempotent = yes\n";
const CHANGED_INTENT: &str = "[service orders]\nwarmup = 0ms\n\
    [route read]\npath = /read\nservice = orders\nidempotent = yes\ndeadline = 3s\n";
const SECOND_CHANGED_INTENT: &str = "[service orders]\nwarmup = 0ms\n\
    [route read]\npath = /read\nservice = orders\nidempotent = yes\ndeadline = 4s\n";

/// Measures recovery from a simultaneous failure of daemons and from a log outage.
///
/// # Errors
///
/// Returns an error if the mesh does not start or does not converge again.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    let mut findings = Findings::default();
    findings.add_note(&format!(
        "{DAEMONS} daemons, of which {GROUP_SIZE} die at once, are dead for 8 s, and come back at \
         once as other incarnations that hold nothing."
    ));
    bench.step("start a mesh");
    let backend = || Some(BackendPlan::new(service("orders")));
    let plan = mesh_plan((0..DAEMONS).map(|_| backend()).collect(), Profile::Time);
    let mut mesh = bench.start_mesh(&plan, &parse_intent(INTENT)?).await?;
    tokio::time::sleep(REST_WINDOW).await;
    let before = MeshSnapshot::read(&mesh)?;
    tokio::time::sleep(REST_WINDOW).await;
    let idle = MeshSnapshot::read(&mesh)?.since(&before, DAEMONS);

    bench.step("abort a group of daemons and confirm a change");
    let before = MeshSnapshot::read(&mesh)?;
    abort_group(&mut mesh, FIRST_GROUP);
    let case = format!("{GROUP_SIZE} of {DAEMONS} dead");
    let changed = mesh.plan(&parse_intent(CHANGED_INTENT)?).await?;
    let convergence = mesh.confirm(&changed, CONVERGENCE_TIMEOUT).await?;
    let last = convergence.quantile(1.0).as_secs_f64() * 1_000.0;
    findings.add(
        Figure::new(&case, "a change, the last live daemon holds it", last, "ms")
            .with_target("at most 11 s"),
    );
    findings.add(
        Figure::new(
            &case,
            "live daemons without it",
            to_f64(convergence.missing),
            "daemons",
        )
        .with_target("0"),
    );
    tokio::time::sleep(DOWNTIME).await;
    let during_downtime = MeshSnapshot::read(&mesh)?.since(&before, DAEMONS - GROUP_SIZE);
    findings.add(
        Figure::new(
            &case,
            "control bytes of a live daemon, against rest",
            during_downtime.bytes,
            "B/s",
        )
        .with_baseline(idle.bytes),
    );

    bench.step("restart the group");
    let before = MeshSnapshot::read(&mesh)?;
    restart_group(&mut mesh, FIRST_GROUP).await?;
    let held = mesh.wait_until("return", CONVERGENCE_TIMEOUT, |node| {
        node.is_serving() && node.version() == Some(convergence.version)
    });
    let case = format!("{GROUP_SIZE} of {DAEMONS} return at once");
    let held = held.await?.as_secs_f64();
    findings.add(Figure::new(
        &case,
        "all serve and hold the version after",
        held,
        "s",
    ));
    let known = mesh
        .wait_for_backends(CONVERGENCE_TIMEOUT)
        .await?
        .as_secs_f64()
        + held;
    findings.add(Figure::new(
        &case,
        "all know every backend server after",
        known,
        "s",
    ));
    let after_restart = MeshSnapshot::read(&mesh)?.since(&before, DAEMONS);
    findings.add(
        Figure::new(
            &case,
            "control bytes of a daemon, against rest",
            after_restart.bytes,
            "B/s",
        )
        .with_baseline(idle.bytes)
        .with_target("at most 26 KB/s"),
    );
    findings.add(
        Figure::new(
            &case,
            "processor time of a daemon, against rest",
            after_restart.cpu_percent,
            "% of a core",
        )
        .with_baseline(idle.cpu_percent),
    );
    findings.add(Figure::new(
        &case,
        "appends to the log",
        after_restart.appends,
        "1/s",
    ));

    measure_log_outage(bench, &mut mesh, &mut findings).await?;
    mesh.stop().await?;
    Ok(findings)
}

async fn measure_log_outage(
    bench: &Bench,
    mesh: &mut Mesh,
    findings: &mut Findings,
) -> Result<(), StandinError> {
    bench.step("stop the log, abort and restart a group of daemons");
    let set_down = |down| {
        let control = LogControl {
            down: Some(down),
            ..LogControl::default()
        };
        mesh.log()
            .control(&control)
            .map_err(|error| StandinError::new("control", &"log", &error))
    };
    set_down(true)?;
    let log = mesh.log().clone();
    abort_group(mesh, SECOND_GROUP);
    tokio::time::sleep(DOWNTIME).await;
    restart_group(mesh, SECOND_GROUP).await?;
    let version = mesh.nodes()[0].version();
    let returned = |node: &Node| node.is_serving() && node.version() == version;
    let held = mesh
        .wait_until("return", CONVERGENCE_TIMEOUT, returned)
        .await;
    let case = "the log is down";
    let missing = mesh.nodes().iter().filter(|node| !returned(node)).count();
    findings.add(
        Figure::new(
            case,
            "daemons that do not serve after 40 s",
            to_f64(missing),
            "daemons",
        )
        .with_target("0"),
    );
    let time = held.unwrap_or(CONVERGENCE_TIMEOUT).as_secs_f64();
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
    let planned = mesh.plan(&parse_intent(SECOND_CHANGED_INTENT)?).await?;
    let convergence = mesh.confirm(&planned, CONVERGENCE_TIMEOUT).await?;
    let last = convergence.quantile(1.0).as_secs_f64() * 1_000.0;
    let case = "the log is up again";
    findings.add(
        Figure::new(case, "a change, the last daemon holds it", last, "ms")
            .with_target("at most 11 s"),
    );
    findings.add(
        Figure::new(
            case,
            "daemons without it",
            to_f64(convergence.missing),
            "daemons",
        )
        .with_target("0"),
    );
    Ok(())
}

fn abort_group(mesh: &mut Mesh, group: Range<usize>) {
    for node in &mut mesh.nodes_mut()[group] {
        node.abort();
    }
}

async fn restart_group(mesh: &mut Mesh, group: Range<usize>) -> Result<(), StandinError> {
    let group = mesh.nodes_mut()[group].iter_mut();
    futures_util::future::try_join_all(group.map(Node::restart)).await?;
    Ok(())
}

fn parse_intent(text: &str) -> Result<Intent, StandinError> {
    Intent::parse("measure", text)
        .map_err(|faults| StandinError::new("read intent", &"measure", &faults))
}

/// Exact, since counts are far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
