//! Decisions of the control side: who is there, who follows the log, and how versions spread.
//!
//! There are no sockets, threads or clocks here: a [`ControlPlane`] is given events and the time
//! and returns actions, so that a test on a paused clock drives it. See docs/design/control.md.

mod action;
mod board;
mod burial;
mod controller;
mod controllers;
mod endpoint;
mod endpoints;
mod event;
mod fetch_limiter;
mod gate;
mod herd;
mod local;
mod mark;
mod member;
mod member_table;
mod message;
mod options;
mod outbox;
mod plane;
mod roster;
mod start_check;
mod status;
mod summary;
mod topology;
mod traffic;
mod view;

pub use action::Action;
pub use board::{Board, LogPart, News, Report};
pub use controller::{Controller, Input};
pub use endpoint::{Endpoint, EndpointState};
pub use event::Event;
pub use fetch_limiter::{Admission, FetchLimiter};
pub use gate::Gate;
pub use herd::is_herd;
pub use local::Local;
pub use mark::Mark;
pub use member::{Member, Standing};
pub use member_table::{Entry, MemberKey, MemberTable, Merge};
pub use message::{
    BUCKETS, MAX_MEMBERS, MAX_MESSAGE_BYTES, Message, MessageError, Subject, Update,
};
pub use options::ControlOptions;
pub use outbox::Outbox;
pub use plane::ControlPlane;
pub use roster::Roster;
pub use status::{CentreStatus, MemberStatus, Status};
pub use summary::{Lag, MAX_BEHIND, Summary};
pub use topology::Topology;
pub use traffic::{Counters, Traffic};
pub use view::View;
