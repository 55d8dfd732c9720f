//! Faults injected under load.

use std::time::Duration;

use marigold_config::Intent;
use tokio::time::{Instant, sleep};

use super::Figure;
use crate::StandinError;
use crate::backend::{BackendControl, BackendState, HealthMode};
use crate::fleet::{Mesh, Node};
use crate::load::{CallEnd, Caller, LoadRoute};
use crate::log::LogControl;

const INTENT: &str = "[service orders]\nslots = 15\nconnections = 120\nwarmup = 0ms\n\
    [route read]\npath = /read\nservice = orders\nidempotent = yes\ndeadline = 2s\n\
    [route once]\npath = /once\nservice = orders\nidempotent = no\ndeadline = 2s\n";
/// Number of daemons in the mesh.
pub const DAEMONS: usize = 9;
/// Duration of a fault that can be reverted.
const FAULT_DURATION: Duration = Duration::from_secs(3);
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of times that the crashing request is sent.
const CRASH_REQUEST_SENDS: u32 = 6;
const HANG_MS: u64 = 600_000;

/// A fault that is injected under load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault, as the baseline.
    None,
    /// A daemon shuts down gracefully.
    GracefulStop,
    /// A daemon terminates without warning.
    Abort,
    /// A third of the daemons terminate without warning at the same time.
    GroupAbort,
    /// A request crashes each backend server that runs it, and its caller retries it.
    CrashingRequest,
    /// The open connections of a backend server stop responding; new ones work.
    SilentConnections,
    /// A backend server withdraws its announcement.
    BackendWithdraws,
    /// A backend server stops answering calls, but its health check passes.
    BackendHangs,
    /// A backend server crashes without withdrawing its announcement.
    BackendCrashes,
    /// Every backend server fails its health check, but answers calls.
    FalseUnhealthy,
    /// The log refuses every request.
    LogDown,
    /// The log delays every request by two seconds.
    LogSlow,
    /// A confirmation is appended to the log, but the response is lost.
    LostResponse,
}

impl Fault {
    /// Every fault, with the baseline first.
    pub const ALL: [Self; 13] = [
        Self::None,
        Self::GracefulStop,
        Self::Abort,
        Self::GroupAbort,
        Self::CrashingRequest,
        Self::SilentConnections,
        Self::BackendWithdraws,
        Self::BackendHangs,
        Self::BackendCrashes,
        Self::FalseUnhealthy,
        Self::LogDown,
        Self::LogSlow,
        Self::LostResponse,
    ];

    /// Returns the case name in the figures.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "no fault",
            Self::GracefulStop => "a daemon stops gracefully",
            Self::Abort => "a daemon dies",
            Self::GroupAbort => "a third of the daemons die at once",
            Self::CrashingRequest => "a request crashes each backend server that runs it",
            Self::SilentConnections => "a backend server's connections go silent",
            Self::BackendWithdraws => "a backend server leaves",
            Self::BackendHangs => "a backend server hangs, its health says well",
            Self::BackendCrashes => "a backend server is gone without a word",
            Self::FalseUnhealthy => "health says ill of every backend server",
            Self::LogDown => "the log is down",
            Self::LogSlow => "the log is slow (2 s)",
            Self::LostResponse => "the answer to a confirmation is lost",
        }
    }

    /// Injects the fault into a mesh under load and returns figures other than those of the load.
    ///
    /// # Errors
    ///
    /// Returns an error if the fault cannot be injected.
    pub async fn inject(self, mesh: &mut Mesh) -> Result<Vec<Figure>, StandinError> {
        let name = self.name();
        match self {
            Self::None => {}
            Self::GracefulStop => mesh.nodes_mut()[0].stop().await?,
            Self::Abort => mesh.nodes_mut()[0].abort(),
            Self::GroupAbort => {
                for node in mesh.nodes_mut().iter_mut().take(DAEMONS / 3) {
                    node.abort();
                }
            }
            Self::CrashingRequest => return Ok(send_crashing_request(mesh, name).await),
            Self::SilentConnections => apply_control(
                &mesh.nodes()[0],
                &BackendControl {
                    silence: true,
                    ..BackendControl::default()
                },
            ),
            Self::FalseUnhealthy => return report_unhealthy(mesh).await,
            Self::BackendWithdraws => {
                if let Some(backend) = mesh.nodes_mut()[0].backend_mut() {
                    backend.withdraw().await?;
                }
                return Ok(measure_last_work(&mesh.nodes()[0], name, "at most a few s").await);
            }
            Self::BackendHangs => {
                apply_control(
                    &mesh.nodes()[0],
                    &BackendControl {
                        extra_ms: Some(HANG_MS),
                        ..BackendControl::default()
                    },
                );
                return Ok(measure_last_work(&mesh.nodes()[0], name, "-").await);
            }
            Self::BackendCrashes => {
                if let Some(backend) = mesh.nodes()[0].backend() {
                    backend.state().crash();
                }
            }
            Self::LogDown => {
                return change_during_log_fault(
                    mesh,
                    name,
                    &LogControl {
                        down: Some(true),
                        ..LogControl::default()
                    },
                    &LogControl {
                        down: Some(false),
                        ..LogControl::default()
                    },
                )
                .await;
            }
            Self::LogSlow => {
                return change_during_log_fault(
                    mesh,
                    name,
                    &LogControl {
                        slow_ms: Some(2_000),
                        ..LogControl::default()
                    },
                    &LogControl {
                        slow_ms: Some(0),
                        ..LogControl::default()
                    },
                )
                .await;
            }
            Self::LostResponse => return confirm_with_lost_response(mesh, name).await,
        }
        Ok(Vec::new())
    }
}

