//! Convergence and control at several sizes.

use std::time::Duration;

use marigold_config::Intent;
use marigold_settings::Profile;

use super::bench::{Bench, mesh_plan, service};
use super::meter::{Meter, Rates};
use super::naive::{Naive, NaiveResult};
use super::{Figure, Findings, Plot, Series, Usage, slope};
use crate::StandinError;
use crate::backend::BackendPlan;
use crate::fleet::Mesh;

const SIZES: [usize; 4] = [10, 50, 100, 200];
/// The mean number of workers of a service at the size aimed at: 3,200 in 180.
const WORKERS: usize = 18;
const QUIET: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(5);
const CHANGES: u32 = 3;
/// Time given to a change's messages after everyone holds it.
const SETTLE: Duration = Duration::from_millis(500);
const WAIT: Duration = Duration::from_secs(30);
/// Backend servers that leave and come back, one after the other.
const CHURN: usize = 8;
const CHURN_PAUSE: Duration = Duration::from_millis(500);
const MEGABYTE: f64 = 1_048_576.0;

/// What was seen at one size.
#[derive(Debug, Clone, Default)]
struct Row {
    daemons: usize,
    p50: f64,
    p99: f64,
    last: f64,
    idle: Rates,
    churn_bytes: f64,
    change_bytes: f64,
    memory: f64,
    naive: NaiveResult,
    naive_churn_bytes: f64,
}

/// Measures one profile at every size.
///
/// # Errors
///
/// When a mesh does not start or does not converge.
pub async fn measure(bench: &Bench, profile: Profile) -> Result<Findings, StandinError> {
    let mut findings = Findings::default();
    findings.note(
        "Daemons in nine data centres of three regions, each with a backend server beside it, all \
         in this process on the loopback; processor time and memory include the stand-ins.",
    );
    findings.note(
        "Control bytes are UDP payload sent and received by a daemon, with encryption and framing, \
         without headers of IP and UDP. A change goes from its confirmation being sent until a \
         daemon holds it; p99 and last are the longest of the changes.",
    );
    findings.note(
        "The baseline was run beside it: every daemon tails the log at the same interval, and each \
         change carries the whole state. Its bytes are those of the records alone, without HTTP.",
    );
    let base = Usage::read()?;
    let mut rows = Vec::new();
    for daemons in SIZES {
        let row = measure_size(bench, profile, daemons, &base).await?;
        report(&row, &mut findings);
        rows.push(row);
    }
    report_slopes(&rows, &mut findings);
    findings.plots = plots(profile, &rows);
    Ok(findings)
}

async fn measure_size(
    bench: &Bench,
    profile: Profile,
    daemons: usize,
    base: &Usage,
) -> Result<Row, StandinError> {
    bench.step(&format!("start {daemons} daemons"));
    let services = daemons.div_ceil(WORKERS);
    let backend = |at: usize| {
        Some(BackendPlan::new(service(&format!(
            "service-{}",
            at % services
        ))))
    };
    let plan = mesh_plan((0..daemons).map(backend).collect(), profile);
    let mut mesh = bench.mesh(&plan, &intent(services, 1)?).await?;
    tokio::time::sleep(QUIET).await;

    bench.step(&format!("{daemons} daemons at rest"));
    let before = Meter::read(&mesh)?;
    tokio::time::sleep(IDLE).await;
    let idle = Meter::read(&mesh)?.since(&before, daemons);
    let resident = Usage::read()?.resident.saturating_sub(base.resident);
    let mut row = Row {
        daemons,
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        memory: resident as f64 / MEGABYTE / daemons as f64,
        ..Row::default()
    };

    bench.step(&format!("{daemons} daemons, changes"));
    change(&mesh, services, &idle, &mut row).await?;
    bench.step(&format!("{daemons} daemons, churn"));
    row.churn_bytes = churn(&mut mesh, &idle).await?;

    bench.step(&format!("{daemons} daemons, baseline"));
    let state = serde_json::to_string(&marigold_config::Checkpoint::declarations_of(
        &intent(services, 1)?.to_config(marigold_types::Version(1)),
    ))
    .map_err(|error| StandinError::new("write", &"state", &error))?;
    let members = mesh.nodes()[0]
        .daemon()
        .map(|daemon| serde_json::to_string(&daemon.status().members));
    let members = members.transpose().ok().flatten().unwrap_or_default();
    row.naive_churn_bytes = precise(members.len());
    row.naive = Naive::start(daemons, poll(profile))
        .run(&state, CHANGES)
        .await?;
    row.idle = idle;
    mesh.stop().await?;
    Ok(row)
}

async fn change(
    mesh: &Mesh,
    services: usize,
    idle: &Rates,
    row: &mut Row,
) -> Result<(), StandinError> {
    for number in 0..CHANGES {
        let planned = mesh.plan(&intent(services, 2 + u64::from(number))?).await?;
        let before = Meter::read(mesh)?;
        let convergence = mesh.confirm(&planned, WAIT).await?;
        if !convergence.is_whole() {
            let reason = format!("{} daemons were missing after 30 s", convergence.missing);
            return Err(StandinError::new("converge", &"mesh", &reason));
        }
        tokio::time::sleep(SETTLE).await;
        let rates = Meter::read(mesh)?.since(&before, row.daemons);
        let millis = |share| convergence.quantile(share).as_secs_f64() * 1_000.0;
        row.p50 += millis(0.5) / f64::from(CHANGES);
        row.p99 = row.p99.max(millis(0.99));
        row.last = row.last.max(millis(1.0));
        row.change_bytes += (rates.bytes - idle.bytes) * rates.seconds / f64::from(CHANGES);
    }
    Ok(())
}

