//! The daemon's metrics, recorded through `metrics` and rendered for Prometheus.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// The bounds of time histograms, in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.000_25, 0.000_5, 0.001, 0.001_3, 0.002_5, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0, 11.0,
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

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
        if let Some(handle) = HANDLE.get() {
            return Ok(Self {
                handle: handle.clone(),
            });
        }
        let builder = PrometheusBuilder::new().set_buckets(&TIME_BUCKETS)?;
        let handle = builder.install_recorder()?;
        Ok(Self {
            handle: HANDLE.get_or_init(|| handle).clone(),
        })
    }

    /// Returns the text that Prometheus reads.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
