//! Convergence time and control traffic at several mesh sizes.

use std::time::Duration;

use marigold_config::Intent;
use marigold_settings::Profile;

use super::baseline::{BaselineResult, PollingBaseline};
use super::bench::{Bench, mesh_plan, service};
use super::snapshot::{MeshSnapshot, Rates};
use super::{Figure, Findings, Plot, Series, Usage, slope};
use crate::StandinError;
use crate::backend::BackendPlan;
use crate::fleet::Mesh;

const MESH_SIZES: [usize; 4] = [10, 50, 100, 200];
/// Mean number of workers per service at the target size: 3,200 workers in 180 services.
const DAEMONS_PER_SERVICE: usize = 18;
const STARTUP_SETTLE_TIME: Duration = Duration::from_secs(2);
const IDLE_WINDOW: Duration = Duration::from_secs(5);
const CHANGE_COUNT: u32 = 3;
/// Time for a change's remaining messages to be sent after every daemon holds the version.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of backend servers withdrawn or announced again, in sequence.
const CHURN_STEPS: usize = 8;
const CHURN_INTERVAL: Duration = Duration::from_millis(500);
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// Results at one mesh size.
#[derive(Debug, Clone, Default)]
struct SizeResult {
    daemons: usize,
    p50_ms: f64,
    p99_ms: f64,
    last_ms: f64,
    idle: Rates,
    churn_bytes: f64,
    change_bytes: f64,
    memory_mib: f64,
    baseline: BaselineResult,
    baseline_churn_bytes: f64,
}

/// Measures one control profile at every mesh size.
///
/// # Errors
///
/// Returns an error if a mesh does not start or does not converge.
pub async fn measure(bench: &Bench, profile: Profile) -> Result<Findings, StandinError> {
    let mut findings = Findings::default();
    findings.add_note(
        "Daemons in nine data centres of three regions, each with a backend server beside it, all \
         in this process on the loopback; processor time and memory include the stand-ins.",
    );
    findings.add_note(
        "Control bytes are UDP payload sent and received by a daemon, with encryption and framing, \
         without headers of IP and UDP. A change goes from its confirmation being sent until a \
         daemon holds it; p99 and last are the longest of the changes.",
    );
    findings.add_note(
        "The baseline was run beside it: every daemon tails the log at the same interval, and each \
         change carries the whole state. Its bytes are those of the records alone, without HTTP.",
    );
    let base = Usage::read()?;
    let mut rows = Vec::new();
    for daemons in MESH_SIZES {
        let row = measure_size(bench, profile, daemons, &base).await?;
        add_figures(&row, &mut findings);
        rows.push(row);
    }
    add_slopes(&rows, &mut findings);
    findings.plots = plots(profile, &rows);
    Ok(findings)
}

async fn measure_size(
    bench: &Bench,
    profile: Profile,
    daemons: usize,
    base: &Usage,
) -> Result<SizeResult, StandinError> {
    bench.step(&format!("start {daemons} daemons"));
    let services = daemons.div_ceil(DAEMONS_PER_SERVICE);
    let backend = |index: usize| {
        Some(BackendPlan::new(service(&format!(
            "service-{}",
            index % services
        ))))
    };
    let plan = mesh_plan((0..daemons).map(backend).collect(), profile);
    let mut mesh = bench.start_mesh(&plan, &intent(services, 1)?).await?;
    tokio::time::sleep(STARTUP_SETTLE_TIME).await;

    bench.step(&format!("{daemons} idle daemons"));
    let before = MeshSnapshot::read(&mesh)?;
    tokio::time::sleep(IDLE_WINDOW).await;
    let idle = MeshSnapshot::read(&mesh)?.since(&before, daemons);
    let resident = Usage::read()?
        .resident_bytes
        .saturating_sub(base.resident_bytes);
    let mut row = SizeResult {
        daemons,
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        memory_mib: resident as f64 / BYTES_PER_MIB / daemons as f64,
        ..SizeResult::default()
    };

    bench.step(&format!("{daemons} daemons, changes"));
    measure_changes(&mesh, services, &idle, &mut row).await?;
    bench.step(&format!("{daemons} daemons, churn"));
    row.churn_bytes = measure_churn(&mut mesh, &idle).await?;

    bench.step(&format!("{daemons} daemons, baseline"));
    let state = serde_json::to_string(&marigold_config::Checkpoint::declarations_of(
        &intent(services, 1)?.to_config(marigold_types::Version(1)),
    ))
    .map_err(|error| StandinError::new("write", &"state", &error))?;
    let members = mesh.nodes()[0]
        .daemon()
        .map(|daemon| serde_json::to_string(&daemon.status().members));
    let members = members.transpose().ok().flatten().unwrap_or_default();
    row.baseline_churn_bytes = to_f64(members.len());
    row.baseline = PollingBaseline::start(daemons, poll_interval(profile))
        .run(&state, CHANGE_COUNT)
        .await?;
    row.idle = idle;
    mesh.stop().await?;
    Ok(row)
}