fn apply_control(node: &Node, control: &BackendControl) {
    if let Some(backend) = node.backend() {
        backend.state().control(control);
    }
}

/// Repeatedly sends a request that crashes the backend server that runs it.
async fn send_crashing_request(mesh: &Mesh, case: &str) -> Vec<Figure> {
    let caller = Caller::new(true, false, CALLER_TIMEOUT);
    let route = LoadRoute::repeatable("/read/crash");
    let targets = mesh.caller_addresses();
    let mut refused = 0;
    for send in 0..CRASH_REQUEST_SENDS {
        let target = targets[send as usize % targets.len()];
        let result = caller.call(target, &route, "poison", None).await;
        refused += u32::from(result.end == CallEnd::NotRun);
        sleep(Duration::from_millis(300)).await;
    }
    let backends = mesh.nodes().iter().filter_map(Node::backend);
    let crashes: u64 = backends.map(|b| b.state().crash_count()).sum();
    let name = format!("backend servers crashed by {CRASH_REQUEST_SENDS} sends");
    vec![
        Figure::new(case, &name, to_f64(crashes), "crashes").with_target("at most 2"),
        Figure::new(
            case,
            "sends refused as not run",
            f64::from(refused),
            "sends",
        ),
    ]
}

async fn report_unhealthy(mesh: &Mesh) -> Result<Vec<Figure>, StandinError> {
    let set_health = |mode| {
        for node in mesh.nodes() {
            apply_control(
                node,
                &BackendControl {
                    health: Some(mode),
                    ..BackendControl::default()
                },
            );
        }
    };
    set_health(HealthMode::AlwaysIll);
    sleep(FAULT_DURATION).await;
    set_health(HealthMode::Honest);
    Ok(Vec::new())
}

/// Measures how long a backend server still receives calls.
async fn measure_last_work(node: &Node, case: &str, target: &str) -> Vec<Figure> {
    let start = Instant::now();
    let Some(backend) = node.backend() else {
        return Vec::new();
    };
    let state: &BackendState = backend.state();
    let before = state.arrivals();
    sleep(FAULT_DURATION).await;
    let early = state.arrivals();
    sleep(FAULT_DURATION).await;
    let last = state
        .last_arrival()
        .map(|at| at.saturating_duration_since(start));
    let last = last.unwrap_or_default().as_secs_f64();
    vec![
        Figure::new(case, "last work after", last, "s").with_target(target),
        Figure::new(
            case,
            "calls given to it within 3 s",
            to_f64(early - before),
            "calls",
        ),
        Figure::new(
            case,
            "calls given to it from 3 s to 6 s",
            to_f64(state.arrivals() - early),
            "calls",
        ),
    ]
}

/// Confirms a change during a log fault, and again after the fault is reverted.
async fn change_during_log_fault(
    mesh: &Mesh,
    case: &str,
    fault: &LogControl,
    repair: &LogControl,
) -> Result<Vec<Figure>, StandinError> {
    let set = |control: &LogControl| {
        mesh.log()
            .control(control)
            .map_err(|error| StandinError::new("control", &"log", &error))
    };
    let planned = mesh.plan(&intent(1)?).await?;
    set(fault)?;
    let start = Instant::now();
    let confirming = async {
        let confirmed = mesh.confirm(&planned, CALLER_TIMEOUT).await;
        (confirmed.is_ok(), start.elapsed())
    };
    let repairing = async {
        sleep(FAULT_DURATION).await;
        set(repair)
    };
    let ((accepted, answered_after), repaired) = tokio::join!(confirming, repairing);
    repaired?;
    let start = Instant::now();
    // Confirming again returns the outcome of the first confirmation.
    let after = mesh.confirm(&planned, CALLER_TIMEOUT).await?;
    let again = start.elapsed().as_secs_f64();
    let new = |name: &str, value: f64, unit: &str| Figure::new(case, name, value, unit);
    Ok(vec![
        new(
            "a confirmation is answered after",
            answered_after.as_secs_f64(),
            "s",
        ),
        new("it was accepted", f64::from(u8::from(accepted)), "0 or 1"),
        new("confirmed again and held everywhere after", again, "s"),
        new(
            "daemons without it",
            to_f64(after.missing as u64),
            "daemons",
        )
        .with_target("0"),
    ])
}

async fn confirm_with_lost_response(mesh: &Mesh, case: &str) -> Result<Vec<Figure>, StandinError> {
    let planned = mesh.plan(&intent(1)?).await?;
    let lose = LogControl {
        lose: Some(1),
        ..LogControl::default()
    };
    mesh.log()
        .control(&lose)
        .map_err(|error| StandinError::new("control", &"log", &error))?;
    let convergence = mesh.confirm(&planned, CALLER_TIMEOUT).await?;
    let last = convergence.quantile(1.0).as_secs_f64();
    let missing = to_f64(convergence.missing as u64);
    Ok(vec![
        Figure::new(case, "in force everywhere after", last, "s"),
        Figure::new(case, "daemons without it", missing, "daemons").with_target("0"),
    ])
}

/// Returns the intent; each `edition` sets a different deadline.
///
/// # Errors
///
/// Returns an error if the intent is invalid.
pub fn intent(edition: u64) -> Result<Intent, StandinError> {
    let text = format!(
        "{INTENT}[route edition]\npath = /edition\nservice = orders\nidempotent = yes\n\
         deadline = {}ms\n",
        1_000 + edition
    );
    Intent::parse("measure", &text)
        .map_err(|faults| StandinError::new("read intent", &"measure", &faults))
}

/// Exact, since counts are far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}
