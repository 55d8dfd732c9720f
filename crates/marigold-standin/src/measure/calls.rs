//! Latency and processor time that the mesh adds to a call, compared with direct calls of the same
//! run.

use marigold_config::Intent;
use marigold_settings::Profile;
use marigold_types::{Interval, SlotCount};

use super::bench::{Bench, Sample, direct_chain, load_plan, mesh_plan, service};
use super::{Figure, Findings, Plot, Series};
use crate::StandinError;
use crate::backend::{BackendPlan, BackendStandin, ServiceTime};
use crate::fleet::{Mesh, Node};
use crate::load::{LoadPlan, LoadRoute};

const INTENT: &str = "[service echo]\nslots = 1000\nconnections = 1000\nwarmup = 0ms\n\
    [route echo]\npath = /echo\nservice = echo\nidempotent = yes\n";
/// Number of ingress daemons without a backend server, and of daemons with one, so that each call
/// crosses one hop.
const DAEMONS_PER_ROLE: usize = 4;
/// Number of backend servers without a mesh, each of which forwards calls to the previous one.
const DIRECT_CHAIN_LENGTH: usize = 7;
const LOAD_SECONDS: u64 = 4;
const KEEP_ALIVE_RATES: [u64; 3] = [500, 2_000, 5_000];
/// Calls per second over new connections; kept low because each closed connection occupies its
/// port for a minute.
const NEW_CONNECTION_RATE: u64 = 500;
const DEEP_RATE: u64 = 150;
/// Six forwards make a call chain of depth 7.
const DEEP_PATH: &str = "/echo/hop/6";
const RAMP_RATES: [u64; 7] = [2_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000];
const RAMP_STEP_SECONDS: u64 = 3;
/// The ramp ends at this many unsustained rates.
const MAX_RAMP_FAILURES: u32 = 2;
/// Minimum ratio of answered to scheduled calls at which a rate counts as sustained.
const MIN_ANSWERED_RATIO: f64 = 0.99;
const MAX_SUSTAINED_P99_US: u64 = 50_000;

/// The mesh, and the backend servers called directly for the baseline.
struct Setup {
    bench: Bench,
    mesh: Mesh,
    direct: Vec<BackendStandin>,
}

/// Measures the latency and processor time added per call, and the highest sustained call rate.
///
/// # Errors
///
/// Returns an error if the mesh does not start or a load cannot be run.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    let setup = Setup::start(bench).await?;
    let mut findings = Findings::default();
    findings.add_note(
        "Open loop; times count from when each call was due. Caller, daemons and backend servers \
         share one machine and one process. A backend server answers at once.",
    );
    findings.add_note(
        "The baseline is the same load sent straight to the backend servers, just before.",
    );
    let mut series = [RateSeries::new("mesh"), RateSeries::new("direct")];
    for rate in KEEP_ALIVE_RATES {
        let case = format!("one hop, {rate}/s, kept alive");
        let comparison = setup.compare("/echo/call", rate, true).await?;
        series[0].push(rate, &comparison.mesh);
        series[1].push(rate, &comparison.direct);
        comparison.add_figures(&case, 1.0, &mut findings);
    }
    let comparison = setup
        .compare("/echo/call", NEW_CONNECTION_RATE, false)
        .await?;
    let case = format!("one hop, {NEW_CONNECTION_RATE}/s, new connections");
    comparison.add_figures(&case, 1.0, &mut findings);
    let comparison = setup.compare(DEEP_PATH, DEEP_RATE, true).await?;
    let case = format!("depth 7, {DEEP_RATE}/s, kept alive");
    comparison.add_figures(&case, 7.0, &mut findings);
    setup.ramp_up(&mut findings).await?;

    findings.plots.push(Plot {
        file: "calls-p99".to_owned(),
        title: "p99 of a call, one hop".to_owned(),
        x: "calls a second".to_owned(),
        y: "ms".to_owned(),
        series: series.map(|rates| rates.series).into(),
    });
    setup.mesh.stop().await?;
    Ok(findings)
}

impl Setup {
    async fn start(bench: &Bench) -> Result<Self, StandinError> {
        bench.step("start a mesh");
        let plan = BackendPlan {
            slots: SlotCount(1_000),
            connections: 1_000,
            time: ServiceTime::Fixed(Interval::from_millis(0)),
            ..BackendPlan::new(service("echo"))
        };
        let direct = direct_chain(&plan, DIRECT_CHAIN_LENGTH).await?;
        let backends = (0..2 * DAEMONS_PER_ROLE)
            .map(|index| (index >= DAEMONS_PER_ROLE).then(|| plan.clone()));
        let intent = Intent::parse("measure", INTENT)
            .map_err(|faults| StandinError::new("read intent", &"measure", &faults))?;
        let mesh = bench
            .start_mesh(&mesh_plan(backends.collect(), Profile::Time), &intent)
            .await?;
        Ok(Self {
            bench: bench.clone(),
            mesh,
            direct,
        })
    }

