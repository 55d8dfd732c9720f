//! Control plane of a daemon: membership, following the configuration log, and distribution of
//! new configuration versions.
//!
//! The crate does no I/O and reads no clock: a [`ControlPlane`] is given events and the current
//! time and returns actions, so that tests can drive it on a paused clock. See
//! docs/design/control.md.

mod action;
mod control_state;
mod controller;
mod controllers;
mod endpoint;
mod endpoints;
mod event;
mod expiry;
mod fetch_limiter;
mod local_instance;
mod mass_failure;
mod member;
mod member_table;
mod message;
mod options;
mod outbox;
mod plane;
mod roster;
mod serving_check;
mod serving_state;
mod state_digest;
mod status;
mod topology;
mod traffic;
mod version_summary;
mod view;

pub use action::Action;
pub use control_state::{ControlState, FollowerReport, LogReads, PendingUpdate};
pub use controller::{Controller, Input};
pub use endpoint::{Endpoint, EndpointState};
pub use event::Event;
pub use fetch_limiter::{FetchDecision, FetchLimiter};
pub use local_instance::LocalInstance;
pub use mass_failure::is_mass_failure;
pub use member::{Liveness, Member};
pub use member_table::{MemberEntry, MemberKey, MemberTable, MergeOutcome};
pub use message::{
    MAX_MEMBERS, MAX_MESSAGE_BYTES, MEMBER_TABLE_BUCKETS, Message, MessageError, SnapshotKind,
    Update,
};
pub use options::ControlOptions;
pub use outbox::Outbox;
pub use plane::ControlPlane;
pub use roster::Roster;
pub use serving_state::ServingState;
pub use state_digest::StateDigest;
pub use status::{DataCentreStatus, MemberStatus, Status};
pub use topology::Topology;
pub use traffic::{Counters, Traffic};
pub use version_summary::{LaggingMember, MAX_LAGGING_MEMBERS, VersionSummary};
pub use view::View;