async fn measure_changes(
    mesh: &Mesh,
    services: usize,
    idle: &Rates,
    row: &mut SizeResult,
) -> Result<(), StandinError> {
    for number in 0..CHANGE_COUNT {
        let planned = mesh.plan(&intent(services, 2 + u64::from(number))?).await?;
        let before = MeshSnapshot::read(mesh)?;
        let convergence = mesh.confirm(&planned, CONVERGENCE_TIMEOUT).await?;
        if !convergence.is_complete() {
            let reason = format!("{} daemons were missing after 30 s", convergence.missing);
            return Err(StandinError::new("converge", &"mesh", &reason));
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let rates = MeshSnapshot::read(mesh)?.since(&before, row.daemons);
        let millis = |fraction| convergence.quantile(fraction).as_secs_f64() * 1_000.0;
        row.p50_ms += millis(0.5) / f64::from(CHANGE_COUNT);
        row.p99_ms = row.p99_ms.max(millis(0.99));
        row.last_ms = row.last_ms.max(millis(1.0));
        row.change_bytes += (rates.bytes - idle.bytes) * rates.seconds / f64::from(CHANGE_COUNT);
    }
    Ok(())
}

/// Withdraws and announces backend servers; returns the control bytes per step and daemon.
async fn measure_churn(mesh: &mut Mesh, idle: &Rates) -> Result<f64, StandinError> {
    let daemons = mesh.nodes().len();
    let before = MeshSnapshot::read(mesh)?;
    for index in 0..CHURN_STEPS {
        let node = &mut mesh.nodes_mut()[index];
        let admin = node.admin_address();
        if let Some(backend) = node.backend_mut() {
            if index % 2 == 0 {
                backend.withdraw().await?;
            } else {
                backend.withdraw().await?;
                backend.announce_to(admin);
            }
        }
        tokio::time::sleep(CHURN_INTERVAL).await;
    }
    let rates = MeshSnapshot::read(mesh)?.since(&before, daemons);
    Ok((rates.bytes - idle.bytes) * rates.seconds / to_f64(CHURN_STEPS))
}

fn poll_interval(profile: Profile) -> Duration {
    match profile {
        Profile::Time => marigold_control::ControlOptions::time().poll,
        Profile::Bytes => marigold_control::ControlOptions::bytes().poll,
    }
}

/// Returns an intent with one route per service; each `edition` sets a different deadline.
fn intent(services: usize, edition: u64) -> Result<Intent, StandinError> {
    let sections = (0..services).map(|index| {
        let deadline = 1_000 + if index == 0 { edition } else { 0 };
        format!(
            "[service service-{index}]\nslots = 8\nwarmup = 0ms\n[route route-{index}]\n\
             path = /service-{index}\nservice = service-{index}\nidempotent = yes\n\
             deadline = {deadline}ms\n"
        )
    });
    let text: String = sections.collect();
    Intent::parse("measure", &text)
        .map_err(|faults| StandinError::new("read intent", &"measure", &faults))
}

fn add_figures(row: &SizeResult, findings: &mut Findings) {
    let case = format!("{} daemons", row.daemons);
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    let mut add = |figure: Figure| findings.add(figure);
    let new = |name: &str, value: f64, unit: &str| Figure::new(&case, name, value, unit);
    add(new("a change, half hold it", row.p50_ms, "ms").with_baseline(millis(row.baseline.p50)));
    add(new("a change, 99% hold it", row.p99_ms, "ms"));
    add(new("a change, the last holds it", row.last_ms, "ms")
        .with_baseline(millis(row.baseline.last))
        .with_target("at most 11 s"));
    add(
        new("control bytes of a daemon at rest", row.idle.bytes, "B/s")
            .with_target("at most 26 KB/s"),
    );
    add(new("bytes of a change for a daemon", row.change_bytes, "B")
        .with_baseline(row.baseline.change_bytes));
    add(new(
        "bytes of an endpoint's change for a daemon",
        row.churn_bytes,
        "B",
    )
    .with_baseline(row.baseline_churn_bytes));
    add(new(
        "processor time of a daemon at rest",
        row.idle.cpu_percent,
        "% of a core",
    )
    .with_target("at most 4.1%"));
    add(new("memory of a daemon", row.memory_mib, "MB").with_target("at most 128 MB"));
    add(new("appends to the log at rest", row.idle.appends, "1/s"));
    add(new("reads of the log at rest", row.idle.reads, "1/s").with_baseline(row.baseline.reads));
    for (kind, bytes) in &row.idle.kinds {
        let name = format!("of these, `{kind}` sent");
        add(new(&name, *bytes, "B/s"));
    }
}

fn add_slopes(rows: &[SizeResult], findings: &mut Findings) {
    let mut add = |name: &str, unit: &str, value: fn(&SizeResult) -> f64| {
        let points: Vec<_> = rows
            .iter()
            .map(|row| (to_f64(row.daemons), value(row)))
            .collect();
        let name = format!("{name}, for each daemon more");
        findings.add(Figure::new("slope", &name, slope(&points), unit));
    };
    add("a change, the last holds it", "ms", |row| row.last_ms);
    add("control bytes of a daemon at rest", "B/s", |row| {
        row.idle.bytes
    });
    add("bytes of a change for a daemon", "B", |row| {
        row.change_bytes
    });
    add("bytes of an endpoint's change for a daemon", "B", |row| {
        row.churn_bytes
    });
    add("processor time of a daemon at rest", "% of a core", |row| {
        row.idle.cpu_percent
    });
    add("memory of a daemon", "MB", |row| row.memory_mib);
    add("reads of the log at rest", "1/s", |row| row.idle.reads);
}

fn plots(profile: Profile, rows: &[SizeResult]) -> Vec<Plot> {
    let line = |name: &str, value: fn(&SizeResult) -> f64| Series {
        name: name.to_owned(),
        points: rows
            .iter()
            .map(|row| (to_f64(row.daemons), value(row)))
            .collect(),
    };
    let plot = |file: &str, title: &str, y: &str, series| Plot {
        file: format!("control-{profile}-{file}"),
        title: format!("{title}, profile {profile}"),
        x: "daemons".to_owned(),
        y: y.to_owned(),
        series,
    };
    vec![
        plot(
            "convergence",
            "Time until the last daemon holds a change",
            "ms",
            vec![
                line("mesh", |row| row.last_ms),
                line("baseline", |row| row.baseline.last.as_secs_f64() * 1_000.0),
            ],
        ),
        plot(
            "change-bytes",
            "Bytes of a change for each daemon",
            "B",
            vec![
                line("mesh", |row| row.change_bytes),
                line("baseline", |row| row.baseline.change_bytes),
            ],
        ),
        plot(
            "rest-bytes",
            "Control bytes of a daemon at rest",
            "B/s",
            vec![line("mesh", |row| row.idle.bytes)],
        ),
    ]
}

/// Exact, since counts are far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
