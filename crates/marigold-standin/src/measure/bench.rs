//! What the parts of a measurement share.

use std::time::Duration;

use indicatif::ProgressBar;
use marigold_config::Intent;
use marigold_settings::{ControlSettings, Profile, RequestSettings};
use marigold_types::{DataCentre, Interval, Rate, Region, ServiceName};

use super::Usage;
use crate::StandinError;
use crate::backend::{BackendPlan, BackendStandin};
use crate::fleet::{Mesh, MeshPlan, Node, NodePlan};
use crate::load::{Ledger, LoadPlan, LoadReport, LoadRoute, LoadRun};
use crate::log::{LogLimits, MemoryLog};

const REGIONS: [&str; 3] = ["north", "middle", "south"];
const DATA_CENTRES_PER_REGION: usize = 3;
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A load run with what this process used for it.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The calls.
    pub load: LoadReport,
    /// What was said of each.
    pub ledger: Ledger,
    /// Processor time of the whole process in microseconds, for each call sent.
    pub cpu_us_per_call: f64,
}

/// Builds meshes and runs loads for the parts.
#[derive(Debug, Clone)]
pub struct Bench {
    bar: ProgressBar,
}

impl Bench {
    /// Shows progress on `bar`.
    #[must_use]
    pub fn new(bar: ProgressBar) -> Self {
        Self { bar }
    }

    /// Says what is being done.
    pub fn step(&self, what: &str) {
        self.bar.inc(1);
        self.bar.set_message(what.to_owned());
        // Without a terminal the bar is not drawn, and the steps are lines.
        if self.bar.is_hidden() {
            eprintln!("{:.1} s: {what}", self.bar.elapsed().as_secs_f64());
        }
    }

    /// Starts a mesh under `intent` and waits until every daemon serves it.
    ///
    /// # Errors
    ///
    /// When a daemon does not start, or the mesh does not come together.
    pub async fn start_mesh(&self, plan: &MeshPlan, intent: &Intent) -> Result<Mesh, StandinError> {
        let daemons = plan.nodes.len();
        let mesh = Mesh::start(plan, MemoryLog::new(LogLimits::default())).await?;
        mesh.wait_until("wait for members", START_TIMEOUT, |node| {
            node.member_count() == daemons
        })
        .await?;
        let planned = mesh.plan(intent).await?;
        mesh.confirm(&planned, START_TIMEOUT).await?;
        mesh.wait_until("wait for service", START_TIMEOUT, Node::is_serving)
            .await?;
        mesh.wait_for_backends(START_TIMEOUT).await?;
        Ok(mesh)
    }

    /// Makes calls and waits for the last to end.
    ///
    /// # Errors
    ///
    /// When the plan is empty or the process's usage cannot be read.
    pub async fn run_load(&self, plan: LoadPlan) -> Result<Sample, StandinError> {
        let before = Usage::read()?;
        let (load, ledger) = LoadRun::new(plan)?.run().await;
        let used = Usage::read()?.cpu_time_since(&before);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let cpu_us_per_call = used.as_secs_f64() * 1e6 / load.sent.max(1) as f64;
        Ok(Sample {
            load,
            ledger,
            cpu_us_per_call,
        })
    }

    /// Warms connections and code up.
    ///
    /// # Errors
    ///
    /// When the plan is empty.
    pub async fn warm_up(&self, plan: &LoadPlan) -> Result<(), StandinError> {
        let plan = LoadPlan {
            rate: Rate(200),
            duration: Interval::from_millis(1_000),
            ..plan.clone()
        };
        LoadRun::new(plan)?.run().await;
        Ok(())
    }
}

/// Returns the plan of a mesh in which `backends` stand in turn over nine data centres of three
/// regions, one for each daemon; a daemon without one only takes calls.
#[must_use]
pub fn mesh_plan(backends: Vec<Option<BackendPlan>>, profile: Profile) -> MeshPlan {
    let nodes = backends.into_iter().enumerate().map(|(index, backend)| {
        let (region, data_centre) = location(index);
        NodePlan {
            data_centre,
            region,
            backend,
        }
    });
    MeshPlan {
        nodes: nodes.collect(),
        control: ControlSettings {
            profile,
            ..ControlSettings::default()
        },
        request: RequestSettings::default(),
    }
}

fn location(index: usize) -> (Region, DataCentre) {
    let region = REGIONS[index % REGIONS.len()];
    let data_centre = index / REGIONS.len() % DATA_CENTRES_PER_REGION;
    let name = format!("{region}-{data_centre}");
    let valid = "a valid name";
    (region.parse().expect(valid), name.parse().expect(valid))
}

/// Returns a service's name.
///
/// # Panics
///
/// When `name` is not a valid one.
#[must_use]
pub fn service(name: &str) -> ServiceName {
    name.parse().expect("a valid name")
}

/// Returns the plan of calls of `path` at `rate` for `seconds`.
#[must_use]
pub fn load_plan(
    targets: Vec<std::net::SocketAddr>,
    routes: Vec<LoadRoute>,
    rate: u64,
    seconds: u64,
) -> LoadPlan {
    let duration = Interval::from_millis(seconds * 1_000);
    LoadPlan::new(targets, routes, Rate(rate), duration)
}

/// Starts stand-ins that call one another instead of a daemon, for baselines.
///
/// # Errors
///
/// When an address cannot be listened on.
pub async fn direct_chain(
    plan: &BackendPlan,
    count: usize,
) -> Result<Vec<BackendStandin>, StandinError> {
    let mut chain: Vec<BackendStandin> = Vec::new();
    for _ in 0..count {
        let plan = BackendPlan {
            egress: chain.last().map(BackendStandin::address),
            ..plan.clone()
        };
        chain.push(BackendStandin::start(plan).await?);
    }
    Ok(chain)
}
