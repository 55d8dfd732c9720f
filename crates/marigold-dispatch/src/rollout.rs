//! Roll-outs of a service to another version of its backend servers.
//!
//! Each ingress has a [`VersionGate`] that decides which version may run a request. Deciders collect
//! [`VersionCounts`] of all executors of the service and ask a [`RolloutJudge`] for the next [`RolloutStep`].
//! See docs/design/rollouts.md.

mod canary_window;
mod given_up_runs;
mod kind_counts;
mod rollout_evidence;
mod rollout_judge;
mod rollout_order;
mod rollout_state;
mod rollout_status;
mod rollout_step;
mod server_evidence;
mod service_gate;
mod version_counts;
mod version_filter;
mod version_gate;
mod version_rule;
mod window_counts;

pub use canary_window::CanaryWindow;
pub use given_up_runs::GivenUpRuns;
pub use kind_counts::KindCounts;
pub use rollout_evidence::RolloutEvidence;
pub use rollout_judge::RolloutJudge;
pub use rollout_order::RolloutOrder;
pub use rollout_state::RolloutState;
pub use rollout_status::RolloutStatus;
pub use rollout_step::{RolloutStep, StepCause};
pub use version_counts::VersionCounts;
pub use version_filter::VersionFilter;
pub use version_gate::VersionGate;
pub use version_rule::VersionRule;
