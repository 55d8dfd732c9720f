//! What the mesh adds to a call, beside direct calls of the same run.

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
/// Daemons with a backend server, and as many that only take calls, so that each call has one hop.
const HALF: usize = 4;
/// Direct backend servers, of which each calls on to the one before it.
const CHAIN: usize = 7;
const SECONDS: u64 = 4;
const LOADS: [u64; 3] = [500, 2_000, 5_000];
/// New connections leave ports behind for a minute, so that few are made.
const NEW_LOAD: u64 = 500;
const DEEP_LOAD: u64 = 150;
/// A path that calls on six times is seven calls deep.
const DEEP_PATH: &str = "/echo/hop/6";
const CLIMB: [u64; 7] = [2_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000];
const CLIMB_SECONDS: u64 = 3;
/// Loads that may fail before the climb ends.
const CLIMB_FAILURES: u32 = 2;
/// The share of the due calls that must be answered for a load to count as carried.
const CARRIED: f64 = 0.99;
const CARRIED_P99_US: u64 = 50_000;

/// The mesh and the direct way that it is compared with.
struct Setup {
    bench: Bench,
    mesh: Mesh,
    direct: Vec<BackendStandin>,
}

/// Measures the time added by the mesh, the processor time of a call, and the calls it carries.
///
/// # Errors
///
/// When a mesh does not start or a load cannot be run.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    let setup = Setup::start(bench).await?;
    let mut findings = Findings::default();
    findings.note(
        "Open loop; times count from when each call was due. Caller, daemons and backend servers \
         share one machine and one process. A backend server answers at once.",
    );
    findings
        .note("The baseline is the same load sent straight to the backend servers, just before.");
    let mut lines = [Line::new("mesh"), Line::new("direct")];
    for rate in LOADS {
        let case = format!("one hop, {rate}/s, kept alive");
        let pair = setup.pair("/echo/call", rate, true).await?;
        lines[0].push(rate, &pair.mesh);
        lines[1].push(rate, &pair.direct);
        pair.report(&case, 1.0, &mut findings);
    }
    let pair = setup.pair("/echo/call", NEW_LOAD, false).await?;
    let case = format!("one hop, {NEW_LOAD}/s, new connections");
    pair.report(&case, 1.0, &mut findings);
    let pair = setup.pair(DEEP_PATH, DEEP_LOAD, true).await?;
    let case = format!("depth 7, {DEEP_LOAD}/s, kept alive");
    pair.report(&case, 7.0, &mut findings);
    setup.climb(&mut findings).await?;

    findings.plots.push(Plot {
        file: "calls-p99".to_owned(),
        title: "p99 of a call, one hop".to_owned(),
        x: "calls a second".to_owned(),
        y: "ms".to_owned(),
        series: lines.map(|line| line.series).into(),
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
        let direct = direct_chain(&plan, CHAIN).await?;
        let backends = (0..2 * HALF).map(|at| (at >= HALF).then(|| plan.clone()));
        let intent = Intent::parse("measure", INTENT)
            .map_err(|faults| StandinError::new("read intent", &"measure", &faults))?;
        let mesh = bench
            .mesh(&mesh_plan(backends.collect(), Profile::Time), &intent)
            .await?;
        Ok(Self {
            bench: bench.clone(),
            mesh,
            direct,
        })
    }

    /// Runs a load straight at the backend servers and then through the mesh.
    async fn pair(&self, path: &str, rate: u64, alive: bool) -> Result<Pair, StandinError> {
        let run = async |plan: LoadPlan| {
            self.bench.warm(&plan).await?;
            self.bench.load(plan).await
        };
        self.bench.step(&format!("{path} at {rate}/s, direct"));
        let direct = run(self.direct_plan(path, rate, alive)).await?;
        self.bench.step(&format!("{path} at {rate}/s, mesh"));
        let mesh = run(LoadPlan {
            keep_alive: alive,
            ..self.plan(path, rate, SECONDS)
        })
        .await?;
        Ok(Pair { mesh, direct })
    }

    fn plan(&self, path: &str, rate: u64, seconds: u64) -> LoadPlan {
        let ingress = self.mesh.nodes().iter().take(HALF).map(Node::caller);
        let routes = vec![LoadRoute::repeatable(path)];
        load_plan(ingress.collect(), routes, rate, seconds)
    }

    fn direct_plan(&self, path: &str, rate: u64, alive: bool) -> LoadPlan {
        // A chain of direct calls starts at the last, which calls on; the first calls on to nobody.
        let chain = self.direct.iter().map(BackendStandin::address);
        let targets = if path == DEEP_PATH {
            chain.skip(self.direct.len() - 1).collect()
        } else {
            chain.collect()
        };
        LoadPlan {
            keep_alive: alive,
            direct: true,
            ..load_plan(targets, vec![LoadRoute::repeatable(path)], rate, SECONDS)
        }
    }

    /// Raises the load until the mesh no longer carries it.
    async fn climb(&self, findings: &mut Findings) -> Result<(), StandinError> {
        let mut best = None;
        let mut failed = 0;
        for rate in CLIMB {
            self.bench.step(&format!("climb to {rate}/s"));
            let plan = self.plan("/echo/call", rate, CLIMB_SECONDS);
            let sample = self.bench.load(plan).await?;
            if is_carried(&sample, rate) {
                best = Some((rate, sample));
                continue;
            }
            // One failure may be the machine's other work.
            failed += 1;
            if failed == CLIMB_FAILURES {
                break;
            }
        }
        if let Some((rate, sample)) = best {
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let rate = rate as f64;
            let name = "calls carried, the whole machine";
            findings.add(Figure::new("one hop, climb", name, rate, "calls/s"));
            let time = sample.processor_us;
            let name = "processor time of a call, loader and backend server included";
            findings.add(Figure::new("one hop, climb", name, time, "us"));
        }
        findings.note(
            "A load counts as carried when 99% of the due calls are answered and p99 is at most \
             50 ms.",
        );
        Ok(())
    }
}

fn is_carried(sample: &Sample, rate: u64) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let share = sample.load.answered() as f64 / (rate * CLIMB_SECONDS) as f64;
    share >= CARRIED && time(sample).p99_us <= CARRIED_P99_US
}

/// The same load through the mesh and straight to the backend servers.
struct Pair {
    mesh: Sample,
    direct: Sample,
}

impl Pair {
    fn report(&self, case: &str, depth: f64, findings: &mut Findings) {
        let (mesh, direct) = (time(&self.mesh), time(&self.direct));
        let millis = |micros: u64| micros_to_millis(micros);
        let mut add = |name: &str, mesh: u64, direct: u64| {
            let figure = Figure::new(case, name, millis(mesh), "ms").against(millis(direct));
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
        findings.add(Figure::new(case, name, added, "ms").target("at most 1.3 ms"));
        let more = (self.mesh.processor_us - self.direct.processor_us) / depth;
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

/// One line of the plot.
struct Line {
    series: Series,
}

impl Line {
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
        let p99 = micros_to_millis(time(sample).p99_us);
        self.series.points.push((rate, p99));
    }
}

fn time(sample: &Sample) -> crate::load::Summary {
    sample.load.routes[0].answered_time
}

/// Returns microseconds as milliseconds.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub fn micros_to_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
