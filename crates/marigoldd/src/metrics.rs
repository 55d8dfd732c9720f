//! The daemon's metrics, recorded through `metrics` and rendered for Prometheus.

use std::sync::{Mutex, PoisonError};

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// The bounds of time histograms, in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.000_25, 0.000_5, 0.001, 0.001_3, 0.002_5, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0, 11.0,
];

/// The recorder of the process; the lock keeps two daemons from installing one each.
static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);

/// Renders the metrics of the process; several daemons in one process differ by a label.
#[derive(Debug, Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Installs the recorder of the process, once.
    ///
    /// # Errors
    ///
    /// When another recorder is installed already.
    pub fn install() -> Result<Self, BuildError> {
        let mut installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = &*installed {
            let handle = handle.clone();
            return Ok(Self { handle });
        }
        let builder = PrometheusBuilder::new().set_buckets(&TIME_BUCKETS)?;
        let handle = builder.install_recorder()?;
        *installed = Some(handle.clone());
        Ok(Self { handle })
    }

    /// Returns the text that Prometheus reads.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
