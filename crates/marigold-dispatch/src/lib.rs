//! Request routing decisions: route lookup, executor selection, admission control, retries and shutdown.
//!
//! The types `AdmissionController`, `AdmissionDecision`, `Permit`, `Ticket` and `RetryBudget` are those of the
//! sidecar. marigold-request has separate types of the same names, which marigoldd uses. `RefusalReason`,
//! `Ejection` and `HealthSignal` of marigold-request are shared by both.
//!
//! The modules are named after what they decide: `routes` what the configuration says of a request, `placing` which
//! executor it goes to, `admission` whether it runs, waits or is refused there, `retries` whether it is sent again,
//! `rollout` which versions it may go to, and `quota` how much a workspace may send. `backend` and `membership`
//! track backend servers and daemons, `locality` plans what leaves a data centre, and `memory` decides whose bytes a daemon
//! gives up.
//!
//! This crate opens no sockets and reads no clock: callers pass the current time to each decision. The
//! sidecar connects the decisions to the network. See docs/design/platform.md.

mod admission;
mod backend;
mod decisions;
mod locality;
mod membership;
mod memory;
mod placing;
pub mod quota;
mod retries;
mod rollout;
mod routes;
mod shutdown;

pub use admission::{
    AdmissionController, AdmissionDecision, Permit, RequestLimit, RequestPacer, RunTime,
    SlotRequest, Ticket,
};
pub use backend::{
    Announcement, AnnouncementOutcome, BackendInstance, BackendState, Departure, NamedLimit,
    ServerVersion, ServingState, SilenceDetector, WatchedRun, select_trial_executor,
};
pub use decisions::{Decisions, LossCost, WaitSource};
pub use locality::{DataCentreFigures, KindDemand, LocalityPlan, LocalityPlanner, ShareReason};
pub use membership::{
    Directory, FirstContact, LinkRate, LinkSelector, PollTimer, RelaySelector, Site, UpdateSource,
};
pub use memory::{
    Claimant, Holding, HoldingKind, SMALL_BODY, STALL_TIME, longest_still, select_victim,
};
pub use placing::{
    ExecutorChoice, ExecutorState, Placement, PlacementRequest, Reached, SiteReport, WaitRatio,
};
pub use retries::{
    AttemptOutcome, CallerReturn, CallerReturns, CallerTimeouts, Conclusion, Progress,
    RefusedAttempt, RequestMark, RequestOrigin, RetryBudget, RetryRequest, SlackShare,
};
pub use rollout::{
    CanaryWindow, GivenUpRuns, KindCounts, RolloutEvidence, RolloutJudge, RolloutOrder,
    RolloutState, RolloutStatus, RolloutStep, StepCause, VersionCounts, VersionFilter, VersionGate,
    VersionRule,
};
pub use routes::{
    CallKind, CallerLimits, Precedence, Rank, RequestQuota, RoutePolicy, RouteTable, ServicePolicy,
    Target, WeightedRoundRobin, Workspace, WorkspaceTable,
};
pub use shutdown::{NewRun, OpenWork, Shutdown, ShutdownStage};
