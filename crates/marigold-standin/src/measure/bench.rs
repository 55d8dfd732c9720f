//! Helpers shared by the measured parts.

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

/// The result of a load run, with the processor time that it used.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Counts and latencies of the calls.
    pub load: LoadReport,
    /// The outcome of each call as its caller saw it.
    pub ledger: Ledger,
    /// Processor time of the whole process in microseconds per call sent.
    pub cpu_us_per_call: f64,
}

/// Starts meshes, runs loads and shows progress.
#[derive(Debug, Clone)]
pub struct Bench {
    bar: ProgressBar,
}

impl Bench {
    /// Creates a bench that reports its progress on `bar`.
    #[must_use]
    pub fn new(bar: ProgressBar) -> Self {
        Self { bar }
    }

    /// Reports the start of a step.
    pub fn step(&self, what: &str) {
        self.bar.inc(1);
        self.bar.set_message(what.to_owned());
        // The bar is not drawn without a terminal, so each step is printed as a line.
        if self.bar.is_hidden() {
            eprintln!("{:.1} s: {what}", self.bar.elapsed().as_secs_f64());
        }
    }

    /// Starts a mesh, applies `intent` and waits until every daemon is serving and knows every
    /// backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon does not start or the mesh does not converge.
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

    /// Runs a load and waits for the last call to complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan is empty or the resource usage cannot be read.
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

    /// Runs a short load to open connections and warm up caches; its result is discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan is empty.
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

/// Returns the plan of a mesh with one daemon per entry of `backends`, spread round-robin over nine
/// data centres in three regions. A daemon without a backend server only accepts calls.
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
    let centre = index / REGIONS.len() % DATA_CENTRES_PER_REGION;
    let name = format!("{region}-{centre}");
    let valid = "a valid name";
    (region.parse().expect(valid), name.parse().expect(valid))
}

/// Parses a service name.
///
/// # Panics
///
/// Panics if `name` is not a valid service name.
#[must_use]
pub fn service(name: &str) -> ServiceName {
    name.parse().expect("a valid name")
}

/// Returns the plan of a load on `routes` at `rate` calls per second for `seconds`.
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

/// Starts backend servers that forward calls to each other instead of to a daemon, as a baseline.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
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
