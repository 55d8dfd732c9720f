//! Results of the demonstration.

use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use serde::{Deserialize, Serialize};

use crate::fleet::Convergence;
use crate::load::{Audit, LoadReport};

/// A confirmed change and its convergence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfirmedChange {
    /// Label of the change in the table.
    pub name: String,
    /// Number of changed declarations.
    pub changes: usize,
    /// The resulting version.
    pub version: u64,
    /// Milliseconds until half of the daemons held the version.
    pub p50_ms: f64,
    /// Milliseconds until the last daemon held the version.
    pub last_ms: f64,
    /// Number of daemons that did not hold the version before the timeout.
    pub missing: usize,
}

impl ConfirmedChange {
    /// Creates the entry from a measured convergence.
    #[must_use]
    pub fn new(name: &str, changes: usize, convergence: &Convergence) -> Self {
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        Self {
            name: name.to_owned(),
            changes,
            version: convergence.version.0,
            p50_ms: millis(convergence.quantile(0.5)),
            last_ms: millis(convergence.quantile(1.0)),
            missing: convergence.missing,
        }
    }
}

/// Results of one mesh.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemoReport {
    /// Name of the mesh.
    pub mesh: String,
    /// Number of daemons at the start.
    pub daemons: usize,
    /// Confirmed changes, in order.
    pub steps: Vec<ConfirmedChange>,
    /// Counts and latencies of the calls.
    pub load: LoadReport,
    /// Comparison of the calls with the counters of the backend servers.
    pub audit: Audit,
    /// Mean control bytes sent per daemon.
    pub control_bytes: u64,
    /// Duration of the count in seconds.
    pub seconds: f64,
    /// Whether all running daemons hold the same version at the end.
    pub converged: bool,
}

impl DemoReport {
    /// Returns whether calls were answered, no call was lost or duplicated, and every change
    /// converged.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let steps = self.steps.iter().all(|step| step.missing == 0);
        steps && self.converged && self.audit.is_clean() && self.load.answered() > 0
    }

    /// Prints the results of all meshes as columns of one table.
    pub fn print(reports: &[Self]) {
        let mut table = Table::new();
        table.load_style(UTF8_FULL_CONDENSED);
        let names = reports.iter().map(|report| report.mesh.clone());
        table.set_header(std::iter::once(String::new()).chain(names));
        let mut row = |name: &str, value: &dyn Fn(&Self) -> String| {
            let values = reports.iter().map(value);
            table.add_row(std::iter::once(name.to_owned()).chain(values));
        };
        row("daemons", &|report| report.daemons.to_string());
        row("calls sent", &|report| report.load.sent.to_string());
        row("answered", &|report| report.load.answered().to_string());
        row("not run", &|report| report.load.not_run().to_string());
        row("  of these unreached", &|report| {
            report.load.unreached.to_string()
        });
        row("unknown", &|report| report.load.unknown().to_string());
        row("not sent for want of a key", &|report| {
            report.load.unsent.to_string()
        });
        row("lost", &|report| report.audit.lost().to_string());
        row("doubled", &|report| report.audit.doubled.to_string());
        let steps = reports.iter().map(|report| report.steps.len()).max();
        for index in 0..steps.unwrap_or_default() {
            let name = &reports[0].steps[index].name;
            row(&format!("{name}: all hold it after"), &|report| {
                let step = report.steps.get(index);
                step.map_or_else(String::new, |step| format!("{:.0} ms", step.last_ms))
            });
        }
        row("control bytes sent per daemon and second", &|report| {
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let rate = report.control_bytes as f64 / report.seconds;
            format!("{rate:.0}")
        });
        row("converged", &|report| yes_or_no(report.converged));
        println!("{table}");
        for report in reports {
            for (reason, count) in &report.load.reasons {
                println!("{}: not answered for {reason}: {count}", report.mesh);
            }
        }
    }
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "NO" }.to_owned()
}