/// Lets backend servers leave and come back; returns the bytes of each such step for each daemon.
async fn churn(mesh: &mut Mesh, idle: &Rates) -> Result<f64, StandinError> {
    let daemons = mesh.nodes().len();
    let before = Meter::read(mesh)?;
    for at in 0..CHURN {
        let node = &mut mesh.nodes_mut()[at];
        let admin = node.admin();
        if let Some(backend) = node.backend_mut() {
            if at % 2 == 0 {
                backend.withdraw().await?;
            } else {
                backend.withdraw().await?;
                backend.announce_to(admin);
            }
        }
        tokio::time::sleep(CHURN_PAUSE).await;
    }
    let rates = Meter::read(mesh)?.since(&before, daemons);
    Ok((rates.bytes - idle.bytes) * rates.seconds / precise(CHURN))
}

fn poll(profile: Profile) -> Duration {
    match profile {
        Profile::Time => marigold_control::ControlOptions::time().poll,
        Profile::Bytes => marigold_control::ControlOptions::bytes().poll,
    }
}

/// Returns an intent of so many services with a route each; `edition` tells one from the next.
fn intent(services: usize, edition: u64) -> Result<Intent, StandinError> {
    let sections = (0..services).map(|at| {
        let deadline = 1_000 + if at == 0 { edition } else { 0 };
        format!(
            "[service service-{at}]\nslots = 8\nwarmup = 0ms\n[route route-{at}]\n\
             path = /service-{at}\nservice = service-{at}\nidempotent = yes\n\
             deadline = {deadline}ms\n"
        )
    });
    let text: String = sections.collect();
    Intent::parse("measure", &text)
        .map_err(|faults| StandinError::new("read intent", &"measure", &faults))
}

fn report(row: &Row, findings: &mut Findings) {
    let case = format!("{} daemons", row.daemons);
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    let mut add = |figure: Figure| findings.add(figure);
    let new = |name: &str, value: f64, unit: &str| Figure::new(&case, name, value, unit);
    add(new("a change, half hold it", row.p50, "ms").against(millis(row.naive.p50)));
    add(new("a change, 99% hold it", row.p99, "ms"));
    add(new("a change, the last holds it", row.last, "ms")
        .against(millis(row.naive.last))
        .target("at most 11 s"));
    add(new("control bytes of a daemon at rest", row.idle.bytes, "B/s").target("at most 26 KB/s"));
    add(new("bytes of a change for a daemon", row.change_bytes, "B")
        .against(row.naive.change_bytes));
    add(new(
        "bytes of an endpoint's change for a daemon",
        row.churn_bytes,
        "B",
    )
    .against(row.naive_churn_bytes));
    add(new(
        "processor time of a daemon at rest",
        row.idle.core,
        "% of a core",
    )
    .target("at most 4.1%"));
    add(new("memory of a daemon", row.memory, "MB").target("at most 128 MB"));
    add(new("appends to the log at rest", row.idle.appends, "1/s"));
    add(new("reads of the log at rest", row.idle.reads, "1/s").against(row.naive.reads));
    for (kind, bytes) in &row.idle.kinds {
        let name = format!("of these, `{kind}` sent");
        add(new(&name, *bytes, "B/s"));
    }
}

fn report_slopes(rows: &[Row], findings: &mut Findings) {
    let mut add = |name: &str, unit: &str, value: fn(&Row) -> f64| {
        let points: Vec<_> = rows
            .iter()
            .map(|row| (precise(row.daemons), value(row)))
            .collect();
        let name = format!("{name}, for each daemon more");
        findings.add(Figure::new("slope", &name, slope(&points), unit));
    };
    add("a change, the last holds it", "ms", |row| row.last);
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
        row.idle.core
    });
    add("memory of a daemon", "MB", |row| row.memory);
    add("reads of the log at rest", "1/s", |row| row.idle.reads);
}

fn plots(profile: Profile, rows: &[Row]) -> Vec<Plot> {
    let line = |name: &str, value: fn(&Row) -> f64| Series {
        name: name.to_owned(),
        points: rows
            .iter()
            .map(|row| (precise(row.daemons), value(row)))
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
                line("mesh", |row| row.last),
                line("baseline", |row| row.naive.last.as_secs_f64() * 1_000.0),
            ],
        ),
        plot(
            "change-bytes",
            "Bytes of a change for each daemon",
            "B",
            vec![
                line("mesh", |row| row.change_bytes),
                line("baseline", |row| row.naive.change_bytes),
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

/// Counts are far below 2^52, so that the conversion is exact.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn precise(count: usize) -> f64 {
    count as f64
}
