//! Calls answered per class when the load exceeds the capacity.

use marigold_config::Intent;
use marigold_settings::Profile;
use marigold_types::{Interval, SlotCount};

use super::bench::{Bench, Sample, load_plan, mesh_plan, service};
use super::calls::micros_to_millis;
use super::{Figure, Findings, Plot, Series};
use crate::StandinError;
use crate::backend::{BackendPlan, BackendStandin, ServiceTime};
use crate::fleet::Node;
use crate::load::{LoadPlan, LoadRoute};

const INTENT: &str = "[service work]\nslots = 8\nconnections = 1000\nwarmup = 0ms\n\
    [route critical]\npath = /critical\nservice = work\nidempotent = yes\nclass = critical\n\
    deadline = 1s\n\
    [route interactive]\npath = /interactive\nservice = work\nidempotent = yes\ndeadline = 1s\n\
    [route batch]\npath = /batch\nservice = work\nidempotent = yes\nclass = batch\n\
    deadline = 1s\n";
const DAEMONS: usize = 6;
const SLOTS_PER_BACKEND: u64 = 8;
const SERVICE_TIME_MS: u64 = 20;
/// Calls per second that all backend servers together can process.
const CAPACITY_CALLS_PER_S: u64 = DAEMONS as u64 * SLOTS_PER_BACKEND * 1_000 / SERVICE_TIME_MS;
/// Loads in percent of the capacity.
const LOAD_PERCENTS: [u64; 3] = [50, 200, 500];
const LOAD_SECONDS: u64 = 6;

/// Measures answered calls and latency by class at half, twice and five times the capacity.
///
/// # Errors
///
/// Returns an error if the mesh does not start or a load cannot be run.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    bench.step("start a mesh");
    let backend = |index: usize| BackendPlan {
        slots: SlotCount(8),
        connections: 1_000,
        time: ServiceTime::Exponential(Interval::from_millis(SERVICE_TIME_MS)),
        seed: index as u64,
        ..BackendPlan::new(service("work"))
    };
    let backends = (0..DAEMONS).map(|index| Some(backend(index))).collect();
    let intent = Intent::parse("measure", INTENT)
        .map_err(|faults| StandinError::new("read intent", &"measure", &faults))?;
    let mesh = bench
        .start_mesh(&mesh_plan(backends, Profile::Time), &intent)
        .await?;
    let mut direct = Vec::new();
    for index in 0..DAEMONS {
        direct.push(BackendStandin::start(backend(index)).await?);
    }

    let mut findings = Findings::default();
    findings.add_note(&format!(
        "{DAEMONS} backend servers of {SLOTS_PER_BACKEND} slots, {SERVICE_TIME_MS} ms exponential: \
         {CAPACITY_CALLS_PER_S} calls/s can be done. The calls are one fifth critical, half \
         interactive, the rest batch."
    ));
    findings.add_note(
        "The baseline is the same load sent straight to backend servers of the same size, which \
         refuse at once when their slots are full and know no classes.",
    );
    let mut points: [Vec<(f64, f64)>; 3] = Default::default();
    for load in LOAD_PERCENTS {
        let rate = CAPACITY_CALLS_PER_S * load / 100;
        bench.step(&format!("{rate}/s, direct"));
        let targets = direct.iter().map(BackendStandin::address).collect();
        let plain = LoadPlan {
            direct: true,
            ..load_plan(targets, routes(), rate, LOAD_SECONDS)
        };
        let plain = bench.run_load(plain).await?;
        bench.step(&format!("{rate}/s, mesh"));
        let targets = mesh.nodes().iter().map(Node::caller_address).collect();
        let sample = bench
            .run_load(load_plan(targets, routes(), rate, LOAD_SECONDS))
            .await?;
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let factor = load as f64 / 100.0;
        add_figures(
            &format!("{factor} of capacity"),
            &sample,
            &plain,
            &mut findings,
        );
        for (index, points) in points.iter_mut().enumerate() {
            points.push((factor, answered_percent(&sample, index)));
        }
    }
    let names = ["critical", "interactive", "batch"];
    findings.plots.push(Plot {
        file: "overload-share".to_owned(),
        title: "Share of the due calls that were answered".to_owned(),
        x: "load, as a multiple of capacity".to_owned(),
        y: "%".to_owned(),
        series: names
            .iter()
            .zip(points)
            .map(|(name, points)| Series {
                name: (*name).to_owned(),
                points,
            })
            .collect(),
    });
    mesh.stop().await?;
    Ok(findings)
}

fn routes() -> Vec<LoadRoute> {
    vec![
        LoadRoute::repeatable("/critical/x").with_weight(2),
        LoadRoute::repeatable("/interactive/x").with_weight(5),
        LoadRoute::repeatable("/batch/x").with_weight(3),
    ]
}

fn add_figures(case: &str, mesh: &Sample, direct: &Sample, findings: &mut Findings) {
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let answered_rate = |sample: &Sample| sample.load.answered() as f64 / sample.load.seconds;
    let figure = Figure::new(case, "calls answered", answered_rate(mesh), "calls/s");
    findings.add(figure.with_baseline(answered_rate(direct)));
    for (index, route) in mesh.load.routes.iter().enumerate() {
        let class = route
            .path
            .trim_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let name = format!("{class}: share answered");
        let figure = Figure::new(case, &name, answered_percent(mesh, index), "%");
        findings.add(figure.with_baseline(answered_percent(direct, index)));
        let plain = direct.load.routes[index].answered_time;
        let name = format!("{class}: p99 of the answered");
        let figure = Figure::new(
            case,
            &name,
            micros_to_millis(route.answered_time.p99_us),
            "ms",
        );
        findings.add(figure.with_baseline(micros_to_millis(plain.p99_us)));
        let name = format!("{class}: p99 of the refused");
        let time = micros_to_millis(route.refused_time.p99_us);
        findings.add(Figure::new(case, &name, time, "ms"));
    }
}

/// Returns the percentage of a route's completed calls that were answered.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn answered_percent(sample: &Sample, index: usize) -> f64 {
    let route = &sample.load.routes[index];
    let all = route.answered + route.not_run + route.unknown + route.wrong;
    route.answered as f64 * 100.0 / all.max(1) as f64
}
