//! Metrics of the control plane and of the requests in flight.

use marigold_control::{Liveness, Status, Traffic};
use metrics::{counter, gauge};

/// Publishes the state of one daemon as metrics whenever they are scraped.
///
/// The control plane keeps its own counters, without a metrics recorder. docs/METRICS.md describes
/// each metric.
pub struct ControlMeters {
    daemon: String,
}

impl ControlMeters {
    /// Creates the meters; `status` supplies the address for the label `daemon`.
    #[must_use]
    pub fn new(status: &Status) -> Self {
        Self {
            daemon: status.local.address.to_string(),
        }
    }

    /// Publishes the status of the control plane.
    pub fn publish(&self, status: &Status, draining: bool) {
        self.publish_state(status, draining);
        self.publish_members(status);
        self.publish_log(status);
        self.publish_messages(status);
    }

    /// Publishes the number of requests that the daemon has in flight as ingress and as executor.
    pub fn publish_requests(&self, requests: usize) {
        gauge!("marigold_requests_in_flight", "daemon" => self.label()).set(to_gauge(requests));
    }

    fn publish_state(&self, status: &Status, draining: bool) {
        gauge!("marigold_serving", "daemon" => self.label()).set(f64::from(status.serving));
        gauge!("marigold_draining", "daemon" => self.label()).set(f64::from(draining));
        gauge!("marigold_follower", "daemon" => self.label()).set(f64::from(status.follower));
        gauge!("marigold_version", "daemon" => self.label()).set(to_float(status.version.0));
        gauge!("marigold_version_newest", "daemon" => self.label()).set(to_float(status.newest.0));
    }

    fn publish_members(&self, status: &Status) {
        let liveness_labels = [
            (Liveness::Alive, "alive"),
            (Liveness::Suspect, "suspect"),
            (Liveness::Dead, "dead"),
        ];
        for (liveness, name) in liveness_labels {
            let members = status.members.iter();
            let count = members.filter(|member| member.liveness == liveness).count();
            gauge!("marigold_members", "daemon" => self.label(), "standing" => name)
                .set(to_gauge(count));
        }
        let alive = status.members.iter();
        let lags = alive.filter(|member| member.liveness != Liveness::Dead);
        let lags: Vec<f64> = lags
            .filter_map(|member| member.lag)
            .map(|lag| lag.duration().as_secs_f64())
            .collect();
        let longest = lags.iter().copied().fold(0.0, f64::max);
        gauge!("marigold_members_behind", "daemon" => self.label()).set(to_gauge(lags.len()));
        gauge!("marigold_lag_seconds", "daemon" => self.label()).set(longest);
    }

    fn publish_log(&self, status: &Status) {
        let counters = &status.counters;
        counter!("marigold_log_reads_total", "daemon" => self.label()).absolute(counters.reads);
        counter!("marigold_log_appends_total", "daemon" => self.label()).absolute(counters.appends);
        if let Some(age) = status.log_read {
            let age = age.duration().as_secs_f64();
            gauge!("marigold_log_read_age_seconds", "daemon" => self.label()).set(age);
        }
    }

    fn publish_messages(&self, status: &Status) {
        let counters = &status.counters;
        for (kind, traffic) in &counters.received {
            self.publish_received(kind, *traffic);
        }
        counter!("marigold_control_malformed_total", "daemon" => self.label())
            .absolute(counters.malformed);
        counter!("marigold_control_refused_total", "daemon" => self.label())
            .absolute(counters.refused);
        counter!("marigold_control_deferred_total", "daemon" => self.label())
            .absolute(counters.deferred);
    }

    fn publish_received(&self, kind: &'static str, traffic: Traffic) {
        counter!("marigold_control_received_total", "daemon" => self.label(), "kind" => kind)
            .absolute(traffic.messages);
        counter!("marigold_control_received_bytes_total", "daemon" => self.label(), "kind" => kind)
            .absolute(traffic.bytes);
    }

    fn label(&self) -> String {
        self.daemon.clone()
    }
}

fn to_gauge(count: usize) -> f64 {
    to_float(count as u64)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "versions and counts stay far below 2^52"
)]
fn to_float(number: u64) -> f64 {
    number as f64
}
