//! The metrics recorder of the process, rendered for Prometheus.

use std::sync::{Mutex, PoisonError};

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// The upper bounds of the buckets of time histograms.
const TIME_BUCKETS_SECONDS: [f64; 12] = [
    0.000_25, 0.000_5, 0.001, 0.001_3, 0.002_5, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0, 11.0,
];

/// The recorder of the process; the lock keeps daemons in one process from installing two.
static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);

/// Renders the metrics of the process; daemons in one process are told apart by the label `daemon`.
#[derive(Debug, Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Installs the recorder of the process, or returns the one that is already installed.
    ///
    /// # Errors
    ///
    /// When another part of the process has installed a recorder.
    pub fn install() -> Result<Self, BuildError> {
        let mut installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = &*installed {
            let handle = handle.clone();
            return Ok(Self { handle });
        }
        let builder = PrometheusBuilder::new().set_buckets(&TIME_BUCKETS_SECONDS)?;
        let handle = builder.install_recorder()?;
        *installed = Some(handle.clone());
        Ok(Self { handle })
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
