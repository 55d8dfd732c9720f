//! A running mesh of daemons and backend servers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigold_auth::{Authority, MeshKey};
use marigold_config::Intent;
use marigold_log::PlatformLog;
use marigold_settings::Settings;
use marigold_types::Version;
use tokio::time::Instant;

use super::node::{NodeContext, NodeSockets};
use super::version_tracker::VersionTracker;
use super::{Convergence, MeshPlan, Node, Operator, PendingPlan};
use crate::StandinError;
use crate::backend::RunReport;
use crate::load::{Audit, Ledger};
use crate::log::MemoryLog;

/// Number of daemons that are configured as seeds of every daemon.
const SEED_COUNT: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Daemons with their backend servers, the platform's log and an operator.
pub struct Mesh {
    nodes: Vec<Node>,
    log: MemoryLog,
    operator: Operator,
}

impl Mesh {
    /// Starts every daemon with newly generated keys on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns an error if keys cannot be generated or a daemon does not start.
    pub async fn start(plan: &MeshPlan, log: MemoryLog) -> Result<Self, StandinError> {
        let operator = Operator::generate("root")?;
        let wrap = |error| StandinError::new("make keys", &"mesh", &error);
        let authority = Authority::generate().map_err(wrap)?;
        let mesh_key = MeshKey::generate().map_err(wrap)?;
        let mut sockets = Vec::new();
        for _ in &plan.nodes {
            sockets.push(NodeSockets::bind()?);
        }

        let mut base = Settings::default();
        base.peers.seeds = sockets
            .iter()
            .take(SEED_COUNT)
            .map(NodeSockets::peer)
            .collect();
        base.trust.operator = operator.key().operator().clone();
        base.trust.key = operator.key().public();
        base.control = plan.control.clone();
        base.request = plan.request.clone();
        let shared: Arc<dyn PlatformLog> = Arc::new(log.clone());
        let context = NodeContext {
            base: &base,
            authority: &authority,
            mesh_key: &mesh_key,
            log: &shared,
        };
        let mut nodes = Vec::new();
        for (node, node_sockets) in plan.nodes.iter().zip(sockets) {
            nodes.push(Node::start(&context, node.clone(), node_sockets).await?);
        }
        Ok(Self {
            nodes,
            log,
            operator,
        })
    }

    /// Returns all daemons, including those that are down.
    #[must_use]
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Returns all daemons mutably, to stop or restart them.
    #[must_use]
    pub fn nodes_mut(&mut self) -> &mut [Node] {
        &mut self.nodes
    }

    /// Returns the in-memory log of the platform.
    #[must_use]
    pub fn log(&self) -> &MemoryLog {
        &self.log
    }

    /// Returns the operator that plans and confirms changes.
    #[must_use]
    pub fn operator(&self) -> &Operator {
        &self.operator
    }

    /// Returns the caller addresses of the running daemons.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let up = self.nodes.iter().filter(|node| node.is_up());
        up.map(Node::caller_address).collect()
    }

    /// Returns the admin address of a running daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon is running.
    pub fn admin_address(&self) -> Result<SocketAddr, StandinError> {
        let up = self.nodes.iter().find(|node| node.is_up());
        up.map(Node::admin_address)
            .ok_or_else(|| StandinError::new("find daemon", &"mesh", &"no daemon is running"))
    }

    /// Submits the plan that replaces the configuration by `intent`.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan is refused or changes nothing.
    pub async fn plan(&self, intent: &Intent) -> Result<PendingPlan, StandinError> {
        self.operator.plan(self.admin_address()?, intent).await
    }

    /// Confirms a plan and measures until every running daemon holds its version, or until
    /// `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if the confirmation is refused.
    pub async fn confirm(
        &self,
        planned: &PendingPlan,
        timeout: Duration,
    ) -> Result<Convergence, StandinError> {
        let start = Instant::now();
        let confirming = self.operator.confirm(self.admin_address()?, planned.id);
        let mut confirming = std::pin::pin!(confirming);
        let mut tracker = VersionTracker::new(start, &self.versions());
        let version = loop {
            tokio::select! {
                version = &mut confirming => break version?,
                () = tokio::time::sleep(POLL_INTERVAL) => tracker.observe(&self.versions()),
            }
        };
        while !tracker.all_hold(version) && start.elapsed() < timeout {
            tokio::time::sleep(POLL_INTERVAL).await;
            tracker.observe(&self.versions());
        }
        Ok(tracker.convergence(version))
    }

    /// Waits until `ready` returns true for every running daemon, and returns the time taken.
    ///
    /// # Errors
    ///
    /// Returns an error with `what` as its step if `timeout` passes first.
    pub async fn wait_until(
        &self,
        what: &'static str,
        timeout: Duration,
        ready: impl Fn(&Node) -> bool,
    ) -> Result<Duration, StandinError> {
        let start = Instant::now();
        loop {
            let late = self.nodes.iter().find(|node| node.is_up() && !ready(node));
            let Some(late) = late else {
                return Ok(start.elapsed());
            };
            if start.elapsed() > timeout {
                let reason = format!("not after {} s", timeout.as_secs());
                return Err(StandinError::new(what, &late.peer_address(), &reason));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every running daemon knows the backend servers of all running daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if `timeout` passes first.
    pub async fn wait_for_backends(&self, timeout: Duration) -> Result<Duration, StandinError> {
        let up = self.nodes.iter().filter(|node| node.is_up());
        let backends = up.filter(|node| node.backend().is_some()).count();
        self.wait_until("wait for backend servers", timeout, |node| {
            node.ready_backend_count() == backends
        })
        .await
    }

    /// Returns whether all running daemons hold the same version.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let held: BTreeSet<_> = self.nodes.iter().filter_map(Node::version).collect();
        held.len() <= 1
    }

    /// Returns the control bytes that the running daemons have sent since they started.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        self.nodes.iter().map(Node::control_bytes).sum()
    }

    /// Compares the outcomes seen by callers with the calls run by all backend servers, including
    /// those whose daemon is down.
    #[must_use]
    pub fn audit(&self, ledger: &Ledger) -> Audit {
        let backends = self.nodes.iter().filter_map(Node::backend);
        let reports: Vec<RunReport> = backends
            .map(|backend| backend.state().report(ledger.prefix()))
            .collect();
        ledger.audit(&reports)
    }

    /// Stops all daemons gracefully and concurrently.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon refuses to withdraw its backend server.
    pub async fn stop(mut self) -> Result<(), StandinError> {
        let stops = self.nodes.iter_mut().map(Node::stop);
        futures_util::future::try_join_all(stops).await?;
        Ok(())
    }

    /// Terminates every daemon without a graceful shutdown.
    pub fn abort(mut self) {
        for node in &mut self.nodes {
            node.abort();
        }
    }

    fn versions(&self) -> Vec<Option<Version>> {
        self.nodes.iter().map(Node::version).collect()
    }
}
