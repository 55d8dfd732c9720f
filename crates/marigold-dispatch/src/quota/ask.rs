//! The messages between a daemon and the homes of quotas.

use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::WorkspaceName;
use serde::{Deserialize, Serialize};

use super::{HomeStamp, QuotaSlot};

/// What an ask says about the vote of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// The vote stays as it is.
    Unchanged,
    /// The home has the vote until [`VOTE_TTL`](super::VOTE_TTL) after the stamp.
    Cast(HomeStamp),
    /// The home no longer has the vote.
    Withdrawn,
}

/// Asks a home to grant requests, and gives it the vote of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Address at which the sender accepts calls.
    pub from: SocketAddr,
    /// Run of the sender.
    pub run: u64,
    /// Number of the ask, increasing within the run.
    pub number: u64,
    /// Slot of the workspaces.
    pub slot: QuotaSlot,
    /// Number of daemons that the sender knows or knew a moment ago.
    pub daemons: u32,
    /// The vote of the sender in this slot.
    pub vote: Vote,
    /// The requests that wait for a grant.
    pub wanted: Vec<WorkspaceAsk>,
}

/// The requests of a workspace that wait for a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceAsk {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Number of requests.
    pub requests: u32,
    /// Number of requests that this run of the home has granted before, and that were refused elsewhere and have not run.
    pub returned: u32,
}

/// Answers a [`QuotaAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of the ask.
    pub number: u64,
    /// Slot of the ask.
    pub slot: QuotaSlot,
    /// Time by the home's clock.
    pub stamp: HomeStamp,
    /// Whether the home has enough votes to grant anything.
    pub is_trusted: bool,
    /// What is granted to each workspace.
    pub granted: Vec<WorkspaceGrant>,
}

/// The requests that a workspace may send now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceGrant {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Number of granted requests.
    pub requests: u32,
    /// Time until the first of the other requests is likely to be granted.
    pub retry_after: Duration,
    /// Further time for each one after it.
    pub spacing: Duration,
}