    /// Runs the same load directly against the backend servers and then through the mesh.
    async fn compare(
        &self,
        path: &str,
        rate: u64,
        keep_alive: bool,
    ) -> Result<Comparison, StandinError> {
        let run = async |plan: LoadPlan| {
            self.bench.warm_up(&plan).await?;
            self.bench.run_load(plan).await
        };
        self.bench.step(&format!("{path} at {rate}/s, direct"));
        let direct = run(self.direct_plan(path, rate, keep_alive)).await?;
        self.bench.step(&format!("{path} at {rate}/s, mesh"));
        let mesh = run(LoadPlan {
            keep_alive,
            ..self.plan(path, rate, LOAD_SECONDS)
        })
        .await?;
        Ok(Comparison { mesh, direct })
    }

    fn plan(&self, path: &str, rate: u64, seconds: u64) -> LoadPlan {
        let ingress = self
            .mesh
            .nodes()
            .iter()
            .take(DAEMONS_PER_ROLE)
            .map(Node::caller_address);
        let routes = vec![LoadRoute::repeatable(path)];
        load_plan(ingress.collect(), routes, rate, seconds)
    }

    fn direct_plan(&self, path: &str, rate: u64, keep_alive: bool) -> LoadPlan {
        // A forwarded call enters at the last server; the first server has no egress.
        let chain = self.direct.iter().map(BackendStandin::address);
        let targets = if path == DEEP_PATH {
            chain.skip(self.direct.len() - 1).collect()
        } else {
            chain.collect()
        };
        LoadPlan {
            keep_alive,
            direct: true,
            ..load_plan(
                targets,
                vec![LoadRoute::repeatable(path)],
                rate,
                LOAD_SECONDS,
            )
        }
    }

    /// Raises the call rate until the mesh no longer sustains it.
    async fn ramp_up(&self, findings: &mut Findings) -> Result<(), StandinError> {
        let mut highest = None;
        let mut failed = 0;
        for rate in RAMP_RATES {
            self.bench.step(&format!("ramp to {rate}/s"));
            let plan = self.plan("/echo/call", rate, RAMP_STEP_SECONDS);
            let sample = self.bench.run_load(plan).await?;
            if is_sustained(&sample, rate) {
                highest = Some((rate, sample));
                continue;
            }
            // A single failure may be caused by other work on the machine.
            failed += 1;
            if failed == MAX_RAMP_FAILURES {
                break;
            }
        }
        if let Some((rate, sample)) = highest {
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let rate = rate as f64;
            let name = "calls carried, the whole machine";
            findings.add(Figure::new("one hop, climb", name, rate, "calls/s"));
            let time = sample.cpu_us_per_call;
            let name = "processor time of a call, loader and backend server included";
            findings.add(Figure::new("one hop, climb", name, time, "us"));
        }
        findings.add_note(
            "A load counts as carried when 99% of the due calls are answered and p99 is at most \
             50 ms.",
        );
        Ok(())
    }
}

fn is_sustained(sample: &Sample, rate: u64) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let ratio = sample.load.answered() as f64 / (rate * RAMP_STEP_SECONDS) as f64;
    ratio >= MIN_ANSWERED_RATIO && answered_time(sample).p99_us <= MAX_SUSTAINED_P99_US
}

/// Results of the same load through the mesh and directly to the backend servers.
struct Comparison {
    mesh: Sample,
    direct: Sample,
}

impl Comparison {
    fn add_figures(&self, case: &str, depth: f64, findings: &mut Findings) {
        let (mesh, direct) = (answered_time(&self.mesh), answered_time(&self.direct));
        let millis = |micros: u64| micros_to_millis(micros);
        let mut add = |name: &str, mesh: u64, direct: u64| {
            let figure = Figure::new(case, name, millis(mesh), "ms").with_baseline(millis(direct));
            findings.add(figure);
        };
        add("p50", mesh.p50_us, direct.p50_us);
        add("p99", mesh.p99_us, direct.p99_us);
        add("p99.9", mesh.p999_us, direct.p999_us);
        let added = (millis(mesh.p50_us) - millis(direct.p50_us)) / depth;
        let name = "added to p50, for each call deep";
        findings.add(Figure::new(case, name, added, "ms"));
        let added = (millis(mesh.p99_us) - millis(direct.p99_us)) / depth;
        let name = "added to p99, for each call deep";
        findings.add(Figure::new(case, name, added, "ms").with_target("at most 1.3 ms"));
        let more = (self.mesh.cpu_us_per_call - self.direct.cpu_us_per_call) / depth;
        findings.add(Figure::new(
            case,
            "processor time added, for each call deep",
            more,
            "us",
        ));
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let unanswered = (self.mesh.load.sent - self.mesh.load.answered()) as f64;
        findings.add(Figure::new(case, "calls not answered", unanswered, "calls"));
    }
}

/// The p99 latency over the call rate, for the plot.
struct RateSeries {
    series: Series,
}

impl RateSeries {
    fn new(name: &str) -> Self {
        Self {
            series: Series {
                name: name.to_owned(),
                points: Vec::new(),
            },
        }
    }

    fn push(&mut self, rate: u64, sample: &Sample) {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let rate = rate as f64;
        let p99 = micros_to_millis(answered_time(sample).p99_us);
        self.series.points.push((rate, p99));
    }
}

fn answered_time(sample: &Sample) -> crate::load::Summary {
    sample.load.routes[0].answered_time
}

/// Converts microseconds to milliseconds.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub fn micros_to_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
