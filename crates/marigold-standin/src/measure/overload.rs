//! What work is done when more comes than can be.

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
const SLOTS: u64 = 8;
const SERVICE_MS: u64 = 20;
/// Calls a second that all backend servers together can run.
const CAPACITY: u64 = DAEMONS as u64 * SLOTS * 1_000 / SERVICE_MS;
/// Loads in hundredths of the capacity.
const LOADS: [u64; 3] = [50, 200, 500];
const SECONDS: u64 = 6;

/// Measures useful work and time by class at half, twice and five times what can be done.
///
/// # Errors
///
/// When a mesh does not start or a load cannot be run.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    bench.step("start a mesh");
    let backend = |at: usize| BackendPlan {
        slots: SlotCount(8),
        connections: 1_000,
        time: ServiceTime::Exponential(Interval::from_millis(SERVICE_MS)),
        seed: at as u64,
        ..BackendPlan::new(service("work"))
    };
    let backends = (0..DAEMONS).map(|at| Some(backend(at))).collect();
    let intent = Intent::parse("measure", INTENT)
        .map_err(|faults| StandinError::new("read intent", &"measure", &faults))?;
    let mesh = bench
        .mesh(&mesh_plan(backends, Profile::Time), &intent)
        .await?;
    let mut direct = Vec::new();
    for at in 0..DAEMONS {
        direct.push(BackendStandin::start(backend(at)).await?);
    }

    let mut findings = Findings::default();
    findings.note(&format!(
        "{DAEMONS} backend servers of {SLOTS} slots, {SERVICE_MS} ms exponential: {CAPACITY} calls/s \
         can be done. The calls are one fifth critical, half interactive, the rest batch."
    ));
    findings.note(
        "The baseline is the same load sent straight to backend servers of the same size, which \
         refuse at once when their slots are full and know no classes.",
    );
    let mut points: [Vec<(f64, f64)>; 3] = Default::default();
    for load in LOADS {
        let rate = CAPACITY * load / 100;
        bench.step(&format!("{rate}/s, direct"));
        let targets = direct.iter().map(BackendStandin::address).collect();
        let plain = LoadPlan {
            direct: true,
            ..load_plan(targets, routes(), rate, SECONDS)
        };
        let plain = bench.load(plain).await?;
        bench.step(&format!("{rate}/s, mesh"));
        let targets = mesh.nodes().iter().map(Node::caller).collect();
        let sample = bench
            .load(load_plan(targets, routes(), rate, SECONDS))
            .await?;
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let factor = load as f64 / 100.0;
        report(
            &format!("{factor} of capacity"),
            &sample,
            &plain,
            &mut findings,
        );
        for (at, points) in points.iter_mut().enumerate() {
            points.push((factor, share(&sample, at)));
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

fn report(case: &str, mesh: &Sample, direct: &Sample, findings: &mut Findings) {
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let work = |sample: &Sample| sample.load.answered() as f64 / sample.load.seconds;
    let figure = Figure::new(case, "calls answered", work(mesh), "calls/s");
    findings.add(figure.against(work(direct)));
    for (at, route) in mesh.load.routes.iter().enumerate() {
        let class = route
            .path
            .trim_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let name = format!("{class}: share answered");
        let figure = Figure::new(case, &name, share(mesh, at), "%");
        findings.add(figure.against(share(direct, at)));
        let plain = direct.load.routes[at].answered_time;
        let name = format!("{class}: p99 of the answered");
        let figure = Figure::new(
            case,
            &name,
            micros_to_millis(route.answered_time.p99_us),
            "ms",
        );
        findings.add(figure.against(micros_to_millis(plain.p99_us)));
        let name = format!("{class}: p99 of the refused");
        let time = micros_to_millis(route.refused_time.p99_us);
        findings.add(Figure::new(case, &name, time, "ms"));
    }
}

/// Returns the share of a route's ended calls that were answered, in percent.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn share(sample: &Sample, at: usize) -> f64 {
    let route = &sample.load.routes[at];
    let all = route.answered + route.not_run + route.unknown + route.wrong;
    route.answered as f64 * 100.0 / all.max(1) as f64
}
