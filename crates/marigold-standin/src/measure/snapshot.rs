//! Control traffic and resource usage of a mesh between two points in time.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::Usage;
use crate::StandinError;
use crate::fleet::{Mesh, Node};

/// Counters summed over a mesh at one point in time.
pub struct MeshSnapshot {
    taken_at: Instant,
    bytes: u64,
    kinds: BTreeMap<&'static str, u64>,
    usage: Usage,
    appends: u64,
    reads: u64,
}

/// Mean rates between two snapshots, per daemon unless stated otherwise.
#[derive(Debug, Clone, Default)]
pub struct Rates {
    /// Seconds between the snapshots.
    pub seconds: f64,
    /// Control bytes sent and received per second, including encryption and framing.
    pub bytes: f64,
    /// Message bytes sent per second, by message kind.
    pub kinds: BTreeMap<&'static str, f64>,
    /// Processor time in percent of one core.
    pub cpu_percent: f64,
    /// Appends to the log per second, by the whole mesh.
    pub appends: f64,
    /// Reads of the log per second, by the whole mesh.
    pub reads: f64,
}

impl MeshSnapshot {
    /// Takes a snapshot of the counters.
    ///
    /// # Errors
    ///
    /// Returns an error if the resource usage of the process cannot be read.
    pub fn read(mesh: &Mesh) -> Result<Self, StandinError> {
        let mut kinds = BTreeMap::new();
        for node in mesh.nodes() {
            for (kind, traffic) in node.counters().sent {
                *kinds.entry(kind).or_default() += traffic.bytes;
            }
        }
        let totals = mesh.log().totals();
        Ok(Self {
            taken_at: Instant::now(),
            bytes: mesh.nodes().iter().map(Node::link_bytes).sum(),
            kinds,
            usage: Usage::read()?,
            appends: totals.appends,
            reads: totals.reads,
        })
    }

    /// Returns the rates since `earlier`, averaged over `daemons`.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    pub fn since(&self, earlier: &Self, daemons: usize) -> Rates {
        let seconds = (self.taken_at - earlier.taken_at).as_secs_f64();
        let daemon_seconds = daemons as f64 * seconds;
        let kinds = self.kinds.iter().map(|(kind, bytes)| {
            let before = earlier.kinds.get(kind).copied().unwrap_or_default();
            (*kind, bytes.saturating_sub(before) as f64 / daemon_seconds)
        });
        Rates {
            seconds,
            bytes: self.bytes.saturating_sub(earlier.bytes) as f64 / daemon_seconds,
            kinds: kinds.collect(),
            cpu_percent: self.usage.cpu_time_since(&earlier.usage).as_secs_f64() * 100.0
                / daemon_seconds,
            appends: (self.appends - earlier.appends) as f64 / seconds,
            reads: (self.reads - earlier.reads) as f64 / seconds,
        }
    }
}
