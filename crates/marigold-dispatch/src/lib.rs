//! Request routing decisions: route lookup, executor selection, admission control, retries and shutdown.
//!
//! The types `AdmissionController`, `AdmissionDecision`, `Permit`, `Ticket` and `RetryBudget` are those of the
//! sidecar. marigold-request has separate types of the same names, which marigoldd uses. `RefusalReason`,
//! `Ejection` and `HealthSignal` of marigold-request are shared by both.
//!
//! This crate opens no sockets and reads no clock: callers pass the current time to each decision. The
//! sidecar connects the decisions to the network. See docs/design/platform.md.

mod admission_controller;
mod admission_decision;
mod announcement;
mod attempt_outcome;
mod backend_state;
mod call_kind;
mod caller_limits;
mod caller_returns;
mod caller_timeouts;
mod demand;
mod departure;
mod directory;
mod executor_state;
mod first_contact;
mod kind_stats;
mod link_rate;
mod link_selector;
mod locality;
mod placement;
mod placement_request;
mod poll_timer;
mod precedence;
mod progress;
mod queue_key;
mod queue_order;
pub mod quota;
mod rank;
mod relay_selector;
mod request_limit;
mod request_mark;
mod request_origin;
mod request_pacer;
mod request_quota;
mod retry_budget;
mod retry_request;
mod return_schedule;
mod risk;
mod rollout;
mod route_policy;
mod route_table;
mod run_time;
mod running_set;
mod server_version;
mod shutdown;
mod silence_detector;
mod site_report;
mod slack_share;
mod slot_request;
mod target;
mod trial;
mod wait_queue;
mod waiting_request;
mod weighted_round_robin;
mod workspace;
mod workspace_share;
mod workspace_shares;
mod workspace_table;

pub use admission_controller::{AdmissionController, Ticket};
pub use admission_decision::AdmissionDecision;
pub use announcement::{Announcement, ServingState};
pub use attempt_outcome::AttemptOutcome;
pub use backend_state::{AnnouncementOutcome, BackendInstance, BackendState, NamedLimit};
pub use call_kind::CallKind;
pub use caller_limits::CallerLimits;
pub use caller_returns::{CallerReturn, CallerReturns, EndedAttempt};
pub use caller_timeouts::CallerTimeouts;
pub use departure::Departure;
pub use directory::{Directory, Site};
pub use executor_state::{ExecutorState, Reached};
pub use first_contact::FirstContact;
pub use link_rate::LinkRate;
pub use link_selector::LinkSelector;
pub use locality::{DataCentreFigures, KindDemand, LocalityPlan, LocalityPlanner, ShareReason};
pub use placement::{ExecutorChoice, Placement};
pub use placement_request::PlacementRequest;
pub use poll_timer::PollTimer;
pub use precedence::Precedence;
pub use progress::{Conclusion, Progress};
pub use rank::Rank;
pub use relay_selector::{RelaySelector, UpdateSource};
pub use request_limit::RequestLimit;
pub use request_mark::RequestMark;
pub use request_origin::RequestOrigin;
pub use request_pacer::RequestPacer;
pub use request_quota::RequestQuota;
pub use retry_budget::RetryBudget;
pub use retry_request::RetryRequest;
pub use rollout::{
    CanaryWindow, KindCounts, RolloutEvidence, RolloutJudge, RolloutOrder, RolloutState,
    RolloutStatus, RolloutStep, StepCause, VersionCounts, VersionFilter, VersionGate, VersionRule,
};
pub use route_policy::RoutePolicy;
pub use route_table::{RouteTable, ServicePolicy};
pub use run_time::RunTime;
pub use running_set::Permit;
pub use server_version::ServerVersion;
pub use shutdown::{Shutdown, ShutdownStage};
pub use silence_detector::{SilenceDetector, WatchedRun};
pub use site_report::SiteReport;
pub use slack_share::SlackShare;
pub use slot_request::SlotRequest;
pub use target::Target;
pub use trial::select_trial_executor;
pub use weighted_round_robin::WeightedRoundRobin;
pub use workspace::Workspace;
pub use workspace_table::WorkspaceTable;
