//! The steps of the demonstration on one mesh.

use std::time::Duration;

use indicatif::ProgressBar;
use marigold_config::Intent;
use marigold_types::{Interval, Rate};
use tokio::time::Instant;

use super::{ConfirmedChange, DemoReport};
use crate::StandinError;
use crate::fleet::{Customer, Mesh, Node};
use crate::load::{LoadPlan, LoadRun};
use crate::log::{LogLimits, MemoryLog};

const CALL_RATE: Rate = Rate(300);
const LOAD_DURATION: Interval = Interval::from_millis(10_000);
const STEP_PAUSE: Duration = Duration::from_secs(2);
const STEP_TIMEOUT: Duration = Duration::from_secs(11);

/// Runs the demonstration on one customer's mesh.
pub struct DemoRun {
    customer: Customer,
    bar: ProgressBar,
}

impl DemoRun {
    /// Number of steps counted on the progress bar.
    pub const STEPS: u64 = 6;

    /// Creates a run for `customer` that reports its progress on `bar`.
    #[must_use]
    pub fn new(customer: Customer, bar: ProgressBar) -> Self {
        Self { customer, bar }
    }

    /// Runs all steps and returns the result.
    ///
    /// # Errors
    ///
    /// Returns an error if a step cannot be carried out.
    pub async fn run(self) -> Result<DemoReport, StandinError> {
        let plan = self.customer.mesh_plan();
        let daemons = plan.nodes.len();
        let started = Instant::now();
        let mut mesh = Mesh::start(&plan, MemoryLog::new(LogLimits::default())).await?;
        mesh.wait_until("wait for members", STEP_TIMEOUT, |node| {
            node.member_count() == daemons
        })
        .await?;
        self.step("all daemons joined the mesh");

        let first = self.customer.intent()?;
        let mut steps = vec![self.publish(&mesh, "first intent", &first).await?];
        mesh.wait_until("wait for service", STEP_TIMEOUT, Node::is_serving)
            .await?;
        self.step("first intent applied");

        let load = LoadPlan::new(
            mesh.caller_addresses(),
            self.customer.load_routes(),
            CALL_RATE,
            LOAD_DURATION,
        );
        let load = tokio::spawn(LoadRun::new(load)?.run());
        tokio::time::sleep(STEP_PAUSE).await;
        let changed = self.customer.changed_intent()?;
        steps.push(self.publish(&mesh, "change under load", &changed).await?);
        self.step("configuration changed under load");

        mesh.nodes_mut()[1].stop().await?;
        self.step("daemon stopped gracefully");
        tokio::time::sleep(STEP_PAUSE).await;
        mesh.nodes_mut()[daemons - 1].abort();
        self.step("daemon terminated without warning");

        let (report, ledger) = load
            .await
            .map_err(|error| StandinError::new("run load", &self.customer.name(), &error))?;
        let report = DemoReport {
            mesh: self.customer.name().to_owned(),
            daemons,
            steps,
            audit: mesh.audit(&ledger),
            load: report,
            control_bytes: mesh.control_bytes() / daemons as u64,
            seconds: started.elapsed().as_secs_f64(),
            converged: mesh.is_converged(),
        };
        mesh.stop().await?;
        self.step("mesh stopped");
        Ok(report)
    }

    async fn publish(
        &self,
        mesh: &Mesh,
        name: &str,
        intent: &Intent,
    ) -> Result<ConfirmedChange, StandinError> {
        let planned = mesh.plan(intent).await?;
        let convergence = mesh.confirm(&planned, STEP_TIMEOUT).await?;
        Ok(ConfirmedChange::new(
            name,
            planned.changes.len(),
            &convergence,
        ))
    }

    fn step(&self, what: &'static str) {
        self.bar.inc(1);
        self.bar
            .set_message(format!("{}: {what}", self.customer.name()));
    }
}
